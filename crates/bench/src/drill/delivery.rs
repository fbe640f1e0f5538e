//! Which part of the cluster an event goes to.

use paddlemount_protocol::time::Timestamp;

use super::{event::Event, world::World};

impl World {
    /// Lets an event happen, unless it was meant for a life that has ended; a paused node gets it later.
    pub(super) fn take(&mut self, event: Event, now: Timestamp) {
        if let Some(at) = event.target() {
            let node = &self.nodes[at.node];
            if node.life != at.life || node.memory.is_none() {
                return;
            }
            if node.paused_until > now {
                let resumed = node.paused_until;
                self.queue.schedule_at(resumed, event);
                return;
            }
        }
        self.happen(event, now);
    }

    fn happen(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Wake(at) => self.wake(at, now),
            Event::Second(at) => self.second(at, now),
            Event::PeerRequest { to, from, call, request } => {
                self.peer_request(to, from, call, &request, now)
            }
            Event::PeerAnswer { to, call, answer } => self.peer_answer(to, call, &answer, now),
            Event::PeerTimeout { to, call } => self.peer_timeout(to, call, now),
            Event::StoreCall { from, call } => self.store_call(from, call, now),
            Event::StoreAnswer { to, answer } => self.store_answer(to, answer, now),
            Event::WatchExpires { from, call, after } => self.watch_expires(from, call, after),
            Event::EngineDue(engine) => self.engine_due(engine, now),
            Event::StatusAsked { engine, from, asked_at } => self.status_asked(engine, from, asked_at, now),
            Event::Status { to, status, asked_at } => self.status(to, &status, asked_at, now),
            Event::Machines { to, leaving } => self.machines(to, &leaving, now),
            Event::Submit { engine, dispatch } => self.submit(engine, *dispatch, now),
            Event::Resume { engine, from, request, attempt, incarnation, next } => {
                self.resume(engine, from, &request, &attempt, incarnation, next, now);
            }
            Event::Cancel { engine, attempt } => self.cancel(engine, &attempt, now),
            Event::Request { to, request, event } => self.drive(to, &request, *event, now),
            Event::RequestTimer { to, request } => self.request_timer(to, &request, now),
            Event::Order { engine, from, order } => self.order(engine, from, &order, now),
            Event::OrderDone { to, engine, order, result } => {
                self.order_done(to, engine, &order, &result, now)
            }
            Event::Claim { to, from, owner, message } => self.claim_message(to, from, owner, &message, now),
            Event::ClaimReply { to, replica, owner, is_claim, reply } => {
                self.claim_reply(to, replica, &owner, is_claim, reply, now);
            }
            Event::ClaimTimer { to, owner } => self.claim_timer(to, &owner, now),
            Event::Booking { instance, from, owner, number } => {
                self.booking(instance, from, owner, number, now)
            }
            Event::Booked { to, owner, answer } => self.booked(to, &owner, answer, now),
            Event::BookingTimeout { to, owner, number } => self.booking_timeout(to, &owner, number, now),
            Event::AskModel { number, node } => self.ask_model(number, node, now),
            Event::AskBooking { key, attempt } => self.ask_booking(&key, attempt, now),
            Event::BookingEnded { key, attempt, ending } => self.booking_ended(&key, attempt, ending, now),
            Event::AskChange { node, request } => self.ask_change(node, *request, now),
            Event::AskRace { fault } => self.operators_race(fault, now),
            Event::EndWhenIdle(node) => self.end_when_idle(node, now),
            Event::FaultBegins(number) => self.fault_begins(number, now),
            Event::FaultEnds(number) => self.fault_ends(number, now),
            Event::Start(node) => self.start(node, now),
            Event::EngineStarts(engine) => self.engine_starts(engine, now),
            Event::Look => self.look(now),
        }
    }
}
