//! A node that was stopped as planned left requests without an answer that had reached it in time: they lay in sockets of
//! connections that rested, or in the queue of the listener, when the time to take callers was over. The node closed
//! both without a look, and the kernel reset whoever had sent something. That takes a node that gets no processor time for
//! a while, as beside many others on one machine: when it runs again its timer and the requests are ready together.
//!
//! What settled it: with the node held up for 0.7 s across that moment, 24 requests on connections that rested and 24 on
//! new ones, and no line of any of those that were cut but `closed_unread`.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::{Place, place::KEY};

use crate::{
    raw_caller::{Ending, RawCaller},
    router::Router,
};

/// Callers of each kind.
const CALLERS: usize = 24;
/// When a node with a grace period of 6 s takes callers no longer, after the signal to stop.
const CLOSES_AFTER: Duration = Duration::from_millis(2_240);
/// How long before and after that moment the node gets no processor time.
const HELD_UP: Duration = Duration::from_millis(350);

async fn place_and_router() -> (Place, Router) {
    let place = Place::start().await.expect("a place starts");
    place.configure(1, &[KEY]);
    let router = Router::start(&place).await;
    (place, router)
}

/// Stops the node, which gets no processor time around the moment at which it takes callers no longer; `act` does what
/// callers do meanwhile.
async fn stop_and_hold_up<T>(router: &Router, act: impl Future<Output = T>) -> T {
    let stopped = Instant::now();
    router.terminate();
    tokio::time::sleep_until((stopped + CLOSES_AFTER - HELD_UP).into()).await;
    router.freeze();
    let done = act.await;
    tokio::time::sleep_until((stopped + CLOSES_AFTER + HELD_UP).into()).await;
    router.thaw();
    done
}

async fn endings(callers: Vec<RawCaller>) -> Vec<Ending> {
    let waiting = callers.into_iter().map(|mut caller| async move { caller.ending().await });
    futures_util::future::join_all(waiting).await
}

/// All callers got a whole answer; where not, the node's own words.
async fn assert_whole(endings: &[Ending], router: &Router) {
    let cut = endings.iter().filter(|ending| !ending.is_whole()).count();
    router.until("told all", async || router.told("stopped")).await;
    assert_eq!(cut, 0, "of {}: {endings:?}\n{:#?}", endings.len(), router.lines());
}

#[tokio::test]
async fn what_lies_in_resting_connections_at_a_planned_stop_is_answered() {
    let (_place, router) = place_and_router().await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect(router.callers).await;
        assert!(caller.call("/quote/1", &format!("first-{number}")).await.is_whole());
        callers.push(caller);
    }
    stop_and_hold_up(&router, async {
        for (number, caller) in callers.iter_mut().enumerate() {
            caller.send("/quote/1", &format!("second-{number}")).await;
        }
    })
    .await;
    assert_whole(&endings(callers).await, &router).await;
}

#[tokio::test]
async fn what_waits_in_the_listeners_queue_at_a_planned_stop_is_answered() {
    let (_place, router) = place_and_router().await;
    let callers = stop_and_hold_up(&router, async {
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let mut caller = RawCaller::connect(router.callers).await;
            caller.send("/quote/1", &format!("new-{number}")).await;
            callers.push(caller);
        }
        callers
    })
    .await;
    assert_whole(&endings(callers).await, &router).await;
}
