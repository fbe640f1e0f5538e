//! Inputs and outputs of an [`EngineModel`](super::EngineModel).

use std::time::Duration;

use paddlemount_protocol::{
    engine::{FinishReason, KvTransfer, LoadReport, LoadedModel, Precondition, Priority},
    identity::{AttemptId, EngineId, ModelId, PoolId, WeightsVersion, ZoneId},
    prefix::{BlockHash, CacheScope},
    time::Timestamp,
};

use crate::engine::settings::EngineBehaviour;

/// Settings of an engine model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModelSettings {
    pub engine: EngineId,
    /// The pool that the engine serves.
    pub pool: PoolId,
    pub zone: ZoneId,
    /// What is loaded at the start of each incarnation.
    pub loaded: Option<LoadedModel>,
    pub behaviour: EngineBehaviour,
    /// How long a load takes; without it, [`finish_load`](super::EngineModel::finish_load) ends a load.
    pub load_duration: Option<Duration>,
    pub token_outputs: TokenOutputs,
}

/// Selects the tokens that an engine model reports as outputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenOutputs {
    /// Every token.
    #[default]
    All,
    /// The first token of each attempt, which is cheaper and suffices to measure latency.
    First,
}

/// A request to the model, with sizes and hashes in place of text.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    pub attempt: AttemptId,
    /// What must hold for the engine.
    pub precondition: Precondition,
    /// The scope of cached state.
    pub scope: CacheScope,
    /// Hashes of the prompt's full blocks.
    pub blocks: Vec<BlockHash>,
    pub prompt_tokens: u32,
    /// Tokens of the complete answer, including the answer prefix.
    pub answer_tokens: u32,
    /// Why the answer ends.
    pub reason: FinishReason,
    /// Tokens of the answer that the caller already has.
    pub answer_prefix_tokens: u32,
    pub priority: Priority,
    /// The request fails if it is still queued at this time.
    pub deadline: Timestamp,
    /// Cached state to import before the request runs.
    pub import: Option<KvTransfer>,
}

/// A timestamped event of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOutput {
    pub at: Timestamp,
    pub event: EngineEvent,
}

/// The event of an [`EngineOutput`].
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// An attempt has entered the batch.
    Started {
        attempt: AttemptId,
        prompt_tokens: u32,
        /// Prompt tokens found in the cache, including imported ones.
        cached_tokens: u32,
        load: LoadReport,
    },
    /// A token was generated.
    Token {
        attempt: AttemptId,
        /// Position in the answer.
        index: u32,
    },
    /// The answer is complete.
    Ended {
        attempt: AttemptId,
        /// Tokens of the complete answer.
        tokens: u32,
        /// Why the answer ended.
        reason: FinishReason,
        load: LoadReport,
    },
    /// The engine abandoned an attempt.
    Failed { attempt: AttemptId, message: &'static str },
    /// The driver must fetch weights and then call [`finish_load`](super::EngineModel::finish_load).
    LoadStarted { model: ModelId, weights: WeightsVersion },
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptProgress {
    /// Index of the next token to generate.
    pub next_index: u32,
    /// Whether the answer is complete.
    pub ended: bool,
}
