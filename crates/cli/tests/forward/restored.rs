//! Restores of the store from an older backup, after which revisions fall. Nodes must detect the restore,
//! apply later changes, and issue rising fencing tokens.

use std::time::{Duration, Instant};

use http::StatusCode;
use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY, store::StoreFault};

use crate::router::{Router, metric_value};

/// A key that the operator removes.
const REMOVED_KEY: &str = "key-that-goes";
/// The body of a request that crashes every back end that runs it.
const POISON: &str = "crashes whatever runs it";
/// A key that the operator adds after the restore.
const LATE_KEY: &str = "key-that-comes";
/// Duration of an outage of the store.
const OUTAGE: Duration = Duration::from_millis(300);

/// Revisions missing in the backup, more than the nodes' own writes can make up for in a test.
const LOST_REVISIONS: u32 = 500;
/// How long an accepted change may take to apply at a node.
const MAX_CONVERGENCE_TIME: Duration = Duration::from_secs(5);
/// How long a node may take to observe a change.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

async fn cluster() -> Cluster {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    cluster
}

async fn status(router: &Router, key: &str) -> Option<StatusCode> {
    let id = format!("e-{}", rand::random::<u64>());
    Some(router.send_with_key("/hold/1", &id, key).await?.status)
}

async fn wait_until_served(router: &Router, key: &str) {
    router.wait_until("serving", async || status(router, key).await == Some(StatusCode::OK)).await;
}

async fn wait_until_leading(router: &Router) {
    router
        .wait_until("leading", async || metric_value(router, "paddlemount_forward_leads").await == Some(1.0))
        .await;
}

/// Advances the store's revision by irrelevant changes.
fn advance_revision(cluster: &Cluster, count: u32) {
    for slots in 0..count {
        cluster.change_slots(&cluster.bookings[0], 10 + slots % 2);
    }
}

#[tokio::test]
async fn a_configuration_written_after_a_restore_is_applied() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    wait_until_served(&router, KEY).await;
    let backup = cluster.store.backup();
    advance_revision(&cluster, LOST_REVISIONS);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let written = cluster.store.restore(&backup);
    cluster.store.rewrite(&written);
    cluster.configure(2, &[KEY, LATE_KEY]);
    wait_until_served(&router, LATE_KEY).await;
    router.wait_until("logged", async || router.logged("store_restored")).await;
}

#[tokio::test]
async fn reused_revisions_are_detected_as_a_restore() {
    // By the next watch, other changes have advanced the store past the revision that the node knows.
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    wait_until_served(&router, KEY).await;
    let backup = cluster.store.backup();
    advance_revision(&cluster, LOST_REVISIONS);
    tokio::time::sleep(PROPAGATION_TIME).await;
    cluster.store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(OUTAGE).await;
    let written = cluster.store.restore(&backup);
    cluster.store.rewrite(&written);
    cluster.configure(2, &[KEY, LATE_KEY]);
    advance_revision(&cluster, LOST_REVISIONS * 2);
    cluster.store.set_fault(StoreFault::None);
    wait_until_served(&router, LATE_KEY).await;
}

#[tokio::test]
async fn fencing_tokens_of_orders_rise_across_restores() {
    let cluster = cluster().await;
    let backup = cluster.store.backup();
    let router = Router::start(&cluster).await;
    wait_until_leading(&router).await;
    advance_revision(&cluster, LOST_REVISIONS);
    cluster.set_target_version(2);
    let loaded = |version| cluster.engines.iter().all(|engine| engine.version() == version);
    router.wait_until("loaded", async || loaded(2)).await;
    for version in 3..5 {
        let written = cluster.store.restore(&backup);
        cluster.store.rewrite(&written);
        cluster.set_target_version(version);
        router.wait_until("loaded again", async || loaded(version)).await;
    }
    assert!(!router.lines().iter().any(|line| line.contains("\"fenced\"")), "no order is refused as older");
}

