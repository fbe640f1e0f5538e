//! Simulated router nodes: they choose engines, dispatch requests, handle answers and retry.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::{
    admission::AdmissionEvent,
    routing::{AttemptEnding, RouteRequest, RouterEvent},
};
use paddlemount_protocol::{
    engine::Priority,
    identity::{AttemptId, EventSequence, Incarnation, ModelId, PoolId, ZoneId},
    time::Timestamp,
};

use super::{
    cluster::{Cluster, OpenRequest},
    engines::{InFlight, POOL},
    event::{Answer, AttemptKey, Dispatch, Event},
    metrics::RequestEnding,
    overload::OverloadProtection,
    workload::{MODEL, WEIGHTS, WorkloadTenant},
};
use crate::simulation::Endpoint;

/// A node's position in one engine's feed.
#[derive(Clone, Copy, Default)]
pub(super) struct FeedPosition {
    pub(super) incarnation: Incarnation,
    pub(super) after: EventSequence,
    /// Earliest time of the next snapshot request.
    pub(super) next_snapshot_at: Timestamp,
}

/// Time from a node's start until it accepts requests; it polls all engines meanwhile.
const START_UP_TIME: Duration = Duration::from_millis(20);

/// One router node without its policy.
pub(super) struct SimulatedNode {
    pub(super) zone: ZoneId,
    pub(super) endpoint: Endpoint,
    /// Starts at 1.
    pub(super) incarnation: u32,
    /// When it accepts requests.
    pub(super) ready_at: Timestamp,
    /// Feeds that this node reads, by engine.
    pub(super) feeds: BTreeMap<usize, FeedPosition>,
    /// Admission and retry budget, if enforced.
    pub(super) protection: Option<OverloadProtection>,
}

impl SimulatedNode {
    /// A node that starts at time zero.
    pub(super) fn new(zone: ZoneId, endpoint: Endpoint) -> Self {
        Self {
            zone,
            endpoint,
            incarnation: 1,
            ready_at: Timestamp::ZERO + START_UP_TIME,
            feeds: BTreeMap::new(),
            protection: None,
        }
    }
}

/// Identities that all requests of the single pool share.
pub(super) struct RouteNames {
    pub(super) pool: PoolId,
    pub(super) model: ModelId,
}

impl RouteNames {
    pub(super) fn new() -> Self {
        Self { pool: PoolId::from(POOL), model: ModelId::from(MODEL) }
    }

    /// The routing request of an open request.
    pub(super) fn route<'a>(
        &'a self,
        open: &'a OpenRequest,
        tenant: &'a WorkloadTenant,
        reuse_weight: f64,
    ) -> RouteRequest<'a> {
        RouteRequest {
            request: &open.id,
            tenant: &tenant.tenant,
            pool: &self.pool,
            model: &self.model,
            weights: WEIGHTS,
            adapter: None,
            scope: tenant.scope,
            blocks: &open.workload.blocks,
            prompt_tokens: open.workload.prompt_tokens,
            max_tokens: open.workload.answer_tokens,
            priority: Priority::Normal,
            reuse_weight,
            excluded: &open.excluded,
        }
    }
}

