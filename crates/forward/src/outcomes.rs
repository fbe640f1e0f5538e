//! Decides how a request continues after a failed attempt, and builds its final answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Response, header};
use paddlemount_core::forwarding::{
    announcements::limits::Opening,
    answer_times::AnswerTime,
    attempt::{self, AttemptEnd, NextAction},
    backends::BackendId,
    choice::Choice,
    software::SoftwareBinding,
};

use crate::{
    access_log::{QUARANTINED, REFUSED},
    announcements::with_jitter,
    answers::{AnswerBody, Reason, Refusal, error_answer, full_body},
    attempts::{AttemptFailure, strip_connection_headers},
    exchange::{Exchange, MIN_ATTEMPT_TIME},
    journal::Event,
    metrics::Counter,
};

impl Exchange {
    /// Handles a failed attempt. Returns the final answer, or `None` if another attempt follows.
    pub(crate) fn after_failure(
        &mut self,
        choice: &Choice,
        failure: AttemptFailure,
    ) -> Option<Response<AnswerBody>> {
        let next = self.decide(choice, &failure);
        match next {
            NextAction::Retry => None,
            NextAction::PassOn => {
                let answer = failure.answer?;
                Some(if failure.end == AttemptEnd::Declined {
                    self.pass_on(answer, REFUSED)
                } else {
                    self.pass_on(answer, "backend_failure")
                })
            }
            NextAction::Refuse => Some(self.abandon(self.no_backend_refusal(Reason::NotTaken))),
            NextAction::Fail => Some(self.abandon(Reason::AnswerLost)),
        }
    }

    /// Decides how to continue after a failed attempt, and logs it.
    pub fn decide(&mut self, choice: &Choice, failure: &AttemptFailure) -> NextAction {
        let now = self.node.now();
        let time_left = self.deadline.saturating_since(now) >= MIN_ATTEMPT_TIME;
        let (node, service) = (Rc::clone(&self.node), self.service.clone());
        let mut misdirected_retry = None;
        let mut has_drawn = false;
        // A try without a back end would only use up the budget.
        let needs_certain_candidate = self.binding.has_begun() || !self.route.kind.is_stream();
        let is_hopeless = needs_certain_candidate && !self.has_candidate();
        let budget = || {
            if is_hopeless {
                return false;
            }
            // All other back ends refuse too, so the caller is refused at once.
            if failure.end == AttemptEnd::NotRun && node.is_refused_by_all(&service) {
                return false;
            }
            if failure.end == AttemptEnd::Misdirected {
                misdirected_retry = node.draw_misdirected_retry();
                if misdirected_retry.is_none() {
                    return false;
                }
            }
            let granted = node.draw_retry(&service);
            has_drawn |= granted;
            if granted {
                return true;
            }
            if misdirected_retry.is_some() {
                node.settle_misdirected_retry(misdirected_retry.take(), None);
            }
            false
        };
        if failure.oversized && choice.intermediary.is_none() {
            self.node.record_oversized_answer(choice);
        }
        if failure.connection_lost && choice.intermediary.is_none() {
            self.report_broken_run(choice);
        }
        let next = attempt::next_action(
            self.route.kind,
            self.max_attempts(),
            failure.end,
            self.history,
            time_left,
            budget,
        );
        if has_drawn {
            self.record_drawn();
        }
        if failure.unread {
            self.watch_unread();
        }
        // Kept until an attempt has reached some back end.
        self.misdirected_retry = misdirected_retry.or(self.misdirected_retry);
        let end = failure.end.label();
        self.node.metrics.count(Counter::Attempts(end));
        self.node.journal.log(&Event::AttemptEnded {
            request: self.id(),
            attempt: self.history.sent + self.history.not_sent,
            backend: choice.backend.as_str(),
            end,
            detail: failure.detail.clone(),
            next: next_label(next),
            after_ms: now.saturating_since(self.arrived).as_millis() as u64,
            reused: failure.reused,
            fingerprint: failure.connection_lost.then(|| self.fingerprint().to_string()),
            service: self.service.as_str(),
            answered_by: failure.answered_by.as_ref().map(BackendId::as_str),
            software: self.node.software_of(&choice.backend).map(|software| software.to_string()),
            unread: failure.unread,
            budget_left: self.node.retries_left(&self.service),
        });
        next
    }

    /// Whether the stream has begun, and no back end can continue it.
    pub(crate) fn is_software_gone(&self) -> bool {
        let now = self.node.now();
        match &self.binding {
            SoftwareBinding::Unbound => false,
            SoftwareBinding::Bound(software) => {
                !self.node.state.borrow().has_software(&self.service, software, now)
            }
            SoftwareBinding::Unknown => true,
        }
    }

