//! The permit by which a request holds room in its pool of engines.

use std::{rc::Rc, time::Duration};

use paddlemount_core::{
    admission::{AdmissionEvent, AdmissionRequest},
    forwarding::{
        document::rank,
        room::{Target, request_slots, request_tokens, retry_after, spare_rate},
    },
};
use paddlemount_protocol::{
    engine::Priority,
    identity::{RequestId, ServiceId, TenantId},
    refusal::{self, RefusalCode},
    time::Timestamp,
};
use tokio::sync::oneshot;

use crate::{
    answers::{Reason, Refusal},
    exchange::Exchange,
    metrics::Counter,
    node::Node,
    room::{Decision, pool_id},
};

/// The prompt tokens from which a prompt counts as long: it takes longer to prefill than most answers take.
const LONG_PROMPT_TOKENS: u64 = 2_048;
/// The tenant of requests without one, for fairness.
const ANONYMOUS: &str = "";

/// Room that a request holds, or waits for, until this is dropped.
pub(crate) struct RoomPermit {
    node: Rc<Node>,
    service: ServiceId,
    ticket: RequestId,
    is_granted: bool,
}

impl Drop for RoomPermit {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut rooms = self.node.rooms.borrow_mut();
        rooms.waiting.remove(&self.ticket);
        if let Some(pool) = rooms.pools.get_mut(&self.service).filter(|_| self.is_granted) {
            pool.permits = pool.permits.saturating_sub(1);
        }
        rooms.apply(AdmissionEvent::Cancelled { ticket: self.ticket.clone() }, now);
    }
}

impl Exchange {
    /// Waits until the pool of engines has room for the request. Services without engines have no pool.
    ///
    /// # Errors
    ///
    /// The request cannot begin in time. It has not run.
    pub(crate) async fn enter_room(&mut self) -> Result<(), Refusal> {
        let Some(slots) = self.engine_slots() else { return Ok(()) };
        if self.node.settings().load.tracks_demand() {
            self.record_demand(slots);
        }
        if !self.node.settings().load.admission {
            return Ok(());
        }
        let now = self.node.now();
        if self.node.rooms.borrow().view(&self.service).is_none() {
            self.node.refresh_room(&self.service);
        }
        let (mut permit, receiver) = self.submit(slots, now);
        // The sender is dropped only with the permit.
        let decision = receiver.await.unwrap_or(Ok(Duration::ZERO));
        let waited = self.node.now().saturating_since(now);
        self.record.waited = Some(waited);
        match decision {
            Ok(_) => {
                permit.grant();
                self.permit = Some(permit);
                Ok(())
            }
            Err(refusal) => Err(self.rejection(&refusal)),
        }
    }

    /// The slots that the request occupies at an engine; `None` for services without engines.
    fn engine_slots(&self) -> Option<u32> {
        let state = self.node.state.borrow();
        let engine = state.table.as_ref()?.service(&self.service)?.engine.as_ref()?;
        let tokens = self.head.prompt.as_ref().map_or(0, request_tokens);
        Some(request_slots(tokens, engine.slots, engine.cache_tokens))
    }

    /// Records the request as demand, whether or not it will be admitted.
    fn record_demand(&self, slots: u32) {
        let now = self.node.now();
        let times = self.node.rooms.borrow().times.get(&self.route.name).copied().unwrap_or_default();
        let duration = times.total.mean().unwrap_or(self.route.target_latency);
        let tokens = self.head.prompt.as_ref().map_or(0, |prompt| u64::from(prompt.prompt_tokens));
        let long_tokens = if tokens >= LONG_PROMPT_TOKENS { tokens } else { 0 };
        let slot_seconds = f64::from(slots) * duration.as_secs_f64();
        self.node.state.borrow_mut().demand.record(&self.service, slot_seconds, long_tokens, now);
    }

