//! The engine model in virtual time: orders and their effects.

mod model_support;

use model_support::{END, INCARNATION, SEED, at, engine, request, run, settings};
use paddlemount_protocol::{
    engine::{CacheChange, EngineRole, Order, OrderCommand},
    identity::{EventSequence, FencingToken, Incarnation, ModelId, WeightsVersion},
    refusal::RefusalCode,
    time::Timestamp,
};
use paddlemount_standins::engine::model::{EngineEvent, EngineModel, EngineModelSettings};

fn order(token: u64, id: &str, command: OrderCommand) -> Order {
    Order { id: id.into(), token: FencingToken(token), incarnation: None, command }
}

#[test]
fn a_lower_token_is_fenced_and_a_repeated_order_changes_nothing() {
    let mut engine = engine();
    let drain = |draining| OrderCommand::SetDraining { draining };
    assert_eq!(engine.order(&order(3, "x", drain(true)), Timestamp(0)).unwrap().fence, FencingToken(3));
    let refusal = engine.order(&order(2, "y", drain(false)), Timestamp(1)).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Fenced);
    assert!(engine.status(Timestamp(1)).draining);
    engine.order(&order(4, "z", drain(false)), Timestamp(2)).unwrap();
    engine.order(&order(4, "x", drain(true)), Timestamp(3)).unwrap();
    assert!(!engine.status(Timestamp(3)).draining, "order x was executed before");
    let mut stale = order(9, "w", drain(true));
    stale.incarnation = Some(Incarnation(4));
    assert_eq!(engine.order(&stale, Timestamp(4)).unwrap_err().code, RefusalCode::PreconditionFailed);
}

#[test]
fn a_draining_engine_finishes_what_it_has_and_takes_nothing_new() {
    let mut engine = engine();
    engine.submit(request("a", 1, 2), Timestamp(0)).unwrap();
    engine.order(&order(1, "x", OrderCommand::SetDraining { draining: true }), Timestamp(1)).unwrap();
    assert_eq!(engine.submit(request("b", 1, 2), Timestamp(2)).unwrap_err().code, RefusalCode::Draining);
    let outputs = run(&mut engine, END);
    assert!(matches!(outputs.last().unwrap().event, EngineEvent::Ended { .. }));
}

#[test]
fn a_standby_engine_takes_no_requests() {
    let mut engine = engine();
    engine.order(&order(1, "x", OrderCommand::SetRole { role: EngineRole::Standby }), Timestamp(0)).unwrap();
    assert_eq!(engine.submit(request("a", 1, 2), Timestamp(0)).unwrap_err().code, RefusalCode::Unavailable);
}

#[test]
fn loading_waits_for_accepted_requests_then_drops_the_cache() {
    let mut engine = engine();
    engine.submit(request("a", 1, 20), Timestamp(0)).unwrap();
    let load = OrderCommand::LoadModel { model: "model".into(), weights: WeightsVersion(2) };
    engine.order(&order(1, "x", load), Timestamp(1)).unwrap();
    assert_eq!(engine.submit(request("b", 1, 20), Timestamp(2)).unwrap_err().code, RefusalCode::Draining);
    assert_eq!(engine.status(Timestamp(2)).loaded, None);
    let outputs = run(&mut engine, END);
    let ended = at(&outputs, |event| matches!(event, EngineEvent::Ended { .. }));
    let started = at(&outputs, |event| matches!(event, EngineEvent::LoadStarted { .. }));
    assert!(started >= ended);
    assert!(engine.cache().is_empty());
    assert_eq!(engine.loaded().unwrap().weights, WeightsVersion(2));
    let batch = engine.cache_events(EventSequence(0), 100, END);
    assert_eq!(batch.events.last().unwrap().change, CacheChange::Cleared);
    assert_eq!(engine.submit(request("c", 1, 20), END).unwrap_err().code, RefusalCode::PreconditionFailed);
}

#[test]
fn a_load_that_was_replaced_does_not_take_effect() {
    let mut engine =
        EngineModel::new(EngineModelSettings { load_duration: None, ..settings() }, INCARNATION, SEED);
    let model = ModelId::from("model");
    let load = |weights| OrderCommand::LoadModel { model: "model".into(), weights: WeightsVersion(weights) };
    engine.order(&order(1, "x", load(2)), Timestamp(0)).unwrap();
    engine.order(&order(2, "y", load(3)), Timestamp(1)).unwrap();
    engine.finish_load(&model, WeightsVersion(2), true);
    assert_eq!(engine.loaded(), None);
    engine.finish_load(&model, WeightsVersion(3), true);
    assert_eq!(engine.loaded().unwrap().weights, WeightsVersion(3));
}
