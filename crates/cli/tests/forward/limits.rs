//! Limits that back ends name in their answers, in requests a second from all nodes together.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{StatusCode, header};
use paddlemount_platform_standin::{Cluster, Identity, RestartPlan, Runner, cluster::KEY};
use serde_json::Value;

use crate::{
    limit_judge::{Arrival, WINDOW, allowed, exceeded, named_by},
    router::{Got, Router, gauge},
};

const NODES: usize = 3;
/// Callers of each node, each with one request at a time.
const CALLERS: usize = 2;
/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// How long requests go on after a limit was named: four windows, the first of which may pass without any request.
const WATCHED: Duration = Duration::from_secs(16);
/// A request that is refused at once is answered long before this; one that waits for a slot is so at its deadline, 3.5 s.
const LONG_BEFORE_DEADLINE: Duration = Duration::from_millis(1_750);
/// A path that model engines serve.
const PATH: &str = "/claim/1";

/// What a caller got, and how long that took.
struct Answered {
    got: Got,
    after: Duration,
}

struct Nodes {
    place: Cluster,
    routers: Vec<Router>,
}

impl Nodes {
    async fn start() -> Self {
        let place = Cluster::start().await.expect("a place starts");
        place.configure(1, &[KEY]);
        let mut routers = Vec::new();
        for number in 0..NODES {
            routers.push(Router::start_at(place.store_address, &format!("node-{number}")).await);
        }
        let nodes = Self { place, routers };
        for router in &nodes.routers {
            let counted = async || gauge(router, "paddlemount_forward_nodes").await == Some(NODES as f64);
            router.until("counted", counted).await;
            let serves = async || {
                let id = format!("first-{}", rand::random::<u64>());
                router.send(PATH, &id).await.is_some_and(|got| got.status == StatusCode::OK)
            };
            router.until("serving", serves).await;
        }
        nodes
    }