    fn submit(&self, slots: u32, now: Timestamp) -> (RoomPermit, oneshot::Receiver<Decision>) {
        let (sender, receiver) = oneshot::channel();
        let mut rooms = self.node.rooms.borrow_mut();
        rooms.last_ticket += 1;
        let ticket = RequestId::from(rooms.last_ticket.to_string());
        rooms.waiting.insert(ticket.clone(), sender);
        let pool = rooms.pools.entry(self.service.clone()).or_default();
        let (total_demand, room) = (pool.total_demand, pool.room);
        let times = rooms.times.entry(self.route.name.clone()).or_default();
        let has_returned = times.callers.record(self.deadline.saturating_since(self.arrived), now);
        let times = *times;
        let latency = self.route.target_latency;
        let target = Target { arrived: self.arrived, latency, deadline: self.deadline, has_returned };
        let predicted_start = target.bounded(times.first_event.expected(latency).unwrap_or_default(), now);
        let tenant = self.record.tenant.as_ref();
        let request = AdmissionRequest {
            ticket: ticket.clone(),
            pool: pool_id(&self.service),
            tenant: tenant.map_or_else(|| TenantId::from(ANONYMOUS), |tenant| tenant.name.clone()),
            weight: 1,
            rank: rank(tenant.map(|tenant| &**tenant), &self.route),
            priority: Priority::Normal,
            slots,
            cost: slots,
            predicted_start,
            deadline: Some(target.first_event_by(predicted_start, now)),
            due: Some(self.deadline),
            late: target.late_start(total_demand, room),
        };
        rooms.apply(AdmissionEvent::Submit(request), now);
        let service = self.service.clone();
        let permit = RoomPermit { node: Rc::clone(&self.node), service, ticket, is_granted: false };
        (permit, receiver)
    }

    /// The rejection of a request, with the time at which there will be room for it.
    fn rejection(&self, refusal: &refusal::Refusal) -> Refusal {
        let now = self.node.now();
        let reason = match refusal.code {
            RefusalCode::DeadlineExceeded => Reason::NoRoomInTime,
            _ => Reason::PoolFull,
        };
        self.node.metrics.count(Counter::RejectedForRoom(match reason {
            Reason::NoRoomInTime => "no_room_in_time",
            _ => "pool_full",
        }));
        let mut rooms = self.node.rooms.borrow_mut();
        let view = rooms.view(&self.service);
        let pool = rooms.pools.entry(self.service.clone()).or_default();
        pool.rejected += 1;
        let opens_at = now + Duration::from_millis(refusal.retry_after_ms.unwrap_or_default());
        let per_second = view.map_or(1.0, |view| view.slots_per_second);
        let per_second = spare_rate(per_second, pool.room, pool.total_demand);
        let turn = pool.schedule.next(opens_at, per_second, now);
        let time_left = self.deadline.saturating_since(now);
        Refusal { reason, retry_after: Some(retry_after(turn, time_left, rand::random())) }
    }

    /// Records the time to the first event, by which the start of later requests is predicted.
    pub(crate) fn record_start_time(&self, now: Timestamp) {
        if let Some(sent_at) = self.sent_at.filter(|_| self.is_timed()) {
            let mut rooms = self.node.rooms.borrow_mut();
            let times = rooms.times.entry(self.route.name.clone()).or_default();
            times.first_event.record(now.saturating_since(sent_at));
        }
    }

    /// Records how long a served request occupied its engine.
    pub(crate) fn record_duration(&self, now: Timestamp) {
        if let Some(sent_at) = self.sent_at.filter(|_| self.is_timed()) {
            let mut rooms = self.node.rooms.borrow_mut();
            let times = rooms.times.entry(self.route.name.clone()).or_default();
            times.total.record(now.saturating_since(sent_at));
        }
    }

    /// Whether the times of the request at its engine count for its route.
    fn is_timed(&self) -> bool {
        self.head.prompt.is_some() && self.node.settings().load.tracks_demand()
    }
}

impl RoomPermit {
    fn grant(&mut self) {
        self.is_granted = true;
        if let Some(pool) = self.node.rooms.borrow_mut().pools.get_mut(&self.service) {
            pool.permits += 1;
        }
    }
}
