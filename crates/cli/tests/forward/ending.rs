//! Graceful shutdown, loss of all nodes, and connections that time out.

use std::time::{Duration, Instant};

use http::StatusCode;
use paddlemount_platform_standin::{Behaviour, Cluster, cluster::KEY};

use crate::{raw_caller::RawCaller, router::Router};

/// A key that the operator removes.
const REMOVED_KEY: &str = "key-that-goes";

#[tokio::test]
async fn a_planned_stop_takes_the_node_out_first_and_cuts_off_no_stream() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let mut router = Router::start(&cluster).await;
    for engine in &cluster.engines {
        engine.script(&[Behaviour::Slow]);
    }
    let (response, ()) = tokio::join!(router.send("/chat/1", "a1"), async {
        router
            .wait_until("running", async || cluster.engines.iter().any(|engine| engine.runs("a1") == 1))
            .await;
        router.terminate();
        let unready = async || router.fetch_readiness().await == Some(StatusCode::SERVICE_UNAVAILABLE);
        router.wait_until("unready", unready).await;
    });
    let response = response.expect("an answer");
    assert!(response.complete, "{response:?}");
    assert!(response.body.ends_with("id: 5\ndata: piece 5 by v1\n\n"));
    assert!(router.wait_for_exit().await, "the process exits with success");
    assert!(router.logged("stopping") && router.logged("stopped"));
}

#[tokio::test]
async fn the_lease_is_released_at_a_planned_stop() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let mut router = Router::start(&cluster).await;
    router.wait_until("leading", async || router.logged("leadership_gained")).await;
    router.terminate();
    assert!(router.wait_for_exit().await);
    assert!(!cluster.has_leader());
}

#[tokio::test]
async fn an_acknowledged_configuration_survives_the_loss_of_all_nodes() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY, REMOVED_KEY]);
    for version in 2..6 {
        let names = ["node-1", "node-2", "node-3"];
        let mut routers = Vec::new();
        for name in names {
            routers.push(Router::start_at(cluster.store_address, name).await);
        }
        for router in &routers {
            router.wait_until("ready", async || router.fetch_readiness().await == Some(StatusCode::OK)).await;
        }
        // The store has accepted it, and possibly no node has observed it yet.
        let keys: &[&str] = if version % 2 == 0 { &[KEY] } else { &[KEY, REMOVED_KEY] };
        cluster.configure(version, keys);
        for router in &routers {
            router.signal("-KILL");
        }
        let router = Router::start_at(cluster.store_address, names[0]).await;
        let answered = async || {
            let response = router.send_with_key("/hold/1", &format!("lost-{version}"), REMOVED_KEY).await;
            let status = response.expect("an answer").status;
            let expected = if version % 2 == 0 { StatusCode::UNAUTHORIZED } else { StatusCode::OK };
            assert!(status == expected || status == StatusCode::SERVICE_UNAVAILABLE, "{version}: {status}");
            status == expected
        };
        router.wait_until("serving by the acknowledged configuration", answered).await;
    }
}

#[tokio::test]
async fn an_incomplete_head_keeps_a_connection_open_no_longer_than_the_idle_timeout() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_idle(1, &[KEY], 300);
    let router = Router::start(&cluster).await;
    let mut caller = RawCaller::connect(router.callers).await;
    caller.write(b"POST /hold/1 HTTP/1.1\r\nHost: pl").await;
    let closed = async || !caller.is_open();
    router.wait_until("closed", closed).await;
}

/// Returns whether a process runs; a zombie does not.
fn runs(process: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/stat"));
    status.is_ok_and(|status| !status.rsplit(')').next().is_some_and(|rest| rest.trim().starts_with('Z')))
}

/// Nodes that outlive a killed test would send requests to addresses that other tests use by then.
#[test]
fn a_node_is_killed_when_the_test_that_started_it_ends() {
    let test = std::thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let cluster = Cluster::start().await.expect("the cluster starts");
            let router = Router::start_unready(&cluster).await;
            let process = router.process_id();
            assert!(runs(process));
            std::mem::forget(router);
            process
        })
    });
    let process = test.join().expect("a node starts");
    let ended_at = Instant::now();
    while runs(process) {
        assert!(ended_at.elapsed() < Duration::from_secs(5), "process {process} still runs");
        std::thread::sleep(Duration::from_millis(10));
    }
}
