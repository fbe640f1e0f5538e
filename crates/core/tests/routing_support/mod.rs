//! Engines and requests for routing tests.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use paddlemount_core::routing::{AttemptEnding, Decision, RouteRequest, Router, RouterEvent, RouterSettings};
use paddlemount_protocol::{
    engine::{EngineRole, EngineSpeed, EngineStatus, LoadReport, LoadedModel, Priority},
    identity::{
        AttemptId, EngineId, EventSequence, FencingToken, Incarnation, ModelId, PoolId, RequestId, TenantId,
        WeightsVersion, ZoneId,
    },
    prefix::{BLOCK_BYTES, BLOCK_TOKENS, BlockHash, CacheScope, hash_blocks},
    time::Timestamp,
};

pub const WEIGHTS: WeightsVersion = WeightsVersion(7);
pub const TOKENS_PER_SECOND: f64 = 20_000.0;

pub fn at_ms(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + milliseconds)
}

pub fn engine(number: usize) -> EngineId {
    EngineId::from(format!("engine-{number:04}"))
}

pub fn status(number: usize, incarnation: u64, now: Timestamp) -> EngineStatus {
    EngineStatus {
        engine: engine(number),
        incarnation: Incarnation(incarnation),
        pool: PoolId::from("pool"),
        zone: ZoneId::from("a"),
        loaded: Some(LoadedModel { model: ModelId::from("model"), weights: WEIGHTS, adapters: Vec::new() }),
        loading: false,
        draining: false,
        role: EngineRole::Serving,
        load: LoadReport { measured_at: now, ..LoadReport::default() },
        speed: EngineSpeed {
            prefill_tokens_per_second: TOKENS_PER_SECOND,
            decode_step_ms: 10.0,
            batch_slots: 16,
            cache_blocks: 2_048,
        },
        last_event: EventSequence(0),
        fence: FencingToken(0),
    }
}

/// Creates a router with `engines` idle engines.
pub fn router(engines: usize, seed: u64) -> Router {
    router_with(engines, RouterSettings::new(ZoneId::from("a"), seed))
}

pub fn router_with(engines: usize, settings: RouterSettings) -> Router {
    let mut router = Router::new(settings);
    for number in 0..engines {
        router.apply(RouterEvent::Status(&status(number, 1, at_ms(0))), at_ms(0));
    }
    router
}

/// Owns what a [`RouteRequest`] borrows.
pub struct Prompt {
    pub request: RequestId,
    pub tenant: TenantId,
    pub pool: PoolId,
    pub model: ModelId,
    pub scope: CacheScope,
    pub blocks: Vec<BlockHash>,
    pub reuse_weight: f64,
    pub excluded: Vec<EngineId>,
}

/// Creates a prompt of segments, each one value repeated over a number of blocks.
pub fn prompt(segments: &[(u32, usize)]) -> Prompt {
    prompt_of_tenant("tenant", segments)
}

pub fn prompt_of_tenant(tenant: &str, segments: &[(u32, usize)]) -> Prompt {
    let tenant = TenantId::from(tenant);
    let model = ModelId::from("model");
    let scope = CacheScope::new(&tenant, &model, WEIGHTS, None);
    let mut text = Vec::new();
    for (segment, blocks) in segments {
        let unit = segment.to_le_bytes();
        text.extend(unit.iter().copied().cycle().take(blocks * BLOCK_BYTES));
    }
    Prompt {
        request: RequestId::from("request"),
        tenant,
        pool: PoolId::from("pool"),
        model,
        scope,
        blocks: hash_blocks(scope, &text),
        reuse_weight: 0.5,
        excluded: Vec::new(),
    }
}

impl Prompt {
    pub fn route(&self) -> RouteRequest<'_> {
        RouteRequest {
            request: &self.request,
            tenant: &self.tenant,
            pool: &self.pool,
            model: &self.model,
            weights: WEIGHTS,
            adapter: None,
            scope: self.scope,
            blocks: &self.blocks,
            prompt_tokens: self.blocks.len() as u32 * BLOCK_TOKENS + 10,
            max_tokens: 100,
            priority: Priority::Normal,
            reuse_weight: self.reuse_weight,
            excluded: &self.excluded,
        }
    }
}

pub fn chosen(decision: &Decision) -> EngineId {
    decision.chosen.as_ref().map(|chosen| chosen.engine.clone()).expect("an engine is chosen")
}

/// Runs a request at an engine that has the whole prompt cached.
pub fn run_at(router: &mut Router, prompt: &Prompt, engine: &EngineId, id: &str, start: Timestamp) {
    run_finding(router, prompt, engine, id, start, prompt.blocks.len() as u32 * BLOCK_TOKENS);
}

/// Runs a request at an engine that has `cached_tokens` cached.
pub fn run_finding(
    router: &mut Router,
    prompt: &Prompt,
    engine: &EngineId,
    id: &str,
    start: Timestamp,
    cached_tokens: u32,
) {
    let attempt = AttemptId::from(id);
    router.apply(RouterEvent::Dispatched { attempt: &attempt, engine, request: &prompt.route() }, start);
    router
        .apply(RouterEvent::Started { attempt: &attempt, incarnation: Incarnation(1), cached_tokens }, start);
    router.apply(RouterEvent::Ended { attempt: &attempt, ending: AttemptEnding::Completed }, start);
}

pub fn expected_at(decision: &Decision, engine: &EngineId) -> u32 {
    let found = decision.candidates.iter().find(|candidate| candidate.engine == *engine);
    found.map_or(0, |candidate| candidate.expected_cached_tokens)
}
