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

/// The state of one model request.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    settings: RequestSettings,
    spec: RequestSpec,
    phase: Phase,
    attempts: u32,
    emitted: Vec<String>,
    origin: Option<Continuation>,
    excluded: Vec<EngineId>,
    may_have_run: bool,
    last_code: RefusalCode,
    retry_after: Option<Duration>,
    anomalies: FrameAnomalies,
}

impl ModelRequest {
    /// Creates a request that has not [arrived](RequestEvent::Arrived) yet.
    pub fn new(settings: RequestSettings, spec: RequestSpec) -> Self {
        Self {
            settings,
            spec,
            phase: Phase::New,
            attempts: 0,
            emitted: Vec::new(),
            origin: None,
            excluded: Vec::new(),
            may_have_run: false,
            last_code: RefusalCode::Unavailable,
            retry_after: None,
            anomalies: FrameAnomalies::default(),
        }
    }

    /// Returns the counts of irregular frames.
    pub fn anomalies(&self) -> FrameAnomalies {
        self.anomalies
    }

    /// Number of attempts sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the latest time for the next [`RequestEvent::Tick`].
    pub fn next_timer(&self) -> Timestamp {
        match &self.phase {
            Phase::Attempting(attempt) => self.attempt_timeout_at(attempt).min(self.spec.deadline),
            Phase::New | Phase::Choosing | Phase::Ended => self.spec.deadline,
        }
    }

    fn attempt_timeout_at(&self, attempt: &Attempt) -> Timestamp {
        // An engine sends nothing during prefill, so the time before the first token gets the longer timeout.
        let timeout = match attempt.stage {
            Stage::Answering | Stage::Resuming { .. } if attempt.has_token => self.settings.frame_timeout,
            Stage::Sent | Stage::Answering | Stage::Resuming { .. } => self.settings.first_byte_timeout,
        };
        attempt.last_activity_at + timeout
    }

    /// Applies `event` and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: RequestEvent, now: Timestamp) -> Vec<RequestAction> {
        let mut actions = Vec::new();
        if self.phase == Phase::Ended {
            self.count_late(&event);
            return actions;
        }
        if event == RequestEvent::CallerDisconnected {
            self.cancel_attempt(AttemptEnding::Cancelled, &mut actions);
            self.phase = Phase::Ended;
        } else if now >= self.spec.deadline && !matches!(event, RequestEvent::Frame(_)) {
            self.cancel_attempt(AttemptEnding::Cancelled, &mut actions);
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
            RequestEvent::NoEngineAvailable { retry_after } => self.no_engine_available(retry_after, actions),
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
                self.connection_lost(resumable, now, actions);
            }
            RequestEvent::Frame(frame) if self.is_current(&frame.attempt) => {
                self.handle_frame(frame, now, actions)
            }
            RequestEvent::Tick => self.tick(now, actions),
            RequestEvent::BackpressureEnded => self.record_activity(now),
            other => self.count_late(&other),
        }
    }

    fn is_current(&self, attempt: &AttemptId) -> bool {
        matches!(&self.phase, Phase::Attempting(current) if current.id == *attempt)
    }

    fn count_late(&mut self, event: &RequestEvent) {
        if matches!(event, RequestEvent::Frame(_)) {
            self.anomalies.late += 1;
        }
    }

    fn record_activity(&mut self, now: Timestamp) {
        if let Phase::Attempting(attempt) = &mut self.phase {
            attempt.last_activity_at = now;
        }
    }

    fn choose(&mut self, actions: &mut Vec<RequestAction>) {
        if self.attempts >= self.settings.max_attempts {
            let message = format!("no engine answered in {} tries", self.attempts);
            return self.refuse(self.last_code, &message, actions);
        }
        self.phase = Phase::Choosing;
        let continuation = if self.emitted.is_empty() { None } else { self.origin.clone() };
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
        let id = self.spec.attempt(self.attempts);
        if self.emitted.is_empty() {
            self.origin = Some(Continuation {
                model: precondition.model.clone(),
                weights: precondition.weights,
                adapter: precondition.adapter.clone(),
            });
        }
        actions.push(RequestAction::Dispatch {
            attempt: id.clone(),
            precondition: precondition.clone(),
            answer_prefix: self.emitted.clone(),
        });
        self.phase = Phase::Attempting(Attempt {
            id,
            precondition,
            stage: Stage::Sent,
            resumes: 0,
            last_activity_at: now,
            has_token: false,
        });
    }

    fn no_engine_available(&mut self, retry_after: Option<Duration>, actions: &mut Vec<RequestAction>) {
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
        u32::try_from(self.emitted.len()).unwrap_or(u32::MAX)
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
