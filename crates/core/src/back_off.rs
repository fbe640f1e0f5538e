//! Back-off times requested by back ends, and retry times for the callers refused meanwhile.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Maximum back-off time of a back end; after a longer requested one it is asked again at this time.
pub const MAX_BACK_OFF: Duration = Duration::from_secs(300);
/// Maximum jitter added to a retry time, relative to that time, so that callers do not return all at once.
const MAX_JITTER: f64 = 0.25;

/// Adds jitter to a retry time. `draw` is uniformly distributed from 0 to 1.
pub fn with_jitter(min: Duration, draw: f64) -> Duration {
    min.mul_f64(1.0 + MAX_JITTER * draw)
}

/// Maximum retry time given to a caller, whose deadline would mostly be over after a longer one.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Spreads the retry times of callers that were refused because all back ends of a service are rate limited.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfterSchedule {
    last: Timestamp,
}

impl RetryAfterSchedule {
    /// Returns the retry time of the next caller, if requests can be sent from `opens_at` at a rate of
    /// `per_second`.
    pub fn next(&mut self, opens_at: Timestamp, per_second: f64, now: Timestamp) -> Duration {
        let latest = now + MAX_RETRY_AFTER;
        let interval = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(MAX_RETRY_AFTER);
        self.last = (self.last + interval).max(opens_at).min(latest);
        self.last.saturating_since(now)
    }
}
