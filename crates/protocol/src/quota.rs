//! Tenants' quota usage, gossiped between nodes so that quotas can be divided by demand.
//!
//! Digests are carried by membership probes. Each node writes its own and forwards those of others, adding to
//! their age the time that it stored them; clocks of different machines are never compared.

use serde::{Deserialize, Serialize};

use crate::identity::{Incarnation, NodeId, TenantId};

/// Maximum number of tenants in a digest; those with the largest share of their quota in use are included.
pub const MAX_DIGEST_TENANTS: usize = 32;

/// One node's quota usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaDigest {
    pub node: NodeId,
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Incremented with each report within an incarnation.
    #[serde(rename = "r")]
    pub round: u64,
    /// Milliseconds since the node wrote the digest, excluding time in flight.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Usage by tenant; tenants that are not listed use little.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantUsage>,
}

/// One tenant's usage at one node, serialised as an array to save space.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(TenantId, u64, u64, u32, u32)", into = "(TenantId, u64, u64, u32, u32)")]
pub struct TenantUsage {
    pub tenant: TenantId,
    /// Requested rate in thousandths of a request a second.
    pub milli_requests_per_second: u64,
    /// Requested tokens a second.
    pub tokens_per_second: u64,
    /// Concurrent requests that callers want to run.
    pub requested_concurrency: u32,
    /// Concurrent requests that are running, or that the node may start within its current share.
    pub granted_concurrency: u32,
}

type TenantUsageFields = (TenantId, u64, u64, u32, u32);

impl From<TenantUsageFields> for TenantUsage {
    fn from(fields: TenantUsageFields) -> Self {
        let (
            tenant,
            milli_requests_per_second,
            tokens_per_second,
            requested_concurrency,
            granted_concurrency,
        ) = fields;
        Self {
            tenant,
            milli_requests_per_second,
            tokens_per_second,
            requested_concurrency,
            granted_concurrency,
        }
    }
}

impl From<TenantUsage> for TenantUsageFields {
    fn from(entry: TenantUsage) -> Self {
        (
            entry.tenant,
            entry.milli_requests_per_second,
            entry.tokens_per_second,
            entry.requested_concurrency,
            entry.granted_concurrency,
        )
    }
}
