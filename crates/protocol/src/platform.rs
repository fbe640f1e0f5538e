//! APIs of the platform's services: configuration store, machine list, weight store, cache store.
//!
//! | service | path | method | body → answer |
//! |---|---|---|---|
//! | configuration store | `/get` | POST | [`StoreGet`] → [`StoreValue`] |
//! | | `/put` | POST | [`StorePut`] → [`StorePutResult`] |
//! | | `/watch` | POST | [`StoreWatch`] → [`StoreValue`], after a change or the wait |
//! | | `/lease/acquire` | POST | [`LeaseAcquire`] → [`LeaseResult`] |
//! | | `/lease/renew` | POST | [`LeaseRenew`] → [`LeaseResult`] |
//! | | `/lease/release` | POST | [`LeaseRenew`] → [`LeaseResult`] |
//! | machine list | `/machines` | GET | [`MachineList`] |
//! | weight store | `/load` | POST | [`WeightLoad`] → [`WeightLoaded`] when done |
//! | cache store | `/put` | POST | [`KvTransfer`] → `{}` |
//! | | `/find` | POST | [`CacheLookup`] → [`CacheLookupResult`] |
//! | | `/ended` | POST | [`EndedIncarnation`](crate::engine::EndedIncarnation) → `{}` |
//!
//! Each of them may answer 429 (rate limit) or 503 (outage). A reply may be lost after the request took
//! effect.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    engine::KvTransfer,
    identity::{
        EngineId, FencingToken, ModelId, NodeId, PoolId, RegionId, Revision, ServiceId, ServiceInstanceId,
        WeightsVersion, ZoneId,
    },
    prefix::{BlockHash, CacheScope},
};

/// Reads a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreGet {
    pub key: String,
}

/// A key's value and revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreValue {
    /// The store's revision at the key's last change; 0 if the key does not exist.
    pub revision: Revision,
    /// `None` if the key does not exist.
    pub value: Option<serde_json::Value>,
}

/// Replaces a key's value if its revision matches the expected one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StorePut {
    pub key: String,
    /// The expected revision; 0 means that the key must not exist.
    pub expected: Revision,
    pub value: serde_json::Value,
}

/// The result of a [`StorePut`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum StorePutResult {
    /// The value was replaced.
    Stored {
        /// The key's new revision.
        revision: Revision,
    },
    /// The revision did not match.
    Conflict {
        /// The key's current revision.
        revision: Revision,
    },
}

/// Waits for a key to change. A [`StoreValue`] without a value and with a revision above 0 means that the key
/// has not changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWatch {
    pub key: String,
    /// Answers immediately if the key's revision is higher.
    pub after: Revision,
    /// Maximum wait; then answers with the current revision.
    pub wait_ms: u64,
}

/// Acquires a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseAcquire {
    pub name: String,
    /// The requester.
    pub holder: NodeId,
    /// Lifetime without renewal.
    pub ttl_ms: u64,
}

/// Renews or releases a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRenew {
    /// The lease's name.
    pub name: String,
    pub holder: NodeId,
    pub token: FencingToken,
    /// Lifetime without renewal.
    pub ttl_ms: u64,
}

/// The result of a lease request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LeaseResult {
    /// The requester holds the lease.
    Held {
        /// Increases with each change of holder.
        token: FencingToken,
        /// Remaining lifetime.
        ttl_ms: u64,
    },
    /// Another node holds the lease.
    HeldByOther {
        holder: NodeId,
        /// Remaining lifetime unless renewed.
        remaining_ms: u64,
    },
    /// The lease is not held, or no longer by the requester.
    NotHeld,
}

/// The list of machines; eventually consistent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Increases with each change to the list.
    pub revision: Revision,
    pub machines: Vec<Machine>,
}

/// A machine, and the process it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    pub role: MachineRole,
    /// Address of the process.
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub region: RegionId,
    /// Whether the machine is about to be removed.
    pub state: MachineState,
}

/// The process that a machine runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum MachineRole {
    /// A router node.
    Node { node: NodeId },
    /// A model engine.
    Engine { engine: EngineId, pool: PoolId },
    /// An instance of a service.
    Service { instance: ServiceInstanceId, service: ServiceId },
}

/// Whether a machine is about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    Live,
    /// Is about to be removed and must get no new work.
    Leaving,
}

/// Requests a model's weights from the weight store; the answer arrives after all bytes have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The engine that loads the weights.
    pub engine: EngineId,
    pub model: ModelId,
    pub weights: WeightsVersion,
}

/// A completed load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoaded {
    /// Duration of the load in milliseconds.
    pub took_ms: u64,
}

/// Requests the longest cached prefix from the cache store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheLookup {
    pub scope: CacheScope,
    /// The blocks of the prefix, in order.
    pub blocks: Vec<BlockHash>,
}

/// The cache store's answer to a [`CacheLookup`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheLookupResult {
    /// The longest cached prefix, if any.
    pub transfer: Option<KvTransfer>,
}
