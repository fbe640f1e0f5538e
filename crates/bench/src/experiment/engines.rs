//! Simulated engines: the engine model of the stand-ins, its location and its open attempts.

use std::{collections::HashMap, time::Duration};

use paddlemount_protocol::{
    engine::{FinishReason, LoadedModel},
    identity::{AttemptId, EngineId, Incarnation, ModelId, PoolId, ZoneId},
    prefix::{BLOCK_TOKENS, BlockHash, CacheScope},
    time::Timestamp,
};
use paddlemount_standins::engine::{
    model::{EngineEvent, EngineModel, EngineModelSettings, EngineOutput, ModelRequest, TokenOutputs},
    settings::{EngineBehaviour, FeedSettings, ServiceSettings, TransferSettings},
};

use super::{
    cluster::Cluster,
    event::{Answer, AttemptKey, Dispatch, Event},
    metrics::PrefillSample,
    workload::{MODEL, WEIGHTS},
};
use crate::{
    scenario::Scenario,
    simulation::{Endpoint, derived_seed},
};

/// The pool of all engines.
pub(super) const POOL: &str = "pool";

/// An attempt that runs or waits at an engine.
pub(super) struct Serving {
    pub(super) key: AttemptKey,
    /// Arrival time of the last message; messages of one answer never overtake each other.
    pub(super) last_arrival: Timestamp,
}

/// An attempt in flight to an engine.
#[derive(Clone, Copy)]
pub(super) struct InFlight {
    pub(super) key: AttemptKey,
    pub(super) missing_tokens: u32,
}

/// One simulated engine.
pub(super) struct SimulatedEngine {
    pub(super) id: EngineId,
    pub(super) endpoint: Endpoint,
    pub(super) model: EngineModel,
    /// The earliest scheduled step.
    pub(super) step_at: Option<Timestamp>,
    /// Never iterated over, so that its order does not affect the run.
    pub(super) serving: HashMap<AttemptId, Serving>,
    pub(super) in_flight: Vec<InFlight>,
}

impl SimulatedEngine {
    /// The engine at `position`. With `exact`, its reports have no delay and no loss.
    pub(super) fn new(
        scenario: &Scenario,
        position: usize,
        zone: ZoneId,
        endpoint: Endpoint,
        seed: u64,
        exact: bool,
    ) -> Self {
        let id = EngineId::from(format!("engine-{position:03}"));
        let settings = EngineModelSettings {
            engine: id.clone(),
            pool: PoolId::from(POOL),
            zone,
            loaded: Some(LoadedModel { model: ModelId::from(MODEL), weights: WEIGHTS, adapters: Vec::new() }),
            behaviour: behaviour(scenario, exact),
            load_duration: Some(Duration::from_secs(10)),
            token_outputs: TokenOutputs::First,
        };
        let seed = derived_seed(seed, id.as_str());
        Self {
            model: EngineModel::new(settings, Incarnation(1), seed),
            id,
            endpoint,
            step_at: None,
            serving: HashMap::new(),
            in_flight: Vec::new(),
        }
    }
}

fn behaviour(scenario: &Scenario, exact: bool) -> EngineBehaviour {
    let reports = &scenario.reports;
    let (lag, feed) = if exact {
        (0, FeedSettings { delay_ms: 0, loss: 0.0, retained_events: usize::MAX })
    } else {
        let feed = FeedSettings {
            delay_ms: reports.event_delay_ms as u64,
            loss: reports.event_loss,
            ..FeedSettings::default()
        };
        (reports.load_lag_ms as u64, feed)
    };
    EngineBehaviour {
        speed: scenario.runners.speed,
        feed,
        transfer: TransferSettings::default(),
        service: ServiceSettings { load_report_lag_ms: lag, ..ServiceSettings::default() },
    }
}

