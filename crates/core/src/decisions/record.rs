//! Decision records of requests and events of mechanisms.

use paddlemount_protocol::{
    engine::{Precondition, Priority},
    identity::{AttemptId, EngineId, ModelId, PoolId, RequestId, TenantId, WeightsVersion},
    refusal::RefusalCode,
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

use super::journal::MemorySize;
use crate::routing::{Candidate, ChoiceReason};

/// Maximum number of candidates recorded per decision, best first. Further ones are counted.
pub const MAX_CANDIDATES: usize = 8;

/// Maximum number of attempts, and of limits, recorded per request.
pub const MAX_RECORD_ITEMS: usize = 8;

/// A limit that delayed or refused a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitHit {
    pub limit: LimitKind,
    /// Whether the limit refused the request instead of delaying it.
    pub refused: bool,
    pub waited_ms: u64,
}

/// The kinds of limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    Quota,
    RequestsPerSecond,
    TokensPerSecond,
    ConcurrentRequests,
    Queue,
    Deadline,
    RetryBudget,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    pub attempt: AttemptId,
    pub precondition: Precondition,
    pub sent_at: Timestamp,
    /// Milliseconds from sending to the end of the attempt.
    pub took_ms: u64,
    pub result: AttemptResult,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum AttemptResult {
    /// The attempt has not ended.
    Running,
    /// The complete answer arrived.
    Completed,
    /// The engine refused the attempt and did not run it.
    Refused { code: RefusalCode },
    /// The connection or the engine failed.
    Failed {
        /// Tokens received before the failure.
        tokens: u32,
    },
    /// The caller disconnected, or another attempt replaced this one.
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
    /// The complete answer was sent.
    Completed,
    /// The request was refused and did not run.
    NotRun { code: RefusalCode },
    /// The request may have run, and the answer is incomplete.
    Unknown { code: RefusalCode },
    /// The caller disconnected before the end.
    Cancelled,
}

/// Durations of a request's phases, measured from its arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timings {
    /// Time until the first attempt was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queued_us: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    pub total_ms: u64,
}

/// The routing decisions for one request, and its outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DecisionRecord {
    pub request: RequestId,
    pub tenant: TenantId,
    pub tenant_weight: u32,
    pub pool: PoolId,
    pub model: ModelId,
    /// Version that the request was routed with.
    pub weights: WeightsVersion,
    pub priority: Priority,
    /// Time of arrival.
    pub at: Timestamp,
    /// The trace id of the W3C trace context, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub trace: Option<String>,
    /// Engines scored for the first attempt, best first, at most [`MAX_CANDIDATES`].
    pub candidates: Vec<Candidate>,
    /// Number of scored engines that are not recorded.
    pub more_candidates: u32,
    /// Why the engine was chosen; `None` if no choice was made.
    pub reason: Option<ChoiceReason>,
    /// Age in milliseconds of the oldest load report among the candidates.
    #[serde(rename = "belief_age_ms")]
    pub max_load_age_ms: u64,
    /// Limits that delayed or refused the request.
    pub limits: Vec<LimitHit>,
    pub attempts: Vec<AttemptRecord>,
    pub prompt_tokens: u32,
    /// Prompt tokens found in the engine's cache.
    pub cached_tokens: u32,
    pub completion_tokens: u32,
    pub ending: RequestEnding,
    pub timings: Timings,
}

impl DecisionRecord {
    /// Creates the record of a request that has just arrived.
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
            max_load_age_ms: 0,
            limits: Vec::new(),
            attempts: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            completion_tokens: 0,
            ending: RequestEnding::Cancelled,
            timings: Timings::default(),
        }
    }

    /// Records the scored engines and the reason of the first choice. Later calls have no effect.
    pub fn record_candidates(&mut self, candidates: &[Candidate], reason: ChoiceReason) {
        if self.reason.is_some() {
            return;
        }
        self.reason = Some(reason);
        self.candidates = candidates.iter().take(MAX_CANDIDATES).cloned().collect();
        let more = candidates.len().saturating_sub(MAX_CANDIDATES);
        self.more_candidates = u32::try_from(more).unwrap_or(u32::MAX);
        self.max_load_age_ms = candidates.iter().map(|candidate| candidate.load_age_ms).max().unwrap_or(0);
    }

    /// Records a limit, up to [`MAX_RECORD_ITEMS`].
    pub fn record_limit(&mut self, limit: LimitHit) {
        if self.limits.len() < MAX_RECORD_ITEMS {
            self.limits.push(limit);
        }
    }

    /// Records an attempt. At [`MAX_RECORD_ITEMS`], it replaces the last one.
    pub fn record_attempt(&mut self, attempt: AttemptRecord) {
        if self.attempts.len() == MAX_RECORD_ITEMS {
            self.attempts.pop();
        }
        self.attempts.push(attempt);
    }

    /// Prompt tokens that were recomputed although a candidate was expected to have them cached.
    pub fn recomputed_tokens(&self) -> u32 {
        let expected = self.candidates.iter().map(|candidate| candidate.expected_cached_tokens).max();
        expected.unwrap_or(0).saturating_sub(self.cached_tokens)
    }

    /// Returns the engine of the last attempt.
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

/// The mechanisms that emit events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Choice of engines.
    Routing,
    /// Copies of hot prefixes.
    Copies,
    /// Quotas, queues and load shedding.
    Limits,
    Retries,
    /// Draining of back ends and nodes.
    Drains,
    /// Cluster membership.
    Membership,
    /// Changes of the configuration.
    Configuration,
    /// Operations that run at most once.
    Claims,
    /// Orders to engines.
    Placement,
}

/// An event emitted by a mechanism.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MechanismEvent {
    pub mechanism: Mechanism,
    pub at: Timestamp,
    /// The engine, node, tenant, prefix or key that the event concerns.
    pub subject: String,
    /// The kind of event, from a small fixed set.
    pub event: String,
    /// Details for human readers.
    pub detail: String,
}

impl MemorySize for MechanismEvent {
    fn heap_bytes(&self) -> usize {
        self.subject.capacity() + self.event.capacity() + self.detail.capacity()
    }
}
