//! How recent the known configuration is.
//!
//! An answer of the store confirms the state at the time when the call was *sent*, since the store may have
//! read its state at any time after that. All times are monotonic.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// The latest time at which the known configuration was confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    proved_at: Option<Timestamp>,
}

impl Freshness {
    /// Records that a call sent at `sent_at` was answered, and that its complete answer has been applied.
    pub fn prove(&mut self, sent_at: Timestamp) {
        self.proved_at = Some(self.proved_at.map_or(sent_at, |earlier| earlier.max(sent_at)));
    }

    /// The age of the configuration; none before the first confirmation.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_since(at))
    }

    /// Whether the configuration is younger than `bound`.
    pub fn is_within(&self, bound: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
