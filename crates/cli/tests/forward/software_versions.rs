//! Streams of engines of several software versions: what two versions write must not be joined.

use std::{
    collections::BTreeSet,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http::StatusCode;
use paddlemount_platform_standin::{
    Behaviour, Cluster, Cut, Runner,
    cluster::KEY,
    proxy::{LinkFault, Proxy},
};

use crate::{
    raw_caller::parse_events,
    router::{CallerResponse, Router, metric_value},
};

/// Time for nodes to learn of each other.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Within this time a request that cannot be served is to be refused.
pub const REFUSAL_TIME: Duration = Duration::from_millis(600);
/// Streams of one test.
pub const STREAMS: usize = 12;
/// Events of a whole stream.
const LAST_EVENT: u64 = 5;

/// Starts a cluster whose engines have these software versions.
pub async fn cluster_of(versions: [&str; 3]) -> Cluster {
    let cluster = Cluster::start().await.expect("the cluster starts");
    for (engine, version) in cluster.engines.iter().zip(versions) {
        engine.install_software(version);
        cluster.register(engine, "ready");
    }
    cluster.configure(1, &[KEY]);
    cluster
}

pub fn source(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 2, 1 + number)
}

/// Starts nodes that know of each other.
pub async fn fleet(cluster: &Cluster, count: u8) -> Vec<Router> {
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
    tokio::time::sleep(SETTLE_TIME).await;
    routers
}

pub fn script_all(cluster: &Cluster, behaviour: Behaviour, count: usize) {
    cluster.engines.iter().for_each(|engine| engine.script(&vec![behaviour; count]));
}

/// The software versions that wrote the complete events of a body.
fn versions_in(body: &str) -> BTreeSet<String> {
    parse_events(body).into_iter().map(|event| event.software).collect()
}

/// The id of the last complete event of a body, 0 if there is none.
pub fn last_event_of(body: &str) -> u64 {
    parse_events(body).last().map_or(0, |event| event.id)
}

/// A stream as its caller received it, over all of its tries.
#[derive(Debug)]
pub struct Stream {
    pub first: CallerResponse,
    /// The answer to the take-up, if the first one broke off after an event.
    pub taken_up: Option<CallerResponse>,
}

impl Stream {
    fn versions(&self) -> BTreeSet<String> {
        let taken_up = self.taken_up.iter().flat_map(|answer| versions_in(&answer.body));
        versions_in(&self.first.body).into_iter().chain(taken_up).collect()
    }

    fn began_at(&self, version: &str) -> bool {
        versions_in(&self.first.body).first().is_some_and(|first| first == version)
    }

    pub fn was_taken_up(&self) -> bool {
        self.taken_up.is_some()
    }

    pub fn went_on(&self) -> bool {
        let Some(taken_up) = &self.taken_up else { return false };
        taken_up.complete && last_event_of(&taken_up.body) == LAST_EVENT
    }
}

pub fn assert_none_mixed(streams: &[Stream]) {
    for stream in streams {
        assert!(stream.versions().len() <= 1, "a stream holds events of two versions: {stream:#?}");
    }
}

/// Sends streams to `first`, ends its process after `lifetime`, and takes them up at the `others` in turn at once.
pub async fn take_up_after_kill(first: Router, lifetime: Duration, others: &[&Router]) -> Vec<Stream> {
    let callers = (0..STREAMS).map(|number| {
        let (first, id) = (&first, format!("first-{number}"));
        async move {
            let answer = first.send("/claim/1", &id).await?;
            if answer.complete || last_event_of(&answer.body) == 0 {
                return Some(Stream { first: answer, taken_up: None });
            }
            let other = others[number % others.len()];
            let after = last_event_of(&answer.body);
            let taken_up = other.take_up("/claim/1", &format!("second-{number}"), Some(&id), after).await;
            Some(Stream { first: answer, taken_up })
        }
    });
    let (streams, ()) = tokio::join!(join_all(callers), async {
        tokio::time::sleep(lifetime).await;
        first.signal("-KILL");
    });
    streams.into_iter().flatten().collect()
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_only_at_the_software_version_that_began_it() {
    let cluster = cluster_of(["v1", "v2", "v2"]).await;
    let routers = fleet(&cluster, 1).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        cluster.engines[0].script(&[Behaviour::BreaksInEvent]);
        let answer = routers[0].send("/claim/1", &format!("r{number}")).await.expect("an answer");
        streams.push(Stream { first: answer, taken_up: None });
    }
    assert_none_mixed(&streams);
    assert!(streams.iter().any(|stream| stream.began_at("v1")), "{streams:#?}");
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_another_engine_of_its_software_version() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let routers = fleet(&cluster, 1).await;
    routers[0].wait_for_retry_reserve().await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        cluster.engines[0].script(&[Behaviour::BreaksInEvent]);
        let answer = routers[0].send("/claim/1", &format!("r{number}")).await.expect("an answer");
        streams.push(Stream { first: answer, taken_up: None });
    }
    assert_none_mixed(&streams);
    let broken = streams.iter().filter(|stream| !stream.first.complete).count();
    assert_eq!(broken, 0, "{streams:#?}");
    assert!(cluster.engines[1].seen().iter().any(|seen| seen.resumes_after == Some(2)), "{streams:#?}");
}

