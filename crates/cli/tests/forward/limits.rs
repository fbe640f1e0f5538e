//! Limits that back ends advertise in their answers, in requests per second from all nodes together.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{StatusCode, header};
use paddlemount_platform_standin::{Cluster, Identity, RestartPlan, Runner, cluster::KEY};
use serde_json::Value;

use crate::{
    limit_check::{Arrival, WINDOW, advertised_by, allowed, exceeded},
    router::{CallerResponse, Router, metric_value},
};

const NODES: usize = 3;
/// Callers per node, each with one request at a time.
const CALLERS_PER_NODE: usize = 2;
/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// How long callers go on after a limit is advertised: four windows, the first of which may have no requests.
const OBSERVATION_TIME: Duration = Duration::from_secs(16);
/// Bound for immediate refusals; a request that waits for a slot is refused at its deadline of 3.5 s.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(1_750);
/// A path served by model engines.
const PATH: &str = "/claim/1";

/// A response and its latency.
struct TimedResponse {
    response: CallerResponse,
    latency: Duration,
}

struct Nodes {
    cluster: Cluster,
    routers: Vec<Router>,
}

impl Nodes {
    async fn start() -> Self {
        let cluster = Cluster::start().await.expect("the cluster starts");
        cluster.configure(1, &[KEY]);
        let mut routers = Vec::new();
        for number in 0..NODES {
            routers.push(Router::start_at(cluster.store_address, &format!("node-{number}")).await);
        }
        let nodes = Self { cluster, routers };
        for router in &nodes.routers {
            let counted =
                async || metric_value(router, "paddlemount_forward_nodes").await == Some(NODES as f64);
            router.wait_until("counted", counted).await;
            let serves = async || {
                let id = format!("first-{}", rand::random::<u64>());
                router.send(PATH, &id).await.is_some_and(|response| response.status == StatusCode::OK)
            };
            router.wait_until("serving", serves).await;
        }
        nodes
    }

