//! Delivery of simulation events to the component that handles them.

use paddlemount_protocol::time::Timestamp;

use super::{cluster::SimCluster, event::Event};

impl SimCluster {
    /// Delivers an event. Drops it if its node incarnation has ended, and defers it while the node is paused.
    pub(super) fn handle_event(&mut self, event: Event, now: Timestamp) {
        if let Some(at) = event.target() {
            let node = &self.nodes[at.node];
            if node.incarnation != at.incarnation || node.state.is_none() {
                return;
            }
            if node.paused_until > now {
                let resumed = node.paused_until;
                self.queue.schedule_at(resumed, event);
                return;
            }
        }
        self.deliver(event, now);
    }

    fn deliver(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Wake(at) => self.handle_wakeup(at, now),
            Event::PeriodicTick(at) => self.periodic_tick(at, now),
            Event::PeerRequest { to, from, call, request } => {
                self.handle_peer_request(to, from, call, &request, now)
            }
            Event::PeerAnswer { to, call, answer } => self.handle_peer_answer(to, call, &answer, now),
            Event::PeerTimeout { to, call } => self.handle_peer_timeout(to, call, now),
            Event::StoreCall { from, call } => self.handle_store_call(from, call, now),
            Event::StoreAnswer { to, answer } => self.handle_store_answer(to, answer, now),
            Event::WatchExpires { from, call, after } => self.expire_watch(from, call, after),
            Event::EngineStep(engine) => self.step_engine(engine, now),
            Event::StatusRequested { engine, from, requested_at } => {
                self.handle_status_request(engine, from, requested_at, now)
            }
            Event::Status { to, status, requested_at } => self.handle_status(to, &status, requested_at, now),
            Event::Machines { to, draining } => self.handle_machine_list(to, &draining, now),
            Event::Submit { engine, dispatch } => self.submit(engine, *dispatch, now),
            Event::Resume { engine, from, request, attempt, incarnation, next } => {
                self.resume(engine, from, &request, &attempt, incarnation, next, now);
            }
            Event::Cancel { engine, attempt } => self.cancel(engine, &attempt, now),
            Event::Request { to, request, event } => self.handle_request_event(to, &request, *event, now),
            Event::RequestTimer { to, request } => self.handle_request_timer(to, &request, now),
            Event::Order { engine, from, order } => self.handle_order(engine, from, &order, now),
            Event::OrderDone { to, engine, order, result } => {
                self.handle_order_result(to, engine, &order, &result, now)
            }
            Event::Claim { to, from, owner, message } => self.handle_claim(to, from, owner, &message, now),
            Event::ClaimReply { to, replica, owner, is_claim, reply } => {
                self.handle_claim_reply(to, replica, &owner, is_claim, reply, now);
            }
            Event::ClaimTimer { to, owner } => self.handle_claim_timer(to, &owner, now),
            Event::Booking { instance, from, owner, number } => {
                self.run_booking(instance, from, owner, number, now)
            }
            Event::BookingReply { to, owner, answer } => self.handle_booking_reply(to, &owner, answer, now),
            Event::BookingTimeout { to, owner, number } => {
                self.handle_booking_timeout(to, &owner, number, now)
            }
            Event::SendModelRequest { number, node } => self.send_model_request(number, node, now),
            Event::SendBooking { key, attempt } => self.send_booking(&key, attempt, now),
            Event::BookingEnded { key, attempt, ending } => {
                self.handle_booking_end(&key, attempt, ending, now)
            }
            Event::SubmitChange { node, request } => self.submit_change(node, *request, now),
            Event::RaceOperators { fault } => self.race_operators(fault, now),
            Event::EndWhenIdle(node) => self.end_when_idle(node, now),
            Event::FaultBegin(number) => self.begin_fault(number, now),
            Event::FaultEnd(number) => self.end_fault(number, now),
            Event::Start(node) => self.start(node, now),
            Event::EngineStart(engine) => self.restart_engine(engine, now),
            Event::CheckNodes => self.check_nodes(now),
        }
    }
}
