//! How long answers take, and which requests still start in a planned stop.

use std::time::Duration;

use paddlemount_core::forwarding::{
    answer_times::{AnswerTime, AnswerTimes},
    document::RouteKind,
    planned_stop::PlannedStop,
};
use paddlemount_protocol::time::Timestamp;

const ROUTE: &str = "chat";
const REPEATABLE: RouteKind = RouteKind::Repeatable;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + seconds * 1_000)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// An answer without an estimated length.
fn answer_of(count: u64) -> AnswerTime {
    AnswerTime { first_chunk: seconds(1), total: seconds(count), estimated_tokens: None }
}

#[test]
fn the_longest_answer_of_the_last_minute_counts() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest(ROUTE, at(0)), None);
    times.record(ROUTE, answer_of(5), at(0));
    times.record(ROUTE, answer_of(2), at(1));
    times.record(ROUTE, answer_of(3), at(30));
    assert_eq!(times.longest(ROUTE, at(49)), Some(seconds(5)));
    assert_eq!(times.longest(ROUTE, at(60)), Some(seconds(3)), "the longer one has expired");
    assert_eq!(times.longest(ROUTE, at(90)), None);
    assert_eq!(times.longest("other", at(30)), None);
}

#[test]
fn times_expire_after_a_long_pause() {
    let mut times = AnswerTimes::default();
    for second in 0..60 {
        times.record(ROUTE, answer_of(5), at(second));
    }
    times.record(ROUTE, answer_of(1), at(10_000));
    assert_eq!(times.longest(ROUTE, at(10_000)), Some(seconds(1)));
}

#[test]
fn routes_without_a_recent_answer_are_forgotten() {
    let mut times = AnswerTimes::default();
    times.record(ROUTE, answer_of(5), at(0));
    times.sweep(at(30));
    assert_eq!(times.longest(ROUTE, at(30)), Some(seconds(5)));
    times.sweep(at(100));
    assert_eq!(times.longest(ROUTE, at(30)), None);
}

#[test]
fn a_request_starts_only_if_a_long_answer_would_end_in_time() {
    let stop = PlannedStop::new(at(0), seconds(6), seconds(8));
    let caller_timeout = seconds(15);
    assert!(stop.may_start(REPEATABLE, Some(seconds(5)), caller_timeout, at(3)));
    assert!(!stop.may_start(REPEATABLE, Some(seconds(5)), caller_timeout, at(4)));
    assert!(
        stop.may_start(REPEATABLE, Some(seconds(5)), seconds(2), at(4)),
        "its caller gives up before the end"
    );
    assert!(stop.may_start(REPEATABLE, None, caller_timeout, at(4)), "no answer of its route is known");
    assert!(!stop.may_start(REPEATABLE, None, caller_timeout, at(9)), "the process has ended");
}

/// Guards against a decision by the longest answer of a route, which refuses short requests and cuts off long
/// ones.
#[test]
fn the_expected_duration_follows_the_estimate_of_the_request() {
    let mut times = AnswerTimes::default();
    let estimated = |tokens, milliseconds: u64| AnswerTime {
        first_chunk: Duration::from_millis(100),
        total: Duration::from_millis(100 + milliseconds),
        estimated_tokens: Some(tokens),
    };
    times.record(ROUTE, estimated(300, 1_000), at(0));
    times.record(ROUTE, estimated(100, 1_400), at(10));
    // Six milliseconds for each estimated token, times 2.5.
    assert_eq!(times.expected(ROUTE, Some(200), at(11)), Some(Duration::from_millis(3_100)));
    assert_eq!(times.expected(ROUTE, Some(540), at(11)), Some(Duration::from_millis(8_200)));
    assert_eq!(
        times.expected(ROUTE, None, at(11)),
        Some(Duration::from_millis(1_500)),
        "the longest recent answer"
    );
    assert_eq!(times.expected("other", Some(10), at(11)), None);
    assert_eq!(times.expected(ROUTE, Some(10), at(80)), None, "all have expired");
}

/// Guards against starting an answer on the strength of its estimate alone, and cutting it off.
#[test]
fn after_the_drain_period_only_requests_that_end_in_any_case_start() {
    let stop = PlannedStop::new(at(0), seconds(3), seconds(8));
    let caller_timeout = seconds(15);
    assert!(stop.may_start(REPEATABLE, None, caller_timeout, at(2)), "callers are accepted");
    assert!(!stop.may_start(REPEATABLE, None, caller_timeout, at(3)), "its duration is unknown");
    assert!(
        !stop.may_start(REPEATABLE, Some(Duration::from_millis(1)), caller_timeout, at(3)),
        "a short estimate is not enough"
    );
    assert!(stop.may_start(REPEATABLE, None, seconds(5), at(3)), "its caller gives up before the end");
    assert!(!stop.may_start(REPEATABLE, None, seconds(0), at(8)), "the process ends");
    let short = PlannedStop::new(at(0), seconds(3), seconds(2));
    assert!(
        !short.may_start(REPEATABLE, None, seconds(1), at(2)),
        "the drain period ends with the grace period"
    );
}

/// A caller must not send it again after a cut.
#[test]
fn a_request_that_runs_at_most_once_starts_only_if_its_caller_gives_up_before_the_end() {
    let stop = PlannedStop::new(at(0), seconds(3), seconds(8));
    let may_start = |expected, caller_timeout, now| {
        stop.may_start(RouteKind::AtMostOnce, expected, seconds(caller_timeout), at(now))
    };
    for expected in [None, Some(Duration::from_millis(1))] {
        assert!(may_start(expected, 7, 1));
        assert!(!may_start(expected, 8, 1), "whatever earlier answers took");
        assert!(may_start(expected, 4, 4));
        assert!(!may_start(expected, 5, 4));
    }
}

#[test]
fn the_advertised_idle_timeout_is_shorter_than_the_drain_period() {
    for grace in [1, 4, 8, 30] {
        let drain_period = PlannedStop::drain_period(seconds(grace));
        let advertised = PlannedStop::keep_alive_seconds(drain_period).unwrap_or(0);
        assert!(
            seconds(advertised) <= drain_period,
            "{grace} s of grace: {advertised} s are advertised, {drain_period:?} are left"
        );
        let stop = PlannedStop::with_grace_period(at(0), seconds(grace));
        assert_eq!(stop.accepts_until, at(0) + drain_period);
        assert!(stop.ends_at < at(grace));
    }
    assert_eq!(PlannedStop::keep_alive_seconds(PlannedStop::drain_period(seconds(8))), Some(2));
    assert_eq!(PlannedStop::keep_alive_seconds(PlannedStop::drain_period(seconds(1))), None);
}
