//! One model request, from its arrival to its ending.
//!
//! [`ModelRequest`] is a state machine: a driver feeds it [`RequestEvent`]s and carries out the
//! [`RequestAction`]s that it returns. It keeps these promises:
//!
//! - Tokens are emitted in order, each once, and [`RequestAction::Finish`] follows only after all of them.
//! - There is exactly one ending: `Finish`, `Refuse`, or silence after the caller has left.
//! - A refusal says `not_run` only where no engine may have begun to run the request.
//! - A request that must not be repeated is sent again only after a typed refusal, or where
//!   nothing was sent.
//! - Text of one answer comes from one model, weights version and adapter.

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

/// Bounds of a request's tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Tries at most, the first included.
    pub max_attempts: u32,
    /// Reconnections to the same engine at most, without a new token between them.
    pub max_resumes: u32,
    /// From sending a try until the engine has begun to answer, and from there until its first token.
    pub first_byte_timeout: Duration,
    /// Between two tokens of an answer, and until a resumed answer goes on.
    pub frame_timeout: Duration,
    /// When a refused caller should come back, where no engine said anything else.
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

/// What a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// The request.
    pub request: RequestId,
    /// Whether it may be run a second time.
    pub repeatable: bool,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// Irregular frames that were seen and had no effect on the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameAnomalies {
    /// Frames of an earlier try.
    pub late: u32,
    /// Tokens that were there already.
    pub duplicate: u32,
    /// Tokens that came too early, so that some between were missing.
    pub gap: u32,
}

impl RequestSpec {
    /// The identity of the `number`th try, counted from 1.
    pub fn attempt(&self, number: u32) -> AttemptId {
        AttemptId::from(format!("{}.{number}", self.request))
    }
}
