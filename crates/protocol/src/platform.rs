//! The platform's services: configuration store, machine list, weight store, kept-cache store.
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
//! | kept-cache store | `/put` | POST | [`KvTransfer`](crate::engine::KvTransfer) → `{}` |
//! | | `/find` | POST | [`CacheLookup`] → [`CacheLookupResult`] |
//! | | `/ended` | POST | [`EndedIncarnation`](crate::engine::EndedIncarnation) → `{}` |
//!
//! Any of them may answer 429 (rate limit) or 503 (outage). A reply may be lost after its effect.

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
    /// The key.
    pub key: String,
}

/// A key's value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreValue {
    /// The store's revision of the key's last change; 0 where the key does not exist.
    pub revision: Revision,
    /// The value; none where the key does not exist.
    pub value: Option<serde_json::Value>,
}

/// Replaces a key's value where its revision is still the expected one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StorePut {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 means that it must not exist.
    pub expected: Revision,
    /// The new value.
    pub value: serde_json::Value,
}

/// What a put did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum StorePutResult {
    /// The value was replaced.
    Stored {
        /// Its new revision.
        revision: Revision,
    },
    /// The revision was another one.
    Conflict {
        /// The key's revision.
        revision: Revision,
    },
}

/// Waits for a key to change. The answer has no value where the key was not changed: a revision above 0
/// without a value says so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWatch {
    /// The key.
    pub key: String,
    /// Answers at once where the key's revision is higher.
    pub after: Revision,
    /// Answers with the present revision after this time.
    pub wait_ms: u64,
}

/// Asks for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseAcquire {
    /// The lease's name.
    pub name: String,
    /// Who asks.
    pub holder: NodeId,
    /// How long it lasts without renewal.
    pub ttl_ms: u64,
}

/// Renews or releases a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRenew {
    /// The lease's name.
    pub name: String,
    /// Who holds it.
    pub holder: NodeId,
    /// The token it was granted with.
    pub token: FencingToken,
    /// How long it lasts without renewal.
    pub ttl_ms: u64,
}

/// What became of a lease request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LeaseResult {
    /// The lease is held by the asker.
    Held {
        /// Rises with each change of holder.
        token: FencingToken,
        /// How long it lasts from now.
        ttl_ms: u64,
    },
    /// Another holds it.
    HeldByOther {
        /// The holder.
        holder: NodeId,
        /// How long it lasts without renewal.
        remaining_ms: u64,
    },
    /// It is not held, or no longer by the asker.
    NotHeld,
}

/// The machine list; lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Rises with each change of the list.
    pub revision: Revision,
    /// All machines.
    pub machines: Vec<Machine>,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// What runs on it.
    pub role: MachineRole,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Whether it stays.
    pub state: MachineState,
}

/// What runs on a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum MachineRole {
    /// A router node.
    Node {
        /// The node.
        node: NodeId,
    },
    /// A model engine.
    Engine {
        /// The engine.
        engine: EngineId,
        /// Its pool.
        pool: PoolId,
    },
    /// An instance of a service beside the models.
    Service {
        /// The instance.
        instance: ServiceInstanceId,
        /// The service.
        service: ServiceId,
    },
}

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It is live.
    Live,
    /// It is about to go and must get no new work.
    Leaving,
}

/// Asks the weight store for a model's weights; the answer comes when all bytes have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// Who loads.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub weights: WeightsVersion,
}

/// A load that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoaded {
    /// Milliseconds that it took.
    pub took_ms: u64,
}

/// Asks the kept-cache store for the longest kept part of a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheLookup {
    /// The scope.
    pub scope: CacheScope,
    /// The prefix, in order.
    pub blocks: Vec<BlockHash>,
}

/// What the kept-cache store holds of a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheLookupResult {
    /// The longest part, if any.
    pub transfer: Option<KvTransfer>,
}
