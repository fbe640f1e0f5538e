//! Quarantine of requests that crash every back end, and of no others that are interrupted by crashes.

use std::time::{Duration, Instant};

use http::StatusCode;
use paddlemount_platform_standin::{Behaviour, Cluster, Runner, cluster::KEY, store::StoreFault};

use crate::{
    fleet::fleet,
    router::{CallerResponse, Router},
};

/// The body of a request that crashes every back end that runs it.
const POISON: &str = "crashes whatever runs it";
/// Number of attempts of its caller.
const ATTEMPTS: usize = 14;
/// Crashes after which the request must be quarantined.
const CRASHES_UNTIL_HELD: usize = 3;
/// Further runs that may start until all nodes know of the quarantine.
const MAX_LATE_RUNS: usize = 3;
/// How long crashed runners may take to restart.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

fn arm_poison(cluster: &Cluster) {
    for runner in cluster.engines.iter().chain(&cluster.bookings) {
        runner.crash_on(POISON.as_bytes());
    }
}

fn poison_runs(cluster: &Cluster) -> usize {
    let runners = cluster.engines.iter().chain(&cluster.bookings);
    runners.flat_map(Runner::seen).filter(|seen| seen.ran && seen.body == POISON.as_bytes()).count()
}

async fn wait_until_running(cluster: &Cluster) {
    let began = Instant::now();
    while !cluster.all_running() {
        assert!(began.elapsed() < RECOVERY_TIMEOUT, "crashed runners are not back");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends the poison request through each node in turn, each time with all runners up and the node serving.
async fn send_poison(
    cluster: &Cluster,
    routers: &[Router],
    path: &str,
    name: &str,
    attempts: usize,
) -> Vec<Option<CallerResponse>> {
    let mut answers = Vec::new();
    for attempt in 0..attempts {
        wait_until_running(cluster).await;
        let router = &routers[attempt % routers.len()];
        wait_until_serving(router, path).await;
        answers.push(router.send_body(path, &format!("{name}-{attempt}"), KEY, POISON).await);
    }
    answers
}

async fn wait_until_serving(router: &Router, path: &str) {
    let served = async || {
        let id = format!("ordinary-{}", rand::random::<u64>());
        router
            .send(path, &id)
            .await
            .is_some_and(|response| response.status == StatusCode::OK && response.complete)
    };
    router.wait_until("serving", served).await;
}

/// Checks the quarantine of a request that a caller repeats at all nodes.
async fn check_poison_is_held_back(path: &str) {
    let (cluster, _links, routers) = fleet().await;
    arm_poison(&cluster);
    let answers = send_poison(&cluster, &routers, path, "poison", ATTEMPTS).await;
    let runs = poison_runs(&cluster);
    assert!(
        runs <= CRASHES_UNTIL_HELD + MAX_LATE_RUNS,
        "{path}: {runs} of {ATTEMPTS} requests reached a back end that they crashed"
    );
    let last = answers.last().and_then(Option::as_ref).expect("a held request is answered");
    assert_eq!(last.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(last.headers.contains_key(http::header::RETRY_AFTER), "the refusal has a retry-after");
    wait_until_running(&cluster).await;
    for router in &routers {
        wait_until_serving(router, path).await;
    }
}

#[tokio::test]
async fn a_stream_that_crashes_its_engines_is_held_back_by_all_nodes() {
    check_poison_is_held_back("/chat/1").await;
}

#[tokio::test]
async fn a_resumable_stream_that_crashes_its_engines_is_held_back_by_all_nodes() {
    check_poison_is_held_back("/claim/1").await;
}

#[tokio::test]
async fn a_repeatable_request_that_crashes_its_back_ends_is_held_back_by_all_nodes() {
    check_poison_is_held_back("/quote/1").await;
}

#[tokio::test]
async fn an_at_most_once_request_that_crashes_its_back_ends_is_held_back_by_all_nodes() {
    check_poison_is_held_back("/hold/1").await;
}

#[tokio::test]
async fn what_is_held_back_outlasts_all_nodes() {
    let (cluster, _links, routers) = fleet().await;
    arm_poison(&cluster);
    send_poison(&cluster, &routers, "/chat/1", "before", ATTEMPTS).await;
    let before = poison_runs(&cluster);
    drop(routers);
    let mut routers = Vec::new();
    for number in 0..3 {
        routers.push(Router::start_at(cluster.store_address, &format!("node-{number}")).await);
    }
    for answer in send_poison(&cluster, &routers, "/chat/1", "after", 6).await {
        let answer = answer.expect("a held request is answered");
        assert_eq!(
            (answer.status, answer.body.contains("held_back")),
            (StatusCode::SERVICE_UNAVAILABLE, true)
        );
    }
    assert_eq!(poison_runs(&cluster), before, "restarted nodes hold it back at once");
}

#[tokio::test]
async fn nodes_without_a_store_tell_each_other_what_to_hold_back() {
    let (cluster, _links, routers) = fleet().await;
    arm_poison(&cluster);
    // The first crashes precede the outage, since nodes learn of restarted back ends from the store.
    let answers = send_poison(&cluster, &routers, "/chat/1", "first", CRASHES_UNTIL_HELD - 1).await;
    assert_eq!(answers.len(), CRASHES_UNTIL_HELD - 1);
    wait_until_running(&cluster).await;
    for router in &routers {
        wait_until_serving(router, "/chat/1").await;
    }
    cluster.store.set_fault(StoreFault::Refuses);
    let mut held = vec![false; routers.len()];
    for attempt in 0..200 {
        let number = attempt % routers.len();
        let answer = routers[number].send_body("/chat/1", &format!("out-{attempt}"), KEY, POISON).await;
        held[number] = answer.is_some_and(|answer| answer.body.contains("held_back"));
        if held.iter().all(|held| *held) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(held.iter().all(|held| *held), "{held:?}");
    assert!(poison_runs(&cluster) <= CRASHES_UNTIL_HELD + MAX_LATE_RUNS);
}

#[tokio::test]
async fn a_hold_whose_answer_the_store_loses_is_kept() {
    let (cluster, _links, routers) = fleet().await;
    arm_poison(&cluster);
    send_poison(&cluster, &routers, "/chat/1", "first", CRASHES_UNTIL_HELD - 1).await;
    wait_until_running(&cluster).await;
    for router in &routers {
        wait_until_serving(router, "/chat/1").await;
    }
    cluster.store.set_fault(StoreFault::LosesChanges);
    send_poison(&cluster, &routers, "/chat/1", "lost", 6).await;
    cluster.store.set_fault(StoreFault::None);
    send_poison(&cluster, &routers, "/chat/1", "after", 6).await;
    let runs = poison_runs(&cluster);
    assert!(
        runs <= CRASHES_UNTIL_HELD + MAX_LATE_RUNS,
        "{runs} requests reached a back end that they crashed"
    );
    for router in &routers {
        let released = router.logged("request_released");
        assert!(!released, "a quarantine was lifted: {:#?}", router.lines());
    }
}

/// Runs callers that repeat the same requests while `faults` runs.
async fn ordinary_callers(routers: &[Router], faults: impl Future<Output = ()>) -> Vec<CallerResponse> {
    let done = std::cell::Cell::new(false);
    let call = async |caller: usize| {
        let mut answers = Vec::new();
        let mut number = 0;
        while !done.get() {
            let router = &routers[(caller + number) % routers.len()];
            let path = ["/chat/1", "/claim/1", "/quote/1", "/hold/1"][(caller + number) % 4];
            answers.extend(router.send(path, &format!("o-{caller}-{number}")).await);
            number += 1;
        }
        answers
    };
    let callers = futures_util::future::join_all((0..12).map(call));
    let faults = async {
        faults.await;
        done.set(true);
    };
    let (answers, ()) = tokio::join!(callers, faults);
    answers.into_iter().flatten().collect()
}

fn assert_none_held_back(answers: &[CallerResponse], routers: &[Router]) {
    let held = answers.iter().filter(|response| response.body.contains("held_back")).count();
    let lines = routers.iter().flat_map(Router::lines);
    let crash_lines: Vec<String> =
        lines.filter(|line| line.contains("\"run_crashed\"") || line.contains("\"request_")).collect();
    assert_eq!(held, 0, "of {} ordinary requests:\n{}", answers.len(), crash_lines.join("\n"));
    assert!(routers.iter().all(|router| !router.logged("request_held")));
    let crashed = routers.iter().any(|router| router.logged("run_crashed"));
    assert!(crashed, "the faults interrupted no run");
}

#[tokio::test]
async fn ordinary_requests_that_were_caught_in_a_lost_rack_are_not_held_back() {
    let (cluster, _links, routers) = fleet().await;
    let faults = async {
        for _ in 0..6 {
            tokio::time::sleep(Duration::from_millis(150)).await;
            for runner in cluster.engines.iter().chain(&cluster.bookings) {
                runner.crash();
            }
            wait_until_running(&cluster).await;
        }
    };
    let answers = ordinary_callers(&routers, faults).await;
    assert_none_held_back(&answers, &routers);
    for router in &routers {
        wait_until_serving(router, "/chat/1").await;
    }
}

/// Runs a request until the whole rack is lost, whose other engines are idle.
async fn lose_rack_under(cluster: &Cluster, router: &Router, body: &'static str, id: &str) {
    wait_until_running(cluster).await;
    wait_until_serving(router, "/chat/1").await;
    let warm_ups: Vec<String> = (0..12).map(|number| format!("warm-{id}-{number}")).collect();
    futures_util::future::join_all(
        warm_ups.iter().map(|id| router.send_body("/chat/1", id, KEY, id.clone())),
    )
    .await;
    cluster.engines.iter().for_each(|engine| engine.script(&[Behaviour::Long]));
    let crash_all = async {
        let runs = async || cluster.engines.iter().any(|engine| engine.runs(id) > 0);
        router.wait_until("running", runs).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        cluster.engines.iter().for_each(Runner::crash);
    };
    tokio::join!(router.send_body("/chat/1", id, KEY, body), crash_all);
}

#[tokio::test]
async fn a_request_that_ran_alone_on_lost_racks_is_not_held_back() {
    let (cluster, _links, routers) = fleet().await;
    for round in 0..CRASHES_UNTIL_HELD {
        lose_rack_under(&cluster, &routers[0], "caught", &format!("caught-{round}")).await;
        let crashes = || routers[0].lines().iter().filter(|line| line.contains("\"run_crashed\"")).count();
        routers[0].wait_until("crashed", async || crashes() > round).await;
    }
    wait_until_running(&cluster).await;
    // Longer than a conclusion takes.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for router in &routers {
        wait_until_serving(router, "/chat/1").await;
        let answer = router.send_body("/chat/1", "caught-last", KEY, "caught").await;
        assert_eq!(answer.map(|answer| answer.status), Some(StatusCode::OK));
    }
}

#[tokio::test]
async fn ordinary_requests_interrupted_by_a_rolling_restart_are_not_held_back() {
    let (cluster, _links, routers) = fleet().await;
    let faults = async {
        for _ in 0..3 {
            for runner in cluster.engines.iter().chain(&cluster.bookings) {
                tokio::time::sleep(Duration::from_millis(100)).await;
                runner.crash();
                wait_until_running(&cluster).await;
            }
        }
    };
    let answers = ordinary_callers(&routers, faults).await;
    assert_none_held_back(&answers, &routers);
    for router in &routers {
        wait_until_serving(router, "/chat/1").await;
    }
}

/// A request interrupted by the end of draining back ends must not count as the cause of a crash.
#[tokio::test]
async fn a_request_interrupted_by_announced_exits_is_not_held_back() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    for round in 0..CRASHES_UNTIL_HELD {
        wait_until_running(&cluster).await;
        wait_until_serving(&router, "/chat/1").await;
        for engine in &cluster.engines {
            engine.announce_leaving();
            engine.script(&[Behaviour::Long]);
        }
        let id = format!("long-{round}");
        let ends = async {
            router
                .wait_until("running", async || cluster.engines.iter().any(|engine| engine.runs(&id) == 1))
                .await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.engines.iter().for_each(Runner::crash);
        };
        let (response, ()) = tokio::join!(router.send_body("/chat/1", &id, KEY, "takes long"), ends);
        assert!(response.is_none_or(|response| !response.complete), "its engine exited during the stream");
    }
    wait_until_running(&cluster).await;
    wait_until_serving(&router, "/chat/1").await;
    let last = router.send_body("/chat/1", "last", KEY, "takes long").await.expect("an answer");
    assert_eq!(last.status, StatusCode::OK, "{}", last.body);
}
