//! The caller API, compatible with the common chat-completions interface.
//!
//! Paths: `POST /v1/chat/completions`, `GET /v1/models`, `POST /v1/services/{service}/{operation}`.

use serde::{Deserialize, Serialize};

use crate::{
    identity::{AdapterId, ModelId, RequestId},
    refusal::Refusal,
};

/// Body of `POST /v1/chat/completions`. Unknown fields are ignored, as clients expect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    pub model: ModelId,
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Upper limit on generated tokens.
    #[serde(default, alias = "max_completion_tokens", skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

/// Renders a conversation as the prompt text sent to engines: role and text of each message in order,
/// followed by the marker that starts the assistant's turn.
///
/// Conversations with a common beginning render to prompts with a common prefix, which keeps cached prefixes
/// usable as a conversation grows.
pub fn prompt_text(messages: &[ChatMessage]) -> String {
    let length = messages.iter().map(|message| message.role.len() + message.content.len() + 6).sum::<usize>();
    let mut prompt = String::with_capacity(length + ASSISTANT_TURN.len());
    for message in messages {
        prompt.push_str("<|");
        prompt.push_str(&message.role);
        prompt.push_str("|>\n");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt.push_str(ASSISTANT_TURN);
    prompt
}

const ASSISTANT_TURN: &str = "<|assistant|>\n";

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    pub content: String,
}

/// A complete, non-streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatResponse {
    pub id: RequestId,
    /// Always `chat.completion`.
    pub object: String,
    pub created: u64,
    pub model: ModelId,
    /// Always one choice.
    pub choices: Vec<ChatChoice>,
    pub usage: Usage,
}

/// The only choice of a [`ChatResponse`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    pub message: ChatMessage,
    /// `stop` or `length`.
    pub finish_reason: Option<String>,
}

/// One event of a streamed response. The stream ends with the event `[DONE]`; without it the response is
/// incomplete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    pub id: RequestId,
    /// Always `chat.completion.chunk`.
    pub object: String,
    pub created: u64,
    pub model: ModelId,
    /// Always one choice.
    pub choices: Vec<ChunkChoice>,
    /// Only in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The only choice of a [`ChatChunk`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    pub delta: ChunkDelta,
    /// Only in the last chunk.
    pub finish_reason: Option<String>,
}

/// Text that a chunk appends to the response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// `assistant`, only in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
    pub total_tokens: u32,
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Tokens served from the engine's prefix cache.
    pub cached_tokens: u32,
}

/// Body of every refusal to a caller, in the shape that clients of this API expect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: Refusal,
    pub request_id: RequestId,
}

/// The body of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    pub data: Vec<ModelEntry>,
}

/// One model of a [`ModelList`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelEntry {
    pub id: ModelId,
    /// Always `model`.
    pub object: String,
    /// Always `paddlemount`.
    pub owned_by: String,
}
