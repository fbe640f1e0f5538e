//! What back ends get beside the first try of each request: repeats, and requests meant for processes that are gone.

use std::time::Duration;

use http::StatusCode;
use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY, runner::Behaviour};
use serde_json::Value;
use tokio::net::TcpSocket;

use crate::router::{Router, gauge};

/// Requests that a test sends one after the other.
const REQUESTS: usize = 30;
/// Repeats that a node alone may make beside its requests' share: half of the slack in the router's settings.
const RETRY_SLACK_ALONE: u64 = 28;

/// Addresses that are held, and on which nobody listens.
fn closed_addresses(count: usize) -> Vec<TcpSocket> {
    let closed = || {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("an address on loopback");
        socket
    };
    (0..count).map(|_| closed()).collect()
}

/// Lines of one event.
fn lines_of(router: &Router, event: &str) -> Vec<Value> {
    let parsed = router.lines().into_iter().filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    parsed.filter(|line| line["event"] == event).collect()
}

/// When 90 of 100 engines crashed at once, requests were placed up to five times on engines that refused connections, and
/// each placement counted as a new request: 4,102 connections were refused, and 856 requests met four of them. The budget
/// grew by five shares a request, and 535 repeats reached the engines where 430 were allowed.
#[tokio::test]
async fn a_request_earns_its_share_of_repeats_once_however_many_connections_are_refused() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let closed = closed_addresses(cluster.engines.len());
    for (engine, socket) in cluster.engines.iter().zip(&closed) {
        cluster.register_at(engine, "ready", socket.local_addr().expect("an address"));
    }
    let router = Router::start_first(&cluster).await;
    router.until("counted", async || gauge(&router, "paddlemount_forward_nodes").await == Some(1.0)).await;
    for number in 0..REQUESTS {
        let response = router.send("/claim/1", &format!("refused-{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    router.until("logged", async || lines_of(&router, "request").len() >= REQUESTS).await;
    let ended = lines_of(&router, "attempt_ended");
    assert!(ended.len() > REQUESTS, "requests were placed more than once: {}", ended.len());
    let max = RETRY_SLACK_ALONE + REQUESTS as u64 / 5;
    let left: Vec<u64> = ended.iter().filter_map(|line| line["budget_left"].as_u64()).collect();
    // Nine tenths of the share are used, and half of these at once.
    let earned = RETRY_SLACK_ALONE + REQUESTS as u64 * 9 / 100;
    assert_eq!(left.last(), Some(&earned), "each request earns: {left:?}");
    assert!(left.iter().all(|left| *left <= max), "{left:?} for {REQUESTS} requests, {max} were earned");
}

/// When half of the engines had ended for good and their addresses had gone to another service, their entries still stood:
/// 747 requests reached the wrong process over 125 pairs of node and back end, up to 29 a pair. When 90 of 100 engines came
/// back under new identities at their old addresses, one node asked one of those that were gone 88 times. Each of these is
/// an arrival at a service that may be allowed hardly any.
#[tokio::test]
async fn a_back_end_whose_address_another_process_has_is_asked_once_at_most() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    let gone = &cluster.bookings[0];
    let id = gone.id();
    gone.crash();
    router.until("whole again", async || cluster.all_running()).await;
    cluster.register_stale(&id, gone);
    let reappeared = async || {
        let changes = lines_of(&router, "backend_changed");
        let appeared = |line: &&Value| line["backend"] == id.as_str() && line["change"] == "appeared";
        changes.iter().filter(appeared).count() == 2
    };
    router.until("informed of the old entry", reappeared).await;
    for number in 0..REQUESTS * 2 {
        let response = router.send("/quote/1", &format!("quote-{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let misdirected = gone.seen().into_iter().filter(|seen| seen.intended_for == id && !seen.ran).count();
    assert!(misdirected <= 1, "{misdirected} requests were sent to a process that is gone");
    let ran = gone.seen().into_iter().filter(|seen| seen.ran && seen.intended_for == gone.id()).count();
    assert!(ran > 0, "the process that has the address gets work of its own");
}

/// One request went on from one wrong address to the next, to four of them: where half of the addresses had been taken over,
/// the next one was wrong as often as the first.
#[tokio::test]
async fn a_request_goes_on_from_a_wrong_address_once_and_is_refused_then() {
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
        assert!(
            response.headers.contains_key(http::header::RETRY_AFTER),
            "the caller is told when to come back"
        );
    }
    let seen: Vec<_> = cluster.engines.iter().flat_map(Runner::seen).collect();
    assert_eq!(seen.len(), cluster.engines.len(), "each back end that is gone is asked once");
    for number in 0..REQUESTS {
        let id = format!("wrong-{number}");
        assert!(seen.iter().filter(|seen| seen.id == id).count() <= 2, "{id} went on more than once");
    }
    cluster.engines.iter().for_each(|engine| cluster.register(engine, "ready"));
    let served = async || {
        router.send("/claim/1", "served").await.is_some_and(|response| response.status == StatusCode::OK)
    };
    router.until("serving", served).await;
}

/// Where the budget of a service began with the first answer, a node's first request waited for a silent back end to its end.
/// Which of two instances that request goes to is drawn: several nodes are asked.
#[tokio::test]
async fn the_first_request_of_a_node_may_leave_a_silent_back_end() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    for number in 0..6 {
        let router = Router::start(&cluster).await;
        cluster.bookings[0].script(&[Behaviour::Hangs]);
        let response = router.send("/quote/1", &format!("first-{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    }
}
