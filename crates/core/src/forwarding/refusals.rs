//! Detects a service whose back ends refuse every request of this node.
//!
//! Once several back ends in a row have refused, the next one will most likely refuse too, so a request is no
//! longer retried after a refusal. Its caller is asked to retry after about as long as the refusals have
//! lasted.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Refusals in a row after which the whole service counts as refusing: as many as one request may meet.
const MIN_REFUSALS: u32 = 4;
/// How long a refusal is significant.
const REFUSAL_TTL: Duration = Duration::from_millis(500);
/// Minimum time after which a caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Maximum time after which a caller may retry, so that callers with long deadlines are still served.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The refusals of one service since it last accepted a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    in_a_row: u32,
    first: Timestamp,
    last: Timestamp,
}

impl Refusals {
    /// Records that a back end has refused a request.
    pub fn record_refusal(&mut self, now: Timestamp) {
        if self.in_a_row == 0 || now.saturating_since(self.last) >= REFUSAL_TTL {
            *self = Self { in_a_row: 0, first: now, last: now };
        }
        self.in_a_row = self.in_a_row.saturating_add(1);
        self.last = now;
    }

    /// Records that a back end has accepted a request.
    pub fn record_acceptance(&mut self) {
        *self = Self::default();
    }

    /// Whether a refused request should not be retried.
    pub fn all_refuse(&self, now: Timestamp) -> bool {
        self.in_a_row >= MIN_REFUSALS && now.saturating_since(self.last) < REFUSAL_TTL
    }

    /// The time after which a refused caller may retry.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        now.saturating_since(self.first).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
