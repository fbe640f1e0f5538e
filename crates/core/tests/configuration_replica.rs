//! A node's document never goes back to an older revision, and is fresh only with a confirmation.

use std::time::Duration;

use paddlemount_core::{
    configuration::{
        freshness::{Freshness, short_hash},
        replica::{Replica, ReplicaAction},
    },
    membership::{Membership, MembershipEvent, MembershipSettings, MembershipTiming},
};
use paddlemount_protocol::{
    configuration::{Configuration, RevisedConfiguration, StoredDocument},
    identity::{Incarnation, NodeId, Revision},
    peer::{
        configuration::{MemberConfirmation, MemberConfirmations},
        membership::{MemberRecord, MemberState, MembershipAnswer},
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp(1_000_000_000);

fn record(number: u8) -> MemberRecord {
    MemberRecord {
        node: NodeId::from(format!("node-{number}")),
        address: ([127, 0, 0, 1], 7_000 + u16::from(number)).into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        incarnation: Incarnation(1),
        refutation: 0,
        state: MemberState::Alive,
    }
}

/// The membership of node 0, which knows nodes 1 to `others`.
fn membership(others: u8) -> Membership {
    let own = record(0);
    let settings = MembershipSettings {
        node: own.node,
        address: own.address,
        zone: own.zone,
        region: own.region,
        incarnation: own.incarnation,
        seeds: vec![record(1).address],
        seed: 1,
        timing: MembershipTiming::default(),
    };
    let mut membership = Membership::new(settings, START);
    let actions = membership.handle(MembershipEvent::Tick, START);
    let members: Vec<MemberRecord> = (1..=others).map(record).collect();
    let call = actions.iter().find_map(|action| match action {
        paddlemount_core::membership::MembershipAction::Call { call, .. } => Some(*call),
        _ => None,
    });
    let answer = MembershipAnswer::Members { members, more: false };
    membership.handle(MembershipEvent::Answer { call: call.unwrap(), answer: &answer }, START);
    membership
}

fn document(revision: u64) -> RevisedConfiguration {
    RevisedConfiguration { revision: Revision(revision), configuration: Configuration::default() }
}

/// Answers a replica's store call.
fn answer_store(replica: &mut Replica, membership: &Membership, now: Timestamp, revision: u64) {
    let asked = replica.tick(membership.table(), membership.quorum_base(), now);
    assert!(matches!(asked, Some(ReplicaAction::Watch(_))), "{asked:?}");
    replica.handle_store_reply(Ok(StoredDocument::Present(document(revision))), now);
}

#[test]
fn a_lower_revision_from_the_store_is_ignored_and_confirms_nothing() {
    let membership = membership(0);
    let mut replica = Replica::new(START, Duration::ZERO, false);
    let mut now = START + Duration::from_secs(1);
    answer_store(&mut replica, &membership, now, 7);
    now = now + Duration::from_secs(20);
    answer_store(&mut replica, &membership, now, 5);
    assert_eq!(replica.revision(), Revision(7));
    assert!(!replica.may_serve(membership.table(), membership.quorum_base(), now));
}

#[test]
fn without_store_and_majority_a_node_stops_serving_after_the_bound() {
    let membership = membership(2);
    let mut replica = Replica::new(START, Duration::ZERO, false);
    let now = START + Duration::from_secs(1);
    answer_store(&mut replica, &membership, now, 7);
    let base = membership.quorum_base();
    assert!(replica.may_serve(membership.table(), base, now + Duration::from_millis(7_999)));
    assert!(!replica.may_serve(membership.table(), base, now + Duration::from_secs(8)));
}

fn confirmations(members: &[u8]) -> MemberConfirmations {
    let entry = |number: &u8| MemberConfirmation { member: short_hash(&record(*number).node), age_steps: 0 };
    MemberConfirmations(members.iter().map(entry).collect())
}

#[test]
fn a_majority_of_known_members_confirms_and_a_minority_does_not() {
    let membership = membership(4);
    let now = START + Duration::from_secs(5);
    let mut freshness = Freshness::default();
    for source in [1, 2, 3] {
        freshness.confirm_by_peer(&record(source).node, &MemberConfirmations::default(), now);
    }
    freshness.count_self(membership.table());
    freshness.confirm_by_peer(&record(1).node, &confirmations(&[1]), now);
    let base = membership.quorum_base();
    assert_eq!(base, 5);
    assert_eq!(freshness.confirmed_at(membership.table(), base, now), None);
    freshness.confirm_by_peer(&record(1).node, &confirmations(&[2]), now);
    assert_eq!(freshness.confirmed_at(membership.table(), base, now), Some(now));
}

#[test]
fn a_restarted_node_counts_itself_only_after_enough_peers_agreed() {
    let membership = membership(4);
    let now = START + Duration::from_secs(5);
    let mut freshness = Freshness::default();
    freshness.confirm_by_peer(&record(1).node, &confirmations(&[1, 2]), now);
    freshness.count_self(membership.table());
    assert_eq!(freshness.confirmed_at(membership.table(), 5, now), None);
    freshness.confirm_by_peer(&record(2).node, &confirmations(&[1, 2]), now);
    freshness.confirm_by_peer(&record(3).node, &confirmations(&[1, 2]), now);
    freshness.count_self(membership.table());
    assert_eq!(freshness.confirmed_at(membership.table(), 5, now), Some(now));
}

#[test]
fn the_revision_never_decreases_whatever_the_store_returns() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|revisions| {
        let membership = membership(0);
        let mut replica = Replica::new(START, Duration::ZERO, false);
        let mut now = START;
        let mut highest = Revision(0);
        for revision in revisions {
            now = now + Duration::from_secs(20);
            answer_store(&mut replica, &membership, now, u64::from(*revision));
            assert!(replica.revision() >= highest);
            highest = replica.revision();
        }
    });
}
