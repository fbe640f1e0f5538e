//! Transitions of the model request state machine.

mod model_request_support;

use model_request_support::{INCARNATION, at, attempt, end, precondition, refused, spec, start, text, token};
use paddlemount_core::{
    request::{Continuation, ModelRequest, RequestAction as Action, RequestEvent as Event, RequestSettings},
    routing::AttemptEnding,
};
use paddlemount_protocol::{
    engine::{FinishReason, LoadReport},
    identity::{EngineId, Incarnation, WeightsVersion},
    refusal::{Outcome, Refusal, RefusalCode},
};

fn emit(index: u32) -> Action {
    Action::Emit { index, text: text(index) }
}

fn cancelled(number: u32, engine: &str, ending: AttemptEnding) -> [Action; 2] {
    let engine = EngineId::from(engine);
    [Action::Cancel { attempt: attempt(number), engine }, Action::Ended { attempt: attempt(number), ending }]
}

fn resume(number: u32, engine: &str, next_index: u32) -> Action {
    let engine = EngineId::from(engine);
    Action::Resume { attempt: attempt(number), engine, incarnation: INCARNATION, next_index }
}

fn choose(excluded: &[&str], continued: bool) -> Action {
    Action::Choose {
        excluded: excluded.iter().map(|engine| EngineId::from(*engine)).collect(),
        continuation: continued.then(|| Continuation {
            model: "m".into(),
            weights: WeightsVersion(1),
            adapter: None,
        }),
        retry: true,
    }
}

