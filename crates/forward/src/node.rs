//! What a forwarding node believes, and the one place where beliefs change.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use paddlemount_core::{
    forwarding::{
        backends::{Backend, BackendId, Backends, Change, Standing},
        budget::{WindowBudget, WindowBudgetSettings},
        choice::{Candidate, Choice, Chooser, Placement, Store},
        freshness::Freshness,
        partition::{Partition, Side, takes_long},
        prompt::Prompt,
        rollout::{NamedAt, Rollout, RolloutSettings},
        table::{RouteTable, ShareWheel},
    },
    health::{Health, HealthEvent, HealthSettings, HealthVerdict},
};
use paddlemount_protocol::{
    identity::{
        EngineId, FencingToken, Incarnation, ModelId, NodeId, PoolId, Revision, ServiceId, WeightsVersion,
        ZoneId,
    },
    time::Timestamp,
};

use tokio::sync::{Notify, Semaphore};

use crate::{
    calls::Caller,
    clock::SteadyClock,
    journal::{Event, Journal},
    metrics::{Gauge, Metrics},
    pool::Pool,
    ports::{Fact, Platform},
    settings::ForwardSettings,
};

/// How long after its last failure the store counts as in trouble.
const TROUBLE: Duration = Duration::from_secs(6);
/// How long a back end is left alone that is said to load weights, where its end isn't heard of.
const LOADING: Duration = Duration::from_millis(6_000);
/// How long a back end is left alone that refused a request.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
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
    pub leader: Option<(NodeId, FencingToken)>,
    /// The revision up to which the store's changes are known.
    pub revision: Option<Revision>,
    /// Which back ends long prompts go to first.
    pub partition: Partition,
    wheel: ShareWheel,
    budgets: BTreeMap<ServiceId, WindowBudget>,
    refused_until: BTreeMap<BackendId, Timestamp>,
    trouble_at: Option<Timestamp>,
}

/// One forwarding node.
pub struct Node {
    /// Its settings; a reload replaces them.
    pub settings: RefCell<Rc<ForwardSettings>>,
    /// The platform's translation.
    pub platform: Box<dyn Platform>,
    /// The steady clock.
    pub clock: SteadyClock,
    /// Log lines.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// What it believes.
    pub beliefs: RefCell<Beliefs>,
    /// Idle connections to back ends.
    pub pool: RefCell<Pool>,
    /// Calls to the metadata store.
    pub store: Caller,
    /// Whether it has been told to stop.
    pub stopping: Cell<bool>,
    /// Requests that have not ended.
    pub running: Cell<usize>,
    /// Turns to load weights, while this node leads.
    pub loads: Semaphore,
    /// Told where an order has ended.
    pub order_ended: Notify,
    /// The fencing token while this node leads, with the time until which its lease certainly holds.
    pub leading: Cell<Option<(FencingToken, Timestamp)>>,
}

