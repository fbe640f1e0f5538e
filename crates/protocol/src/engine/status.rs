//! An engine's status: loaded model, load and speed.

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
    pub model: ModelId,
    pub weights: WeightsVersion,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterId>,
}

/// An engine's load at `measured_at`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// By the engine's clock.
    pub measured_at: Timestamp,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting to enter the batch.
    pub waiting: u32,
    /// Prompt tokens not yet prefilled, of running and waiting requests together.
    pub queued_prefill_tokens: u32,
    pub cached_blocks: u32,
}

/// An engine's report about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    pub engine: EngineId,
    pub incarnation: Incarnation,
    pub pool: PoolId,
    pub zone: ZoneId,
    /// `None` while the engine loads weights.
    pub loaded: Option<LoadedModel>,
    /// Whether the engine is loading weights, or will once its accepted requests have ended.
    #[serde(default)]
    pub loading: bool,
    /// Whether the engine refuses new work.
    pub draining: bool,
    pub role: EngineRole,
    pub load: LoadReport,
    pub speed: EngineSpeed,
    /// The last event of the cache feed.
    pub last_event: EventSequence,
    /// The highest fencing token that the engine has accepted.
    pub fence: FencingToken,
}

/// An engine's processing speed, as measured by the engine; used to predict waiting times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Prefill throughput of the whole batch.
    pub prefill_tokens_per_second: f64,
    /// Milliseconds between two tokens of one response.
    pub decode_step_ms: f64,
    /// Maximum number of requests in the batch.
    pub batch_slots: u32,
    /// Maximum number of cache blocks.
    pub cache_blocks: u32,
}

/// What an engine is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    #[default]
    Serving,
    /// Keeps its model loaded and takes no requests.
    Standby,
}
