//! Membership and configuration of many hollow nodes over a faulty network.

use std::time::Duration;

use paddlemount_bench::{
    hollow::{
        cluster::{ClusterSettings, HollowCluster, Observation},
        measure::{change_request, start_settled_cluster},
    },
    simulation::{Scope, Zone},
};
use paddlemount_protocol::{configuration::ChangeOutcome, identity::Revision, peer::membership::MemberState};

fn cluster(nodes: usize, loss: f64) -> HollowCluster {
    start_settled_cluster(ClusterSettings { nodes, zones: 3, regions: 1, loss, seed: 7 }, 20, 2)
}

fn serves(cluster: &HollowCluster, index: usize) -> bool {
    cluster.peers(index).is_some_and(|peers| peers.may_serve(cluster.now()))
}

fn revision(cluster: &HollowCluster, index: usize) -> Revision {
    let configuration = cluster.peers(index).and_then(|peers| peers.configuration());
    configuration.map_or(Revision(0), |configuration| configuration.revision)
}

fn state(cluster: &HollowCluster, index: usize, about: usize) -> Option<MemberState> {
    cluster.member_record(index, about).map(|record| record.state)
}

fn outcome(cluster: &mut HollowCluster) -> Option<ChangeOutcome> {
    cluster.take_observations().into_iter().find_map(|seen| match seen.observation {
        Observation::ChangeEnded(outcome) => Some(outcome),
        _ => None,
    })
}

#[test]
fn every_node_learns_every_member_and_the_configuration() {
    let cluster = cluster(12, 0.01);
    for index in 0..12 {
        assert_eq!(cluster.peers(index).unwrap().members().live().count(), 12);
        assert_eq!(revision(&cluster, index), Revision(1));
        assert!(serves(&cluster, index));
    }
}

#[test]
fn a_killed_node_is_declared_dead_and_alive_after_a_restart() {
    let mut cluster = cluster(12, 0.0);
    cluster.kill(3);
    cluster.run_for(Duration::from_secs(20));
    assert!(
        (0..12).filter(|index| *index != 3).all(|index| state(&cluster, index, 3) == Some(MemberState::Dead))
    );
    cluster.start(3);
    cluster.run_for(Duration::from_secs(20));
    assert!((0..12).all(|index| state(&cluster, index, 3) == Some(MemberState::Alive)));
    assert!(serves(&cluster, 3));
}

#[test]
fn a_planned_stop_is_announced_and_never_suspected() {
    let mut cluster = cluster(12, 0.0);
    cluster.stop(3);
    cluster.run_for(Duration::from_secs(6));
    assert!((0..12).all(|index| state(&cluster, index, 3) == Some(MemberState::Left)));
    let suspected = cluster.take_observations().into_iter().any(|seen| {
        matches!(
            seen.observation,
            Observation::Member { state: MemberState::Suspect | MemberState::Dead, .. }
        )
    });
    assert!(!suspected);
}

#[test]
fn a_node_paused_for_a_minute_refutes_its_death_and_declares_nobody_dead() {
    let mut cluster = cluster(12, 0.0);
    cluster.pause(5, Duration::from_secs(60));
    cluster.run_for(Duration::from_secs(59));
    assert_eq!(state(&cluster, 0, 5), Some(MemberState::Dead));
    cluster.take_observations();
    cluster.run_for(Duration::from_secs(30));
    assert!((0..12).all(|index| state(&cluster, index, 5) == Some(MemberState::Alive)));
    let declared_dead = cluster
        .take_observations()
        .into_iter()
        .any(|seen| matches!(seen.observation, Observation::Member { state: MemberState::Dead, .. }));
    assert!(!declared_dead);
}

