//! What a node that was told to stop still begins.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Until when callers are taken.
    pub takes_until: Timestamp,
    /// When the process ends at the latest.
    pub ends_at: Timestamp,
}

impl PlannedStop {
    /// A stop that was told at `told_at`, takes callers for `leaving` and ends after `grace`.
    pub fn new(told_at: Timestamp, leaving: Duration, grace: Duration) -> Self {
        Self { takes_until: told_at + leaving.min(grace), ends_at: told_at + grace }
    }

    /// Whether a request may begin whose caller waits for `waits`: callers are still taken, and the longest recent answer
    /// of its route would end in time, or its caller leaves before that. A route without a recent answer may begin.
    pub fn may_begin(&self, longest: Option<Duration>, waits: Duration, now: Timestamp) -> bool {
        let left = self.ends_at.saturating_since(now);
        // What comes later comes on connections whose callers had no answer since the signal. It can be told to go
        // elsewhere at once, while nobody knows for certain how long it would take.
        now < self.takes_until && longest.is_none_or(|longest| longest.min(waits) <= left)
    }
}
