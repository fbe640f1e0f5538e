//! How long a service has refused everything that a node has sent it.
//!
//! Where several back ends in a row have refused, the next one will: a request that goes on to all of them costs the callers
//! time and the back ends an arrival each. So such a request is refused after its first try, and its caller is told to come
//! back after about as long as the refusals have lasted.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Refusals in a row that show that the others refuse as well: as many as one request may meet.
const SHOWN_BY: u32 = 4;
/// How long a refusal tells of the present.
const LATELY: Duration = Duration::from_millis(500);
/// When a caller may come back at the earliest.
const SOONEST: Duration = Duration::from_millis(150);
/// When it may come back at the latest: callers that may wait for long are served within their time all the same.
const LATEST: Duration = Duration::from_secs(2);

/// Refusals of one service, with nothing that it took between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    in_a_row: u32,
    first: Timestamp,
    last: Timestamp,
}

impl Refusals {
    /// A back end has refused a request.
    pub fn record_refusal(&mut self, now: Timestamp) {
        if self.in_a_row == 0 || now.saturating_since(self.last) >= LATELY {
            *self = Self { in_a_row: 0, first: now, last: now };
        }
        self.in_a_row = self.in_a_row.saturating_add(1);
        self.last = now;
    }

    /// A back end has taken a request.
    pub fn record_acceptance(&mut self) {
        *self = Self::default();
    }

    /// Whether a request that was refused once had better not be sent on.
    pub fn all_refuse(&self, now: Timestamp) -> bool {
        self.in_a_row >= SHOWN_BY && now.saturating_since(self.last) < LATELY
    }

    /// When a caller that was refused may come back.
    pub fn retry_after(&self, now: Timestamp) -> Duration {
        now.saturating_since(self.first).clamp(SOONEST, LATEST)
    }
}
