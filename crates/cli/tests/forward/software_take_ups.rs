//! Take-ups of streams of several software versions at nodes that know little, and amid faults of their knowledge.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use paddlemount_platform_standin::{
    Behaviour, Identity, RestartPlan,
    proxy::{LinkFault, Proxy},
    store::StoreFault,
};

use crate::{
    router::{CallerResponse, Router},
    software_versions::{
        REFUSAL_TIME, SETTLE_TIME, STREAMS, Stream, assert_none_mixed, cluster_of, fleet, last_event_of,
        script_all, source, take_up_after_kill,
    },
};

/// Tries of a caller for one take-up.
const TRIES: usize = 4;

/// Begins streams and returns those that broke off after an event, with their ids.
async fn begin_streams(router: &Router, label: &str) -> Vec<(String, CallerResponse)> {
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("{label}-{number}")).collect();
    let answers = join_all(ids.iter().map(|id| router.send("/claim/1", id))).await;
    let begun = ids.iter().cloned().zip(answers).filter_map(|(id, answer)| Some((id, answer?)));
    begun.filter(|(_, answer)| !answer.complete && last_event_of(&answer.body) > 0).collect()
}

/// Takes a stream up, again after the stated pause as long as it is refused.
async fn take_up_patiently(router: &Router, id: &str, first: CallerResponse) -> Stream {
    let after = last_event_of(&first.body);
    let mut taken_up = None;
    for number in 0..TRIES {
        taken_up = router.take_up("/claim/1", &format!("{id}+{number}"), Some(id), after).await;
        let Some(refused) = taken_up.as_ref().filter(|answer| answer.status != StatusCode::OK) else { break };
        let pause = refused.headers.get(http::header::RETRY_AFTER).expect("a pause is stated");
        let pause = pause.to_str().ok().and_then(|seconds| seconds.parse().ok()).expect("a number");
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
    }
    Stream { first, taken_up }
}

fn assert_all_went_on(streams: &[Stream], min_taken_up: usize) {
    assert_none_mixed(streams);
    assert!(streams.len() >= min_taken_up, "{} streams were taken up", streams.len());
    assert!(streams.iter().all(Stream::went_on), "{streams:#?}");
}

/// The nodes do not learn of the new process, as the store is out of reach.
#[tokio::test]
async fn a_stream_does_not_go_on_at_another_software_version_that_reuses_the_address_of_its_own() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let routers = fleet(&cluster, 2).await;
    script_all(&cluster, Behaviour::Slow, 2 * STREAMS);
    let (begun, ()) = tokio::join!(begin_streams(&routers[0], "first"), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.store.set_fault(StoreFault::Refuses);
        let engine = &cluster.engines[0];
        engine.install_next_software("v2");
        engine.crash_with(RestartPlan { after: Duration::from_millis(30), identity: Identity::Another });
        tokio::time::sleep(Duration::from_millis(300)).await;
        routers[0].signal("-KILL");
    });
    let streams = join_all(begun.into_iter().map(|(id, first)| async {
        let id = id;
        take_up_patiently(&routers[1], &id, first).await
    }))
    .await;
    assert_none_mixed(&streams);
    assert!(!streams.is_empty());
}

#[tokio::test]
async fn callers_of_a_killed_node_take_their_streams_up_at_the_only_node_left() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let mut routers = fleet(&cluster, 2).await;
    script_all(&cluster, Behaviour::Slow, STREAMS);
    let first = routers.remove(0);
    let streams = take_up_after_kill(first, Duration::from_millis(700), &[&routers[0]]).await;
    let taken_up: Vec<Stream> = streams.into_iter().filter(Stream::was_taken_up).collect();
    assert_all_went_on(&taken_up, STREAMS / 2);
}

#[tokio::test]
async fn callers_of_a_killed_node_take_their_streams_up_at_a_node_that_has_just_started() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let routers = fleet(&cluster, 3).await;
    script_all(&cluster, Behaviour::Slow, STREAMS);
    let (begun, ()) = tokio::join!(begin_streams(&routers[2], "first"), async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        routers[2].signal("-KILL");
    });
    let started = Router::start_from(cluster.store_address, "node-3", source(3)).await;
    started.wait_until("ready", async || started.fetch_readiness().await == Some(StatusCode::OK)).await;
    let mut streams = Vec::new();
    for (id, first) in begun {
        streams.push(take_up_patiently(&started, &id, first).await);
    }
    assert_all_went_on(&streams, STREAMS / 2);
}

/// It reaches the store and all engines, but nobody who knows what began the stream.
#[tokio::test]
async fn a_node_that_is_cut_off_from_the_others_alone_refuses_their_streams_at_once() {
    let cluster = cluster_of(["v1", "v1", "v2"]).await;
    let mut links = Vec::new();
    let mut routers = Vec::new();
    for number in 0..2 {
        let link = Proxy::start_without_target().await.expect("a proxy starts");
        let name = format!("node-{number}");
        routers.push(Router::start_behind_from(cluster.store_address, &name, &link, source(number)).await);
        links.push(link);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    links.iter().for_each(|link| link.set(LinkFault::Silent));
    tokio::time::sleep(SETTLE_TIME).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("first-{number}");
        cluster.engines.iter().for_each(|engine| engine.script(&[Behaviour::BreaksInEvent; 3]));
        let Some(first) = routers[0].send("/claim/1", &id).await else { continue };
        let after = last_event_of(&first.body);
        let sent_at = std::time::Instant::now();
        let taken_up = routers[1].take_up("/claim/1", &format!("{id}+1"), Some(&id), after.max(1)).await;
        let taken_up = taken_up.expect("an answer");
        assert_eq!(taken_up.status, StatusCode::SERVICE_UNAVAILABLE, "{taken_up:#?}");
        assert!(sent_at.elapsed() < REFUSAL_TIME, "refused after {:?}", sent_at.elapsed());
        streams.push(Stream { first, taken_up: Some(taken_up) });
    }
    assert_none_mixed(&streams);
    assert!(!streams.is_empty());
}
