//! What a node sends beside the first try of each request.
//!
//! A repeat draws on the budget of the service that was asked for. Where the address belongs to another process by now, it
//! arrives at another service, whose own allowance may be the slack alone: such repeats draw on a budget of the whole node as
//! well, which earns nothing and has the node's part of the slack.

use paddlemount_core::forwarding::attempt::AttemptEnd;
use paddlemount_protocol::{identity::ServiceId, time::Timestamp};

use crate::node::Node;

impl Node {
    /// Draws on the retry budget of a service.
    pub fn draw_retry(&self, service: &ServiceId) -> bool {
        let settings = self.settings();
        let nodes = self.nodes();
        let mut state = self.state.borrow_mut();
        state.budget(service, &settings, nodes).try_retry(self.now())
    }

    /// Retries that the budget of a service would still grant.
    pub fn retries_left(&self, service: &ServiceId) -> u64 {
        let settings = self.settings();
        let nodes = self.nodes();
        // Also before any request of the service has arrived: the first one that meets a silent back end may leave it.
        self.state.borrow_mut().budget(service, &settings, nodes).remaining(self.now())
    }

    /// A request for a service is being sent for the first time.
    pub fn record_first_attempt(&self, service: &ServiceId) {
        let settings = self.settings();
        let nodes = self.nodes();
        self.state.borrow_mut().budget(service, &settings, nodes).record_request(self.now());
    }

    /// A try of a request for a service has ended so; `end` is none where its answer has begun.
    pub fn record_attempt_end(&self, service: &ServiceId, end: Option<AttemptEnd>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let refusals = state.refusals.entry(service.clone()).or_default();
        match end {
            Some(AttemptEnd::NotRun) => refusals.record_refusal(now),
            None | Some(AttemptEnd::FailedAnswer) => refusals.record_acceptance(),
            Some(
                AttemptEnd::NotSent | AttemptEnd::Misdirected | AttemptEnd::Unclear | AttemptEnd::Copied,
            ) => {}
        }
    }

    /// Whether all back ends of a service lately refuse.
    pub fn is_refused_by_all(&self, service: &ServiceId) -> bool {
        let state = self.state.borrow();
        state.refusals.get(service).is_some_and(|refusals| refusals.all_refuse(self.now()))
    }

    /// Draws on the repeats that may reach a wrong address; when that was, for giving it back.
    pub fn draw_misdirected_retry(&self) -> Option<Timestamp> {
        let settings = self.settings();
        let nodes = self.nodes();
        let now = self.now();
        let granted = self.state.borrow_mut().misdirected_budget(&settings, nodes).try_retry(now);
        granted.then_some(now)
    }

    /// A repeat has ended, for which a misdirected_retry had been drawn or not.
    pub fn settle_misdirected_retry(&self, drawn_at: Option<Timestamp>, end: Option<AttemptEnd>) {
        let settings = self.settings();
        let nodes = self.nodes();
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let misdirected_budget = state.misdirected_budget(&settings, nodes);
        match (drawn_at, end == Some(AttemptEnd::Misdirected)) {
            (None, true) => misdirected_budget.record_retry(now),
            (Some(at), false) => misdirected_budget.refund(at),
            (Some(_), true) | (None, false) => {}
        }
    }
}
