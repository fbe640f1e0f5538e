//! What a forwarding node believes, and the back end that follows from it.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use paddlemount_core::{
    forwarding::{
        backends::{Backend, BackendId, Backends, Standing},
        budget::{WindowBudget, WindowBudgetSettings, reserve_of},
        choice::{Candidate, Choice, Chooser, Placement, Store, shard_of},
        freshness::Freshness,
        partition::{Partition, Side, takes_long},
        prompt::Prompt,
        rollout::{Rollout, RolloutSettings, prefers},
        table::{RouteTable, ShareWheel},
    },
    health::{Health, HealthEvent, HealthSettings, HealthVerdict},
    limits::ledger::QuotaLedger,
};
use paddlemount_protocol::{
    identity::{
        EngineId, FencingToken, ModelId, NodeId, Revision, ServiceId, TenantId, WeightsVersion, ZoneId,
    },
    time::Timestamp,
};

use crate::settings::ForwardSettings;

/// Connections to one back end that each node may have, however many nodes there are.
const LEAST_CONNECTIONS: u32 = 6;
/// Nodes up to which each knows by itself enough of what is under way to weigh all back ends.
pub(crate) const KNOWING_NODES: usize = 8;
/// Back ends that are weighed for a request at least.
const LEAST_CONSIDERED: usize = 6;
/// How long unused parts must be kept for copies of runs to be worth their room.
const KEPT_LONG_ENOUGH: Duration = Duration::from_secs(14);
/// The least margin between the bound of named weights and the time from which older ones get no request.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(900);

/// What a node believes.
pub struct Beliefs {
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
    /// The revision up to which the store's changes are known.
    pub revision: Option<Revision>,
    /// Which back ends long prompts go to first.
    pub partition: Partition,
    /// What is left of tenants' quotas.
    pub quotas: QuotaLedger,
    pub(crate) wheel: ShareWheel,
    pub(crate) budgets: BTreeMap<ServiceId, WindowBudget>,
    pub(crate) refused_until: BTreeMap<BackendId, Timestamp>,
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
    /// The token of this leadership, where it is that of a process of node `node` that other nodes reached at `peers`.
    /// Only such a one may be replaced, by the node's next process.
    pub fn token_of(&self, node: &NodeId, peers: Option<std::net::SocketAddr>) -> Option<FencingToken> {
        (self.holder == *node && self.peers == peers).then_some(self.token)
    }
}

/// How many nodes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Nodes {
    /// As counted by the root, where this node has heard of it.
    pub counted: Option<u32>,
    /// As the settings assume.
    pub assumed: u32,
}

impl Nodes {
    /// The greatest number that may act.
    pub fn most(self) -> u32 {
        self.counted.unwrap_or(self.assumed).max(1)
    }
}

/// What is asked of [`crate::node::Node::place`].
#[derive(Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The route's name.
    pub route: &'a str,
    /// The prompt, if any.
    pub prompt: Option<&'a Prompt>,
    /// The isolated tenant, if it is one.
    pub isolated: Option<&'a TenantId>,
    /// Whether the run's memory is to be copied as it grows, where the engines can do that.
    pub copied: bool,
    /// Back ends that have been tried.
    pub tried: &'a [BackendId],
    /// A number drawn for the request.
    pub draw: u64,
}

