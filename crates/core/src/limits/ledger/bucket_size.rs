//! Computes the token bucket for a tenant's quota, so that the operator's bound holds in every window.

use std::time::Duration;

use crate::forwarding::document::TenantQuota;

/// Fraction of the bound that rate and capacity use together.
const USED_FRACTION: f64 = 0.93;
/// Maximum fraction of the bound for the steady rate, for quotas that allow little above it.
const MAX_STEADY_FRACTION: f64 = 0.85;
/// Fraction of the bound left by the steady rate that may be granted at once. The remainder covers grants
/// that nodes make before they see each other's, and restarted processes that start with a partly filled
/// bucket.
const BURST_FRACTION: f64 = 0.6;

/// How far a quota may be exceeded in any window, over all nodes. Units are requests or tokens, as in the
/// quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    pub window: Duration,
    /// The fraction of the quota that may run beyond it.
    pub overage: f64,
    /// Units that may run beyond that.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the maximum number of units in a window.
    pub fn max_units(&self, quota: &TenantQuota) -> f64 {
        (quota.per_second * self.window.as_secs_f64() + quota.burst) * (1.0 + self.overage) + self.slack
    }
}

/// Rate and capacity of a tenant's token bucket over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketSize {
    /// Units per second.
    pub rate: f64,
    pub capacity: f64,
}

impl BucketSize {
    /// Computes the largest bucket that keeps a quota within its bounds.
    pub fn of(quota: &TenantQuota, bounds: &QuotaBounds) -> Self {
        let window = bounds.window.as_secs_f64();
        let max_units = bounds.max_units(quota);
        let rate = quota.per_second.min(max_units * MAX_STEADY_FRACTION / window);
        Self { rate, capacity: (max_units * USED_FRACTION - rate * window) * BURST_FRACTION }
    }
}
