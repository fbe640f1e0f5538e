//! Requests that come late in a planned stop.

use std::time::Duration;

use paddlemount_platform_standin::{Behaviour, Cluster, Pace, Runner, cluster::KEY};

use crate::{
    raw_caller::{Ending, RawCaller},
    router::Router,
};

/// When a late request begins to arrive after the signal to stop: shortly before callers are turned away.
const LATE: Duration = Duration::from_millis(2_000);
/// The time between a late head and its body, after which the process ends before the request could.
const BODY_DELAY: Duration = Duration::from_millis(1_500);
/// The body of requests.
const BODY: &str = "the body";

/// A node that is about to stop, with callers that have had an answer on each route.
struct StoppingNode {
    cluster: Cluster,
    router: Router,
}

impl StoppingNode {
    async fn start() -> Self {
        let cluster = Cluster::start().await.expect("the cluster starts");
        cluster.configure(1, &[KEY]);
        let router = Router::start(&cluster).await;
        for path in ["/hold/1", "/chat/1"] {
            let answer = router.send(path, "before").await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
        Self { cluster, router }
    }

    /// Answers take as long from now on.
    fn slow_down(&self, work_time: Duration) {
        let pace = Pace { work_time, ..Pace::default() };
        self.cluster.bookings.iter().for_each(|booking| booking.set_pace(pace));
        self.cluster.engines.iter().for_each(|engine| engine.script(&[Behaviour::Long]));
    }

    /// Signals the node to stop, and sends a request whose head and body come at these times afterwards.
    async fn call_after_signal(&self, path: &str, head_after: Duration, body_delay: Duration) -> Ending {
        let mut caller = RawCaller::connect(self.router.callers).await;
        self.router.terminate();
        tokio::time::sleep(head_after).await;
        caller.send_head(path, "late", BODY.len()).await;
        tokio::time::sleep(body_delay).await;
        caller.write(BODY.as_bytes()).await;
        caller.ending().await
    }

    fn runs(&self) -> usize {
        let runners = self.cluster.bookings.iter().chain(&self.cluster.engines);
        runners.map(|runner: &Runner| runner.runs("late")).sum()
    }

    /// Checks that the request was refused, and not run.
    fn check_refused(&self, ending: &Ending) {
        let lines = self.router.lines();
        assert!(matches!(ending, Ending::Complete { status: 503, .. }), "{ending:?}, lines: {lines:#?}");
        assert_eq!(self.runs(), 0, "it was run");
    }
}

#[tokio::test]
async fn a_request_whose_body_comes_late_in_a_planned_stop_is_not_cut() {
    let node = StoppingNode::start().await;
    node.slow_down(Duration::from_secs(3));
    let ending = node.call_after_signal("/hold/1", LATE, BODY_DELAY).await;
    node.check_refused(&ending);
}

#[tokio::test]
async fn a_stream_whose_request_comes_late_in_a_planned_stop_is_not_cut() {
    let node = StoppingNode::start().await;
    node.slow_down(Duration::ZERO);
    let ending = node.call_after_signal("/chat/1", LATE, BODY_DELAY).await;
    node.check_refused(&ending);
}

/// A short answer of before says nothing of the next one.
#[tokio::test]
async fn a_request_that_runs_at_most_once_and_takes_longer_than_before_is_not_cut_by_a_planned_stop() {
    let node = StoppingNode::start().await;
    node.slow_down(Duration::from_secs(5));
    let ending = node.call_after_signal("/hold/1", LATE, Duration::ZERO).await;
    node.check_refused(&ending);
}

/// The connection was closed after 200 ms without a byte, and its request was lost.
#[tokio::test]
async fn a_request_that_follows_its_new_connection_late_in_a_planned_stop_is_answered() {
    let node = StoppingNode::start().await;
    node.router.terminate();
    tokio::time::sleep(LATE).await;
    let mut caller = RawCaller::connect(node.router.callers).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let ending = caller.call("/hold/1", "late").await;
    assert!(ending.is_complete(), "{ending:?}");
}

#[tokio::test]
async fn a_request_whose_body_comes_early_in_a_planned_stop_is_served() {
    let node = StoppingNode::start().await;
    node.slow_down(Duration::from_millis(500));
    let ending = node.call_after_signal("/hold/1", LATE / 2, LATE / 4).await;
    assert!(matches!(ending, Ending::Complete { status: 200, .. }), "{ending:?}");
    assert_eq!(node.runs(), 1);
}
