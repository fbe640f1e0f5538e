//! Membership and configuration between nodes, over real connections.

mod support;

use std::time::Duration;

use paddlemount_node::peers::authentication::{AuthenticationError, Authenticator, SignedRequest};
use paddlemount_protocol::{
    configuration::ChangeOutcome,
    header::{PEER_NODE, PEER_SIGNATURE, PEER_TIME},
    identity::{Incarnation, NodeId, Revision},
    peer::{
        configuration::ConfigurationGossip,
        membership::{Gossip, MemberRecord, MemberState, MembershipRequest, PATH},
    },
    time::Timestamp,
};
use support::{CLUSTER_KEY, Cluster, put_tenant};

const UNKNOWN_KEY: &str = "a-key-that-no-node-knows";

fn dead_member_probe(node: &str) -> MembershipRequest {
    let record = MemberRecord {
        node: node.into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        incarnation: Incarnation(u64::MAX),
        refutation: 0,
        state: MemberState::Dead,
    };
    let sender = MemberRecord { node: "stranger".into(), state: MemberState::Alive, ..record.clone() };
    let gossip = Gossip {
        sender,
        table: 0,
        updates: vec![record],
        regions: Vec::new(),
        configuration: ConfigurationGossip::default(),
        items: Vec::new(),
    };
    MembershipRequest::Probe { gossip: Box::new(gossip) }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unauthenticated_messages_change_nothing() {
    let cluster = Cluster::start(2).await;
    let address = cluster.nodes[0].peer_address();
    let before = cluster.members_of(0);
    let body = serde_json::to_vec(&dead_member_probe("node-2")).unwrap();
    let stranger = NodeId::from("stranger");
    let time = Timestamp(0) + std::time::UNIX_EPOCH.elapsed().unwrap();
    let request =
        SignedRequest { method: "POST", path: PATH, receiver: address, node: &stranger, time, body: &body };
    let unsigned: [(&str, String); 0] = [];
    assert_eq!(support::post(address, PATH, &unsigned, &body).await, 401);
    let headers = |signature: String, time: Timestamp| {
        [(PEER_NODE, "stranger".to_owned()), (PEER_TIME, time.0.to_string()), (PEER_SIGNATURE, signature)]
    };
    let forged = Authenticator::new([UNKNOWN_KEY]).sign_request(&request);
    assert_eq!(support::post(address, PATH, &headers(forged, time), &body).await, 401);
    let other_body = SignedRequest { body: b"{}", ..request };
    let misplaced = Authenticator::new([CLUSTER_KEY]).sign_request(&other_body);
    assert_eq!(support::post(address, PATH, &headers(misplaced, time), &body).await, 401);
    let other_node = SignedRequest { receiver: ([127, 0, 0, 1], 1).into(), ..request };
    let redirected = Authenticator::new([CLUSTER_KEY]).sign_request(&other_node);
    assert_eq!(support::post(address, PATH, &headers(redirected, time), &body).await, 401);
    let late = time - Duration::from_secs(60);
    let old = Authenticator::new([CLUSTER_KEY]).sign_request(&SignedRequest { time: late, ..request });
    assert_eq!(support::post(address, PATH, &headers(old, late), &body).await, 401);
    assert_eq!(cluster.members_of(0), before);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_authenticated_message_is_accepted_once() {
    let cluster = Cluster::start(2).await;
    let address = cluster.nodes[0].peer_address();
    let body = serde_json::to_vec(&dead_member_probe("node-2")).unwrap();
    let sender = NodeId::from("stranger");
    let time = Timestamp(0) + std::time::UNIX_EPOCH.elapsed().unwrap();
    let request =
        SignedRequest { method: "POST", path: PATH, receiver: address, node: &sender, time, body: &body };
    let signature = Authenticator::new([CLUSTER_KEY]).sign_request(&request);
    let headers =
        [(PEER_NODE, "stranger".to_owned()), (PEER_TIME, time.0.to_string()), (PEER_SIGNATURE, signature)];
    assert_eq!(support::post(address, PATH, &headers, &body).await, 200);
    assert!(cluster.members_of(0).contains(&("node-2".into(), MemberState::Dead)));
    assert_eq!(support::post(address, PATH, &headers, &body).await, 401, "a replay is refused");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_reaches_all_nodes_and_a_conflicting_one_is_refused() {
    let cluster = Cluster::start(3).await;
    let outcome = cluster.change(0, put_tenant("change-1", 2, None)).await;
    let ChangeOutcome::InForce { revision, .. } = outcome else { panic!("{outcome:?}") };
    assert!((0..3).all(|node| cluster.revision_of(node) == revision));
    let again = cluster.change(1, put_tenant("change-1", 2, None)).await;
    assert!(matches!(again, ChangeOutcome::InForce { revision: same, .. } if same == revision), "{again:?}");
    let conflicting = cluster.change(2, put_tenant("change-2", 3, Some(Revision(revision.0 - 1)))).await;
    assert!(
        matches!(conflicting, ChangeOutcome::Refused { revision: same, .. } if same == revision),
        "{conflicting:?}"
    );
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_store_changes_are_refused_and_new_nodes_sync_from_peers() {
    let mut cluster = Cluster::start(3).await;
    let outcome = cluster.change(0, put_tenant("change-1", 2, None)).await;
    let ChangeOutcome::InForce { revision, .. } = outcome else { panic!("{outcome:?}") };
    cluster.stop_store();
    cluster.add_node(4);
    cluster.until(|cluster| cluster.revision_of(3) == revision && cluster.is_ready(3)).await;
    let refused = cluster.change(1, put_tenant("change-2", 3, None)).await;
    assert!(matches!(refused, ChangeOutcome::Refused { .. }), "{refused:?}");
    cluster.stop().await;
}

#[test]
fn both_keys_are_accepted_during_a_rotation() {
    let node = NodeId::from("node-1");
    let receiver = ([127, 0, 0, 1], 1).into();
    let time = Timestamp(1_000_000_000);
    let request = SignedRequest { method: "POST", path: PATH, receiver, node: &node, time, body: b"{}" };
    let old = Authenticator::new(["the-old-key"]);
    let both = Authenticator::new(["the-new-key", "the-old-key"]);
    let new = Authenticator::new(["the-new-key"]);
    assert_eq!(both.accept_request(&request, &old.sign_request(&request), time), Ok(()));
    assert_eq!(both.accept_request(&request, &new.sign_request(&request), time), Ok(()));
    let refused = new.accept_request(&request, &old.sign_request(&request), time);
    assert_eq!(refused, Err(AuthenticationError::Signature));
    let signature = both.sign_request(&request);
    let answer = old.sign_answer(&signature, b"[]");
    assert_eq!(both.accept_answer(&signature, b"[]", &answer), Ok(()));
    assert_eq!(both.accept_answer("another request", b"[]", &answer), Err(AuthenticationError::Signature));
}
