//! Messages between forwarding nodes, as JSON over HTTP/1.1.
//!
//! Nodes form a tree rooted at the node that holds the leader lease. A node sends a [`JoinRequest`] to the
//! root, or to an ancestor that it knows, and is accepted or referred to another node. It then sends a
//! [`Report`] to its parent several times a second and receives a [`Digest`] in response.
//!
//! Entries that occur in large numbers have short names on the wire to save bandwidth on small machines.
//! Correctness does not depend on these messages: a node that reaches no other node reads the metadata store
//! itself.

mod forwarding;
mod load;
mod streams;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    identity::{EngineId, ModelId, NodeId, Revision, TenantId, WeightsVersion, ZoneId},
    quarantine::{QuarantineDigest, RunReport},
};

pub use forwarding::{
    ALIVE_PATH, ATTEMPTS_HEADER, CREDITED_HEADER, FORWARD_PATH, ForwardOutcome, Intermediary, OUTCOME_HEADER,
    SERVICE_HEADER, TIME_LEFT_HEADER,
};
pub use load::{EngineCondition, EnginePerformance, EngineWork, OutcomeSum, PoolDemand, PoolRates};
pub use streams::{
    FIND_STREAM_PATH, FindStream, FoundStream, MEMBERS_PATH, RECORD_STREAMS_PATH, SOFTWARE_HEADER,
    SeenSoftware, SoftwareGroup, SoftwareHistoryMessage, StreamKey, StreamOrigin, StreamRecord,
    StreamRecords,
};

/// Path that receives [`Report`]s and answers with a [`Digest`].
pub const EXCHANGE_PATH: &str = "/fleet/exchange";
/// Path that receives [`JoinRequest`]s.
pub const JOIN_PATH: &str = "/fleet/join";
/// Path that returns a snapshot of everything a node knows of the metadata store.
pub const SNAPSHOT_PATH: &str = "/fleet/snapshot";

/// A node's name and address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Contact {
    pub node: NodeId,
    /// Address that receives reports.
    pub address: SocketAddr,
}

/// A node of the tree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub node: NodeId,
    pub zone: ZoneId,
    /// Address that receives reports.
    pub address: SocketAddr,
    /// Relative capacity of the node's machine; nodes with more capacity become parents.
    pub capacity: u32,
}

impl Member {
    /// The node's name and address.
    pub fn contact(&self) -> Contact {
        Contact { node: self.node.clone(), address: self.address }
    }
}

/// A node's request to become a child of the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    pub sender: Member,
    /// Nodes in the sender's subtree, itself included, that have reported recently.
    #[serde(rename = "heard")]
    pub reporting_nodes: u32,
    /// How many more nodes the sender's subtree can accept.
    #[serde(rename = "room")]
    pub join_capacity: u32,
    /// Nodes that recently failed to answer the sender; it must not be referred to them.
    #[serde(rename = "avoids", default)]
    pub unresponsive: Vec<NodeId>,
}

/// The answer to a [`JoinRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum JoinAnswer {
    /// The sender reports to the receiver from now on.
    Accepted,
    /// The sender should ask another node.
    Referred { to: Contact },
    /// The sender cannot join here, for example because it is an ancestor of the receiver. Unknown answers of
    /// later versions are treated alike.
    #[serde(other)]
    Refused,
}

/// What a subtree has granted of a tenant's quota, and the demand there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantSpending {
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// Units granted since the last answered report; negative if more was returned than granted.
    #[serde(rename = "s")]
    pub spent: f64,
    /// Units a second that callers request.
    #[serde(rename = "d")]
    pub demand: f64,
}

/// The remainder of a tenant's quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantCredit {
    #[serde(rename = "t")]
    pub tenant: TenantId,
    /// Units that the nodes sharing the quota may still grant; negative if they have granted too much.
    #[serde(rename = "l")]
    pub level: f64,
    /// Units a second that callers request at these nodes.
    #[serde(rename = "d")]
    pub demand: f64,
}

/// The remainders of all tenants' quotas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaDigest {
    /// Fraction of the fleet that shares these remainders, from 0 to 1.
    #[serde(rename = "part")]
    pub share: f64,
    /// Tenants that have used much of their quota; all others have nearly all of it left.
    pub credits: Vec<TenantCredit>,
}

/// How much of a prompt segment an engine has cached. Serialised as an array, as a message holds hundreds of
/// them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(EngineId, u64, u64, u32)", into = "(EngineId, u64, u64, u32)")]
pub struct CachedSegmentUpdate {
    /// The engine or the cache store.
    pub engine: EngineId,
    /// Hash of the segment's scope.
    pub scope: u64,
    pub segment: u64,
    /// Cached tokens of the segment; 0 if it was evicted.
    pub tokens: u32,
}

