//! State of one pool at this node: requests in flight, the queue and the predicted wait.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{PoolId, RequestId, TenantId},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use super::{
    limit::PoolLimit,
    queue::{FairQueue, Position, Removed, Waiting},
    ranked::{RankedQueue, is_late_rank, late_rank},
    share,
};

/// Multiple of its even share above which a tenant's requests are sent with low priority. With 1.0, random
/// peaks of small tenants would be demoted too, and wait behind all others.
const DEMOTION_FACTOR: f64 = 2.0;
/// How far a predicted wait must exceed the time left for a waiting request to be refused early: predictions
/// err, and a request that is kept may still start or expire.
const HOPELESS_FACTOR: f64 = 1.5;
/// The part of the limit that is left to requests that can be in time. A pool's room has a tenth more than the
/// slots of its engines for requests on their way: late ones start into free slots only.
const LATE_RESERVE: f64 = 0.1;
/// The starts of requests that can be in time, for each of a late one while both wait.
const STARTS_PER_LATE: f64 = 20.0;
/// The duration of a request assumed at the least, so that rates stay finite.
const MIN_SERVICE_SECONDS: f64 = 0.001;
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
    /// Batch slots that it holds.
    pub(super) slots: u32,
    pub(super) since: Timestamp,
}

/// One tenant's requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TenantInFlight {
    slots: u32,
    weight: u32,
}

/// One node's requests to one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    pub(super) limit: PoolLimit,
    pub(super) queue: RankedQueue,
    /// Batch slots that running requests hold.
    pub(super) in_flight: u32,
    pub(super) by_tenant: BTreeMap<TenantId, TenantInFlight>,
    /// Smoothed duration of a request in seconds; 0 before the first has ended.
    pub(super) service_seconds: f64,
    /// Smoothed number of slots that a request holds.
    pub(super) request_slots: f64,
}

fn below_level(
    by_tenant: &BTreeMap<TenantId, TenantInFlight>,
    tenant: &TenantId,
    weight: u32,
    level: f64,
) -> bool {
    let in_flight = by_tenant.get(tenant).map_or(0, |in_flight| in_flight.slots);
    f64::from(in_flight) < level * f64::from(weight)
}

impl PoolState {
    /// A pool without requests.
    pub(super) const fn new(limit: PoolLimit) -> Self {
        Self {
            limit,
            queue: RankedQueue::new(),
            in_flight: 0,
            by_tenant: BTreeMap::new(),
            service_seconds: 0.0,
            request_slots: 1.0,
        }
    }

    /// Removes the next request that may run from the queue.
    pub(super) fn next(&mut self, reserved_fraction: f64) -> Option<(TenantId, Waiting)> {
        if self.queue.is_empty() || self.in_flight >= self.startable_slots() {
            return None;
        }
        if f64::from(self.in_flight) < self.unreserved_limit(reserved_fraction) {
            return self.queue.pop(|_, _| true);
        }
        let level = self.fair_level(reserved_fraction);
        let by_tenant = &self.by_tenant;
        self.queue.pop(|tenant, weight| below_level(by_tenant, tenant, weight, level))
    }

    /// The slots below which the next request may start. Requests that will be late leave some for those that
    /// are about to arrive and can be in time.
    fn startable_slots(&self) -> u32 {
        let limit = self.limit.slots();
        let is_late = self.queue.first_rank().is_some_and(is_late_rank);
        let left = if is_late { f64::from(limit) * LATE_RESERVE } else { 0.0 };
        limit.saturating_sub(left as u32).max(1)
    }

    /// Returns the part of the limit that all tenants may use, whatever their share.
    fn unreserved_limit(&self, reserved_fraction: f64) -> f64 {
        let limit = f64::from(self.limit.slots());
        limit - (limit * reserved_fraction).floor()
    }

