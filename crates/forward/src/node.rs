//! A forwarding node: the state shared by its tasks.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::atomic::AtomicUsize,
    time::Duration,
};

use paddlemount_core::{
    forwarding::{
        answer_times::AnswerTimes, backends::BackendId, choice::Choice, document::Route,
        planned_stop::PlannedStop,
    },
    health::{Availability, HealthEvent},
    limits::ledger::{NodePosition, QuotaGrant},
};
use paddlemount_protocol::{
    era::StoreEra,
    fleet::{CachedSegmentUpdate, Member},
    identity::{FencingToken, ServiceId},
    time::Timestamp,
};
use tokio::sync::Notify;

use crate::{
    answer_buffer::AnswerMemory,
    calls::Client,
    candidates::RouteRequest,
    clock::SteadyClock,
    journal::Journal,
    logged_once::LoggedOnce,
    metrics::{Gauge, Metrics},
    node_state::{FULL_SCAN_MAX_NODES, NodeCount, NodeState, health_settings},
    open_connections::OpenConnections,
    peers::Peers,
    pool::Pool,
    ports::Platform,
    quarantine::PendingWork,
    request_bodies::RequestBodies,
    room::EngineAdmission,
    settings::ForwardSettings,
    streams::Streams,
};

/// How long a back end is avoided after it refused a request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(250);

/// A forwarding node.
pub struct Node {
    /// The settings in force; a reload replaces them.
    pub settings: RefCell<Rc<ForwardSettings>>,
    /// The adapter of the surrounding platform.
    pub platform: Box<dyn Platform>,
    pub clock: SteadyClock,
    pub(crate) started: Timestamp,
    pub journal: Journal,
    pub metrics: Metrics,
    /// The node's view of the store, of back ends and of load.
    pub state: RefCell<NodeState>,
    pub pool: RefCell<Pool>,
    /// The state shared with other nodes, if the node has a peer address.
    pub peers: Option<RefCell<Peers>>,
    /// The client of the metadata store.
    pub store: Client,
    /// The planned stop, once the node is stopping.
    pub planned_stop: Cell<Option<PlannedStop>>,
    /// Recent answer times by route.
    pub answer_times: RefCell<AnswerTimes>,
    /// The open connections of callers.
    pub(crate) open_connections: Rc<OpenConnections<Self>>,
    /// The bodies of requests in progress.
    pub(crate) request_bodies: RequestBodies,
    /// The memory of answers that are read to their end before they are passed on.
    pub(crate) answer_memory: AnswerMemory,
    /// The memory for answers of the own interfaces of all engines.
    pub(crate) call_memory: AnswerMemory,
    /// Streams in progress.
    pub streams: RefCell<Streams>,
    /// Admission to the pools of engines.
    pub rooms: RefCell<EngineAdmission>,
    /// Whether the grace period of a planned stop has ended.
    pub grace_elapsed: Cell<bool>,
    /// The number of requests in progress.
    pub running: Cell<usize>,
    /// The number of callers' connections that have closed and are still read.
    pub(crate) lingering: AtomicUsize,
    /// The number of connections that are watched after their attempt was given up.
    pub(crate) watched: Cell<usize>,
    /// The number of requests in progress that other nodes have handed on.
    pub(crate) taken_over: Cell<usize>,
    /// The number of engines that are loading weights by this node's orders.
    pub loading: Cell<usize>,
    /// Whether the store no longer has the history after this node's revision, so that the node must list it
    /// again.
    pub history_lost: Cell<bool>,
    /// The latest era of the store: how often it was restored from a backup.
    pub store_era: Cell<Option<StoreEra>>,
    /// When this node noticed the latest restore.
    pub restored_at: Cell<Option<Timestamp>>,
    /// The number of snapshots that are being sent to other nodes.
    pub snapshots_in_progress: Cell<usize>,
    /// Notified when the whole store is known, by a listing or a snapshot.
    pub store_known: Notify,
    /// The same, for the task that follows cache feeds.
    pub feeds_known: Notify,
    /// Notified when the known leader may have changed, and when the next report to the parent should not
    /// wait.
    pub leader_known: Notify,
    /// Whether the next report is sent even if it is not due yet.
    pub(crate) early_report: Cell<bool>,
    /// Notified when a target version is announced, because waiting requests may have to be withdrawn.
    pub target_announced: Notify,
    /// Notified when an order to an engine has ended.
    pub order_ended: Notify,
    /// Notified when the path to a service was lost or regained.
    pub(crate) path_changed: Notify,
    /// Notified when other nodes may have to be told of running streams: a software version has appeared, or nodes
    /// have.
    pub(crate) origins_untold: Notify,
    /// Whether the parent's last message lacked the history of software versions.
    pub(crate) parent_lacks_history: Cell<bool>,
    /// Unknown headers of back ends' answers.
    pub unknown_headers: LoggedOnce,
    /// Unknown kinds of facts from other nodes.
    pub unknown_facts: LoggedOnce,
    /// Advertised limits that could not be parsed.
    pub unreadable_limits: LoggedOnce,
    /// Pending work of the quarantine.
    pub quarantine_work: PendingWork,
    /// The fencing token while this node leads, and the time until which its lease is certain.
    pub leading: Cell<Option<(FencingToken, Timestamp)>>,
}

