//! The limit of a pool at one node: adapted to observed queueing, or given by the caller.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::concurrency::ConcurrencyLimit;

/// The maximum number of batch slots that one node's requests to a pool may hold.
#[derive(Clone, Debug)]
pub(super) enum PoolLimit {
    /// Adapted to how long requests queue at the engines.
    Adaptive(ConcurrencyLimit),
    /// Set from outside, as a share of a room that nodes divide among them.
    Given(u32),
}

impl PoolLimit {
    /// The limit in batch slots, at least 1.
    pub(super) fn slots(&self) -> u32 {
        match self {
            Self::Adaptive(limit) => limit.limit(),
            Self::Given(slots) => (*slots).max(1),
        }
    }

    /// Sets the pool's number of batch slots. A given limit already accounts for them.
    pub(super) fn set_pool_slots(&mut self, slots: u32) {
        if let Self::Adaptive(limit) = self {
            limit.set_slots(slots);
        }
    }

    /// Records that a request had to wait.
    pub(super) const fn mark_reached(&mut self) {
        if let Self::Adaptive(limit) = self {
            limit.mark_reached();
        }
    }

    /// Records that a request sent at `sent` queued at its engine for `queueing`.
    pub(super) fn observe(&mut self, sent: Timestamp, queueing: Duration, now: Timestamp) {
        if let Self::Adaptive(limit) = self {
            limit.observe(sent, queueing, now);
        }
    }

    /// The slots that must become free before a limit that was cut admits another request. An adaptive limit
    /// is cut by small steps, and the mean duration covers them.
    pub(super) fn excess(&self, in_flight: u32) -> u32 {
        match self {
            Self::Adaptive(_) => 0,
            Self::Given(_) => in_flight.saturating_sub(self.slots()),
        }
    }
}