impl From<(EngineId, u64, u64, u32)> for CachedSegmentUpdate {
    fn from((engine, scope, segment, tokens): (EngineId, u64, u64, u32)) -> Self {
        Self { engine, scope, segment, tokens }
    }
}

impl From<CachedSegmentUpdate> for (EngineId, u64, u64, u32) {
    fn from(update: CachedSegmentUpdate) -> Self {
        (update.engine, update.scope, update.segment, update.tokens)
    }
}

/// One process of a back end, which may restart under the same id. Serialised as an array.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(EngineId, Option<u64>)", into = "(EngineId, Option<u64>)")]
pub struct BackendProcess {
    pub id: EngineId,
    /// Start time in Unix milliseconds, if the registry entry states it.
    pub started_at: Option<u64>,
}

impl From<(EngineId, Option<u64>)> for BackendProcess {
    fn from((id, started_at): (EngineId, Option<u64>)) -> Self {
        Self { id, started_at }
    }
}

impl From<BackendProcess> for (EngineId, Option<u64>) {
    fn from(process: BackendProcess) -> Self {
        (process.id, process.started_at)
    }
}

/// The request limit that a back-end process has announced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitGossip {
    #[serde(rename = "p")]
    pub process: BackendProcess,
    /// Requests a second that the process accepts from all nodes together; `None` if it no longer announces a
    /// limit.
    #[serde(rename = "l")]
    pub per_second: Option<f64>,
    /// Milliseconds since the limit was received, when the message was written.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Milliseconds for which the process must get no requests, as it received too many before its limit was
    /// known.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub back_off_ms: u64,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde calls it with a reference")]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde calls it with a reference")]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// A limit and the share of it that the receiver's subtree may use. A limit is divided into slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitGrant {
    #[serde(rename = "n")]
    pub limit: LimitGossip,
    /// Slots of the receiver's subtree; `None` if the sender has none to grant.
    #[serde(rename = "s")]
    pub slots: Option<u32>,
    /// Requests a second that one slot allows.
    #[serde(rename = "r")]
    pub slot_per_second: f64,
}

/// Availability of the service registry, for nodes that do not read the metadata store themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RegistryState {
    /// Has been answering for a while.
    Serving,
    /// Answers again after a failure.
    #[serde(rename = "returning")]
    Recovering {
        /// Milliseconds since its first answer after the failure.
        for_ms: u64,
    },
    /// The last call failed. Unknown states of later versions are treated alike, as this state removes no
    /// back end.
    #[serde(rename = "away", other)]
    Unavailable,
}

/// An upper bound on how recently a model's target version was announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentTargetVersion {
    pub model: ModelId,
    /// The target version before; `None` if this is the first one.
    #[serde(rename = "above")]
    pub previous: Option<WeightsVersion>,
    pub version: WeightsVersion,
    /// Nothing newer than `previous` had been announced this many milliseconds before the proof that this
    /// entry is relayed with.
    pub before_ms: u64,
}

/// State of the metadata store, relayed to a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRelay {
    /// Age in milliseconds, when the digest was written, of the proof that nothing beyond `changes` has
    /// changed.
    pub age_ms: u64,
    /// The store revision after `changes`.
    #[serde(rename = "upto")]
    pub revision: Revision,
    pub registry: RegistryState,
    /// Changes since the revision in the report, as a JSON list of facts; empty if there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub changes: String,
    #[serde(rename = "named", default, skip_serializing_if = "Vec::is_empty")]
    pub recent_targets: Vec<RecentTargetVersion>,
    /// The software versions of the back ends among `changes`, whose rows have no field for it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub software: Vec<SoftwareGroup>,
}

/// Versions that never decrease, by which a node detects that a neighbour has read an older copy of the
/// store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedVersions {
    /// Version of the operator's document.
    #[serde(rename = "d")]
    pub document: Option<u64>,
    /// Hash of the target versions of all models.
    #[serde(rename = "w")]
    pub weights: u64,
}

