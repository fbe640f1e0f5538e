//! What an [`EngineModel`](super::EngineModel) is handed and what it gives out.

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
    /// The engine's name.
    pub engine: EngineId,
    /// The pool it serves.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// What is loaded at the start of each life.
    pub loaded: Option<LoadedModel>,
    /// How it works.
    pub behaviour: EngineBehaviour,
    /// How long loading weights takes; without it, [`finish_load`](super::EngineModel::finish_load) ends a load.
    pub load_duration: Option<Duration>,
    /// Which tokens are reported.
    pub token_outputs: TokenOutputs,
}

/// Which tokens an engine model reports as outputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenOutputs {
    /// Each.
    #[default]
    All,
    /// The first of each try; enough for measures of latency, at less cost.
    First,
}

/// A request as the model needs it: sizes and hashes in place of text.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// The try.
    pub attempt: AttemptId,
    /// What must be true of the engine.
    pub precondition: Precondition,
    /// The boundary of its cached state.
    pub scope: CacheScope,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<BlockHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer, those the caller already has included.
    pub answer_tokens: u32,
    /// Why the answer ends.
    pub reason: FinishReason,
    /// Tokens of the answer that the caller already has.
    pub answer_prefix_tokens: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// When the sender gives up.
    pub deadline: Timestamp,
    /// Kept cache to import first.
    pub import: Option<KvTransfer>,
}

/// Something that happened at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOutput {
    /// When it happened.
    pub at: Timestamp,
    /// What happened.
    pub event: EngineEvent,
}

/// What an [`EngineOutput`] says.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A try has entered the batch.
    Started {
        /// The try.
        attempt: AttemptId,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Those found in the cache, imported ones included.
        cached_tokens: u32,
        /// The load at this moment.
        load: LoadReport,
    },
    /// A token was generated.
    Token {
        /// The try.
        attempt: AttemptId,
        /// Its position in the answer.
        index: u32,
    },
    /// The whole answer has been generated.
    Ended {
        /// The try.
        attempt: AttemptId,
        /// Tokens of the whole answer.
        tokens: u32,
        /// Why it ended.
        reason: FinishReason,
        /// The load at this moment.
        load: LoadReport,
    },
    /// The engine gave a try up.
    Failed {
        /// The try.
        attempt: AttemptId,
        /// Why.
        message: &'static str,
    },
    /// Weights must be fetched; answered by [`finish_load`](super::EngineModel::finish_load).
    LoadStarted {
        /// The model.
        model: ModelId,
        /// The weights.
        weights: WeightsVersion,
    },
}

/// How far a try has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptProgress {
    /// The index of the next token to be generated.
    pub next_index: u32,
    /// Whether the whole answer has been generated.
    pub ended: bool,
}
