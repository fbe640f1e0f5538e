//! How long answers take, and what a planned stop still begins.

use std::time::Duration;

use paddlemount_core::forwarding::{
    answer_times::{AnswerTime, AnswerTimes},
    planned_stop::PlannedStop,
};
use paddlemount_protocol::time::Timestamp;

const ROUTE: &str = "chat";

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + seconds * 1_000)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// An answer whose request does not say how long it may be.
fn whole(count: u64) -> AnswerTime {
    AnswerTime { first_chunk: seconds(1), total: seconds(count), estimated_tokens: None }
}

#[test]
fn the_longest_answer_of_the_last_minute_counts() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest(ROUTE, at(0)), None);
    times.record(ROUTE, whole(5), at(0));
    times.record(ROUTE, whole(2), at(1));
    times.record(ROUTE, whole(3), at(30));
    assert_eq!(times.longest(ROUTE, at(49)), Some(seconds(5)));
    assert_eq!(times.longest(ROUTE, at(60)), Some(seconds(3)), "the longer one is a minute old");
    assert_eq!(times.longest(ROUTE, at(90)), None);
    assert_eq!(times.longest("other", at(30)), None);
}

#[test]
fn after_a_long_pause_nothing_of_before_is_left() {
    let mut times = AnswerTimes::default();
    for second in 0..60 {
        times.record(ROUTE, whole(5), at(second));
    }
    times.record(ROUTE, whole(1), at(10_000));
    assert_eq!(times.longest(ROUTE, at(10_000)), Some(seconds(1)));
}

#[test]
fn routes_without_a_recent_answer_are_forgotten() {
    let mut times = AnswerTimes::default();
    times.record(ROUTE, whole(5), at(0));
    times.sweep(at(30));
    assert_eq!(times.longest(ROUTE, at(30)), Some(seconds(5)));
    times.sweep(at(100));
    assert_eq!(times.longest(ROUTE, at(30)), None);
}

#[test]
fn a_request_begins_only_where_a_long_answer_would_end_in_time() {
    let stop = PlannedStop::new(at(0), seconds(6), seconds(8));
    let waits = seconds(15);
    assert!(stop.may_start(Some(seconds(5)), waits, at(3)));
    assert!(!stop.may_start(Some(seconds(5)), waits, at(4)));
    assert!(stop.may_start(Some(seconds(5)), seconds(2), at(4)), "its caller leaves before the end");
    assert!(stop.may_start(None, waits, at(4)), "nothing is known of its route");
    assert!(!stop.may_start(None, waits, at(9)), "the end has passed");
}

/// Three streams that a planned stop cut after 5.1 to 6.8 s were guessed to have 540 to 952 tokens, where half of all were
/// guessed to have fewer than 240; of requests that it refused since an answer of their route had been long, most were
/// guessed to have fewer than 350.
#[test]
fn an_answer_is_reckoned_with_by_what_its_request_guesses() {
    let mut times = AnswerTimes::default();
    let guessed = |tokens, milliseconds: u64| AnswerTime {
        first_chunk: Duration::from_millis(100),
        total: Duration::from_millis(100 + milliseconds),
        estimated_tokens: Some(tokens),
    };
    times.record(ROUTE, guessed(300, 1_000), at(0));
    times.record(ROUTE, guessed(100, 1_400), at(10));
    // Six milliseconds for each guessed token, with as much again and a half.
    assert_eq!(times.expected(ROUTE, Some(200), at(11)), Some(Duration::from_millis(3_100)));
    assert_eq!(times.expected(ROUTE, Some(540), at(11)), Some(Duration::from_millis(8_200)));
    assert_eq!(times.expected(ROUTE, None, at(11)), Some(Duration::from_millis(1_500)), "the longest");
    assert_eq!(times.expected("other", Some(10), at(11)), None);
    assert_eq!(times.expected(ROUTE, Some(10), at(80)), None, "a minute old");
}

/// A stream that came 3.6 s after the signal, expected to take far less than the 4 s that were left, was begun and cut.
#[test]
fn once_callers_are_no_longer_taken_only_what_certainly_ends_begins() {
    let stop = PlannedStop::new(at(0), seconds(3), seconds(8));
    let waits = seconds(15);
    assert!(stop.may_start(None, waits, at(2)), "callers are taken");
    assert!(!stop.may_start(None, waits, at(3)), "nothing is known of it");
    assert!(!stop.may_start(Some(Duration::from_millis(1)), waits, at(3)), "it is only expected to be short");
    assert!(stop.may_start(None, seconds(5), at(3)), "its caller leaves before the end");
    assert!(!stop.may_start(None, seconds(0), at(8)), "the end has come");
    let short = PlannedStop::new(at(0), seconds(3), seconds(2));
    assert!(!short.may_start(None, seconds(1), at(2)), "no longer than the grace period");
}

#[test]
fn a_connection_is_counted_on_for_less_time_than_a_stop_takes_callers() {
    for grace in [1, 4, 8, 30] {
        let leaving = PlannedStop::drain_period(seconds(grace));
        let told = PlannedStop::keep_alive_seconds(leaving).unwrap_or(0);
        assert!(seconds(told) <= leaving, "{grace} s of grace: {told} s are told, {leaving:?} are left");
        let stop = PlannedStop::with_grace_period(at(0), seconds(grace));
        assert_eq!(stop.accepts_until, at(0) + leaving);
        assert!(stop.ends_at < at(grace));
    }
    assert_eq!(PlannedStop::keep_alive_seconds(PlannedStop::drain_period(seconds(8))), Some(2));
    assert_eq!(PlannedStop::keep_alive_seconds(PlannedStop::drain_period(seconds(1))), None);
}
