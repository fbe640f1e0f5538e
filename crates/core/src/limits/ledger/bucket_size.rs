//! What the fleet grants of a tenant's quota, so that the operator's bound holds in every window.

use std::time::Duration;

use crate::forwarding::document::TenantQuota;

/// The part of the bound that is used.
const USED: f64 = 0.93;
/// The part of the bound that a steady rate may take where the quota leaves hardly any room above itself.
const STEADY: f64 = 0.85;
/// The part of what is left beside the steady rate that may be granted at once. The rest is for what nodes grant before
/// they have heard of each other, and for processes that begin with a part of the bucket again.
const AT_ONCE: f64 = 0.6;

/// How much more than a quota may run in any window, over all nodes. Units are requests or tokens, as the quota's are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window.
    pub window: Duration,
    /// The share of the quota that may run beyond it.
    pub overage: f64,
    /// Units that may run beyond that.
    pub slack: f64,
}

impl QuotaBounds {
    /// The units that may run in a window.
    pub fn most(&self, quota: &TenantQuota) -> f64 {
        (quota.per_second * self.window.as_secs_f64() + quota.burst) * (1.0 + self.overage) + self.slack
    }
}

/// The token bucket by which a tenant's requests are admitted, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketSize {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub capacity: f64,
}

impl BucketSize {
    /// The bucket that uses as much of a quota's bound as is safe.
    pub fn of(quota: &TenantQuota, bounds: &QuotaBounds) -> Self {
        let window = bounds.window.as_secs_f64();
        let most = bounds.most(quota);
        let rate = quota.per_second.min(most * STEADY / window);
        Self { rate, capacity: (most * USED - rate * window) * AT_ONCE }
    }
}
