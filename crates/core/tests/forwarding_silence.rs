//! When an engine counts as silent, and when requests leave it.

use std::time::Duration;

use paddlemount_core::forwarding::{
    connect_times::ConnectTimes,
    doubts::Doubts,
    silence::{Contact, Silences, WaitId},
};
use paddlemount_protocol::{
    fleet::BackendProcess,
    identity::{EngineId, ServiceId},
    time::Timestamp,
};

/// A gap target of callers: a pause above it is noticed.
const GAP: Duration = Duration::from_millis(400);
/// The usual time to a first byte.
const FIRST: Duration = Duration::from_millis(500);
/// By when a stream should have left an engine that is gone, so that it continues within its callers' next
/// targets: the aims of interactive routes lie at 0.8 s and above.
const LEAVE_BY: u64 = 800;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn engine() -> BackendProcess {
    BackendProcess { id: EngineId::from("e"), started_at: Some(1) }
}

/// Streams that got an event each at time 0.
fn streams(count: usize) -> (Silences, Vec<WaitId>) {
    let mut silences = Silences::default();
    let waits: Vec<WaitId> = (0..count).map(|_| silences.begin_wait(&engine(), FIRST, at(0))).collect();
    waits.iter().for_each(|wait| silences.record_byte(&engine(), *wait, Some(GAP), at(0)));
    (silences, waits)
}

/// When the first wait leaves, looking each 10 ms up to 20 s, with connections that end as `connect` says.
fn leaves_at(silences: &mut Silences, wait: WaitId, connect: Option<bool>) -> Option<u64> {
    (0..20_000).step_by(10).find(|ms| {
        let now = at(*ms);
        match connect.filter(|_| silences.begin_check(&engine(), wait, now)) {
            Some(true) => silences.record_reachable(&engine(), now),
            Some(false) => silences.record_unanswered_connect(&engine(), now),
            None => {}
        }
        silences.should_leave(&engine(), wait, now)
    })
}

#[test]
fn one_quiet_request_never_leaves_on_its_own_evidence() {
    for connect in [None, Some(true)] {
        let (mut silences, waits) = streams(1);
        assert_eq!(leaves_at(&mut silences, waits[0], connect), None, "{connect:?}");
        let mut silences = Silences::default();
        let wait = silences.begin_wait(&engine(), FIRST, at(0));
        assert_eq!(leaves_at(&mut silences, wait, connect), None, "{connect:?}");
    }
}

#[test]
fn a_stream_leaves_an_unreachable_engine_within_its_callers_target() {
    let (mut silences, waits) = streams(1);
    let left = leaves_at(&mut silences, waits[0], Some(false)).expect("it leaves");
    assert!(left <= LEAVE_BY, "{left}");
}

#[test]
fn several_quiet_streams_prove_more_than_one() {
    let times: Vec<u64> = [2, 3, 5]
        .into_iter()
        .map(|count| {
            let (mut silences, waits) = streams(count);
            leaves_at(&mut silences, waits[0], None).expect("they leave")
        })
        .collect();
    assert!(times.is_sorted_by(|a, b| a > b), "{times:?}");
}

#[test]
fn a_reachable_engine_is_left_only_after_several_streams_missed_several_events() {
    for count in [2, 5] {
        let (mut silences, waits) = streams(count);
        let left = leaves_at(&mut silences, waits[0], Some(true)).expect("they leave");
        // A pause of twice the target gap is long, but engines that prefill long prompts make them.
        assert!(left > 2 * GAP.as_millis() as u64, "{left}");
    }
}

#[test]
fn a_slow_engine_that_sends_to_anyone_is_not_left() {
    let (mut silences, waits) = streams(6);
    for ms in (0..30_000).step_by(300) {
        let turn = waits[(ms as usize / 300) % waits.len()];
        silences.record_byte(&engine(), turn, Some(GAP), at(ms));
        assert!(waits.iter().all(|wait| !silences.should_leave(&engine(), *wait, at(ms + 290))));
    }
}

#[test]
fn requests_in_the_queue_of_a_reachable_engine_stay() {
    let mut silences = Silences::default();
    let waits: Vec<WaitId> = (0..8).map(|_| silences.begin_wait(&engine(), FIRST, at(0))).collect();
    assert_eq!(leaves_at(&mut silences, waits[0], Some(true)), None);
    assert_eq!(leaves_at(&mut silences, waits[1], None), None);
}