    /// The reason for which no back end is available; `otherwise` if none applies to all of them.
    pub(crate) fn no_backend_refusal(&self, otherwise: Reason) -> Refusal {
        let model = self.head.prompt.as_ref().map(|prompt| &prompt.model);
        let now = self.node.now();
        if self.is_software_gone() {
            return Reason::SoftwareGone.into();
        }
        let mut state = self.node.state.borrow_mut();
        if state.reachability.is_lost(&self.service) {
            let retry_after = Reason::Unreached.retry_after().map(with_jitter);
            return Refusal { reason: Reason::Unreached, retry_after };
        }
        if model.is_some_and(|model| state.has_only_older_weights(&self.service, model, now)) {
            return Reason::OlderWeights.into();
        }
        if state.brittleness.stated(&self.service, now).is_some() {
            let retry_after = Reason::PoolFull.retry_after().map(with_jitter);
            return Refusal { reason: Reason::PoolFull, retry_after };
        }
        match state.next_opening(&self.service, model, now) {
            Some(Opening { at, per_second: Some(per_second) }) => {
                self.node.metrics.count(Counter::RefusedForLimits);
                let schedule = state.retry_schedules.entry(self.service.clone()).or_default();
                let retry_after = Some(with_jitter(schedule.next(at, per_second, now)));
                Refusal { reason: Reason::BackendsLimited, retry_after }
            }
            Some(Opening { at, per_second: None }) => Refusal {
                reason: Reason::BackendsRest,
                retry_after: Some(with_jitter(at.saturating_since(now))),
            },
            None => match state.refusals.get(&self.service) {
                Some(refusals) if otherwise == Reason::NotTaken => {
                    let retry_after = Some(with_jitter(refusals.retry_after(now)));
                    Refusal { reason: otherwise, retry_after }
                }
                _ => otherwise.into(),
            },
        }
    }

    /// The answer to a quarantined request, depending on its earlier attempts.
    pub(crate) fn refuse_quarantined(&mut self, quarantined_for: Duration) -> Response<AnswerBody> {
        if attempt::action_without_retry(self.route.kind, self.history) == NextAction::Fail
            || self.history.may_have_run
        {
            return self.refuse(Reason::AnswerLost);
        }
        self.refuse(Refusal { reason: Reason::HeldBack, retry_after: Some(quarantined_for) })
    }

    /// The answer to an abandoned request, depending on whether it may have run.
    pub(crate) fn abandon(&mut self, refusal: impl Into<Refusal>) -> Response<AnswerBody> {
        let time_up = self.node.now() + MIN_ATTEMPT_TIME >= self.deadline;
        let refusal = match attempt::action_without_retry(self.route.kind, self.history) {
            NextAction::Fail if time_up => Reason::TimeUp.into(),
            NextAction::Fail => Reason::AnswerLost.into(),
            _ if time_up && !self.history.may_have_run => Reason::TimeUpBeforeSending.into(),
            _ if self.history.may_have_run && time_up => Reason::TimeUp.into(),
            _ if self.history.may_have_run => Reason::AnswerLost.into(),
            _ => refusal.into(),
        };
        self.refuse(refusal)
    }

    /// Records how long a served request took.
    pub(crate) fn record_times(&self) {
        if !self.record.is_served() {
            return;
        }
        let now = self.node.now();
        let total = now.saturating_since(self.arrived);
        let first_chunk = self.record.first_chunk_at.map_or(total, |at| at.saturating_since(self.arrived));
        let time = AnswerTime { first_chunk, total, estimated_tokens: self.record.estimated_tokens };
        self.node.answer_times.borrow_mut().record(&self.route.name, time, now);
        self.record_duration(now);
    }

    /// Answers with an error response.
    pub(crate) fn refuse(&mut self, refusal: impl Into<Refusal>) -> Response<AnswerBody> {
        let refusal = refusal.into();
        self.record.reason = Some(refusal.reason);
        let answer = error_answer(refusal);
        self.record.status = Some(answer.status().as_u16());
        self.record.outcome = Some(match (refusal.reason, refusal.retry_after) {
            (Reason::HeldBack, _) => QUARANTINED,
            (_, Some(_)) => REFUSED,
            (_, None) => "failed",
        });
        answer
    }

    /// Relays a back end's answer.
    pub(crate) fn pass_on(&mut self, answer: Response<Bytes>, outcome: &'static str) -> Response<AnswerBody> {
        self.record.outcome = Some(outcome);
        if self.record.is_served() {
            self.record.first_chunk_at = Some(self.node.now());
        }
        let (mut head, body) = answer.into_parts();
        self.record.status = Some(head.status.as_u16());
        strip_connection_headers(&mut head.headers);
        // The body is framed anew; a length beside chunks may differ from it.
        if self.parts.method != Method::HEAD {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let mut answer = Response::new(full_body(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = head.headers;
        answer
    }
}

const fn next_label(next: NextAction) -> &'static str {
    match next {
        NextAction::Retry => "try_another",
        NextAction::PassOn => "pass_on",
        NextAction::Refuse => "refuse",
        NextAction::Fail => "fail",
    }
}
