//! Periods in which nodes had an outdated view of the cluster.

use std::time::{Duration, Instant};

/// How long the effects of a disturbance last after its end.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// The disturbed component.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Store,
    Link,
    /// The process of a node, which was frozen, stopped or started.
    Node(usize),
}

#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub cause: Cause,
    pub from: Instant,
    pub to: Instant,
}

impl Disturbance {
    /// Returns whether the disturbance affects any node at `at`. An unreachable node may be the one that
    /// decides for others.
    pub fn affects_any(&self, at: Instant) -> bool {
        self.from < at && at < self.to + SETTLE_TIME
    }

    /// Returns whether the disturbance affects this node's process at `at`.
    pub fn affects_node(&self, node: usize, at: Instant) -> bool {
        self.cause == Cause::Node(node) && self.affects_any(at)
    }

    /// Returns whether the disturbance overlaps an interval and concerns this node's process or any link.
    pub fn disconnects_node(&self, node: usize, from: Instant, to: Instant) -> bool {
        let disconnects = matches!(self.cause, Cause::Link) || self.cause == Cause::Node(node);
        disconnects && self.from < to && self.to > from
    }

    /// The time since which store and links are undisturbed at `at`; `None` if this disturbance does not
    /// concern them by then.
    pub fn store_and_links_undisturbed_since(&self, at: Instant) -> Option<Instant> {
        let disturbs_store_or_links = matches!(self.cause, Cause::Store | Cause::Link);
        (disturbs_store_or_links && self.from < at).then(|| at.min(self.to + SETTLE_TIME))
    }
}
