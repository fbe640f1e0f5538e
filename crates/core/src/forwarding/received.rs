//! Sums as received from a parent or a child, which expire unless they are received again.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// The latest sums of a neighbour.
#[derive(Clone, Debug)]
pub(super) struct Received<T> {
    sums: Vec<T>,
    expires_at: Timestamp,
}

impl<T> Received<T> {
    /// Sums that are used until `time_to_live` has passed.
    pub(super) fn new(sums: Vec<T>, time_to_live: Duration, now: Timestamp) -> Self {
        Self { sums, expires_at: now + time_to_live }
    }

    /// The sums; `None` once they have expired.
    pub(super) fn fresh(&self, now: Timestamp) -> Option<&[T]> {
        (now < self.expires_at).then_some(&self.sums)
    }
}