#[tokio::test]
async fn callers_of_a_killed_node_take_their_streams_up_at_their_software_version() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let mut routers = fleet(&cluster, 3).await;
    script_all(&cluster, Behaviour::Slow, STREAMS);
    let first = routers.remove(0);
    let streams = take_up_after_kill(first, Duration::from_millis(700), &[&routers[0], &routers[1]]).await;
    assert_none_mixed(&streams);
    let taken_up: Vec<_> = streams.iter().filter(|stream| stream.was_taken_up()).collect();
    assert!(taken_up.len() >= STREAMS / 2, "{streams:#?}");
    let went_on = taken_up.iter().filter(|stream| stream.went_on()).count();
    assert_eq!(went_on, taken_up.len(), "{taken_up:#?}\n{:#?}", routers[0].lines());
}

/// A caller may be back before its node's other messages have left.
#[tokio::test]
async fn a_node_that_is_killed_50_ms_after_the_first_event_has_told_what_began_its_streams() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let mut routers = fleet(&cluster, 3).await;
    script_all(&cluster, Behaviour::Slow, STREAMS);
    let first = routers.remove(0);
    let streams = take_up_after_kill(first, Duration::from_millis(80), &[&routers[0], &routers[1]]).await;
    assert_none_mixed(&streams);
    let taken_up: Vec<_> = streams.iter().filter(|stream| stream.was_taken_up()).collect();
    let went_on = taken_up.iter().filter(|stream| stream.went_on()).count();
    assert!(went_on * 10 >= taken_up.len() * 9, "{went_on} of {}: {taken_up:#?}", taken_up.len());
}

/// What began before all nodes were killed is unknown, and must not go on by guess.
#[tokio::test]
async fn streams_of_nodes_that_were_all_killed_are_not_joined_from_two_software_versions() {
    let cluster = cluster_of(["v1", "v2", "v3"]).await;
    let routers = fleet(&cluster, 2).await;
    script_all(&cluster, Behaviour::Slow, STREAMS);
    let begun = (0..STREAMS).map(|number| {
        let router = &routers[number % 2];
        async move { router.send("/claim/1", &format!("first-{number}")).await }
    });
    let (begun, ()) = tokio::join!(join_all(begun), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        routers.iter().for_each(|router| router.signal("-KILL"));
    });
    let next = Router::start(&cluster).await;
    let mut streams = Vec::new();
    for (number, first) in begun.into_iter().enumerate() {
        let Some(first) = first.filter(|first| last_event_of(&first.body) > 0) else { continue };
        let (resumes, after) = (format!("first-{number}"), last_event_of(&first.body));
        let taken_up = next.take_up("/claim/1", &format!("second-{number}"), Some(&resumes), after).await;
        streams.push(Stream { first, taken_up });
    }
    assert!(!streams.is_empty());
    assert_none_mixed(&streams);
}

