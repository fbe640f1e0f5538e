//! What a forwarding node knows of the store, of back ends and of other nodes.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use paddlemount_core::{
    back_off::RetryAfterSchedule,
    forwarding::{
        announcements::brittleness::Brittleness,
        backends::{BackendId, BackendState, Backends},
        budget::{WindowBudget, WindowBudgetSettings},
        change_log::ChangeLog,
        choice::{Chooser, StoreEndpoint},
        connect_times::ConnectTimes,
        demand::Demand,
        doubts::Doubts,
        forecast::shared::{Forecasters, SharedRates},
        freshness::Freshness,
        intermediaries::Intermediaries,
        late_arrivals::LateArrivals,
        oversized_answers::OversizedAnswers,
        reachability::Reachability,
        refusals::Refusals,
        reserve_grant::{ReserveGrant, grant_period},
        retry_reserve::{Reserve, SlackShare},
        rollout::{Rollout, RolloutSettings},
        silence::Silences,
        software::SoftwareHistory,
        store_witness::StoreWitness,
        stream_records::StreamRecords,
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

use crate::{performance::EngineRecords, settings::ForwardSettings, streams::initial_history};

/// Up to this number of nodes, each sees enough of the load to compare all back ends of a pool.
pub(crate) const FULL_SCAN_MAX_NODES: usize = 8;
/// Copies of runs are made only if unused segments stay cached for at least this time.
const MIN_COPY_RETENTION: Duration = Duration::from_secs(14);
/// The time constant with which the rate of callers' requests decays.
const OFFERED_LOAD_DECAY: Duration = Duration::from_secs(5);
/// How long before the bound, at least, back ends with outdated weights stop receiving requests.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(900);

/// The state of a forwarding node.
pub struct NodeState {
    /// The routes and tenants of the configuration in force.
    pub table: Option<Rc<RouteTable>>,
    /// The age of the proof that the configuration is current.
    pub freshness: Freshness,
    pub backends: Backends,
    /// Loads and cached prefixes of back ends.
    pub chooser: Chooser,
    /// The demand of callers for engines.
    pub demand: Demand,
    /// Forecasts of the time to the first event, by service.
    pub(crate) forecasters: Forecasters,
    /// The outcomes that these forecasts are based on, of all nodes.
    pub(crate) shared_rates: SharedRates,
    pub health: Health,
    /// When engines were heard last.
    pub silences: Silences,
    /// Services whose back ends may be unreachable.
    pub doubts: Doubts,
    pub connect_times: ConnectTimes,
    /// Services whose back ends bear few rejections.
    pub(crate) brittleness: Brittleness,
    /// Whether the back ends of services are reached at all.
    pub(crate) reachability: Reachability,
    /// Other nodes through which services are reached.
    pub(crate) intermediaries: Intermediaries,
    /// Attempts that were given up and may still arrive.
    pub(crate) late_arrivals: LateArrivals,
    /// The software versions of back ends that were listed lately.
    pub(crate) software: SoftwareHistory,
    /// Which software version began which stream.
    pub(crate) stream_records: StreamRecords,
    /// Since when back ends are leaving at the earliest.
    pub(crate) leaving_since: BTreeMap<BackendId, Timestamp>,
    /// The target versions of weights.
    pub rollout: Rollout,
    /// The leader, if one is known.
    pub leader: Option<Leader>,
    /// Whether the store has been asked for the leader; until then `leader` may be `None` though there is
    /// one.
    pub leader_checked: bool,
    /// The revision up to which the whole store is known; `None` until a first complete listing.
    pub revision: Option<Revision>,
    /// Recent changes of the store, for children.
    pub changes: ChangeLog,
    /// The number of nodes as recorded in the store by a root.
    pub fleet_size: Option<u32>,
    pub quotas: QuotaLedger,
    /// Requests under which back ends crashed.
    pub quarantine: Quarantine,
    /// What all nodes have measured of engines.
    pub(crate) engines: EngineRecords,
    /// Quarantined requests as stored, or as this node has written them to the store.
    pub(crate) quarantined_requests: BTreeMap<RequestFingerprint, QuarantinedRequest>,
    pub(crate) round_robin: WeightedRoundRobin,
    pub(crate) budgets: BTreeMap<ServiceId, WindowBudget>,
    /// Recent refusals by service.
    pub(crate) refusals: BTreeMap<ServiceId, Refusals>,
    /// The budget of retries after misdirected attempts.
    misdirected_budget: Option<WindowBudget>,
    pub(crate) refused_until: BTreeMap<BackendId, Timestamp>,
    pub(crate) oversized_answers: OversizedAnswers,
    /// The rate of callers' requests to this node.
    pub(crate) offered_load: RecentRate,
    /// Retry times handed out to refused callers of services whose back ends are limited.
    pub(crate) retry_schedules: BTreeMap<ServiceId, RetryAfterSchedule>,
    /// Drawn uniformly from 0 to 1; decides which nodes get the remainder of an uneven division.
    pub(crate) share_draw: f64,
    /// How long a back end that announced draining is still used if no other is left.
    pub(crate) draining_timeout: Duration,
    /// When this process started.
    started: Timestamp,
    /// What this process's reserve of retries begins with.
    pub(crate) reserve_grant: ReserveGrant,
    /// Whether the store has kept what was written to it.
    pub(crate) store_witness: StoreWitness,
    /// This process's share of the slack of retry budgets.
    pub(crate) slack_share: SlackShare,
    /// The reserve of retries that was logged last.
    pub(crate) logged_reserve: Option<Reserve>,
}

/// The node that leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    pub holder: NodeId,
    /// The fencing token of its orders.
    pub token: FencingToken,
    /// Where it accepts reports of other nodes.
    pub peers: Option<std::net::SocketAddr>,
}

