//! A node that was stopped as planned left requests without an answer that had reached it in time: they lay in sockets of
//! connections that rested, or in the queue of the listener, when the time to take callers was over. The node closed
//! both without a look, and the kernel reset whoever had sent something. That takes a node that gets no processor time for
//! a while, as beside many others on one machine: when it runs again its timer and the requests are ready together.
//!
//! What settled it: with the node held up for 0.7 s across that moment, 24 requests on connections that rested and 24 on
//! new ones, and no line of any of those that were cut but `closed_unread`.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::{Behaviour, Cluster, cluster::KEY};

use crate::{
    delivery::COMPLETE_STREAM,
    raw_caller::{Ending, RawCaller},
    router::Router,
};

/// Callers of each kind.
const CALLERS: usize = 24;
/// When a node with a grace period of 6 s takes callers no longer, after the signal to stop.
const CLOSE_DELAY: Duration = Duration::from_millis(2_240);
/// How long before and after that moment the node gets no processor time.
const FREEZE_MARGIN: Duration = Duration::from_millis(350);

async fn cluster_and_router() -> (Cluster, Router) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    (cluster, router)
}

/// Engines whose next streams take 3 s, before a node that has 4 s for a planned stop.
async fn long_streams_and_short_grace() -> (Cluster, Router) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start_with_grace(&cluster, 4).await;
    for engine in &cluster.engines {
        engine.script(&[Behaviour::Long; 4]);
    }
    (cluster, router)
}

/// Stops the node, which gets no processor time around the moment at which it takes callers no longer; `act` does what
/// callers do meanwhile.
async fn stop_and_freeze<T>(router: &Router, act: impl Future<Output = T>) -> T {
    let stopped = Instant::now();
    router.terminate();
    tokio::time::sleep_until((stopped + CLOSE_DELAY - FREEZE_MARGIN).into()).await;
    router.freeze();
    let done = act.await;
    tokio::time::sleep_until((stopped + CLOSE_DELAY + FREEZE_MARGIN).into()).await;
    router.thaw();
    done
}

async fn endings(callers: Vec<RawCaller>) -> Vec<Ending> {
    let waiting = callers.into_iter().map(|mut caller| async move { caller.ending().await });
    futures_util::future::join_all(waiting).await
}

/// All callers got a whole answer; where not, the node's own words.
async fn assert_all_complete(endings: &[Ending], router: &Router) {
    let cut = endings.iter().filter(|ending| !ending.is_complete()).count();
    router.until("stopped", async || router.logged("stopped")).await;
    assert_eq!(cut, 0, "of {}: {endings:?}\n{:#?}", endings.len(), router.lines());
}

#[tokio::test]
async fn what_lies_in_resting_connections_at_a_planned_stop_is_answered() {
    let (_place, router) = cluster_and_router().await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect(router.callers).await;
        assert!(caller.call("/quote/1", &format!("first-{number}")).await.is_complete());
        callers.push(caller);
    }
    stop_and_freeze(&router, async {
        for (number, caller) in callers.iter_mut().enumerate() {
            caller.send("/quote/1", &format!("second-{number}")).await;
        }
    })
    .await;
    assert_all_complete(&endings(callers).await, &router).await;
}

#[tokio::test]
async fn what_waits_in_the_listeners_queue_at_a_planned_stop_is_answered() {
    let (_place, router) = cluster_and_router().await;
    let callers = stop_and_freeze(&router, async {
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let mut caller = RawCaller::connect(router.callers).await;
            caller.send("/quote/1", &format!("new-{number}")).await;
            callers.push(caller);
        }
        callers
    })
    .await;
    assert_all_complete(&endings(callers).await, &router).await;
}

/// A silent run was let go as soon as another back end was asked. Where that one refused, the caller's stream broke, though
/// the run was well and went on after its pause: `attempt_ended` with `silent`, two with `not_run`, and `stream_broken`.
#[tokio::test]
async fn a_silent_run_is_kept_until_another_has_taken_its_stream() {
    let (cluster, router) = cluster_and_router().await;
    // A node that does not know that it is alone allows itself two retries only.
    router
        .until("counted", async || router.fetch_metrics().await.contains("paddlemount_forward_nodes 1"))
        .await;
    let (first, others) = cluster.engines.split_first().expect("engines");
    first.script(&[Behaviour::FallsSilent; CALLERS]);
    for engine in others {
        engine.script(&[Behaviour::Sheds; 4 * CALLERS]);
    }
    let calls = (0..CALLERS).map(|number| {
        let router = &router;
        async move { router.send("/claim/1", &format!("silent-{number}")).await.expect("an answer") }
    });
    let all = futures_util::future::join_all(calls).await;
    let broken: Vec<_> = all.iter().filter(|response| response.status == 200 && !response.complete).collect();
    assert!(broken.is_empty(), "{broken:?}\n{:#?}", router.lines());
    assert!(all.iter().any(|response| response.complete && response.body == COMPLETE_STREAM));
}

