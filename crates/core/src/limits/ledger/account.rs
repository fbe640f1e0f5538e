//! One tenant's account at one node: its bucket level, spending and demand.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::{
    QuotaRefusal,
    bucket_size::{BucketSize, QuotaBounds},
};
use crate::{forwarding::document::TenantQuota, recent_rate::RecentRate};

/// Time constant of the decaying demand estimate.
const DEMAND_DECAY: Duration = Duration::from_secs(1);
/// Fraction of the capacity above which everything that fits is granted, as a short burst is no overload.
const AMPLE_LEVEL: f64 = 0.75;
/// Fraction of the capacity that is the target level under overload.
const TARGET_LEVEL: f64 = 0.5;
/// Seconds in which the distance to the target level is made up. Nodes see each other's grants about 0.5 s
/// late; a shorter time makes them oscillate.
const CORRECTION_S: f64 = 1.0;
/// A request larger than this fraction of the capacity is granted at this level, or it never would be.
const MAX_REQUEST_FRACTION: f64 = 0.9;
/// Bounds of the retry hint.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// See [`MIN_RETRY_AFTER`].
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Accounts whose level is below, or whose demand is above, this fraction of capacity or rate are reported to
/// other nodes.
const REPORT_THRESHOLD: f64 = 0.8;

/// How this node shares the buckets of all accounts with other nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Sharing {
    /// The fraction of the nodes that this node's level and rate stand for.
    pub fraction: f64,
    /// Whether this node owns the level, as no parent reports one to it.
    pub owns_level: bool,
    /// The fraction of the capacity that the nodes sharing the level may grant at once.
    pub capacity_fraction: f64,
    pub shared: bool,
}

/// A tenant's account at one node.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) quota: TenantQuota,
    bucket: BucketSize,
    /// Units that may be granted; negative when overdrawn.
    level: f64,
    updated: Timestamp,
    /// Units granted since the last report.
    unreported: f64,
    /// Units in a report that is not acknowledged yet.
    report_in_flight: f64,
    own_rate: RecentRate,
    /// Requested units per second at all nodes that share the level, as far as known.
    demand: f64,
}

impl Account {
    /// Creates an account filled to the fraction `filled` of its capacity.
    pub(super) fn new(quota: TenantQuota, bounds: &QuotaBounds, filled: f64, now: Timestamp) -> Self {
        let bucket = BucketSize::of(&quota, bounds);
        Self {
            quota,
            bucket,
            level: bucket.capacity * filled,
            updated: now,
            unreported: 0.0,
            report_in_flight: 0.0,
            own_rate: RecentRate::new(DEMAND_DECAY),
            demand: 0.0,
        }
    }

    /// Replaces the quota. Past grants stay counted.
    pub(super) fn set_quota(&mut self, quota: TenantQuota, bounds: &QuotaBounds) {
        self.quota = quota;
        self.bucket = BucketSize::of(&quota, bounds);
        self.level = self.level.min(self.bucket.capacity);
    }

    pub(super) const fn level(&self) -> f64 {
        self.level
    }

    pub(super) const fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns the requested units per second at this node.
    pub(super) fn own_demand(&self, now: Timestamp) -> f64 {
        self.own_rate.per_second(now)
    }

    pub(super) const fn set_demand(&mut self, demand: f64) {
        self.demand = demand;
    }

    /// Scales a positive level, as when the level of all nodes is divided among them.
    pub(super) fn scale(&mut self, factor: f64) {
        if self.level > 0.0 {
            self.level *= factor;
        }
    }

    /// Sets the level to the fraction `filled` of the capacity, less recent grants.
    pub(super) fn reset_to(&mut self, filled: f64) {
        self.level = self.bucket.capacity * filled - self.unreported - self.report_in_flight;
    }

