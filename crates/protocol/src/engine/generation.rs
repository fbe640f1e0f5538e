//! Generation requests and their response streams.

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

/// Scheduling priority of a request; later variants run first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Runs only if nothing else is waiting.
    Low,
    #[default]
    Normal,
    /// Runs before everything else.
    High,
}

/// Conditions on the engine's state. An engine that does not meet them refuses the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Precondition {
    pub engine: EngineId,
    /// The incarnation whose cache state the sender knows.
    pub incarnation: Incarnation,
    pub model: ModelId,
    pub weights: WeightsVersion,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

/// Asks an engine to generate a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Carried by every frame of the response.
    pub attempt: AttemptId,
    pub request: RequestId,
    pub precondition: Precondition,
    /// Isolation scope of the response's cached state.
    pub scope: CacheScope,
    pub prompt: String,
    /// Hashes of the prompt's complete blocks, within `scope`.
    pub blocks: Vec<BlockHash>,
    /// Upper limit on tokens, including those in `answer_prefix`.
    pub max_tokens: u32,
    /// Tokens that the caller already has; the engine continues after them.
    #[serde(rename = "already", default, skip_serializing_if = "Vec::is_empty")]
    pub answer_prefix: Vec<String>,
    #[serde(default)]
    pub priority: Priority,
    /// The sender abandons the attempt this many milliseconds after sending it.
    pub deadline_ms: u64,
    /// Cached state to import before prefill, if the router considers that cheaper.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub import: Option<KvTransfer>,
    /// W3C trace context, forwarded unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<String>,
}

/// One line of an engine's response stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame belongs to. Receivers drop frames of other attempts.
    pub attempt: AttemptId,
    #[serde(flatten)]
    pub content: FrameContent,
}

/// The content of a [`Frame`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum FrameContent {
    /// Sent as soon as the request enters a batch; prefill is in progress.
    Start {
        incarnation: Incarnation,
        prompt_tokens: u32,
        /// Prompt tokens found in the cache, including imported ones.
        cached_tokens: u32,
        /// The engine's load when the request entered the batch.
        load: LoadReport,
    },
    Token {
        /// Position in the response from 0, counting those in `answer_prefix`.
        index: u32,
        text: String,
    },
    /// The response is complete.
    End {
        /// Length of the response, including the tokens in `answer_prefix`.
        tokens: u32,
        reason: FinishReason,
        /// The engine's load at the end.
        load: LoadReport,
    },
    /// The engine failed after it had started the request.
    Failed {
        /// Human-readable cause.
        message: String,
    },
}

/// Why a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its response.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Requests the remainder of a stream after its connection broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    pub attempt: AttemptId,
    /// The incarnation that ran the attempt.
    pub incarnation: Incarnation,
    /// Index of the first token to send.
    pub next_index: u32,
}

/// Asks an engine to cancel an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    pub attempt: AttemptId,
}

/// An engine's refusal of a request or order. The request has not run on that engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct EngineRefusal {
    pub code: RefusalCode,
    /// The engine's current incarnation, which lets the sender correct its view.
    pub incarnation: Incarnation,
    /// The model that is loaded, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loaded: Option<LoadedModel>,
    /// Human-readable cause.
    pub message: String,
    /// Earliest time to retry, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
