//! A graceful shutdown and the close of idle connections must answer requests that have arrived by then, in
//! sockets or in the listen backlog, even if the process is frozen across that moment.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::{Behaviour, Cluster, cluster::KEY};

use crate::{
    delivery::COMPLETE_STREAM,
    raw_caller::{Ending, RawCaller},
    router::Router,
};

/// Callers of each kind.
const CALLERS: usize = 24;
/// Time from the stop signal to the end of admission with a grace period of 6 s.
const CLOSE_DELAY: Duration = Duration::from_millis(2_240);
/// How long before and after the close the node is frozen.
const FREEZE_MARGIN: Duration = Duration::from_millis(350);

async fn cluster_and_router() -> (Cluster, Router) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    (cluster, router)
}

/// Starts engines whose next streams take 3 s, and a node with a grace period of 4 s.
async fn long_streams_and_short_grace() -> (Cluster, Router) {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start_with_grace(&cluster, 4).await;
    for engine in &cluster.engines {
        engine.script(&[Behaviour::Long; 4]);
    }
    (cluster, router)
}

/// Stops the node and freezes it around the end of admission; `act` runs the callers meanwhile.
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

/// Asserts that all answers are complete, and prints the node's log otherwise.
async fn assert_all_complete(endings: &[Ending], router: &Router) {
    let cut = endings.iter().filter(|ending| !ending.is_complete()).count();
    router.wait_until("stopped", async || router.logged("stopped")).await;
    assert_eq!(cut, 0, "of {}: {endings:?}\n{:#?}", endings.len(), router.lines());
}

#[tokio::test]
async fn requests_on_idle_connections_at_a_planned_stop_are_answered() {
    let (_cluster, router) = cluster_and_router().await;
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
async fn requests_in_the_listen_backlog_at_a_planned_stop_are_answered() {
    let (_cluster, router) = cluster_and_router().await;
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

/// An unresponsive run must not be abandoned before another back end has accepted its stream, since the run
/// may go on.
#[tokio::test]
async fn an_unresponsive_run_is_not_abandoned_until_another_accepts_its_stream() {
    let (cluster, router) = cluster_and_router().await;
    // Before a node knows that it is alone, its retry budget is 2.
    router
        .wait_until("counted", async || router.fetch_metrics().await.contains("paddlemount_forward_nodes 1"))
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

/// A stream that cannot complete within the remaining grace period must be refused instead of cut.
#[tokio::test]
async fn a_planned_stop_starts_no_stream_that_cannot_complete_in_time() {
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
    assert_eq!(runs, 0, "a refusal with a retry-after has not run");
}

/// A connection whose stream started before the signal stays open without `connection: close`. The next
/// request on it after the end of admission must be refused.
#[tokio::test]
async fn a_planned_stop_starts_nothing_after_the_end_of_admission() {
    let (cluster, router) = long_streams_and_short_grace().await;
    let mut caller = RawCaller::connect(router.callers).await;
    caller.send("/chat/1", "before").await;
    let runs = |id: &'static str| cluster.engines.iter().map(|engine| engine.runs(id)).sum::<usize>();
    router.wait_until("running", async || runs("before") == 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    router.terminate();
    assert!(matches!(caller.ending().await, Ending::Complete { status: 200, closes: false, .. }));
    let ending = caller.call("/claim/1", "after").await;
    let Ending::Complete { status: 503, closes: true, retry_after: Some(_), .. } = ending else {
        panic!("{ending:?}\n{:#?}", router.lines());
    };
    assert_eq!(runs("after"), 0);
}

/// Closing a connection with an unread request body resets it, and the reset must not overtake the refusal.
#[tokio::test]
async fn a_refusal_is_delivered_while_the_body_is_still_arriving() {
    const HALF_BODY_BYTES: usize = 30_000;
    let (_cluster, router) = cluster_and_router().await;
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect(router.callers).await;
        caller.send_head("/nowhere/1", &format!("refused-{number}"), 2 * HALF_BODY_BYTES).await;
        caller.write(&[b'x'; HALF_BODY_BYTES]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        caller.write(&[b'x'; HALF_BODY_BYTES]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let ending = caller.ending().await;
        assert!(matches!(ending, Ending::Complete { status: 404, .. }), "{number}: {ending:?}");
    }
}

/// A longer idle timeout in the configuration must apply to connections that are already open.
#[tokio::test]
async fn a_longer_idle_timeout_applies_to_open_connections() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_idle(1, &[KEY], 500);
    let router = Router::start(&cluster).await;
    let mut caller = RawCaller::connect(router.callers).await;
    assert!(caller.call("/quote/1", "rest-1").await.is_complete());
    cluster.configure_idle(2, &[KEY], 15_000);
    let applied = async || router.lines().iter().any(|line| line.contains("\"version\":2"));
    router.wait_until("applied", applied).await;
    tokio::time::sleep(Duration::from_millis(6_500)).await;
    assert!(caller.call("/quote/1", "rest-2").await.is_complete(), "{:#?}", router.lines());
}

/// Requests that arrive before an idle connection is closed must be answered, even if the node is frozen
/// meanwhile.
#[tokio::test]
async fn requests_that_arrive_before_an_idle_close_are_answered() {
    /// An advertised idle timeout of 300 ms and its slack.
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

/// The head of a stream must not be forwarded before its first event, so that an earlier failure gets a
/// complete answer.
#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_gets_a_complete_answer() {
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
