//! How long an attempt waits for its answer.

use std::{pin::pin, rc::Rc, time::Duration};

use paddlemount_core::{forwarding::choice::Choice, health::HealthEvent};
use paddlemount_protocol::time::Timestamp;

use crate::{
    attempts::RunKind, candidates::RouteRequest, engine_contact::EngineContact, exchange::Exchange,
    node::Node, response_wait::Waited,
};

/// The minimum time that an attempt gets before another back end is tried.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an overdue request looks for a back end that could take it. Later ones stay: a back end that is silent for
/// long would read what they have left there after their callers have gone.
const ALTERNATIVE_SEARCH_TIME: Duration = Duration::from_millis(300);
/// How often it looks for one.
const ALTERNATIVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Until when an attempt waits for the head of its answer.
pub struct AttemptWait<'a> {
    /// When the request leaves for another back end, if one can take it.
    pub leave_at: Timestamp,
    /// When the caller's time is up.
    pub deadline: Timestamp,
    /// Whether another back end could take the request now.
    pub can_leave: &'a dyn Fn() -> bool,
}

impl AttemptWait<'_> {
    /// Until when an answer that has begun at `now` may be read.
    pub(crate) fn read_by(&self, now: Timestamp) -> Timestamp {
        if now < self.leave_at { self.leave_at } else { self.deadline }
    }

    /// Whether the request would have left by `now` if another back end could have taken it.
    pub(crate) fn is_overdue(&self, now: Timestamp) -> bool {
        self.leave_at < self.deadline && now >= self.leave_at
    }

    /// Until when to go on waiting after the time to leave; `None` if the attempt is given up.
    fn extension(&self, now: Timestamp) -> Option<Timestamp> {
        if now >= self.deadline {
            return None;
        }
        if now > self.leave_at + ALTERNATIVE_SEARCH_TIME {
            return Some(self.deadline);
        }
        let recheck_at = (now + ALTERNATIVE_CHECK_INTERVAL).min(self.deadline);
        (!(self.can_leave)()).then_some(recheck_at)
    }
}

impl Exchange {
    /// When to leave this attempt: at the request's deadline, or earlier if another back end may be tried.
    pub(crate) fn leave_at(&self, choice: &Choice, now: Timestamp) -> Timestamp {
        if !self.may_try_another() {
            return self.deadline;
        }
        let slow_answer_time = self.node.slow_latency(&choice.backend) * 3 / 2;
        let timeout = (self.route.target_latency * 3 / 2).max(MIN_ATTEMPT_TIMEOUT).max(slow_answer_time);
        (now + timeout).min(self.deadline)
    }

    /// Until when a back end may work on an attempt. One that reads an abandoned attempt late must not work on it beyond
    /// what its caller has left; a stream goes on after the node has stopped waiting for its beginning.
    pub(crate) fn work_deadline(&self, leave_at: Timestamp) -> Timestamp {
        if self.route.kind.is_stream() { self.deadline } else { leave_at }
    }

    /// Whether an unresponsive back end may be abandoned for another one.
    fn may_try_another(&self) -> bool {
        let attempts_left = self.history.sent + 1 < self.max_attempts();
        attempts_left && self.route.kind.is_idempotent() && self.node.retries_left(&self.service) > 0
    }

    /// Whether the request could leave the back end of `choice` for one that is not quiet too. Two quiet ones would work
    /// on it after its caller has gone.
    pub(crate) fn can_leave(&self, choice: &Choice) -> bool {
        if self.route.kind.is_stream() || self.node.is_path_lost(&self.service) {
            return true;
        }
        let mut tried = self.tried.clone();
        tried.push(choice.backend.clone());
        let request = RouteRequest { responsive_only: true, ..self.route_request(&tried) };
        self.node.choose_backend(request).is_some()
    }
}

/// Waits for the head of an answer of the chosen back end.
pub(crate) async fn wait_for_head<T>(
    node: &Rc<Node>,
    choice: &Choice,
    run: RunKind,
    contact: Option<&EngineContact>,
    wait: &AttemptWait<'_>,
    head: impl Future<Output = T>,
) -> Waited<T> {
    // A continued run does not start, so the age of its weights no longer matters.
    let starting_at = (run != RunKind::Continued).then_some(choice);
    let mut head = pin!(head);
    let mut until = wait.leave_at;
    let mut is_overdue = false;
    loop {
        let waiting = node.wait_for_engine(contact, starting_at, until, head.as_mut());
        let waited = tokio::select! {
            biased;
            waited = waiting => waited,
            () = node.until_path_lost(&choice.backend), if run == RunKind::Repeatable => Waited::Silent,
        };
        let Waited::TimeUp = waited else { return waited };
        if !std::mem::replace(&mut is_overdue, true) {
            node.record_health(&choice.backend, HealthEvent::Failed, false);
        }
        let Some(later) = wait.extension(node.now()) else { return Waited::TimeUp };
        until = later;
    }
}
