//! Retries and misdirected requests that back ends receive beyond the first attempt of each request.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY, runner::Behaviour};
use serde_json::Value;
use tokio::net::TcpSocket;

use crate::router::Router;

/// Number of requests in a test.
const REQUESTS: usize = 30;
/// Retries that a single node saves up beside its percentage: 18 in 100 of the configured slack.
const SAVED_ALONE: u64 = 10;
/// How long it takes to save them up.
const SAVING_TIME: Duration = Duration::from_secs(6);

/// Binds sockets without listening, so that their addresses refuse connections.
fn closed_addresses(count: usize) -> Vec<TcpSocket> {
    let closed = || {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("an address on loopback");
        socket
    };
    (0..count).map(|_| closed()).collect()
}

/// Log lines of one event.
fn lines_of(router: &Router, event: &str) -> Vec<Value> {
    let parsed = router.lines().into_iter().filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    parsed.filter(|line| line["event"] == event).collect()
}

/// A request that meets several refused connections must add to the retry budget only once.
#[tokio::test]
async fn a_request_adds_to_the_retry_budget_once_even_if_several_connections_are_refused() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let closed = closed_addresses(cluster.engines.len());
    for (engine, socket) in cluster.engines.iter().zip(&closed) {
        cluster.register_at(engine, "ready", socket.local_addr().expect("an address"));
    }
    let router = Router::start_first(&cluster).await;
    router.wait_for_retry_reserve().await;
    tokio::time::sleep(SAVING_TIME).await;
    // All at once, before the node concludes that it reaches no engine and sends nothing any more.
    let calls = (0..REQUESTS).map(async |number| router.send("/claim/1", &format!("refused-{number}")).await);
    for response in join_all(calls).await {
        assert_eq!(response.expect("an answer").status, StatusCode::SERVICE_UNAVAILABLE);
    }
    router.wait_until("logged", async || lines_of(&router, "request").len() >= REQUESTS).await;
    let ended = lines_of(&router, "attempt_ended");
    assert!(ended.len() > REQUESTS, "requests were placed more than once: {}", ended.len());
    let left: Vec<u64> = ended.iter().filter_map(|line| line["budget_left"].as_u64()).collect();
    // The node uses nine tenths of the percentage, half of them at once.
    let earned = SAVED_ALONE + REQUESTS as u64 * 9 / 100;
    // One more is gained within the present step of the window, and fractions add up to one more at most.
    let allowed = earned..=earned + 2;
    assert!(left.last().is_some_and(|left| allowed.contains(left)), "each request earns: {left:?}");
    assert!(left.iter().all(|left| left <= allowed.end()), "{left:?} retries left after {REQUESTS} requests");
}

/// A stale entry whose address belongs to another process must receive at most one request per node.
#[tokio::test]
async fn a_stale_address_gets_at_most_one_misdirected_request() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    let runner = &cluster.bookings[0];
    let id = runner.id();
    runner.crash();
    router.wait_until("running again", async || cluster.all_running()).await;
    cluster.register_stale(&id, runner);
    let reappeared = async || {
        let changes = lines_of(&router, "backend_changed");
        let appeared = |line: &&Value| line["backend"] == id.as_str() && line["change"] == "appeared";
        changes.iter().filter(appeared).count() == 2
    };
    router.wait_until("informed of the stale entry", reappeared).await;
    for number in 0..REQUESTS * 2 {
        let response = router.send("/quote/1", &format!("quote-{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let misdirected = runner.seen().into_iter().filter(|seen| seen.intended_for == id && !seen.ran).count();
    assert!(misdirected <= 1, "{misdirected} requests were sent to a process that has exited");
    let ran = runner.seen().into_iter().filter(|seen| seen.ran && seen.intended_for == runner.id()).count();
    assert!(ran > 0, "the process at the address gets requests under its own name");
}

/// A request that meets a stale address must be retried at most once.
#[tokio::test]
async fn a_misdirected_request_is_retried_at_most_once() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    for (number, engine) in cluster.engines.iter().enumerate() {
        cluster.unregister(engine);
        cluster.register_stale(&format!("gone-{number}"), engine);
    }
    let router = Router::start(&cluster).await;
    for number in 0..REQUESTS {
        let response = router.send("/claim/1", &format!("wrong-{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key(http::header::RETRY_AFTER), "the refusal has a retry-after");
    }
    let seen: Vec<_> = cluster.engines.iter().flat_map(Runner::seen).collect();
    assert_eq!(seen.len(), cluster.engines.len(), "each stale entry gets one request");
    for number in 0..REQUESTS {
        let id = format!("wrong-{number}");
        assert!(seen.iter().filter(|seen| seen.id == id).count() <= 2, "{id} was retried more than once");
    }
    cluster.engines.iter().for_each(|engine| cluster.register(engine, "ready"));
    let served = async || {
        router.send("/claim/1", "served").await.is_some_and(|response| response.status == StatusCode::OK)
    };
    router.wait_until("serving", served).await;
}

/// The first request of a node must be able to leave an unresponsive back end, so the budget must not start
/// at zero. Several nodes are started because the choice of the instance is random.
#[tokio::test]
async fn the_first_request_of_a_node_may_be_retried_after_an_unresponsive_back_end() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    for number in 0..6 {
        let router = Router::start_at(cluster.store_address, &format!("node-{number}")).await;
        router.wait_until("ready", async || router.fetch_readiness().await == Some(StatusCode::OK)).await;
        cluster.bookings[0].script(&[Behaviour::Hangs]);
        let response = router.send("/quote/1", &format!("first-{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    }
}
