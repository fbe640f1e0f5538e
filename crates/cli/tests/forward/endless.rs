//! Back ends that send bytes without end: in a head, in a body, or in one event of a stream.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::{Behaviour, Cluster, Runner, cluster::KEY};

use crate::{
    process::Usage,
    router::{CallerResponse, Router},
};

/// Concurrent requests that meet such a back end.
const CALLERS: usize = 6;
/// The deadline that the callers of tests state.
const DEADLINE: Duration = Duration::from_millis(3_500);
/// Resident memory that a node may reach, in kilobytes: the smallest machines have 88 MB.
const MAX_RESIDENT_KB: u64 = 80 * 1_024;

/// Sends requests to back ends that answer all of them without end, and returns the answers.
async fn answers_of(behaviour: Behaviour, path: &str) -> Vec<CallerResponse> {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    let runners: Vec<Runner> = cluster.engines.iter().chain(&cluster.bookings).cloned().collect();
    runners.iter().for_each(|runner| runner.script(&[behaviour; 8 * CALLERS]));
    let began = Instant::now();
    let calls = (0..CALLERS).map(async |number| router.send(path, &format!("endless-{number}")).await);
    let answers = futures_util::future::join_all(calls).await;
    assert!(began.elapsed() < DEADLINE, "answered after {:?}", began.elapsed());
    let peak = Usage::of(&router).peak_resident_kb;
    assert!(peak < MAX_RESIDENT_KB, "{peak} KB resident, at most {MAX_RESIDENT_KB}");
    let ran: usize = runners.iter().flat_map(Runner::seen).filter(|seen| seen.ran).count();
    let closed = async || runners.iter().map(Runner::closed_by_caller).sum::<u32>() as usize == ran;
    router.wait_until("closed", closed).await;
    answers.into_iter().map(|answer| answer.expect("an answer")).collect()
}

/// None of the bytes may look like an answer, and no answer may state that the request was not run.
fn check_may_have_run(answers: &[CallerResponse]) {
    for answer in answers {
        assert_eq!(answer.status, http::StatusCode::BAD_GATEWAY, "{}", answer.body);
        assert!(!answer.body.contains("no answer, sixty-four"), "{}", answer.body);
    }
}

#[tokio::test]
async fn a_head_without_end_is_no_answer() {
    check_may_have_run(&answers_of(Behaviour::EndlessHead, "/hold/1").await);
    check_may_have_run(&answers_of(Behaviour::EndlessHead, "/chat/1").await);
}

#[tokio::test]
async fn a_body_without_end_is_no_answer() {
    check_may_have_run(&answers_of(Behaviour::EndlessBody, "/hold/1").await);
}

/// An event without an end used to be kept in memory until the deadline of its request.
#[tokio::test]
async fn an_event_without_end_breaks_its_stream() {
    for answer in answers_of(Behaviour::EndlessEvent, "/chat/1").await {
        assert!(!answer.complete, "it looks complete");
        assert!(answer.body.ends_with("\n\n"), "a part of an event is delivered: {}", answer.body.len());
        assert!(!answer.body.contains("no answer, sixty-four"), "{}", answer.body);
    }
}