impl Cluster<'_> {
    /// The index of the policy of a node.
    pub(super) fn policy_of(&self, node: usize) -> usize {
        if self.settings.policy.has_exact_state() { 0 } else { node }
    }

    /// Passes an event to the policy of a node.
    pub(super) fn observe(&mut self, node: usize, event: RouterEvent<'_>, now: Timestamp) {
        let policy = self.policy_of(node);
        self.policies[policy].observe(event, now);
    }

    /// Handles a request that arrives at its node.
    pub(super) fn arrive_at_node(&mut self, request: u64, now: Timestamp) {
        let Some(open) = self.requests.get(&request) else { return };
        let ready_at = self.nodes[open.node].ready_at;
        if now < ready_at {
            return self.queue.schedule_at(ready_at, Event::ArriveAtNode { request });
        }
        self.admit(request, now);
    }

    /// Chooses an engine for a request and sends an attempt to it.
    pub(super) fn dispatch(&mut self, request: u64, now: Timestamp) {
        if self.settings.policy.has_exact_state() {
            self.update_oracle(now);
        }
        let Some(open) = self.requests.get_mut(&request) else { return };
        open.attempts += 1;
        let (node, key) = (open.node, AttemptKey { request, number: open.attempts });
        let attempt = AttemptId::from(format!("{request}.{}", open.attempts));
        let open = &self.requests[&request];
        let tenant = &self.workload.tenants[open.workload.tenant];
        let names = RouteNames::new();
        let route = names.route(open, tenant, self.scenario.policies.reuse_weight);
        let policy = &mut self.policies[if self.settings.policy.has_exact_state() { 0 } else { node }];
        let choice = policy.choose(&route, now);
        let engine =
            choice.precondition.as_ref().and_then(|it| self.engine_positions.get(&it.engine).copied());
        let (Some(precondition), Some(engine)) = (choice.precondition, engine) else {
            return self.abandon(request, now);
        };
        let id = self.engines[engine].id.clone();
        policy.observe(RouterEvent::Dispatched { attempt: &attempt, engine: &id, request: &route }, now);
        self.record_in_flight(key, engine);
        let Some(open) = self.requests.get_mut(&request) else { return };
        open.current = Some((key, engine, attempt));
        open.dispatched_at = now;
        let priority = open.priority;
        let sent = Box::new(Dispatch { precondition, import: choice.import, priority });
        let delay = self.links.transmit(self.nodes[node].endpoint, self.engines[engine].endpoint);
        self.queue
            .schedule_after(delay.unwrap_or(Duration::ZERO), Event::ArriveAtEngine { key, engine, sent });
    }

    fn record_in_flight(&mut self, key: AttemptKey, engine: usize) {
        let open = &self.requests[&key.request];
        let scope = self.workload.tenants[open.workload.tenant].scope;
        let cached = self.engines[engine].model.cache().matched(scope, &open.workload.blocks) as u32;
        let missing_tokens =
            open.workload.prompt_tokens.saturating_sub(cached * paddlemount_protocol::prefix::BLOCK_TOKENS);
        self.engines[engine].in_flight.push(InFlight { key, missing_tokens });
    }

    /// Handles a message of an engine; ignored unless it belongs to the current attempt.
    pub(super) fn handle_answer(&mut self, key: AttemptKey, engine: usize, answer: Answer, now: Timestamp) {
        let Some(open) = self.requests.get(&key.request) else { return };
        let Some((current, _, attempt)) = &open.current else { return };
        if *current != key {
            return;
        }
        let (node, attempt) = (open.node, attempt.clone());
        let id = self.engines[engine].id.clone();
        match answer {
            Answer::Started { incarnation, cached_tokens, load } => {
                self.observe(node, RouterEvent::Load { engine: &id, report: load }, now);
                let started = RouterEvent::Started { attempt: &attempt, incarnation, cached_tokens };
                self.observe(node, started, now);
                if let Some(open) = self.requests.get_mut(&key.request) {
                    open.missing_tokens = open.workload.prompt_tokens.saturating_sub(cached_tokens);
                }
            }
            Answer::FirstToken => {
                self.observe(node, RouterEvent::FirstToken { attempt: &attempt }, now);
                self.record_queueing(key.request, now);
                self.forward_first_token(key.request, now);
            }
            Answer::Ended { load } => {
                self.observe(node, RouterEvent::Load { engine: &id, report: load }, now);
                self.end_attempt(node, &attempt, AttemptEnding::Completed, now);
                self.end_request(key.request, RequestEnding::Complete, now);
            }
            Answer::Refused => {
                self.end_attempt(node, &attempt, AttemptEnding::Refused, now);
                self.queue
                    .schedule_after(Duration::ZERO, Event::RequestStatus { node, engine, recurring: false });
                self.retry_elsewhere(key.request, engine, now);
            }
            Answer::Failed { engine_lost } => {
                self.end_attempt(node, &attempt, AttemptEnding::Failed, now);
                if engine_lost {
                    self.mark_unresponsive(node, engine, now);
                }
                self.retry_elsewhere(key.request, engine, now);
            }
        }
    }

    fn end_attempt(&mut self, node: usize, attempt: &AttemptId, ending: AttemptEnding, now: Timestamp) {
        self.observe(node, RouterEvent::Ended { attempt, ending }, now);
    }

    fn forward_first_token(&mut self, request: u64, now: Timestamp) {
        let at = now + self.caller_delay();
        let Some(open) = self.requests.get_mut(&request) else { return };
        if open.first_token_sent {
            return;
        }
        open.first_token_sent = true;
        self.metrics.first_token(open.workload.sent_at, at, open.group);
    }

    /// Retries a request at another engine while attempts and the retry budget allow.
    pub(super) fn retry_elsewhere(&mut self, request: u64, engine: usize, now: Timestamp) {
        let id = self.engines[engine].id.clone();
        let Some(open) = self.requests.get_mut(&request) else { return };
        open.current = None;
        open.excluded.push(id);
        let (node, attempts) = (open.node, open.attempts);
        if attempts >= self.scenario.nodes.attempts || !self.may_retry(node, attempts) {
            return self.abandon(request, now);
        }
        let sent_at = self.requests[&request].workload.sent_at;
        self.metrics.retried(sent_at);
        self.dispatch(request, now);
    }

    fn abandon(&mut self, request: u64, now: Timestamp) {
        let Some(open) = self.requests.get(&request) else { return };
        let ending = if open.has_run { RequestEnding::Failed } else { RequestEnding::NotRun };
        self.end_request(request, ending, now);
    }

    /// Ends a request.
    pub(super) fn end_request(&mut self, request: u64, ending: RequestEnding, now: Timestamp) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.metrics.ended(open.workload.sent_at, open.group, ending);
        self.apply_admission(open.node, AdmissionEvent::Cancelled { ticket: open.id }, now);
    }

    /// Restarts a node without state. Callers send its open requests to another node.
    pub(super) fn restart_node(&mut self, node: usize, now: Timestamp) {
        self.nodes[node].incarnation += 1;
        self.nodes[node].ready_at = now + START_UP_TIME;
        self.nodes[node].protection = self.build_protection(now);
        for position in self.nodes[node].feeds.values_mut() {
            *position = FeedPosition::default();
        }
        if !self.settings.policy.has_exact_state() {
            self.policies[node] = self.build_policy(node);
            self.request_all_statuses(node);
        }
        for request in self.requests_at(node) {
            self.abandon_attempt(request, now);
            let other = self.random_node();
            let Some(open) = self.requests.get_mut(&request) else { continue };
            open.node = other;
            let sent_at = open.workload.sent_at;
            self.metrics.retried(sent_at);
            self.queue.schedule_after(self.caller_delay() * 2, Event::ArriveAtNode { request });
        }
    }

    fn requests_at(&self, node: usize) -> Vec<u64> {
        self.requests.iter().filter(|(_, open)| open.node == node).map(|(request, _)| *request).collect()
    }

    /// Cancels the current attempt of a request whose node restarted.
    fn abandon_attempt(&mut self, request: u64, now: Timestamp) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some((_, engine, attempt)) = open.current.take() else { return };
        let engine_state = &mut self.engines[engine];
        if engine_state.model.is_up() {
            engine_state.model.cancel(&attempt, now);
            engine_state.serving.remove(&attempt);
        }
        self.reschedule(engine);
    }
}
