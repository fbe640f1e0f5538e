//! Nodes that lose the paths to all back ends, while callers, the store and other nodes still reach them.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use paddlemount_platform_standin::{
    Behaviour, Cluster, Cut, Runner,
    cluster::{HOST, KEY},
};

use crate::{
    delivery::COMPLETE_STREAM,
    router::{CallerResponse, RETRY_PERCENT, Router, WEIGHTS_BOUND, metric_value},
};

/// How long after a cut callers may notice it.
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time between two requests of a test's callers.
const PAUSE: Duration = Duration::from_millis(25);
/// Rounds of requests to each route.
const ROUNDS: usize = 12;
/// Start of an engine's silence, shortly before the first keep-alive probe on a quiet connection.
const SILENCE_START: Duration = Duration::from_millis(950);
/// How long a sound engine may send and acknowledge nothing.
const SILENCE: Duration = Duration::from_millis(1_300);
/// The share of first attempts that a cut-off node must serve, in percent of the requests.
const MIN_SERVED_PERCENT: usize = 95;

/// Requests that another node claims to hand on.
const HANDED_ON: u64 = 100;

pub fn source(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 20 + number)
}

/// Starts `count` nodes that know of each other, each with a source address of its own.
pub async fn fleet(count: u8) -> (Cluster, Vec<Router>) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let mut routers = Vec::new();
    for number in 0..count {
        let name = format!("node-{number}");
        routers.push(Router::start_from(cluster.store_address, &name, source(number)).await);
    }
    for router in &routers {
        let counted =
            async || metric_value(router, "paddlemount_forward_nodes").await == Some(f64::from(count));
        router.wait_until("counted", counted).await;
    }
    // Opens connections to back ends.
    for (number, router) in routers.iter().enumerate() {
        send_rounds(router, &format!("warm-{number}"), 2).await;
    }
    (cluster, routers)
}

/// Sends rounds of one request to each route, and returns the answers.
async fn send_rounds(router: &Router, label: &str, rounds: usize) -> Vec<(String, Option<CallerResponse>)> {
    let mut sent = Vec::new();
    for round in 0..rounds {
        for path in ["/chat/1", "/claim/1", "/hold/1", "/quote/1"] {
            let id = format!("{label}-{round}{}", path.replace('/', "-"));
            sent.push(async move {
                let answer = router.send(path, &id).await;
                (id, answer)
            });
        }
    }
    let spaced = sent.into_iter().enumerate().map(|(number, call)| async move {
        tokio::time::sleep(PAUSE * number as u32).await;
        call.await
    });
    futures_util::future::join_all(spaced).await
}

fn is_served(answer: &CallerResponse) -> bool {
    let is_stream = answer.body.starts_with("id:");
    answer.status == StatusCode::OK && answer.complete && (!is_stream || answer.body == COMPLETE_STREAM)
}

/// Asserts that nearly all requests were served.
fn assert_served(answers: &[(String, Option<CallerResponse>)], router: &Router) {
    let served = answers.iter().filter(|(_, answer)| answer.as_ref().is_some_and(is_served)).count();
    let lost: Vec<_> = answers
        .iter()
        .filter(|(_, answer)| !answer.as_ref().is_some_and(is_served))
        .map(|(id, answer)| (id, answer.as_ref().map(|answer| (answer.status, &answer.body))))
        .collect();
    let lines = router.lines();
    let last = &lines[lines.len().saturating_sub(40)..];
    assert!(
        served * 100 >= answers.len() * MIN_SERVED_PERCENT,
        "{served} of {} requests served: {lost:#?}\n{last:#?}",
        answers.len()
    );
}

/// Asserts that no request ran more than once that must not.
fn assert_at_most_once(cluster: &Cluster, answers: &[(String, Option<CallerResponse>)]) {
    for (id, _) in answers.iter().filter(|(id, _)| id.contains("-hold-")) {
        let runs: usize = cluster.bookings.iter().map(|runner| runner.runs(id)).sum();
        assert!(runs <= 1, "{id} ran {runs} times");
    }
}

