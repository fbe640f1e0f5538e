//! The engine model in virtual time: admission, queueing, continuation and end of requests.

mod model_support;

use std::time::Duration;

use model_support::{
    END, INCARNATION, SEED, at, cached_tokens, engine, engine_with, first_token_at, request, run,
    token_indexes,
};
use paddlemount_protocol::{
    engine::{Precondition, Priority},
    identity::{AttemptId, EventSequence, Incarnation, WeightsVersion},
    prefix::{BLOCK_TOKENS, CacheScope},
    refusal::RefusalCode,
    time::Timestamp,
};
use paddlemount_standins::engine::model::{EngineEvent, EngineOutput, ModelRequest};

#[test]
fn a_request_runs_to_its_end_in_order() {
    let mut engine = engine();
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    let outputs = run(&mut engine, END);
    assert_eq!(token_indexes(&outputs), vec![0, 1, 2, 3, 4]);
    assert!(matches!(outputs.last().unwrap().event, EngineEvent::Ended { tokens: 5, .. }));
    assert_eq!(engine.next_event_at(), None);
}

#[test]
fn a_repeated_prefix_is_served_from_cache_and_sooner() {
    let mut engine = engine();
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    let cold = run(&mut engine, END);
    engine.submit(request("b", 1, 20), END).unwrap();
    let warm = run(&mut engine, END + Duration::from_secs(100));
    assert_eq!(cached_tokens(&cold, "a"), 0);
    assert_eq!(cached_tokens(&warm, "b"), 20 * BLOCK_TOKENS);
    let cold_wait = first_token_at(&cold, "a").saturating_since(Timestamp(0));
    let warm_wait = first_token_at(&warm, "b").saturating_since(END);
    assert_eq!(cold_wait, Duration::from_micros(64_500), "1290 tokens at 20,000 a second");
    assert_eq!(warm_wait, Duration::from_micros(500), "10 tokens at 20,000 a second");
}

#[test]
fn a_fully_cached_prompt_still_computes_its_last_token() {
    let mut engine = engine();
    let exact = |name| ModelRequest { prompt_tokens: 2 * BLOCK_TOKENS, ..request(name, 1, 2) };
    engine.submit(exact("a"), Timestamp(0)).unwrap();
    run(&mut engine, END);
    engine.submit(exact("b"), END).unwrap();
    let outputs = run(&mut engine, END + Duration::from_secs(100));
    assert_eq!(cached_tokens(&outputs, "b"), 2 * BLOCK_TOKENS - 1);
}

#[test]
fn another_scope_uses_no_cached_blocks() {
    let mut engine = engine();
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    run(&mut engine, END);
    engine.submit(ModelRequest { scope: CacheScope(2), ..request("b", 1, 20) }, END).unwrap();
    let outputs = run(&mut engine, END + Duration::from_secs(100));
    assert_eq!(cached_tokens(&outputs, "b"), 0);
}

#[test]
fn a_full_batch_queues_and_a_high_priority_enters_first() {
    let mut engine = engine_with(|behaviour| {
        behaviour.speed.batch_slots = 1;
    });
    engine.submit(request("running", 1, 2), Timestamp(0)).unwrap();
    engine.submit(request("normal", 2, 2), Timestamp(1)).unwrap();
    engine.submit(ModelRequest { priority: Priority::High, ..request("high", 3, 2) }, Timestamp(2)).unwrap();
    assert_eq!(engine.current_load(Timestamp(2)).waiting, 2);
    let outputs = run(&mut engine, END);
    assert!(first_token_at(&outputs, "running") < first_token_at(&outputs, "high"));
    assert!(first_token_at(&outputs, "high") < first_token_at(&outputs, "normal"));
}

#[test]
fn a_decode_step_takes_longer_in_a_larger_batch() {
    let token_gap = |requests: u32| {
        let mut engine = engine();
        for index in 0..requests {
            engine.submit(request(&format!("r{index}"), u128::from(index) + 1, 0), Timestamp(0)).unwrap();
        }
        let outputs = run(&mut engine, END);
        let last = at(
            &outputs,
            |event| matches!(event, EngineEvent::Token { attempt, index: 4 } if attempt.as_str() == "r0"),
        );
        let before = at(
            &outputs,
            |event| matches!(event, EngineEvent::Token { attempt, index: 3 } if attempt.as_str() == "r0"),
        );
        last.saturating_since(before)
    };
    assert_eq!(token_gap(1), Duration::from_millis(8));
    assert_eq!(token_gap(11), Duration::from_millis(11));
}

#[test]
fn memory_is_bounded_under_load_and_old_prefixes_are_evicted() {
    let mut engine = engine_with(|behaviour| {
        behaviour.speed.cache_blocks = 50;
    });
    for index in 0..40_u32 {
        let name = format!("r{index}");
        engine
            .submit(request(&name, u128::from(index) + 1, 10), Timestamp::from_millis(u64::from(index)))
            .unwrap();
        assert!(engine.cache().len() + engine.cache().reserved() <= 50);
    }
    let outputs = run(&mut engine, END);
    let ended = outputs.iter().filter(|output| matches!(output.event, EngineEvent::Ended { .. })).count();
    assert_eq!(ended, 40);
    assert!(engine.cache().len() <= 50);
    assert_eq!(engine.cache().reserved(), 0);
    engine.submit(request("again", 1, 10), END).unwrap();
    assert_eq!(cached_tokens(&run(&mut engine, END + Duration::from_secs(9)), "again"), 0);
}

