//! The engine model in virtual time: cache events, load reports, and transfer of cached state.

mod model_support;

use std::time::Duration;

use model_support::{
    END, INCARNATION, SEED, blocks, cached_tokens, engine, engine_with, precondition, request, run, settings,
};
use paddlemount_protocol::{
    engine::{CacheChange, ExportRequest},
    identity::{EventSequence, Incarnation, WeightsVersion},
    prefix::{BLOCK_TOKENS, CacheScope},
    refusal::RefusalCode,
    time::Timestamp,
};
use paddlemount_standins::engine::model::{EngineModel, EngineModelSettings, ModelRequest};

#[test]
fn the_feed_is_delayed_and_replays_to_the_content_of_the_cache() {
    let mut engine = engine_with(|behaviour| {
        behaviour.feed.delay_ms = 500;
        behaviour.speed.cache_blocks = 60;
    });
    for index in 0..10 {
        engine.submit(request(&format!("r{index}"), index + 1, 20), Timestamp(0)).unwrap();
    }
    let outputs = run(&mut engine, END);
    let first = outputs[0].at;
    assert!(
        engine.cache_events(EventSequence(0), 1_000, first + Duration::from_millis(400)).events.is_empty()
    );
    let batch = engine.cache_events(EventSequence(0), 1_000, END + Duration::from_secs(1));
    assert_eq!(batch.last, engine.status(END).last_event);
    let mut replayed = std::collections::BTreeSet::new();
    for event in batch.events {
        match event.change {
            CacheChange::Stored { blocks } => replayed.extend(blocks),
            CacheChange::Removed { blocks } => {
                blocks.iter().for_each(|block| assert!(replayed.remove(block)))
            }
            CacheChange::Cleared => replayed.clear(),
        }
    }
    let (held, more) = engine.cache().page(None, 1_000);
    assert!(!more);
    assert_eq!(replayed.into_iter().collect::<Vec<_>>(), held);
}

#[test]
fn lost_events_leave_gaps_that_a_reader_can_see() {
    let mut engine = engine();
    engine.lose_next_events(1);
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    run(&mut engine, END);
    let batch = engine.cache_events(EventSequence(0), 100, END);
    assert_eq!(batch.events[0].sequence, EventSequence(2));
    let mut lossy = EngineModel::new(settings(), INCARNATION, SEED);
    lossy.lose_next_events(100);
    lossy.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    run(&mut lossy, END);
    let batch = lossy.cache_events(EventSequence(0), 100, END);
    assert!(batch.events.is_empty() && batch.last > EventSequence(0));
}

#[test]
fn load_reports_lag() {
    let mut engine = engine();
    let lag = Duration::from_millis(200);
    engine
        .submit(ModelRequest { answer_tokens: 1_000, ..request("a", 1, 2) }, Timestamp::from_millis(1_000))
        .unwrap();
    run(&mut engine, Timestamp::from_millis(1_100));
    assert_eq!(engine.load_report(Timestamp::from_millis(1_100)).running, 0);
    run(&mut engine, Timestamp::from_millis(1_300));
    let later = engine.load_report(Timestamp::from_millis(1_300));
    assert_eq!(later.running, 1);
    assert_eq!(later.measured_at, Timestamp::from_millis(1_300) - lag);
}

#[test]
fn an_export_imports_elsewhere_but_never_across_scopes_weights_or_ended_incarnations() {
    let mut origin = engine();
    origin.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    run(&mut origin, END);
    let request_export =
        ExportRequest { precondition: precondition(), scope: CacheScope(1), blocks: blocks(1, 30) };
    let transfer = origin.export(&request_export).unwrap();
    assert_eq!(transfer.blocks.len(), 20);
    assert_eq!((transfer.origin.as_str(), transfer.origin_incarnation), ("engine-1", INCARNATION));

    let mut other =
        EngineModel::new(EngineModelSettings { engine: "engine-2".into(), ..settings() }, INCARNATION, SEED);
    let request_for_other = |name: &str| {
        let mut request = request(name, 1, 20);
        request.precondition.engine = "engine-2".into();
        request
    };
    let wrong_scope =
        ModelRequest { scope: CacheScope(2), import: Some(transfer.clone()), ..request_for_other("scope") };
    assert_eq!(other.submit(wrong_scope, Timestamp(0)).unwrap_err().code, RefusalCode::PreconditionFailed);
    let mut old = transfer.clone();
    old.weights = WeightsVersion(0);
    assert_eq!(other.import(&old, Timestamp(0)).unwrap_err().code, RefusalCode::PreconditionFailed);
    other
        .submit(ModelRequest { import: Some(transfer.clone()), ..request_for_other("b") }, Timestamp(0))
        .unwrap();
    let outputs = run(&mut other, END);
    assert_eq!(cached_tokens(&outputs, "b"), 20 * BLOCK_TOKENS);
    assert!(outputs[0].at > Timestamp(0), "an import takes time");

    let mut later = transfer.clone();
    later.origin_incarnation = Incarnation(6);
    other.import(&later, END).unwrap();
    assert_eq!(other.import(&transfer, END).unwrap_err().code, RefusalCode::PreconditionFailed);
}

#[test]
fn an_engine_refuses_state_of_its_own_earlier_incarnation() {
    let mut engine = engine();
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    run(&mut engine, END);
    let request_export =
        ExportRequest { precondition: precondition(), scope: CacheScope(1), blocks: blocks(1, 20) };
    let transfer = engine.export(&request_export).unwrap();
    engine.crash();
    engine.restart(Incarnation(6), SEED);
    assert_eq!(engine.import(&transfer, END).unwrap_err().code, RefusalCode::PreconditionFailed);
}
