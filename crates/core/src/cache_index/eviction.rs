//! An estimate of how long an engine keeps blocks that are not used.

/// The age in seconds that is assumed before anything was learned.
const INITIAL_AGE_SECONDS: f64 = 20.0;
/// Share of a new sample in the estimate.
const EVICTED_WEIGHT: f64 = 0.1;
const SURVIVED_WEIGHT: f64 = 0.1;
/// How steeply survival falls around the estimate.
const SURVIVAL_STEEPNESS: i32 = 6;
const MIN_AGE_SECONDS: f64 = 0.05;
const MAX_AGE_SECONDS: f64 = 3_600.0;
const MICROS: f64 = 1e6;

/// The age at which one engine evicts blocks that are not used, learnt from answers and feeds.
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
    /// The estimate in seconds.
    pub const fn seconds(&self) -> f64 {
        self.seconds
    }

    /// A block was evicted exactly when it had not been used for `age_micros`.
    pub fn evicted_at(&mut self, age_micros: u64) {
        let seconds = age_micros as f64 / MICROS;
        self.move_towards(seconds, self.evicted_weight());
    }

    /// A block was found to be gone when it had not been used for `age_micros`.
    pub fn found_evicted(&mut self, age_micros: u64) {
        let seconds = age_micros as f64 / MICROS;
        if seconds < self.seconds {
            self.move_towards(seconds, self.evicted_weight());
        }
    }

    /// The first samples replace what was assumed; later ones are averaged.
    fn evicted_weight(&self) -> f64 {
        EVICTED_WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(1)))
    }

    /// A block was still there when it had not been used for `age_micros`.
    pub fn survived(&mut self, age_micros: u64) {
        let seconds = age_micros as f64 / MICROS;
        if seconds > self.seconds {
            self.move_towards(seconds, SURVIVED_WEIGHT);
        }
    }

    fn move_towards(&mut self, seconds: f64, weight: f64) {
        let moved = self.seconds + weight * (seconds - self.seconds);
        self.seconds = moved.clamp(MIN_AGE_SECONDS, MAX_AGE_SECONDS);
        self.samples = self.samples.saturating_add(1);
    }

    /// The probability that a block is still there after `age_micros` without use.
    pub fn survival(&self, age_micros: u64) -> f64 {
        let relative = age_micros as f64 / MICROS / self.seconds;
        1.0 / (1.0 + relative.powi(SURVIVAL_STEEPNESS))
    }
}
