//! Handling of the frames of the current attempt's answer.

use paddlemount_protocol::{
    engine::{FinishReason, Frame, FrameContent, LoadReport},
    identity::Incarnation,
    time::Timestamp,
};

use super::ModelRequest;
use crate::{
    request::{
        RequestAction,
        phase::{Phase, Stage},
    },
    routing::AttemptEnding,
};

impl ModelRequest {
    pub(super) fn handle_frame(&mut self, frame: Frame, now: Timestamp, actions: &mut Vec<RequestAction>) {
        self.record_activity(now);
        match frame.content {
            FrameContent::Start { incarnation, prompt_tokens, cached_tokens, load } => {
                self.start(incarnation, prompt_tokens, cached_tokens, load, actions);
            }
            FrameContent::Token { index, text } => self.token(index, text, now, actions),
            FrameContent::End { tokens, reason, load } => self.end(tokens, reason, load, now, actions),
            FrameContent::Failed { .. } => self.abandon(actions),
        }
    }

    fn start(
        &mut self,
        incarnation: Incarnation,
        prompt_tokens: u32,
        cached_tokens: u32,
        load: LoadReport,
        actions: &mut Vec<RequestAction>,
    ) {
        let Phase::Attempting(attempt) = &mut self.phase else { return };
        if incarnation != attempt.precondition.incarnation {
            return self.abandon(actions);
        }
        if attempt.has_started() {
            attempt.stage = Stage::Answering;
            return;
        }
        attempt.stage = Stage::Answering;
        let (attempt, engine) = (attempt.id.clone(), attempt.engine());
        self.may_have_run = true;
        actions.push(RequestAction::Started {
            attempt,
            engine,
            incarnation,
            prompt_tokens,
            cached_tokens,
            load,
        });
    }

    fn token(&mut self, index: u32, text: String, now: Timestamp, actions: &mut Vec<RequestAction>) {
        let next = self.next_index();
        if index < next {
            self.anomalies.duplicate += 1;
            return;
        }
        if index > next {
            self.anomalies.gap += 1;
            return self.connection_lost(true, now, actions);
        }
        if let Phase::Attempting(attempt) = &mut self.phase {
            attempt.stage = Stage::Answering;
            attempt.has_token = true;
            attempt.resumes = 0;
        }
        self.may_have_run = true;
        self.emitted.push(text.clone());
        actions.push(RequestAction::Emit { index, text });
    }

    fn end(
        &mut self,
        tokens: u32,
        reason: FinishReason,
        load: LoadReport,
        now: Timestamp,
        actions: &mut Vec<RequestAction>,
    ) {
        if tokens > self.next_index() {
            self.anomalies.gap += 1;
            return self.connection_lost(true, now, actions);
        }
        if tokens < self.next_index() {
            return self.abandon(actions);
        }
        let Some(attempt) = self.end_attempt(AttemptEnding::Completed, actions) else { return };
        self.finish(reason, Some((attempt.engine(), load)), actions);
    }
}
