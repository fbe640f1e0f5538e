//! Answers that end with their connection, and streams that end inside an event.

use http::StatusCode;
use paddlemount_platform_standin::{Behaviour, Cluster, Runner, cluster::KEY};

use crate::{delivery::COMPLETE_STREAM, router::Router};

const ATTEMPTS: usize = 4;

async fn cluster_and_router() -> (Cluster, Router) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    (cluster, router)
}

fn script_all(runners: &[Runner], behaviours: &[Behaviour]) {
    runners.iter().for_each(|runner| runner.script(behaviours));
}

/// Checks that answers are delivered whole although only the end of the connection ends them.
async fn check_is_whole(path: &str, body: &str) {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.engines, &[Behaviour::Unframed; ATTEMPTS]);
    script_all(&cluster.bookings, &[Behaviour::Unframed; ATTEMPTS]);
    // More than the scripted ones, so that connections are used again where that is possible.
    for number in 0..6 * ATTEMPTS {
        let answer = router.send(path, &format!("u{number}")).await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_str(), answer.complete), (StatusCode::OK, body, true));
    }
}

#[tokio::test]
async fn plain_answers_without_a_length_are_whole() {
    check_is_whole("/hold/1", "whole body").await;
    check_is_whole("/quote/1", "whole body").await;
}

#[tokio::test]
async fn streams_without_chunks_are_whole() {
    check_is_whole("/chat/1", COMPLETE_STREAM).await;
    check_is_whole("/claim/1", COMPLETE_STREAM).await;
}

/// Checks that a stream which ends inside an event counts as broken off.
async fn check_is_broken_off(behaviour: Behaviour) {
    let (cluster, router) = cluster_and_router().await;
    script_all(&cluster.engines, &[behaviour]);
    let answer = router.send("/chat/1", "broken").await.expect("an answer");
    assert!(!answer.complete, "it looks complete: {}", answer.body);
    let whole_events =
        COMPLETE_STREAM.match_indices("id: 3").next().map_or("", |(end, _)| &COMPLETE_STREAM[..end]);
    assert_eq!(answer.body, whole_events, "only whole events are delivered");
    // Each request may need a retry.
    router.wait_for_retry_reserve().await;
    script_all(&cluster.engines, &[]);
    for number in 0..12 {
        cluster.engines[0].script(&[behaviour]);
        let answer = router.send("/claim/1", &format!("resumed-{number}")).await.expect("an answer");
        assert_eq!((answer.body.as_str(), answer.complete), (COMPLETE_STREAM, true));
    }
}

#[tokio::test]
async fn a_stream_whose_connection_ends_inside_an_event_is_broken_off() {
    check_is_broken_off(Behaviour::UnframedBreaksInEvent).await;
}

#[tokio::test]
async fn a_stream_that_ends_regularly_inside_an_event_is_broken_off() {
    check_is_broken_off(Behaviour::EndsInEvent).await;
}
