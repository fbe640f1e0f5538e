//! Times without requests that back ends ask for, and when callers come back after them.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// The longest time without requests that a back end is granted: one that asks for more is asked again after this.
pub const MAX_BACK_OFF: Duration = Duration::from_secs(300);
/// How much later than the end of a rest callers may be told to come back, as a part of the time until then: they would else
/// all come at one moment.
const SPREAD: f64 = 0.25;

/// When one of many callers that may come back after `least` is told to; `draw` is drawn evenly from 0 to 1 for it.
pub fn with_jitter(least: Duration, draw: f64) -> Duration {
    least.mul_f64(1.0 + SPREAD * draw)
}

/// The latest moment at which a refused caller may come back: later ones would find its time nearly over.
const LATEST_RETURN: Duration = Duration::from_secs(5);

/// Spaces the returns of callers out that were refused since all back ends of a service are limited.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAfterSchedule {
    last: Timestamp,
}

impl RetryAfterSchedule {
    /// When one more caller may come back, where requests can be sent from `opens_at` on, `per_second` of them in a second.
    pub fn next(&mut self, opens_at: Timestamp, per_second: f64, now: Timestamp) -> Duration {
        let latest = now + LATEST_RETURN;
        let interval = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(LATEST_RETURN);
        self.last = (self.last + interval).max(opens_at).min(latest);
        self.last.saturating_since(now)
    }
}
