//! Whether imports from stores or from engines have lately let answers begin sooner.
//!
//! Stores keep parts for longer and are surely told of, but all engines of a deployment share the links of a few stores.
//! When these are full, answers that wait for a store begin later than those that wait for another engine. Which it is
//! depends on the deployment and the moment, so each node compares what it has seen.

use std::time::Duration;

use super::SourceKind;

/// The weight of a new measurement in a moving average: a node of many imports a few prefixes a second.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Measurements of each kind below which nothing is concluded.
const MIN_MEASUREMENTS: u32 = 4;
/// How much later answers from stores must begin for engines to be asked instead.
const SLOWER_FACTOR: f64 = 1.4;
/// The same as a time, below which the difference does not matter.
const SLOWER_MARGIN_MS: f64 = 60.0;
/// One request in so many asks the other kind of source, so that it goes on being measured.
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

/// Times to the first event of answers whose prefix came from elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceTimes {
    stores: Average,
    engines: Average,
}

impl SourceTimes {
    /// An answer whose prefix was to come from such a source began after `time`.
    pub fn record(&mut self, source: SourceKind, time: Duration) {
        let average = match source {
            SourceKind::Store => &mut self.stores,
            SourceKind::Engine => &mut self.engines,
        };
        average.add(time.as_secs_f64() * 1_000.0);
    }

    /// Whether a request with this `draw` asks a store rather than an engine that keeps as much.
    pub fn prefers_store(&self, seed: u64) -> bool {
        let explores = seed.is_multiple_of(EXPLORATION_INTERVAL);
        explores != self.stores_are_faster()
    }

    /// Nothing known is taken for stores.
    fn stores_are_faster(&self) -> bool {
        match (self.stores.known(), self.engines.known()) {
            (Some(stores), Some(engines)) => {
                stores <= (engines * SLOWER_FACTOR).max(engines + SLOWER_MARGIN_MS)
            }
            _ => true,
        }
    }
}
