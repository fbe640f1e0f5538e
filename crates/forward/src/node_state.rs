//! What a forwarding node believes, and the back end that follows from it.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use paddlemount_core::{
    back_off::RetryAfterSchedule,
    forwarding::{
        backends::{BackendId, BackendState, Backends},
        budget::{WindowBudget, WindowBudgetSettings, node_reserve},
        change_log::ChangeLog,
        choice::{Chooser, StoreEndpoint},
        freshness::Freshness,
        refusals::Refusals,
        rollout::{Rollout, RolloutSettings},
        table::{RouteTable, WeightedRoundRobin},
    },
    health::{Health, HealthEvent, HealthSettings},
    limits::ledger::QuotaLedger,
    quarantine::Quarantine,
    recent_rate::RecentRate,
};
use paddlemount_protocol::{
    fleet::Contact,
    identity::{FencingToken, ModelId, NodeId, Revision, ServiceId, WeightsVersion},
    quarantine::{QuarantinedRequest, RequestFingerprint},
    time::Timestamp,
};

use crate::settings::ForwardSettings;

/// NodeCount up to which each knows by itself enough of what is under way to weigh all back ends.
pub(crate) const FULL_SCAN_MAX_NODES: usize = 8;
/// How long unused parts must be kept for copies of runs to be worth their room.
const MIN_COPY_RETENTION: Duration = Duration::from_secs(14);
/// The time in which the rate of callers' requests fades to a third.
const OFFERED_LOAD_DECAY: Duration = Duration::from_secs(5);
/// The least margin between the bound of named weights and the time from which older ones get no request.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(900);

/// What a node believes.
pub struct NodeState {
    /// The configuration in force.
    pub table: Option<Rc<RouteTable>>,
    /// How recent it is.
    pub freshness: Freshness,
    /// The back ends.
    pub backends: Backends,
    /// Work under way and prefixes held.
    pub chooser: Chooser,
    /// What answers have shown of back ends.
    pub health: Health,
    /// The named versions of weights.
    pub rollout: Rollout,
    /// Who leads, where it is known that somebody does.
    pub leader: Option<Leader>,
    /// Whether it has been looked who leads; until then nobody is known for another reason.
    pub leader_checked: bool,
    /// The revision up to which all of the store is known; none as long as only a part of it is.
    pub revision: Option<Revision>,
    /// What has lately changed there.
    pub changes: ChangeLog,
    /// The number of nodes, as a root has recorded it.
    pub fleet_size: Option<u32>,
    /// What is left of tenants' quotas.
    pub quotas: QuotaLedger,
    /// Requests under which back ends ended.
    pub quarantine: Quarantine,
    /// Requests that the store holds back, as they stand there, or that this node has asked it to.
    pub(crate) held: BTreeMap<RequestFingerprint, QuarantinedRequest>,
    pub(crate) round_robin: WeightedRoundRobin,
    pub(crate) budgets: BTreeMap<ServiceId, WindowBudget>,
    /// Whether services refuse everything.
    pub(crate) refusals: BTreeMap<ServiceId, Refusals>,
    /// Repeats that may reach wrong addresses.
    misdirected_budget: Option<WindowBudget>,
    pub(crate) refused_until: BTreeMap<BackendId, Timestamp>,
    /// Requests that callers ask of this node.
    pub(crate) offered_load: RecentRate,
    /// When refused callers of services come back whose back ends are limited.
    pub(crate) retry_schedules: BTreeMap<ServiceId, RetryAfterSchedule>,
    /// Drawn evenly from 0 to 1: which nodes have one more repeat, or connection to a back end, than others.
    pub(crate) share_draw: f64,
    /// How long a back end that has said itself that it leaves gets requests where nobody else is left.
    pub(crate) departing_use: Duration,
}

/// The node that leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The node.
    pub holder: NodeId,
    /// The fencing token of its orders.
    pub token: FencingToken,
    /// Where it takes other nodes' reports.
    pub peers: Option<std::net::SocketAddr>,
}

impl Leader {
    /// Where it is reached, if it talks to other nodes.
    pub fn contact(&self) -> Option<Contact> {
        Some(Contact { node: self.holder.clone(), address: self.peers? })
    }

    /// The token of this leadership, where it is that of a process of node `node` that other nodes reached at `peers`.
    /// Only such a one may be replaced, by the node's next process.
    pub fn token_of(&self, node: &NodeId, peers: Option<std::net::SocketAddr>) -> Option<FencingToken> {
        (self.holder == *node && self.peers == peers).then_some(self.token)
    }
}

/// How many nodes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCount {
    /// As counted by the root, where this node has heard of it.
    pub counted: Option<u32>,
    /// As a root has recorded it in the store.
    pub recorded: Option<u32>,
    /// As the settings assume.
    pub assumed: u32,
}

impl NodeCount {
    /// The number, as far as it is known: what a root counts, or had counted before all nodes started again.
    pub fn known(self) -> Option<u32> {
        self.counted.or(self.recorded)
    }

    /// The greatest number that may act.
    pub fn upper_bound(self) -> u32 {
        self.known().unwrap_or(self.assumed).max(1)
    }
}

