//! What all threads of a node share.

use std::sync::{Arc, Mutex, PoisonError};

use paddlemount_core::{
    decisions::DecisionSettings,
    routing::{Router, RouterEvent, RouterSettings},
};
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
    /// What the node was told at its start.
    pub settings: NodeSettings,
    /// The node's life; a later start has a larger number.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Clock,
    /// Requests to other processes.
    pub client: HttpClient,
    /// The configuration in force.
    pub configuration: ConfigurationCell,
    /// Back ends and nodes that exist.
    pub directory: Directory,
    /// This node among its peers.
    pub peers: PeersDriver,
    /// Claims that this node remembers.
    pub claims: Claims,
    /// Requests that run.
    pub active: Arc<ActiveRequests>,
    /// Counters and distributions.
    pub metrics: Arc<NodeMetrics>,
    /// Tenants' limits, admission and the retry budget.
    pub overload: SharedOverload,
    /// Requests under which back ends ended.
    pub quarantine: SharedQuarantine,
    /// What the node remembers of its own work, for operators.
    pub observations: Arc<Observations>,
    /// Bounds of what operators' questions may cost.
    pub admin_limits: AdminLimits,
    router: Mutex<Router>,
}

impl NodeState {
    /// The state of a node that has learnt nothing.
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
            metrics: Arc::clone(&metrics),
            admin_limits: AdminLimits::default(),
            quarantine: SharedQuarantine::default(),
            observations: Arc::new(Observations::new(clock, DecisionSettings::default(), metrics)),
            router: Mutex::new(router),
            settings,
        }
    }

    /// Works with the router, alone. The work must be short and must not wait.
    pub fn with_router<T>(&self, work: impl FnOnce(&mut Router) -> T) -> T {
        work(&mut self.router.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes in an engine's own account of itself.
    pub fn apply_status(&self, status: &EngineStatus) {
        let now = self.clock.now();
        self.with_router(|router| router.apply(RouterEvent::Status(status), now));
        self.overload.apply_status(status, now);
        self.observations.report(status);
    }

    /// Whether requests can be served: a configuration was learnt, from the store or from a node, and
    /// was confirmed not long ago, and the machines were learnt.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.configuration.revision().0 > 0 && self.directory.is_known();
        is_configured && self.peers.may_serve() && !self.active.is_draining()
    }
}
