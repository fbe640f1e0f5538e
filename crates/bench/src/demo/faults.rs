//! Faults of the demo: an engine crashes and restarts, then a node restarts.

use std::{sync::Arc, time::Duration};

use super::{caller::Caller, cluster::Cluster, record::Records};

/// Time of the engine crash, as a share of the demo's length.
const CRASH_AT_SHARE: f64 = 0.35;
/// Time of the node's planned stop, as a share of the demo's length.
const RESTART_AT_SHARE: f64 = 0.6;
/// Time until the crashed engine restarts.
const ENGINE_DOWNTIME: Duration = Duration::from_millis(1_500);
/// The node that restarts.
const RESTARTED_NODE: usize = 1;

/// Injects the faults; returns when everything is up again.
pub async fn run(cluster: Arc<Cluster>, records: Arc<Records>, length: Duration) {
    tokio::time::sleep(length.mul_f64(CRASH_AT_SHARE)).await;
    let busiest = cluster.busiest_engine(&Caller::new(Vec::new())).await;
    let engine = cluster.crash_engine(busiest).await;
    records.note(&format!("{engine}, the busiest, crashed"));
    tokio::time::sleep(ENGINE_DOWNTIME).await;
    match cluster.restart_engine(busiest).await {
        Ok(()) => records.note(&format!("{engine} is back, its cache empty")),
        Err(error) => records.fault_failed(&format!("{engine} did not come back: {error}")),
    }
    let until_restart = length.mul_f64(RESTART_AT_SHARE).saturating_sub(records.since_start());
    tokio::time::sleep(until_restart).await;
    records.note(&format!("node-{RESTARTED_NODE} begins a planned stop"));
    let node = cluster.stop_node(RESTARTED_NODE).await;
    records.note(&format!("{node} has ended its last stream and stopped"));
    match cluster.start_node(RESTARTED_NODE).await {
        Ok(()) => records.note(&format!("{node} serves again")),
        Err(error) => records.fault_failed(&format!("{node} did not start again: {error}")),
    }
}
