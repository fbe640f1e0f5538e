//! Retry budgets: what a node may send beyond the first attempt of each request.
//!
//! A retry draws on the budget of the requested service. If the address belongs to another process by now,
//! the retry arrives at another service, whose own allowance may be the slack alone. So such retries also
//! draw on a node-wide budget, which earns no credit and has the node's share of the slack.

use paddlemount_core::forwarding::attempt::AttemptEnd;
use paddlemount_protocol::{fleet::BackendProcess, identity::ServiceId, time::Timestamp};

use crate::{
    attempts::{AttemptAnswer, AttemptFailure},
    exchange::Exchange,
    metrics::{Counter, Gauge},
    node::Node,
    node_state::NodeState,
};

impl Exchange {
    /// Records whether the attempt that has ended was read by its back end.
    pub(crate) fn record_arrival(&mut self, result: &Result<AttemptAnswer, AttemptFailure>) {
        match result {
            Err(failure) if failure.end == AttemptEnd::NotSent => {
                self.in_flight.take();
            }
            Err(failure) if failure.unread => {
                // Nothing more shows on a connection that has failed.
                if let Some(attempt) =
                    self.in_flight.borrow_mut().as_mut().filter(|_| failure.connection_lost)
                {
                    attempt.socket = None;
                }
            }
            Ok(_) | Err(_) => {
                self.in_flight.take();
                let now = self.node.now();
                self.node.state.borrow_mut().late_arrivals.record_shown(&mut self.retries, now);
            }
        }
    }

    /// Records a retry that was taken from the budget now. It counts in every window until it is known to have arrived.
    pub(crate) fn record_drawn(&mut self) {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let NodeState { budgets, late_arrivals, .. } = &mut *state;
        if let Some(budget) = budgets.get_mut(&self.service) {
            late_arrivals.record_drawn(&mut self.retries, &self.service, budget, now);
        }
    }

    /// Watches whether an attempt that was given up is read later.
    pub(crate) fn watch_unread(&mut self) {
        if let Some(attempt) = self.in_flight.take() {
            self.node.watch_unread(self.retries.request(), attempt);
        }
    }

    /// Records an attempt that the caller has left before its answer.
    pub(crate) fn record_left_attempt(&mut self) {
        self.watch_unread();
    }

    /// Records that no further attempt follows.
    pub(crate) fn record_over(&mut self) {
        let now = self.node.now();
        self.node.state.borrow_mut().late_arrivals.record_over(&self.retries, now);
    }
}

impl Node {
    /// Draws on the retry budget of a service.
    pub fn draw_retry(&self, service: &ServiceId) -> bool {
        let settings = self.settings();
        let mut state = self.state.borrow_mut();
        let now = self.now();
        let granted = state.budget(service, &settings, now).try_retry(now);
        let counter = if granted { Counter::Retries } else { Counter::RetriesRefused };
        self.metrics.count(counter);
        granted
    }

    /// The retries that the budget of a service still allows.
    pub fn retries_left(&self, service: &ServiceId) -> u64 {
        let settings = self.settings();
        // Valid before any request of the service has arrived, so that the first request may leave an
        // unresponsive back end.
        let now = self.now();
        self.state.borrow_mut().budget(service, &settings, now).remaining(now)
    }

    /// Credits the retry budget of a service with a request that is sent for the first time.
    pub fn record_first_attempt(&self, service: &ServiceId) {
        let settings = self.settings();
        let now = self.now();
        self.state.borrow_mut().budget(service, &settings, now).record_request(now);
    }

    /// Records how an attempt for a service ended; `end` is `None` if its answer has begun.
    pub fn record_attempt_end(&self, service: &ServiceId, end: Option<AttemptEnd>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let refusals = state.refusals.entry(service.clone()).or_default();
        match end {
            Some(AttemptEnd::NotRun) => refusals.record_refusal(now),
            None | Some(AttemptEnd::FailedAnswer) => refusals.record_acceptance(),
            Some(
                AttemptEnd::NotSent
                | AttemptEnd::Misdirected
                | AttemptEnd::Unclear
                | AttemptEnd::Silent
                | AttemptEnd::Declined
                | AttemptEnd::Copied,
            ) => {}
        }
    }

    /// Whether all back ends of a service have refused recently.
    pub fn is_refused_by_all(&self, service: &ServiceId) -> bool {
        let state = self.state.borrow();
        state.refusals.get(service).is_some_and(|refusals| refusals.all_refuse(self.now()))
    }

    /// Records bytes of a process, which shows that it reads.
    pub(crate) fn record_heard(&self, process: &BackendProcess) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.late_arrivals.record_heard(process, now);
        state.backends.announcements.record_heard(process);
    }

    /// Records that a process has ended: its address refuses connections.
    pub(crate) fn record_ended(&self, process: &BackendProcess) {
        let now = self.now();
        self.state.borrow_mut().late_arrivals.record_ended(process, now);
    }

    /// The number of retries that may still arrive, as nothing shows that their attempts have been read.
    pub(crate) fn undated_retries_gauge(&self) -> Gauge {
        let undated = self.state.borrow().late_arrivals.len();
        Gauge { name: "paddlemount_forward_undated_retries", value: undated as f64 }
    }

    /// Draws on the budget of misdirected retries. Returns the time of the draw, which a refund needs.
    pub fn draw_misdirected_retry(&self) -> Option<Timestamp> {
        let settings = self.settings();
        let now = self.now();
        let granted = self.state.borrow_mut().misdirected_budget(&settings, now).try_retry(now);
        granted.then_some(now)
    }

    /// Settles the misdirected budget after a retry: `drawn_at` is the time of its draw, if there was one.
    pub fn settle_misdirected_retry(&self, drawn_at: Option<Timestamp>, end: Option<AttemptEnd>) {
        let settings = self.settings();
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let misdirected_budget = state.misdirected_budget(&settings, now);
        match (drawn_at, end == Some(AttemptEnd::Misdirected)) {
            (None, true) => misdirected_budget.record_retry(now),
            (Some(at), false) => misdirected_budget.refund(at),
            (Some(_), true) | (None, false) => {}
        }
    }
}
