//! Delivery of messages, timers and store calls in a [`HollowCluster`].

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use paddlemount_core::{
    configuration::change::StoreFailure,
    membership::CallId,
    peers::{PeerAction, PeerAnswer, PeerEvent, PeerRequest, Peers, StoreReply, StoreRequest},
};
use paddlemount_node::peers::authentication::SignedRequest;
use paddlemount_protocol::{configuration::StoredDocument, peer::encoded_bytes, time::Timestamp};

use super::{Event, HollowCluster, IncomingCall, Message, NodeObservation, Observation, OutgoingCall};
use crate::hollow::{
    store::{AddressedReply, StoreCaller},
    wire,
};

/// Round trip and service time of the store.
const STORE_DELAY: Duration = Duration::from_millis(3);

impl HollowCluster {
    pub(super) fn wake_at(&mut self, index: usize, at: Timestamp) {
        let node = &mut self.nodes[index];
        if node.wakeup.is_none_or(|known| at < known) {
            node.wakeup = Some(at);
            self.queue.schedule_at(at, Event::Wake(index));
        }
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        let Some(event) = self.defer_while_paused(event) else { return };
        match event {
            Event::Wake(node) => {
                self.nodes[node].wakeup = None;
                self.with_peers(node, |peers, now| peers.handle(PeerEvent::Tick, now));
            }
            Event::Request { from, from_incarnation, to, call, message } => {
                self.handle_request(from, from_incarnation, to, call, message);
            }
            Event::Answer { to, incarnation, call, message } if self.nodes[to].incarnation == incarnation => {
                self.handle_answer(to, call, &message);
            }
            Event::Timeout { node, incarnation, call } if self.nodes[node].incarnation == incarnation => {
                if self.nodes[node].outgoing.remove(&call).is_some() {
                    self.with_peers(node, |peers, now| peers.handle(PeerEvent::Failed { call }, now));
                }
            }
            Event::StoreRequest { caller, request } => {
                let now = self.now();
                if let StoreRequest::Watch(watch) = &request {
                    let wait = Duration::from_millis(watch.wait_ms);
                    self.queue.schedule_after(wait, Event::StoreExpiry);
                }
                let replies = self.store.serve(caller, request, now);
                self.send_replies(replies);
            }
            Event::StoreReply { caller, reply } => self.end_store_call(caller, Ok(reply)),
            Event::StoreTimeout { caller } => self.end_store_call(caller, Err(StoreFailure::Unclear)),
            Event::StoreExpiry => {
                let now = self.now();
                let replies = self.store.expire(now);
                self.send_replies(replies);
            }
            Event::Change { node, request } => {
                let call = CallId(self.nodes[node].next_incoming);
                self.nodes[node].next_incoming += 1;
                self.with_peers(node, |peers, now| peers.handle(PeerEvent::Change { call, request }, now));
            }
            Event::Answer { .. } | Event::Timeout { .. } => {}
        }
    }

    fn defer_while_paused(&mut self, event: Event) -> Option<Event> {
        let node = match &event {
            Event::Wake(node) | Event::Timeout { node, .. } | Event::Change { node, .. } => *node,
            Event::Request { to, .. } | Event::Answer { to, .. } => *to,
            Event::StoreReply { caller, .. } | Event::StoreTimeout { caller } => caller.node,
            Event::StoreRequest { .. } | Event::StoreExpiry => return Some(event),
        };
        let until = self.nodes[node].paused_until;
        if until > self.now() {
            self.queue.schedule_at(until, event);
            return None;
        }
        Some(event)
    }

    fn handle_request(
        &mut self,
        from: usize,
        from_incarnation: u32,
        to: usize,
        call: CallId,
        message: Message,
    ) {
        if self.nodes[to].peers.is_none() {
            return;
        }
        let began = Instant::now();
        let signed = SignedRequest {
            method: "POST",
            path: message.path,
            receiver: self.nodes[to].address,
            node: &self.nodes[from].name,
            time: message.time,
            body: &message.body,
        };
        let accepted = self.authenticator.accept_request(&signed, &message.signature, message.time);
        let request = wire::decode_request(message.path, &message.body).filter(|_| accepted.is_ok());
        let bytes = wire::request_bytes(message.path, signed.node.as_str(), message.body.len());
        let node = &mut self.nodes[to];
        node.usage.bytes_in += bytes as u64;
        node.usage.messages_in += 1;
        node.usage.processor += began.elapsed();
        let Some(request) = request else { return };
        let incoming = CallId(node.next_incoming);
        node.next_incoming += 1;
        let (path, signature) = (message.path, message.signature);
        node.incoming
            .insert(incoming, IncomingCall { from, incarnation: from_incarnation, call, path, signature });
        self.with_peers(to, |peers, now| {
            peers.handle(PeerEvent::Request { call: incoming, request: &request }, now)
        });
    }

    fn handle_answer(&mut self, to: usize, call: CallId, message: &Message) {
        let began = Instant::now();
        let node = &mut self.nodes[to];
        node.usage.bytes_in += wire::answer_bytes(message.body.len()) as u64;
        node.usage.messages_in += 1;
        let Some(outgoing) = node.outgoing.remove(&call) else { return };
        let accepted =
            self.authenticator.accept_answer(&outgoing.signature, &message.body, &message.signature);
        let answer = wire::decode_answer(outgoing.path, &message.body).filter(|_| accepted.is_ok());
        node.usage.processor += began.elapsed();
        match answer {
            Some(answer) => self
                .with_peers(to, |peers, now| peers.handle(PeerEvent::Answer { call, answer: &answer }, now)),
            None => self.with_peers(to, |peers, now| peers.handle(PeerEvent::Failed { call }, now)),
        }
    }

