//! Requests start on older weights only for a bounded time after a newer target version is set, even if nodes
//! restart, freeze or lose the store, and even if no engine has the target version.

use std::time::Duration;

use http::{StatusCode, header};
use paddlemount_platform_standin::{
    Cluster,
    cluster::KEY,
    proxy::{LinkFault, Proxy},
    runner::{Behaviour, Runner},
};

use crate::router::{CallerResponse, Router, metric_value};

/// Longer than any test, so that engines never finish a load.
const LOAD_TIME: Duration = Duration::from_secs(600);
/// Bound of nodes that are kept from observing a version, in milliseconds.
const PARTITION_BOUND_MS: u64 = 3_000;
/// Longer than that bound and than the maximum age of keys.
const PARTITION_TIME: Duration = Duration::from_millis(5_500);
/// Bound of nodes that record a target version, in milliseconds. The leader has half of it for that, even on
/// a busy machine.
const RECORDED_BOUND_MS: u64 = 8_000;
/// Longer than that bound.
const PAST_RECORDED_BOUND: Duration = Duration::from_millis(8_500);
/// Longer than any test, in milliseconds.
const LONG_BOUND_MS: u64 = 600_000;

/// Starts a cluster whose engines never finish a load.
async fn cluster() -> Cluster {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    cluster.engines.iter().for_each(|engine| engine.set_load_time(LOAD_TIME));
    cluster.set_target_version(1);
    cluster
}

async fn send(router: &Router, path: &str) -> CallerResponse {
    let id = format!("w-{}", rand::random::<u64>());
    router.send(path, &id).await.expect("an answer")
}

async fn wait_until_served(router: &Router) {
    let served = async || send(router, "/claim/1").await.status == StatusCode::OK;
    router.wait_until("serving", served).await;
}

/// Number of requests that engines have run.
fn runs(cluster: &Cluster) -> usize {
    let seen = cluster.engines.iter().flat_map(Runner::seen);
    seen.filter(|seen| seen.ran).count()
}

/// The log line about a version.
fn line_of(router: &Router, version: u64) -> Option<String> {
    let field = format!("\"version\":{version},");
    router.lines().into_iter().find(|line| line.contains("\"weights_named\"") && line.contains(&field))
}

fn knows_target(router: &Router, version: u64) -> bool {
    line_of(router, version).is_some()
}

/// Returns whether the log line about a version has an upper bound of its age.
fn logs_age_of(router: &Router, version: u64) -> bool {
    let is_age = |rest: &str| rest.starts_with(|first: char| first.is_ascii_digit());
    let line = line_of(router, version).unwrap_or_default();
    line.split_once("\"at_most_ms\":").is_some_and(|(_, rest)| is_age(rest))
}

/// Checks that requests are refused at once with `retry-after` and do not run.
async fn assert_refuses_older_weights(cluster: &Cluster, router: &Router) {
    router.wait_until("informed of the version", async || knows_target(router, 2)).await;
    let serves = async || {
        let response = send(router, "/hold/1").await;
        response.status == StatusCode::OK
    };
    router.wait_until("serving a path without weights", serves).await;
    let before = runs(cluster);
    for path in ["/claim/1", "/chat/1", "/claim/2"] {
        let response = send(router, path).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(response.headers.contains_key(header::RETRY_AFTER), "{path}");
        assert!(response.body.contains("older_weights"), "{path}: {}", response.body);
    }
    assert_eq!(runs(cluster), before, "nothing runs on older weights");
}

#[tokio::test]
async fn a_node_that_starts_alone_uses_no_weights_older_than_the_target() {
    // At its start a node cannot know how old a target version is.
    let cluster = cluster().await;
    cluster.set_target_version(2);
    let router = Router::start(&cluster).await;
    assert_refuses_older_weights(&cluster, &router).await;
}

#[tokio::test]
async fn a_frozen_node_counts_the_bound_from_before_the_freeze() {
    let cluster = cluster().await;
    let router = Router::start_with_weights_bound(cluster.store_address, "node-1", PARTITION_BOUND_MS).await;
    wait_until_served(&router).await;
    router.freeze();
    cluster.set_target_version(2);
    tokio::time::sleep(PARTITION_TIME).await;
    router.thaw();
    assert_refuses_older_weights(&cluster, &router).await;
}

