//! State machine of the weight store, in which concurrent loads share the bandwidth.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{EngineId, ModelId, WeightsVersion},
    platform::WeightLoad,
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

/// Remaining milliseconds below which a load counts as finished, to absorb rounding errors.
const ROUNDING_TOLERANCE_MS: f64 = 1e-6;

/// Duration of loads and the point from which they slow each other down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStoreSpeed {
    /// Milliseconds that a load takes at full speed.
    pub load_ms: u64,
    /// Loads that can run concurrently at full speed; beyond them each slows by the square of the excess.
    pub full_speed_loads: u32,
}

impl Default for WeightStoreSpeed {
    fn default() -> Self {
        Self { load_ms: 2_000, full_speed_loads: 2 }
    }
}

/// Identifies a load in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct LoadId(u64);

#[derive(Clone, Debug, Serialize)]
struct Load {
    engine: EngineId,
    model: ModelId,
    weights: WeightsVersion,
    /// Remaining milliseconds at full speed.
    remaining_ms: f64,
}

/// The loads in progress.
#[derive(Clone, Debug, Serialize)]
pub struct WeightStoreModel {
    speed: WeightStoreSpeed,
    loads: BTreeMap<LoadId, Load>,
    started: u64,
    finished: u64,
    #[serde(rename = "most_at_once")]
    peak_loads: usize,
    advanced_to: Timestamp,
}

impl WeightStoreModel {
    /// Creates a store without loads.
    pub const fn new(speed: WeightStoreSpeed) -> Self {
        Self {
            speed,
            loads: BTreeMap::new(),
            started: 0,
            finished: 0,
            peak_loads: 0,
            advanced_to: Timestamp::ZERO,
        }
    }

    /// Starts a load.
    pub fn begin(&mut self, load: &WeightLoad, now: Timestamp) -> LoadId {
        self.advance(now);
        self.started += 1;
        let id = LoadId(self.started);
        let load = Load {
            engine: load.engine.clone(),
            model: load.model.clone(),
            weights: load.weights,
            remaining_ms: self.speed.load_ms as f64,
        };
        self.loads.insert(id, load);
        self.peak_loads = self.peak_loads.max(self.loads.len());
        id
    }

    /// Returns whether a load is complete at `now`.
    pub fn is_done(&mut self, id: LoadId, now: Timestamp) -> bool {
        self.advance(now);
        !self.loads.contains_key(&id)
    }

    /// Abandons a load.
    pub fn abandon(&mut self, id: LoadId, now: Timestamp) {
        self.advance(now);
        self.loads.remove(&id);
    }

    /// The time at which the next load completes unless another one starts first.
    pub fn next_done_at(&self) -> Option<Timestamp> {
        let rate = self.rate();
        let shortest_ms = self.loads.values().map(|load| load.remaining_ms).min_by(f64::total_cmp)?;
        let microseconds = (shortest_ms / rate * 1e3).ceil() as u64;
        Some(self.advanced_to + Duration::from_micros(microseconds.max(1)))
    }

    /// Progress of each load per millisecond, relative to full speed.
    fn rate(&self) -> f64 {
        let excess = self.loads.len() as f64 / f64::from(self.speed.full_speed_loads.max(1));
        if excess <= 1.0 { 1.0 } else { 1.0 / (excess * excess) }
    }

    fn advance(&mut self, now: Timestamp) {
        while let Some(at) = self.next_done_at().filter(|at| *at <= now) {
            self.progress(at);
        }
        self.progress(now);
    }

    fn progress(&mut self, now: Timestamp) {
        let elapsed_ms = now.saturating_since(self.advanced_to).as_secs_f64() * 1e3;
        let done_ms = elapsed_ms * self.rate();
        for load in self.loads.values_mut() {
            load.remaining_ms -= done_ms;
        }
        let before = self.loads.len();
        self.loads.retain(|_, load| load.remaining_ms > ROUNDING_TOLERANCE_MS);
        self.finished += (before - self.loads.len()) as u64;
        self.advanced_to = self.advanced_to.max(now);
    }
}
