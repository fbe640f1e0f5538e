//! The outputs of an exchange to its caller.

use paddlemount_protocol::{engine::FinishReason, refusal::Refusal};

/// An event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The request has been admitted: the node no longer refuses it for waiting too long.
    Admitted,
    /// An engine has started to answer.
    Started,
    /// The text of the next token.
    Token(String),
    /// The answer is complete.
    Finished { tokens: u32, reason: FinishReason, usage: Usage },
    /// The request ended without a complete answer.
    Refused(Refusal),
}

/// The prompt usage that the first engine reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Whether an engine has started to answer.
    pub started: bool,
    pub prompt_tokens: u32,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u32,
}
