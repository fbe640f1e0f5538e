//! This node's part of the room of each pool of engines, kept up to date with the fleet.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use paddlemount_core::{
    admission::{Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, PoolView},
    back_off::RetryAfterSchedule,
    forwarding::{
        backends::{Backend, BackendState},
        room::{self, CallerTime, Contention, DemandShare, EngineState, PoolWork, RecentTime},
    },
    health::Availability,
};
use paddlemount_protocol::{
    identity::{PoolId, RequestId, ServiceId},
    refusal::Refusal,
    time::Timestamp,
};
use tokio::sync::oneshot;

use crate::{
    journal::Event,
    metrics::Gauge,
    node::Node,
    node_state::{NodeCount, NodeState},
};

/// How often waiting requests are examined: a small part of the shortest target latency.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often limits are updated: as often as reports of other nodes arrive.
const LIMIT_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum rate of log lines about one pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of requests that wait for one pool.
const QUEUE_LENGTH: usize = 256;
/// A request waits no longer than this, whatever its target latency.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What a waiting request is told: how long it waited, or why it is rejected.
pub(crate) type Decision = Result<Duration, Refusal>;

/// What a node keeps about one pool besides its queue.
#[derive(Debug, Default)]
pub(crate) struct PoolRoom {
    /// Requests that hold a permit.
    pub(crate) permits: u32,
    pub(crate) schedule: RetryAfterSchedule,
    contention: Option<Contention>,
    share: f64,
    /// Batch slots of the pool, and those that all nodes' callers demand; 0 while they are unknown.
    pub(crate) room: f64,
    pub(crate) total_demand: f64,
    /// Requests rejected since the last log line.
    pub(crate) rejected: u64,
    logged_at: Timestamp,
}

/// Recent times of a route's requests at engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteTimes {
    /// From sending a request to its first event.
    pub(crate) first_event: RecentTime,
    /// From sending a request to its end.
    pub(crate) total: RecentTime,
    pub(crate) callers: CallerTime,
}

/// Admission of a node's requests to pools of engines.
#[derive(Debug)]
pub struct EngineAdmission {
    pub(crate) admission: Admission,
    pub(crate) waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    pub(crate) pools: BTreeMap<ServiceId, PoolRoom>,
    pub(crate) times: BTreeMap<String, RouteTimes>,
    pub(crate) last_ticket: u64,
}

impl Default for EngineAdmission {
    fn default() -> Self {
        let settings = AdmissionSettings {
            queue_length: QUEUE_LENGTH,
            max_wait: MAX_WAIT,
            // Ranks and fair queueing order the requests of tenants.
            reserved_fraction: 0.0,
            refuse_early: true,
            ..AdmissionSettings::default()
        };
        Self {
            admission: Admission::new(settings),
            waiting: BTreeMap::new(),
            pools: BTreeMap::new(),
            times: BTreeMap::new(),
            last_ticket: 0,
        }
    }
}

impl EngineAdmission {
    /// Applies an event and tells the requests concerned.
    pub(crate) fn apply(&mut self, event: AdmissionEvent, now: Timestamp) {
        for action in self.admission.apply(event, now) {
            let (ticket, decision) = match action {
                AdmissionAction::Run { ticket, waited, .. } => (ticket, Ok(waited)),
                AdmissionAction::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                // The receiver is gone if the caller has left; its permit releases the room.
                let _ = sender.send(decision);
            }
        }
    }

    /// The state of a service's pool, if it has a limit.
    pub(crate) fn view(&self, service: &ServiceId) -> Option<PoolView> {
        self.admission.view(&pool_id(service))
    }
}

/// The pool of a service's engines.
pub(crate) fn pool_id(service: &ServiceId) -> PoolId {
    PoolId::from(service.as_str())
}

impl NodeState {
    fn pool_work(&self, service: &ServiceId, now: Timestamp) -> PoolWork {
        let mut work = PoolWork::default();
        let Some(pool) = self.backends.pool(service) else { return work };
        let engines = pool.usable().filter_map(|ranked| self.backends.get(&ranked.id));
        engines.for_each(|engine| work.add(self.engine_state(engine, now)));
        work
    }

    fn engine_state(&self, engine: &Backend, now: Timestamp) -> EngineState {
        let id = &engine.entry.id;
        let is_usable = engine.state == BackendState::Ready
            && !engine.is_loading(now)
            && !matches!(self.health.availability(id, 0.0, now), Availability::Ejected { .. })
            && !self.is_unresponsive(id, now);
        EngineState {
            slots: engine.entry.slots,
            in_flight: self.chooser.loads.total_requests(id),
            own: self.chooser.loads.of(id).requests,
            is_usable,
            condition: self.profile(id, now).condition,
        }
    }