impl Cluster<'_> {
    /// Handles an attempt that arrives at its engine.
    pub(super) fn arrive_at_engine(
        &mut self,
        key: AttemptKey,
        engine: usize,
        sent: Dispatch,
        now: Timestamp,
    ) {
        self.engines[engine].in_flight.retain(|it| it.key != key);
        let Some(open) = self.requests.get(&key.request) else { return };
        let Some((current, _, attempt)) = &open.current else { return };
        if *current != key {
            return;
        }
        if !self.engines[engine].model.is_up() {
            self.answer(key, engine, Answer::Failed { engine_lost: true }, now, now);
            return;
        }
        let attempt = attempt.clone();
        let request = ModelRequest {
            attempt: attempt.clone(),
            precondition: sent.precondition,
            scope: self.workload.tenants[open.workload.tenant].scope,
            blocks: open.workload.blocks.to_vec(),
            prompt_tokens: open.workload.prompt_tokens,
            answer_tokens: open.workload.answer_tokens,
            reason: FinishReason::Stop,
            answer_prefix_tokens: 0,
            priority: sent.priority,
            deadline: now + Duration::from_secs_f64(self.scenario.nodes.deadline_s),
            import: sent.import,
        };
        self.record_import(key.request, engine, &request);
        let state = &mut self.engines[engine];
        match state.model.submit(request, now) {
            Ok(()) => {
                state.serving.insert(attempt, Serving { key, last_arrival: now });
                self.reschedule(engine);
            }
            Err(_) => {
                self.answer(key, engine, Answer::Refused, now, now);
            }
        }
    }

    /// Schedules an engine's next step.
    pub(super) fn reschedule(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let Some(at) = state.model.next_event_at() else { return };
        if state.step_at.is_none_or(|scheduled| at < scheduled) {
            state.step_at = Some(at);
            self.queue.schedule_at(at, Event::Step { engine });
        }
    }

    /// Handles a scheduled step of an engine.
    pub(super) fn step_engine(&mut self, engine: usize, now: Timestamp) {
        let state = &mut self.engines[engine];
        if state.step_at.is_some_and(|scheduled| scheduled <= now) {
            state.step_at = None;
        }
        for output in state.model.advance(now) {
            self.handle_output(engine, output);
        }
        self.reschedule(engine);
    }

    fn handle_output(&mut self, engine: usize, output: EngineOutput) {
        let at = output.at;
        match output.event {
            EngineEvent::Started { attempt, cached_tokens, load, .. } => {
                let incarnation = self.engines[engine].model.incarnation();
                self.record_start(engine, &attempt, cached_tokens);
                let started = Answer::Started { incarnation, cached_tokens, load };
                self.answer_attempt(engine, &attempt, started, at);
            }
            EngineEvent::Token { attempt, .. } => {
                self.answer_attempt(engine, &attempt, Answer::FirstToken, at);
            }
            EngineEvent::Ended { attempt, tokens, load, .. } => {
                self.metrics.generated(at, tokens);
                self.answer_attempt(engine, &attempt, Answer::Ended { load }, at);
                self.engines[engine].serving.remove(&attempt);
            }
            EngineEvent::Failed { attempt, .. } => {
                self.answer_attempt(engine, &attempt, Answer::Failed { engine_lost: false }, at);
                self.engines[engine].serving.remove(&attempt);
            }
            EngineEvent::LoadStarted { .. } => {}
        }
    }

    fn record_start(&mut self, engine: usize, attempt: &AttemptId, cached_tokens: u32) {
        let Some(key) = self.engines[engine].serving.get(attempt).map(|serving| serving.key) else { return };
        let Some(open) = self.requests.get_mut(&key.request) else { return };
        open.has_run = true;
        let scope = self.workload.tenants[open.workload.tenant].scope;
        let held_tokens = max_held_tokens(&self.engines, scope, &open.workload.blocks);
        let imported_tokens = open.imported_tokens.min(cached_tokens);
        let sample = PrefillSample {
            prompt_tokens: open.workload.prompt_tokens,
            cached_tokens,
            imported_tokens,
            held_tokens,
        };
        self.metrics.started(open.workload.sent_at, engine, sample);
    }

    fn answer_attempt(&mut self, engine: usize, attempt: &AttemptId, answer: Answer, at: Timestamp) {
        let Some(serving) = self.engines[engine].serving.get(attempt) else { return };
        let (key, not_before) = (serving.key, serving.last_arrival);
        let arrival = self.answer(key, engine, answer, at, not_before);
        if let Some(serving) = self.engines[engine].serving.get_mut(attempt) {
            serving.last_arrival = arrival;
        }
    }

    /// Sends a message to the node of an attempt and returns its arrival time.
    fn answer(
        &mut self,
        key: AttemptKey,
        engine: usize,
        answer: Answer,
        at: Timestamp,
        not_before: Timestamp,
    ) -> Timestamp {
        let Some(open) = self.requests.get(&key.request) else { return at };
        let (from, to) = (self.engines[engine].endpoint, self.nodes[open.node].endpoint);
        let delay = self.links.transmit(from, to).unwrap_or(Duration::ZERO);
        let arrival = (at + delay).max(not_before);
        self.queue.schedule_at(arrival, Event::Answer { key, engine, answer });
        arrival
    }

    fn record_import(&mut self, request: u64, engine: usize, sent: &ModelRequest) {
        let Some(transfer) = &sent.import else { return };
        let cached = self.engines[engine].model.cache().matched(sent.scope, &sent.blocks);
        let blocks = transfer.blocks.len().saturating_sub(cached) as u32;
        if let Some(open) = self.requests.get_mut(&request) {
            open.imported_tokens = blocks * BLOCK_TOKENS;
        }
    }

    /// Crashes an engine.
    pub(super) fn crash_engine(&mut self, engine: usize, now: Timestamp) {
        let state = &mut self.engines[engine];
        state.step_at = None;
        for attempt in state.model.crash() {
            self.answer_attempt(engine, &attempt, Answer::Failed { engine_lost: true }, now);
        }
        self.engines[engine].serving.clear();
    }

    /// Restarts a crashed engine as a new incarnation.
    pub(super) fn restart_engine(&mut self, engine: usize, _now: Timestamp) {
        let state = &mut self.engines[engine];
        let incarnation = state.model.incarnation().next();
        let seed = derived_seed(self.settings.seed ^ incarnation.0, state.id.as_str());
        state.model.restart(incarnation, seed);
    }

    /// Sets the loss of cache events.
    pub(super) fn set_event_loss(&mut self, share: f64) {
        for state in &mut self.engines {
            let feed = state.model.settings().behaviour.feed;
            if feed.loss > 0.0 || feed.delay_ms > 0 {
                state.model.configure_feed(FeedSettings { loss: share, ..feed });
            }
        }
    }
}

/// Tokens of the longest prefix that any engine holds.
fn max_held_tokens(engines: &[SimulatedEngine], scope: CacheScope, blocks: &[BlockHash]) -> u32 {
    let up = engines.iter().filter(|state| state.model.is_up());
    let longest = up.map(|state| state.model.cache().matched(scope, blocks)).max();
    longest.unwrap_or(0) as u32 * BLOCK_TOKENS
}