impl Leader {
    /// Its contact, if it accepts reports of other nodes.
    pub fn contact(&self) -> Option<Contact> {
        Some(Contact { node: self.holder.clone(), address: self.peers? })
    }

    /// The token of this leadership if it belongs to a process of `node` at the address `peers`. Only the
    /// next process of the same node may replace such a leadership.
    pub fn token_of(&self, node: &NodeId, peers: Option<std::net::SocketAddr>) -> Option<FencingToken> {
        (self.holder == *node && self.peers == peers).then_some(self.token)
    }
}

/// What is known about the number of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCount {
    /// The count of the root, if received.
    pub counted: Option<u32>,
    /// The number that a root recorded in the store: the most that it has counted so far, or a little fewer.
    pub recorded: Option<u32>,
    /// The number assumed by the settings.
    pub assumed: u32,
}

impl NodeCount {
    /// The number as counted by the root, or as recorded before all nodes restarted.
    pub fn known(self) -> Option<u32> {
        self.counted.or(self.recorded_beyond_assumed())
    }

    /// The recorded number, where the assumed one is too small to be safe. A small record may be out of date.
    pub fn recorded_beyond_assumed(self) -> Option<u32> {
        self.recorded.filter(|nodes| *nodes > self.assumed)
    }

    /// The greatest known number. A root that has just begun has counted few of the nodes.
    pub fn greatest(self) -> Option<u32> {
        self.counted.max(self.recorded)
    }

    /// The number to assume where each node gets a share.
    pub fn upper_bound(self) -> u32 {
        self.known().unwrap_or(self.assumed).max(1)
    }
}

impl NodeState {
    /// An empty state.
    pub fn new(settings: &ForwardSettings, now: Timestamp) -> Self {
        let bound = settings.bounds.weights();
        let retry_window = Duration::from_millis(settings.bounds.retry_window_ms);
        let rollout = Rollout::new(RolloutSettings {
            min_loads: settings.limits.min_loads,
            loads_per_mille: (settings.limits.loads_share * 1_000.0) as usize,
            bound,
            margin: WEIGHTS_MARGIN.max(bound / 10),
        });
        Self {
            table: None,
            freshness: Freshness::default(),
            backends: Backends::default(),
            chooser: Chooser::default(),
            demand: Demand::default(),
            forecasters: Forecasters::new(),
            shared_rates: SharedRates::default(),
            health: Health::new(health_settings()),
            silences: Silences::default(),
            doubts: Doubts::default(),
            connect_times: ConnectTimes::default(),
            brittleness: Brittleness::default(),
            reachability: Reachability::default(),
            intermediaries: Intermediaries::default(),
            late_arrivals: LateArrivals::default(),
            software: initial_history(settings.first_start),
            stream_records: StreamRecords::default(),
            leaving_since: BTreeMap::new(),
            rollout,
            leader: None,
            leader_checked: false,
            revision: None,
            changes: ChangeLog::default(),
            fleet_size: None,
            quotas: QuotaLedger::new(
                settings.bounds.quotas(),
                settings.first_start,
                settings.limits.assumed_nodes,
            ),
            quarantine: Quarantine::default(),
            engines: EngineRecords::default(),
            quarantined_requests: BTreeMap::new(),
            round_robin: WeightedRoundRobin::default(),
            budgets: BTreeMap::new(),
            refusals: BTreeMap::new(),
            misdirected_budget: None,
            refused_until: BTreeMap::new(),
            oversized_answers: OversizedAnswers::default(),
            offered_load: RecentRate::new(OFFERED_LOAD_DECAY),
            retry_schedules: BTreeMap::new(),
            share_draw: rand::random(),
            draining_timeout: settings.bounds.draining_timeout(),
            started: now,
            reserve_grant: ReserveGrant::new(now, retry_window, settings.first_start),
            store_witness: StoreWitness::new(grant_period(retry_window), settings.first_start),
            slack_share: SlackShare::default(),
            logged_reserve: None,
        }
    }

