//! What an engine says of itself: what it serves, how busy it is and how fast it works.

use serde::{Deserialize, Serialize};

use crate::{
    identity::{
        AdapterId, EngineId, EventSequence, FencingToken, Incarnation, ModelId, PoolId, WeightsVersion,
        ZoneId,
    },
    time::Timestamp,
};

/// The model, weights and adapters that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The weights version.
    pub weights: WeightsVersion,
    /// Adapters loaded over them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterId>,
}

/// An engine's load; lags behind the truth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the engine measured it, by the engine's clock.
    pub measured_at: Timestamp,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait to enter the batch.
    pub waiting: u32,
    /// Prompt tokens yet to be prefilled, running and waiting together.
    pub queued_prefill_tokens: u32,
    /// Blocks in the cache.
    pub cached_blocks: u32,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// The pool it serves.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// What it serves; nothing while it loads.
    pub loaded: Option<LoadedModel>,
    /// Whether it fetches weights, or will once accepted requests have ended.
    #[serde(default)]
    pub loading: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its role.
    pub role: EngineRole,
    /// Its load.
    pub load: LoadReport,
    /// How fast it works.
    pub speed: EngineSpeed,
    /// The last event of its feed.
    pub last_event: EventSequence,
    /// The highest fencing token it has obeyed.
    pub fence: FencingToken,
}

/// How fast an engine works; measured by the engine, used to predict waits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Prompt tokens prefilled in a second, over the whole batch.
    pub prefill_tokens_per_second: f64,
    /// Milliseconds between two tokens of one answer.
    pub decode_step_ms: f64,
    /// Requests in the batch at most.
    pub batch_slots: u32,
    /// Cache blocks at most.
    pub cache_blocks: u32,
}

/// What an engine is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Serves requests.
    #[default]
    Serving,
    /// Holds its model loaded and takes no requests.
    Standby,
}
