//! Delivery of single requests as observed by callers and back ends.

use http::StatusCode;
use paddlemount_platform_standin::{Behaviour, Cluster, Runner, cluster::KEY};

use crate::router::Router;

/// The events of a complete stream.
pub const COMPLETE_STREAM: &str = "id: 1\ndata: piece 1 by v1\n\nid: 2\ndata: piece 2 by v1\n\n\
                                   id: 3\ndata: piece 3 by v1\n\nid: 4\ndata: piece 4 by v1\n\n\
                                   id: 5\ndata: piece 5 by v1\n\n";

/// The same from an engine with this version of the software.
pub fn complete_stream(software: &str) -> String {
    COMPLETE_STREAM.replace("by v1", &format!("by {software}"))
}

async fn cluster_and_router() -> (Cluster, Router) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    (cluster, router)
}

/// Scripts all back ends alike, since the choice among them is random.
fn script_all(runners: &[Runner], behaviours: &[Behaviour]) {
    for runner in runners {
        runner.script(behaviours);
    }
}

fn runs(runners: &[Runner], id: &str) -> usize {
    runners.iter().map(|runner| runner.runs(id)).sum()
}

#[tokio::test]
async fn a_request_arrives_unchanged_under_its_tenants_name_and_without_its_key() {
    let (cluster, router) = cluster_and_router().await;
    let response = router.send("/hold/1", "r1").await.expect("an answer");
    assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "whole body"));
    assert!(response.headers.contains_key(Cluster::SIGNATURE));
    let seen: Vec<_> = cluster.bookings.iter().flat_map(Runner::seen).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(
        (seen[0].tenant.as_str(), seen[0].had_authorization, seen[0].body.as_slice()),
        ("alpha", false, &b"the body"[..])
    );
    assert!(cluster.bookings.iter().any(|runner| runner.id() == seen[0].intended_for));
    assert!(seen[0].deadline_ms > 0 && seen[0].deadline_ms <= 3_500);
}

#[tokio::test]
async fn a_stream_is_forwarded_completely_and_in_order() {
    let (cluster, router) = cluster_and_router().await;
    let response = router.send("/chat/1", "s1").await.expect("an answer");
    assert_eq!(
        (response.status, response.body.as_str(), response.complete),
        (StatusCode::OK, COMPLETE_STREAM, true)
    );
    let seen: Vec<_> = cluster.engines.iter().flat_map(Runner::seen).collect();
    assert!(
        seen[0].scope.contains("m0/1/alpha"),
        "an isolated tenant has a scope of its own: {}",
        seen[0].scope
    );
}

#[tokio::test]
async fn unknown_routes_and_keys_are_refused_and_nothing_runs() {
    let (cluster, router) = cluster_and_router().await;
    assert_eq!(router.send("/nowhere/", "n1").await.expect("an answer").status, StatusCode::NOT_FOUND);
    let response = router.send_with_key("/hold/1", "n2", "no-such-key").await.expect("an answer");
    assert_eq!(response.status, StatusCode::UNAUTHORIZED);
    assert!(cluster.bookings.iter().all(|runner| runner.seen().is_empty()));
}

#[tokio::test]
async fn an_at_most_once_request_that_may_have_run_is_not_sent_again() {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.bookings, &[Behaviour::Breaks]);
    let response = router.send("/hold/1", "b1").await.expect("an answer");
    assert_eq!(response.status, StatusCode::BAD_GATEWAY, "no promise may be made: {}", response.body);
    assert_eq!(runs(&cluster.bookings, "b1"), 1);
}

#[tokio::test]
async fn an_at_most_once_request_that_was_not_run_goes_to_another_back_end() {
    let (cluster, router) = cluster_and_router().await;
    cluster.bookings[0].script(&[Behaviour::Sheds; 4]);
    for number in 0..4 {
        let id = format!("c{number}");
        let response = router.send("/hold/1", &id).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        assert_eq!(runs(&cluster.bookings, &id), 1);
    }
}

#[tokio::test]
async fn if_all_back_ends_refuse_the_refusal_has_a_retry_after() {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.bookings, &[Behaviour::Sheds; 4]);
    let response = router.send("/hold/1", "d1").await.expect("an answer");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key(http::header::RETRY_AFTER));
    assert_eq!(runs(&cluster.bookings, "d1"), 0);
}

