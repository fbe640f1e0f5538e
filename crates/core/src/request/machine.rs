//! The transitions of a request.

mod attempt_endings;
mod frames;

use std::time::Duration;

use paddlemount_protocol::{
    engine::{FinishReason, LoadReport, Precondition},
    identity::{AttemptId, EngineId},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use super::{
    Continuation, FrameAnomalies, RequestAction, RequestEvent, RequestSettings, RequestSpec,
    phase::{Attempt, Phase, Stage},
};
use crate::routing::AttemptEnding;

/// One model request.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    settings: RequestSettings,
    terms: RequestSpec,
    phase: Phase,
    attempts: u32,
    sent: Vec<String>,
    origin: Option<Continuation>,
    excluded: Vec<EngineId>,
    may_have_run: bool,
    last_code: RefusalCode,
    retry_after: Option<Duration>,
    anomalies: FrameAnomalies,
}

impl ModelRequest {
    /// A request that has not yet [arrived](RequestEvent::Arrived).
    pub fn new(settings: RequestSettings, terms: RequestSpec) -> Self {
        Self {
            settings,
            terms,
            phase: Phase::New,
            attempts: 0,
            sent: Vec::new(),
            origin: None,
            excluded: Vec::new(),
            may_have_run: false,
            last_code: RefusalCode::Unavailable,
            retry_after: None,
            anomalies: FrameAnomalies::default(),
        }
    }

    /// Irregular frames seen so far.
    pub fn anomalies(&self) -> FrameAnomalies {
        self.anomalies
    }

    /// Tries sent so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// When to feed [`RequestEvent::Tick`] at the latest.
    pub fn next_timer(&self) -> Timestamp {
        match &self.phase {
            Phase::Trying(attempt) => self.patience_ends(attempt).min(self.terms.deadline),
            Phase::New | Phase::Choosing | Phase::Ended => self.terms.deadline,
        }
    }

    fn patience_ends(&self, attempt: &Attempt) -> Timestamp {
        // An engine sends nothing during prefill, which takes as long in a full batch as the wait for its answer.
        let patience = match attempt.stage {
            Stage::Answering | Stage::Resuming { .. } if attempt.has_generated => self.settings.frame_timeout,
            Stage::Sent | Stage::Answering | Stage::Resuming { .. } => self.settings.first_byte_timeout,
        };
        attempt.heard_at + patience
    }

    /// Takes in `event` and says what to do, in this order.
    pub fn handle(&mut self, event: RequestEvent, now: Timestamp) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        if self.phase == Phase::Ended {
            self.count_late(&event);
            return actions;
        }
        if event == RequestEvent::CallerLeft {
            self.give_up_attempt(AttemptEnding::Cancelled, &mut actions);
            self.phase = Phase::Ended;
        } else if now >= self.terms.deadline && !matches!(event, RequestEvent::Frame(_)) {
            self.give_up_attempt(AttemptEnding::Cancelled, &mut actions);
            self.refuse(RefusalCode::DeadlineExceeded, "the deadline has passed", &mut actions);
        } else {
            self.advance(event, now, &mut actions);
        }
        actions
    }

    fn advance(&mut self, event: RequestEvent, now: Timestamp, actions: &mut Vec<RequestAction>) {
        match event {
            RequestEvent::Arrived => self.choose(actions),
            RequestEvent::EngineChosen(precondition) => self.dispatch(precondition, now, actions),
            RequestEvent::NoEngineAvailable { retry_after } => self.none_serves(retry_after, actions),
            RequestEvent::Quarantined { retry_after } if self.phase == Phase::Choosing => {
                self.retry_after = Some(retry_after);
                let message = "engines ended under this request again and again; none gets it";
                self.refuse(self.last_code, message, actions);
            }
            RequestEvent::RetryBudgetSpent if self.phase == Phase::Choosing => {
                self.refuse(self.last_code, "the retry budget of this node is spent", actions);
            }
            RequestEvent::Refused { attempt, refusal } if self.is_current(&attempt) => {
                self.refused(&refusal, actions);
            }
            RequestEvent::NotSent { attempt } if self.is_current(&attempt) => self.not_sent(actions),
            RequestEvent::ConnectionLost { attempt, resumable } if self.is_current(&attempt) => {
                self.lost(resumable, now, actions);
            }
            RequestEvent::Frame(frame) if self.is_current(&frame.attempt) => self.frame(frame, now, actions),
            RequestEvent::Tick => self.tick(now, actions),
            RequestEvent::BackpressureEnded => self.heard(now),
            other => self.count_late(&other),
        }
    }

    fn is_current(&self, attempt: &AttemptId) -> bool {
        matches!(&self.phase, Phase::Trying(current) if current.id == *attempt)
    }

    fn count_late(&mut self, event: &RequestEvent) {
        if matches!(event, RequestEvent::Frame(_)) {
            self.anomalies.late += 1;
        }
    }

    fn heard(&mut self, now: Timestamp) {
        if let Phase::Trying(attempt) = &mut self.phase {
            attempt.heard_at = now;
        }
    }

    fn choose(&mut self, actions: &mut Vec<RequestAction>) {
        if self.attempts >= self.settings.max_attempts {
            let message = format!("no engine answered in {} tries", self.attempts);
            return self.refuse(self.last_code, &message, actions);
        }
        self.phase = Phase::Choosing;
        let continuation = if self.sent.is_empty() { None } else { self.origin.clone() };
        actions.push(RequestAction::Choose {
            excluded: self.excluded.clone(),
            continuation,
            retry: self.attempts > 0,
        });
    }

    fn dispatch(&mut self, precondition: Precondition, now: Timestamp, actions: &mut Vec<RequestAction>) {
        if self.phase != Phase::Choosing {
            return;
        }
        self.attempts += 1;
        let id = self.terms.attempt(self.attempts);
        if self.sent.is_empty() {
            self.origin = Some(Continuation {
                model: precondition.model.clone(),
                weights: precondition.weights,
                adapter: precondition.adapter.clone(),
            });
        }
        actions.push(RequestAction::Dispatch {
            attempt: id.clone(),
            precondition: precondition.clone(),
            already: self.sent.clone(),
        });
        self.phase = Phase::Trying(Attempt {
            id,
            precondition,
            stage: Stage::Sent,
            resumes: 0,
            heard_at: now,
            has_generated: false,
        });
    }

    fn none_serves(&mut self, retry_after: Option<Duration>, actions: &mut Vec<RequestAction>) {
        if self.phase != Phase::Choosing {
            return;
        }
        if retry_after.is_some() {
            self.retry_after = retry_after;
            let message = "all engines that could serve this request have asked for a time without any";
            return self.refuse(RefusalCode::Overloaded, message, actions);
        }
        self.refuse(self.last_code, "no engine can serve this request now", actions);
    }

    fn next_index(&self) -> u32 {
        u32::try_from(self.sent.len()).unwrap_or(u32::MAX)
    }

    fn finish(
        &mut self,
        reason: FinishReason,
        load: Option<(EngineId, LoadReport)>,
        actions: &mut Vec<RequestAction>,
    ) {
        self.phase = Phase::Ended;
        actions.push(RequestAction::Finish { tokens: self.next_index(), reason, load });
    }

    fn refuse(&mut self, code: RefusalCode, message: &str, actions: &mut Vec<RequestAction>) {
        self.phase = Phase::Ended;
        let refusal =
            if self.may_have_run { Refusal::unknown(code, message) } else { Refusal::not_run(code, message) };
        let refusal = refusal.with_retry_after(self.retry_after.unwrap_or(self.settings.retry_after));
        actions.push(RequestAction::Refuse { refusal });
    }
}
