//! Workload of a scenario.

use serde::Deserialize;

/// A group of equal tenants.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantGroup {
    /// Name prefix of the tenants; numbered if there are several.
    pub name: String,
    #[serde(default = "one")]
    pub count: usize,
    /// Share of the requests of each tenant, relative to other tenants.
    pub traffic: f64,
    /// Weight of each tenant's fair share if limits are enforced.
    #[serde(default = "one_share")]
    pub weight: u32,
}

const fn one() -> usize {
    1
}

const fn one_share() -> u32 {
    1
}

/// Shared prefixes of the prompts: one tree per tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefixes {
    /// Levels of the tree from the root.
    pub levels: Vec<PrefixLevel>,
    /// Skew of the popularity of siblings: rank r is chosen in proportion to r^-skew.
    pub zipf_skew: f64,
    /// Interval at which all ranks are redrawn; never by default.
    #[serde(default)]
    pub shift_period_s: Option<f64>,
    /// Number of blocks unique to a request after the shared prefix: minimum and maximum.
    pub own_blocks: [u32; 2],
}

/// One level of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrefixLevel {
    /// Children per node of the parent level.
    pub fan_out: usize,
    /// Blocks per node: minimum and maximum.
    pub blocks: [u32; 2],
    /// Share of requests whose shared prefix ends at this level.
    #[serde(default)]
    pub ends_here: f64,
}

/// A Poisson arrival process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Mean rate.
    pub requests_per_second: f64,
    /// Seconds in which the rate rises linearly from the start, so that caches fill before full load.
    #[serde(default)]
    pub ramp_up_s: f64,
}

/// Answer lengths: exponentially distributed, truncated at the maximum.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answers {
    /// Mean before truncation.
    pub mean_tokens: f64,
    /// The length at which answers are truncated.
    #[serde(rename = "most_tokens")]
    pub max_tokens: u32,
}