    /// Sends requests to some nodes until a moment; what their callers got.
    async fn ask_until(&self, nodes: &[usize], until: Instant) -> Vec<Answered> {
        let callers = nodes.iter().flat_map(|node| (0..CALLERS).map(move |caller| (*node, caller)));
        let calls = callers.map(async |(node, caller)| {
            let mut answers = Vec::new();
            while Instant::now() < until {
                let id = format!("{node}-{caller}-{}-{}", answers.len(), rand::random::<u64>());
                let asked_at = Instant::now();
                let got = self.routers[node].send(PATH, &id).await.expect("an answer");
                answers.push(Answered { got, after: asked_at.elapsed() });
                tokio::time::sleep(PAUSE).await;
            }
            answers
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    async fn ask_for(&self, length: Duration) -> Vec<Answered> {
        self.ask_until(&[0, 1, 2], Instant::now() + length).await
    }

    /// Sends requests to all nodes until something is so.
    async fn ask_while_not(&self, what: &str, is_so: impl Fn() -> bool) {
        let asks = async || {
            self.ask_for(PAUSE).await;
            is_so()
        };
        self.routers[0].until(what, asks).await;
    }

    /// Log lines of one event, of all nodes.
    fn lines_of(&self, event: &str) -> Vec<Value> {
        let lines = self.routers.iter().flat_map(Router::lines);
        let parsed = lines.filter_map(|line| serde_json::from_str::<Value>(&line).ok());
        parsed.filter(|line| line["event"] == event).collect()
    }
}

/// The node that a request went to, by its identity.
fn node_of(id: &str) -> usize {
    id.split('-').next().and_then(|node| node.parse().ok()).unwrap_or(NODES)
}

fn arrivals_at(runner: &Runner) -> Vec<Arrival> {
    let arrival = |seen: paddlemount_platform_standin::ReceivedRequest| Arrival {
        node: node_of(&seen.id),
        at: seen.at,
        starts: seen.starts,
        limit: seen.limit.and_then(|text| text.parse().ok()),
        passed_on: seen.ran,
    };
    runner.seen().into_iter().map(arrival).collect()
}

fn exceeded_at(runner: &Runner) -> usize {
    exceeded(&arrivals_at(runner), &named_by(runner), |_, _, _| false).len()
}

fn count_after(runner: &Runner, from: Instant) -> usize {
    runner.seen().iter().filter(|seen| seen.at > from).count()
}

/// The most requests that reached a back end in one window that begins after `from`.
fn most_in_window(runner: &Runner, from: Instant) -> usize {
    let times: Vec<Instant> = runner.seen().iter().map(|seen| seen.at).filter(|at| *at > from).collect();
    let within = |start: &Instant| times.iter().filter(|at| *at >= start && **at < *start + WINDOW).count();
    times.iter().map(within).max().unwrap_or(0)
}

/// An engine that had named 1.1 requests a second got 15 in 4 s from nodes that had passed on its answers; 12 were allowed.
#[tokio::test]
async fn a_back_end_gets_no_more_than_the_limit_that_it_names_from_all_nodes_together() {
    let nodes = Nodes::start().await;
    let runner = &nodes.place.engines[0];
    nodes.ask_for(Duration::from_secs(1)).await;
    runner.advertise_limit("1.1");
    let named = Instant::now();
    let answers = nodes.ask_for(WATCHED).await;
    assert_eq!(exceeded_at(runner), 0, "windows with too many requests");
    assert!(answers.iter().all(|answer| answer.got.status == StatusCode::OK), "the others serve");
    let settled = named + WINDOW;
    let used = count_after(runner, settled);
    let aim = 1.1 * (named + WATCHED - settled).as_secs_f64();
    assert!(used as f64 >= aim / 2.0, "{used} requests where {aim} may come");
}

#[tokio::test]
async fn where_all_back_ends_name_limits_they_are_used_and_what_goes_beyond_is_refused_at_once() {
    let nodes = Nodes::start().await;
    nodes.ask_for(Duration::from_secs(1)).await;
    nodes.place.engines.iter().for_each(|engine| engine.advertise_limit("5"));
    let named = Instant::now();
    let answers = nodes.ask_for(WATCHED).await;
    for engine in &nodes.place.engines {
        assert_eq!(exceeded_at(engine), 0, "{}: windows with too many requests", engine.id());
    }
    let refused: Vec<_> = answers.iter().filter(|answer| answer.got.status != StatusCode::OK).collect();
    assert!(!refused.is_empty(), "callers ask for more than the limits allow");
    for answer in refused {
        assert_eq!(answer.got.status, StatusCode::SERVICE_UNAVAILABLE, "{}", answer.got.body);
        assert!(answer.got.headers.contains_key(header::RETRY_AFTER));
        assert!(answer.after < LONG_BEFORE_DEADLINE, "refused after {:?}", answer.after);
    }
    let settled = named + WINDOW;
    let used: usize = nodes.place.engines.iter().map(|engine| count_after(engine, settled)).sum();
    let aim = 3.0 * 5.0 * (named + WATCHED - settled).as_secs_f64();
    assert!(used as f64 >= aim / 2.0, "{used} requests where {aim} may come");
}

#[tokio::test]
async fn a_node_that_was_told_of_a_limit_by_another_one_keeps_to_it() {
    let nodes = Nodes::start().await;
    let runner = &nodes.place.engines[0];
    runner.advertise_limit("0.5");
    let heard = async || {
        nodes.ask_until(&[1], Instant::now() + PAUSE).await;
        nodes.lines_of("backend_limited").len() >= NODES
    };
    nodes.routers[0].until("told to all", heard).await;
    let told = Instant::now();
    nodes.ask_until(&[0, 2], told + WATCHED).await;
    let most = most_in_window(runner, told);
    assert!(most as f64 <= allowed(0.5), "{most} requests in one window");
    let others = nodes.lines_of("backend_limited").into_iter().filter(|line| line["heard"] == "told").count();
    assert!(others >= 1, "other nodes were told");
}

#[tokio::test]
async fn a_limit_ends_with_an_answer_that_names_none() {
    let nodes = Nodes::start().await;
    let runner = &nodes.place.engines[0];
    runner.advertise_limit("0.5");
    nodes.ask_while_not("limited", || nodes.lines_of("backend_limited").len() >= NODES).await;
    runner.withdraw_limit();
    nodes.ask_while_not("unlimited", || nodes.lines_of("backend_unlimited").len() >= NODES).await;
    let ended = Instant::now();
    nodes.ask_for(Duration::from_secs(2)).await;
    let got = count_after(runner, ended);
    assert!(got as f64 > allowed(0.5), "{got} requests in 2 s after the end of the limit");
}

#[tokio::test]
async fn a_limit_of_nothing_is_kept_to_and_its_end_is_noticed() {
    let nodes = Nodes::start().await;
    let runner = &nodes.place.engines[0];
    runner.advertise_limit("0");
    nodes.ask_for(WATCHED).await;
    assert_eq!(exceeded_at(runner), 0, "windows with too many requests");
    runner.withdraw_limit();
    nodes.ask_while_not("unlimited", || !nodes.lines_of("backend_unlimited").is_empty()).await;
}

#[tokio::test]
async fn a_new_start_of_a_back_end_ends_the_limit_of_the_process_before_it() {
    let nodes = Nodes::start().await;
    let runner = &nodes.place.engines[0];
    runner.advertise_limit("0");
    nodes.ask_while_not("limited", || nodes.lines_of("backend_limited").len() >= NODES).await;
    runner.crash_with(RestartPlan { after: Duration::from_millis(100), identity: Identity::Same });
    nodes.routers[0].until("whole again", async || nodes.place.all_running()).await;
    let back = Instant::now();
    let most = allowed(0.0) as usize;
    nodes.ask_while_not("serving again", || count_after(runner, back) > most).await;
}

#[tokio::test]
async fn a_limit_that_cannot_be_read_bounds_nothing() {
    let nodes = Nodes::start().await;
    let runner = &nodes.place.engines[0];
    for (number, text) in ["-1", "NaN", "soon", "inf", ""].into_iter().enumerate() {
        runner.advertise_limit(text);
        let before = runner.seen().len();
        let most = before + allowed(0.0) as usize;
        nodes.ask_while_not("served on", || runner.seen().len() > most).await;
        nodes.ask_while_not("told", || nodes.lines_of("limit_unreadable").len() > number).await;
    }
    assert_eq!(nodes.lines_of("backend_limited").len(), 0);
}
