//! An engine's cached state: the feed and the snapshots that tell of it, and its transfer to other engines.

use serde::{Deserialize, Serialize};

use super::generation::Precondition;
use crate::{
    identity::{EngineId, EventSequence, Incarnation, ModelId, WeightsVersion},
    prefix::{BlockHash, CacheScope},
};

/// A change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the feed; gaps mean lost events.
    pub sequence: EventSequence,
    /// What changed.
    pub change: CacheChange,
}

/// What a [`CacheEvent`] says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were stored, in prefix order.
    Stored {
        /// The blocks.
        blocks: Vec<BlockHash>,
    },
    /// Blocks were evicted.
    Removed {
        /// The blocks.
        blocks: Vec<BlockHash>,
    },
    /// The whole cache was dropped.
    Cleared,
}

/// Part of an engine's feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventBatch {
    /// The engine's life; another than expected empties all belief in the engine.
    pub incarnation: Incarnation,
    /// Events in order, lost ones missing.
    pub events: Vec<CacheEvent>,
    /// The last event that exists.
    pub last: EventSequence,
}

/// A page of the blocks that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// The event that the snapshot includes last.
    pub as_of: EventSequence,
    /// Blocks in hash order.
    pub blocks: Vec<BlockHash>,
    /// Whether further pages follow.
    pub more: bool,
}

/// Asks an engine for cached state of a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportRequest {
    /// What must be true of the engine.
    pub precondition: Precondition,
    /// The scope the blocks belong to.
    pub scope: CacheScope,
    /// The blocks of one prefix, in order.
    pub blocks: Vec<BlockHash>,
}

/// Cached state of a prefix on its way between an engine and the kept-cache store.
///
/// The state itself is opaque; stand-ins carry its identity and size only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// The engine that computed the state.
    pub origin: EngineId,
    /// The origin's life.
    pub origin_incarnation: Incarnation,
    /// The model that computed it.
    pub model: ModelId,
    /// The weights that computed it.
    pub weights: WeightsVersion,
    /// The scope that it belongs to; an engine refuses to use it in any other.
    pub scope: CacheScope,
    /// The blocks of one prefix, in order.
    pub blocks: Vec<BlockHash>,
    /// Size of the state in bytes.
    pub bytes: u64,
}

/// Says that a life of an engine, and all its earlier ones, have ended. State that they computed
/// must not be used any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedIncarnation {
    /// The engine.
    pub engine: EngineId,
    /// The last life that has ended.
    pub incarnation: Incarnation,
}

/// What an import did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportResult {
    /// Blocks that the engine now holds of the transfer.
    pub blocks: u32,
}