impl Node {
    /// A node with an empty state.
    pub fn new(
        settings: ForwardSettings,
        platform: Box<dyn Platform>,
        clock: SteadyClock,
        journal: Journal,
        peers: Option<SocketAddr>,
    ) -> Self {
        let store = Client::new(settings.store.address, clock);
        let state = NodeState::new(&settings, clock.now());
        let member = |address| Member {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            address,
            capacity: settings.limits.capacity(),
        };
        let fan_in = settings.limits.fan_in();
        let answer_memory = AnswerMemory::for_requests(settings.limits.memory_bytes());
        let request_bodies = RequestBodies::new(settings.limits.rooms());
        let peers = peers.map(|address| RefCell::new(Peers::new(member(address), fan_in, rand::random())));
        Self {
            settings: RefCell::new(Rc::new(settings)),
            platform,
            clock,
            started: clock.now(),
            journal,
            metrics: Metrics::default(),
            state: RefCell::new(state),
            pool: RefCell::default(),
            peers,
            store,
            planned_stop: Cell::new(None),
            answer_times: RefCell::default(),
            open_connections: Rc::default(),
            request_bodies,
            answer_memory,
            call_memory: AnswerMemory::for_calls(),
            streams: RefCell::default(),
            rooms: RefCell::default(),
            grace_elapsed: Cell::new(false),
            running: Cell::new(0),
            lingering: AtomicUsize::new(0),
            watched: Cell::new(0),
            taken_over: Cell::new(0),
            loading: Cell::new(0),
            history_lost: Cell::new(false),
            store_era: Cell::new(None),
            restored_at: Cell::new(None),
            snapshots_in_progress: Cell::new(0),
            store_known: Notify::new(),
            feeds_known: Notify::new(),
            leader_known: Notify::new(),
            early_report: Cell::new(false),
            target_announced: Notify::new(),
            order_ended: Notify::new(),
            path_changed: Notify::new(),
            origins_untold: Notify::new(),
            parent_lacks_history: Cell::new(false),
            unknown_headers: LoggedOnce::default(),
            unknown_facts: LoggedOnce::default(),
            unreadable_limits: LoggedOnce::default(),
            quarantine_work: PendingWork::default(),
            leading: Cell::new(None),
        }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<ForwardSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The fencing token, if this node certainly leads.
    pub fn token(&self) -> Option<FencingToken> {
        self.leading.get().filter(|(_, until)| self.now() < *until).map(|(token, _)| token)
    }

    /// Whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    /// Whether a request of `route` can be answered before a planned stop ends, given the estimated length of
    /// its answer and the caller's deadline. Must be asked again when a request is about to be sent, as its body
    /// may come long after its head.
    pub fn has_time_for(&self, route: &Route, estimated_tokens: Option<u32>, deadline: Timestamp) -> bool {
        let Some(stop) = self.planned_stop.get() else { return true };
        let now = self.now();
        let expected = self.answer_times.borrow().expected(&route.name, estimated_tokens, now);
        stop.may_start(route.kind, expected, deadline.saturating_since(now), now)
    }

    /// Refunds the quota that was charged for a request that has not run.
    pub fn refund_quota(&self, grant: Option<QuotaGrant>) {
        if let Some(grant) = grant {
            self.state.borrow_mut().quotas.refund(&grant);
        }
    }

    /// Whether the node is ready for callers, or why not.
    pub fn readiness(&self) -> Result<(), &'static str> {
        let state = self.state.borrow();
        if self.is_stopping() {
            return Err("stopping");
        }
        if state.table.is_none() || state.freshness.age(self.now()).is_none() {
            return Err("no_configuration");
        }
        let bounds = self.settings().bounds;
        if bounds.revocation_fails_closed && !state.freshness.is_within(bounds.stale_after(), self.now()) {
            return Err("configuration_too_old");
        }
        Ok(())
    }

