//! The operator's configuration document: routes, services, tenants and ingress limits. Nodes exchange it as
//! JSON.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use paddlemount_protocol::identity::{ModelId, ServiceId, TenantId, ZoneId};
use serde::{Deserialize, Serialize};

/// A complete configuration document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Increases with each change, not necessarily by 1.
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: BTreeMap<ServiceId, Service>,
    pub limits: IngressLimits,
    /// If empty, no request needs a key.
    pub tenants: Vec<Tenant>,
}

/// Whether requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once, unless the caller sends it again.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another back end may continue after the last event that arrived.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route, which matches requests by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// Compared with the host of a request without its port.
    pub host: String,
    /// The prefix of the path; starts and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// Maximum time to hold a request.
    pub timeout: Duration,
    /// The time within which an answer should start.
    pub target_latency: Duration,
    /// Maximum time between two events of a stream that meets its target.
    pub target_gap: Option<Duration>,
    /// Maximum number of back ends to which a request is sent.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// The services among which requests are split.
    pub split: Vec<Share>,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub service: ServiceId,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections to one back end, over all nodes.
    pub max_connections: u32,
    /// Set for services of model engines only.
    pub engine: Option<EngineTraits>,
    /// Set for cache stores only.
    #[serde(rename = "kept_cache")]
    pub cache_store: Option<CacheStore>,
}

/// The properties of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Whether the state of a run can be copied to another engine while it grows.
    pub copies: bool,
    /// The capacity of the cache, in tokens.
    pub cache_tokens: u64,
    /// The size of a cached token, in bytes; 0 if not stated.
    #[serde(default)]
    pub bytes_per_token: u64,
    /// The bandwidth of an engine's link for transfers of cached tokens, in Mbit/s; 0 if not stated.
    #[serde(default)]
    pub link_mbps: f64,
    pub models: Vec<ModelId>,
}

/// Where a cache store is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheStore {
    /// Where it listens.
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// The bandwidth of its link, in Mbit/s; 0 if not stated.
    #[serde(default)]
    pub link_mbps: f64,
}

/// Ingress limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for IngressLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The lowest priority that a request can have.
pub const LOWEST_RANK: u8 = 9;
/// The number of route priorities within one priority of tenants.
const ROUTE_RANKS: u8 = 3;

/// The priority of a request at an engine, 0 being the highest: the tenant's takes precedence over the
/// route's.
pub fn rank(tenant: Option<&Tenant>, route: &Route) -> u8 {
    let of_tenant = tenant.map_or(0, |tenant| tenant.priority);
    of_tenant.saturating_mul(ROUTE_RANKS).saturating_add(route.priority).min(LOWEST_RANK)
}

/// A tenant, identified by its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    pub name: TenantId,
    pub keys: Vec<String>,
    /// Priority, which takes precedence over the route's; 0 is the highest.
    pub priority: u8,
    /// Whether it shares no cached prefixes with other tenants.
    pub isolated: bool,
    /// Its quota over all nodes, if any.
    pub quota: Option<TenantQuota>,
}

/// A tenant's quota over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantQuota {
    pub unit: QuotaUnit,
    /// Units per second; greater than 0.
    pub per_second: f64,
    /// Units that may be used at once, besides the rate.
    pub burst: f64,
    /// The tokens charged for a request that does not state its usage.
    pub unstated_tokens: u32,
}

/// The unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request is one unit.
    Requests,
    /// Each token of the prompt, and of the maximum answer, is one unit.
    Tokens,
}

/// The tokens that a request states it may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenUsage {
    #[default]
    Unstated,
    /// The tokens of the prompt and of the maximum answer together.
    Stated(u64),
    /// The stated value is not a number of tokens.
    Malformed,
}

impl TenantQuota {
    /// The units to charge for a request; none if its usage is malformed and needed.
    pub fn units(&self, usage: TokenUsage) -> Option<f64> {
        match (self.unit, usage) {
            (QuotaUnit::Requests, _) => Some(1.0),
            (QuotaUnit::Tokens, TokenUsage::Unstated) => Some(f64::from(self.unstated_tokens)),
            (QuotaUnit::Tokens, TokenUsage::Stated(tokens)) => Some(tokens as f64),
            (QuotaUnit::Tokens, TokenUsage::Malformed) => None,
        }
    }
}
