//! Answers that stop in their head, right after it, or in their body, or that contradict themselves.

use http::StatusCode;
use paddlemount_platform_standin::{Behaviour, Cluster, Cut, Framing, Malformation, cluster::KEY};

use crate::{
    delivery::COMPLETE_STREAM,
    router::{CallerResponse, Router, metric_value},
};

const PATHS: [&str; 4] = ["/chat/1", "/claim/1", "/hold/1", "/quote/1"];
/// The number of bytes between two cuts that are tried.
const CUT_STEP: usize = 17;
/// More than a request has.
const ATTEMPTS: usize = 4;
/// The id of each request, which is in the head.
const ID: &str = "cut-answer";
/// The bytes of the longest answer.
const ANSWER_BYTES: usize = 420;

fn is_stream(path: &str) -> bool {
    path.starts_with("/chat/") || path.starts_with("/claim/")
}

fn is_repeatable(path: &str) -> bool {
    path.starts_with("/claim/") || path.starts_with("/quote/")
}

fn whole_body(path: &str) -> &'static str {
    if is_stream(path) { COMPLETE_STREAM } else { "whole body" }
}

/// A cluster and a node that reaches its servers.
async fn reached_directly() -> (Cluster, Vec<Router>) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    (cluster, vec![router])
}

/// A cluster and two nodes, of which the first reaches the servers only through the second.
async fn reached_through_another_node() -> (Cluster, Vec<Router>) {
    let (cluster, routers) = crate::partitioned::fleet(2).await;
    cluster.partition.cut(crate::partitioned::source(0), Cut::Reset);
    let is_handed_on = async || {
        let answer = routers[0].send("/quote/1", "handed-on").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
            && routers[1].fetch_metrics().await.contains("paddlemount_forward_requests_taken_over_total")
    };
    routers[0].wait_until("handing on", is_handed_on).await;
    (cluster, routers)
}

/// Sends a request that each server answers in this way, once.
async fn send(
    cluster: &Cluster,
    router: &Router,
    path: &str,
    behaviour: Behaviour,
) -> Option<CallerResponse> {
    let servers = if is_stream(path) { &cluster.engines } else { &cluster.bookings };
    servers.iter().for_each(|server| server.script(&[behaviour]));
    router.send(path, ID).await
}

/// Checks that an answer which looks whole is whole.
fn check(path: &str, behaviour: Behaviour, answer: Option<CallerResponse>) {
    let Some(answer) = answer.filter(|answer| answer.status.is_success() && answer.complete) else { return };
    assert_eq!(answer.body, whole_body(path), "{path}, {behaviour:?}: {answer:?}");
}

async fn check_cuts(cluster: &Cluster, router: &Router) {
    for path in PATHS {
        for framing in [Framing::Length, Framing::Chunks] {
            for bytes in (0..ANSWER_BYTES).step_by(CUT_STEP) {
                let behaviour = Behaviour::Cut { framing, bytes, crashes: false };
                check(path, behaviour, send(cluster, router, path, behaviour).await);
            }
        }
        let server = if is_stream(path) { &cluster.engines[0] } else { &cluster.bookings[0] };
        let head = server.unframed_head_length(ID, is_stream(path));
        for bytes in (0..head).step_by(CUT_STEP).chain([head - 1, head]) {
            let behaviour = Behaviour::Cut { framing: Framing::None, bytes, crashes: false };
            check(path, behaviour, send(cluster, router, path, behaviour).await);
        }
    }
}

#[tokio::test]
async fn an_answer_that_stops_in_or_after_its_head_is_not_framed_as_whole() {
    let (cluster, routers) = reached_directly().await;
    check_cuts(&cluster, &routers[0]).await;
}

#[tokio::test]
async fn an_answer_that_stops_in_or_after_its_head_is_not_framed_as_whole_by_two_nodes() {
    let (cluster, routers) = reached_through_another_node().await;
    check_cuts(&cluster, &routers[0]).await;
}

/// Checks answers that contradict themselves, and that no answer after them is affected.
async fn check_malformed(cluster: &Cluster, router: &Router) {
    for (number, path) in PATHS.into_iter().enumerate() {
        for malformation in Malformation::ALL {
            let behaviour = Behaviour::Malformed(malformation);
            let servers = if is_stream(path) { &cluster.engines } else { &cluster.bookings };
            servers.iter().for_each(|server| server.script(&[behaviour; ATTEMPTS]));
            let id = format!("malformed-{number}-{malformation:?}");
            let answer = router.send(path, &id).await;
            let has_run = servers.iter().any(|server| server.has_run(&id));
            let is_refused =
                answer.as_ref().is_some_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE);
            assert!(!has_run || is_repeatable(path) || !is_refused, "{path}, {malformation:?}: {answer:?}");
            if malformation.is_whole() && has_run {
                let body = answer.as_ref().map(|answer| answer.body.as_str());
                assert_eq!(body, Some(whole_body(path)), "{path}, {malformation:?}: {answer:?}");
            }
            check(path, behaviour, answer);
            servers.iter().for_each(|server| server.script(&[]));
            wait_until_served(router, path).await;
        }
    }
}

