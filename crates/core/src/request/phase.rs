//! The phases of a request.

use paddlemount_protocol::{
    engine::Precondition,
    identity::{AttemptId, EngineId},
    time::Timestamp,
};

/// The phase of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    New,
    Choosing,
    Attempting(Attempt),
    Ended,
}

/// The attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub precondition: Precondition,
    pub stage: Stage,
    pub resumes: u32,
    /// Time of the last message to or from the engine.
    pub last_activity_at: Timestamp,
    /// Whether a token of this attempt has arrived, which means that prefill is over.
    pub has_token: bool,
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The engine has not begun to answer.
    Sent,
    Answering,
    /// Reconnecting to the engine.
    Resuming {
        /// Whether the engine had begun to answer before.
        started: bool,
    },
}

impl Attempt {
    /// The engine that runs the attempt.
    pub fn engine(&self) -> EngineId {
        self.precondition.engine.clone()
    }

    /// Whether the engine is known to have begun to answer.
    pub fn has_started(&self) -> bool {
        match self.stage {
            Stage::Sent => false,
            Stage::Answering => true,
            Stage::Resuming { started } => started,
        }
    }
}
