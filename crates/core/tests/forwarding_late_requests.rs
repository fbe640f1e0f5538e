//! Requests that cannot be in time: which are rejected while their callers can still come back, and which
//! wait behind all that can be in time.

use std::time::Duration;

use paddlemount_core::forwarding::prompt::{Prompt, Segment, SegmentId};
use paddlemount_core::{
    admission::{
        Admission, AdmissionAction, AdmissionEvent, AdmissionRequest, AdmissionSettings, queue::LateStart,
    },
    forwarding::room::{self, CallerTime, EngineState, PoolWork, RecentTime, Target, spare_rate},
};
use paddlemount_protocol::{
    engine::Priority,
    fleet::EngineCondition,
    identity::{ModelId, PoolId, RequestId, TenantId},
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// The target latency of the requests, and the time that their callers have.
const TARGET: Duration = Duration::from_millis(400);
const CALLER_TIME: Duration = Duration::from_secs(4);

fn at(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

/// A pool of one slot that is in use, by a request whose like took `service_ms`.
fn busy_pool(service_ms: u64) -> Admission {
    let settings =
        AdmissionSettings { reserved_fraction: 0.0, refuse_early: true, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    admission.apply(AdmissionEvent::Limit { pool: PoolId::from("engines"), slots: 1 }, START);
    let before = START - Duration::from_millis(service_ms);
    let unhurried = |ticket| AdmissionRequest { deadline: None, ..request(ticket, before, false) };
    admission.apply(AdmissionEvent::Submit(unhurried("before")), before);
    admission.apply(ended("before"), START);
    admission.apply(AdmissionEvent::Submit(unhurried("running")), START);
    admission
}

fn request(ticket: &str, arrived: Timestamp, has_returned: bool) -> AdmissionRequest {
    let target = Target { arrived, latency: TARGET, deadline: arrived + CALLER_TIME, has_returned };
    let mut times = RecentTime::default();
    times.record(Duration::from_millis(100));
    let predicted_start = target.bounded(times.expected(TARGET).unwrap(), arrived);
    AdmissionRequest {
        ticket: RequestId::from(ticket),
        pool: PoolId::from("engines"),
        tenant: TenantId::from("tenant"),
        weight: 1,
        rank: 0,
        priority: Priority::Normal,
        slots: 1,
        cost: 1,
        predicted_start,
        deadline: Some(target.first_event_by(predicted_start, arrived)),
        due: Some(target.deadline),
        late: target.late_start(0.0, 1.0),
    }
}

fn ended(ticket: &str) -> AdmissionEvent {
    AdmissionEvent::Ended { ticket: RequestId::from(ticket) }
}

fn submit(admission: &mut Admission, request: AdmissionRequest, now: Timestamp) -> Vec<AdmissionAction> {
    admission.apply(AdmissionEvent::Submit(request), now)
}

fn started(actions: &[AdmissionAction]) -> Vec<&str> {
    let ticket = |action: &AdmissionAction| matches!(action, AdmissionAction::Refuse { .. });
    assert!(!actions.iter().any(ticket), "{actions:?}");
    let run = actions.iter().filter_map(|action| match action {
        AdmissionAction::Run { ticket, .. } => Some(ticket.as_str()),
        AdmissionAction::Refuse { .. } => None,
    });
    run.collect()
}

fn is_rejected(actions: &[AdmissionAction]) -> bool {
    matches!(actions, [AdmissionAction::Refuse { .. }])
}

#[test]
fn a_new_caller_is_rejected_at_once_and_one_that_came_back_waits() {
    let mut admission = busy_pool(600);
    assert!(is_rejected(&submit(&mut admission, request("new", START, false), START)));
    assert!(submit(&mut admission, request("back", START, true), START).is_empty());
    // Callers come back once: the request waits past its target for as long as its caller can use an answer.
    assert!(admission.apply(AdmissionEvent::Tick, at(900)).is_empty());
    assert_eq!(started(&admission.apply(ended("running"), at(1_000))), ["back"]);
}

#[test]
fn a_late_request_waits_behind_those_that_can_be_in_time() {
    let mut admission = busy_pool(150);
    submit(&mut admission, request("held", START, false), START);
    // The slot is not released in time. The caller was held for the whole target, so it is served late.
    assert!(admission.apply(AdmissionEvent::Tick, at(500)).is_empty());
    submit(&mut admission, request("in time", at(500), false), at(500));
    assert_eq!(started(&admission.apply(ended("running"), at(520))), ["in time"]);
    assert_eq!(started(&admission.apply(ended("in time"), at(700))), ["held"]);
}

#[test]
fn a_late_request_is_rejected_with_half_of_its_callers_time_left() {
    let mut admission = busy_pool(150);
    submit(&mut admission, request("held", START, false), START);
    assert!(admission.apply(AdmissionEvent::Tick, at(500)).is_empty());
    assert!(admission.apply(AdmissionEvent::Tick, at(1_600)).is_empty());
    assert!(is_rejected(&admission.apply(AdmissionEvent::Tick, at(2_001))));
}

/// Requests that can be in time keep arriving in an overload, and late ones start between them. Callers must
/// not be held for a turn that does not come.
#[test]
fn no_more_late_requests_wait_than_are_likely_to_start() {
    let mut admission = busy_pool(50);
    submit(&mut admission, request("in time", START, false), START);
    let late = |ticket: &str| AdmissionRequest { deadline: Some(START), ..request(ticket, START, true) };
    let held = (0..10).filter(|index| submit(&mut admission, late(&index.to_string()), START).is_empty());
    // Half of the caller's time, two seconds, allows for one late start after twenty others of 50 ms.
    assert_eq!(held.count(), 1);
}

#[test]
fn a_new_caller_is_held_late_only_after_a_quarter_of_the_target() {
    let target = Target { arrived: START, latency: TARGET, deadline: at(4_000), has_returned: false };
    let late = LateStart { from: at(100), until: at(2_000) };
    assert_eq!(target.late_start(900.0, 950.0), Some(late));
    let returned = Target { has_returned: true, ..target };
    assert_eq!(returned.late_start(900.0, 950.0), Some(LateStart { from: START, ..late }));
    // In an overload callers that can still be served in time would pay for it.
    assert_eq!(returned.late_start(1_000.0, 950.0), None);
}

/// With varying times, two deviations above the mean are often later than the target. A request that would
/// most likely be in time must be allowed to wait for the rest of it.
#[test]
fn varying_times_do_not_make_a_request_late() {
    let mut times = RecentTime::default();
    times.record(Duration::from_millis(200));
    assert_eq!(times.expected(TARGET), Some(Duration::from_millis(400)));
    assert_eq!(times.expected(Duration::from_millis(390)), Some(Duration::from_millis(300)));
}

#[test]
fn callers_that_come_back_are_known_by_the_time_they_have_left() {
    let mut callers = CallerTime::default();
    assert!(!callers.record(CALLER_TIME, START));
    assert!(!callers.record(CALLER_TIME - Duration::from_millis(5), at(10)), "less by the way to the node");
    assert!(callers.record(CALLER_TIME - Duration::from_millis(300), at(20)));
    assert!(!callers.record(Duration::from_secs(2), at(60_000)), "callers have less time from now on");
}

#[test]
fn callers_come_back_at_the_rate_that_others_leave() {
    assert!((spare_rate(100.0, 1_000.0, 600.0) - 40.0).abs() < 1e-9);
    assert!((spare_rate(100.0, 1_000.0, 0.0) - 100.0).abs() < 1e-9, "the demand is unknown");
    assert!((spare_rate(100.0, 1_000.0, 1_700.0) - 10.0).abs() < 1e-9, "an overload");
}

/// A quarter of the engines goes dark with full batches, which other nodes have noticed and this one has not.
/// Callers must not be held back for requests that wait there.
#[test]
fn requests_at_silent_engines_use_no_room() {
    let engine = |index: u32| EngineState {
        slots: 16,
        in_flight: if index.is_multiple_of(4) { 40 } else { 8 },
        own: u32::from(index.is_multiple_of(4)),
        is_usable: true,
        condition: if index.is_multiple_of(4) {
            EngineCondition::Silent
        } else {
            EngineCondition::Responsive
        },
    };
    let mut work = PoolWork::default();
    (0..72).for_each(|index| work.add(engine(index)));
    assert_eq!(work, PoolWork { slots: 54 * 16, in_flight: 54 * 8, own: 0 });
    let contention = work.measured_contention();
    assert!(contention < 0.5, "{contention}");
    // The node's share is 12 slots, and 18 of its requests wait at dark engines.
    let limit = room::limit(12.0, Some(contention));
    assert_eq!(work.without_stuck(limit, 18), limit + 18);
}

/// A long prompt that others share must not take the room of several short requests.
#[test]
fn shared_segments_take_no_slots() {
    let segment = |id, tokens| Segment { id: SegmentId(id), tokens };
    let prompt = Prompt {
        model: ModelId::from("model"),
        prompt_tokens: 17_020,
        output_tokens: 24,
        segments: vec![segment(1, 13_300), segment(2, 3_720)],
    };
    assert_eq!(room::request_tokens(&prompt), 3_744);
    assert_eq!(room::request_slots(room::request_tokens(&prompt), 32, 166_704), 1);
}