#[test]
fn preconditions_are_checked_before_anything_runs() {
    let mut engine = engine();
    let mutations: [fn(&mut Precondition); 5] = [
        |precondition| precondition.engine = "engine-2".into(),
        |precondition| precondition.incarnation = Incarnation(4),
        |precondition| precondition.model = "other".into(),
        |precondition| precondition.weights = WeightsVersion(2),
        |precondition| precondition.adapter = Some("adapter".into()),
    ];
    for mutate in mutations {
        let mut request = request("a", 1, 2);
        mutate(&mut request.precondition);
        let refusal = engine.submit(request, Timestamp(0)).unwrap_err();
        assert_eq!(refusal.code, RefusalCode::PreconditionFailed);
        assert_eq!(refusal.incarnation, INCARNATION);
    }
    assert_eq!(engine.next_event_at(), None, "nothing has run");
}

#[test]
fn an_attempt_is_accepted_once() {
    let mut engine = engine();
    engine.submit(request("a", 1, 2), Timestamp(0)).unwrap();
    assert_eq!(engine.submit(request("a", 1, 2), Timestamp(1)).unwrap_err().code, RefusalCode::InProgress);
}

#[test]
fn a_full_queue_and_an_oversized_request_are_refused() {
    let mut engine = engine_with(|behaviour| {
        behaviour.speed.waiting_limit = 1;
        behaviour.speed.batch_slots = 1;
    });
    engine.submit(request("a", 1, 2), Timestamp(0)).unwrap();
    engine.submit(request("b", 1, 2), Timestamp(0)).unwrap();
    let refusal = engine.submit(request("c", 1, 2), Timestamp(0)).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(engine.submit(request("d", 1, 3_000), Timestamp(0)).unwrap_err().code, RefusalCode::TooLarge);
}

#[test]
fn a_request_that_expires_in_the_queue_does_not_run() {
    let mut engine = engine_with(|behaviour| {
        behaviour.speed.batch_slots = 1;
    });
    engine.submit(request("a", 1, 100), Timestamp(0)).unwrap();
    let late = ModelRequest { deadline: Timestamp::from_millis(10), ..request("late", 2, 2) };
    engine.submit(late, Timestamp(1)).unwrap();
    let outputs = run(&mut engine, END);
    let of_late: Vec<_> = outputs.iter().filter(|output| matches!(&output.event,
        EngineEvent::Failed { attempt, .. } | EngineEvent::Started { attempt, .. } if attempt.as_str() == "late")).collect();
    assert!(matches!(of_late[..], [EngineOutput { event: EngineEvent::Failed { .. }, .. }]));
}

#[test]
fn cancelling_frees_the_slot_and_keeps_filled_blocks() {
    let mut engine = engine();
    engine.submit(ModelRequest { answer_tokens: 10_000, ..request("a", 1, 20) }, Timestamp(0)).unwrap();
    run(&mut engine, Timestamp::from_millis(500));
    assert!(engine.cancel(&"a".into(), Timestamp::from_millis(500)));
    assert!(!engine.cancel(&"a".into(), Timestamp::from_millis(500)));
    assert_eq!(engine.cache().reserved(), 0);
    assert_eq!(engine.cache().len(), 20);
    run(&mut engine, END);
    assert_eq!(engine.next_event_at(), None);
}

#[test]
fn a_continuation_starts_after_the_answer_prefix() {
    let mut engine = engine();
    engine.submit(ModelRequest { answer_prefix_tokens: 3, ..request("a", 1, 2) }, Timestamp(0)).unwrap();
    let outputs = run(&mut engine, END);
    assert_eq!(token_indexes(&outputs), vec![3, 4]);
}

#[test]
fn progress_is_known_until_the_grace_period_has_passed() {
    let mut engine = engine();
    engine.submit(request("a", 1, 2), Timestamp(0)).unwrap();
    run(&mut engine, Timestamp::from_millis(1_000));
    let progress = engine.resume(&"a".into(), INCARNATION).unwrap();
    assert!(progress.ended && progress.next_index == 5);
    let refusal = engine.resume(&"a".into(), Incarnation(4)).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::PreconditionFailed);
    engine.submit(request("b", 1, 2), Timestamp::from_millis(9_000)).unwrap();
    run(&mut engine, END);
    assert_eq!(engine.resume(&"a".into(), INCARNATION).unwrap_err().code, RefusalCode::NotFound);
}

#[test]
fn a_crash_loses_everything_and_the_next_incarnation_refuses_the_old_precondition() {
    let mut engine = engine();
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    run(&mut engine, Timestamp::from_millis(70));
    assert_eq!(engine.crash(), vec![AttemptId::from("a")]);
    assert!(!engine.is_up());
    engine.restart(Incarnation(6), SEED);
    assert!(engine.cache().is_empty());
    assert_eq!(engine.submit(request("b", 1, 20), END).unwrap_err().code, RefusalCode::PreconditionFailed);
}

#[test]
fn a_stalled_engine_makes_no_progress_until_released() {
    let mut engine = engine();
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    engine.set_stalled(true, Timestamp(1));
    engine.advance(Timestamp(1));
    assert_eq!(engine.next_event_at(), None);
    engine.set_stalled(false, END);
    let outputs = run(&mut engine, END + Duration::from_secs(10));
    assert!(first_token_at(&outputs, "a") >= END);
}

#[test]
fn the_same_seed_gives_the_same_outputs() {
    let history = || {
        let mut engine = engine_with(|behaviour| {
            behaviour.feed.loss = 0.3;
            behaviour.speed.cache_blocks = 80;
        });
        let mut outputs = vec![];
        for index in 0..60_u32 {
            let now = Timestamp::from_millis(u64::from(index) * 7);
            outputs.extend(run(&mut engine, now));
            engine.submit(request(&format!("r{index}"), u128::from(index % 9), 5 + index % 20), now).unwrap();
        }
        outputs.extend(run(&mut engine, END));
        (outputs, engine.cache_events(EventSequence(0), 10_000, END))
    };
    assert_eq!(history(), history());
}
