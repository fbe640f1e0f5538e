//! Booking requests at the simulated nodes: claims, dispatches and their outcomes.

use std::time::Duration;

use paddlemount_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimOutcome, ClaimSettings, ClaimedRequest, RunResult,
    claim_key, fingerprint, placement::replicas_of,
};
use paddlemount_protocol::{
    booking::ServiceRequest,
    identity::{AttemptId, IdempotencyKey, NodeId, ServiceId, TenantId},
    peer::claims::{ClaimMessage, ClaimReply},
    refusal::{Outcome, Refusal, RefusalCode},
    time::Timestamp,
};
use rand::RngExt;

use super::{
    cluster::SimCluster,
    event::{Event, NodeIncarnation},
    node::ActiveClaim,
    settings::Breakage,
};

const DEADLINE: Duration = Duration::from_secs(5);
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DISPATCHES: u32 = 3;
const REPLY_LOSS_PROBABILITY: f64 = 0.4;
const BUSY_PROBABILITY: f64 = 0.1;
const CALLER_DELAY: Duration = Duration::from_millis(1);

impl SimCluster {
    /// Starts to serve a booking at a node, or refuses it.
    pub fn serve_booking(&mut self, at: NodeIncarnation, key: &str, attempt: usize, now: Timestamp) {
        let stopping = self.nodes[at.node].stopping;
        let serves_unconfirmed = self.has_breakage(Breakage::ServesUnconfirmed);
        let own = self.nodes[at.node].name.clone();
        let without_claims = self.has_breakage(Breakage::NoClaims);
        let Some(state) = self.state(at) else { return };
        let document = state.peers.configuration().cloned();
        let may_serve = serves_unconfirmed || state.peers.may_serve(now);
        let Some(document) = document.filter(|_| may_serve && !stopping) else {
            let refusal = Refusal::unknown(RefusalCode::Unavailable, "the node cannot serve now");
            return self.end_booking(key, attempt, ClaimOutcome::Refused(refusal), now);
        };
        let placement = &document.configuration.claims;
        let claim = claim_key(&TenantId::from("kestrel"), &IdempotencyKey::from(key));
        let replicas = if without_claims { vec![own] } else { replicas_of(placement, &claim) };
        let owner = AttemptId::from(format!("{}.{}.{key}.{attempt}", at.node, at.incarnation));
        let request = ClaimedRequest {
            key: claim,
            owner: owner.clone(),
            fingerprint: fingerprint(&ServiceId::from("booking"), "charge", key),
            epoch: placement.epoch,
            replicas,
            deadline: now + DEADLINE,
        };
        let (coordinator, actions) = ClaimCoordinator::begin(request, &ClaimSettings::default(), now);
        let active = ActiveClaim { coordinator, key: key.to_owned(), attempt, dispatches: 0 };
        state.claims.insert(owner.clone(), active);
        self.perform_claim_actions(at, &owner, actions, now);
    }

    fn perform_claim_actions(
        &mut self,
        at: NodeIncarnation,
        owner: &AttemptId,
        actions: Vec<ClaimAction>,
        now: Timestamp,
    ) {
        for action in actions {
            match action {
                ClaimAction::Send { to, message } => self.send_claim(at, owner, &to, message),
                ClaimAction::WakeAt(time) => {
                    self.queue.schedule_at(time, Event::ClaimTimer { to: at, owner: owner.clone() });
                }
                ClaimAction::Dispatch => self.dispatch_booking(at, owner, now),
                ClaimAction::End(ending) => {
                    let active = self.state(at).and_then(|state| state.claims.get(owner));
                    let Some((key, attempt)) = active.map(|active| (active.key.clone(), active.attempt))
                    else {
                        continue;
                    };
                    self.end_booking(&key, attempt, ending, now);
                }
            }
        }
    }

    fn handle_claim_event(
        &mut self,
        at: NodeIncarnation,
        owner: &AttemptId,
        event: ClaimEvent,
        now: Timestamp,
    ) {
        let Some(active) = self.state(at).and_then(|state| state.claims.get_mut(owner)) else { return };
        let actions = active.coordinator.handle(event, now);
        self.perform_claim_actions(at, owner, actions, now);
    }

    fn send_claim(&mut self, at: NodeIncarnation, owner: &AttemptId, to: &NodeId, message: ClaimMessage) {
        let Some(number) = self.nodes.iter().position(|node| node.name == *to) else { return };
        let event = Event::Claim {
            to: self.nodes[number].incarnation_of(number),
            from: at,
            owner: owner.clone(),
            message,
        };
        let (from, target) = (self.nodes[at.node].endpoint, self.nodes[number].endpoint);
        self.send(from, target, event);
    }

    /// Handles a claim message at a replica.
    pub fn handle_claim(
        &mut self,
        to: NodeIncarnation,
        from: NodeIncarnation,
        owner: AttemptId,
        message: &ClaimMessage,
        now: Timestamp,
    ) {
        let Some(state) = self.state(to) else { return };
        let reply = state.replica.handle(message, now);
        let is_claim = matches!(message, ClaimMessage::Claim { .. });
        if is_claim {
            let key = owner.as_str().split('.').nth(2).unwrap_or_default().to_owned();
            self.history.record(now, key, format!("node-{} answers {owner}: {reply:?}", to.node));
        }
        let (replica, target) = (self.nodes[to.node].endpoint, self.nodes[from.node].endpoint);
        let event = Event::ClaimReply { to: from, replica: to.node, owner, is_claim, reply };
        self.send(replica, target, event);
    }