fn refusal_of(actions: &[Action]) -> &Refusal {
    match actions.last() {
        Some(Action::Refuse { refusal }) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// A request whose first attempt was sent to engine `a`.
fn sent(repeatable: bool) -> ModelRequest {
    let mut request = ModelRequest::new(RequestSettings::default(), spec(repeatable));
    let first = Action::Choose { excluded: Vec::new(), continuation: None, retry: false };
    assert_eq!(request.handle(Event::Arrived, at(0)), [first]);
    let dispatch =
        Action::Dispatch { attempt: attempt(1), precondition: precondition("a"), answer_prefix: Vec::new() };
    assert_eq!(request.handle(Event::EngineChosen(precondition("a")), at(0)), [dispatch]);
    request
}

/// The same request after two tokens.
fn answering(repeatable: bool) -> ModelRequest {
    let mut request = sent(repeatable);
    assert!(matches!(
        request.handle(start(1, INCARNATION), at(1))[..],
        [Action::Started { cached_tokens: 3, .. }]
    ));
    assert_eq!(request.handle(token(1, 0), at(2)), [emit(0)]);
    assert_eq!(request.handle(token(1, 1), at(3)), [emit(1)]);
    request
}

#[test]
fn a_complete_answer_finishes_after_its_last_token() {
    let mut request = answering(true);
    request.handle(token(1, 2), at(4));
    let actions = request.handle(end(1, 3), at(5));
    let load = Some((EngineId::from("a"), LoadReport::default()));
    assert_eq!(
        actions,
        [
            Action::Ended { attempt: attempt(1), ending: AttemptEnding::Completed },
            Action::Finish { tokens: 3, reason: FinishReason::Stop, load }
        ]
    );
    assert!(request.has_ended());
}

#[test]
fn a_lost_connection_resumes_at_the_next_token() {
    let mut request = answering(true);
    let lost = Event::ConnectionLost { attempt: attempt(1), resumable: true };
    assert_eq!(request.handle(lost, at(4)), [resume(1, "a", 2)]);
    assert_eq!(request.handle(token(1, 2), at(5)), [emit(2)]);
}

#[test]
fn reconnections_without_progress_are_bounded() {
    let mut request = answering(true);
    let lost = Event::ConnectionLost { attempt: attempt(1), resumable: true };
    for _ in 0..RequestSettings::default().max_resumes {
        assert_eq!(request.handle(lost.clone(), at(4)), [resume(1, "a", 2)]);
    }
    let [cancel, ended] = cancelled(1, "a", AttemptEnding::Failed);
    assert_eq!(request.handle(lost, at(4)), [cancel, ended, choose(&["a"], true)]);
}

#[test]
fn a_repeatable_answer_continues_at_another_engine_after_the_emitted_text() {
    let mut request = answering(true);
    request.handle(Event::ConnectionLost { attempt: attempt(1), resumable: false }, at(4));
    let actions = request.handle(Event::EngineChosen(precondition("b")), at(4));
    let answer_prefix = vec![text(0), text(1)];
    assert_eq!(
        actions,
        [Action::Dispatch { attempt: attempt(2), precondition: precondition("b"), answer_prefix }]
    );
    assert!(matches!(request.handle(start(2, INCARNATION), at(5))[..], [Action::Started { .. }]));
    assert_eq!(request.handle(token(2, 2), at(6)), [emit(2)]);
}

#[test]
fn a_non_repeatable_answer_ends_as_unknown() {
    let mut request = answering(false);
    let actions = request.handle(Event::ConnectionLost { attempt: attempt(1), resumable: false }, at(4));
    let refusal = refusal_of(&actions);
    assert_eq!((refusal.code, refusal.outcome), (RefusalCode::BackendFailed, Outcome::Unknown));
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_lost_attempt_may_have_run() {
    let mut request = sent(false);
    let actions = request.handle(Event::ConnectionLost { attempt: attempt(1), resumable: false }, at(1));
    assert_eq!(refusal_of(&actions).outcome, Outcome::Unknown);
}

#[test]
fn a_typed_refusal_is_retried_and_ends_as_not_run() {
    let mut request = sent(false);
    let ended = Action::Ended { attempt: attempt(1), ending: AttemptEnding::Refused };
    assert_eq!(request.handle(refused(1, RefusalCode::Overloaded), at(1)), [ended, choose(&["a"], false)]);
    let actions = request.handle(Event::NoEngineAvailable { retry_after: None }, at(1));
    let refusal = refusal_of(&actions);
    assert_eq!((refusal.code, refusal.outcome), (RefusalCode::Overloaded, Outcome::NotRun));
    assert_eq!(refusal.retry_after_ms, Some(250));
}

#[test]
fn a_failed_precondition_refreshes_the_status_and_allows_the_engine_again() {
    let mut request = sent(false);
    let actions = request.handle(refused(1, RefusalCode::PreconditionFailed), at(1));
    let ended = Action::Ended { attempt: attempt(1), ending: AttemptEnding::Refused };
    assert_eq!(actions, [ended, Action::RefreshStatus { engine: EngineId::from("a") }, choose(&[], false)]);
}

#[test]
fn frames_of_an_earlier_attempt_are_dropped() {
    let mut request = answering(true);
    request.handle(Event::ConnectionLost { attempt: attempt(1), resumable: false }, at(4));
    request.handle(Event::EngineChosen(precondition("b")), at(4));
    assert_eq!(request.handle(token(1, 2), at(5)), []);
    assert_eq!(request.handle(end(1, 2), at(5)), []);
    assert_eq!(request.anomalies().late, 2);
}

#[test]
fn duplicates_are_dropped_and_gaps_resumed() {
    let mut request = answering(true);
    assert_eq!(request.handle(token(1, 1), at(4)), []);
    assert_eq!(request.handle(token(1, 3), at(4)), [resume(1, "a", 2)]);
    assert_eq!((request.anomalies().duplicate, request.anomalies().gap), (1, 1));
}

#[test]
fn an_end_that_counts_more_tokens_than_arrived_is_resumed() {
    let mut request = answering(true);
    assert_eq!(request.handle(end(1, 3), at(4)), [resume(1, "a", 2)]);
}

#[test]
fn an_answer_of_another_incarnation_is_abandoned() {
    let mut request = sent(true);
    let [cancel, ended] = cancelled(1, "a", AttemptEnding::Failed);
    assert_eq!(request.handle(start(1, Incarnation(8)), at(1)), [cancel, ended, choose(&["a"], false)]);
}

#[test]
fn a_stalled_engine_gets_one_resume_and_is_then_abandoned() {
    let mut request = answering(true);
    let timeout = RequestSettings::default().frame_timeout;
    let stalled = request.next_timer();
    assert_eq!(stalled, at(3) + timeout);
    assert_eq!(request.handle(Event::Tick, stalled), [resume(1, "a", 2)]);
    let [cancel, ended] = cancelled(1, "a", AttemptEnding::Failed);
    assert_eq!(request.handle(Event::Tick, stalled + timeout), [cancel, ended, choose(&["a"], true)]);
}

#[test]
fn prefill_may_take_longer_than_the_time_between_tokens() {
    let mut request = sent(true);
    let settings = RequestSettings::default();
    request.handle(start(1, INCARNATION), at(1));
    assert_eq!(request.handle(Event::Tick, at(1) + settings.frame_timeout), []);
    assert_eq!(request.next_timer(), at(1) + settings.first_byte_timeout);
    assert_eq!(request.handle(Event::Tick, at(1) + settings.first_byte_timeout), [resume(1, "a", 0)]);
}

#[test]
fn a_slow_caller_does_not_count_as_a_stalled_engine() {
    let mut request = answering(true);
    let stalled = request.next_timer();
    assert_eq!(request.handle(Event::BackpressureEnded, stalled), []);
    assert_eq!(request.handle(Event::Tick, stalled), []);
}

#[test]
fn the_deadline_ends_a_request_with_a_retry_time() {
    let mut request = answering(true);
    let actions = request.handle(Event::Tick, at(60_000));
    let refusal = refusal_of(&actions);
    assert_eq!((refusal.code, refusal.outcome), (RefusalCode::DeadlineExceeded, Outcome::Unknown));
    assert!(refusal.retry_after_ms.is_some());
    assert!(actions.contains(&cancelled(1, "a", AttemptEnding::Cancelled)[0]));
}

#[test]
fn a_disconnected_caller_cancels_the_attempt() {
    let mut request = answering(true);
    assert_eq!(request.handle(Event::CallerDisconnected, at(4)), cancelled(1, "a", AttemptEnding::Cancelled));
    assert!(request.has_ended());
}

#[test]
fn attempts_are_bounded() {
    let mut request = sent(true);
    for number in 1..RequestSettings::default().max_attempts {
        let actions = request.handle(Event::NotSent { attempt: attempt(number) }, at(1));
        assert!(matches!(actions.last(), Some(Action::Choose { .. })));
        request.handle(Event::EngineChosen(precondition("b")), at(1));
    }
    let last = RequestSettings::default().max_attempts;
    let actions = request.handle(Event::NotSent { attempt: attempt(last) }, at(1));
    assert_eq!(refusal_of(&actions).outcome, Outcome::NotRun);
}
