//! State of one pool at this node: requests in flight, the queue and the predicted wait.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{PoolId, TenantId},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use super::{
    concurrency::ConcurrencyLimit,
    queue::{FairQueue, Waiting},
    share,
};

/// Multiple of its even share above which a tenant's requests are sent with low priority. With 1.0, random
/// peaks of small tenants would be demoted too.
const DEMOTION_FACTOR: f64 = 2.0;
/// Weight of the latest request in the exponentially smoothed duration.
const SERVICE_SMOOTHING: f64 = 0.05;
/// Bounds of the retry hint.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// See [`MIN_RETRY_AFTER`].
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A running request.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) pool: PoolId,
    pub(super) tenant: TenantId,
    pub(super) since: Timestamp,
}

/// One tenant's requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TenantInFlight {
    requests: u32,
    weight: u32,
}

/// One node's requests to one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    pub(super) limit: ConcurrencyLimit,
    pub(super) queue: FairQueue,
    pub(super) in_flight: u32,
    pub(super) by_tenant: BTreeMap<TenantId, TenantInFlight>,
    /// Smoothed duration of a request in seconds; 0 before the first has ended.
    pub(super) service_seconds: f64,
}

fn below_level(
    by_tenant: &BTreeMap<TenantId, TenantInFlight>,
    tenant: &TenantId,
    weight: u32,
    level: f64,
) -> bool {
    let in_flight = by_tenant.get(tenant).map_or(0, |in_flight| in_flight.requests);
    f64::from(in_flight) < level * f64::from(weight)
}

impl PoolState {
    /// Removes the next request that may run from the queue.
    pub(super) fn next(&mut self, reserved_fraction: f64) -> Option<(TenantId, Waiting)> {
        let limit = self.limit.limit();
        if self.queue.is_empty() || self.in_flight >= limit {
            return None;
        }
        let level = self.fair_level(reserved_fraction);
        let within_unreserved = f64::from(self.in_flight) < self.unreserved_limit(reserved_fraction);
        let by_tenant = &self.by_tenant;
        self.queue.pop(|tenant, weight| within_unreserved || below_level(by_tenant, tenant, weight, level))
    }

    /// Returns the part of the limit that all tenants may use, whatever their share.
    fn unreserved_limit(&self, reserved_fraction: f64) -> f64 {
        let limit = f64::from(self.limit.limit());
        limit - (limit * reserved_fraction).floor()
    }

    /// Returns the max-min fair level: the requests in flight per unit of weight at which the unreserved
    /// limit is used up if each tenant gets what it wants, up to its weight times the level.
    fn fair_level(&self, reserved_fraction: f64) -> f64 {
        let in_flight = self.by_tenant.iter().map(|(tenant, in_flight)| {
            let wanted = in_flight.requests as usize + self.queue.len_of(tenant);
            (wanted as f64, f64::from(in_flight.weight))
        });
        let only_waiting = self.queue.backlogs().filter(|(tenant, ..)| !self.by_tenant.contains_key(*tenant));
        let waiting = only_waiting.map(|(_, weight, waiting)| (waiting as f64, f64::from(weight)));
        share::fair_level(self.unreserved_limit(reserved_fraction), in_flight.chain(waiting).collect())
    }

    /// Returns the requests in flight per unit of weight if all active tenants want the same.
    fn even_level(&self, tenant: &TenantId, weight: u32, reserved_fraction: f64) -> f64 {
        let others = self.by_tenant.iter().filter(|(other, _)| *other != tenant);
        let weights = others.map(|(_, in_flight)| in_flight.weight).sum::<u32>() + weight;
        self.unreserved_limit(reserved_fraction) / f64::from(weights)
    }

    /// Counts a started request. Returns whether its tenant is far above its even share.
    pub(super) fn started(&mut self, tenant: &TenantId, reserved_fraction: f64) -> bool {
        let weight = self.queue.weight_of(tenant);
        let demotion = DEMOTION_FACTOR * self.even_level(tenant, weight, reserved_fraction);
        let is_over_share = !below_level(&self.by_tenant, tenant, weight, demotion);
        self.in_flight += 1;
        let in_flight = self.by_tenant.entry(tenant.clone()).or_default();
        in_flight.requests += 1;
        in_flight.weight = weight;
        is_over_share
    }

    /// Predicts the wait of another request of `tenant` from the fair order and the smoothed duration.
    pub(super) fn predicted_wait(&self, tenant: &TenantId, weight: u32) -> Duration {
        let limit = self.limit.limit();
        if self.queue.is_empty() && self.in_flight < limit {
            return Duration::ZERO;
        }
        let own = self.queue.len_of(tenant) as f64;
        let per_weight = (own + 1.0) / f64::from(weight.max(1));
        let others = self.queue.backlogs().filter(|(other, _, _)| *other != tenant);
        let ahead: f64 =
            others.map(|(_, other, waiting)| (per_weight * f64::from(other)).min(waiting as f64)).sum();
        let requests = own + ahead + 1.0;
        Duration::from_secs_f64(requests * self.service_seconds / f64::from(limit))
    }

    /// Counts an ended request.
    pub(super) fn ended(&mut self, running: &Running, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(in_flight) = self.by_tenant.get_mut(&running.tenant) {
            in_flight.requests = in_flight.requests.saturating_sub(1);
            if in_flight.requests == 0 {
                self.by_tenant.remove(&running.tenant);
            }
        }
        let seconds = now.saturating_since(running.since).as_secs_f64();
        let first = self.service_seconds == 0.0;
        let smoothing = if first { 1.0 } else { SERVICE_SMOOTHING };
        self.service_seconds += (seconds - self.service_seconds) * smoothing;
    }

    /// Returns the refusal of a request that has not run.
    pub(super) fn refusal(&self, by_deadline: bool, reason: &str) -> Refusal {
        let code = if by_deadline { RefusalCode::DeadlineExceeded } else { RefusalCode::Overloaded };
        let drained = self.queue.len() as f64 * self.service_seconds / f64::from(self.limit.limit());
        let after = Duration::from_secs_f64(drained).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal::not_run(code, format!("the request was not run: {reason}")).with_retry_after(after)
    }
}
