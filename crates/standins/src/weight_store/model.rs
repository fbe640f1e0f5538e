//! The weight store as a state machine: loads share its bandwidth.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{EngineId, ModelId, WeightsVersion},
    platform::WeightLoad,
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

/// Less than this is a rounding error of the sums, in milliseconds.
const NEGLIGIBLE_MS: f64 = 1e-6;

/// How fast loads are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStoreSpeed {
    /// Milliseconds of a load while few others run.
    pub load_ms: u64,
    /// Loads that run at full speed together; beyond them each slows by the square of the excess.
    pub full_speed_loads: u32,
}

impl Default for WeightStoreSpeed {
    fn default() -> Self {
        Self { load_ms: 2_000, full_speed_loads: 2 }
    }
}

/// Identifies a load that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct LoadId(u64);

#[derive(Clone, Debug, Serialize)]
struct Load {
    engine: EngineId,
    model: ModelId,
    weights: WeightsVersion,
    /// Milliseconds at full speed that are left.
    remaining_ms: f64,
}

/// Loads under way.
#[derive(Clone, Debug, Serialize)]
pub struct WeightStoreModel {
    speed: WeightStoreSpeed,
    loads: BTreeMap<LoadId, Load>,
    started: u64,
    finished: u64,
    most_at_once: usize,
    advanced_to: Timestamp,
}

impl WeightStoreModel {
    /// A store without loads.
    pub const fn new(speed: WeightStoreSpeed) -> Self {
        Self {
            speed,
            loads: BTreeMap::new(),
            started: 0,
            finished: 0,
            most_at_once: 0,
            advanced_to: Timestamp::ZERO,
        }
    }

    /// Begins a load.
    pub fn begin(&mut self, load: &WeightLoad, now: Timestamp) -> LoadId {
        self.advance(now);
        self.started += 1;
        let number = LoadId(self.started);
        let load = Load {
            engine: load.engine.clone(),
            model: load.model.clone(),
            weights: load.weights,
            remaining_ms: self.speed.load_ms as f64,
        };
        self.loads.insert(number, load);
        self.most_at_once = self.most_at_once.max(self.loads.len());
        number
    }

    /// Whether a load has ended by `now`.
    pub fn is_done(&mut self, number: LoadId, now: Timestamp) -> bool {
        self.advance(now);
        !self.loads.contains_key(&number)
    }

    /// Gives a load up.
    pub fn abandon(&mut self, number: LoadId, now: Timestamp) {
        self.advance(now);
        self.loads.remove(&number);
    }

    /// When the next load ends if none begins before.
    pub fn next_done_at(&self) -> Option<Timestamp> {
        let rate = self.rate();
        let least = self.loads.values().map(|load| load.remaining_ms).min_by(f64::total_cmp)?;
        let microseconds = (least / rate * 1e3).ceil() as u64;
        Some(self.advanced_to + Duration::from_micros(microseconds.max(1)))
    }

    /// Milliseconds of full-speed load that each load gets done in a millisecond.
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
        let passed_ms = now.saturating_since(self.advanced_to).as_secs_f64() * 1e3;
        let done_ms = passed_ms * self.rate();
        for load in self.loads.values_mut() {
            load.remaining_ms -= done_ms;
        }
        let before = self.loads.len();
        self.loads.retain(|_, load| load.remaining_ms > NEGLIGIBLE_MS);
        self.finished += (before - self.loads.len()) as u64;
        self.advanced_to = self.advanced_to.max(now);
    }
}
