//! Ownership of engine feeds by the member tables of hollow nodes.

use std::collections::BTreeMap;

use paddlemount_bench::hollow::{
    cluster::{ClusterSettings, HollowCluster},
    measure::start_settled_cluster,
};
use paddlemount_core::feed_owners::{OWNERS_PER_FEED, owners, owns};
use paddlemount_protocol::identity::{EngineId, NodeId};

const NODES: usize = 12;
const ENGINES: usize = 200;

fn cluster() -> HollowCluster {
    start_settled_cluster(ClusterSettings { nodes: NODES, zones: 3, regions: 1, loss: 0.0, seed: 7 }, 20, 2)
}

fn engines() -> Vec<EngineId> {
    (0..ENGINES).map(|number| EngineId::from(format!("engine-{number}"))).collect()
}

#[test]
fn each_feed_has_the_same_owners_at_every_node() {
    let cluster = cluster();
    for engine in engines() {
        let owners_by_node: Vec<Vec<&NodeId>> =
            (0..NODES).map(|node| owners(cluster.peers(node).unwrap().members(), &engine)).collect();
        assert_eq!(owners_by_node[0].len(), OWNERS_PER_FEED);
        assert!(owners_by_node.iter().all(|owners| *owners == owners_by_node[0]));
        let owning = (0..NODES).filter(|node| owns(cluster.peers(*node).unwrap().members(), &engine)).count();
        assert_eq!(owning, OWNERS_PER_FEED);
    }
}

#[test]
fn feeds_are_spread_evenly() {
    let cluster = cluster();
    let members = cluster.peers(0).unwrap().members();
    let mut owned: BTreeMap<NodeId, usize> = BTreeMap::new();
    for engine in engines() {
        for node in owners(members, &engine) {
            *owned.entry(node.clone()).or_default() += 1;
        }
    }
    let mean = ENGINES * OWNERS_PER_FEED / NODES;
    assert_eq!(owned.len(), NODES);
    assert!(owned.values().all(|count| *count > mean / 2 && *count < mean * 2), "{owned:?}");
}