/// A planned stop took callers for a fixed time and ended after another. A stream that began near the end of the first and
/// lasted longer than the rest of the second was cut: `stopped` with `running: 1` after the whole grace period.
#[tokio::test]
async fn a_planned_stop_begins_no_stream_that_it_cannot_end() {
    let (cluster, router) = long_streams_and_short_grace().await;
    let mut caller = RawCaller::connect(router.callers).await;
    assert!(caller.call("/chat/1", "long-1").await.is_complete());
    router.terminate();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let ending = caller.call("/chat/1", "long-2").await;
    let runs: usize = cluster.engines.iter().map(|engine| engine.runs("long-2")).sum();
    let Ending::Complete { status: 503, closes: true, retry_after: Some(_), .. } = ending else {
        panic!("{ending:?}\n{:#?}", router.lines());
    };
    assert_eq!(runs, 0, "a refusal that says when to come back has not run");
}

/// A stream whose head had left before the signal keeps its connection without a word of the stop. Its caller sent the next
/// request on it when callers were no longer taken; that one was begun, and cut by the end of the grace period: its route
/// had had no answer by which its length could be known.
#[tokio::test]
async fn a_planned_stop_begins_nothing_after_it_takes_callers_no_longer() {
    let (cluster, router) = long_streams_and_short_grace().await;
    let mut caller = RawCaller::connect(router.callers).await;
    caller.send("/chat/1", "before").await;
    let runs = |id: &'static str| cluster.engines.iter().map(|engine| engine.runs(id)).sum::<usize>();
    router.until("running", async || runs("before") == 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    router.terminate();
    assert!(matches!(caller.ending().await, Ending::Complete { status: 200, closes: false, .. }));
    let ending = caller.call("/claim/1", "after").await;
    let Ending::Complete { status: 503, closes: true, retry_after: Some(_), .. } = ending else {
        panic!("{ending:?}\n{:#?}", router.lines());
    };
    assert_eq!(runs("after"), 0);
}

/// A refusal was sent before the request's body was read, and the connection closed with unread bytes: the reset could
/// overtake the refusal.
#[tokio::test]
async fn a_refusal_outlives_a_body_that_is_still_on_its_way() {
    const HALF: usize = 30_000;
    let (_place, router) = cluster_and_router().await;
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect(router.callers).await;
        caller.send_head("/nowhere/1", &format!("refused-{number}"), 2 * HALF).await;
        caller.write(&[b'x'; HALF]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        caller.write(&[b'x'; HALF]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let ending = caller.ending().await;
        assert!(matches!(ending, Ending::Complete { status: 404, .. }), "{number}: {ending:?}");
    }
}

/// The time for which a connection may rest was read when it opened. A configuration that allows longer rests was not kept
/// to on connections that were open already.
#[tokio::test]
async fn a_longer_rest_counts_for_connections_that_are_open() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_idle(1, &[KEY], 500);
    let router = Router::start(&cluster).await;
    let mut caller = RawCaller::connect(router.callers).await;
    assert!(caller.call("/quote/1", "rest-1").await.is_complete());
    cluster.configure_idle(2, &[KEY], 15_000);
    let applied = async || router.lines().iter().any(|line| line.contains("\"version\":2"));
    router.until("applied", applied).await;
    tokio::time::sleep(Duration::from_millis(6_500)).await;
    assert!(caller.call("/quote/1", "rest-2").await.is_complete(), "{:#?}", router.lines());
}

/// A connection that has rested for as long as callers may count on is closed. What has come on it by then is answered,
/// also where the node got no processor time meanwhile.
#[tokio::test]
async fn what_lies_in_connections_that_have_rested_for_long_is_answered() {
    /// After a rest of 300 ms that callers may count on.
    const CLOSE_DELAY: Duration = Duration::from_millis(5_300);
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_idle(1, &[KEY], 300);
    let router = Router::start(&cluster).await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect(router.callers).await;
        assert!(caller.call("/quote/1", &format!("rested-{number}")).await.is_complete());
        callers.push(caller);
    }
    tokio::time::sleep(CLOSE_DELAY - FREEZE_MARGIN).await;
    router.freeze();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send("/quote/1", &format!("at-last-{number}")).await;
    }
    tokio::time::sleep(2 * FREEZE_MARGIN).await;
    router.thaw();
    let endings = endings(callers).await;
    assert!(endings.iter().all(Ending::is_complete), "{endings:?}\n{:#?}", router.lines());
}

/// A stream's head was passed on before its first event. What went wrong between the two could then only be told by cutting
/// the answer.
#[tokio::test]
async fn what_breaks_before_its_first_event_is_answered_whole() {
    let (cluster, router) = cluster_and_router().await;
    for engine in &cluster.engines {
        engine.script(&[Behaviour::BreaksAfterHead; 2]);
    }
    let mut caller = RawCaller::connect(router.callers).await;
    let ending = caller.call("/chat/1", "early-1").await;
    assert!(matches!(ending, Ending::Complete { status: 502, .. }), "{ending:?}");
    let runs: usize = cluster.engines.iter().map(|engine| engine.runs("early-1")).sum();
    assert_eq!(runs, 1);
}
