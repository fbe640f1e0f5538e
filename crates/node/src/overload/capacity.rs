//! What engines can take, by their own accounts.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    engine::{EngineRole, EngineSpeed, EngineStatus},
    identity::{EngineId, PoolId},
};

#[derive(Clone, Debug, PartialEq)]
struct EngineCapacity {
    pool: PoolId,
    speed: EngineSpeed,
    takes_work: bool,
}

/// Engines and nodes as far as they bear on admission.
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
    /// Takes in an engine's account; tells whether it changes what its pool can take.
    pub fn update(&mut self, status: &EngineStatus) -> bool {
        let takes_work = !status.draining && status.loaded.is_some() && status.role == EngineRole::Serving;
        let next = EngineCapacity { pool: status.pool.clone(), speed: status.speed, takes_work };
        let before = self.engines.insert(status.engine.clone(), next.clone());
        before != Some(next)
    }

    /// Forgets an engine that no longer exists.
    pub fn remove(&mut self, engine: &EngineId) {
        if let Some(capacity) = self.engines.get_mut(engine) {
            capacity.takes_work = false;
        }
    }

    /// Sets the number of nodes that share the engines; tells whether it has changed.
    pub fn set_nodes(&mut self, nodes: u32) -> bool {
        std::mem::replace(&mut self.nodes, nodes.max(1)) != nodes.max(1)
    }

    /// Nodes that share the engines, this one included.
    pub const fn nodes(&self) -> u32 {
        self.nodes
    }

    /// Places in the batches of each pool's engines that take work.
    pub fn slots(&self) -> BTreeMap<PoolId, u32> {
        let mut slots: BTreeMap<PoolId, u32> = BTreeMap::new();
        for capacity in self.engines.values() {
            let places = if capacity.takes_work { capacity.speed.batch_slots } else { 0 };
            *slots.entry(capacity.pool.clone()).or_default() += places;
        }
        slots
    }

    /// How fast an engine works.
    pub fn speed(&self, engine: &EngineId) -> Option<EngineSpeed> {
        self.engines.get(engine).map(|capacity| capacity.speed)
    }

    /// How fast the engines of a pool work, by one of them.
    pub fn pool_speed(&self, pool: &PoolId) -> Option<EngineSpeed> {
        let mut in_pool =
            self.engines.values().filter(|capacity| capacity.pool == *pool && capacity.takes_work);
        in_pool.next().map(|capacity| capacity.speed)
    }
}
