//! Baseline policies for comparison.

use paddlemount_core::routing::{RouteRequest, RouterEvent};
use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Choice, Policy,
    engine_table::{EngineState, EngineTable},
};

fn choice_for(engine_state: Option<&EngineState>, request: &RouteRequest<'_>) -> Choice {
    Choice { precondition: engine_state.map(|engine_state| engine_state.precondition(request)), import: None }
}

/// Round-robin over the engines. Each node starts at an engine derived from its seed.
pub struct RoundRobin {
    engines: EngineTable,
    turn: usize,
}

impl RoundRobin {
    /// Starts at a position derived from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { engines: EngineTable::default(), turn: (seed % 1_009) as usize }
    }
}

impl Policy for RoundRobin {
    fn observe(&mut self, event: RouterEvent<'_>, now: Timestamp) {
        self.engines.observe(&event, now);
    }

    fn choose(&mut self, request: &RouteRequest<'_>, _now: Timestamp) -> Choice {
        self.turn += 1;
        let count = self.engines.serving(request).count();
        let chosen = self.engines.serving(request).nth(self.turn % count.max(1));
        choice_for(chosen, request)
    }
}

/// The engine with the fewest requests; random among equals.
pub struct LeastLoaded {
    engines: EngineTable,
    random: StdRng,
}

impl LeastLoaded {
    /// Breaks ties with randomness from `seed`.
    pub fn new(seed: u64) -> Self {
        Self { engines: EngineTable::default(), random: StdRng::seed_from_u64(seed) }
    }
}

impl Policy for LeastLoaded {
    fn observe(&mut self, event: RouterEvent<'_>, now: Timestamp) {
        self.engines.observe(&event, now);
    }

    fn choose(&mut self, request: &RouteRequest<'_>, _now: Timestamp) -> Choice {
        let min_requests = self.engines.serving(request).map(EngineState::requests).min();
        let equals: Vec<&EngineState> = self
            .engines
            .serving(request)
            .filter(|engine_state| Some(engine_state.requests()) == min_requests)
            .collect();
        if equals.is_empty() {
            return Choice::default();
        }
        let drawn = self.random.random_range(0..equals.len());
        choice_for(Some(equals[drawn]), request)
    }
}

/// Rendezvous hashing on the first blocks of the prompt; all nodes choose the same engine.
pub struct Sticky {
    engines: EngineTable,
    blocks: usize,
}

impl Sticky {
    /// Hashes the first `blocks` blocks.
    pub fn new(blocks: usize) -> Self {
        Self { engines: EngineTable::default(), blocks }
    }
}

impl Policy for Sticky {
    fn observe(&mut self, event: RouterEvent<'_>, now: Timestamp) {
        self.engines.observe(&event, now);
    }

    fn choose(&mut self, request: &RouteRequest<'_>, _now: Timestamp) -> Choice {
        let depth = self.blocks.min(request.blocks.len()).max(1);
        let opening = request.blocks.get(depth - 1).map_or(0, |hash| hash.0 as u64);
        let rank = |engine_state: &&EngineState| {
            xxh3_64_with_seed(engine_state.engine().as_str().as_bytes(), opening)
        };
        choice_for(self.engines.serving(request).max_by_key(rank), request)
    }
}
