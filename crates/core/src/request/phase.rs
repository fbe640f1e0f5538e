//! The phases of a request.

use paddlemount_protocol::{
    engine::Precondition,
    identity::{AttemptId, EngineId},
    time::Timestamp,
};

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Not yet arrived.
    New,
    /// An engine is being chosen.
    Choosing,
    /// A try is under way.
    Trying(Attempt),
    /// The one ending has been given.
    Ended,
}

/// The try under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub precondition: Precondition,
    pub stage: Stage,
    pub resumes: u32,
    /// When the engine was last heard, or asked.
    pub heard_at: Timestamp,
    /// Whether a token of this try arrived, so that its prefill is over.
    pub has_generated: bool,
}

/// How far a try has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Sent; the engine has not begun to answer.
    Sent,
    /// The engine answers.
    Answering,
    /// Connecting again.
    Resuming {
        /// Whether the engine had begun to answer before.
        started: bool,
    },
}

impl Attempt {
    /// The engine that the attempt was sent to.
    pub fn engine(&self) -> EngineId {
        self.precondition.engine.clone()
    }

    /// Whether the engine is known to have begun.
    pub fn has_started(&self) -> bool {
        match self.stage {
            Stage::Sent => false,
            Stage::Answering => true,
            Stage::Resuming { started } => started,
        }
    }
}