    /// Returns the max-min fair level: the requests in flight per unit of weight at which the unreserved
    /// limit is used up if each tenant gets what it wants, up to its weight times the level.
    fn fair_level(&self, reserved_fraction: f64) -> f64 {
        let in_flight = self.by_tenant.iter().map(|(tenant, in_flight)| {
            let wanted = in_flight.slots as usize + self.queue.len_of(tenant);
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
    pub(super) fn started(&mut self, tenant: &TenantId, request: &Waiting, reserved_fraction: f64) -> bool {
        let weight = self.queue.rank(request.rank).map_or(1, |queue| queue.weight_of(tenant));
        let demotion = DEMOTION_FACTOR * self.even_level(tenant, weight, reserved_fraction);
        let is_over_share = !below_level(&self.by_tenant, tenant, weight, demotion);
        self.in_flight = self.in_flight.saturating_add(request.slots);
        let in_flight = self.by_tenant.entry(tenant.clone()).or_default();
        in_flight.slots = in_flight.slots.saturating_add(request.slots);
        in_flight.weight = weight;
        is_over_share
    }

    /// Predicts the wait of another request from the order of the queue and the smoothed duration.
    pub(super) fn predicted_wait(&self, rank: u8, tenant: &TenantId, weight: u32) -> Duration {
        if self.queue.is_empty() && self.in_flight < self.limit.slots() {
            return Duration::ZERO;
        }
        let own = self.queue.rank(rank).map_or(0, |queue| queue.len_of(tenant));
        self.predicted_wait_behind(rank, tenant, weight, own)
    }

    /// Predicts the wait of a request of which `own` of its tenant's are ahead in the same rank.
    pub(super) fn predicted_wait_behind(
        &self,
        rank: u8,
        tenant: &TenantId,
        weight: u32,
        own: usize,
    ) -> Duration {
        let own = own as f64;
        let per_weight = (own + 1.0) / f64::from(weight.max(1));
        let backlogs = self.queue.rank(rank).into_iter().flat_map(FairQueue::backlogs);
        let others = backlogs.filter(|(other, _, _)| *other != tenant);
        let ahead: f64 =
            others.map(|(_, other, waiting)| (per_weight * f64::from(other)).min(waiting as f64)).sum();
        let above = self.queue.len_above(rank);
        let requests = own + ahead + 1.0;
        // Further requests that can be in time arrive while these are served.
        let interval = if is_late_rank(rank) && above > 0 { STARTS_PER_LATE } else { 1.0 };
        self.time_to_free((requests * interval + above as f64) * self.request_slots)
    }

    /// The place of a request in the queue, or the request if it can start neither in time nor late.
    pub(super) fn place(&self, arriving: Removed, now: Timestamp) -> Result<Removed, Waiting> {
        let Removed { tenant, weight, request } = &arriving;
        let predicted = self.predicted_wait(request.rank, tenant, *weight);
        let is_in_time = now + predicted <= request.latest_start && request.latest_start >= now;
        if is_in_time { Ok(arriving) } else { self.place_late(arriving, now) }
    }

    /// The place of a request that cannot start in time, behind all that can, or the request if it must be
    /// refused.
    pub(super) fn place_late(&self, removed: Removed, now: Timestamp) -> Result<Removed, Waiting> {
        let Removed { tenant, weight, mut request } = removed;
        let Some(late) = request.late.filter(|late| late.is_open(now) && !is_late_rank(request.rank)) else {
            return Err(request);
        };
        let rank = late_rank(request.rank);
        if now + self.predicted_wait(rank, &tenant, weight) > late.until {
            return Err(request);
        }
        request.rank = rank;
        request.latest_start = late.until;
        Ok(Removed { tenant, weight, request })
    }

    /// The time until running requests have released `slots`, and what exceeds the limit.
    fn time_to_free(&self, slots: f64) -> Duration {
        let slots = slots + f64::from(self.limit.excess(self.in_flight));
        Duration::from_secs_f64(slots * self.service_seconds / f64::from(self.limit.slots()))
    }

    /// Removes the waiting requests that cannot start in time, as predicted now.
    pub(super) fn remove_hopeless(&mut self, now: Timestamp) -> Vec<Removed> {
        let hopeless: Vec<RequestId> = self
            .queue
            .positions()
            .filter(|position| self.is_hopeless(position, now))
            .map(|position| position.request.ticket.clone())
            .collect();
        hopeless.iter().filter_map(|ticket| self.queue.remove(ticket)).collect()
    }

    fn is_hopeless(&self, position: &Position<'_>, now: Timestamp) -> bool {
        let Position { tenant, weight, request, ahead } = position;
        let predicted = self.predicted_wait_behind(request.rank, tenant, *weight, *ahead);
        let left = request.latest_start.saturating_since(now);
        predicted > left.mul_f64(HOPELESS_FACTOR)
    }

    /// The slots that running requests release per second while the limit is used up.
    pub(super) fn slots_per_second(&self) -> f64 {
        f64::from(self.limit.slots()) / self.service_seconds.max(MIN_SERVICE_SECONDS)
    }

    /// Counts an ended request.
    pub(super) fn ended(&mut self, running: &Running, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(running.slots);
        if let Some(in_flight) = self.by_tenant.get_mut(&running.tenant) {
            in_flight.slots = in_flight.slots.saturating_sub(running.slots);
            if in_flight.slots == 0 {
                self.by_tenant.remove(&running.tenant);
            }
        }
        let seconds = now.saturating_since(running.since).as_secs_f64();
        let first = self.service_seconds == 0.0;
        let smoothing = if first { 1.0 } else { SERVICE_SMOOTHING };
        self.service_seconds += (seconds - self.service_seconds) * smoothing;
        self.request_slots += (f64::from(running.slots) - self.request_slots) * smoothing;
    }

    /// Returns the refusal of a request that has not run.
    pub(super) fn refusal(&self, by_deadline: bool, reason: &str) -> Refusal {
        let code = if by_deadline { RefusalCode::DeadlineExceeded } else { RefusalCode::Overloaded };
        let drained = self.time_to_free(self.queue.len() as f64 * self.request_slots);
        let after = drained.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal::not_run(code, format!("the request was not run: {reason}")).with_retry_after(after)
    }
}
