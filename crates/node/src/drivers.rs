//! The background tasks of a node. All of them are spawned here and end with the node.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::{claims, engines, feeds, overload, peers, quarantine, state::NodeState};

/// Spawns all background tasks on the current runtime.
pub fn spawn(state: &Arc<NodeState>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(peers::driver::run(Arc::clone(state)));
    tasks.spawn(engines::watch_machines(Arc::clone(state)));
    tasks.spawn(engines::watch_engines(Arc::clone(state)));
    tasks.spawn(engines::watch_drains(Arc::clone(state)));
    tasks.spawn(feeds::run(Arc::clone(state)));
    tasks.spawn(overload::run(Arc::clone(state)));
    tasks.spawn(quarantine::run(Arc::clone(state)));
    tasks.spawn(claims::follow_configuration(Arc::clone(state)));
    tasks
}