/// Cuts off the first of three nodes, and expects it to serve as before from the end of the grace period on.
async fn serves_while_cut_off(cut: Cut) {
    let (cluster, routers) = fleet(3).await;
    cluster.partition.cut(source(0), cut);
    let early = send_rounds(&routers[0], "early", ROUNDS);
    let (early, ()) = tokio::join!(early, tokio::time::sleep(GRACE_PERIOD));
    let late = send_rounds(&routers[0], "late", ROUNDS).await;
    assert_at_most_once(&cluster, &early);
    assert_at_most_once(&cluster, &late);
    assert_served(&late, &routers[0]);
    cluster.partition.heal(source(0));
    tokio::time::sleep(GRACE_PERIOD).await;
    assert_served(&send_rounds(&routers[0], "healed", ROUNDS).await, &routers[0]);
}

#[tokio::test]
async fn a_node_whose_connections_to_all_back_ends_hang_serves_its_callers() {
    serves_while_cut_off(Cut::Silent).await;
}

#[tokio::test]
async fn a_node_whose_connections_to_all_back_ends_are_reset_serves_its_callers() {
    serves_while_cut_off(Cut::Reset).await;
}

#[tokio::test]
async fn a_node_that_opens_no_new_connections_to_back_ends_serves_its_callers() {
    serves_while_cut_off(Cut::NewOnly).await;
}

#[tokio::test]
async fn the_only_node_that_reaches_the_back_ends_serves_the_callers_of_all() {
    let (cluster, routers) = fleet(4).await;
    for number in 0..3 {
        cluster.partition.cut(source(number), Cut::Silent);
    }
    let warm_up = routers[..3].iter().map(|router| send_rounds(router, "early", ROUNDS));
    futures_util::future::join_all(warm_up).await;
    tokio::time::sleep(GRACE_PERIOD).await;
    let calls = routers.iter().enumerate().map(|(number, router)| async move {
        (router, send_rounds(router, &format!("late-{number}"), ROUNDS).await)
    });
    for (router, answers) in futures_util::future::join_all(calls).await {
        assert_at_most_once(&cluster, &answers);
        assert_served(&answers, router);
    }
}

/// A caller whose request cannot be served learns so at once.
#[tokio::test]
async fn if_no_node_reaches_the_back_ends_requests_are_refused_at_once() {
    let (cluster, routers) = fleet(2).await;
    for number in 0..2 {
        cluster.partition.cut(source(number), Cut::Silent);
    }
    let warm_up = routers.iter().map(|router| send_rounds(router, "early", ROUNDS));
    futures_util::future::join_all(warm_up).await;
    tokio::time::sleep(GRACE_PERIOD).await;
    for path in ["/chat/1", "/claim/1", "/hold/1", "/quote/1"] {
        let began = Instant::now();
        let answer = routers[0].send(path, &format!("none{}", path.replace('/', "-"))).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{}", answer.body);
        assert!(answer.headers.contains_key(http::header::RETRY_AFTER));
        let took = began.elapsed();
        assert!(took < Duration::from_millis(500), "{path} was refused after {took:?}");
    }
}

/// Cuts off the first of three nodes, lets `disturb` act on the second while requests are sent to the first, and
/// expects them to be served by the third.
async fn serves_while_a_peer_is_disturbed(disturb: impl AsyncFnOnce(&mut Vec<Router>)) {
    let (cluster, mut routers) = fleet(3).await;
    cluster.partition.cut(source(0), Cut::Silent);
    send_rounds(&routers[0], "early", ROUNDS).await;
    tokio::time::sleep(GRACE_PERIOD).await;
    let first = routers.remove(0);
    let (amid, ()) = tokio::join!(send_rounds(&first, "amid", ROUNDS), async {
        tokio::time::sleep(PAUSE * 10).await;
        disturb(&mut routers).await;
    });
    assert_at_most_once(&cluster, &amid);
    let late = send_rounds(&first, "late", ROUNDS).await;
    assert_at_most_once(&cluster, &late);
    assert_served(&late, &first);
}

