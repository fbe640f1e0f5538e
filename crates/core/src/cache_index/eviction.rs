//! Estimate of the age at which an engine evicts unused blocks.

/// Initial estimate.
const INITIAL_AGE_SECONDS: f64 = 20.0;
/// Weights of a new sample in the moving average.
const EVICTED_WEIGHT: f64 = 0.1;
const SURVIVED_WEIGHT: f64 = 0.1;
/// How steeply the survival probability falls around the estimate.
const SURVIVAL_STEEPNESS: i32 = 6;
const MIN_AGE_SECONDS: f64 = 0.05;
const MAX_AGE_SECONDS: f64 = 3_600.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The age at which an engine evicts unused blocks, estimated from answers and feeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionAge {
    seconds: f64,
    samples: u32,
}

impl Default for EvictionAge {
    fn default() -> Self {
        Self { seconds: INITIAL_AGE_SECONDS, samples: 0 }
    }
}

impl EvictionAge {
    /// Returns the estimate in seconds.
    pub const fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Records that a block was evicted when it had been unused for exactly `age_micros`.
    pub fn evicted_at(&mut self, age_micros: u64) {
        let seconds = age_micros as f64 / MICROS_PER_SECOND;
        self.move_towards(seconds, self.evicted_weight());
    }

    /// Records that a block unused for `age_micros` had been evicted at some earlier time.
    pub fn found_evicted(&mut self, age_micros: u64) {
        let seconds = age_micros as f64 / MICROS_PER_SECOND;
        if seconds < self.seconds {
            self.move_towards(seconds, self.evicted_weight());
        }
    }

    /// The first samples replace the initial estimate; later ones are averaged.
    fn evicted_weight(&self) -> f64 {
        EVICTED_WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(1)))
    }

    /// Records that a block unused for `age_micros` was still cached.
    pub fn survived(&mut self, age_micros: u64) {
        let seconds = age_micros as f64 / MICROS_PER_SECOND;
        if seconds > self.seconds {
            self.move_towards(seconds, SURVIVED_WEIGHT);
        }
    }

    fn move_towards(&mut self, seconds: f64, weight: f64) {
        let moved = self.seconds + weight * (seconds - self.seconds);
        self.seconds = moved.clamp(MIN_AGE_SECONDS, MAX_AGE_SECONDS);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the probability that a block unused for `age_micros` is still cached.
    pub fn survival(&self, age_micros: u64) -> f64 {
        let relative = age_micros as f64 / MICROS_PER_SECOND / self.seconds;
        1.0 / (1.0 + relative.powi(SURVIVAL_STEEPNESS))
    }
}
