//! An exponentially fading rate of events.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Units a second over about the last `fades`: what was added falls to a third in that time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentRate {
    fades: Duration,
    sum: f64,
    at: Timestamp,
}

impl RecentRate {
    /// Nothing was added yet.
    pub const fn new(fades: Duration) -> Self {
        Self { fades, sum: 0.0, at: Timestamp::ZERO }
    }

    /// Adds `units` at `now`.
    pub fn add(&mut self, units: f64, now: Timestamp) {
        self.sum = self.faded(now) + units;
        self.at = now;
    }

    /// Units a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        self.faded(now) / self.fades.as_secs_f64()
    }

    fn faded(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.at).as_secs_f64();
        self.sum * (-elapsed / self.fades.as_secs_f64()).exp()
    }
}