#[test]
fn a_partitioned_zone_stops_serving_and_the_others_continue() {
    let mut cluster = cluster(12, 0.0);
    for other in [0, 1] {
        cluster.links.cut_between(Scope::Zone(Zone(2)), Scope::Zone(Zone(other)));
    }
    let store = Scope::Endpoint(cluster.store_endpoint());
    cluster.links.cut_between(Scope::Zone(Zone(2)), store);
    cluster.run_for(Duration::from_secs(10));
    let cut_off = |index: &usize| index % 3 == 2;
    assert!((0..12).filter(cut_off).all(|index| !serves(&cluster, index)));
    assert!((0..12).filter(|index| !cut_off(index)).all(|index| serves(&cluster, index)));
    cluster.change(0, change_request(1));
    cluster.run_for(Duration::from_secs(10));
    let outcome = outcome(&mut cluster);
    assert!(
        matches!(outcome, Some(ChangeOutcome::InForce { .. } | ChangeOutcome::Accepted { .. })),
        "{outcome:?}"
    );
    assert!((0..12).filter(cut_off).all(|index| revision(&cluster, index) == Revision(1)));
    cluster.links.heal_all();
    cluster.run_for(Duration::from_secs(20));
    assert!((0..12).all(|index| revision(&cluster, index) == Revision(2) && serves(&cluster, index)));
}

#[test]
fn a_store_outage_refuses_changes_but_nodes_keep_serving() {
    let mut cluster = cluster(12, 0.01);
    cluster.store.is_down = true;
    cluster.change(4, change_request(1));
    cluster.run_for(Duration::from_secs(120));
    let outcome = outcome(&mut cluster);
    assert!(matches!(outcome, Some(ChangeOutcome::Refused { .. })), "{outcome:?}");
    assert!((0..12).all(|index| serves(&cluster, index)));
}

#[test]
fn half_the_nodes_restart_while_the_store_is_down_and_serve_again() {
    let mut cluster = cluster(12, 0.0);
    cluster.change(4, change_request(1));
    cluster.run_for(Duration::from_secs(5));
    cluster.store.is_down = true;
    (0..6).for_each(|index| cluster.start(index));
    cluster.run_for(Duration::from_secs(15));
    assert!((0..12).all(|index| revision(&cluster, index) == Revision(2) && serves(&cluster, index)));
}

#[test]
fn a_store_restored_to_an_older_revision_reverts_nothing() {
    let mut cluster = cluster(6, 0.0);
    let old = cluster.store.document.clone();
    cluster.change(4, change_request(1));
    cluster.run_for(Duration::from_secs(5));
    cluster.store.document = old;
    cluster.run_for(Duration::from_secs(30));
    assert!((0..6).all(|index| revision(&cluster, index) == Revision(2)));
    cluster.take_observations();
    cluster.change(2, change_request(2));
    cluster.run_for(Duration::from_secs(10));
    let outcome = outcome(&mut cluster);
    assert!(matches!(outcome, Some(ChangeOutcome::Refused { revision: Revision(2), .. })), "{outcome:?}");
}

#[test]
fn a_change_is_refused_while_a_region_is_partitioned_and_applied_after() {
    let settings = ClusterSettings { nodes: 12, zones: 4, regions: 2, loss: 0.0, seed: 7 };
    let mut cluster = start_settled_cluster(settings, 20, 2);
    let (one, other) = (paddlemount_bench::simulation::Region(0), paddlemount_bench::simulation::Region(1));
    cluster.links.cut_between(Scope::Region(one), Scope::Region(other));
    cluster.run_for(Duration::from_secs(40));
    assert!((0..12).all(|index| serves(&cluster, index)));
    cluster.change(0, change_request(1));
    cluster.run_for(Duration::from_secs(20));
    let refused = outcome(&mut cluster);
    assert!(matches!(refused, Some(ChangeOutcome::Refused { .. })), "{refused:?}");
    cluster.links.heal_all();
    cluster.run_for(Duration::from_secs(20));
    cluster.change(0, change_request(2));
    cluster.run_for(Duration::from_secs(9));
    let applied = outcome(&mut cluster);
    assert!(matches!(applied, Some(ChangeOutcome::InForce { .. })), "{applied:?}");
    assert!((0..12).all(|index| revision(&cluster, index) == Revision(2)));
}
