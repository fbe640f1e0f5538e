//! The capacity of engines, as they report it.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    engine::{EngineRole, EngineSpeed, EngineStatus},
    identity::{EngineId, PoolId},
};

#[derive(Clone, Debug, PartialEq)]
struct EngineCapacity {
    pool: PoolId,
    speed: EngineSpeed,
    accepts_work: bool,
}

/// The engines and the number of nodes that share them.
#[derive(Clone, Debug)]
pub struct Capacity {
    engines: BTreeMap<EngineId, EngineCapacity>,
    nodes: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { engines: BTreeMap::new(), nodes: 1 }
    }
}

impl Capacity {
    /// Applies an engine's report; returns whether its capacity changed.
    pub fn update(&mut self, status: &EngineStatus) -> bool {
        let accepts_work = !status.draining && status.loaded.is_some() && status.role == EngineRole::Serving;
        let next = EngineCapacity { pool: status.pool.clone(), speed: status.speed, accepts_work };
        let before = self.engines.insert(status.engine.clone(), next.clone());
        before != Some(next)
    }

    /// Marks an engine that no longer exists as unavailable.
    pub fn remove(&mut self, engine: &EngineId) {
        if let Some(capacity) = self.engines.get_mut(engine) {
            capacity.accepts_work = false;
        }
    }

    /// Sets the number of nodes that share the engines; returns whether it changed.
    pub fn set_nodes(&mut self, nodes: u32) -> bool {
        std::mem::replace(&mut self.nodes, nodes.max(1)) != nodes.max(1)
    }

    /// The number of nodes that share the engines, including this one.
    pub const fn nodes(&self) -> u32 {
        self.nodes
    }

    /// The batch slots of each pool's available engines.
    pub fn slots(&self) -> BTreeMap<PoolId, u32> {
        let mut slots: BTreeMap<PoolId, u32> = BTreeMap::new();
        for capacity in self.engines.values() {
            let available = if capacity.accepts_work { capacity.speed.batch_slots } else { 0 };
            *slots.entry(capacity.pool.clone()).or_default() += available;
        }
        slots
    }

    /// The speed of an engine.
    pub fn speed(&self, engine: &EngineId) -> Option<EngineSpeed> {
        self.engines.get(engine).map(|capacity| capacity.speed)
    }

    /// The speed of any available engine of a pool.
    pub fn pool_speed(&self, pool: &PoolId) -> Option<EngineSpeed> {
        let mut in_pool =
            self.engines.values().filter(|capacity| capacity.pool == *pool && capacity.accepts_work);
        in_pool.next().map(|capacity| capacity.speed)
    }
}