/// What a node reports to its parent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub sender: Member,
    /// How many more nodes the subtree can accept.
    #[serde(rename = "room", default)]
    pub join_capacity: u32,
    /// Requests in flight in the subtree.
    #[serde(default)]
    pub work: Vec<EngineWork>,
    /// Nodes in the subtree, the sender included, that have reported recently.
    #[serde(rename = "heard", default)]
    pub reporting_nodes: u32,
    /// Quota granted in the subtree.
    #[serde(default)]
    pub spending: Vec<TenantSpending>,
    /// Crashed and completed runs in the subtree since the last answered report.
    #[serde(default)]
    pub runs: RunReport,
    /// Cache changes observed in the subtree since the last answered report.
    #[serde(rename = "news", default)]
    pub cache_updates: Vec<CachedSegmentUpdate>,
    /// Back ends that recently announced that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<BackendProcess>,
    /// Limits that the sender knows and did not receive from its parent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitGossip>,
    /// What the subtree has measured of engines since the last answered report.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub performance: Vec<EnginePerformance>,
    /// The demand of the subtree's callers, by service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<PoolDemand>,
    /// The outcomes of the subtree's requests, by service; empty if unchanged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rates: Vec<PoolRates>,
    /// Nodes that forward requests of others; about once a second.
    #[serde(rename = "via", default, skip_serializing_if = "Vec::is_empty")]
    pub intermediaries: Vec<Intermediary>,
    /// Requests a second that callers send to the subtree.
    #[serde(rename = "asked", default)]
    pub offered_load: f64,
    /// The log of cache updates that `cursor` belongs to.
    #[serde(default)]
    pub log: u64,
    /// The last cache update that the sender has received.
    #[serde(default)]
    pub cursor: u64,
    /// The store revision up to which the sender knows everything.
    pub revision: Option<Revision>,
    /// The versions that the sender applies.
    #[serde(rename = "in_force", default)]
    pub applied: AppliedVersions,
    /// Facts that the parent may lack because it read an older copy of the store, as a JSON list.
    #[serde(rename = "rising", default, skip_serializing_if = "String::is_empty")]
    pub newer_facts: String,
    /// Hash of the nodes in the subtree; 0 if not stated.
    #[serde(default)]
    pub members_hash: u64,
    /// The nodes in the subtree, if the parent wants them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Member>>,
    /// The software versions that were listed lately, if the parent wants them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_history: Option<SoftwareHistoryMessage>,
    /// Whether the sender has no complete history of software versions.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wants_software_history: bool,
}

/// A parent's answer to a [`Report`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The path from the root, or from the topmost node that is connected, to the sender, which comes last.
    #[serde(default)]
    pub path: Vec<Contact>,
    /// Milliseconds since the sender last received an update originating at the root; `None` if it never did.
    #[serde(rename = "rooted_ms")]
    pub root_age_ms: Option<u64>,
    /// A different node that the receiver must report to from now on.
    #[serde(default)]
    pub refer: Option<Contact>,
    /// Back ends that recently announced that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<BackendProcess>,
    /// Limits of back ends, with the receiver's share.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitGrant>,
    /// What nodes outside the receiver's subtree have measured of engines, where it has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub performance: Vec<EnginePerformance>,
    /// The demand of all nodes' callers, by service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<PoolDemand>,
    /// The outcomes of all nodes' requests, by service; empty if unchanged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rates: Vec<PoolRates>,
    /// Nodes that forward requests of others; about once a second.
    #[serde(rename = "via", default, skip_serializing_if = "Vec::is_empty")]
    pub intermediaries: Vec<Intermediary>,
    /// The log of cache updates that `cursor` belongs to.
    #[serde(default)]
    pub log: u64,
    /// The number of the last cache update in this digest.
    #[serde(default)]
    pub cursor: u64,
    /// The number of nodes in the fleet, if known.
    pub nodes: Option<u32>,
    /// Requests in flight at nodes outside the receiver's subtree.
    #[serde(default)]
    pub work: Vec<EngineWork>,
    /// Remaining quotas; `None` if the sender knows of none.
    #[serde(default)]
    pub quotas: Option<QuotaDigest>,
    /// Requests that are quarantined or close to it.
    #[serde(default)]
    pub quarantine: QuarantineDigest,
    /// Engines that are loading new weights and get no new requests.
    #[serde(default)]
    pub loading: Vec<EngineId>,
    /// Cache updates, in order.
    #[serde(rename = "news", default)]
    pub cache_updates: Vec<CachedSegmentUpdate>,
    /// State of the store; `None` if the sender cannot relay it without a gap.
    pub store: Option<StoreRelay>,
    /// The versions that the sender applies.
    #[serde(rename = "in_force", default)]
    pub applied: AppliedVersions,
    /// Facts that the receiver may lack because it read an older copy of the store, as a JSON list.
    #[serde(rename = "rising", default, skip_serializing_if = "String::is_empty")]
    pub newer_facts: String,
    /// Hash of all nodes that the sender knows; 0 if not stated.
    #[serde(default)]
    pub members_hash: u64,
    /// Whether the next report is to contain the nodes of the subtree.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wants_members: bool,
    /// The software versions that were listed lately, if the receiver wants them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_history: Option<SoftwareHistoryMessage>,
    /// Whether the sender has no complete history of software versions.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wants_software_history: bool,
    /// Whether the receiver must request a snapshot, as the sender is ahead of it and cannot list the
    /// changes.
    #[serde(default)]
    pub snapshot: bool,
}
