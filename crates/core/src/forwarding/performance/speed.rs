//! The speed of an engine, as a decaying mean of measured times relative to forecast ones.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// The time constant by which measurements lose weight. Engines of a fleet meet several requests a second, so
/// that bursts of noise of under a second average out, while a lasting change shows within half a minute.
const DECAY: Duration = Duration::from_secs(20);
/// Bounds of one measured ratio, so that a single stall does not decide a mean.
const RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);
/// The weight of the assumption of a typical speed, in measurements: few measurements hardly show.
const PRIOR_WEIGHT: f64 = 2.0;
/// The weight below which measurements are forgotten.
pub(super) const MIN_WEIGHT: f64 = 0.05;

/// Measurements of one engine, added up. All lose weight at the same rate, so that sums stay sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Speed {
    /// The number of measurements, weighted by their age at `at`.
    weight: f64,
    /// The weighted sum of the logarithms of measured ratios.
    log_sum: f64,
    at: Timestamp,
}

impl Speed {
    /// The sum of `weight` measurements with this mean ratio.
    pub(super) fn of(weight: f64, ratio: f64, at: Timestamp) -> Self {
        let (min, max) = RATIO_BOUNDS;
        Self { weight, log_sum: weight * ratio.clamp(min, max).ln(), at }
    }

    /// The same at `now`.
    pub(super) fn decayed(self, now: Timestamp) -> Self {
        let elapsed = now.saturating_since(self.at).as_secs_f64();
        let remaining = (-elapsed / DECAY.as_secs_f64()).exp();
        Self { weight: self.weight * remaining, log_sum: self.log_sum * remaining, at: self.at.max(now) }
    }

    /// Adds other measurements.
    pub(super) fn add(&mut self, other: Self, now: Timestamp) {
        let (own, other) = (self.decayed(now), other.decayed(now));
        let (weight, log_sum) = (own.weight + other.weight, own.log_sum + other.log_sum);
        *self = Self { weight, log_sum, at: own.at };
    }

    /// The number of measurements at `now`, weighted by their age.
    pub(super) fn samples(self, now: Timestamp) -> f64 {
        self.decayed(now).weight
    }

    /// The geometric mean of the measured ratios; 1 without measurements.
    pub(super) fn mean_ratio(self) -> f64 {
        if self.weight < MIN_WEIGHT { 1.0 } else { (self.log_sum / self.weight).exp() }
    }

    /// The expected ratio at `now`, close to 1 while there are few measurements.
    pub(super) fn slowness(self, now: Timestamp) -> f64 {
        let decayed = self.decayed(now);
        (decayed.log_sum / (decayed.weight + PRIOR_WEIGHT)).exp()
    }

    /// How much a reader who knows `known` would learn from this: the change of the expected logarithm, and
    /// a fraction of that of the number of measurements.
    pub(super) fn difference(self, known: Self, now: Timestamp) -> f64 {
        let expectation = (self.slowness(now) / known.slowness(now)).ln().abs();
        let samples = (self.samples(now) + PRIOR_WEIGHT) / (known.samples(now) + PRIOR_WEIGHT);
        expectation + samples.ln().abs() / 4.0
    }
}