    /// Records a failed or refused call to the store.
    pub fn store_failed(&self) {
        self.state.borrow_mut().backends.registry.failed();
    }

    /// Records a call that the store answered.
    pub fn store_answered(&self) {
        let now = self.now();
        self.state.borrow_mut().backends.registry.answered(now);
    }

    /// Records that a back end refused a request because it is full or loading weights.
    pub fn record_backend_refusal(&self, id: &BackendId) {
        let until = self.now() + REFUSAL_PAUSE;
        self.state.borrow_mut().refused_until.insert(id.clone(), until);
    }

    /// Records a health event of a back end. A `certain` failure ejects it at once.
    pub fn record_health(&self, id: &BackendId, event: HealthEvent<'_>, certain: bool) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let times = if certain { health_settings().consecutive_failures } else { 1 };
        for _ in 0..times {
            state.health.apply(id, event, now);
        }
    }

    /// Whether a back end is ejected because of failures.
    pub fn is_ejected(&self, id: &BackendId) -> bool {
        let availability = self.state.borrow().health.availability(id, 0.0, self.now());
        matches!(availability, Availability::Ejected { .. })
    }

    /// The number of nodes as counted by the root, if a recent count is known.
    pub fn counted_nodes(&self) -> Option<u32> {
        self.peers.as_ref()?.borrow().fleet.node_count(self.now())
    }

    /// What is known about the number of nodes.
    pub fn nodes(&self) -> NodeCount {
        let recorded = self.peers.as_ref().and_then(|_| self.state.borrow().fleet_size);
        NodeCount { counted: self.counted_nodes(), recorded, assumed: self.settings().limits.assumed_nodes }
    }

    /// Queues changes of cached segments for gossip to other nodes.
    pub fn publish(&self, updates: Vec<CachedSegmentUpdate>) {
        let Some(peers) = &self.peers else { return };
        let mut peers = peers.borrow_mut();
        for update in updates {
            peers.gossip.enqueue(update);
        }
    }

    /// The number of ancestors; NaN if the node has no parent and does not lead.
    fn depth(&self) -> f64 {
        let joined = self.peers.as_ref().map(|peers| peers.borrow().fleet.uplink.depth());
        match joined {
            Some(depth) if depth > 0 || self.token().is_some() => depth as f64,
            _ => f64::NAN,
        }
    }

    /// The number of nodes that report to this one.
    fn children(&self) -> usize {
        self.peers.as_ref().map_or(0, |peers| peers.borrow().fleet.children.len())
    }

    /// The age of the latest update from the root, in seconds; NaN if there was none.
    fn root_age(&self) -> f64 {
        let leads = self.token().is_some();
        let age =
            self.peers.as_ref().and_then(|peers| peers.borrow().fleet.uplink.root_age(leads, self.now()));
        age.map_or(f64::NAN, |age| age.as_secs_f64())
    }

    /// Updates this node's share of quotas. Must be called several times a second.
    pub fn tick_quotas(&self) {
        let nodes = self.nodes();
        let assumed = nodes.recorded_beyond_assumed().unwrap_or(nodes.assumed);
        let position = NodePosition { is_root: self.token().is_some(), counted: nodes.counted, assumed };
        let now = self.now();
        self.state.borrow_mut().quotas.tick(position, now);
    }

    /// The recent high latency of a back end. In a large fleet each node has too few samples of one back end
    /// and uses those of all, because retries while all are busy would add to the load.
    pub fn slow_latency(&self, backend: &BackendId) -> Duration {
        let (now, state) = (self.now(), self.state.borrow());
        match self.counted_nodes() {
            Some(nodes) if nodes as usize > FULL_SCAN_MAX_NODES => state.chooser.loads.slowest(now),
            _ => state.chooser.load(backend).slowest(now),
        }
    }

