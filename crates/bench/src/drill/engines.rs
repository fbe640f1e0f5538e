//! Simulated engines: the engine model of the stand-ins with its streams.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::request::RequestEvent;
use paddlemount_protocol::{
    engine::{FinishReason, Frame, FrameContent, LoadedModel, Order, Priority},
    identity::{AttemptId, EngineId, Incarnation, RequestId, WeightsVersion, ZoneId},
    prefix::CacheScope,
    time::Timestamp,
};
use paddlemount_standins::engine::{
    model::{EngineEvent, EngineModel, EngineModelSettings, EngineOutput, ModelRequest, TokenOutputs},
    settings::EngineBehaviour,
};
use rand::RngExt;

use super::{
    cluster::{SimCluster, model_name, pool_name},
    event::{Dispatch, Event, NodeIncarnation},
    history::Invariant,
    invariants,
    models::ModelRequestSpec,
    settings::Breakage,
};
use crate::simulation::Endpoint;

const LOAD_TIME: Duration = Duration::from_secs(2);
/// Probability that a stream stalls after a frame while answers are late.
const STALL_PROBABILITY: f64 = 0.06;
/// Time after which a draining engine must get no new work.
const DRAINING_TIMEOUT: Duration = Duration::from_secs(3);

/// Destination of the frames of one attempt.
struct Stream {
    to: NodeIncarnation,
    request: RequestId,
    /// Arrival time of the last frame; a connection preserves their order.
    last_at: Timestamp,
    broken: bool,
}

/// One simulated engine.
pub struct SimEngine {
    pub endpoint: Endpoint,
    pub model: EngineModel,
    streams: BTreeMap<AttemptId, Stream>,
    /// The time of the scheduled step.
    step_at: Option<Timestamp>,
}

impl SimEngine {
    /// An engine with the initial weights loaded.
    pub fn new(number: usize, endpoint: Endpoint, seed: u64) -> Self {
        let settings = EngineModelSettings {
            engine: EngineId::from(format!("engine-{number}")),
            pool: pool_name(),
            zone: ZoneId::from(format!("zone-{}", number % 3)),
            loaded: Some(LoadedModel {
                model: model_name(),
                weights: WeightsVersion(1),
                adapters: Vec::new(),
            }),
            behaviour: EngineBehaviour::default(),
            load_duration: Some(LOAD_TIME),
            token_outputs: TokenOutputs::All,
        };
        let model = EngineModel::new(settings, Incarnation(1), seed + number as u64);
        Self { endpoint, model, streams: BTreeMap::new(), step_at: None }
    }
}

/// The number of an attempt within its request.
fn attempt_number(attempt: &AttemptId) -> &str {
    attempt.as_str().rsplit('.').next().unwrap_or_default()
}

fn token_text(request: &RequestId, attempt: &AttemptId, index: u32) -> String {
    format!("{request}/{}/{index}", attempt_number(attempt))
}

impl SimCluster {
    /// Submits an attempt to an engine.
    pub fn submit(&mut self, number: usize, dispatch: Dispatch, now: Timestamp) {
        let Some(ModelRequestSpec { tenant, prompt, tokens }) = self.request_spec(&dispatch.request) else {
            return;
        };
        let engine = &mut self.engines[number];
        if !engine.model.is_up() {
            let event = RequestEvent::NotSent { attempt: dispatch.attempt };
            return self.reply_request(number, dispatch.from, &dispatch.request, event);
        }
        let scope = CacheScope::new(&tenant, &model_name(), dispatch.precondition.weights, None);
        let mut precondition = dispatch.precondition.clone();
        if self.settings.breakage == Breakage::NoPreconditions {
            precondition.incarnation = engine.model.incarnation();
            precondition.weights =
                engine.model.loaded().map_or(precondition.weights, |loaded| loaded.weights);
        }
        let blocks = paddlemount_protocol::prefix::hash_blocks(scope, prompt.as_bytes());
        let request = ModelRequest {
            attempt: dispatch.attempt.clone(),
            precondition,
            scope,
            blocks,
            prompt_tokens: paddlemount_protocol::prefix::prompt_tokens(prompt.len()),
            answer_tokens: tokens,
            reason: FinishReason::Length,
            answer_prefix_tokens: dispatch.answer_prefix_tokens,
            priority: Priority::Normal,
            deadline: now + Duration::from_secs(60),
            import: None,
        };
        let event = match engine.model.submit(request, now) {
            Err(refusal) => RequestEvent::Refused { attempt: dispatch.attempt.clone(), refusal },
            Ok(()) => {
                self.check_accepted_attempt(number, &dispatch, now);
                return self.advance_engine(number, now);
            }
        };
        self.reply_request(number, dispatch.from, &dispatch.request, event);
    }