    /// Handles the reply of a replica.
    pub fn handle_claim_reply(
        &mut self,
        at: NodeIncarnation,
        replica: usize,
        owner: &AttemptId,
        is_claim: bool,
        reply: ClaimReply,
        now: Timestamp,
    ) {
        let replica = self.nodes[replica].name.clone();
        let event = if is_claim {
            ClaimEvent::Replied { replica, reply }
        } else {
            ClaimEvent::Acknowledged { replica }
        };
        self.handle_claim_event(at, owner, event, now);
    }

    /// Handles a timer of a claimed request.
    pub fn handle_claim_timer(&mut self, at: NodeIncarnation, owner: &AttemptId, now: Timestamp) {
        self.handle_claim_event(at, owner, ClaimEvent::Tick, now);
    }

    fn dispatch_booking(&mut self, at: NodeIncarnation, owner: &AttemptId, now: Timestamp) {
        let instances = self.bookings.len();
        let Some(active) = self.state(at).and_then(|state| state.claims.get_mut(owner)) else { return };
        active.dispatches += 1;
        let number = active.dispatches;
        let key = active.key.clone();
        let instance = (key.len() + usize::from(key.as_bytes()[key.len() - 1]) + number as usize) % instances;
        self.history.record(now, key, format!("node-{} sends dispatch {number} of {owner}", at.node));
        let timeout = Event::BookingTimeout { to: at, owner: owner.clone(), number };
        self.queue.schedule_after(DISPATCH_TIMEOUT, timeout);
        let event = Event::Booking { instance, from: at, owner: owner.clone(), number };
        if !self.send(self.nodes[at.node].endpoint, self.bookings[instance].endpoint, event) {
            self.not_run(at, owner, RefusalCode::Unavailable, now);
        }
    }

    fn not_run(&mut self, at: NodeIncarnation, owner: &AttemptId, code: RefusalCode, now: Timestamp) {
        let Some(active) = self.state(at).and_then(|state| state.claims.get(owner)) else { return };
        let others_left = active.dispatches < MAX_DISPATCHES;
        let message = "the service did not take it".to_owned();
        let result = RunResult::NotRun { code, message, others_left };
        self.handle_claim_event(at, owner, ClaimEvent::DispatchEnded(result), now);
    }

    /// Runs a booking at a booking instance. The instance does not deduplicate.
    pub fn run_booking(
        &mut self,
        instance: usize,
        from: NodeIncarnation,
        owner: AttemptId,
        number: u32,
        now: Timestamp,
    ) {
        let key = owner.as_str().split('.').nth(2).unwrap_or_default().to_owned();
        let busy = self.lose_replies && self.random.random_bool(BUSY_PROBABILITY);
        let answer = if busy {
            Err("busy".to_owned())
        } else {
            let request = ServiceRequest {
                attempt: AttemptId::from(format!("{owner}.{number}")),
                tenant: TenantId::from("kestrel"),
                key: Some(IdempotencyKey::from(key.as_str())),
                operation: "charge".to_owned(),
                body: serde_json::json!({ "key": key }),
            };
            self.history.record(now, key.as_str(), format!("booking-{instance} runs {owner}"));
            self.history.bookings.entry(key).or_default().runs.push((instance, now));
            let result = self.bookings[instance].model.run(request, now);
            result.map(|response| response.body.to_string()).map_err(|refusal| refusal.message)
        };
        if self.lose_replies && self.random.random_bool(REPLY_LOSS_PROBABILITY) {
            return;
        }
        let (back_end, node) = (self.bookings[instance].endpoint, self.nodes[from.node].endpoint);
        self.send(back_end, node, Event::BookingReply { to: from, owner, answer });
    }

    /// Handles the reply of a booking instance.
    pub fn handle_booking_reply(
        &mut self,
        at: NodeIncarnation,
        owner: &AttemptId,
        answer: Result<String, String>,
        now: Timestamp,
    ) {
        match answer {
            Ok(answer) => {
                self.handle_claim_event(
                    at,
                    owner,
                    ClaimEvent::DispatchEnded(RunResult::Completed { answer }),
                    now,
                );
            }
            Err(_) => self.not_run(at, owner, RefusalCode::Overloaded, now),
        }
    }

    /// Ends a dispatch that timed out; ignored if a later dispatch has started.
    pub fn handle_booking_timeout(
        &mut self,
        at: NodeIncarnation,
        owner: &AttemptId,
        number: u32,
        now: Timestamp,
    ) {
        let unclear_is_not_run = self.has_breakage(Breakage::UnclearIsNotRun);
        let Some(active) = self.state(at).and_then(|state| state.claims.get(owner)) else { return };
        if active.dispatches != number {
            return;
        }
        let message = "the service gave no answer".to_owned();
        let result = if unclear_is_not_run {
            RunResult::NotRun { code: RefusalCode::Unavailable, message, others_left: false }
        } else {
            RunResult::Unknown { message }
        };
        self.handle_claim_event(at, owner, ClaimEvent::DispatchEnded(result), now);
    }

    fn end_booking(&mut self, key: &str, attempt: usize, ending: ClaimOutcome, now: Timestamp) {
        self.history.record(now, key, format!("try {attempt} ends: {ending:?}"));
        if let ClaimOutcome::Refused(refusal) = &ending
            && refusal.outcome == Outcome::NotRun
        {
            self.history.bookings.entry(key.to_owned()).or_default().not_run_at.push(now);
        }
        let event = Event::BookingEnded { key: key.to_owned(), attempt, ending: Some(ending) };
        self.queue.schedule_after(CALLER_DELAY, event);
    }
}
