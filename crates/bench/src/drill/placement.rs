//! Periodic work of the simulated nodes: engine statuses, the machine list, the placement lease and orders.

use std::time::Duration;

use paddlemount_core::{
    lease::LeaseEvent,
    peers::PeerEvent,
    placement::{PlacementAction, PlacementEvent},
    routing::RouterEvent,
};
use paddlemount_protocol::{
    configuration::{Change, ChangeRequest, Pool},
    engine::{EngineRefusal, EngineStatus, OrderResult},
    identity::{ChangeId, EngineId, OperatorId, PoolId, WeightsVersion},
    time::Timestamp,
};

use super::{
    cluster::SimCluster,
    event::{Event, NodeIncarnation, StoreAnswer, StoreCall},
    node::PRIMARY_NODES,
    settings::Breakage,
};

const SECOND: Duration = Duration::from_secs(1);
const LEASE_TIMEOUT: Duration = Duration::from_secs(2);

impl SimCluster {
    /// The periodic work of a node.
    pub fn periodic_tick(&mut self, at: NodeIncarnation, now: Timestamp) {
        self.queue.schedule_after(SECOND, Event::PeriodicTick(at));
        (0..self.engines.len()).for_each(|engine| self.request_status(at, engine, now));
        let (platform, node) = (self.store.endpoint, self.nodes[at.node].endpoint);
        let draining = self.draining.clone();
        self.send(platform, node, Event::Machines { to: at, draining });
        if at.node < PRIMARY_NODES {
            self.handle_lease_event(at, LeaseEvent::Tick, now);
            let Some(state) = self.state(at) else { return };
            let actions = state.placer.handle(PlacementEvent::Tick, now);
            self.apply_placement(at, actions, now);
        }
    }

    /// Requests the status of an engine.
    pub fn request_status(&mut self, at: NodeIncarnation, engine: usize, now: Timestamp) {
        let event = Event::StatusRequested { engine, from: at, requested_at: now };
        self.send(self.nodes[at.node].endpoint, self.engines[engine].endpoint, event);
    }

    /// Handles a status request at an engine.
    pub fn handle_status_request(
        &mut self,
        engine: usize,
        from: NodeIncarnation,
        requested_at: Timestamp,
        now: Timestamp,
    ) {
        self.advance_engine(engine, now);
        let target = &self.engines[engine];
        if target.model.is_up() {
            let status = Box::new(target.model.status(now));
            let event = Event::Status { to: from, status, requested_at };
            self.send(self.engines[engine].endpoint, self.nodes[from.node].endpoint, event);
        }
    }

    /// Handles the status of an engine.
    pub fn handle_status(
        &mut self,
        at: NodeIncarnation,
        status: &EngineStatus,
        requested_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(state) = self.state(at) else { return };
        state.router.apply(RouterEvent::Status(status), now);
        state.statuses.insert(status.engine.clone(), status.clone());
        let actions = state.placer.handle(PlacementEvent::Status { status, requested_at }, now);
        self.apply_placement(at, actions, now);
    }

    /// Handles the machine list.
    pub fn handle_machine_list(&mut self, at: NodeIncarnation, draining: &[usize], now: Timestamp) {
        if self.has_breakage(Breakage::DrainingIgnored) {
            return;
        }
        let Some(state) = self.state(at) else { return };
        for engine in draining {
            let engine = EngineId::from(format!("engine-{engine}"));
            state.router.apply(RouterEvent::Draining { engine: &engine, draining: true }, now);
        }
    }

    fn handle_lease_event(&mut self, at: NodeIncarnation, event: LeaseEvent, now: Timestamp) {
        let Some(state) = self.state(at) else { return };
        let request = state.lease.handle(event, now);
        let token = state.lease.token(now);
        let actions = state.placer.handle(PlacementEvent::Lease(token), now);
        if let Some(request) = request {
            self.call_store(at, StoreCall::Lease(request), LEASE_TIMEOUT);
        }
        self.apply_placement(at, actions, now);
    }

    /// Handles an answer of the store, or the timeout of a call.
    pub fn handle_store_answer(&mut self, at: NodeIncarnation, answer: StoreAnswer, now: Timestamp) {
        match answer {
            StoreAnswer::Peers(call, result) => {
                self.handle_peer_event(at, PeerEvent::Store { call, result }, now)
            }
            StoreAnswer::Lease(Some(result)) => {
                self.handle_lease_event(at, LeaseEvent::Answered(result), now)
            }
            StoreAnswer::Lease(None) => self.handle_lease_event(at, LeaseEvent::Failed, now),
        }
    }

    /// Performs the actions of placement.
    pub fn apply_placement(&mut self, at: NodeIncarnation, actions: Vec<PlacementAction>, now: Timestamp) {
        for action in actions {
            match action {
                PlacementAction::Order { engine, order } => {
                    let number = engine.as_str().rsplit('-').next().and_then(|text| text.parse().ok());
                    let Some(engine) = number else { continue };
                    let event = Event::Order { engine, from: at, order };
                    self.send(self.nodes[at.node].endpoint, self.engines[engine].endpoint, event);
                }
                PlacementAction::ReleaseLease => self.handle_lease_event(at, LeaseEvent::Fenced, now),
                PlacementAction::CompleteRollout { pool, weights } => {
                    self.complete_rollout(at, pool, weights, now);
                }
            }
        }
    }

    fn complete_rollout(
        &mut self,
        at: NodeIncarnation,
        pool: PoolId,
        weights: WeightsVersion,
        now: Timestamp,
    ) {
        let Some(document) = self.configuration(at) else { return };
        let Some(settings) = document.configuration.pools.get(&pool) else { return };
        let id = ChangeId::from(format!("complete {pool} {weights}"));
        let previous = self.history.changes.get(&id);
        if previous.is_some_and(|previous| previous.ended.is_none() && now < previous.at + SECOND * 20) {
            return;
        }
        let request = ChangeRequest {
            id,
            operator: OperatorId::from("placement"),
            if_revision: None,
            change: Change::PutPool { pool, settings: Pool { weights, rollout: None, ..settings.clone() } },
            command: format!("complete the rollout of weights {weights}"),
            dry_run: false,
        };
        self.submit_change(at.node, request, now);
    }

    /// Handles an engine's answer to an order.
    pub fn handle_order_result(
        &mut self,
        at: NodeIncarnation,
        engine: usize,
        order: &str,
        result: &Result<OrderResult, EngineRefusal>,
        now: Timestamp,
    ) {
        let engine = EngineId::from(format!("engine-{engine}"));
        let event = match result {
            Ok(_) => PlacementEvent::Accepted { engine: &engine, order },
            Err(refusal) => PlacementEvent::Refused { engine: &engine, order, code: refusal.code },
        };
        let Some(state) = self.state(at) else { return };
        let actions = state.placer.handle(event, now);
        self.apply_placement(at, actions, now);
    }
}
