//! Draining and back-off announced in answers apply at the receiving node regardless of the registry, even
//! during an outage of the store.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{StatusCode, header};
use paddlemount_platform_standin::{
    Behaviour, Cluster, Identity, RestartPlan, Runner, cluster::KEY, store::StoreFault,
};
use serde_json::Value;

use crate::router::{CallerResponse, DRAIN_TIMEOUT, Router, metric_value};

/// The back-off that back ends request.
const BACK_OFF: Duration = Duration::from_secs(3);
const BACK_OFF_TEXT: &str = "3";
/// How long requests in flight may still arrive after an announcement.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(500);
/// Concurrent requests, enough to reach all back ends of a service.
const CONCURRENT_REQUESTS: usize = 6;
/// Longer than any test.
const MAX_TEST_TIME: Duration = Duration::from_secs(600);
/// Pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// How long callers continue after the time from which no request may arrive.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

async fn cluster() -> Cluster {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    cluster
}

async fn send(router: &Router, path: &str) -> CallerResponse {
    let id = format!("a-{}", rand::random::<u64>());
    router.send(path, &id).await.expect("an answer")
}

/// Sends concurrent requests for a while and returns the responses.
async fn send_for(router: &Router, path: &str, length: Duration) -> Vec<CallerResponse> {
    let until = Instant::now() + length;
    let mut answers = Vec::new();
    while Instant::now() < until {
        answers.extend(join_all((0..CONCURRENT_REQUESTS).map(|_| send(router, path))).await);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    answers
}

/// Sends concurrent requests until a runner has announced draining or a back-off in an answer, and returns
/// the time of that answer.
async fn send_until_announced(router: &Router, path: &str, runner: &Runner) -> Instant {
    let first_announcement =
        || runner.seen().into_iter().find(|seen| seen.announced_leaving || seen.retry_after.is_some());
    let is_announced = async || {
        join_all((0..CONCURRENT_REQUESTS).map(|_| send(router, path))).await;
        first_announcement().is_some()
    };
    router.wait_until("announced by an answer", is_announced).await;
    runner.accept_requests();
    first_announcement().expect("an answer with the announcement").at
}

/// Times after `from` at which requests arrived at a runner.
fn arrivals_after(runner: &Runner, from: Instant) -> Vec<Duration> {
    let after = runner.seen().into_iter().filter(|seen| seen.at > from);
    after.map(|seen| seen.at.saturating_duration_since(from)).collect()
}

/// Log lines of one event.
fn lines_of(router: &Router, event: &str) -> Vec<Value> {
    let parsed = router.lines().into_iter().filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    parsed.filter(|line| line["event"] == event).collect()
}

fn all_ok(answers: &[CallerResponse]) -> bool {
    answers.iter().all(|response| response.status == StatusCode::OK)
}

async fn check_draining_during_store_outage(path: &str, leaving: impl Fn(&Cluster) -> Runner) {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    router.wait_until("serving", async || send(&router, path).await.status == StatusCode::OK).await;
    let runner = leaving(&cluster);
    cluster.store.set_fault(StoreFault::Silent);
    runner.announce_leaving();
    let announced_at = send_until_announced(&router, path, &runner).await;
    let answers = send_for(&router, path, DRAIN_TIMEOUT + OBSERVATION_TIME).await;
    let late = arrivals_after(&runner, announced_at + DRAIN_TIMEOUT);
    assert!(late.is_empty(), "requests arrived this long after the announcement: {late:?}");
    assert!(all_ok(&answers), "the others serve");
    assert_eq!(lines_of(&router, "backend_leaving").len(), 1, "it is logged once");
}

#[tokio::test]
async fn a_draining_booking_instance_gets_no_requests_during_a_store_outage() {
    check_draining_during_store_outage("/quote/1", |cluster| cluster.bookings[0].clone()).await;
}

#[tokio::test]
async fn a_draining_engine_gets_no_requests_during_a_store_outage() {
    check_draining_during_store_outage("/claim/1", |cluster| cluster.engines[0].clone()).await;
}

#[tokio::test]
async fn a_registry_entry_does_not_revoke_announced_draining() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    let runner = &cluster.bookings[0];
    runner.announce_leaving();
    let announced_at = send_until_announced(&router, "/quote/1", runner).await;
    // Outdated entries: one that changes, and one that is registered again after a lapse.
    cluster.change_slots(runner, 9);
    send_for(&router, "/quote/1", DRAIN_TIMEOUT / 2).await;
    cluster.unregister(runner);
    send_for(&router, "/quote/1", DRAIN_TIMEOUT / 4).await;
    cluster.register(runner, "ready");
    let answers = send_for(&router, "/quote/1", DRAIN_TIMEOUT / 4 + OBSERVATION_TIME).await;
    let late = arrivals_after(runner, announced_at + DRAIN_TIMEOUT);
    assert!(late.is_empty(), "requests arrived this long after the announcement: {late:?}");
    assert!(all_ok(&answers), "the other one serves");
}

