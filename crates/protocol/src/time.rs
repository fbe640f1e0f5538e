//! Points in time as plain numbers, so that real and simulated clocks share one type.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Microseconds since the Unix epoch, or since the start of a simulation.
///
/// Comparing timestamps of two machines is only as accurate as their clocks; the safety of the protocols
/// never depends on such a comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The earliest representable point in time.
    pub const ZERO: Self = Self(0);

    /// A timestamp `milliseconds` after the epoch.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds * 1_000)
    }

    /// Milliseconds since the epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(microseconds))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(microseconds))
    }
}
