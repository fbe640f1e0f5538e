//! What nodes tell each other about tenants' use, so that a quota can be split by demand.
//!
//! Digests ride on membership probes. Each node writes its own and passes on those of others, adding the time that it held
//! them to their age; clocks of different machines are never compared.

use serde::{Deserialize, Serialize};

use crate::identity::{Incarnation, NodeId, TenantId};

/// Tenants that one digest names at most: those with the largest use of their quota at the node.
pub const MAX_DIGEST_TENANTS: usize = 32;

/// One node's use of tenants' quotas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaDigest {
    /// The node that reports.
    pub node: NodeId,
    /// The node's life.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Rises with each report within a life.
    #[serde(rename = "r")]
    pub round: u64,
    /// Milliseconds since the node wrote it, time on the way excluded.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Use by tenant; a tenant that is not named uses little.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantUsage>,
}

/// One tenant's use at one node; a JSON array, to be short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(TenantId, u64, u64, u32, u32)", into = "(TenantId, u64, u64, u32, u32)")]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantId,
    /// Thousandths of requests a second that are asked for.
    pub milli_requests_per_second: u64,
    /// Tokens a second that are asked for.
    pub tokens_per_second: u64,
    /// Requests at the same time that are asked for.
    pub requested_concurrency: u32,
    /// Requests at the same time that run or that the node may start by its present share.
    pub granted_concurrency: u32,
}

type TenantUseFields = (TenantId, u64, u64, u32, u32);

impl From<TenantUseFields> for TenantUsage {
    fn from(fields: TenantUseFields) -> Self {
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

impl From<TenantUsage> for TenantUseFields {
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