    fn end_store_call(&mut self, caller: StoreCaller, result: Result<StoreReply, StoreFailure>) {
        if self.nodes[caller.node].incarnation != caller.incarnation {
            return;
        }
        if let Ok(reply) = &result {
            let body = match reply {
                StoreReply::Document(StoredDocument::Present(read)) => encoded_bytes(read),
                // About the bytes of any other reply.
                _ => 60,
            };
            self.nodes[caller.node].usage.store_bytes += wire::answer_bytes(body) as u64;
        }
        let call = caller.call;
        self.with_peers(caller.node, |peers, now| peers.handle(PeerEvent::Store { call, result }, now));
    }

    pub(super) fn with_peers(
        &mut self,
        index: usize,
        work: impl FnOnce(&mut Peers, Timestamp) -> Vec<PeerAction>,
    ) {
        let now = self.now();
        let Some(peers) = self.nodes[index].peers.as_mut() else { return };
        let began = Instant::now();
        let actions = work(peers, now);
        let next = peers.next_wakeup();
        self.nodes[index].usage.processor += began.elapsed();
        for action in actions {
            self.perform(index, action);
        }
        self.wake_at(index, next);
    }

    pub(super) fn perform(&mut self, index: usize, action: PeerAction) {
        let observation = match action {
            PeerAction::Call { call, address, request, timeout } => {
                self.send_request(index, call, address, &request, timeout);
                return;
            }
            PeerAction::Answer { call, answer } => {
                self.send_answer(index, call, &answer);
                return;
            }
            PeerAction::Store { call, request, timeout } => {
                self.send_to_store(index, call, request, timeout);
                return;
            }
            PeerAction::ChangeEnded { outcome, .. } => Observation::ChangeEnded(outcome),
            PeerAction::Installed(document) => {
                self.nodes[index].revision = document.revision;
                Observation::Installed(document.revision)
            }
            PeerAction::MemberChanged(record) => {
                Observation::Member { node: record.node.clone(), state: record.state }
            }
            PeerAction::Item { .. } | PeerAction::Superseded => return,
        };
        let at = self.now();
        self.observations.push(NodeObservation { at, node: index, observation });
    }

    fn send_request(
        &mut self,
        index: usize,
        call: CallId,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) {
        let began = Instant::now();
        let (path, body, time) = (wire::path(request), wire::encode_request(request), self.now());
        let node = &self.nodes[index];
        let signed =
            SignedRequest { method: "POST", path, receiver: address, node: &node.name, time, body: &body };
        let signature = self.authenticator.sign_request(&signed);
        let bytes = wire::request_bytes(path, node.name.as_str(), body.len());
        let (from, incarnation) = (node.endpoint, node.incarnation);
        let node = &mut self.nodes[index];
        node.usage.processor += began.elapsed();
        node.usage.bytes_out += bytes as u64;
        node.usage.messages_out += 1;
        node.outgoing.insert(call, OutgoingCall { path, signature: signature.clone() });
        self.queue.schedule_after(timeout, Event::Timeout { node: index, incarnation, call });
        let Some(to) = self.by_address.get(&address).copied() else { return };
        let Some(delay) = self.links.transmit(from, self.nodes[to].endpoint) else { return };
        let message = Message { path, time, signature, body };
        self.queue.schedule_after(
            delay,
            Event::Request { from: index, from_incarnation: incarnation, to, call, message },
        );
    }

    fn send_answer(&mut self, index: usize, call: CallId, answer: &PeerAnswer) {
        let Some(incoming) = self.nodes[index].incoming.remove(&call) else { return };
        let began = Instant::now();
        let body = wire::encode_answer(answer);
        let signature = self.authenticator.sign_answer(&incoming.signature, &body);
        let time = self.now();
        let node = &mut self.nodes[index];
        node.usage.processor += began.elapsed();
        node.usage.bytes_out += wire::answer_bytes(body.len()) as u64;
        node.usage.messages_out += 1;
        let from = node.endpoint;
        let Some(delay) = self.links.transmit(from, self.nodes[incoming.from].endpoint) else { return };
        let message = Message { path: incoming.path, time, signature, body };
        let event = Event::Answer {
            to: incoming.from,
            incarnation: incoming.incarnation,
            call: incoming.call,
            message,
        };
        self.queue.schedule_after(delay, event);
    }

    fn send_to_store(&mut self, index: usize, call: CallId, request: StoreRequest, timeout: Duration) {
        let node = &mut self.nodes[index];
        let caller = StoreCaller { node: index, incarnation: node.incarnation, call };
        let body = match &request {
            StoreRequest::Put { configuration, .. } => encoded_bytes(configuration),
            // About the bytes of a request without a document.
            StoreRequest::Watch(_) | StoreRequest::Read => 60,
        };
        node.usage.store_bytes += wire::request_bytes("/watch", "", body) as u64;
        let from = node.endpoint;
        self.queue.schedule_after(timeout, Event::StoreTimeout { caller });
        if let Some(delay) = self.links.transmit(from, self.store_endpoint) {
            self.queue.schedule_after(delay + STORE_DELAY, Event::StoreRequest { caller, request });
        }
    }

    fn send_replies(&mut self, replies: Vec<AddressedReply>) {
        for AddressedReply { caller, reply } in replies {
            let to = self.nodes[caller.node].endpoint;
            self.store_replies += 1;
            let is_lost = self.store_reply_loss > 0.0
                && (self.store_replies as f64 * self.store_reply_loss).fract() < self.store_reply_loss;
            if let Some(delay) = self.links.transmit(self.store_endpoint, to).filter(|_| !is_lost) {
                self.queue.schedule_after(delay, Event::StoreReply { caller, reply });
            }
        }
    }
}