#[tokio::test]
async fn a_restart_ends_the_draining_of_the_earlier_process() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    let runner = &cluster.bookings[0];
    runner.announce_leaving();
    send_until_announced(&router, "/quote/1", runner).await;
    runner.crash_with(RestartPlan { after: Duration::from_millis(100), identity: Identity::Same });
    router.wait_until("running again", async || cluster.all_running()).await;
    let back = Instant::now();
    let serves = async || {
        send(&router, "/quote/1").await;
        !arrivals_after(runner, back).is_empty()
    };
    router.wait_until("serving again", serves).await;
}

#[tokio::test]
async fn if_all_back_ends_drain_they_serve_until_the_timeout_and_then_requests_are_refused_at_once() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    router.wait_until("serving", async || send(&router, "/quote/1").await.status == StatusCode::OK).await;
    cluster.store.set_fault(StoreFault::Silent);
    cluster.bookings.iter().for_each(Runner::announce_leaving);
    let mut announced_at = Vec::new();
    for runner in &cluster.bookings {
        announced_at.push(send_until_announced(&router, "/quote/1", runner).await);
    }
    let first = send(&router, "/quote/1").await;
    assert_eq!(
        first.status,
        StatusCode::OK,
        "draining back ends serve if there are no others: {}",
        first.body
    );
    send_for(&router, "/quote/1", DRAIN_TIMEOUT).await;
    let answers = send_for(&router, "/quote/1", OBSERVATION_TIME / 2).await;
    for response in &answers {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{}", response.body);
        assert!(response.headers.contains_key(header::RETRY_AFTER));
    }
    for (runner, announced_at) in cluster.bookings.iter().zip(announced_at) {
        let late = arrivals_after(runner, announced_at + DRAIN_TIMEOUT);
        assert!(
            late.is_empty(),
            "requests arrived at {} this long after the announcement: {late:?}",
            runner.id()
        );
    }
}

#[tokio::test]
async fn announced_draining_is_gossiped_to_other_nodes() {
    // The first node sends no requests, so it can learn of the announcement only from the other node.
    let cluster = cluster().await;
    let first = Router::start_at(cluster.store_address, "node-0").await;
    first
        .wait_until("leading", async || metric_value(&first, "paddlemount_forward_leads").await == Some(1.0))
        .await;
    let second = Router::start_at(cluster.store_address, "node-1").await;
    for router in [&first, &second] {
        router.wait_until("serving", async || send(router, "/hold/1").await.status == StatusCode::OK).await;
    }
    second.wait_until("reporting", async || second.logged("parent_changed")).await;
    let runner = &cluster.bookings[0];
    runner.announce_leaving();
    send_until_announced(&second, "/quote/1", runner).await;
    first.wait_until("logged", async || first.logged("backend_leaving")).await;
    let line = lines_of(&first, "backend_leaving").remove(0);
    assert_eq!(line["backend"], runner.id().as_str());
    assert_eq!(line["heard"], "told");
    let before = Instant::now();
    assert!(all_ok(&send_for(&first, "/quote/1", OBSERVATION_TIME).await));
    assert!(arrivals_after(runner, before).is_empty(), "the first node sends it no requests either");
}

#[tokio::test]
async fn an_engine_that_reports_draining_gets_no_loads_and_no_requests() {
    // The engine gets no requests; the leader receives the announcement with the answer to an order.
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    router
        .wait_until("leading", async || metric_value(&router, "paddlemount_forward_leads").await == Some(1.0))
        .await;
    let engine = &cluster.engines[0];
    engine.announce_leaving();
    cluster.set_target_version(2);
    router.wait_until("informed", async || router.logged("backend_leaving")).await;
    let others = async || cluster.engines[1..].iter().all(|engine| engine.version() == 2);
    router.wait_until("loaded elsewhere", others).await;
    assert_eq!(lines_of(&router, "backend_leaving").remove(0)["backend"], engine.id().as_str());
    let before = Instant::now();
    assert!(all_ok(&send_for(&router, "/claim/1", OBSERVATION_TIME).await));
    assert!(arrivals_after(engine, before).is_empty());
}

/// Requests that arrived at a runner during its back-off, except those that can have been in flight.
fn arrivals_in_back_off(runner: &Runner, announced_at: Instant) -> Vec<Duration> {
    let arrivals = arrivals_after(runner, announced_at);
    arrivals.into_iter().filter(|after| *after >= IN_FLIGHT_ALLOWANCE && *after < BACK_OFF).collect()
}