/// What is asked of [`Node::place`].
#[derive(Clone, Copy)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The route's name.
    pub route: &'a str,
    /// The prompt, if any.
    pub prompt: Option<&'a Prompt>,
    /// The isolated tenant, if it is one.
    pub isolated: Option<&'a paddlemount_protocol::identity::TenantId>,
    /// Whether the run's memory is to be copied as it grows, where the engines can do that.
    pub copied: bool,
    /// Back ends that have been tried.
    pub tried: &'a [BackendId],
    /// A number drawn for the request.
    pub draw: u64,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(
        settings: ForwardSettings,
        platform: Box<dyn Platform>,
        clock: SteadyClock,
        journal: Journal,
    ) -> Self {
        let store = Caller::new(settings.store.address, clock);
        let rollout = Rollout::new(RolloutSettings {
            at_once: settings.limits.loads_at_once,
            bound: Duration::from_millis(settings.bounds.weights_ms),
            margin: WEIGHTS_MARGIN.max(Duration::from_millis(settings.bounds.weights_ms / 10)),
        });
        let loads = Semaphore::new(settings.limits.loads_at_once);
        let beliefs = Beliefs {
            table: None,
            freshness: Freshness::default(),
            backends: Backends::default(),
            chooser: Chooser::default(),
            health: Health::new(health_settings()),
            rollout,
            leader: None,
            revision: None,
            partition: Partition::default(),
            wheel: ShareWheel::default(),
            budgets: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            trouble_at: None,
        };
        Self {
            settings: RefCell::new(Rc::new(settings)),
            platform,
            clock,
            journal,
            metrics: Metrics::default(),
            beliefs: RefCell::new(beliefs),
            pool: RefCell::default(),
            store,
            stopping: Cell::new(false),
            running: Cell::new(0),
            loads,
            order_ended: Notify::new(),
            leading: Cell::new(None),
        }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<ForwardSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The fencing token, while this node certainly leads.
    pub fn token(&self) -> Option<FencingToken> {
        self.leading.get().filter(|(_, until)| self.now() < *until).map(|(token, _)| token)
    }

    /// Whether callers should be sent here, and why not.
    pub fn readiness(&self) -> Result<(), &'static str> {
        let beliefs = self.beliefs.borrow();
        if self.stopping.get() {
            return Err("stopping");
        }
        if beliefs.table.is_none() {
            return Err("no_configuration");
        }
        let bounds = self.settings().bounds;
        if bounds.revocation_fails_closed && !beliefs.freshness.is_within(bounds.stale_after(), self.now()) {
            return Err("configuration_too_old");
        }
        Ok(())
    }

    /// The store did not answer, or refused.
    pub fn store_failed(&self) {
        self.beliefs.borrow_mut().trouble_at = Some(self.now());
    }

    /// Takes in facts that the store told up to `revision`, in answer to a call sent at `sent_at`.
    pub fn learn(&self, facts: Vec<Fact>, revision: Revision, sent_at: Timestamp) {
        for fact in facts {
            self.learn_one(fact, revision);
        }
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.revision = Some(revision);
        beliefs.freshness.prove(sent_at);
    }

    fn learn_one(&self, fact: Fact, revision: Revision) {
        let now = self.now();
        match fact {
            Fact::Document(document) => self.learn_document(*document, revision),
            Fact::Backend(entry) => {
                let mut beliefs = self.beliefs.borrow_mut();
                let pool = PoolId::from(entry.service.as_str());
                let seen = HealthEvent::Seen { pool: &pool, incarnation: Incarnation(1) };
                beliefs.health.apply(&entry.id, seen, now);
                let id = entry.id.clone();
                let before = beliefs.backends.get(&id).map(|backend| backend.entry.weights.clone());
                let weights_changed = before.is_some_and(|before| before != entry.weights);
                if weights_changed {
                    beliefs.chooser.prefixes.forget(&id);
                }
                let change = beliefs.backends.put(entry);
                self.tell_backend(&beliefs, &id, change, revision);
            }
            Fact::BackendGone(id) => self.lose_backend(&id, revision),
            Fact::WeightsNamed { model, version } => {
                let first_look = self.beliefs.borrow().revision.is_none();
                let at = if first_look { NamedAt::Found(now) } else { NamedAt::Heard(now) };
                let news = self.beliefs.borrow_mut().rollout.name(model.clone(), version, at);
                if news {
                    let event = Event::WeightsNamed {
                        model: model.as_str(),
                        version: version.0,
                        revision: revision.0,
                    };
                    self.journal.tell(&event);
                }
            }
            Fact::Leader { holder, token } => self.beliefs.borrow_mut().leader = Some((holder, token)),
            Fact::NoLeader => self.beliefs.borrow_mut().leader = None,
            Fact::Loading(backends) => self.learn_loading(&backends, now),
            Fact::Unreadable { key, problem } => {
                self.journal.tell(&Event::ItemUnreadable { key: &key, problem: &problem });
            }
        }
    }

    fn learn_document(&self, document: paddlemount_core::forwarding::document::Document, revision: Revision) {
        let mut beliefs = self.beliefs.borrow_mut();
        let before = beliefs.table.as_ref().map(|table| table.version());
        if let Some(in_force) = before.filter(|in_force| *in_force >= document.version) {
            if in_force > document.version {
                let event = Event::ConfigurationPassedOver { version: document.version, in_force };
                self.journal.tell(&event);
            }
            return;
        }
        let version = document.version;
        let routes = document.routes.len();
        beliefs.table = Some(Rc::new(RouteTable::new(document)));
        beliefs.wheel.clear();
        self.journal.tell(&Event::ConfigurationApplied { version, before, routes, revision: revision.0 });
    }

    fn learn_loading(&self, loading: &[BackendId], now: Timestamp) {
        let mut beliefs = self.beliefs.borrow_mut();
        for id in loading {
            if let Some(backend) = beliefs.backends.get_mut(id) {
                backend.loading_until = Some(now + LOADING);
            }
        }
    }

    /// The registry holds no entry of a back end any more.
    pub fn lose_backend(&self, id: &BackendId, revision: Revision) {
        let now = self.now();
        let mut beliefs = self.beliefs.borrow_mut();
        let trouble = beliefs.in_trouble(now);
        let service = beliefs.backends.get(id).map(|backend| backend.entry.service.clone());
        let change = beliefs.backends.remove(id, trouble, now);
        if let (Change::Removed, Some(service)) = (change, service) {
            beliefs.forget(id);
            self.pool.borrow_mut().close(id);
            let event = Event::BackendChanged {
                backend: id.as_str(),
                service: service.as_str(),
                change: "removed",
                weights: None,
                revision: revision.0,
            };
            self.journal.tell(&event);
        } else {
            self.tell_backend(&beliefs, id, change, revision);
        }
    }

    fn tell_backend(&self, beliefs: &Beliefs, id: &BackendId, change: Change, revision: Revision) {
        let change = match change {
            Change::Appeared => "appeared",
            Change::Leaving => "leaving",
            Change::Updated => "updated",
            Change::Doubted => "doubted",
            Change::Removed | Change::None => return,
        };
        let Some(backend) = beliefs.backends.get(id) else { return };
        self.journal.tell(&Event::BackendChanged {
            backend: id.as_str(),
            service: backend.entry.service.as_str(),
            change,
            weights: backend.entry.weights.values().next().map(|version| version.0),
            revision: revision.0,
        });
    }

    /// An answer, a report or a refusal showed the version that a back end runs on.
    pub fn saw_weights(&self, id: &BackendId, model: &ModelId, version: WeightsVersion) {
        let mut beliefs = self.beliefs.borrow_mut();
        let Some(backend) = beliefs.backends.get_mut(id) else { return };
        let known = backend.entry.weights.get(model).copied();
        if known.is_none_or(|known| known < version) {
            backend.entry.weights.insert(model.clone(), version);
            backend.loading_until = None;
            beliefs.chooser.prefixes.forget(id);
        }
    }

    /// A back end refused a request: it is full, or it loads weights.
    pub fn refused(&self, id: &BackendId) {
        let until = self.now() + REFUSED_PAUSE;
        self.beliefs.borrow_mut().refused_until.insert(id.clone(), until);
    }

    /// Something learned of a back end's health. `certain` ejects it at once.
    pub fn health(&self, id: &BackendId, event: HealthEvent<'_>, certain: bool) {
        let now = self.now();
        let mut beliefs = self.beliefs.borrow_mut();
        let times = if certain { health_settings().consecutive_failures } else { 1 };
        for _ in 0..times {
            beliefs.health.apply(id, event, now);
        }
    }

    /// Whether a back end is left alone for what it has failed at.
    pub fn is_ejected(&self, id: &BackendId) -> bool {
        let verdict = self.beliefs.borrow().health.verdict(id, 0.0, self.now());
        matches!(verdict, HealthVerdict::Ejected { .. })
    }

    /// Draws on the retry budget of a service.
    pub fn draw_retry(&self, service: &ServiceId) -> bool {
        let settings = self.settings();
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.budget(service, &settings).repeat(self.now())
    }

    /// Retries that the budget of a service would still grant.
    pub fn retries_left(&self, service: &ServiceId) -> u64 {
        self.beliefs.borrow().budgets.get(service).map_or(0, |budget| budget.left(self.now()))
    }

    /// The time in which an answer of a back end has lately begun, the slow ones included.
    pub fn slowest(&self, backend: &BackendId) -> Duration {
        self.beliefs.borrow().chooser.load(backend).slowest()
    }

    /// A request for a service was sent for the first time.
    pub fn earned_retry(&self, service: &ServiceId) {
        let settings = self.settings();
        self.beliefs.borrow_mut().budget(service, &settings).request(self.now());
    }

    /// The share of a route whose turn it is.
    pub fn share(&self, route: &paddlemount_core::forwarding::document::Route) -> Option<ServiceId> {
        let turn = self.beliefs.borrow_mut().wheel.turn(route)?;
        route.split.get(turn).map(|share| share.service.clone())
    }

    /// Chooses the back end for a request.
    pub fn place(&self, ask: Ask<'_>) -> Option<Choice> {
        let settings = self.settings();
        self.beliefs.borrow().place(ask, &settings.zone, settings.limits.most_nodes, self.now())
    }

    /// Drops what has grown old.
    pub fn sweep(&self) {
        let now = self.now();
        self.pool.borrow_mut().sweep(now);
        let mut beliefs = self.beliefs.borrow_mut();
        for id in beliefs.backends.expire(now) {
            beliefs.forget(&id);
        }
        beliefs.refused_until.retain(|_, until| now < *until);
    }

    /// Present values for the metrics.
    pub fn gauges(&self) -> Vec<Gauge> {
        let beliefs = self.beliefs.borrow();
        let age = beliefs.freshness.age(self.now()).map_or(f64::NAN, |age| age.as_secs_f64());
        let version = beliefs.table.as_ref().map_or(0, |table| table.version());
        let gauge = |name, value| Gauge { name, value };
        vec![
            gauge("paddlemount_forward_configuration_age_seconds", age),
            gauge("paddlemount_forward_configuration_version", version as f64),
            gauge("paddlemount_forward_running", self.running.get() as f64),
            gauge("paddlemount_forward_idle_connections", self.pool.borrow().idle() as f64),
            gauge("paddlemount_forward_leads", f64::from(u8::from(self.token().is_some()))),
            gauge("paddlemount_forward_log_lines_dropped", self.journal.dropped() as f64),
        ]
    }
}

