//! State machine of one model request, from its arrival to its end.
//!
//! A driver feeds [`RequestEvent`]s to a [`ModelRequest`] and carries out the [`RequestAction`]s that it
//! returns. The following holds:
//!
//! - Tokens are emitted in order, each once, and [`RequestAction::Finish`] only follows after all of them.
//! - A request ends exactly once: by `Finish`, by `Refuse`, or without an action after the caller
//!   disconnected.
//! - A refusal says `not_run` only if no engine can have begun to run the request.
//! - A request that is not repeatable is retried only after a typed refusal, or if nothing was sent.
//! - The text of one answer comes from one model, weights version and adapter.

mod events;
mod machine;
mod phase;

use std::time::Duration;

use paddlemount_protocol::{
    identity::{AttemptId, RequestId},
    time::Timestamp,
};

pub use events::{Continuation, RequestAction, RequestEvent};
pub use machine::ModelRequest;

/// Limits on the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Maximum number of reconnections to the same engine without a new token in between.
    pub max_resumes: u32,
    /// From sending an attempt until the engine begins to answer, and from there until the first token.
    pub first_byte_timeout: Duration,
    /// Between two tokens of an answer, and until a resumed answer continues.
    pub frame_timeout: Duration,
    /// Retry time for a refused caller if no engine reported one.
    pub retry_after: Duration,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            max_resumes: 2,
            first_byte_timeout: Duration::from_secs(15),
            frame_timeout: Duration::from_secs(2),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// The fixed properties of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    pub request: RequestId,
    /// Whether the request may run a second time.
    pub repeatable: bool,
    pub max_tokens: u32,
    pub deadline: Timestamp,
}

/// Counts of irregular frames, which have no effect on the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameAnomalies {
    /// Frames of an earlier attempt.
    pub late: u32,
    /// Tokens that had already arrived.
    pub duplicate: u32,
    /// Tokens that arrived before an earlier one.
    pub gap: u32,
}

impl RequestSpec {
    /// Returns the identifier of the attempt with this number, counted from 1.
    pub fn attempt(&self, number: u32) -> AttemptId {
        AttemptId::from(format!("{}.{number}", self.request))
    }
}
