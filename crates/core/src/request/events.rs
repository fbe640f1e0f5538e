//! Inputs and outputs of the request state machine.

use std::time::Duration;

use paddlemount_protocol::{
    engine::{EngineRefusal, FinishReason, Frame, LoadReport, Precondition},
    identity::{AdapterId, AttemptId, EngineId, Incarnation, ModelId, WeightsVersion},
    refusal::Refusal,
};

use crate::routing::AttemptEnding;

/// An input to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    Arrived,
    /// An engine was chosen, in reply to [`RequestAction::Choose`].
    EngineChosen(Precondition),
    /// No engine can be sent the request now.
    NoEngineAvailable {
        retry_after: Option<Duration>,
    },
    /// The request is in quarantine, because back ends repeatedly crashed while they ran it.
    Quarantined {
        retry_after: Duration,
    },
    /// The retry budget does not allow another attempt.
    RetryBudgetSpent,
    /// The engine refused an attempt, which did not run there.
    Refused {
        attempt: AttemptId,
        refusal: EngineRefusal,
    },
    /// The connection failed before the attempt was sent.
    NotSent {
        attempt: AttemptId,
    },
    /// The connection of an attempt ended before the answer did, or the engine refused to resume it.
    ConnectionLost {
        attempt: AttemptId,
        /// Whether the engine may still know the attempt.
        resumable: bool,
    },
    Frame(Frame),
    /// Time has passed; see [`ModelRequest::next_timer`](super::ModelRequest::next_timer).
    Tick,
    /// The caller has read all frames that backpressure had held up.
    BackpressureEnded,
    /// The caller disconnected.
    CallerDisconnected,
}

/// What a continuation must have in common with the text that the caller already has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    pub model: ModelId,
    pub weights: WeightsVersion,
    pub adapter: Option<AdapterId>,
}

/// An output of a request, for its driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Refresh the engine's status before any further action.
    RefreshStatus { engine: EngineId },
    /// Choose an engine; the reply is [`RequestEvent::EngineChosen`] or [`RequestEvent::NoEngineAvailable`].
    Choose {
        /// Engines that must not be chosen.
        excluded: Vec<EngineId>,
        /// What the engine must have in common with earlier ones.
        continuation: Option<Continuation>,
        /// Whether this is a retry, which the retry budget must allow.
        retry: bool,
    },
    /// Send an attempt.
    Dispatch {
        attempt: AttemptId,
        precondition: Precondition,
        /// Tokens that the caller already has.
        answer_prefix: Vec<String>,
    },
    /// Reconnect to the engine that runs an attempt.
    Resume {
        attempt: AttemptId,
        engine: EngineId,
        incarnation: Incarnation,
        /// Index of the next expected token.
        next_index: u32,
    },
    /// Tell an engine to cancel an attempt, and close the attempt's connection.
    Cancel { attempt: AttemptId, engine: EngineId },
    /// Report the end of an attempt to the router.
    Ended { attempt: AttemptId, ending: AttemptEnding },
    /// An engine began to answer.
    Started {
        attempt: AttemptId,
        engine: EngineId,
        incarnation: Incarnation,
        prompt_tokens: u32,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: u32,
        load: LoadReport,
    },
    /// Send the next token to the caller.
    Emit {
        /// Position in the answer.
        index: u32,
        text: String,
    },
    /// End the answer, which is complete.
    Finish {
        /// Number of tokens in the answer.
        tokens: u32,
        reason: FinishReason,
        /// The engine and its load, if the engine reported it.
        load: Option<(EngineId, LoadReport)>,
    },
    /// End the request without a complete answer.
    Refuse { refusal: Refusal },
}
