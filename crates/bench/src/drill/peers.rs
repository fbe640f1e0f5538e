//! Membership and configuration of the simulated nodes.

use std::time::Duration;

use paddlemount_core::{
    membership::CallId,
    peers::{PeerAction, PeerAnswer, PeerEvent, PeerRequest},
    placement::PlacementEvent,
};
use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest},
    peer::configuration::ConfigurationRequest,
    time::Timestamp,
};

use super::{
    cluster::SimCluster,
    event::{Event, NodeIncarnation, StoreCall},
    settings::Breakage,
};

impl SimCluster {
    /// Passes an event to a node's membership and configuration and performs the resulting actions.
    pub fn handle_peer_event(&mut self, at: NodeIncarnation, event: PeerEvent<'_>, now: Timestamp) {
        let Some(state) = self.state(at) else { return };
        let actions = state.peers.handle(event, now);
        for action in actions {
            self.perform_peer_action(at, action, now);
        }
        let Some(state) = self.state(at) else { return };
        let wakeup = state.peers.next_wakeup().max(now + Duration::from_micros(1));
        if state.wakeup.is_none_or(|planned| planned > wakeup || planned <= now) {
            state.wakeup = Some(wakeup);
            self.queue.schedule_at(wakeup, Event::Wake(at));
        }
    }

    /// Handles a timer of a node's membership and configuration.
    pub fn handle_wakeup(&mut self, at: NodeIncarnation, now: Timestamp) {
        if let Some(state) = self.state(at) {
            state.wakeup = None;
        }
        self.handle_peer_event(at, PeerEvent::Tick, now);
    }

    fn perform_peer_action(&mut self, at: NodeIncarnation, action: PeerAction, now: Timestamp) {
        match action {
            PeerAction::Call { call, address, request, timeout } => {
                self.queue.schedule_after(timeout, Event::PeerTimeout { to: at, call });
                let pull = matches!(request, PeerRequest::Configuration(ConfigurationRequest::Pull { .. }));
                if pull && self.has_breakage(Breakage::NoLearningFromPeers) {
                    return;
                }
                let Some(to) = self.nodes.iter().position(|node| node.address == address) else { return };
                let (from, target) = (self.nodes[at.node].endpoint, self.nodes[to].endpoint);
                let to = self.nodes[to].incarnation_of(to);
                self.send(from, target, Event::PeerRequest { to, from: at, call, request });
            }
            PeerAction::Answer { call, answer } => {
                let Some((to, call)) = self.state(at).and_then(|state| state.incoming.remove(&call)) else {
                    return;
                };
                let (from, target) = (self.nodes[at.node].endpoint, self.nodes[to.node].endpoint);
                self.send(from, target, Event::PeerAnswer { to, call, answer });
            }
            PeerAction::Store { call, request, timeout } => {
                self.call_store(at, StoreCall::Peers(call, request), timeout);
            }
            PeerAction::ChangeEnded { call, outcome } => self.handle_change_end(at, call, outcome, now),
            PeerAction::Installed(document) => {
                let (epoch, sealed) =
                    (document.configuration.claims.epoch, document.configuration.claims.next.is_some());
                let Some(state) = self.state(at) else { return };
                state.replica.adopt(epoch, sealed, now);
                let pools = &document.configuration.pools;
                let actions = state.placer.handle(PlacementEvent::Pools(pools), now);
                self.apply_placement(at, actions, now);
                let name = format!("node-{}", at.node);
                self.history.record(now, name, format!("holds revision {}", document.revision));
            }
            PeerAction::MemberChanged(_) | PeerAction::Item { .. } | PeerAction::Superseded => {}
        }
    }

    /// Handles a call of a peer.
    pub fn handle_peer_request(
        &mut self,
        to: NodeIncarnation,
        from: NodeIncarnation,
        call: CallId,
        request: &PeerRequest,
        now: Timestamp,
    ) {
        let Some(state) = self.state(to) else { return };
        let incoming = CallId(state.next_call);
        state.next_call += 1;
        state.incoming.insert(incoming, (from, call));
        self.handle_peer_event(to, PeerEvent::Request { call: incoming, request }, now);
    }

    /// Handles an answer of a peer.
    pub fn handle_peer_answer(
        &mut self,
        to: NodeIncarnation,
        call: CallId,
        answer: &PeerAnswer,
        now: Timestamp,
    ) {
        self.handle_peer_event(to, PeerEvent::Answer { call, answer }, now);
    }

    /// Handles the timeout of a call to a peer.
    pub fn handle_peer_timeout(&mut self, to: NodeIncarnation, call: CallId, now: Timestamp) {
        self.handle_peer_event(to, PeerEvent::Failed { call }, now);
    }

    /// Submits a change of an operator or of a completed rollout.
    pub fn submit_change(&mut self, node: usize, request: ChangeRequest, now: Timestamp) {
        let at = self.nodes[node].incarnation_of(node);
        let Some(state) = self.state(at) else { return };
        let call = CallId(state.next_call);
        state.next_call += 1;
        state.changes.insert(call, request.id.clone());
        let change = super::history::RequestedChange { node, at: now, ended: None };
        self.history.changes.insert(request.id.clone(), change);
        self.history.record(now, request.id.as_str(), format!("asked of node-{node}: {}", request.command));
        self.handle_peer_event(at, PeerEvent::Change { call, request: Box::new(request) }, now);
    }

    fn handle_change_end(
        &mut self,
        at: NodeIncarnation,
        call: CallId,
        outcome: ChangeOutcome,
        now: Timestamp,
    ) {
        let Some(id) = self.state(at).and_then(|state| state.changes.remove(&call)) else { return };
        self.history.record(now, id.as_str(), format!("{outcome:?}"));
        if let ChangeOutcome::InForce { revision, .. } | ChangeOutcome::Accepted { revision, .. } = &outcome {
            self.history.accepted_at.entry(*revision).or_insert(now);
        }
        if let Some(change) = self.history.changes.get_mut(&id) {
            change.ended = Some((now, outcome));
        }
    }
}
