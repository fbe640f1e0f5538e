//! Ends of attempts before the answer is complete, followed by a reconnection, a retry or a refusal.

use std::time::Duration;

use paddlemount_protocol::{
    engine::{EngineRefusal, FinishReason},
    refusal::RefusalCode,
    time::Timestamp,
};

use super::ModelRequest;
use crate::{
    request::{
        RequestAction,
        phase::{Attempt, Phase, Stage},
    },
    routing::AttemptEnding,
};

impl ModelRequest {
    pub(super) fn refused(&mut self, refusal: &EngineRefusal, actions: &mut Vec<RequestAction>) {
        if !self.is_only_sent() {
            // The engine had accepted the attempt, so the refusal does not mean that it never ran.
            return self.abandon(actions);
        }
        let Some(attempt) = self.end_attempt(AttemptEnding::Refused, actions) else { return };
        let engine = attempt.engine();
        if refusal.code == RefusalCode::PreconditionFailed {
            // The router's view of the engine was stale. The engine may be chosen again after a status
            // refresh.
            self.last_code = RefusalCode::Unavailable;
            actions.push(RequestAction::RefreshStatus { engine });
        } else {
            self.last_code = match refusal.code {
                code @ (RefusalCode::Overloaded | RefusalCode::Draining) => code,
                _ => RefusalCode::Unavailable,
            };
            self.excluded.push(engine);
        }
        if let Some(milliseconds) = refusal.retry_after_ms {
            let after = Duration::from_millis(milliseconds);
            self.retry_after = Some(self.retry_after.map_or(after, |known| known.min(after)));
        }
        self.choose(actions);
    }

    pub(super) fn not_sent(&mut self, actions: &mut Vec<RequestAction>) {
        if !self.is_only_sent() {
            // The attempt was sent earlier; only its resumption failed.
            return self.abandon(actions);
        }
        let Some(attempt) = self.end_attempt(AttemptEnding::Failed, actions) else { return };
        self.excluded.push(attempt.engine());
        self.choose(actions);
    }

    /// Whether the current attempt was sent and nothing has arrived since.
    fn is_only_sent(&self) -> bool {
        matches!(&self.phase, Phase::Attempting(attempt) if attempt.stage == Stage::Sent)
    }

    pub(super) fn connection_lost(
        &mut self,
        resumable: bool,
        now: Timestamp,
        actions: &mut Vec<RequestAction>,
    ) {
        let next_index = self.next_index();
        let max_resumes = self.settings.max_resumes;
        let Phase::Attempting(attempt) = &mut self.phase else { return };
        if !resumable || attempt.resumes >= max_resumes {
            return self.abandon(actions);
        }
        attempt.resumes += 1;
        attempt.stage = Stage::Resuming { started: attempt.has_started() };
        attempt.last_activity_at = now;
        actions.push(RequestAction::Resume {
            attempt: attempt.id.clone(),
            engine: attempt.engine(),
            incarnation: attempt.precondition.incarnation,
            next_index,
        });
    }

    /// Abandons an attempt that may have run, and retries if the request is repeatable.
    pub(super) fn abandon(&mut self, actions: &mut Vec<RequestAction>) {
        self.last_code = RefusalCode::BackendFailed;
        if let Phase::Attempting(attempt) = &self.phase {
            self.excluded.push(attempt.engine());
        }
        self.cancel_attempt(AttemptEnding::Failed, actions);
        if self.next_index() >= self.spec.max_tokens {
            return self.finish(FinishReason::Length, None, actions);
        }
        if self.spec.repeatable {
            self.choose(actions);
        } else {
            self.refuse(RefusalCode::BackendFailed, "the engine failed; the request may have run", actions);
        }
    }

    /// Cancels the current attempt, which the engine may have begun.
    pub(super) fn cancel_attempt(&mut self, ending: AttemptEnding, actions: &mut Vec<RequestAction>) {
        if let Phase::Attempting(attempt) = &self.phase {
            self.may_have_run = true;
            let (attempt, engine) = (attempt.id.clone(), attempt.engine());
            actions.push(RequestAction::Cancel { attempt, engine });
            self.end_attempt(ending, actions);
        }
    }

    pub(super) fn end_attempt(
        &mut self,
        ending: AttemptEnding,
        actions: &mut Vec<RequestAction>,
    ) -> Option<Attempt> {
        match std::mem::replace(&mut self.phase, Phase::Choosing) {
            Phase::Attempting(attempt) => {
                actions.push(RequestAction::Ended { attempt: attempt.id.clone(), ending });
                Some(attempt)
            }
            other => {
                self.phase = other;
                None
            }
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp, actions: &mut Vec<RequestAction>) {
        let Phase::Attempting(attempt) = &self.phase else { return };
        if now < self.attempt_timeout_at(attempt) {
            return;
        }
        match attempt.stage {
            Stage::Answering => self.connection_lost(true, now, actions),
            Stage::Sent | Stage::Resuming { .. } => self.abandon(actions),
        }
    }
}
