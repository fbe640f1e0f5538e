//! Requests for answers, and the streams that carry them.

use serde::{Deserialize, Serialize};

use super::{
    cache::KvTransfer,
    status::{LoadReport, LoadedModel},
};
use crate::{
    identity::{AdapterId, AttemptId, EngineId, Incarnation, ModelId, RequestId, WeightsVersion},
    prefix::{BlockHash, CacheScope},
    refusal::RefusalCode,
};

/// How urgent a request is. Later variants go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Runs when nothing else waits.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Runs before everything else.
    High,
}

/// What must be true of an engine for a request to run there; otherwise the engine refuses it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Precondition {
    /// The engine that is meant.
    pub engine: EngineId,
    /// The life of it whose cache the sender believes in.
    pub incarnation: Incarnation,
    /// The model that must be loaded.
    pub model: ModelId,
    /// The weights that must be loaded.
    pub weights: WeightsVersion,
    /// The adapter that must be loaded, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

/// Asks an engine to generate an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// This try; carried by every frame of its answer.
    pub attempt: AttemptId,
    /// The caller's request.
    pub request: RequestId,
    /// What must be true of the engine.
    pub precondition: Precondition,
    /// The boundary that the answer's cached state never crosses.
    pub scope: CacheScope,
    /// The whole prompt text.
    pub prompt: String,
    /// Hashes of the prompt's whole blocks, within `scope`.
    pub blocks: Vec<BlockHash>,
    /// Tokens to generate at most, those in `answer_prefix` included.
    pub max_tokens: u32,
    /// Text of the answer that the caller already has; the engine continues after it.
    #[serde(rename = "already", default, skip_serializing_if = "Vec::is_empty")]
    pub answer_prefix: Vec<String>,
    /// How urgent the request is.
    #[serde(default)]
    pub priority: Priority,
    /// The sender gives up this many milliseconds after sending.
    pub deadline_ms: u64,
    /// Kept cache to import before prefill, where the router found that cheaper.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub import: Option<KvTransfer>,
    /// W3C trace context, passed on unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<String>,
}

/// One line of a streamed answer from an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The try that this frame belongs to. A receiver drops frames of any other.
    pub attempt: AttemptId,
    /// The frame's content.
    #[serde(flatten)]
    pub content: FrameContent,
}

/// What a [`Frame`] says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum FrameContent {
    /// The prompt is being read; sent as soon as the request is in a batch.
    Start {
        /// The life of the engine that runs the request.
        incarnation: Incarnation,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the prompt found in the engine's cache, imported ones included.
        cached_tokens: u32,
        /// The engine's load when the request entered the batch.
        load: LoadReport,
    },
    /// One generated token.
    Token {
        /// Position in the answer, from 0, those in `answer_prefix` counted.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// The whole answer has been sent.
    End {
        /// Number of tokens in the whole answer, those in `answer_prefix` counted.
        tokens: u32,
        /// Why the answer ended.
        reason: FinishReason,
        /// The engine's load at the end.
        load: LoadReport,
    },
    /// The engine gave up after it had begun.
    Failed {
        /// For people.
        message: String,
    },
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Asks for the rest of a stream whose connection was cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The try to resume.
    pub attempt: AttemptId,
    /// The life of the engine that ran it.
    pub incarnation: Incarnation,
    /// The index of the next token wanted.
    pub next_index: u32,
}

/// Asks an engine to stop work on a try.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The try to stop.
    pub attempt: AttemptId,
}

/// An engine's refusal of a request or order; the request has not run there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct EngineRefusal {
    /// What kind of refusal this is.
    pub code: RefusalCode,
    /// The engine's present life, for correcting the sender's belief.
    pub incarnation: Incarnation,
    /// The model that is loaded, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<LoadedModel>,
    /// For people.
    pub message: String,
    /// When it makes sense to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
