//! What is recorded of one request, and of one step of a mechanism.

use paddlemount_protocol::{
    engine::{Precondition, Priority},
    identity::{AttemptId, EngineId, ModelId, PoolId, RequestId, TenantId, WeightsVersion},
    refusal::RefusalCode,
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

use super::journal::MemorySize;
use crate::routing::{Candidate, ChoiceReason};

/// Candidates recorded for one decision, the best first; the rest are counted.
pub const MAX_CANDIDATES: usize = 8;

/// Attempts and limits recorded for one request, the first ones; the rest are counted.
pub const MAX_RECORD_ITEMS: usize = 8;

/// A limit that a request met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitHit {
    /// Which limit.
    pub limit: LimitKind,
    /// Whether it refused the request; otherwise it only delayed it.
    pub refused: bool,
    /// Milliseconds of delay.
    pub waited_ms: u64,
}

/// The kinds of limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// One of the tenant's quotas.
    Quota,
    /// The tenant's requests a second.
    RequestsPerSecond,
    /// The tenant's tokens a second.
    TokensPerSecond,
    /// The tenant's requests at the same time.
    ConcurrentRequests,
    /// The node's queue.
    Queue,
    /// The caller's deadline.
    Deadline,
    /// The budget of retries.
    RetryBudget,
}

/// One try of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The try.
    pub attempt: AttemptId,
    /// What the engine had to match.
    pub precondition: Precondition,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// Milliseconds from sending to its end.
    pub took_ms: u64,
    /// How it ended.
    pub result: AttemptResult,
}

/// How one try ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum AttemptResult {
    /// It has not ended.
    Running,
    /// The whole answer arrived.
    Completed,
    /// The engine refused it; it has not run there.
    Refused {
        /// The code of the refusal.
        code: RefusalCode,
    },
    /// The connection or the engine failed after `tokens` tokens.
    Failed {
        /// Tokens received.
        tokens: u32,
    },
    /// The caller left, or another try took over.
    Cancelled,
}

impl std::fmt::Display for AttemptResult {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Running => formatter.write_str("running"),
            Self::Completed => formatter.write_str("completed"),
            Self::Refused { code } => write!(formatter, "refused as not run: {code:?}"),
            Self::Failed { tokens } => write!(formatter, "failed after {tokens} tokens"),
            Self::Cancelled => formatter.write_str("cancelled"),
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RequestEnding {
    /// The whole answer was sent.
    Completed,
    /// It was refused and has not run.
    NotRun {
        /// The code of the refusal.
        code: RefusalCode,
    },
    /// It may have run, and the answer is not whole.
    Unknown {
        /// The code of the refusal.
        code: RefusalCode,
    },
    /// The caller left before the end.
    Cancelled,
}

/// How long the parts of a request took, from its arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timings {
    /// Microseconds until it was sent to a back end for the first time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queued_us: Option<u64>,
    /// Milliseconds until the first token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// Milliseconds until the end.
    pub total_ms: u64,
}

/// Why one request went where it went, and what became of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DecisionRecord {
    /// The request.
    pub request: RequestId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The tenant's weight, by which tenants are put into classes.
    pub tenant_weight: u32,
    /// The pool that serves its model.
    pub pool: PoolId,
    /// The model.
    pub model: ModelId,
    /// The weights version that it was routed under.
    pub weights: WeightsVersion,
    /// How urgent it was.
    pub priority: Priority,
    /// When it arrived.
    pub at: Timestamp,
    /// The trace id of the W3C trace context, if the caller or the node gave one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
    /// Engines weighed for the first try, the best first, at most [`MAX_CANDIDATES`].
    pub candidates: Vec<Candidate>,
    /// Engines weighed and not recorded.
    pub more_candidates: u32,
    /// Why the choice fell; none where no choice was made.
    pub reason: Option<ChoiceReason>,
    /// Age in milliseconds of the oldest load report among the candidates.
    pub belief_age_ms: u64,
    /// Limits that it met.
    pub limits: Vec<LimitHit>,
    /// Its tries, each with its precondition.
    pub attempts: Vec<AttemptRecord>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// How it ended.
    pub ending: RequestEnding,
    /// How long it took.
    pub timings: Timings,
}