    /// Picks a service of a route by the route's weights.
    pub fn pick_service(&self, route: &Route) -> Option<ServiceId> {
        let index = self.state.borrow_mut().round_robin.pick(route)?;
        route.split.get(index).map(|share| share.service.clone())
    }

    /// Chooses the back end for a request.
    pub fn choose_backend(&self, request: RouteRequest<'_>) -> Option<Choice> {
        let settings = self.settings();
        let nodes = self.nodes();
        self.state.borrow().choose_backend(request, &settings.zone, nodes, settings.load, self.now())
    }

    /// Removes expired state.
    pub fn sweep(&self) {
        let now = self.now();
        self.pool.borrow_mut().sweep(now);
        self.answer_times.borrow_mut().sweep(now);
        if self.peers.is_none() {
            self.tick_quotas();
            self.divide_limits();
            self.conclude_quarantine();
            self.tick_performance();
            self.update_retry_reserve();
        }
        let mut state = self.state.borrow_mut();
        for id in state.backends.expire(now) {
            state.forget(&id, now);
        }
        self.track_reactivated(&mut state);
        state.refused_until.retain(|_, until| now < *until);
        state.silences.sweep(now);
        state.doubts.sweep(now);
        let table = state.table.clone();
        let in_use =
            |service: &ServiceId| table.as_ref().is_some_and(|table| table.service(service).is_some());
        state.reachability.sweep(in_use, now);
        state.intermediaries.sweep(now);
        state.late_arrivals.sweep(now);
        drop(state);
        self.update_forecasts();
        self.expire_announcements();
        self.expire_brittleness();
        self.sweep_streams();
        self.sweep_quarantine();
    }

    /// The current values of the gauges.
    pub fn gauges(&self) -> Vec<Gauge> {
        let state = self.state.borrow();
        let age = state.freshness.age(self.now()).map_or(f64::NAN, |age| age.as_secs_f64());
        let version = state.table.as_ref().map_or(0, |table| table.version());
        let quarantine = &state.quarantine;
        let gauge = |name, value| Gauge { name, value };
        let gauges = vec![
            gauge("paddlemount_forward_configuration_age_seconds", age),
            gauge("paddlemount_forward_configuration_version", version as f64),
            gauge("paddlemount_forward_nodes", self.counted_nodes().map_or(f64::NAN, f64::from)),
            gauge("paddlemount_forward_level", self.depth()),
            gauge("paddlemount_forward_children", self.children() as f64),
            gauge("paddlemount_forward_root_age_seconds", self.root_age()),
            gauge("paddlemount_forward_running", self.running.get() as f64),
            gauge("paddlemount_forward_idle_connections", self.pool.borrow().idle() as f64),
            gauge("paddlemount_forward_leads", f64::from(u8::from(self.token().is_some()))),
            gauge("paddlemount_forward_held_requests", quarantine.count_quarantined() as f64),
            gauge("paddlemount_forward_suspected_requests", quarantine.count_suspected() as f64),
            gauge(
                "paddlemount_forward_suspected_segments",
                quarantine.count_suspected_segments(self.now()) as f64,
            ),
            gauge(
                "paddlemount_forward_oldest_hold_seconds",
                self.oldest_quarantine(self.now()).as_secs_f64(),
            ),
            gauge("paddlemount_forward_named_age_seconds", target_age(&state, self.now())),
            self.forecast_gauge(&state),
            self.path_gauge(),
            self.undated_retries_gauge(),
            self.retry_reserve_gauge(),
            self.brittleness_gauge(),
            gauge("paddlemount_forward_log_lines_dropped", self.journal.dropped() as f64),
        ];
        let gauges = gauges.into_iter().chain(self.announcement_gauges());
        gauges
            .chain(self.caller_gauges())
            .chain(self.stream_gauges())
            .chain(self.room_gauges())
            .chain(self.performance_gauges())
            .collect()
    }
}

/// An upper bound of the age, in seconds, of the oldest target version in force: infinite if unknown, NaN if
/// there is no target version.
fn target_age(state: &NodeState, now: Timestamp) -> f64 {
    let Some(target) = state.rollout.target_versions.oldest_in_force() else { return f64::NAN };
    target.age(now).map_or(f64::INFINITY, |age| age.as_secs_f64())
}