/// Whatever a caller names, a stream whose version is not known is refused at once and goes to no engine.
#[tokio::test]
async fn a_take_up_of_an_unknown_stream_among_several_software_versions_is_refused_and_not_run() {
    let cluster = cluster_of(["v1", "v2", "v2"]).await;
    cluster.configure_with_second_tenant(2, &[KEY], "key-of-beta");
    let routers = fleet(&cluster, 2).await;
    script_all(&cluster, Behaviour::Slow, 1);
    let begun = routers[0].send("/claim/1", "begun").await.expect("an answer");
    assert!(begun.complete, "{begun:#?}");
    let long = "x".repeat(10_000);
    let named = [None, Some("never-was"), Some(""), Some("a, b"), Some("\u{e9}"), Some(long.as_str())];
    for (number, resumes) in named.into_iter().enumerate() {
        let sent_at = Instant::now();
        let answer = routers[1].take_up("/claim/1", &format!("unknown-{number}"), resumes, 2).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{resumes:?}: {answer:#?}");
        assert!(answer.headers.contains_key(http::header::RETRY_AFTER));
        assert!(sent_at.elapsed() < REFUSAL_TIME, "{resumes:?} was refused after {:?}", sent_at.elapsed());
    }
    let other =
        routers[1].take_up_with_key("/claim/1", "unknown-beta", Some("begun"), 2, "key-of-beta").await;
    assert_eq!(other.expect("an answer").status, StatusCode::SERVICE_UNAVAILABLE);
    let seen = cluster.engines.iter().flat_map(Runner::seen);
    assert_eq!(seen.filter(|seen| seen.resumes_after.is_some()).count(), 0);
}

/// A node that has lost the store may know of one version only, while the stream began at another one elsewhere.
#[tokio::test]
async fn a_node_that_never_heard_of_a_software_version_does_not_guess_that_another_one_began_a_stream() {
    let cluster = cluster_of(["v1", "v1", "v1"]).await;
    let store_link = Proxy::start(cluster.store_address).await.expect("a proxy starts");
    let peer_link = Proxy::start_without_target().await.expect("a proxy starts");
    let cut_off = Router::start_behind_from(store_link.address, "node-0", &peer_link, source(0)).await;
    cut_off.wait_until("ready", async || cut_off.fetch_readiness().await == Some(StatusCode::OK)).await;
    store_link.set(LinkFault::Silent);
    peer_link.set(LinkFault::Silent);
    let began_at = Router::start_from(cluster.store_address, "node-1", source(1)).await;
    cluster.engines[2].install_software("v2");
    cluster.engines[2].crash();
    cluster.engines[..2].iter().for_each(|engine| cluster.unregister(engine));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("first-{number}");
        cluster.engines[2].script(&[Behaviour::BreaksInEvent]);
        let Some(first) = began_at.send("/claim/1", &id).await else { continue };
        let after = last_event_of(&first.body);
        if after == 0 || first.complete {
            continue;
        }
        let taken_up = cut_off.take_up("/claim/1", &format!("second-{number}"), Some(&id), after).await;
        streams.push(Stream { first, taken_up });
    }
    assert!(streams.iter().any(|stream| stream.began_at("v2")), "{streams:#?}");
    assert_none_mixed(&streams);
}

/// The way through another node must not lose the version on either side.
#[tokio::test]
async fn a_stream_that_goes_through_another_node_stays_at_its_software_version() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let mut routers = fleet(&cluster, 3).await;
    // Opens connections to back ends, so that the cut is noticed.
    let warm_up: Vec<String> = (0..8).map(|number| format!("warm-{number}")).collect();
    join_all(warm_up.iter().map(|id| routers[0].send("/claim/1", id))).await;
    cluster.partition.cut(source(0), Cut::Silent);
    let settling: Vec<String> = (0..STREAMS).map(|number| format!("settling-{number}")).collect();
    join_all(settling.iter().map(|id| routers[0].send("/claim/1", id))).await;
    tokio::time::sleep(SETTLE_TIME).await;
    script_all(&cluster, Behaviour::Slow, 2 * STREAMS);
    let peer = routers.remove(1);
    let through: Vec<String> = (0..STREAMS).map(|number| format!("through-{number}")).collect();
    let callers = join_all(through.iter().map(|id| routers[0].send("/claim/1", id)));
    let (answers, ()) = tokio::join!(callers, async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        peer.signal("-KILL");
    });
    // The retry budget of a node may not last for all streams of another one; their callers take the rest up.
    let mut streams = Vec::new();
    for (id, first) in through.iter().zip(answers) {
        let first = first.expect("an answer");
        let after = last_event_of(&first.body);
        let is_broken = !first.complete && after > 0;
        let taken_up = match is_broken {
            true => routers[1].take_up("/claim/1", &format!("again-{id}"), Some(id), after).await,
            false => None,
        };
        streams.push(Stream { first, taken_up });
    }
    assert_none_mixed(&streams);
    let whole = streams.iter().filter(|stream| stream.first.complete || stream.went_on()).count();
    assert_eq!(whole, STREAMS, "{streams:#?}\n{:#?}", routers[0].lines());
    assert!(streams.iter().any(|stream| stream.first.complete), "{streams:#?}");
}

/// Without a second version, callers without the new header go on as before.
#[tokio::test]
async fn a_stream_of_the_only_software_version_goes_on_without_a_record() {
    let cluster = cluster_of(["v1", "v1", "v1"]).await;
    let router = Router::start_first(&cluster).await;
    let answer = router.take_up("/claim/1", "alone", None, 2).await.expect("an answer");
    assert_eq!((answer.status, last_event_of(&answer.body), answer.complete), (StatusCode::OK, 5, true));
}