#[tokio::test]
async fn a_partitioned_node_counts_the_bound_from_before_the_partition() {
    let cluster = cluster().await;
    let link = Proxy::start(cluster.store_address).await.expect("a proxy starts");
    let router = Router::start_with_weights_bound(link.address, "node-1", PARTITION_BOUND_MS).await;
    wait_until_served(&router).await;
    link.set(LinkFault::Silent);
    cluster.set_target_version(2);
    tokio::time::sleep(PARTITION_TIME).await;
    link.set(LinkFault::None);
    assert_refuses_older_weights(&cluster, &router).await;
}

#[tokio::test]
async fn a_starting_node_learns_the_age_of_the_target_version_from_others() {
    // Without the age from other nodes, it would refuse requests that they serve.
    let cluster = cluster().await;
    let start =
        async |name: &str| Router::start_with_weights_bound(cluster.store_address, name, LONG_BOUND_MS).await;
    let first = start("node-0").await;
    first
        .wait_until("leading", async || metric_value(&first, "paddlemount_forward_leads").await == Some(1.0))
        .await;
    wait_until_served(&first).await;
    cluster.set_target_version(2);
    first.wait_until("informed of the version", async || knows_target(&first, 2)).await;
    let started = start("node-1").await;
    wait_until_served(&started).await;
}

/// Runs a node until it has recorded a target version in the store as the leader, and kills it.
async fn kill_after_announcement(cluster: &Cluster, bound_ms: u64) {
    let router = Router::start_with_weights_bound(cluster.store_address, "node-1", bound_ms).await;
    router
        .wait_until("leading", async || metric_value(&router, "paddlemount_forward_leads").await == Some(1.0))
        .await;
    wait_until_served(&router).await;
    cluster.set_target_version(2);
    router.wait_until("recorded", async || cluster.has_recorded_target()).await;
}

#[tokio::test]
async fn older_weights_still_serve_after_all_nodes_restart_soon_after_a_new_target() {
    // The recorded age must keep restarted nodes from treating a recent target version as old.
    let cluster = cluster().await;
    kill_after_announcement(&cluster, LONG_BOUND_MS).await;
    let started = Router::start_with_weights_bound(cluster.store_address, "node-1", LONG_BOUND_MS).await;
    wait_until_served(&started).await;
    started.wait_until("informed of the version", async || knows_target(&started, 2)).await;
    assert!(logs_age_of(&started, 2), "{:#?}", started.lines());
}

#[tokio::test]
async fn older_weights_are_refused_after_all_nodes_restart_long_after_a_new_target() {
    let cluster = cluster().await;
    kill_after_announcement(&cluster, RECORDED_BOUND_MS).await;
    tokio::time::sleep(PAST_RECORDED_BOUND).await;
    let started = Router::start_with_weights_bound(cluster.store_address, "node-1", RECORDED_BOUND_MS).await;
    assert_refuses_older_weights(&cluster, &started).await;
}

/// Checks that a request at an unresponsive engine is cancelled when the target version advances meanwhile.
async fn is_cancelled(behaviour: Behaviour, path: &str) {
    let cluster = cluster().await;
    let router = Router::start_with_weights_bound(cluster.store_address, "node-1", 1_000).await;
    wait_until_served(&router).await;
    cluster.engines.iter().for_each(|engine| engine.script(&[behaviour]));
    let announcement = async {
        let waiting = async || cluster.engines.iter().any(|engine| engine.runs("waits") > 0);
        router.wait_until("waiting at an engine", waiting).await;
        cluster.set_target_version(2);
    };
    let (response, ()) = tokio::join!(router.send(path, "waits"), announcement);
    assert!(response.is_some_and(|response| !response.status.is_success()));
    let is_cancelled_line =
        |line: &String| line.contains("\"waits\"") && line.contains("its weights grew too old");
    router.wait_until("logged", async || router.logged("attempt_ended")).await;
    assert!(router.lines().iter().any(is_cancelled_line), "{:#?}", router.lines());
}

#[tokio::test]
async fn a_waiting_request_is_cancelled_when_the_target_version_advances() {
    // A version that is set after the request was sent must shorten its wait.
    is_cancelled(Behaviour::Hangs, "/chat/1").await;
}

#[tokio::test]
async fn a_stream_without_an_event_is_cancelled_when_the_target_version_advances() {
    is_cancelled(Behaviour::HangsAfterHead, "/chat/1").await;
}
