//! Rows about requests, decisions and events.

use std::ops::ControlFlow;

use paddlemount_core::{
    decisions::{DecisionRecord, DecisionRing, MechanismEvent, RequestEnding, RetentionReason},
    routing::Candidate,
};
use paddlemount_language::{schema::Noun, source::Row, value::Value};

use super::{NodeSource, Visitor};
use crate::admin::observations::snake_case;

impl NodeSource<'_> {
    /// Active requests, then ended ones on record, the newest first.
    pub(super) fn visit_requests(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let running = self.state.observations.running();
        running.iter().map(|record| self.request_row(record, true)).try_for_each(&mut *visitor)?;
        let ended = self.state.observations.decisions(DecisionRing::newest_first);
        ended.iter().map(|record| self.request_row(record, false)).try_for_each(visitor)
    }

    /// The row of a request.
    pub(in crate::admin) fn request_row(&self, record: &DecisionRecord, running: bool) -> Row {
        let (ending, code) = if running { (None, None) } else { ending_parts(&record.ending) };
        let total = (!running).then(|| Value::milliseconds(record.timings.total_ms));
        self.own_row(Noun::Requests)
            .with("request", record.request.as_str())
            .with("tenant", record.tenant.as_str())
            .with("pool", record.pool.as_str())
            .with("at", record.at)
            .with("state", if running { "running" } else { "ended" })
            .with("ending", ending)
            .with("code", code)
            .with("engine", record.engine().map(ToString::to_string))
            .with("tries", record.attempts.len())
            .with("priority", snake_case(&record.priority))
            .with("prompt_tokens", record.prompt_tokens)
            .with("cached_tokens", record.cached_tokens)
            .with("completion_tokens", record.completion_tokens)
            .with("queued", record.timings.queued_us.map(Value::Duration))
            .with("first_token", record.timings.first_token_ms.map(Value::milliseconds))
            .with("total", total)
            .with("trace", record.trace.clone())
    }

    /// One row for each candidate engine, the newest decision first.
    pub(super) fn visit_decisions(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let records = self.state.observations.decisions(DecisionRing::newest_first);
        records.iter().flat_map(|record| self.decision_rows(record)).try_for_each(visitor)
    }

    /// The rows of one decision; a request without candidates has one row.
    pub(in crate::admin) fn decision_rows(&self, record: &DecisionRecord) -> Vec<Row> {
        let retention = self.state.observations.notable_reason(record).unwrap_or(RetentionReason::Sampled);
        let row = self
            .own_row(Noun::Decisions)
            .with("request", record.request.as_str())
            .with("tenant", record.tenant.as_str())
            .with("pool", record.pool.as_str())
            .with("at", record.at)
            .with("kept", retention_word(retention))
            .with("reason", record.reason.map(|reason| snake_case(&reason)));
        if record.candidates.is_empty() {
            return vec![row];
        }
        let first_engine = record.attempts.first().map(|attempt| &attempt.precondition.engine);
        let rows = record.candidates.iter().enumerate().map(|(index, candidate)| {
            let chosen = first_engine == Some(&candidate.engine);
            with_candidate(row.clone(), candidate).with("place", index + 1).with("chosen", chosen)
        });
        rows.collect()
    }

    /// The row of an event.
    pub(in crate::admin) fn event_row(&self, noun: Noun, event: &MechanismEvent) -> Row {
        self.own_row(noun)
            .with("at", event.at)
            .with("mechanism", snake_case(&event.mechanism))
            .with("event", event.event.as_str())
            .with("subject", event.subject.as_str())
            .with("detail", event.detail.as_str())
    }
}

/// The retention reason in the words of the operator language.
pub const fn retention_word(retention: RetentionReason) -> &'static str {
    match retention {
        RetentionReason::Refused => "refused",
        RetentionReason::Retried => "retried",
        RetentionReason::Slow => "slow",
        RetentionReason::Sampled => "sampled",
    }
}

/// Adds the cost components of a candidate to a row of `decisions`.
pub fn with_candidate(row: Row, candidate: &Candidate) -> Row {
    row.with("engine", candidate.engine.as_str())
        .with("cost", candidate.cost)
        .with("wait", milliseconds(candidate.wait_ms))
        .with("prefill", milliseconds(candidate.prefill_ms))
        .with("import", milliseconds(candidate.import_ms))
        .with("distance", milliseconds(candidate.distance_ms))
        .with("copy", milliseconds(candidate.copy_ms))
        .with("affinity", milliseconds(candidate.affinity_ms))
        .with("rank", candidate.affinity_rank)
        .with("confidence", candidate.confidence)
        .with("belief_age", Value::milliseconds(candidate.match_age_ms))
        .with("expected_cached_tokens", candidate.expected_cached_tokens)
        .with("load_age", Value::milliseconds(candidate.load_age_ms))
}

fn milliseconds(milliseconds: f64) -> Value {
    Value::Duration((milliseconds.max(0.0) * 1_000.0).round() as u64)
}

fn ending_parts(ending: &RequestEnding) -> (Option<&'static str>, Option<String>) {
    match ending {
        RequestEnding::Completed => (Some("completed"), None),
        RequestEnding::NotRun { code } => (Some("not_run"), Some(snake_case(code))),
        RequestEnding::Unknown { code } => (Some("unknown"), Some(snake_case(code))),
        RequestEnding::Cancelled => (Some("cancelled"), None),
    }
}