#[tokio::test]
async fn a_repeatable_request_is_retried_after_a_broken_connection_or_a_failure() {
    let (cluster, router) = cluster_and_router().await;
    for (id, behaviour) in [("e1", Behaviour::Breaks), ("e2", Behaviour::Fails)] {
        cluster.bookings[0].script(&[behaviour]);
        cluster.bookings[1].script(&[]);
        let mut sent = 0;
        // The choice is random, so send requests until some request meets the faulty back end.
        while cluster.bookings[0].seen().len() <= sent / 8 && sent < 40 {
            let response = router.send("/quote/1", &format!("{id}-{sent}")).await.expect("an answer");
            assert_eq!(response.status, StatusCode::OK, "{}", response.body);
            sent += 1;
        }
    }
}

#[tokio::test]
async fn a_resumable_stream_goes_on_behind_the_last_whole_event() {
    let (cluster, router) = cluster_and_router().await;
    // Each request may need a retry.
    router.wait_for_retry_reserve().await;
    script_all(&cluster.engines, &[Behaviour::BreaksInEvent]);
    for runner in &cluster.engines[1..] {
        runner.script(&[]);
    }
    for number in 0..12 {
        cluster.engines[0].script(&[Behaviour::BreaksInEvent]);
        let response = router.send("/claim/1", &format!("f{number}")).await.expect("an answer");
        assert_eq!((response.body.as_str(), response.complete), (COMPLETE_STREAM, true));
    }
    let resumed = cluster.engines.iter().flat_map(Runner::seen).filter(|seen| seen.resumes_after.is_some());
    assert!(resumed.clone().all(|seen| seen.resumes_after == Some(2)));
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_ends_visibly_broken() {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.engines, &[Behaviour::BreaksInEvent]);
    let response = router.send("/chat/1", "g1").await.expect("a head");
    assert!(!response.complete, "a broken stream must not look complete");
    assert_eq!(response.body, "id: 1\ndata: piece 1 by v1\n\nid: 2\ndata: piece 2 by v1\n\n");
    assert_eq!(runs(&cluster.engines, "g1"), 1);
}

#[tokio::test]
async fn an_answer_to_another_request_is_never_passed_on() {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.bookings, &[Behaviour::AnswersAnother]);
    let response = router.send("/hold/1", "h1").await.expect("an answer");
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.body.contains("not yours"));
}

#[tokio::test]
async fn a_surplus_answer_reaches_nobody() {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.bookings, &[Behaviour::AnswersTwice; 3]);
    for number in 0..8 {
        let response = router.send("/hold/1", &format!("i{number}")).await.expect("an answer");
        assert!(response.status != StatusCode::OK || response.body == "whole body", "{response:?}");
    }
}

#[tokio::test]
async fn a_repeatable_request_is_retried_after_an_unresponsive_back_end() {
    let (cluster, router) = cluster_and_router().await;
    cluster.bookings[0].script(&[Behaviour::Hangs; 2]);
    for number in 0..6 {
        let response = router.send("/quote/1", &format!("j{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    }
}

#[tokio::test]
async fn silence_ends_no_stream_that_nobody_else_can_go_on_with() {
    let (cluster, router) = cluster_and_router().await;
    for engine in &cluster.engines[1..] {
        cluster.drain(engine);
    }
    let left =
        async || router.lines().iter().filter(|line| line.contains("\"change\":\"leaving\"")).count() == 2;
    router.wait_until("one engine left", left).await;
    cluster.engines[0].script(&[Behaviour::FallsSilent]);
    let response = router.send("/claim/1", "l1").await.expect("an answer");
    assert_eq!((response.body.as_str(), response.complete), (COMPLETE_STREAM, true));
    assert_eq!(runs(&cluster.engines, "l1"), 1);
}

#[tokio::test]
async fn a_stalled_stream_is_resumed_at_another_back_end_if_the_route_allows_it() {
    let (cluster, router) = cluster_and_router().await;
    cluster.engines[0].script(&[Behaviour::FallsSilent; 3]);
    for number in 0..6 {
        let response = router.send("/claim/1", &format!("m{number}")).await.expect("an answer");
        assert_eq!((response.body.as_str(), response.complete), (COMPLETE_STREAM, true));
    }
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_back_end() {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.engines, &[Behaviour::Slow]);
    let leaving =
        tokio::time::timeout(std::time::Duration::from_millis(400), router.send("/chat/1", "k1")).await;
    assert!(leaving.is_err());
    let closed = async || cluster.engines.iter().map(Runner::closed_by_caller).sum::<u32>() == 1;
    router.wait_until("closed at the back end", closed).await;
}
