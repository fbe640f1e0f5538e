//! Model requests at the simulated nodes.

use std::{collections::VecDeque, time::Duration};

use paddlemount_core::{
    placement::{choose_version, fallback_version, version_counts},
    request::{Continuation, ModelRequest, RequestAction, RequestEvent, RequestSettings, RequestSpec},
    routing::{RouteRequest, RouterEvent},
};
use paddlemount_protocol::{
    engine::{Frame, Priority},
    identity::{AttemptId, EngineId, RequestId, TenantId, WeightsVersion},
    prefix::{CacheScope, hash_blocks, prompt_tokens},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use super::{
    cluster::{SimCluster, model_name, pool_name},
    event::{Dispatch, Event, NodeIncarnation},
    history::AnswerEnding,
    node::{ActiveRequest, NodeState},
    settings::Breakage,
};

const DEADLINE: Duration = Duration::from_secs(25);

/// A model request of a caller.
pub struct ModelRequestSpec {
    pub tenant: TenantId,
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
}

fn engine_number(engine: &EngineId) -> usize {
    engine.as_str().rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or_default()
}

impl SimCluster {
    /// Starts to serve a model request at a node, or refuses it.
    pub fn serve_model(&mut self, at: NodeIncarnation, request: &RequestId, now: Timestamp) {
        let Some(ModelRequestSpec { tenant, prompt, tokens }) = self.request_spec(request) else { return };
        let serves_unconfirmed = self.has_breakage(Breakage::ServesUnconfirmed);
        let stopping = self.nodes[at.node].stopping;
        let Some(state) = self.state(at) else {
            return self.end_answer(request, AnswerEnding::NodeCrashed, now);
        };
        let refuse = |code, message: &str| AnswerEnding::Refused(Refusal::not_run(code, message));
        if stopping {
            return self.end_answer(request, refuse(RefusalCode::Draining, "the node stops"), now);
        }
        let document = state.peers.configuration().cloned();
        let pool = document.as_ref().and_then(|document| document.configuration.pools.get(&pool_name()));
        let Some(pool) = pool.filter(|_| serves_unconfirmed || state.peers.may_serve(now)) else {
            let message = "the configuration is not known or not confirmed";
            return self.end_answer(request, refuse(RefusalCode::Unavailable, message), now);
        };
        let share = version_counts(&pool_name(), pool, state.statuses.values());
        let weights = choose_version(pool, share, request);
        let scope = CacheScope::new(&tenant, &model_name(), weights, None);
        let spec = RequestSpec {
            request: request.clone(),
            repeatable: true,
            max_tokens: tokens,
            deadline: now + DEADLINE,
        };
        let active = ActiveRequest {
            machine: ModelRequest::new(RequestSettings::default(), spec),
            tenant,
            weights,
            scope,
            blocks: hash_blocks(scope, prompt.as_bytes()),
            tokens,
            timer: None,
        };
        state.requests.insert(request.clone(), active);
        self.handle_request_event(at, request, RequestEvent::Arrived, now);
    }

    /// Passes an event to the request's state machine and performs the resulting actions.
    pub fn handle_request_event(
        &mut self,
        at: NodeIncarnation,
        request: &RequestId,
        event: RequestEvent,
        now: Timestamp,
    ) {
        let Some(event) = self.apply_breakage(at, request, event, now) else { return };
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(active) = self.state(at).and_then(|state| state.requests.get_mut(request)) else {
                return;
            };
            for action in active.machine.handle(event, now) {
                events.extend(self.perform_request_action(at, request, action, now));
            }
        }
        self.schedule_timer(at, request, now);
    }

    /// Alters an event if the run's breakage applies to it.
    fn apply_breakage(
        &mut self,
        at: NodeIncarnation,
        request: &RequestId,
        event: RequestEvent,
        now: Timestamp,
    ) -> Option<RequestEvent> {
        match (self.settings.breakage, event) {
            (Breakage::FramesOfAnyAttempt, RequestEvent::Frame(frame)) => {
                let active = self.state(at)?.requests.get(request)?;
                let attempt = AttemptId::from(format!("{request}.{}", active.machine.attempts()));
                Some(RequestEvent::Frame(Frame { attempt, ..frame }))
            }
            (Breakage::BreakIsEnd, RequestEvent::ConnectionLost { attempt, resumable }) => {
                let has_started =
                    self.history.answers.get(request).is_some_and(|answer| !answer.received.is_empty());
                if has_started {
                    self.end_request(at, request, AnswerEnding::Finished, now)?;
                    return None;
                }
                Some(RequestEvent::ConnectionLost { attempt, resumable })
            }
            (_, event) => Some(event),
        }
    }

    fn perform_request_action(
        &mut self,
        at: NodeIncarnation,
        request: &RequestId,
        action: RequestAction,
        now: Timestamp,
    ) -> Option<RequestEvent> {
        match action {
            RequestAction::Choose { excluded, continuation, .. } => {
                return self.choose(at, request, &excluded, continuation, now);
            }
            RequestAction::Dispatch { attempt, precondition, answer_prefix } => {
                let engine = engine_number(&precondition.engine);
                let answer_prefix_tokens = u32::try_from(answer_prefix.len()).unwrap_or(u32::MAX);
                let (request, sent) = (request.clone(), attempt.clone());
                let dispatch =
                    Dispatch { from: at, request, attempt: sent, precondition, answer_prefix_tokens };
                let event = Event::Submit { engine, dispatch: Box::new(dispatch) };
                let is_sent = self.send_to_engine(at, engine, event);
                return (!is_sent).then_some(RequestEvent::NotSent { attempt });
            }
            RequestAction::Resume { attempt, engine, incarnation, next_index: next } => {
                let engine = engine_number(&engine);
                let (request, resumed) = (request.clone(), attempt.clone());
                let event = Event::Resume { engine, from: at, request, attempt: resumed, incarnation, next };
                let is_sent = self.send_to_engine(at, engine, event);
                return (!is_sent).then_some(RequestEvent::NotSent { attempt });
            }
            RequestAction::Cancel { attempt, engine } => {
                let engine = engine_number(&engine);
                self.send_to_engine(at, engine, Event::Cancel { engine, attempt });
            }
            RequestAction::RefreshStatus { engine } => self.request_status(at, engine_number(&engine), now),
            RequestAction::Ended { attempt, ending } => {
                let event = RouterEvent::Ended { attempt: &attempt, ending };
                self.state(at)?.router.apply(event, now);
            }
            RequestAction::Started { attempt, incarnation, cached_tokens, .. } => {
                let event = RouterEvent::Started { attempt: &attempt, incarnation, cached_tokens };
                self.state(at)?.router.apply(event, now);
            }
            RequestAction::Emit { text, .. } => {
                if let Some(answer) = self.history.answers.get_mut(request) {
                    answer.received.push(text);
                }
            }
            RequestAction::Finish { .. } => self.end_request(at, request, AnswerEnding::Finished, now)?,
            RequestAction::Refuse { refusal } => {
                self.end_request(at, request, AnswerEnding::Refused(refusal), now)?;
            }
        }
        None
    }

    /// Returns whether the event was sent.
    fn send_to_engine(&mut self, at: NodeIncarnation, engine: usize, event: Event) -> bool {
        self.send(self.nodes[at.node].endpoint, self.engines[engine].endpoint, event)
    }

    /// Ends a request at its node; none if the node incarnation has ended.
    fn end_request(
        &mut self,
        at: NodeIncarnation,
        request: &RequestId,
        ending: AnswerEnding,
        now: Timestamp,
    ) -> Option<()> {
        self.state(at)?.requests.remove(request);
        self.end_answer(request, ending, now);
        Some(())
    }

    /// Chooses an engine. During a rollout it falls back to the other version unless the answer has begun.
    fn choose(
        &mut self,
        at: NodeIncarnation,
        request: &RequestId,
        excluded: &[EngineId],
        continuation: Option<Continuation>,
        now: Timestamp,
    ) -> Option<RequestEvent> {
        if let Some(continuation) = continuation {
            return self.choose_version_of(at, request, excluded, continuation.weights, now);
        }
        let weights = self.state(at)?.requests.get(request)?.weights;
        let decided = self.choose_version_of(at, request, excluded, weights, now)?;
        if !matches!(decided, RequestEvent::NoEngineAvailable { .. }) {
            return Some(decided);
        }
        let document = self.configuration(at)?;
        let pool = document.configuration.pools.get(&pool_name())?;
        let newest =
            if pool.weights > weights { Some(pool.weights) } else { fallback_version(pool, weights) };
        match newest {
            Some(other) => self.choose_version_of(at, request, excluded, other, now),
            None => Some(decided),
        }
    }

    /// Chooses an engine that serves `weights`; none if the node or the request has ended.
    fn choose_version_of(
        &mut self,
        at: NodeIncarnation,
        request: &RequestId,
        excluded: &[EngineId],
        weights: WeightsVersion,
        now: Timestamp,
    ) -> Option<RequestEvent> {
        let prompt = self.request_spec(request)?.prompt;
        let state = self.state(at)?;
        let NodeState { router, requests, .. } = state;
        let active = requests.get_mut(request)?;
        if weights != active.weights {
            active.weights = weights;
            active.scope = CacheScope::new(&active.tenant, &model_name(), weights, None);
            active.blocks = hash_blocks(active.scope, prompt.as_bytes());
        }
        let (pool, model) = (pool_name(), model_name());
        let route = RouteRequest {
            request,
            tenant: &active.tenant,
            pool: &pool,
            model: &model,
            weights,
            adapter: None,
            scope: active.scope,
            blocks: &active.blocks,
            prompt_tokens: prompt_tokens(active.blocks.len() * paddlemount_protocol::prefix::BLOCK_BYTES),
            max_tokens: active.tokens,
            priority: Priority::Normal,
            reuse_weight: 0.5,
            excluded,
        };
        let decision = router.choose(&route, now);
        let Some(precondition) = decision.chosen else {
            return Some(RequestEvent::NoEngineAvailable { retry_after: None });
        };
        let attempt = AttemptId::from(format!("{request}.{}", active.machine.attempts() + 1));
        let event =
            RouterEvent::Dispatched { attempt: &attempt, engine: &precondition.engine, request: &route };
        router.apply(event, now);
        Some(RequestEvent::EngineChosen(precondition))
    }

    fn schedule_timer(&mut self, at: NodeIncarnation, request: &RequestId, now: Timestamp) {
        let Some(active) = self.state(at).and_then(|state| state.requests.get_mut(request)) else {
            return;
        };
        let next = active.machine.next_timer().max(now + Duration::from_micros(1));
        if active.timer.is_none_or(|planned| planned > next) {
            active.timer = Some(next);
            self.queue.schedule_at(next, Event::RequestTimer { to: at, request: request.clone() });
        }
    }

    /// Handles a timer, which may have been postponed meanwhile.
    pub fn handle_request_timer(&mut self, at: NodeIncarnation, request: &RequestId, now: Timestamp) {
        let Some(active) = self.state(at).and_then(|state| state.requests.get_mut(request)) else {
            return;
        };
        active.timer = None;
        if active.machine.next_timer() <= now {
            self.handle_request_event(at, request, RequestEvent::Tick, now);
        } else {
            self.schedule_timer(at, request, now);
        }
    }

    /// Records the end of an answer.
    pub fn end_answer(&mut self, request: &RequestId, ending: AnswerEnding, now: Timestamp) {
        self.history.record(now, request.as_str(), format!("ends: {ending:?}"));
        if let Some(answer) = self.history.answers.get_mut(request) {
            answer.ending.get_or_insert(ending);
        }
    }

    /// The tenant, prompt and length of a request, derived from its number.
    pub fn request_spec(&self, request: &RequestId) -> Option<ModelRequestSpec> {
        let number: usize = request.as_str().rsplit('-').next()?.parse().ok()?;
        let tenant = TenantId::from(["kestrel", "benoni"][number % 2]);
        let prompt = ["contract ", "hire terms ", "permit "][number % 3].repeat(130);
        let tokens = self.history.answers.get(request)?.tokens;
        Some(ModelRequestSpec { tenant, prompt, tokens })
    }
}