impl NodeState {
    /// Knows nothing yet.
    pub fn new(settings: &ForwardSettings) -> Self {
        let bound = settings.bounds.weights();
        let rollout = Rollout::new(RolloutSettings {
            min_loads: settings.limits.loads_at_once,
            loads_per_mille: (settings.limits.loads_share * 1_000.0) as usize,
            bound,
            margin: WEIGHTS_MARGIN.max(bound / 10),
        });
        Self {
            table: None,
            freshness: Freshness::default(),
            backends: Backends::default(),
            chooser: Chooser::default(),
            health: Health::new(health_settings()),
            rollout,
            leader: None,
            leader_checked: false,
            revision: None,
            changes: ChangeLog::default(),
            fleet_size: None,
            quotas: QuotaLedger::new(
                settings.bounds.quotas(),
                settings.first_start,
                settings.limits.most_nodes,
            ),
            quarantine: Quarantine::default(),
            held: BTreeMap::new(),
            round_robin: WeightedRoundRobin::default(),
            budgets: BTreeMap::new(),
            refusals: BTreeMap::new(),
            misdirected_budget: None,
            refused_until: BTreeMap::new(),
            offered_load: RecentRate::new(OFFERED_LOAD_DECAY),
            retry_schedules: BTreeMap::new(),
            share_draw: rand::random(),
            departing_use: settings.bounds.departing_use(),
        }
    }

    /// Whether engines copy runs, and have so much room that copies displace nothing that will be used again.
    pub(crate) fn can_copy(&self, service: &ServiceId, now: Timestamp) -> bool {
        let traits = self.table.as_ref().and_then(|table| table.service(service));
        let Some(engine) = traits.and_then(|service| service.engine.as_ref()) else { return false };
        let engines = self.backends.usable(service).count() as u64;
        engine.copies
            && self.chooser.prefixes.retention(engine.cache_tokens * engines, now) >= MIN_COPY_RETENTION
    }

    /// Tokens that the caches of all engines have room for.
    pub(crate) fn cache_capacity(&self) -> u64 {
        let services = self.table.iter().flat_map(|table| table.services());
        let rooms = services.filter_map(|(name, service)| {
            let engine = service.engine.as_ref()?;
            Some(engine.cache_tokens * self.backends.pool(name)?.len() as u64)
        });
        rooms.sum()
    }

    /// Whether a back end may get work and has these weights.
    pub fn has_weights(&self, id: &BackendId, model: &ModelId, version: WeightsVersion) -> bool {
        self.backends.get(id).is_some_and(|backend| {
            backend.state == BackendState::Ready && backend.entry.weights.get(model) == Some(&version)
        })
    }

    /// The stores of kept parts that the configuration has, each under the name by which its feed is known.
    pub fn stores(&self) -> impl Iterator<Item = StoreEndpoint> + '_ {
        let services = self.table.iter().flat_map(|table| table.services());
        services.filter_map(|(name, service)| {
            let kept = service.cache_store.as_ref()?;
            Some(StoreEndpoint { id: BackendId::from(name.as_str()), address: kept.address })
        })
    }

    /// A back end is gone.
    pub(crate) fn forget(&mut self, id: &BackendId) {
        self.chooser.forget(id);
        self.health.apply(id, HealthEvent::Removed, Timestamp::ZERO);
        self.refused_until.remove(id);
    }

    /// The retry budget of a service.
    pub(crate) fn budget(
        &mut self,
        service: &ServiceId,
        settings: &ForwardSettings,
        nodes: NodeCount,
    ) -> &mut WindowBudget {
        let reserve =
            node_reserve(settings.bounds.retry_slack, nodes.known(), nodes.assumed, self.share_draw);
        let budget = self.budgets.entry(service.clone()).or_insert_with(|| {
            WindowBudget::new(WindowBudgetSettings {
                share_per_mille: (settings.bounds.retry_share * 1_000.0) as u32,
                reserve,
                window: Duration::from_millis(settings.bounds.retry_window_ms),
            })
        });
        budget.set_reserve(reserve);
        budget
    }

    /// The repeats that may reach wrong addresses, whatever service was asked for.
    pub(crate) fn misdirected_budget(
        &mut self,
        settings: &ForwardSettings,
        nodes: NodeCount,
    ) -> &mut WindowBudget {
        let reserve =
            node_reserve(settings.bounds.retry_slack, nodes.known(), nodes.assumed, self.share_draw);
        let misdirected_budget = self.misdirected_budget.get_or_insert_with(|| {
            WindowBudget::new(WindowBudgetSettings {
                share_per_mille: 0,
                reserve,
                window: Duration::from_millis(settings.bounds.retry_window_ms),
            })
        });
        misdirected_budget.set_reserve(reserve);
        misdirected_budget
    }
}

/// When a back end is left alone for what it has failed at.
pub(crate) fn health_settings() -> HealthSettings {
    HealthSettings {
        consecutive_failures: 3,
        failure_ratio: 0.35,
        min_ratio_results: 8,
        window: Duration::from_secs(5),
        ejection: Duration::from_secs(1),
        max_ejection: Duration::from_secs(6),
        max_ejected_share: 0.7,
        probe_timeout: Duration::from_secs(2),
        slow_start: Duration::from_millis(1),
        slow_start_floor: 1.0,
    }
}
