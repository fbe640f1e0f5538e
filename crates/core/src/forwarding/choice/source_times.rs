//! Compares how soon answers begin after imports from cache stores and from engines.
//!
//! Stores hold segments longer and their feeds are more reliable, but all engines of a deployment share the
//! links of a few stores. When these links are saturated, engines are the faster sources, so each node
//! compares its own measurements.

use std::time::Duration;

use super::SourceKind;

/// The weight of a new measurement in a moving average. A node with many imports measures a few a second.
const AVERAGE_WEIGHT: f64 = 0.15;
/// The number of measurements of each kind below which no conclusion is drawn.
const MIN_MEASUREMENTS: u32 = 4;
/// The factor by which answers from stores must begin later for engines to be preferred.
const SLOWER_FACTOR: f64 = 1.4;
/// The same as a difference, below which the factor does not matter.
const SLOWER_MARGIN_MS: f64 = 60.0;
/// One request in this many uses the other kind of source, so that both keep being measured.
const EXPLORATION_INTERVAL: u64 = 6;

/// A moving average of times to the first event.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    milliseconds: f64,
    measurements: u32,
}

impl Average {
    fn add(&mut self, milliseconds: f64) {
        let weight = if self.measurements == 0 { 1.0 } else { AVERAGE_WEIGHT };
        self.milliseconds += (milliseconds - self.milliseconds) * weight;
        self.measurements = self.measurements.saturating_add(1);
    }

    fn known(&self) -> Option<f64> {
        (self.measurements >= MIN_MEASUREMENTS).then_some(self.milliseconds)
    }
}

/// Times to the first event of answers with an imported prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceTimes {
    stores: Average,
    engines: Average,
}

impl SourceTimes {
    /// Records that an answer whose prefix came from this kind of source began after `time`.
    pub fn record(&mut self, source: SourceKind, time: Duration) {
        let average = match source {
            SourceKind::Store => &mut self.stores,
            SourceKind::Engine => &mut self.engines,
        };
        average.add(time.as_secs_f64() * 1_000.0);
    }

    /// Whether a request with this `seed` prefers a store over an engine that has as much of the prefix
    /// cached.
    pub fn prefers_store(&self, seed: u64) -> bool {
        let explores = seed.is_multiple_of(EXPLORATION_INTERVAL);
        explores != self.stores_are_faster()
    }

    /// Without enough measurements, stores are preferred.
    fn stores_are_faster(&self) -> bool {
        match (self.stores.known(), self.engines.known()) {
            (Some(stores), Some(engines)) => {
                stores <= (engines * SLOWER_FACTOR).max(engines + SLOWER_MARGIN_MS)
            }
            _ => true,
        }
    }
}
