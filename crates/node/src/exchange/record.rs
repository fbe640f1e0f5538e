//! The decision record of an exchange.

use std::sync::Arc;

use paddlemount_core::{
    decisions::{AttemptRecord, AttemptResult, DecisionRecord, LimitHit, RequestEnding},
    request::{RequestAction, RequestEvent},
    routing::{AttemptEnding, Decision},
};
use paddlemount_protocol::{
    engine::Precondition,
    identity::AttemptId,
    refusal::{Outcome, Refusal},
    time::Timestamp,
    trace::TraceContext,
};

use super::ExchangeSpec;
use crate::admin::observations::{LiveRecord, Observations};

/// Writes the decision record of one exchange.
pub struct ExchangeRecord {
    live: LiveRecord,
    arrived: Timestamp,
}

impl ExchangeRecord {
    /// Starts the record of a request.
    pub fn begin(observations: &Arc<Observations>, spec: &ExchangeSpec) -> Self {
        let mut record = DecisionRecord::new(
            spec.request.clone(),
            spec.tenant.clone(),
            spec.pool.clone(),
            spec.model.clone(),
            spec.arrived,
        );
        record.tenant_weight = spec.tenant_weight;
        record.weights = spec.weights;
        record.priority = spec.priority;
        record.prompt_tokens = paddlemount_protocol::prefix::prompt_tokens(spec.prompt.len());
        record.trace =
            spec.traceparent.as_deref().and_then(TraceContext::parse).map(|trace| trace.trace_id());
        observations.prefixes.record(spec, spec.arrived);
        Self { live: observations.begin(record), arrived: spec.arrived }
    }

    /// Records a limit that delayed or refused the request.
    pub fn record_limit(&self, limit: LimitHit) {
        self.live.update(|record| record.record_limit(limit));
    }

    /// Records that the request was refused before routing.
    pub fn record_refusal(&self, refusal: &Refusal) {
        self.live.update(|record| record.ending = refused_ending(refusal));
    }

    /// Records the candidate engines of a routing decision.
    pub fn record_candidates(&self, decision: &Decision) {
        self.live.update(|record| record.record_candidates(&decision.candidates, decision.reason));
    }

    /// Records an attempt that is sent.
    pub fn record_attempt(&self, attempt: &AttemptId, precondition: &Precondition, now: Timestamp) {
        let waited = u64::try_from(now.saturating_since(self.arrived).as_micros()).unwrap_or(u64::MAX);
        let attempt = AttemptRecord {
            attempt: attempt.clone(),
            precondition: precondition.clone(),
            sent_at: now,
            took_ms: 0,
            result: AttemptResult::Running,
        };
        self.live.update(|record| {
            record.timings.queued_us.get_or_insert(waited);
            record.weights = attempt.precondition.weights;
            record.record_attempt(attempt);
        });
    }

    /// Records an event before it is handled.
    pub fn record_event(&self, event: &RequestEvent, now: Timestamp) {
        if let RequestEvent::Refused { attempt, refusal } = event {
            let result = AttemptResult::Refused { code: refusal.code };
            self.end_attempt(attempt, result, now);
        }
    }

    /// Records an action of the exchange.
    pub fn record_action(&self, action: &RequestAction, now: Timestamp) {
        match action {
            RequestAction::Ended { attempt, ending } => self.attempt_ended(attempt, *ending, now),
            RequestAction::Started { cached_tokens, prompt_tokens, .. } => self.live.update(|record| {
                if record.completion_tokens == 0 {
                    record.cached_tokens = *cached_tokens;
                    record.prompt_tokens = *prompt_tokens;
                }
            }),
            RequestAction::Emit { index, .. } => {
                let waited = self.since_arrival(now);
                self.live.update(|record| {
                    record.timings.first_token_ms.get_or_insert(waited);
                    record.completion_tokens = index.saturating_add(1);
                });
            }
            RequestAction::Finish { .. } => {
                self.live.update(|record| record.ending = RequestEnding::Completed)
            }
            RequestAction::Refuse { refusal } => {
                self.live.update(|record| record.ending = refused_ending(refusal));
            }
            _ => {}
        }
    }

    fn since_arrival(&self, now: Timestamp) -> u64 {
        u64::try_from(now.saturating_since(self.arrived).as_millis()).unwrap_or(u64::MAX)
    }

    fn attempt_ended(&self, attempt: &AttemptId, ending: AttemptEnding, now: Timestamp) {
        let mut tokens = 0;
        self.live.update(|record| tokens = record.completion_tokens);
        let result = match ending {
            AttemptEnding::Completed => AttemptResult::Completed,
            AttemptEnding::Refused => return,
            AttemptEnding::Failed => AttemptResult::Failed { tokens },
            AttemptEnding::Cancelled => AttemptResult::Cancelled,
        };
        self.end_attempt(attempt, result, now);
    }

    fn end_attempt(&self, attempt: &AttemptId, result: AttemptResult, now: Timestamp) {
        self.live.update(|record| {
            let attempt_record =
                record.attempts.iter_mut().find(|attempt_record| attempt_record.attempt == *attempt);
            if let Some(attempt_record) =
                attempt_record.filter(|attempt_record| attempt_record.result == AttemptResult::Running)
            {
                attempt_record.took_ms = now.saturating_since(attempt_record.sent_at).as_millis() as u64;
                attempt_record.result = result;
            }
        });
    }
}

/// The ending of a refused request, as its caller sees it.
pub fn refused_ending(refusal: &Refusal) -> RequestEnding {
    match refusal.outcome {
        Outcome::NotRun => RequestEnding::NotRun { code: refusal.code },
        Outcome::Completed | Outcome::Unknown => RequestEnding::Unknown { code: refusal.code },
    }
}
