//! How a try ends before its answer is whole, and what follows: another connection, another engine, or a refusal.

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
            // The engine knew the try before, so this cannot mean that it did not run.
            return self.abandon(actions);
        }
        let Some(attempt) = self.end_attempt(AttemptEnding::Refused, actions) else { return };
        let engine = attempt.engine();
        if refusal.code == RefusalCode::PreconditionFailed {
            // The cache_index was out of date. The engine may be chosen again once it was asked.
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
            // The try itself was sent earlier; only its resumption was not.
            return self.abandon(actions);
        }
        let Some(attempt) = self.end_attempt(AttemptEnding::Failed, actions) else { return };
        self.excluded.push(attempt.engine());
        self.choose(actions);
    }

    /// Whether nothing was heard of the present try since it was sent.
    fn is_only_sent(&self) -> bool {
        matches!(&self.phase, Phase::Trying(attempt) if attempt.stage == Stage::Sent)
    }

    pub(super) fn lost(&mut self, resumable: bool, now: Timestamp, actions: &mut Vec<RequestAction>) {
        let next_index = self.next_index();
        let max_resumes = self.settings.max_resumes;
        let Phase::Trying(attempt) = &mut self.phase else { return };
        if !resumable || attempt.resumes >= max_resumes {
            return self.abandon(actions);
        }
        attempt.resumes += 1;
        attempt.stage = Stage::Resuming { started: attempt.has_started() };
        attempt.heard_at = now;
        actions.push(RequestAction::Resume {
            attempt: attempt.id.clone(),
            engine: attempt.engine(),
            incarnation: attempt.precondition.incarnation,
            next_index,
        });
    }

    /// Gives up a try that may have run, and goes on elsewhere where that is allowed.
    pub(super) fn abandon(&mut self, actions: &mut Vec<RequestAction>) {
        self.last_code = RefusalCode::BackendFailed;
        if let Phase::Trying(attempt) = &self.phase {
            self.excluded.push(attempt.engine());
        }
        self.give_up_attempt(AttemptEnding::Failed, actions);
        if self.next_index() >= self.terms.max_tokens {
            return self.finish(FinishReason::Length, None, actions);
        }
        if self.terms.repeatable {
            self.choose(actions);
        } else {
            self.refuse(RefusalCode::BackendFailed, "the engine failed; the request may have run", actions);
        }
    }

    /// Ends the present try with a cancellation; the engine may have begun it.
    pub(super) fn give_up_attempt(&mut self, ending: AttemptEnding, actions: &mut Vec<RequestAction>) {
        if let Phase::Trying(attempt) = &self.phase {
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
            Phase::Trying(attempt) => {
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
        let Phase::Trying(attempt) = &self.phase else { return };
        if now < self.patience_ends(attempt) {
            return;
        }
        match attempt.stage {
            Stage::Answering => self.lost(true, now, actions),
            Stage::Sent | Stage::Resuming { .. } => self.abandon(actions),
        }
    }
}
