//! Times in which nodes did not see the rest of the place as it was.

use std::time::{Duration, Instant};

/// How long after a disturbance what it concerned is out of touch.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// What was disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The store.
    Store,
    /// A link between processes.
    Link,
    /// The process of one node: it stood still, ended or started.
    Node(usize),
}

/// A time in which something was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// What.
    pub cause: Cause,
    /// From when.
    pub from: Instant,
    /// Until when.
    pub to: Instant,
}

impl Disturbance {
    /// Whether it disturbs any node at `at`, or did so shortly before: a node that others do not reach may be the one that
    /// concludes for them.
    pub fn affects_any(&self, at: Instant) -> bool {
        self.from < at && at < self.to + SETTLE_TIME
    }

    /// Whether it disturbs this node's process at `at`, or did so shortly before.
    pub fn affects_node(&self, node: usize, at: Instant) -> bool {
        self.cause == Cause::Node(node) && self.affects_any(at)
    }

    /// Whether, between two moments, it ended, started or stopped this node's process, or touched any link.
    pub fn disconnects_node(&self, node: usize, from: Instant, to: Instant) -> bool {
        let disconnects = matches!(self.cause, Cause::Link) || self.cause == Cause::Node(node);
        disconnects && self.from < to && self.to > from
    }

    /// Since when, looked at from `at`, it has left store and links alone; nothing where it is later or never disturbed them.
    pub fn place_undisturbed_since(&self, at: Instant) -> Option<Instant> {
        let disturbs_place = matches!(self.cause, Cause::Store | Cause::Link);
        (disturbs_place && self.from < at).then(|| at.min(self.to + SETTLE_TIME))
    }
}