#[tokio::test]
async fn a_removed_key_stays_refused_after_a_restore_of_a_backup_that_has_it() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY, REMOVED_KEY]);
    let router = Router::start(&cluster).await;
    wait_until_served(&router, REMOVED_KEY).await;
    let backup = cluster.store.backup();
    cluster.configure(2, &[KEY]);
    let refused = async || status(&router, REMOVED_KEY).await == Some(StatusCode::UNAUTHORIZED);
    router.wait_until("refusing the key", refused).await;
    let written = cluster.store.restore(&backup);
    for _ in 0..20 {
        assert_eq!(status(&router, REMOVED_KEY).await, Some(StatusCode::UNAUTHORIZED));
        tokio::time::sleep(OUTAGE / 10).await;
    }
    cluster.store.rewrite(&written);
    wait_until_served(&router, KEY).await;
    assert_eq!(status(&router, REMOVED_KEY).await, Some(StatusCode::UNAUTHORIZED));
}

#[tokio::test]
async fn a_quarantined_request_stays_held_back_and_is_recorded_again() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    wait_until_leading(&router).await;
    wait_until_served(&router, KEY).await;
    let backup = cluster.store.backup();
    cluster.engines.iter().for_each(|engine| engine.crash_on(POISON.as_bytes()));
    let is_held = async || {
        router.wait_until("running", async || cluster.all_running()).await;
        let id = format!("poison-{}", rand::random::<u64>());
        let response = router.send_body("/chat/1", &id, KEY, POISON).await;
        response.is_some_and(|response| response.body.contains("held_back"))
    };
    router.wait_until("held back", is_held).await;
    router.wait_until("written", async || cluster.has_quarantined_request()).await;
    let runs = || {
        cluster.engines.iter().flat_map(Runner::seen).filter(|seen| seen.body == POISON.as_bytes()).count()
    };
    let before = runs();
    let written = cluster.store.restore(&backup);
    cluster.store.rewrite(&written);
    router.wait_until("written again", async || cluster.has_quarantined_request()).await;
    assert!(is_held().await, "it is held back all the time");
    assert_eq!(runs(), before);
}

#[tokio::test]
async fn nodes_that_receive_gossip_learn_of_changes_after_a_restore() {
    let cluster = cluster().await;
    let first = Router::start_at(cluster.store_address, "node-0").await;
    wait_until_leading(&first).await;
    let second = Router::start_at(cluster.store_address, "node-1").await;
    wait_until_served(&second, KEY).await;
    second.wait_until("reporting", async || second.logged("parent_changed")).await;
    let backup = cluster.store.backup();
    advance_revision(&cluster, LOST_REVISIONS);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let written = cluster.store.restore(&backup);
    cluster.store.rewrite(&written);
    cluster.configure(2, &[KEY, LATE_KEY]);
    for router in [&first, &second] {
        wait_until_served(router, LATE_KEY).await;
    }
}

/// A node that starts after the restore reads an outdated key from the backup, and must learn the removal
/// from other nodes.
#[tokio::test]
async fn a_node_started_after_a_restore_learns_lost_changes_from_other_nodes() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY, REMOVED_KEY]);
    let first = Router::start_at(cluster.store_address, "node-0").await;
    wait_until_leading(&first).await;
    let backup = cluster.store.backup();
    cluster.configure(2, &[KEY]);
    let refused = async || status(&first, REMOVED_KEY).await == Some(StatusCode::UNAUTHORIZED);
    first.wait_until("refusing the key", refused).await;
    let written = cluster.store.restore(&backup);
    // Once a node leads again, nothing is written and both nodes know the same revision.
    first.wait_until("logged", async || first.logged("store_restored")).await;
    wait_until_leading(&first).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    // The node serves by what it reads; an accepted change must apply within seconds.
    let second = Router::start_at(cluster.store_address, "node-1").await;
    let started = Instant::now();
    wait_until_served(&second, KEY).await;
    let refused = async || status(&second, REMOVED_KEY).await == Some(StatusCode::UNAUTHORIZED);
    second.wait_until("refusing the key as well", refused).await;
    assert!(started.elapsed() < MAX_CONVERGENCE_TIME, "{:?} after its start", started.elapsed());
    for _ in 0..60 {
        assert_eq!(status(&second, REMOVED_KEY).await, Some(StatusCode::UNAUTHORIZED));
        tokio::time::sleep(OUTAGE / 10).await;
    }
    cluster.store.rewrite(&written);
    wait_until_served(&second, KEY).await;
    assert_eq!(status(&second, REMOVED_KEY).await, Some(StatusCode::UNAUTHORIZED));
}
