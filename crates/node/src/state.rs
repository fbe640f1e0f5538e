//! The state that all threads of a node share.

use std::sync::{Arc, Mutex, PoisonError};

use paddlemount_core::{
    decisions::DecisionSettings,
    routing::{Router, RouterEvent, RouterSettings},
};
use paddlemount_forward::request_bodies::RequestBodies;
use paddlemount_protocol::{engine::EngineStatus, identity::Incarnation};
use rand::RngExt;

use crate::{
    active::ActiveRequests,
    admin::{limits::AdminLimits, observations::Observations},
    claims::Claims,
    client::HttpClient,
    clock::Clock,
    configuration::ConfigurationCell,
    engines::Directory,
    metrics::NodeMetrics,
    overload::{Overload, SharedOverload},
    peers::driver::PeersDriver,
    quarantine::SharedQuarantine,
    settings::NodeSettings,
};

/// The shared state of one node.
pub struct NodeState {
    pub settings: NodeSettings,
    /// Grows with each start of the node.
    pub incarnation: Incarnation,
    pub clock: Clock,
    pub client: HttpClient,
    pub configuration: ConfigurationCell,
    /// Back ends and nodes of the machine list.
    pub directory: Directory,
    /// Membership and configuration replication.
    pub peers: PeersDriver,
    /// Claims of which this node is a replica.
    pub claims: Claims,
    pub active: Arc<ActiveRequests>,
    /// The bodies of callers' requests in progress.
    pub request_bodies: RequestBodies,
    pub metrics: Arc<NodeMetrics>,
    /// Rate limits, admission control and the retry budget.
    pub overload: SharedOverload,
    /// Requests that are suspected of crashing back ends.
    pub quarantine: SharedQuarantine,
    /// Decision records, events and the audit trail, for operators.
    pub observations: Arc<Observations>,
    /// Concurrency limits of the administration interface.
    pub admin_limits: AdminLimits,
    router: Mutex<Router>,
}

impl NodeState {
    /// Creates the state of a node that has not received any configuration yet.
    pub fn new(settings: NodeSettings) -> Self {
        let clock = Clock::start();
        let metrics = Arc::new(NodeMetrics::new());
        let router = Router::new(RouterSettings::new(settings.zone.clone(), rand::rng().random()));
        let now = clock.now();
        let incarnation = Incarnation(now.0);
        let overload = Overload::new(&settings.overload, settings.node.clone(), incarnation, now);
        Self {
            incarnation,
            overload: Arc::new(overload),
            peers: PeersDriver::new(&settings, incarnation, rand::rng().random()),
            claims: Claims::new(now),
            clock,
            client: HttpClient::new(settings.timeouts.connect),
            configuration: ConfigurationCell::default(),
            directory: Directory::default(),
            active: Arc::new(ActiveRequests::new(settings.limits.requests)),
            request_bodies: RequestBodies::new(settings.limits.rooms()),
            metrics: Arc::clone(&metrics),
            admin_limits: AdminLimits::default(),
            quarantine: SharedQuarantine::default(),
            observations: Arc::new(Observations::new(clock, DecisionSettings::default(), metrics)),
            router: Mutex::new(router),
            settings,
        }
    }

    /// Runs `work` with the router locked. It must be short and must not block.
    pub fn with_router<T>(&self, work: impl FnOnce(&mut Router) -> T) -> T {
        work(&mut self.router.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a status report of an engine.
    pub fn apply_status(&self, status: &EngineStatus) {
        let now = self.clock.now();
        self.with_router(|router| router.apply(RouterEvent::Status(status), now));
        self.overload.apply_status(status, now);
        self.observations.report(status);
    }

    /// Whether the node can serve requests: it has a recently confirmed configuration and a machine list, and
    /// it is not draining.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.configuration.revision().0 > 0 && self.directory.has_machine_list();
        is_configured && self.peers.may_serve() && !self.active.is_draining()
    }
}
