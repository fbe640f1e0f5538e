//! What a request learns and what it asks for.

use std::time::Duration;

use paddlemount_protocol::{
    engine::{EngineRefusal, FinishReason, Frame, LoadReport, Precondition},
    identity::{AdapterId, AttemptId, EngineId, Incarnation, ModelId, WeightsVersion},
    refusal::Refusal,
};

use crate::routing::AttemptEnding;

/// Something that a request learns.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// The request has arrived.
    Arrived,
    /// An engine was chosen, as asked by [`RequestAction::Choose`].
    EngineChosen(Precondition),
    /// No engine can be asked now.
    NoEngineAvailable {
        /// When it makes sense to come back.
        retry_after: Option<Duration>,
    },
    /// Back ends ended under this request again and again: none gets it.
    Quarantined {
        /// When it makes sense to come back.
        retry_after: Duration,
    },
    /// Another try was asked for and the retry budget is spent.
    RetryBudgetSpent,
    /// The engine refused a try, which therefore did not run there.
    Refused {
        /// The try.
        attempt: AttemptId,
        /// The refusal.
        refusal: EngineRefusal,
    },
    /// No connection came about, so the try was not sent.
    NotSent {
        /// The try.
        attempt: AttemptId,
    },
    /// The connection of a try ended without an end of the answer, or its resumption was refused.
    ConnectionLost {
        /// The try.
        attempt: AttemptId,
        /// Whether the engine still knows the try, as far as the driver can tell.
        resumable: bool,
    },
    /// A frame arrived.
    Frame(Frame),
    /// Time has passed; see [`ModelRequest::next_timer`](super::ModelRequest::next_timer).
    Tick,
    /// The caller has taken everything again after frames had to wait for it.
    BackpressureEnded,
    /// The caller has left.
    CallerLeft,
}

/// What later text must have in common with text that the caller already has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// The model.
    pub model: ModelId,
    /// The weights version.
    pub weights: WeightsVersion,
    /// The adapter.
    pub adapter: Option<AdapterId>,
}

/// Something that a request asks its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Learn anew what an engine says of itself, before anything else.
    RefreshStatus {
        /// The engine.
        engine: EngineId,
    },
    /// Choose an engine; answered by [`RequestEvent::EngineChosen`] or [`RequestEvent::NoEngineAvailable`].
    Choose {
        /// Engines that must not be chosen.
        excluded: Vec<EngineId>,
        /// What the engine must have in common with earlier ones.
        continuation: Option<Continuation>,
        /// Whether this is another try, which must be within the retry budget.
        retry: bool,
    },
    /// Send a try.
    Dispatch {
        /// The try.
        attempt: AttemptId,
        /// Where, and under which condition.
        precondition: Precondition,
        /// Text that the caller already has.
        already: Vec<String>,
    },
    /// Connect again to the engine that runs a try.
    Resume {
        /// The try.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// The engine's life.
        incarnation: Incarnation,
        /// The next token wanted.
        next_index: u32,
    },
    /// Tell an engine to stop work on a try. The driver also drops the try's connection.
    Cancel {
        /// The try.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
    },
    /// A try has ended, for the router's account of what runs where.
    Ended {
        /// The try.
        attempt: AttemptId,
        /// How.
        ending: AttemptEnding,
    },
    /// An engine began to answer.
    Started {
        /// The try.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// The engine's life.
        incarnation: Incarnation,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens of the prompt found in the engine's cache.
        cached_tokens: u32,
        /// The engine's load.
        load: LoadReport,
    },
    /// Give the caller the next token.
    Emit {
        /// Its position in the answer.
        index: u32,
        /// Its text.
        text: String,
    },
    /// End the answer: it is whole.
    Finish {
        /// Number of its tokens.
        tokens: u32,
        /// Why it ended.
        reason: FinishReason,
        /// The engine and its load, where the engine said so.
        load: Option<(EngineId, LoadReport)>,
    },
    /// End the request without a whole answer.
    Refuse {
        /// What to tell the caller.
        refusal: Refusal,
    },
}
