//! How recent the knowledge of the configuration is.
//!
//! An answer of the store proves the state of the moment at which the call was *sent*, since the store may have
//! read its state at any time after that. All times are of the machine's steady clock.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Proof of freshness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    proved_at: Option<Timestamp>,
}

impl Freshness {
    /// A call that was sent at `sent_at` was answered, and all that it told has been taken in.
    pub fn prove(&mut self, sent_at: Timestamp) {
        self.proved_at = Some(self.proved_at.map_or(sent_at, |earlier| earlier.max(sent_at)));
    }

    /// The age of the knowledge; none where there is no knowledge yet.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_since(at))
    }

    /// Whether the knowledge is younger than `bound`.
    pub fn is_within(&self, bound: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
