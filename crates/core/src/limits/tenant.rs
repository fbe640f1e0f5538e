//! Enforces one tenant's quota at one node.

use std::time::Duration;

use paddlemount_protocol::{configuration::Quota, identity::TenantId, quota::TenantUsage, time::Timestamp};

use super::{
    LimitKind, LimitRefusal, RequestCost,
    bucket::TokenBucket,
    peer_reports::PeerUsage,
    share::{EVEN_FRACTION, ReportedDemand, ShareInput, share},
};

/// Weight of the latest interval in the exponentially smoothed demand.
const SMOOTHING: f64 = 0.5;

/// Retry hint after a concurrency refusal, as the end of running requests is not known.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A rate limited over all nodes.
#[derive(Clone, Debug)]
struct RateLimit {
    quota: f64,
    /// The minimum capacity of the bucket: one unit must fit into it.
    min_capacity: f64,
    bucket: TokenBucket,
    arrived: f64,
    smoothed: f64,
    reported: ReportedDemand,
}

impl RateLimit {
    fn new(quota: f64, min_capacity: f64, now: Timestamp) -> Self {
        let bucket = TokenBucket::new(0.0, min_capacity, now);
        Self { quota, min_capacity, bucket, arrived: 0.0, smoothed: 0.0, reported: ReportedDemand::default() }
    }

    fn close_interval(&mut self, timing: &Timing, now: Timestamp) {
        let rate = self.arrived / timing.interval.as_secs_f64();
        self.arrived = 0.0;
        self.smoothed = self.smoothed * (1.0 - SMOOTHING) + rate * SMOOTHING;
        let negligible = self.quota * EVEN_FRACTION / f64::from(timing.members.max(1)) / 2.0;
        let demand =
            if self.smoothed < negligible { 0.0 } else { self.smoothed.min(self.quota).ceil_thousandth() };
        self.reported.report(demand, timing.window, now);
    }

    fn update_share(&mut self, timing: &Timing, reporting: u32, others: f64, now: Timestamp) {
        let own = self.reported.settled(timing.window, now);
        let input = ShareInput { members: timing.members, reporting, own, others };
        let rate = share(self.quota, &input);
        let capacity = (rate * timing.burst.as_secs_f64()).max(self.min_capacity);
        self.bucket.set(rate, capacity, now);
    }
}

/// Rounds up to the resolution of a report.
trait CeilThousandth {
    fn ceil_thousandth(self) -> Self;
}

impl CeilThousandth for f64 {
    fn ceil_thousandth(self) -> Self {
        (self * 1_000.0).ceil() / 1_000.0
    }
}

/// Concurrency limited over all nodes.
#[derive(Clone, Debug)]
struct ConcurrencyLimit {
    quota: u32,
    /// This node's share, rounded down.
    granted: u32,
    /// `granted`, but at least one if the quota is not used up elsewhere.
    allowed: u32,
    peak: u32,
    refused: u32,
    reported: ReportedDemand,
}

impl ConcurrencyLimit {
    fn new(quota: u32) -> Self {
        Self { quota, granted: 0, allowed: 0, peak: 0, refused: 0, reported: ReportedDemand::default() }
    }

    fn close_interval(&mut self, timing: &Timing, in_flight: u32, now: Timestamp) {
        let wanted = self.peak.saturating_add(self.refused).min(self.quota);
        self.peak = in_flight;
        self.refused = 0;
        self.reported.report(f64::from(wanted), timing.window, now);
    }

    fn update_share(&mut self, timing: &Timing, reporting: u32, others: &PeerUsage, now: Timestamp) {
        let own = self.reported.settled(timing.window, now);
        let input =
            ShareInput { members: timing.members, reporting, own, others: others.requested_concurrency };
        let quota = f64::from(self.quota);
        // A node whose share has shrunk keeps its running requests: others may start more only as these end.
        let unused = (quota - others.granted_concurrency).max(0.0);
        self.granted = share(quota, &input).min(unused) as u32;
        // A share below one would block the tenant at this node even with free quota elsewhere.
        self.allowed = self.granted.max(u32::from(unused >= 1.0));
    }
}

/// The intervals that limits use, and the number of existing nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timing {
    /// Between two reports.
    pub interval: Duration,
    /// Until a report has reached all nodes.
    pub window: Duration,
    /// The time whose share may be served at once.
    pub burst: Duration,
    pub members: u32,
}

/// Limits of one tenant at this node.
#[derive(Clone, Debug)]
pub(super) struct TenantLimits {
    quota: Quota,
    requests: Option<RateLimit>,
    tokens: Option<RateLimit>,
    concurrency: Option<ConcurrencyLimit>,
    in_flight: u32,
}

impl TenantLimits {
    pub(super) fn new(quota: Quota, now: Timestamp) -> Self {
        let mut limits = Self { quota, requests: None, tokens: None, concurrency: None, in_flight: 0 };
        limits.set_quota(quota, now);
        limits
    }

    /// Changes the quota and keeps the observed demand.
    pub(super) fn set_quota(&mut self, quota: Quota, now: Timestamp) {
        self.quota = quota;
        set_rate(&mut self.requests, quota.requests_per_second, now);
        set_rate(&mut self.tokens, quota.tokens_per_second, now);
        match (&mut self.concurrency, quota.concurrent_requests) {
            (Some(limit), Some(quota)) => limit.quota = quota,
            (limit, quota) => *limit = quota.map(ConcurrencyLimit::new),
        }
    }

    pub(super) const fn quota(&self) -> Quota {
        self.quota
    }