/// Sends sound requests until one is served, as the back ends may be avoided after their failures.
async fn wait_until_served(router: &Router, path: &str) {
    let is_served = async || {
        let answer = router.send(path, "sound").await.expect("an answer");
        let is_served = answer.status == StatusCode::OK && answer.complete;
        check(path, Behaviour::Well, Some(answer));
        is_served
    };
    router.wait_until("served", is_served).await;
}

#[tokio::test]
async fn an_answer_that_contradicts_itself_is_not_framed_as_whole() {
    let (cluster, routers) = reached_directly().await;
    check_malformed(&cluster, &routers[0]).await;
}

#[tokio::test]
async fn an_answer_that_contradicts_itself_is_not_framed_as_whole_by_two_nodes() {
    let (cluster, routers) = reached_through_another_node().await;
    check_malformed(&cluster, &routers[0]).await;
}

/// Without a length, only the back end's end shows that the rest of its answer is missing.
#[tokio::test]
async fn an_unframed_answer_whose_back_end_crashes_is_not_framed_as_whole() {
    let (cluster, routers) = reached_directly().await;
    for path in PATHS {
        let server = if is_stream(path) { &cluster.engines[0] } else { &cluster.bookings[0] };
        let head = server.unframed_head_length(ID, is_stream(path));
        // In the first words of a body, and between two events.
        let first_event = COMPLETE_STREAM.find("\n\n").map_or(0, |end| end + 2);
        let bytes = head + if is_stream(path) { first_event } else { 5 };
        let behaviour = Behaviour::Cut { framing: Framing::None, bytes, crashes: true };
        check(path, behaviour, send(&cluster, &routers[0], path, behaviour).await);
        routers[0].wait_until("running again", async || cluster.all_running()).await;
    }
}

/// A stream whose first events and end arrive at once is begun, and then broken off.
async fn check_is_begun_and_broken_off(cluster: &Cluster, router: &Router) {
    let head = cluster.engines[0].unframed_head_length(ID, true);
    // In the third event, behind the length.
    let bytes = head + "Content-Length: 000\r\n".len() + 2 * COMPLETE_STREAM.len() / 5 + 4;
    let behaviour = Behaviour::Cut { framing: Framing::Length, bytes, crashes: false };
    let mut begun = 0;
    for _ in 0..8 {
        let answer =
            send(cluster, router, "/chat/1", behaviour).await.expect("an answer, not a closed connection");
        if answer.status == StatusCode::OK {
            begun += 1;
            assert!(!answer.complete, "{answer:?}");
            let events = COMPLETE_STREAM.find("id: 3").map_or("", |end| &COMPLETE_STREAM[..end]);
            assert_eq!(answer.body, events);
        }
        cluster.engines.iter().for_each(|engine| engine.script(&[]));
        wait_until_served(router, "/chat/1").await;
    }
    assert!(begun > 0, "no stream began");
}

#[tokio::test]
async fn a_stream_whose_first_events_and_end_arrive_at_once_is_answered() {
    let (cluster, routers) = reached_directly().await;
    check_is_begun_and_broken_off(&cluster, &routers[0]).await;
}

#[tokio::test]
async fn a_stream_whose_first_events_and_end_arrive_at_once_is_answered_by_two_nodes() {
    let (cluster, routers) = reached_through_another_node().await;
    check_is_begun_and_broken_off(&cluster, &routers[0]).await;
}

/// A resumable stream that stops before its first event goes on elsewhere.
#[tokio::test]
async fn a_resumable_stream_that_stops_after_its_unframed_head_goes_on_elsewhere() {
    let (cluster, routers) = reached_directly().await;
    let is_counted = async || routers[0].fetch_metrics().await.contains("paddlemount_forward_nodes 1");
    routers[0].wait_until("counted", is_counted).await;
    let bytes = cluster.engines[0].unframed_head_length(ID, true);
    let behaviour = Behaviour::Cut { framing: Framing::None, bytes, crashes: false };
    let mut cut = 0;
    for _ in 0..12 {
        cluster.engines[0].script(&[behaviour]);
        let answer = routers[0].send("/claim/1", ID).await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, COMPLETE_STREAM));
        assert!(answer.complete);
        cut = cluster.engines[0].seen().iter().filter(|seen| seen.ran).count();
    }
    assert!(cut > 0, "some streams began at the engine that cuts them");
    let counted = metric_value(&routers[0], "paddlemount_forward_unframed_answers_broken_total").await;
    assert!(counted.is_some_and(|counted| counted > 0.0), "{counted:?}");
}
