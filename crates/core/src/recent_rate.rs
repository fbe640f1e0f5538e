//! An exponentially decaying rate of events.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// A rate over about the last `time_constant`, in which past units decay to 1/e.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentRate {
    time_constant: Duration,
    sum: f64,
    at: Timestamp,
}

impl RecentRate {
    /// Creates a rate of zero.
    pub const fn new(time_constant: Duration) -> Self {
        Self { time_constant, sum: 0.0, at: Timestamp::ZERO }
    }

    /// Adds `units` at `now`.
    pub fn add(&mut self, units: f64, now: Timestamp) {
        self.sum = self.decayed(now) + units;
        self.at = now;
    }

    /// Returns the units per second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.decayed(now) / self.time_constant.as_secs_f64()
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.at).as_secs_f64();
        self.sum * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}