    pub(super) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the rates and the concurrency that this node may serve now.
    pub(super) fn share(&self) -> Quota {
        Quota {
            requests_per_second: self.requests.as_ref().map(|limit| limit.bucket.rate()),
            tokens_per_second: self.tokens.as_ref().map(|limit| limit.bucket.rate()),
            concurrent_requests: self.concurrency.as_ref().map(|limit| limit.allowed),
        }
    }

    pub(super) fn admit(&mut self, cost: RequestCost, now: Timestamp) -> Result<(), LimitRefusal> {
        let tokens = f64::from(cost.tokens);
        self.count_arrival(tokens);
        if let Some(limit) = &mut self.concurrency
            && self.in_flight >= limit.allowed
        {
            limit.refused += 1;
            return Err(LimitRefusal { kind: LimitKind::Concurrency, retry_after: CONCURRENCY_RETRY_AFTER });
        }
        check_rate(&mut self.requests, 1.0, LimitKind::Requests, now)?;
        check_rate(&mut self.tokens, tokens, LimitKind::Tokens, now)?;
        if let Some(limit) = &mut self.requests {
            limit.bucket.take(1.0);
        }
        if let Some(limit) = &mut self.tokens {
            limit.bucket.take(tokens);
        }
        self.in_flight += 1;
        if let Some(limit) = &mut self.concurrency {
            limit.peak = limit.peak.max(self.in_flight);
        }
        Ok(())
    }

    fn count_arrival(&mut self, tokens: f64) {
        if let Some(limit) = &mut self.requests {
            limit.arrived += 1.0;
        }
        if let Some(limit) = &mut self.tokens {
            limit.arrived += tokens;
        }
    }

    pub(super) fn release(&mut self, unused_tokens: u32) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(limit) = &mut self.tokens {
            limit.bucket.refund(f64::from(unused_tokens));
        }
    }

    /// Closes a report interval and returns this node's report, or `None` if its usage is negligible.
    pub(super) fn close_interval(
        &mut self,
        tenant: &TenantId,
        timing: &Timing,
        now: Timestamp,
    ) -> Option<TenantUsage> {
        let rates = [&mut self.requests, &mut self.tokens];
        rates.into_iter().flatten().for_each(|limit| limit.close_interval(timing, now));
        if let Some(limit) = &mut self.concurrency {
            limit.close_interval(timing, self.in_flight, now);
        }
        let entry = TenantUsage {
            tenant: tenant.clone(),
            milli_requests_per_second: (latest(self.requests.as_ref()) * 1_000.0).ceil() as u64,
            tokens_per_second: latest(self.tokens.as_ref()).ceil() as u64,
            requested_concurrency: self
                .concurrency
                .as_ref()
                .map_or(0, |limit| limit.reported.latest() as u32),
            granted_concurrency: self
                .concurrency
                .as_ref()
                .map_or(0, |limit| limit.granted.max(self.in_flight)),
        };
        let is_relevant = entry.milli_requests_per_second > 0
            || entry.tokens_per_second > 0
            || entry.requested_concurrency > 0
            || (self.concurrency.is_some() && self.in_flight > 0);
        is_relevant.then_some(entry)
    }

    /// Records that this node's usage was not reported, so that it counts no demand of its own.
    pub(super) fn withdraw_report(&mut self, timing: &Timing, now: Timestamp) {
        let window = timing.window;
        let rates = [&mut self.requests, &mut self.tokens];
        rates.into_iter().flatten().for_each(|limit| limit.reported.report(0.0, window, now));
        if let Some(limit) = &mut self.concurrency {
            limit.reported.report(0.0, window, now);
        }
    }

    /// Returns the largest demanded fraction of a quota, by which reports are prioritized.
    pub(super) fn demanded_fraction(&self) -> f64 {
        let rates = [&self.requests, &self.tokens];
        let rates = rates
            .into_iter()
            .flatten()
            .map(|limit| limit.reported.latest() / limit.quota.max(f64::MIN_POSITIVE));
        let concurrency =
            self.concurrency.iter().map(|limit| limit.reported.latest() / f64::from(limit.quota.max(1)));
        rates.chain(concurrency).fold(0.0, f64::max)
    }

    pub(super) fn update_share(
        &mut self,
        timing: &Timing,
        reporting: u32,
        others: &PeerUsage,
        now: Timestamp,
    ) {
        if let Some(limit) = &mut self.requests {
            limit.update_share(timing, reporting, others.requests_per_second, now);
        }
        if let Some(limit) = &mut self.tokens {
            limit.update_share(timing, reporting, others.tokens_per_second, now);
        }
        if let Some(limit) = &mut self.concurrency {
            limit.update_share(timing, reporting, others, now);
        }
    }
}

fn latest(limit: Option<&RateLimit>) -> f64 {
    limit.map_or(0.0, |limit| limit.reported.latest())
}

fn set_rate(limit: &mut Option<RateLimit>, quota: Option<f64>, now: Timestamp) {
    match (limit.as_mut(), quota) {
        (Some(limit), Some(quota)) => limit.quota = quota,
        (_, quota) => *limit = quota.map(|quota| RateLimit::new(quota, 1.0, now)),
    }
}

fn check_rate(
    limit: &mut Option<RateLimit>,
    cost: f64,
    kind: LimitKind,
    now: Timestamp,
) -> Result<(), LimitRefusal> {
    let wait = limit.as_mut().map_or(Duration::ZERO, |limit| limit.bucket.wait(cost, now));
    if wait.is_zero() { Ok(()) } else { Err(LimitRefusal { kind, retry_after: wait }) }
}