    /// The services whose back ends are engines.
    fn engine_services(&self) -> Vec<ServiceId> {
        let services = self.table.iter().flat_map(|table| table.services());
        services.filter(|(_, service)| service.engine.is_some()).map(|(name, _)| name.clone()).collect()
    }
}

impl Node {
    /// Updates the limit of a service's pool.
    pub(crate) fn refresh_room(&self, service: &ServiceId) {
        let now = self.now();
        let nodes = self.nodes();
        let (work, demand) = {
            let state = self.state.borrow();
            let own = state.demand.own_slots(service, now);
            let total = state.demand.total(service, now);
            let demand = total.map(|total| DemandShare { own, total: total.slots });
            (state.pool_work(service, now), demand)
        };
        let mut rooms = self.rooms.borrow_mut();
        let pool = rooms.pools.entry(service.clone()).or_default();
        let limit = pool.limit(work, demand, nodes, now);
        rooms.apply(AdmissionEvent::Limit { pool: pool_id(service), slots: limit }, now);
    }

    fn tick_rooms(&self) {
        let now = self.now();
        let mut rooms = self.rooms.borrow_mut();
        if !rooms.waiting.is_empty() {
            rooms.apply(AdmissionEvent::Tick, now);
        }
        let EngineAdmission { admission, pools, .. } = &mut *rooms;
        for (service, pool) in pools {
            if let Some(view) = admission.view(&pool_id(service)) {
                self.log_contention(service, pool, view, now);
            }
        }
    }

    /// Logs that a pool's room is used up, at most once a second.
    fn log_contention(&self, service: &ServiceId, pool: &mut PoolRoom, view: PoolView, now: Timestamp) {
        let is_contended = view.waiting > 0 || pool.rejected > 0;
        if !is_contended || now.saturating_since(pool.logged_at) < LOG_INTERVAL {
            return;
        }
        pool.logged_at = now;
        self.journal.log(&Event::PoolContended {
            service: service.as_str(),
            limit: view.limit,
            share: pool.share,
            held: view.in_flight,
            waiting: view.waiting,
            contention: pool.contention.map(Contention::value),
            rejected: std::mem::take(&mut pool.rejected),
        });
    }

    /// The gauges of admission, over all pools of engines.
    pub(crate) fn room_gauges(&self) -> Vec<Gauge> {
        let rooms = self.rooms.borrow();
        let views: Vec<PoolView> = rooms.pools.keys().filter_map(|service| rooms.view(service)).collect();
        let contentions = rooms.pools.values().filter_map(|pool| pool.contention.map(Contention::value));
        let gauge = |name, value| Gauge { name, value };
        vec![
            gauge("paddlemount_forward_room_limit", views.iter().map(|view| f64::from(view.limit)).sum()),
            gauge("paddlemount_forward_room_held", views.iter().map(|view| f64::from(view.in_flight)).sum()),
            gauge("paddlemount_forward_room_waiting", views.iter().map(|view| view.waiting as f64).sum()),
            gauge("paddlemount_forward_room_contention", contentions.fold(f64::NAN, f64::max)),
        ]
    }
}

impl PoolRoom {
    /// Updates the contention, and returns the slots that this node's requests may hold.
    fn limit(
        &mut self,
        work: PoolWork,
        demand: Option<DemandShare>,
        nodes: NodeCount,
        now: Timestamp,
    ) -> u32 {
        // Without an engine, the choice of a back end refuses requests with its own reason.
        if work.slots == 0 || !room::knows_fleet(demand, nodes.known()) {
            return u32::MAX;
        }
        let room = room::room(work.slots);
        self.share = room::share(room, demand, nodes.upper_bound());
        self.room = room;
        self.total_demand = demand.map_or(0.0, |demand| demand.total);
        let measured = work.measured_contention();
        let contention = self.contention.get_or_insert(Contention::new(measured, now));
        contention.record(measured, now);
        // Without a recent total, the requests of others are not known either.
        let limit = room::limit(self.share, demand.map(|_| contention.value()));
        work.without_stuck(limit, self.permits)
    }
}

/// Keeps the limits up to date, and rejects waiting requests that cannot begin in time; never returns.
pub(crate) async fn run(node: Rc<Node>) {
    let mut updated_at = Timestamp::ZERO;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = node.now();
        let is_due = now.saturating_since(updated_at) >= LIMIT_INTERVAL;
        if is_due && node.settings().load.admission {
            updated_at = now;
            let services = node.state.borrow().engine_services();
            services.iter().for_each(|service| node.refresh_room(service));
        }
        node.tick_rooms();
    }
}