impl Beliefs {
    /// Knows nothing yet.
    pub fn new(settings: &ForwardSettings) -> Self {
        let bound = Duration::from_millis(settings.bounds.weights_ms);
        let rollout = Rollout::new(RolloutSettings {
            least_loads: settings.limits.loads_at_once,
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
            revision: None,
            partition: Partition::default(),
            quotas: QuotaLedger::new(
                settings.bounds.quotas(),
                settings.first_start,
                settings.limits.most_nodes,
            ),
            wheel: ShareWheel::default(),
            budgets: BTreeMap::new(),
            refused_until: BTreeMap::new(),
        }
    }

    /// Whether engines copy runs, and have so much room that copies displace nothing that will be used again.
    fn can_copy(&self, service: &ServiceId, now: Timestamp) -> bool {
        let traits = self.table.as_ref().and_then(|table| table.service(service));
        let Some(engine) = traits.and_then(|service| service.engine.as_ref()) else { return false };
        let engines = self.backends.usable(service).count() as u64;
        engine.copies
            && self.chooser.prefixes.kept_for(engine.cache_tokens * engines, now) >= KEPT_LONG_ENOUGH
    }

    /// Whether a back end may get work and has these weights.
    pub fn has_weights(&self, id: &BackendId, model: &ModelId, version: WeightsVersion) -> bool {
        self.backends.get(id).is_some_and(|backend| {
            backend.standing == Standing::Ready && backend.entry.weights.get(model) == Some(&version)
        })
    }

    /// The stores of kept parts that the configuration has, each under the name by which its feed is known.
    pub fn stores(&self) -> impl Iterator<Item = Store> + '_ {
        let services = self.table.iter().flat_map(|table| table.services());
        services.filter_map(|(name, service)| {
            let kept = service.kept_cache.as_ref()?;
            Some(Store { id: BackendId::from(name.as_str()), address: kept.address })
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
        counted: Option<u32>,
    ) -> &mut WindowBudget {
        let reserve = reserve_of(settings.bounds.retry_slack, counted, settings.limits.most_nodes);
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

    /// Chooses the back end for a request.
    pub(crate) fn place(&self, ask: Ask<'_>, zone: &ZoneId, nodes: Nodes, now: Timestamp) -> Option<Choice> {
        let store = ask.prompt.and_then(|prompt| shard_of(prompt, self.stores()));
        let placement = Placement {
            prompt: ask.prompt,
            isolated: ask.isolated,
            zone,
            draw: ask.draw,
            store: store.as_ref(),
            considered: self.considered(ask.service, nodes),
            copied: ask.copied && self.can_copy(ask.service, now),
        };
        let strict = self.candidates(ask, now, |backend| {
            self.is_free(backend, ask, now) && self.has_room(backend, ask, nodes)
        });
        if let Some(choice) = self.chooser.choose(placement, &strict) {
            return Some(choice);
        }
        // Back ends that may be unfit are better than none, but not those that were tried.
        let lenient = self.candidates(ask, now, |backend| self.has_room(backend, ask, nodes));
        self.chooser.choose(placement, &lenient)
    }

    fn candidates<'a>(
        &'a self,
        ask: Ask<'a>,
        now: Timestamp,
        fit: impl Fn(&Backend) -> bool,
    ) -> Vec<Candidate<'a>> {
        let required = ask.prompt.and_then(|prompt| {
            let waits = self.chooser.loads.slowest(now);
            self.rollout.required(&prompt.model, self.backends.usable(ask.service), waits, now)
        });
        let preferred = ask.prompt.and_then(|prompt| self.preferred(ask, prompt, now));
        let side = ask.prompt.and_then(|_| self.partition.side(ask.service, ask.route, now));
        let long = side.map(|(side, share)| {
            (side, takes_long(self.backends.usable(ask.service).map(|backend| &backend.entry.id), share))
        });
        self.backends
            .usable(ask.service)
            .enumerate()
            .map(|(index, backend)| {
                let weights = ask.prompt.and_then(|prompt| backend.entry.weights.get(&prompt.model).copied());
                let untried = !ask.tried.contains(&backend.entry.id);
                Candidate {
                    id: &backend.entry.id,
                    address: backend.entry.address,
                    zone: &backend.entry.zone,
                    weights,
                    slots: backend.entry.slots,
                    eligible: untried && weights >= required && fit(backend),
                    outdated: weights < preferred,
                    avoided: long.as_ref().is_some_and(|(side, long)| (*side == Side::Long) != long[index]),
                }
            })
            .collect()
    }

    /// The version that this request rather begins on: as many requests prefer it as engines have it.
    fn preferred(&self, ask: Ask<'_>, prompt: &Prompt, now: Timestamp) -> Option<WeightsVersion> {
        let preferred = self.rollout.preferred(&prompt.model, now)?;
        let held = self.backends.usable(ask.service).filter(|backend| !backend.is_loading(now));
        let held: Vec<_> = held.filter_map(|backend| backend.entry.weights.get(&prompt.model)).collect();
        let having = held.iter().filter(|version| ***version >= preferred).count();
        prefers(ask.draw, having, held.len()).then_some(preferred)
    }

    /// Whether nothing speaks against a back end for the moment.
    fn is_free(&self, backend: &Backend, ask: Ask<'_>, now: Timestamp) -> bool {
        let id: &EngineId = &backend.entry.id;
        let loading = ask.prompt.is_some() && backend.is_loading(now);
        let refused = self.refused_until.get(id).is_some_and(|until| now < *until);
        let healthy = match self.health.verdict(id, 0.0, now) {
            HealthVerdict::Usable | HealthVerdict::SlowStart { .. } | HealthVerdict::Probe => true,
            HealthVerdict::Ejected { .. } => false,
        };
        let suspect = self.chooser.loads.is_suspect(id, now);
        backend.standing == Standing::Ready && !loading && !refused && healthy && !suspect
    }

    /// Whether this node has connections left of its part of those that a back end takes.
    fn has_room(&self, backend: &Backend, ask: Ask<'_>, nodes: Nodes) -> bool {
        let service = self.table.as_ref().and_then(|table| table.service(ask.service));
        let Some(most) = service.map(|service| service.max_connections).filter(|most| *most > 0) else {
            return true;
        };
        self.chooser.load(&backend.entry.id).requests < (most / nodes.most()).max(LEAST_CONNECTIONS)
    }

    /// How many back ends a node weighs for a request: fewer, the more nodes choose among them.
    fn considered(&self, service: &ServiceId, nodes: Nodes) -> Option<usize> {
        let counted = nodes.counted? as usize;
        let backends = self.backends.usable(service).count();
        (counted > KNOWING_NODES).then(|| (backends * KNOWING_NODES / counted).max(LEAST_CONSIDERED))
    }
}

/// When a back end is left alone for what it has failed at.
pub(crate) fn health_settings() -> HealthSettings {
    HealthSettings {
        consecutive_failures: 3,
        failure_ratio: 0.35,
        ratio_minimum: 8,
        window: Duration::from_secs(5),
        ejection: Duration::from_secs(1),
        longest_ejection: Duration::from_secs(6),
        ejected_share: 0.7,
        probe_timeout: Duration::from_secs(2),
        slow_start: Duration::from_millis(1),
        slow_start_floor: 1.0,
    }
}