impl Beliefs {
    /// Whether the store failed not long ago.
    pub fn in_trouble(&self, now: Timestamp) -> bool {
        self.trouble_at.is_some_and(|at| now.saturating_since(at) < TROUBLE)
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

    /// The store of kept parts, if the configuration has one, under the name by which its feed is known.
    pub fn store(&self) -> Option<(BackendId, std::net::SocketAddr)> {
        let table = self.table.as_ref()?;
        table.services().find_map(|(name, service)| {
            let kept = service.kept_cache.as_ref()?;
            Some((BackendId::from(name.as_str()), kept.address))
        })
    }

    fn forget(&mut self, id: &BackendId) {
        self.chooser.forget(id);
        self.health.apply(id, HealthEvent::Removed, Timestamp::ZERO);
        self.refused_until.remove(id);
    }

    fn budget(&mut self, service: &ServiceId, settings: &ForwardSettings) -> &mut WindowBudget {
        self.budgets.entry(service.clone()).or_insert_with(|| {
            WindowBudget::new(WindowBudgetSettings {
                share_per_mille: (settings.bounds.retry_share * 1_000.0) as u32,
                reserve: (settings.bounds.retry_slack / settings.limits.most_nodes).max(1),
                window: Duration::from_millis(settings.bounds.retry_window_ms),
            })
        })
    }

    fn place(&self, ask: Ask<'_>, zone: &ZoneId, most_nodes: u32, now: Timestamp) -> Option<Choice> {
        let store = self.store();
        let store = store.as_ref().map(|(id, address)| Store { id, address: *address });
        let placement = Placement {
            prompt: ask.prompt,
            isolated: ask.isolated,
            zone,
            draw: ask.draw,
            store: store.as_ref(),
            copied: ask.copied && self.can_copy(ask.service, now),
        };
        let strict = self.candidates(ask, now, |backend| {
            self.is_free(backend, ask, now) && self.has_room(backend, ask, most_nodes)
        });
        if let Some(choice) = self.chooser.choose(placement, &strict) {
            return Some(choice);
        }
        // Back ends that may be unfit are better than none, but not those that were tried.
        let lenient = self.candidates(ask, now, |backend| self.has_room(backend, ask, most_nodes));
        self.chooser.choose(placement, &lenient)
    }

    fn candidates<'a>(
        &'a self,
        ask: Ask<'a>,
        now: Timestamp,
        fit: impl Fn(&Backend) -> bool,
    ) -> Vec<Candidate<'a>> {
        let required = ask.prompt.and_then(|prompt| {
            let waits = self.chooser.loads.slowest();
            self.rollout.required(&prompt.model, self.backends.usable(ask.service), waits, now)
        });
        let side = ask.prompt.and_then(|_| self.partition.side(ask.service, ask.route));
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
                    eligible: untried && weights >= required && fit(backend),
                    avoided: long.as_ref().is_some_and(|(side, long)| (*side == Side::Long) != long[index]),
                }
            })
            .collect()
    }

    /// Whether nothing speaks against a back end for the moment.
    fn is_free(&self, backend: &Backend, ask: Ask<'_>, now: Timestamp) -> bool {
        let id: &EngineId = &backend.entry.id;
        let loading = ask.prompt.is_some() && backend.loading_until.is_some_and(|until| now < until);
        let refused = self.refused_until.get(id).is_some_and(|until| now < *until);
        let healthy = match self.health.verdict(id, 0.0, now) {
            HealthVerdict::Usable | HealthVerdict::SlowStart { .. } | HealthVerdict::Probe => true,
            HealthVerdict::Ejected { .. } => false,
        };
        let suspect = self.chooser.loads.is_suspect(id, now);
        backend.standing == Standing::Ready && !loading && !refused && healthy && !suspect
    }

    /// Whether this node has connections left of its part of those that a back end takes.
    fn has_room(&self, backend: &Backend, ask: Ask<'_>, most_nodes: u32) -> bool {
        let service = self.table.as_ref().and_then(|table| table.service(ask.service));
        let Some(most) = service.map(|service| service.max_connections).filter(|most| *most > 0) else {
            return true;
        };
        self.chooser.load(&backend.entry.id).requests < (most / most_nodes).max(2)
    }
}

fn health_settings() -> HealthSettings {
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