    /// Sends requests to some nodes until an instant and returns the responses.
    async fn send_until(&self, nodes: &[usize], until: Instant) -> Vec<TimedResponse> {
        let callers = nodes.iter().flat_map(|node| (0..CALLERS_PER_NODE).map(move |caller| (*node, caller)));
        let calls = callers.map(async |(node, caller)| {
            let mut answers = Vec::new();
            while Instant::now() < until {
                let id = format!("{node}-{caller}-{}-{}", answers.len(), rand::random::<u64>());
                let sent_at = Instant::now();
                let response = self.routers[node].send(PATH, &id).await.expect("an answer");
                answers.push(TimedResponse { response, latency: sent_at.elapsed() });
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
            answers
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    async fn send_for(&self, length: Duration) -> Vec<TimedResponse> {
        self.send_until(&[0, 1, 2], Instant::now() + length).await
    }

    /// Sends requests to all nodes until a condition holds.
    async fn send_until_met(&self, what: &str, is_met: impl Fn() -> bool) {
        let sends = async || {
            self.send_for(REQUEST_INTERVAL).await;
            is_met()
        };
        self.routers[0].wait_until(what, sends).await;
    }

    /// Log lines of one event from all nodes.
    fn lines_of(&self, event: &str) -> Vec<Value> {
        let lines = self.routers.iter().flat_map(Router::lines);
        let parsed = lines.filter_map(|line| serde_json::from_str::<Value>(&line).ok());
        parsed.filter(|line| line["event"] == event).collect()
    }
}

/// The node that received a request, from the request's identifier.
fn node_of(id: &str) -> usize {
    id.split('-').next().and_then(|node| node.parse().ok()).unwrap_or(NODES)
}

fn arrivals_at(runner: &Runner) -> Vec<Arrival> {
    let arrival = |seen: paddlemount_platform_standin::ReceivedRequest| Arrival {
        node: node_of(&seen.id),
        at: seen.at,
        starts: seen.restarts,
        limit: seen.limit.and_then(|text| text.parse().ok()),
        passed_on: seen.ran,
    };
    runner.seen().into_iter().map(arrival).collect()
}

fn exceeded_at(runner: &Runner) -> usize {
    exceeded(&arrivals_at(runner), &advertised_by(runner), |_, _, _| false).len()
}

fn count_after(runner: &Runner, from: Instant) -> usize {
    runner.seen().iter().filter(|seen| seen.at > from).count()
}

/// Maximum number of requests that a back end received in one window after `from`.
fn max_in_window(runner: &Runner, from: Instant) -> usize {
    let times: Vec<Instant> = runner.seen().iter().map(|seen| seen.at).filter(|at| *at > from).collect();
    let within = |start: &Instant| times.iter().filter(|at| *at >= start && **at < *start + WINDOW).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// The limit applies to the sum over all nodes that have passed on an answer with it.
#[tokio::test]
async fn all_nodes_together_stay_within_an_advertised_limit() {
    let nodes = Nodes::start().await;
    let runner = &nodes.cluster.engines[0];
    nodes.send_for(Duration::from_secs(1)).await;
    runner.advertise_limit("1.1");
    let advertised_at = Instant::now();
    let answers = nodes.send_for(OBSERVATION_TIME).await;
    assert_eq!(exceeded_at(runner), 0, "windows with too many requests");
    assert!(answers.iter().all(|answer| answer.response.status == StatusCode::OK), "the others serve");
    let settled = advertised_at + WINDOW;
    let used = count_after(runner, settled);
    let permitted = 1.1 * (advertised_at + OBSERVATION_TIME - settled).as_secs_f64();
    assert!(used as f64 >= permitted / 2.0, "{used} requests, {permitted} permitted");
}

#[tokio::test]
async fn if_all_back_ends_advertise_limits_they_are_used_and_the_excess_is_refused_at_once() {
    let nodes = Nodes::start().await;
    nodes.send_for(Duration::from_secs(1)).await;
    nodes.cluster.engines.iter().for_each(|engine| engine.advertise_limit("5"));
    let advertised_at = Instant::now();
    let answers = nodes.send_for(OBSERVATION_TIME).await;
    for engine in &nodes.cluster.engines {
        assert_eq!(exceeded_at(engine), 0, "{}: windows with too many requests", engine.id());
    }
    let refused: Vec<_> = answers.iter().filter(|answer| answer.response.status != StatusCode::OK).collect();
    assert!(!refused.is_empty(), "the offered load exceeds the limits");
    for answer in refused {
        assert_eq!(answer.response.status, StatusCode::SERVICE_UNAVAILABLE, "{}", answer.response.body);
        assert!(answer.response.headers.contains_key(header::RETRY_AFTER));
        assert!(answer.latency < MAX_REFUSAL_DELAY, "refused after {:?}", answer.latency);
    }
    let settled = advertised_at + WINDOW;
    let used: usize = nodes.cluster.engines.iter().map(|engine| count_after(engine, settled)).sum();
    let permitted = 3.0 * 5.0 * (advertised_at + OBSERVATION_TIME - settled).as_secs_f64();
    assert!(used as f64 >= permitted / 2.0, "{used} requests, {permitted} permitted");
}

#[tokio::test]
async fn a_node_enforces_a_limit_learned_by_gossip() {
    let nodes = Nodes::start().await;
    let runner = &nodes.cluster.engines[0];
    runner.advertise_limit("0.5");
    let all_limited = async || {
        nodes.send_until(&[1], Instant::now() + REQUEST_INTERVAL).await;
        nodes.lines_of("backend_limited").len() >= NODES
    };
    nodes.routers[0].wait_until("limited at all nodes", all_limited).await;
    let limited_at = Instant::now();
    nodes.send_until(&[0, 2], limited_at + OBSERVATION_TIME).await;
    let max = max_in_window(runner, limited_at);
    assert!(max as f64 <= allowed(0.5), "{max} requests in one window");
    let others = nodes.lines_of("backend_limited").into_iter().filter(|line| line["heard"] == "told").count();
    assert!(others >= 1, "other nodes were informed");
}

#[tokio::test]
async fn a_limit_ends_with_an_answer_without_one() {
    let nodes = Nodes::start().await;
    let runner = &nodes.cluster.engines[0];
    runner.advertise_limit("0.5");
    nodes.send_until_met("limited", || nodes.lines_of("backend_limited").len() >= NODES).await;
    runner.withdraw_limit();
    nodes.send_until_met("unlimited", || nodes.lines_of("backend_unlimited").len() >= NODES).await;
    let ended = Instant::now();
    nodes.send_for(Duration::from_secs(2)).await;
    let received = count_after(runner, ended);
    assert!(received as f64 > allowed(0.5), "{received} requests in 2 s after the end of the limit");
}

#[tokio::test]
async fn a_limit_of_zero_is_enforced_and_its_withdrawal_is_noticed() {
    let nodes = Nodes::start().await;
    let runner = &nodes.cluster.engines[0];
    runner.advertise_limit("0");
    nodes.send_for(OBSERVATION_TIME).await;
    assert_eq!(exceeded_at(runner), 0, "windows with too many requests");
    runner.withdraw_limit();
    nodes.send_until_met("unlimited", || !nodes.lines_of("backend_unlimited").is_empty()).await;
}

#[tokio::test]
async fn a_restart_of_a_back_end_ends_its_limit() {
    let nodes = Nodes::start().await;
    let runner = &nodes.cluster.engines[0];
    runner.advertise_limit("0");
    nodes.send_until_met("limited", || nodes.lines_of("backend_limited").len() >= NODES).await;
    runner.crash_with(RestartPlan { after: Duration::from_millis(100), identity: Identity::Same });
    nodes.routers[0].wait_until("running again", async || nodes.cluster.all_running()).await;
    let back = Instant::now();
    let max = allowed(0.0) as usize;
    nodes.send_until_met("serving again", || count_after(runner, back) > max).await;
}

#[tokio::test]
async fn an_invalid_limit_is_ignored() {
    let nodes = Nodes::start().await;
    let runner = &nodes.cluster.engines[0];
    for (number, text) in ["-1", "NaN", "soon", "inf", ""].into_iter().enumerate() {
        runner.advertise_limit(text);
        let before = runner.seen().len();
        let max = before + allowed(0.0) as usize;
        nodes.send_until_met("served on", || runner.seen().len() > max).await;
        nodes.send_until_met("logged", || nodes.lines_of("limit_unreadable").len() > number).await;
    }
    assert_eq!(nodes.lines_of("backend_limited").len(), 0);
}