#[tokio::test]
async fn a_back_end_gets_no_requests_during_its_back_off_and_gets_them_again_afterwards() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    let runner = &cluster.engines[0];
    runner.reject_requests(BACK_OFF_TEXT, MAX_TEST_TIME);
    let announced_at = send_until_announced(&router, "/claim/1", runner).await;
    let backing_off = metric_value(&router, "paddlemount_forward_backends_resting").await;
    assert_eq!(backing_off, Some(1.0), "a metric counts it");
    let answers = send_for(&router, "/claim/1", BACK_OFF).await;
    assert!(all_ok(&answers), "the others serve");
    assert_eq!(arrivals_in_back_off(runner, announced_at), Vec::<Duration>::new());
    let gets_requests = async || {
        send(&router, "/claim/1").await;
        !arrivals_after(runner, announced_at + BACK_OFF).is_empty()
    };
    router.wait_until("sending requests again", gets_requests).await;
    assert_eq!(lines_of(&router, "backend_rests").len(), 1);
    router.wait_until("logged", async || router.logged("backend_rested")).await;
}

#[tokio::test]
async fn if_all_back_ends_back_off_requests_are_refused_at_once_until_the_first_back_off_ends() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    cluster.engines.iter().for_each(|engine| engine.reject_requests(BACK_OFF_TEXT, MAX_TEST_TIME));
    let mut announced_at = Vec::new();
    for engine in &cluster.engines {
        announced_at.push(send_until_announced(&router, "/claim/1", engine).await);
    }
    let first = *announced_at.iter().min().expect("engines");
    while first.elapsed() < BACK_OFF - Duration::from_millis(300) {
        let sent_at = Instant::now();
        let response = send(&router, "/claim/1").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.body.contains("backends_rest"), "{}", response.body);
        let text = response.headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
        let retry_after = Duration::from_secs_f64(text.and_then(|text| text.parse().ok()).expect("seconds"));
        let remaining = (first + BACK_OFF).saturating_duration_since(sent_at);
        let rounded = Duration::from_millis(150);
        assert!(
            retry_after + rounded >= remaining,
            "{retry_after:?} is before the end of the back-off in {remaining:?}"
        );
        assert!(
            retry_after <= remaining * 3 / 2 + rounded,
            "{retry_after:?} is long after the end of the back-off in {remaining:?}"
        );
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    for (engine, announced_at) in cluster.engines.iter().zip(&announced_at) {
        assert_eq!(arrivals_in_back_off(engine, *announced_at), Vec::<Duration>::new(), "{}", engine.id());
    }
    router
        .wait_until("serving again", async || send(&router, "/claim/1").await.status == StatusCode::OK)
        .await;
}

#[tokio::test]
async fn if_all_but_one_back_off_that_one_serves_and_the_others_get_no_retries() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    for engine in &cluster.engines[1..] {
        engine.reject_requests(BACK_OFF_TEXT, MAX_TEST_TIME);
    }
    let mut announced_at = Vec::new();
    for engine in &cluster.engines[1..] {
        announced_at.push(send_until_announced(&router, "/claim/1", engine).await);
    }
    let last = *announced_at.iter().max().expect("engines");
    tokio::time::sleep_until((last + IN_FLIGHT_ALLOWANCE).into()).await;
    assert!(all_ok(&send_for(&router, "/claim/1", Duration::from_millis(500)).await));
    // Even if the remaining engine sheds requests without a back-off, those that back off must not get
    // retries.
    cluster.engines[0].script(&[Behaviour::Sheds; 12]);
    for _ in 0..12 {
        assert_eq!(send(&router, "/claim/1").await.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    for (engine, announced_at) in cluster.engines[1..].iter().zip(&announced_at) {
        assert_eq!(arrivals_in_back_off(engine, *announced_at), Vec::<Duration>::new(), "{}", engine.id());
    }
}

#[tokio::test]
async fn an_invalid_or_zero_back_off_is_ignored() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    let runner = &cluster.bookings[0];
    for text in ["-3", "soon", "NaN", "0"] {
        runner.reject_requests(text, MAX_TEST_TIME);
        let rejected = async || {
            send(&router, "/quote/1").await;
            runner.seen().iter().any(|seen| seen.retry_after.as_deref() == Some(text))
        };
        router.wait_until("rejected", rejected).await;
        runner.accept_requests();
        let before = runner.seen().len();
        let gets_requests = async || {
            send(&router, "/quote/1").await;
            runner.seen().iter().skip(before).any(|seen| seen.ran)
        };
        router.wait_until("sending requests again", gets_requests).await;
    }
    assert_eq!(lines_of(&router, "rest_unreadable").len(), 3, "each invalid value is logged");
}

#[tokio::test]
async fn an_unknown_answer_header_is_logged_once_without_its_value() {
    let cluster = cluster().await;
    let router = Router::start(&cluster).await;
    cluster.bookings.iter().for_each(|runner| runner.add_header("Server-Mood"));
    send_for(&router, "/quote/1", Duration::from_millis(200)).await;
    router.wait_until("logged", async || router.logged("answer_header_unknown")).await;
    let lines = lines_of(&router, "answer_header_unknown");
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["name"], "server-mood");
    assert!(router.lines().iter().all(|line| !line.contains("a value")));
    let counted = metric_value(&router, "paddlemount_forward_unknown_answer_headers_total").await;
    assert!(counted > Some(1.0), "each answer counts");
}