#[tokio::test]
async fn a_peer_that_is_killed_while_it_forwards_is_replaced_by_another() {
    serves_while_a_peer_is_disturbed(async |routers| drop(routers.remove(0))).await;
}

#[tokio::test]
async fn a_peer_that_freezes_while_it_forwards_is_replaced_by_another() {
    serves_while_a_peer_is_disturbed(async |routers| routers[0].freeze()).await;
}

/// A planned stop cuts off no request, whoever received it from its caller.
#[tokio::test]
async fn a_peer_that_stops_completes_what_it_forwards() {
    let (cluster, routers) = fleet(3).await;
    cluster.partition.cut(source(0), Cut::Silent);
    send_rounds(&routers[0], "early", ROUNDS).await;
    tokio::time::sleep(GRACE_PERIOD).await;
    let (amid, ()) = tokio::join!(send_rounds(&routers[0], "amid", ROUNDS), async {
        tokio::time::sleep(PAUSE * 10).await;
        routers[1].terminate();
    });
    assert_at_most_once(&cluster, &amid);
    let lost: Vec<_> = amid.iter().filter(|(_, answer)| !answer.as_ref().is_some_and(is_served)).collect();
    assert!(lost.is_empty(), "{lost:#?}\n{:#?}", routers[0].lines());
}

/// Whoever reaches the port of other nodes needs a caller's key as at the callers' port.
#[tokio::test]
async fn a_request_that_claims_to_be_handed_on_has_no_right_beyond_its_key() {
    let (cluster, routers) = fleet(2).await;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let send = async |key: &str, service: &str, id: &str| {
        let request = Request::post(format!("http://{}/fleet/forward/hold/1", routers[0].peers))
            .header(http::header::HOST, HOST)
            .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
            .header(Cluster::REQUEST_ID, id)
            .header(Cluster::DEADLINE, "3000")
            .header("paddlemount-service", service)
            .header("paddlemount-time-left-ms", "3000")
            .header("paddlemount-attempts", "9");
        let answer = client.request(request.body(Full::default()).expect("a request")).await;
        answer.expect("an answer").status()
    };
    assert_eq!(send("no-such-key", "booking", "h1").await, StatusCode::UNAUTHORIZED);
    assert_eq!(send(KEY, "booking", "h2").await, StatusCode::OK);
    // A service of another route is not served.
    assert_eq!(send(KEY, "pool", "h3").await, StatusCode::OK);
    let at_engines = cluster.engines.iter().flat_map(Runner::seen).filter(|seen| seen.id.starts_with('h'));
    assert_eq!(at_engines.count(), 0);
    let own_headers = cluster.bookings.iter().flat_map(Runner::seen).filter(|seen| seen.id == "h2").count();
    assert_eq!(own_headers, 1);
}

/// The retries that a node has left after it took over requests and one of them failed.
async fn retries_left_after_handoffs(credited: bool) -> u64 {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    // Without slack only what requests earn is left.
    let router = Router::start_with_retry_slack(cluster.store_address, "node-0", 0, false).await;
    router.wait_until("ready", async || router.fetch_readiness().await == Some(StatusCode::OK)).await;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let send = async |id: &str| {
        let mut request = Request::post(format!("http://{}/fleet/forward/quote/1", router.peers))
            .header(http::header::HOST, HOST)
            .header(http::header::AUTHORIZATION, format!("Bearer {KEY}"))
            .header(Cluster::REQUEST_ID, id)
            .header(Cluster::DEADLINE, "3000")
            .header("paddlemount-service", "booking")
            .header("paddlemount-time-left-ms", "3000")
            .header("paddlemount-attempts", "2");
        if credited {
            request = request.header("paddlemount-credited", "1");
        }
        let answer = client.request(request.body(Full::default()).expect("a request")).await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    };
    for number in 0..HANDED_ON {
        send(&format!("handed-on-{number}")).await;
    }
    cluster.bookings.iter().for_each(|booking| booking.script(&[Behaviour::Fails]));
    for number in 0..2 {
        let _ = router.send("/quote/1", &format!("fails-{number}")).await;
    }
    router.wait_until("logged", async || router.logged("attempt_ended")).await;
    let lines = router.lines();
    let parsed = lines.iter().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let left = parsed.filter_map(|line| line["budget_left"].as_u64());
    left.max().expect("a line with the retries left")
}

