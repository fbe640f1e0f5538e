//! How long connections to back ends take, and when one is given up.

use std::time::Duration;

/// The maximum time of a connection, which also holds without measurements.
const MAX_TIMEOUT: Duration = Duration::from_millis(300);
/// The minimum: a back end whose processor time is limited may not run for a scheduler period of 100 ms.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);
/// The time-out in multiples of the slowest recent connection.
const SLOWEST_FACTOR: u32 = 4;
/// The number of connections before the measurements are used.
const MIN_MEASUREMENTS: u32 = 8;
/// The factor by which the slowest time decays with each further connection.
const DECAY: f64 = 0.98;

/// The times of recent connections of one node. All back ends share them, since the path is what is measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimes {
    slowest: Duration,
    measurements: u32,
}

impl ConnectTimes {
    /// Records a connection that was established.
    pub fn record(&mut self, time: Duration) {
        self.slowest = time.max(self.slowest.mul_f64(DECAY));
        self.measurements = self.measurements.saturating_add(1);
    }

    /// When a connection is given up.
    pub fn timeout(&self) -> Duration {
        if self.measurements < MIN_MEASUREMENTS {
            return MAX_TIMEOUT;
        }
        (self.slowest * SLOWEST_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