    /// Refills up to `now`. While other nodes draw on the same level and their grants are not reported yet,
    /// the level rises only by the rate that known demand leaves.
    pub(super) fn refill(&mut self, sharing: Sharing, now: Timestamp) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        let rate = self.bucket.rate * sharing.fraction;
        let net_rate = if sharing.owns_level { rate } else { (rate - self.demand).max(0.0) };
        self.level = (self.level + elapsed * net_rate).min(self.bucket.capacity * sharing.capacity_fraction);
        self.updated = self.updated.max(now);
    }

    /// Grants `cost` units or returns a retry hint. `draw` is uniformly distributed in 0 to 1.
    pub(super) fn admit(
        &mut self,
        cost: f64,
        draw: f64,
        sharing: Sharing,
        now: Timestamp,
    ) -> Result<(), QuotaRefusal> {
        self.refill(sharing, now);
        self.own_rate.add(cost, now);
        let capacity = self.bucket.capacity * sharing.capacity_fraction;
        let rate = self.bucket.rate * sharing.fraction;
        let demand = self.demand.max(self.own_rate.per_second(now));
        let wanted = cost.min(capacity * MAX_REQUEST_FRACTION);
        let overloaded = sharing.shared && demand > rate && self.level < capacity * AMPLE_LEVEL;
        let granted = if overloaded {
            // All nodes grant the same fraction of the demand, so that the sum matches the quota and the
            // level stays at its target. Waiting for the level to cover each request would serve only the
            // small ones.
            let share = (rate + (self.level - capacity * TARGET_LEVEL) / CORRECTION_S) / demand;
            self.level > 0.0 && draw < share
        } else {
            self.level >= wanted
        };
        if granted {
            self.take(cost);
            return Ok(());
        }
        let missing = (wanted - self.level).max(0.0) / rate.max(f64::MIN_POSITIVE);
        Err(QuotaRefusal { retry_after: retry_after(missing, demand / rate.max(f64::MIN_POSITIVE), draw) })
    }

    fn take(&mut self, cost: f64) {
        self.level -= cost;
        self.unreported += cost;
    }

    /// Returns the units of a request that did not run.
    pub(super) fn refund(&mut self, cost: f64) {
        self.take(-cost);
    }

    /// Subtracts units that a child has granted. The debt is bounded by the capacity, so that late reports do
    /// not block the tenant for long.
    pub(super) fn granted_by_child(&mut self, units: f64) {
        self.take(units);
        self.level = self.level.max(-self.bucket.capacity);
    }

    /// Moves all unreported units into the report in flight and returns their number.
    pub(super) fn report(&mut self) -> f64 {
        self.report_in_flight += std::mem::take(&mut self.unreported);
        self.report_in_flight
    }

    /// Whether children need this account: its level is low or its demand is high.
    pub(super) fn is_worth_reporting(&self, sharing: Sharing) -> bool {
        let (capacity, rate) =
            (self.bucket.capacity * sharing.capacity_fraction, self.bucket.rate * sharing.fraction);
        self.level < capacity * REPORT_THRESHOLD || self.demand > rate * REPORT_THRESHOLD
    }

    /// Whether a report must include this demand; smaller demands are a negligible part of the rate.
    pub(super) fn is_demand_worth_reporting(&self, demand: f64) -> bool {
        demand > self.bucket.rate / 1_000.0
    }

    /// Records that the parent acknowledged the last report.
    pub(super) const fn report_answered(&mut self) {
        self.report_in_flight = 0.0;
    }

    /// Applies the level from the parent, which includes the last report. `None` means a well filled account.
    pub(super) fn apply_level(&mut self, level: Option<f64>, demand: f64, sharing: Sharing, now: Timestamp) {
        let capacity = self.bucket.capacity * sharing.capacity_fraction;
        self.level = level.unwrap_or(capacity).min(capacity) - self.unreported;
        self.demand = demand;
        self.updated = now;
    }

    /// Records that the last report failed: its units go into the next one.
    pub(super) fn report_failed(&mut self) {
        self.unreported += std::mem::take(&mut self.report_in_flight);
    }
}

/// Returns the time until the account alone would cover the request, spread so that callers do not return
/// together when demand is `overload` times the rate.
fn retry_after(missing_seconds: f64, overload: f64, draw: f64) -> Duration {
    let min = MIN_RETRY_AFTER.as_secs_f64();
    let max = MAX_RETRY_AFTER.as_secs_f64();
    let spread = overload.clamp(1.0, max / min) * draw;
    let seconds = missing_seconds.clamp(min, max) * (1.0 + spread);
    Duration::from_secs_f64(seconds.min(max))
}
