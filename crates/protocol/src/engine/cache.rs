//! Cache events and snapshots of an engine, and the transfer of cached state.

use serde::{Deserialize, Serialize};

use super::generation::Precondition;
use crate::{
    identity::{EngineId, EventSequence, Incarnation, ModelId, WeightsVersion},
    prefix::{BlockHash, CacheScope},
};

/// A change to an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the feed; a gap means that events were lost.
    pub sequence: EventSequence,
    pub change: CacheChange,
}

/// The kind of change reported by a [`CacheEvent`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were added, in prefix order.
    Stored {
        blocks: Vec<BlockHash>,
    },
    Removed {
        blocks: Vec<BlockHash>,
    },
    /// The entire cache was dropped.
    Cleared,
}

/// A batch of an engine's cache events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventBatch {
    /// A change of incarnation invalidates everything known about the engine's cache.
    pub incarnation: Incarnation,
    /// Events in order; lost ones are missing.
    pub events: Vec<CacheEvent>,
    /// The latest event that exists.
    pub last: EventSequence,
}

/// A page of the blocks in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    pub incarnation: Incarnation,
    /// The last event reflected in the snapshot.
    pub as_of: EventSequence,
    /// In hash order.
    pub blocks: Vec<BlockHash>,
    /// Whether further pages follow.
    pub more: bool,
}

/// Requests the cached state of a prefix from an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportRequest {
    pub precondition: Precondition,
    pub scope: CacheScope,
    pub blocks: Vec<BlockHash>,
}

/// Cached state of a prefix, transferred between an engine and the cache store.
///
/// The state itself is opaque; stand-ins carry only its identity and size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// The engine that computed the state.
    pub origin: EngineId,
    pub origin_incarnation: Incarnation,
    pub model: ModelId,
    pub weights: WeightsVersion,
    /// An engine refuses to use the state in any other scope.
    pub scope: CacheScope,
    pub blocks: Vec<BlockHash>,
    /// Size of the state.
    pub bytes: u64,
}

/// Reports that an incarnation of an engine and all earlier ones have ended. State that they computed must no
/// longer be used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedIncarnation {
    pub engine: EngineId,
    /// The latest incarnation that has ended.
    pub incarnation: Incarnation,
}

/// The result of an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportResult {
    /// Blocks of the transfer that the engine holds now.
    pub blocks: u32,
}