    /// Whether engines support copies of runs and have enough cache that copies evict nothing useful.
    pub(crate) fn can_copy(&self, service: &ServiceId, now: Timestamp) -> bool {
        let traits = self.table.as_ref().and_then(|table| table.service(service));
        let Some(engine) = traits.and_then(|service| service.engine.as_ref()) else { return false };
        let engines = self.backends.usable(service).count() as u64;
        engine.copies
            && self.chooser.prefixes.retention(engine.cache_tokens * engines, now) >= MIN_COPY_RETENTION
    }

    /// The total cache capacity of all engines, in tokens.
    pub(crate) fn cache_capacity(&self) -> u64 {
        let services = self.table.iter().flat_map(|table| table.services());
        let capacities = services.filter_map(|(name, service)| {
            let engine = service.engine.as_ref()?;
            Some(engine.cache_tokens * self.backends.pool(name)?.len() as u64)
        });
        capacities.sum()
    }

    /// Whether a back end is ready and has these weights.
    pub fn has_weights(&self, id: &BackendId, model: &ModelId, version: WeightsVersion) -> bool {
        self.backends.get(id).is_some_and(|backend| {
            backend.state == BackendState::Ready && backend.entry.weights.get(model) == Some(&version)
        })
    }

    /// The configured cache stores, each under the id of its feed.
    pub fn stores(&self) -> impl Iterator<Item = StoreEndpoint> + '_ {
        let services = self.table.iter().flat_map(|table| table.services());
        services.filter_map(|(name, service)| {
            let cache_store = service.cache_store.as_ref()?;
            Some(StoreEndpoint { id: BackendId::from(name.as_str()), address: cache_store.address })
        })
    }

    /// Removes all state of a back end that is gone.
    pub(crate) fn forget(&mut self, id: &BackendId, now: Timestamp) {
        self.chooser.forget(id);
        self.health.apply(id, HealthEvent::Removed, Timestamp::ZERO);
        self.refused_until.remove(id);
        self.oversized_answers.forget(id);
        self.leaving_since.remove(id);
        self.engines.performances.forget(id, now);
    }

    /// This node's share of the retries to each service besides the earned ones.
    pub(crate) fn retry_reserve(&self, settings: &ForwardSettings, now: Timestamp) -> Reserve {
        self.slack_share.reserve(settings.bounds.retry_slack, self.reserve_grant.beginning(), now)
    }

    fn budget_settings(&self, settings: &ForwardSettings) -> WindowBudgetSettings {
        WindowBudgetSettings {
            share_per_mille: (settings.bounds.retry_share * 1_000.0) as u32,
            window: Duration::from_millis(settings.bounds.retry_window_ms),
            started: self.started,
            draw: self.share_draw,
        }
    }

    /// The retry budget of a service.
    pub(crate) fn budget(
        &mut self,
        service: &ServiceId,
        settings: &ForwardSettings,
        now: Timestamp,
    ) -> &mut WindowBudget {
        for retry in self.late_arrivals.take_dated(now) {
            if let Some(budget) = self.budgets.get_mut(&retry.service) {
                budget.record_dated(retry.at);
            }
        }
        let reserve = self.retry_reserve(settings, now);
        let budget_settings = self.budget_settings(settings);
        let budget =
            self.budgets.entry(service.clone()).or_insert_with(|| WindowBudget::new(budget_settings));
        budget.set_reserve(reserve);
        budget
    }

    /// The budget of retries after misdirected attempts, shared by all services.
    pub(crate) fn misdirected_budget(
        &mut self,
        settings: &ForwardSettings,
        now: Timestamp,
    ) -> &mut WindowBudget {
        let reserve = self.retry_reserve(settings, now);
        let budget_settings = WindowBudgetSettings { share_per_mille: 0, ..self.budget_settings(settings) };
        let misdirected_budget =
            self.misdirected_budget.get_or_insert_with(|| WindowBudget::new(budget_settings));
        misdirected_budget.set_reserve(reserve);
        misdirected_budget
    }
}

/// When back ends are ejected because of failures.
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
