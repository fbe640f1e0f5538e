//! How long answers take, and what a planned stop still begins.

use std::time::Duration;

use paddlemount_core::forwarding::{answer_times::AnswerTimes, planned_stop::PlannedStop};
use paddlemount_protocol::time::Timestamp;

const ROUTE: &str = "chat";

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + seconds * 1_000)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn the_longest_answer_of_the_last_minute_counts() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest(ROUTE, at(0)), None);
    times.ended(ROUTE, seconds(5), at(0));
    times.ended(ROUTE, seconds(2), at(1));
    times.ended(ROUTE, seconds(3), at(30));
    assert_eq!(times.longest(ROUTE, at(49)), Some(seconds(5)));
    assert_eq!(times.longest(ROUTE, at(60)), Some(seconds(3)), "the longer one is a minute old");
    assert_eq!(times.longest(ROUTE, at(90)), None);
    assert_eq!(times.longest("other", at(30)), None);
}

#[test]
fn after_a_long_pause_nothing_of_before_is_left() {
    let mut times = AnswerTimes::default();
    for second in 0..60 {
        times.ended(ROUTE, seconds(5), at(second));
    }
    times.ended(ROUTE, seconds(1), at(10_000));
    assert_eq!(times.longest(ROUTE, at(10_000)), Some(seconds(1)));
}

#[test]
fn routes_without_a_recent_answer_are_forgotten() {
    let mut times = AnswerTimes::default();
    times.ended(ROUTE, seconds(5), at(0));
    times.sweep(at(30));
    assert_eq!(times.longest(ROUTE, at(30)), Some(seconds(5)));
    times.sweep(at(100));
    assert_eq!(times.longest(ROUTE, at(30)), None);
}

#[test]
fn a_request_begins_only_where_a_long_answer_would_end_in_time() {
    let stop = PlannedStop::new(at(0), seconds(6), seconds(8));
    let waits = seconds(15);
    assert!(stop.may_begin(Some(seconds(5)), waits, at(3)));
    assert!(!stop.may_begin(Some(seconds(5)), waits, at(4)));
    assert!(stop.may_begin(Some(seconds(5)), seconds(2), at(4)), "its caller leaves before the end");
    assert!(stop.may_begin(None, waits, at(4)), "nothing is known of its route");
    assert!(!stop.may_begin(None, waits, at(9)), "the end has passed");
}

#[test]
fn nothing_begins_once_callers_are_no_longer_taken() {
    let stop = PlannedStop::new(at(0), seconds(3), seconds(8));
    assert!(stop.may_begin(Some(seconds(1)), seconds(1), at(2)));
    assert!(!stop.may_begin(Some(seconds(1)), seconds(1), at(3)));
    let short = PlannedStop::new(at(0), seconds(3), seconds(2));
    assert!(!short.may_begin(None, seconds(1), at(2)), "no longer than the grace period");
}
