//! The operator's document: routes, services, tenants and limits of ingress. Nodes pass it on to each other as JSON.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use paddlemount_protocol::identity::{ModelId, ServiceId, TenantId, ZoneId};
use serde::{Deserialize, Serialize};

/// A whole document. Its version rises with each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The version; rises in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// What a caller may send, and how slowly.
    pub limits: IngressLimits,
    /// All tenants. None at all means that no request needs a key.
    pub tenants: Vec<Tenant>,
}

/// What may be done with a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// It may run more than once.
    Repeatable,
    /// It runs at most once in a try of the caller.
    AtMostOnce,
    /// It is answered by a stream of events.
    Stream {
        /// Whether another back end may go on after the last event that arrived.
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

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The path's beginning; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done again.
    pub kind: RouteKind,
    /// The longest time that a caller's try is held.
    pub timeout: Duration,
    /// The time within which an answer should begin.
    pub target_latency: Duration,
    /// The longest pause between events that is still good.
    pub target_gap: Option<Duration>,
    /// Back ends that one try of a caller may go to.
    pub attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// The services that share the route's requests.
    pub split: Vec<Share>,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one back end takes from all callers together.
    pub max_connections: u32,
    /// What its model engines have; none for other services.
    pub engine: Option<EngineTraits>,
    /// Where it is a store of kept cache: its address and zone.
    #[serde(rename = "kept_cache")]
    pub cache_store: Option<CacheStore>,
}

/// What the model engines of a service have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Requests that run at once.
    pub slots: u32,
    /// Whether a run's memory can be copied to another engine as it grows.
    pub copies: bool,
    /// Tokens that fit the cache.
    pub cache_tokens: u64,
    /// The models served.
    pub models: Vec<ModelId>,
}

/// A store of kept cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheStore {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// The time in which a head must arrive.
    pub header_timeout: Duration,
    /// The time that a connection may rest.
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

/// The lowest rank that a request can have.
pub const LOWEST_RANK: u8 = 9;
/// Ranks of routes within one rank of tenants.
const ROUTE_RANKS: u8 = 3;

/// The rank of a request at an engine, 0 being the highest: its tenant's rank goes ahead of its route's.
pub fn rank(tenant: Option<&Tenant>, route: &Route) -> u8 {
    let of_tenant = tenant.map_or(0, |tenant| tenant.priority);
    of_tenant.saturating_mul(ROUTE_RANKS).saturating_add(route.priority).min(LOWEST_RANK)
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: TenantId,
    /// The keys that its callers send.
    pub keys: Vec<String>,
    /// Rank, ahead of the route's; 0 is the highest.
    pub priority: u8,
    /// Whether it shares no cached prompt state with other tenants.
    pub isolated: bool,
    /// What it may use, over all nodes; none where it has no limit.
    pub quota: Option<TenantQuota>,
}

/// What a tenant may use, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second; more than 0.
    pub per_second: f64,
    /// Units at once beside.
    pub burst: f64,
    /// Tokens that a request counts for that does not say how many it uses.
    pub unstated_tokens: u32,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request is one unit.
    Requests,
    /// Each token of a prompt, and each that its answer may have, is one unit.
    Tokens,
}

/// What a request says of the tokens that it uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenUsage {
    /// It says nothing.
    #[default]
    Unstated,
    /// Tokens of its prompt and the most that its answer may have, added up.
    Stated(u64),
    /// It says something that is no number of tokens.
    Malformed,
}

impl TenantQuota {
    /// The units that a request counts for; none where it does not say how many in a form that can be counted.
    pub fn units(&self, usage: TokenUsage) -> Option<f64> {
        match (self.unit, usage) {
            (QuotaUnit::Requests, _) => Some(1.0),
            (QuotaUnit::Tokens, TokenUsage::Unstated) => Some(f64::from(self.unstated_tokens)),
            (QuotaUnit::Tokens, TokenUsage::Stated(tokens)) => Some(tokens as f64),
            (QuotaUnit::Tokens, TokenUsage::Malformed) => None,
        }
    }
}