    /// Registers the stream of an accepted attempt and checks that the engine met its precondition.
    fn check_accepted_attempt(&mut self, number: usize, dispatch: &Dispatch, now: Timestamp) {
        let engine = &mut self.engines[number];
        let stream =
            Stream { to: dispatch.from, request: dispatch.request.clone(), last_at: now, broken: false };
        engine.streams.insert(dispatch.attempt.clone(), stream);
        let (request, name) = (dispatch.request.as_str(), format!("engine-{number}"));
        let expected = &dispatch.precondition;
        let weights = engine.model.loaded().map(|loaded| loaded.weights);
        let is_met = expected.incarnation == engine.model.incarnation() && Some(expected.weights) == weights;
        self.history.record(now, request, format!("{name} takes try {}", attempt_number(&dispatch.attempt)));
        if !is_met {
            let description =
                format!("{name} ran {request}, which was meant for another life or other weights");
            self.history.record_violation(Invariant::CacheBoundary, now, description, &[request, &name]);
        }
        if let Some(answer) = self.history.answers.get_mut(&dispatch.request) {
            answer.ran = true;
        }
        let engine = EngineId::from(name.as_str());
        let is_overdue =
            self.history.draining_since.get(&engine).is_some_and(|since| now > *since + DRAINING_TIMEOUT);
        if is_overdue {
            let description = format!("{name} was leaving for more than 3 s and got {request}");
            self.history.record_violation(Invariant::LeavingGetsNothing, now, description, &[request, &name]);
        }
    }

    fn reply_request(
        &mut self,
        engine: usize,
        to: NodeIncarnation,
        request: &RequestId,
        event: RequestEvent,
    ) {
        let (from, target) = (self.engines[engine].endpoint, self.nodes[to.node].endpoint);
        self.send(from, target, Event::Request { to, request: request.clone(), event: Box::new(event) });
    }

    /// Resumes a stream from frame `next`.
    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub fn resume(
        &mut self,
        number: usize,
        from: NodeIncarnation,
        request: &RequestId,
        attempt: &AttemptId,
        incarnation: Incarnation,
        next: u32,
        now: Timestamp,
    ) {
        let engine = &mut self.engines[number];
        if !engine.model.is_up() {
            return self.reply_request(
                number,
                from,
                request,
                RequestEvent::NotSent { attempt: attempt.clone() },
            );
        }
        let Ok(progress) = engine.model.resume(attempt, incarnation) else {
            let lost = RequestEvent::ConnectionLost { attempt: attempt.clone(), resumable: false };
            return self.reply_request(number, from, request, lost);
        };
        let stream = Stream { to: from, request: request.clone(), last_at: now, broken: false };
        engine.streams.insert(attempt.clone(), stream);
        let load = engine.model.load_report(now);
        for index in next..progress.next_index {
            let content = FrameContent::Token { index, text: token_text(request, attempt, index) };
            self.send_frame(number, attempt, content, now);
        }
        if progress.ended {
            let reason = FinishReason::Length;
            let content = FrameContent::End { tokens: progress.next_index, reason, load };
            self.send_frame(number, attempt, content, now);
        }
    }

    /// Cancels an attempt at an engine.
    pub fn cancel(&mut self, number: usize, attempt: &AttemptId, now: Timestamp) {
        self.engines[number].model.cancel(attempt, now);
        self.advance_engine(number, now);
    }

    /// Handles a scheduled step of an engine.
    pub fn step_engine(&mut self, number: usize, now: Timestamp) {
        self.engines[number].step_at = None;
        self.advance_engine(number, now);
    }

    /// Sends the engine's pending output and schedules its next step.
    pub fn advance_engine(&mut self, number: usize, now: Timestamp) {
        for output in self.engines[number].model.advance(now) {
            self.handle_output(number, output, now);
        }
        let engine = &mut self.engines[number];
        let Some(next) = engine.model.next_event_at() else { return };
        if engine.step_at.is_none_or(|scheduled| scheduled > next) {
            engine.step_at = Some(next);
            self.queue.schedule_at(next, Event::EngineStep(number));
        }
    }

