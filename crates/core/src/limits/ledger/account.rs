//! One tenant's account at one node.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::{
    QuotaRefusal,
    bucket_size::{BucketSize, QuotaBounds},
};
use crate::{forwarding::document::TenantQuota, recent_rate::RecentRate};

/// The time in which demand fades to a third.
const FADES: Duration = Duration::from_secs(1);
/// The part of the capacity above which all is granted that fits: a short rush is no overload.
const AMPLE: f64 = 0.75;
/// The part of the capacity that is aimed at under overload.
const AIM: f64 = 0.5;
/// The time, in seconds, in which the distance from that aim is made up. Nodes hear of each other's grants some 0.5 s
/// late; a shorter time would make all of them grant and refuse by turns.
const CORRECTION_S: f64 = 1.0;
/// A request larger than this part of the capacity is granted once so much is there, or it never would be.
const LARGEST: f64 = 0.9;
/// The least time to come back after a refusal.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The longest one.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The parts of capacity or rate beyond which other nodes hear of an account.
const WORTH_TELLING: f64 = 0.8;

/// What is true of all accounts of a node at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Sharing {
    /// The part of the fleet that the node's knowledge covers.
    pub part: f64,
    /// Whether grants of this node and those below it are all that the level has to bear: no other node tells it.
    pub heads: bool,
    /// The part of the capacity that may be granted at once by the nodes that share the level.
    pub capacity_part: f64,
    /// Whether other nodes draw on the same level.
    pub shared: bool,
}

/// A tenant's account.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) quota: TenantQuota,
    bucket: BucketSize,
    /// Units that may be granted; negative where more was granted than was there.
    level: f64,
    updated: Timestamp,
    /// Units granted that no report has told yet.
    untold: f64,
    /// Units that a report has told which is not answered yet.
    on_the_way: f64,
    own: RecentRate,
    /// Units a second that callers ask for at all nodes that draw on the level, as far as known.
    demand: f64,
}

impl Account {
    /// An account of which the part `filled` is there.
    pub(super) fn new(quota: TenantQuota, bounds: &QuotaBounds, filled: f64, now: Timestamp) -> Self {
        let bucket = BucketSize::of(&quota, bounds);
        Self {
            quota,
            bucket,
            level: bucket.capacity * filled,
            updated: now,
            untold: 0.0,
            on_the_way: 0.0,
            own: RecentRate::new(FADES),
            demand: 0.0,
        }
    }

    /// Takes a new quota over. What was granted stays granted.
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

    /// Units a second that callers ask for at this node.
    pub(super) fn own_demand(&self, now: Timestamp) -> f64 {
        self.own.per_second(now)
    }

    pub(super) const fn set_demand(&mut self, demand: f64) {
        self.demand = demand;
    }

    /// Multiplies what is there, as where the level of all nodes is divided among them.
    pub(super) fn scale(&mut self, factor: f64) {
        if self.level > 0.0 {
            self.level *= factor;
        }
    }

    /// Begins with the part `filled` of the capacity, less what has been granted meanwhile.
    pub(super) fn begin_with(&mut self, filled: f64) {
        self.level = self.bucket.capacity * filled - self.untold - self.on_the_way;
    }

    /// Fills up to `now`. Where other nodes draw on the same level, what they take meanwhile is not known before they
    /// tell: the level rises only by what the known demand leaves.
    pub(super) fn refill(&mut self, sharing: Sharing, now: Timestamp) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        let rate = self.bucket.rate * sharing.part;
        let rises = if sharing.heads { rate } else { (rate - self.demand).max(0.0) };
        self.level = (self.level + elapsed * rises).min(self.bucket.capacity * sharing.capacity_part);
        self.updated = self.updated.max(now);
    }

    /// Grants `cost` units or says when to come back. `draw` is drawn evenly for each request, from 0 to 1.
    pub(super) fn admit(
        &mut self,
        cost: f64,
        draw: f64,
        sharing: Sharing,
        now: Timestamp,
    ) -> Result<(), QuotaRefusal> {
        self.refill(sharing, now);
        self.own.add(cost, now);
        let capacity = self.bucket.capacity * sharing.capacity_part;
        let rate = self.bucket.rate * sharing.part;
        let demand = self.demand.max(self.own.per_second(now));
        let wanted = cost.min(capacity * LARGEST);
        let overloaded = sharing.shared && demand > rate && self.level < capacity * AMPLE;
        let granted = if overloaded {
            // All nodes grant the same share of what is asked, so that the sum is what the quota allows, and the
            // level stays at its aim. Waiting for the level to bear each request would serve the small ones only.
            let share = (rate + (self.level - capacity * AIM) / CORRECTION_S) / demand;
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
        self.untold += cost;
    }

    /// What was granted did not run.
    pub(super) fn refund(&mut self, cost: f64) {
        self.take(-cost);
    }

    /// A node below has granted so much. A debt is remembered up to the capacity: what was granted long ago, and is told
    /// only now, must not stop the tenant for long.
    pub(super) fn granted_below(&mut self, units: f64) {
        self.take(units);
        self.level = self.level.max(-self.bucket.capacity);
    }

    /// Units that a report tells now.
    pub(super) fn report(&mut self) -> f64 {
        self.on_the_way += std::mem::take(&mut self.untold);
        self.on_the_way
    }

    /// Whether the account matters to others: it is empty enough, or asked for enough.
    pub(super) fn is_worth_telling(&self, sharing: Sharing) -> bool {
        let (capacity, rate) =
            (self.bucket.capacity * sharing.capacity_part, self.bucket.rate * sharing.part);
        self.level < capacity * WORTH_TELLING || self.demand > rate * WORTH_TELLING
    }

    /// Whether a report needs to tell this demand: all that is left out is a small part of the rate.
    pub(super) fn is_demand_worth_telling(&self, demand: f64) -> bool {
        demand > self.bucket.rate / 1_000.0
    }

    /// The node above has answered the last report: it need not be told again.
    pub(super) const fn report_answered(&mut self) {
        self.on_the_way = 0.0;
    }

    /// The node above has told the level, which bears the last report; or nothing where the account is well filled.
    pub(super) fn told(&mut self, level: Option<f64>, demand: f64, sharing: Sharing, now: Timestamp) {
        let capacity = self.bucket.capacity * sharing.capacity_part;
        self.level = level.unwrap_or(capacity).min(capacity) - self.untold;
        self.demand = demand;
        self.updated = now;
    }

    /// The last report was not answered: the next one tells the same again.
    pub(super) fn report_failed(&mut self) {
        self.untold += std::mem::take(&mut self.on_the_way);
    }
}

/// When to come back: when the account alone would bear the request, spread so that the callers of an overload of
/// `overload` times the rate do not return together.
fn retry_after(missing_s: f64, overload: f64, draw: f64) -> Duration {
    let least = LEAST_RETRY_AFTER.as_secs_f64();
    let longest = LONGEST_RETRY_AFTER.as_secs_f64();
    let spread = overload.clamp(1.0, longest / least) * draw;
    let seconds = missing_s.clamp(least, longest) * (1.0 + spread);
    Duration::from_secs_f64(seconds.min(longest))
}