impl DecisionRecord {
    /// The record of a request that has just arrived.
    pub fn new(request: RequestId, tenant: TenantId, pool: PoolId, model: ModelId, at: Timestamp) -> Self {
        Self {
            request,
            tenant,
            tenant_weight: 1,
            pool,
            model,
            weights: WeightsVersion::default(),
            priority: Priority::default(),
            at,
            trace: None,
            candidates: Vec::new(),
            more_candidates: 0,
            reason: None,
            belief_age_ms: 0,
            limits: Vec::new(),
            attempts: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            completion_tokens: 0,
            ending: RequestEnding::Cancelled,
            timings: Timings::default(),
        }
    }

    /// Records the engines weighed for the first try and why the choice fell; later calls change nothing.
    pub fn record_candidates(&mut self, candidates: &[Candidate], reason: ChoiceReason) {
        if self.reason.is_some() {
            return;
        }
        self.reason = Some(reason);
        self.candidates = candidates.iter().take(MAX_CANDIDATES).cloned().collect();
        let more = candidates.len().saturating_sub(MAX_CANDIDATES);
        self.more_candidates = u32::try_from(more).unwrap_or(u32::MAX);
        self.belief_age_ms = candidates.iter().map(|candidate| candidate.load_age_ms).max().unwrap_or(0);
    }

    /// Records a limit that the request met, up to [`MAX_RECORD_ITEMS`].
    pub fn record_limit(&mut self, limit: LimitHit) {
        if self.limits.len() < MAX_RECORD_ITEMS {
            self.limits.push(limit);
        }
    }

    /// Records a try, up to [`MAX_RECORD_ITEMS`]; the last place always holds the latest one.
    pub fn record_attempt(&mut self, attempt: AttemptRecord) {
        if self.attempts.len() == MAX_RECORD_ITEMS {
            self.attempts.pop();
        }
        self.attempts.push(attempt);
    }

    /// Prompt tokens that were computed again though an engine that was weighed was believed to hold them.
    pub fn recomputed_tokens(&self) -> u32 {
        let believed = self.candidates.iter().map(|candidate| candidate.expected_cached_tokens).max();
        believed.unwrap_or(0).saturating_sub(self.cached_tokens)
    }

    /// The engine of the last try.
    pub fn engine(&self) -> Option<&EngineId> {
        self.attempts.last().map(|attempt| &attempt.precondition.engine)
    }
}

impl MemorySize for DecisionRecord {
    fn heap_bytes(&self) -> usize {
        let texts = self.request.as_str().len()
            + self.tenant.as_str().len()
            + self.pool.as_str().len()
            + self.model.as_str().len()
            + self.trace.as_ref().map_or(0, String::capacity);
        let candidates = self.candidates.capacity() * size_of::<Candidate>()
            + self.candidates.iter().map(|candidate| candidate.engine.as_str().len()).sum::<usize>();
        let attempts = self.attempts.capacity() * size_of::<AttemptRecord>()
            + self.attempts.iter().map(attempt_heap).sum::<usize>();
        texts + candidates + attempts + self.limits.capacity() * size_of::<LimitHit>()
    }
}

fn attempt_heap(attempt: &AttemptRecord) -> usize {
    let precondition = &attempt.precondition;
    let adapter = precondition.adapter.as_ref().map_or(0, |adapter| adapter.as_str().len());
    attempt.attempt.as_str().len()
        + precondition.engine.as_str().len()
        + precondition.model.as_str().len()
        + adapter
}

/// The mechanisms that can be watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Choice of engines.
    Routing,
    /// Copies of hot prefixes.
    Copies,
    /// Quotas, queues and shedding.
    Limits,
    /// Second tries.
    Retries,
    /// Back ends and nodes that leave.
    Drains,
    /// Which nodes are alive.
    Membership,
    /// Revisions of the configuration.
    Configuration,
    /// Operations that run at most once.
    Claims,
    /// Orders to engines.
    Placement,
}

/// One step that a mechanism took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MechanismEvent {
    /// Which mechanism.
    pub mechanism: Mechanism,
    /// When.
    pub at: Timestamp,
    /// What it concerns: an engine, a node, a tenant, a prefix, a key.
    pub subject: String,
    /// What happened, in one of few fixed forms.
    pub event: String,
    /// Figures and reasons, for people.
    pub detail: String,
}

impl MemorySize for MechanismEvent {
    fn heap_bytes(&self) -> usize {
        self.subject.capacity() + self.event.capacity() + self.detail.capacity()
    }
}