    fn handle_output(&mut self, number: usize, output: EngineOutput, now: Timestamp) {
        let incarnation = self.engines[number].model.incarnation();
        let (attempt, content) = match output.event {
            EngineEvent::Started { attempt, prompt_tokens, cached_tokens, load } => {
                (attempt, FrameContent::Start { incarnation, prompt_tokens, cached_tokens, load })
            }
            EngineEvent::Token { attempt, index } => {
                let request = self.engines[number].streams.get(&attempt).map(|stream| stream.request.clone());
                let Some(request) = request else { return };
                let text = token_text(&request, &attempt, index);
                (attempt, FrameContent::Token { index, text })
            }
            EngineEvent::Ended { attempt, tokens, reason, load } => {
                (attempt, FrameContent::End { tokens, reason, load })
            }
            EngineEvent::Failed { attempt, message } => {
                (attempt, FrameContent::Failed { message: message.to_owned() })
            }
            EngineEvent::LoadStarted { weights, .. } => {
                return self.check_loaded_weights(number, weights, now);
            }
        };
        self.send_frame(number, &attempt, content, now);
    }

    /// Checks that an engine does not load weights older than the accepted configuration requires.
    fn check_loaded_weights(&mut self, number: usize, weights: WeightsVersion, now: Timestamp) {
        let name = format!("engine-{number}");
        self.history.record(now, name.as_str(), format!("loads weights {weights}"));
        let due = invariants::required_revision(&self.history, now);
        let document = self.store.documents.iter().rev().find(|document| document.revision <= due);
        let pool = document.and_then(|document| document.configuration.pools.get(&pool_name()));
        if pool.is_some_and(|pool| weights < pool.weights) {
            let description = format!("{name} goes back to weights {weights}");
            self.history.record_violation(Invariant::ConfigurationStays, now, description, &[&name]);
        }
    }

    fn send_frame(&mut self, number: usize, attempt: &AttemptId, content: FrameContent, now: Timestamp) {
        let from = self.engines[number].endpoint;
        let Some((node, broken)) =
            self.engines[number].streams.get(attempt).map(|stream| (stream.to.node, stream.broken))
        else {
            return;
        };
        let delay = self.links.transmit(from, self.nodes[node].endpoint);
        let stalls = self.late_answers && self.random.random_bool(STALL_PROBABILITY);
        let stall = Duration::from_millis(if stalls { self.random.random_range(500..6_000) } else { 0 });
        let Some(stream) = self.engines[number].streams.get_mut(attempt) else { return };
        let Some(delay) = delay.filter(|_| !broken) else {
            stream.broken = true;
            return;
        };
        let at = stream.last_at.max(now + delay) + stall;
        stream.last_at = at;
        let frame = RequestEvent::Frame(Frame { attempt: attempt.clone(), content });
        let event = Event::Request { to: stream.to, request: stream.request.clone(), event: Box::new(frame) };
        self.queue.schedule_at(at, event);
    }

    /// Handles a placement order at an engine.
    pub fn handle_order(&mut self, number: usize, from: NodeIncarnation, order: &Order, now: Timestamp) {
        if !self.engines[number].model.is_up() {
            return;
        }
        let result = self.engines[number].model.order(order, now);
        let name = format!("engine-{number}");
        let reaction = if result.is_ok() { "obeys" } else { "refuses" };
        let description =
            format!("{reaction} {:?} under token {} of node-{}", order.command, order.token, from.node);
        self.history.record(now, name, description);
        let event = Event::OrderDone { to: from, engine: number, order: order.id.clone(), result };
        let (engine, node) = (self.engines[number].endpoint, self.nodes[from.node].endpoint);
        self.send(engine, node, event);
        self.advance_engine(number, now);
    }

    /// Stops an engine's model and breaks the connections of its streams.
    pub fn drop_engine(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.model.crash();
        engine.step_at = None;
        let streams = std::mem::take(&mut engine.streams);
        for (attempt, stream) in streams {
            let lost = RequestEvent::ConnectionLost { attempt, resumable: true };
            self.reply_request(number, stream.to, &stream.request, lost);
        }
    }

    /// Restarts an engine with an empty cache.
    pub fn restart_engine(&mut self, number: usize, now: Timestamp) {
        let incarnation = self.engines[number].model.incarnation().next();
        self.engines[number].model.restart(incarnation, self.settings.seed ^ incarnation.0);
        self.history.record(now, format!("engine-{number}"), format!("starts life {incarnation}"));
        self.advance_engine(number, now);
    }
}
