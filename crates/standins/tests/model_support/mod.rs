//! Helpers for engine models in virtual time: requests and evaluation of outputs.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::time::Duration;

use paddlemount_protocol::{
    engine::{FinishReason, LoadedModel, Precondition, Priority},
    identity::{AttemptId, Incarnation, WeightsVersion},
    prefix::{BLOCK_TOKENS, BlockHash, CacheScope},
    time::Timestamp,
};
use paddlemount_standins::engine::{
    model::{EngineEvent, EngineModel, EngineModelSettings, EngineOutput, ModelRequest, TokenOutputs},
    settings::EngineBehaviour,
};

pub const SEED: u64 = 7;
pub const INCARNATION: Incarnation = Incarnation(5);

pub fn settings() -> EngineModelSettings {
    EngineModelSettings {
        engine: "engine-1".into(),
        pool: "pool".into(),
        zone: "zone-a".into(),
        loaded: Some(LoadedModel { model: "model".into(), weights: WeightsVersion(1), adapters: vec![] }),
        behaviour: EngineBehaviour::default(),
        load_duration: Some(Duration::from_secs(2)),
        token_outputs: TokenOutputs::All,
    }
}

pub fn engine() -> EngineModel {
    EngineModel::new(settings(), INCARNATION, SEED)
}

/// Creates an engine with changed behaviour.
pub fn engine_with(change: impl FnOnce(&mut EngineBehaviour)) -> EngineModel {
    let mut settings = settings();
    change(&mut settings.behaviour);
    EngineModel::new(settings, INCARNATION, SEED)
}

pub fn blocks(first: u128, count: u32) -> Vec<BlockHash> {
    (0..u128::from(count)).map(|index| BlockHash(first * 1_000 + index)).collect()
}

pub fn precondition() -> Precondition {
    Precondition {
        engine: "engine-1".into(),
        incarnation: INCARNATION,
        model: "model".into(),
        weights: WeightsVersion(1),
        adapter: None,
    }
}

pub fn request(attempt: &str, prefix: u128, count: u32) -> ModelRequest {
    ModelRequest {
        attempt: AttemptId::from(attempt),
        precondition: precondition(),
        scope: CacheScope(1),
        blocks: blocks(prefix, count),
        prompt_tokens: count * BLOCK_TOKENS + 10,
        answer_tokens: 5,
        reason: FinishReason::Stop,
        answer_prefix_tokens: 0,
        priority: Priority::Normal,
        deadline: Timestamp::from_millis(60_000_000),
        import: None,
    }
}

/// Runs the engine until a time and returns all outputs.
pub fn run(engine: &mut EngineModel, until: Timestamp) -> Vec<EngineOutput> {
    let mut outputs = vec![];
    while let Some(at) = engine.next_event_at().filter(|at| *at <= until) {
        outputs.extend(engine.advance(at));
    }
    outputs
}

/// Indexes of all tokens in order of output.
pub fn token_indexes(outputs: &[EngineOutput]) -> Vec<u32> {
    let index = |output: &EngineOutput| match output.event {
        EngineEvent::Token { index, .. } => Some(index),
        _ => None,
    };
    outputs.iter().filter_map(index).collect()
}

pub fn cached_tokens(outputs: &[EngineOutput], name: &str) -> u32 {
    let found = outputs.iter().find_map(|output| match &output.event {
        EngineEvent::Started { attempt, cached_tokens, .. } if attempt.as_str() == name => {
            Some(*cached_tokens)
        }
        _ => None,
    });
    found.expect("the attempt started")
}

pub fn at(outputs: &[EngineOutput], matches: impl Fn(&EngineEvent) -> bool) -> Timestamp {
    outputs.iter().find(|output| matches(&output.event)).expect("the event happened").at
}

pub fn first_token_at(outputs: &[EngineOutput], name: &str) -> Timestamp {
    at(outputs, |event| matches!(event, EngineEvent::Token { attempt, .. } if attempt.as_str() == name))
}

pub const END: Timestamp = Timestamp::from_millis(1_000_000);