/// A request earned its share at each node that sent it, so that the budgets of all nodes exceeded their sum.
#[tokio::test]
async fn a_request_that_is_handed_on_earns_its_share_once() {
    let (uncredited, credited) =
        tokio::join!(retries_left_after_handoffs(false), retries_left_after_handoffs(true));
    // Half of nine tenths of the share is available at once.
    let earned = HANDED_ON * RETRY_PERCENT * 9 / 2_000;
    // The request that failed has drawn one of them.
    assert_eq!((uncredited, credited), (earned - 1, 0), "retries left");
}

/// A leader that gives no orders would keep all engines on old weights.
#[tokio::test]
async fn a_leader_that_reaches_no_engine_leaves_the_update_of_weights_to_another_node() {
    let (cluster, routers) = fleet(3).await;
    let mut leader = None;
    for (number, router) in routers.iter().enumerate() {
        if metric_value(router, "paddlemount_forward_leads").await == Some(1.0) {
            leader = Some(number);
        }
    }
    let leader = leader.expect("a leader");
    cluster.partition.cut(source(leader as u8), Cut::Silent);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let named = Instant::now();
    cluster.set_target_version(2);
    while cluster.engines.iter().any(|engine| engine.version() < 2) {
        assert!(named.elapsed() < WEIGHTS_BOUND, "{:#?}", routers[leader].lines());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A request whose run was cut off by a partition must not count as the cause of a crash.
#[tokio::test]
async fn runs_that_a_partition_breaks_off_are_not_counted_as_crashes() {
    for cut in [Cut::Silent, Cut::Reset] {
        let (cluster, routers) = fleet(2).await;
        for engine in &cluster.engines {
            engine.script(&[Behaviour::Long; 4]);
        }
        let running =
            [("/chat/1", "chat"), ("/claim/1", "claim")].map(|(path, id)| routers[0].send(path, id));
        let (answers, ()) = tokio::join!(futures_util::future::join_all(running), async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            cluster.partition.cut(source(0), cut);
        });
        assert!(answers.iter().flatten().any(|answer| !answer.complete), "{cut:?} breaks a run off");
        tokio::time::sleep(GRACE_PERIOD).await;
        assert!(!routers[0].logged("run_crashed"), "{cut:?}: {:#?}", routers[0].lines());
    }
}

/// A back end that falls silent for a second or so and goes on must not lose its streams.
#[tokio::test]
async fn a_stream_outlasts_a_silence_of_its_engine_that_swallows_keep_alive_probes() {
    let (cluster, routers) = fleet(2).await;
    for engine in &cluster.engines {
        engine.script(&[Behaviour::FallsSilent; 2]);
    }
    let (answer, ()) = tokio::join!(routers[0].send("/chat/1", "silent"), async {
        tokio::time::sleep(SILENCE_START).await;
        cluster.partition.cut(source(0), Cut::Silent);
        tokio::time::sleep(SILENCE).await;
        cluster.partition.heal(source(0));
    });
    assert!(answer.as_ref().is_some_and(is_served), "{answer:?}\n{:#?}", routers[0].lines());
}