#[test]
fn a_stream_with_long_gaps_is_given_longer() {
    let (mut silences, waits) = streams(1);
    silences.record_byte(&engine(), waits[0], Some(GAP), at(1_000));
    for at_ms in [2_500, 2_600] {
        silences.record_unanswered_connect(&engine(), at(at_ms));
    }
    assert!(!silences.should_leave(&engine(), waits[0], at(2_990)));
    assert!(silences.should_leave(&engine(), waits[0], at(3_000)));
}

#[test]
fn a_report_of_other_nodes_counts_until_the_engine_is_heard() {
    let (mut silences, waits) = streams(1);
    silences.record_report(&engine(), at(100));
    assert!(!silences.should_leave(&engine(), waits[0], at(450)), "its own wait is short");
    assert!(silences.should_leave(&engine(), waits[0], at(610)));
    silences.record_byte(&engine(), waits[0], Some(GAP), at(620));
    assert_eq!(silences.contact(&engine(), at(620)), Contact::Responsive);
    let changes: Vec<bool> = silences.take_changes().iter().map(|change| change.is_silent).collect();
    assert_eq!(changes, [true, false]);
}

#[test]
fn an_engine_that_stays_silent_is_tried_again_less_and_less_often() {
    let (mut silences, waits) = streams(1);
    let mut tries = Vec::new();
    for ms in (0..40_000).step_by(50) {
        let was = silences.contact(&engine(), at(ms)) == Contact::Silent;
        // The evidence lasts while the request waits, so it ends once it has left.
        if !was && silences.begin_check(&engine(), waits[0], at(ms)) {
            silences.record_unanswered_connect(&engine(), at(ms));
        }
        if silences.should_leave(&engine(), waits[0], at(ms)) && !was {
            tries.push(ms);
        }
    }
    assert!(tries.len() < 10, "{tries:?}");
}

#[test]
fn only_a_recently_heard_engine_gets_a_request_on_a_rested_connection() {
    let (mut silences, waits) = streams(1);
    silences.end_wait(&engine(), waits[0]);
    assert!(silences.is_fresh(&engine(), at(999)));
    assert!(!silences.is_fresh(&engine(), at(1_000)));
    assert!(!Silences::default().is_fresh(&engine(), at(0)));
    let restarted = BackendProcess { started_at: Some(2), ..engine() };
    assert!(!silences.is_fresh(&restarted, at(1)));
}

#[test]
fn a_connection_is_given_up_in_multiples_of_the_slowest_recent_one() {
    let mut times = ConnectTimes::default();
    assert_eq!(times.timeout(), Duration::from_millis(300));
    (0..8).for_each(|_| times.record(Duration::from_millis(2)));
    assert_eq!(times.timeout(), Duration::from_millis(150));
    times.record(Duration::from_millis(60));
    assert_eq!(times.timeout(), Duration::from_millis(240));
}

#[test]
fn connections_are_in_doubt_until_keep_alive_has_closed_dead_ones() {
    let (service, other) = (ServiceId::from("a"), ServiceId::from("b"));
    let mut doubts = Doubts::default();
    assert!(!doubts.contains(&service, at(0)));
    doubts.record(&service, at(1_000));
    // Late news of the same failure takes nothing back.
    doubts.record(&service, at(500));
    // Dead peers are noticed within three seconds after each node knows of the first one.
    assert!(doubts.contains(&service, at(4_999)) && !doubts.contains(&other, at(4_999)));
    assert!(!doubts.contains(&service, at(5_000)));
}

#[test]
fn other_nodes_learn_of_an_overdue_engine_and_not_of_a_report_that_comes_back() {
    let (mut silences, waits) = streams(1);
    let is_overdue = |silences: &Silences, ms| silences.overdue(at(ms)).count() > 0;
    // A stream may miss its target once without being proof of anything.
    assert!(!is_overdue(&silences, 599));
    assert!(is_overdue(&silences, 601));
    silences.record_byte(&engine(), waits[0], Some(GAP), at(700));
    assert!(!is_overdue(&silences, 700));
    silences.record_report(&engine(), at(800));
    assert!(!is_overdue(&silences, 900));
    // With a report, a stream that is as overdue leaves, though the engine may be reachable: after a gap of
    // 700 ms it is due within 1.4 s, and overdue after 2.1 s.
    silences.record_report(&engine(), at(2_700));
    assert!(!silences.should_leave(&engine(), waits[0], at(2_790)));
    assert!(silences.should_leave(&engine(), waits[0], at(2_801)));
}
