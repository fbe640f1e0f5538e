//! Model placement: orders that make engines load the versions that the configuration requires.
//!
//! The node that holds the placement lease runs a [`Placer`], which compares the configuration of each pool
//! with the status of its engines and issues fenced orders for the difference. The following holds:
//!
//! - At most [`PlacementSettings::max_loads`] engines load weights at once, over all pools. A new lease
//!   holder first raises the fence of every engine, so that orders of earlier holders have no effect any
//!   more. It counts an engine that it has not fenced yet as one that may be loading.
//! - At least half of a pool's engines keep serving during a rollout.
//! - A rollout begins with one engine and continues only after that engine has served for
//!   [`PlacementSettings::canary_period`].
//!
//! An order names the engine's incarnation and carries the lease's token. The engine checks both, so an order
//! that is based on stale status has no effect.

mod rollout;

pub use rollout::{VersionCounts, choose_version, fallback_version, version_counts};

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    configuration::Pool,
    engine::{EngineStatus, LoadedModel, Order, OrderCommand},
    identity::{EngineId, FencingToken, ModelId, PoolId, WeightsVersion},
    refusal::RefusalCode,
    time::Timestamp,
};

/// The name of the lease whose holder places models.
pub const LEASE_NAME: &str = "placement";

/// Settings of a [`Placer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Maximum number of concurrent loads from the weight store, over all pools.
    pub max_loads: usize,
    /// An engine without a status report for this long no longer counts as one that may be loading.
    pub load_timeout: Duration,
    /// How long the first engine of a rollout must serve before others follow.
    pub canary_period: Duration,
    /// Time before an order without a clear reply is sent again, and before a failed load is ordered again.
    pub retry_interval: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            max_loads: 2,
            load_timeout: Duration::from_secs(300),
            canary_period: Duration::from_secs(30),
            retry_interval: Duration::from_secs(5),
        }
    }
}

/// An input to a [`Placer`].
#[derive(Clone, Debug)]
pub enum PlacementEvent<'a> {
    /// An engine's status report.
    Status {
        status: &'a EngineStatus,
        /// When the report was requested.
        requested_at: Timestamp,
    },
    /// An engine no longer exists.
    Removed(&'a EngineId),
    /// The pools of the configuration.
    Pools(&'a BTreeMap<PoolId, Pool>),
    /// The lease's token, or `None` if this node no longer holds the lease.
    Lease(Option<FencingToken>),
    /// An engine accepted an order.
    Accepted {
        engine: &'a EngineId,
        /// Identifier of the order.
        order: &'a str,
    },
    /// An engine refused an order.
    Refused {
        engine: &'a EngineId,
        /// Identifier of the order.
        order: &'a str,
        code: RefusalCode,
    },
    Tick,
}

/// An output of a [`Placer`].
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Send an order to an engine and report the reply, if there is one.
    Order { engine: EngineId, order: Order },
    /// Release the lease, because an engine has seen a higher token.
    ReleaseLease,
    /// Make this version the pool's current one: all engines of the pool serve it.
    CompleteRollout { pool: PoolId, weights: WeightsVersion },
}

/// State machine of the node that places models.
pub struct Placer {
    settings: PlacementSettings,
    token: Option<FencingToken>,
    held_since: Timestamp,
    orders: u64,
    pools: BTreeMap<PoolId, Pool>,
    engines: BTreeMap<EngineId, EngineView>,
}

struct EngineView {
    status: EngineStatus,
    status_received_at: Timestamp,
    /// When the engine began to serve its current version.
    serving_since: Option<Timestamp>,
    order: Option<OpenOrder>,
}

/// An order whose effect no status report has shown yet.
struct OpenOrder {
    order: Order,
    sent_at: Timestamp,
    accepted_at: Option<Timestamp>,
}

impl Placer {
    /// Creates a placer that holds no lease.
    pub const fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            token: None,
            held_since: Timestamp::ZERO,
            orders: 0,
            pools: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Applies an event and returns the actions to carry out.
    pub fn handle(&mut self, event: PlacementEvent<'_>, now: Timestamp) -> Vec<PlacementAction> {
        match event {
            PlacementEvent::Status { status, requested_at } => self.observe_status(status, requested_at, now),
            PlacementEvent::Removed(engine) => {
                self.engines.remove(engine);
            }
            PlacementEvent::Pools(pools) => self.pools.clone_from(pools),
            PlacementEvent::Lease(token) => self.update_lease(token, now),
            PlacementEvent::Accepted { engine, order } => self.accepted(engine, order, now),
            PlacementEvent::Refused { engine, order, code } => return self.refused(engine, order, code, now),
            PlacementEvent::Tick => {}
        }
        self.plan(now)
    }

    fn observe_status(&mut self, status: &EngineStatus, requested_at: Timestamp, now: Timestamp) {
        let view = self.engines.entry(status.engine.clone()).or_insert_with(|| EngineView {
            status: status.clone(),
            status_received_at: now,
            serving_since: None,
            order: None,
        });
        let same_incarnation = view.status.incarnation == status.incarnation;
        let continues = same_incarnation && status.loaded.is_some() && view.status.loaded == status.loaded;
        view.serving_since = match view.serving_since.filter(|_| continues) {
            None => status.loaded.as_ref().map(|_| now),
            since => since,
        };
        view.status = status.clone();
        view.status_received_at = now;
        let finished = view
            .order
            .as_ref()
            .is_some_and(|open| !same_incarnation || open.is_finished(status, requested_at));
        if finished {
            view.order = None;
        }
    }

    /// Forgets all orders when the lease changes, because another holder may have issued orders in between.
    fn update_lease(&mut self, token: Option<FencingToken>, now: Timestamp) {
        if token == self.token {
            return;
        }
        self.token = token;
        self.held_since = now;
        for view in self.engines.values_mut() {
            view.order = None;
        }
    }

    fn accepted(&mut self, engine: &EngineId, order: &str, now: Timestamp) {
        let view = self.engines.get_mut(engine);
        if let Some(open) = view.and_then(|view| view.order.as_mut()).filter(|open| open.order.id == order) {
            open.accepted_at.get_or_insert(now);
        }
    }

    fn refused(
        &mut self,
        engine: &EngineId,
        order: &str,
        code: RefusalCode,
        now: Timestamp,
    ) -> Vec<PlacementAction> {
        let Some(view) = self.engines.get_mut(engine) else { return Vec::new() };
        if view.order.as_ref().is_none_or(|open| open.order.id != order) {
            return Vec::new();
        }
        if code == RefusalCode::Fenced {
            self.update_lease(None, now);
            return vec![PlacementAction::ReleaseLease];
        }
        view.order = None;
        Vec::new()
    }

    fn plan(&mut self, now: Timestamp) -> Vec<PlacementAction> {
        let Some(token) = self.token else { return Vec::new() };
        if self.engines.values().any(|view| view.status.fence > token) {
            self.update_lease(None, now);
            return vec![PlacementAction::ReleaseLease];
        }
        let mut actions = self.resend_orders(now);
        actions.extend(self.raise_fences(token, now));
        actions.extend(self.load_adapters(token, now));
        actions.extend(self.load_models(token, now));
        actions.extend(self.complete_rollouts());
        actions
    }

    /// Sends orders without a known reply again, with the same identifier.
    fn resend_orders(&mut self, now: Timestamp) -> Vec<PlacementAction> {
        let retry = self.settings.retry_interval;
        let mut actions = Vec::new();
        for (engine, view) in &mut self.engines {
            let Some(open) = &mut view.order else { continue };
            if open.accepted_at.is_none() && now >= open.sent_at + retry {
                open.sent_at = now;
                actions.push(PlacementAction::Order { engine: engine.clone(), order: open.order.clone() });
            }
        }
        actions
    }

    /// Issues orders that only raise the fence. Ordering an engine to load what it has loaded also cancels a
    /// load that has not begun.
    fn raise_fences(&mut self, token: FencingToken, now: Timestamp) -> Vec<PlacementAction> {
        let unfenced = |view: &EngineView| view.status.fence < token && view.order.is_none();
        let engines: Vec<(EngineId, OrderCommand)> = self
            .engines
            .iter()
            .filter(|(_, view)| unfenced(view))
            .map(|(engine, view)| (engine.clone(), fence_command(&view.status)))
            .collect();
        engines.into_iter().filter_map(|(engine, command)| self.order(&engine, command, token, now)).collect()
    }

    fn load_adapters(&mut self, token: FencingToken, now: Timestamp) -> Vec<PlacementAction> {
        let mut missing = Vec::new();
        for (engine, view) in &self.engines {
            let (Some(loaded), Some(pool)) = (&view.status.loaded, self.pools.get(&view.status.pool)) else {
                continue;
            };
            let adapter = pool.adapters.iter().find(|adapter| !loaded.adapters.contains(adapter));
            if let Some(adapter) = adapter.filter(|_| view.order.is_none() && loaded.model == pool.model) {
                missing.push((engine.clone(), OrderCommand::LoadAdapter { adapter: adapter.clone() }));
            }
        }
        missing.into_iter().filter_map(|(engine, command)| self.order(&engine, command, token, now)).collect()
    }

    fn load_models(&mut self, token: FencingToken, now: Timestamp) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            while self.may_be_loading(token, now) < self.settings.max_loads {
                let Some((engine, command)) = self.next_load(&pool, token, now) else { break };
                actions.extend(self.order(&engine, command, token, now));
            }
        }
        actions
    }

    /// Number of engines that load, or may load by an order of this or an earlier lease holder.
    fn may_be_loading(&self, token: FencingToken, now: Timestamp) -> usize {
        let recent = |view: &EngineView| {
            now < view.status_received_at.max(self.held_since) + self.settings.load_timeout
        };
        let may_load =
            |view: &EngineView| view.status.fence < token || view.status.loading || view.is_ordered_to_load();
        self.engines.values().filter(|view| recent(view) && may_load(view)).count()
    }

    fn order(
        &mut self,
        engine: &EngineId,
        command: OrderCommand,
        token: FencingToken,
        now: Timestamp,
    ) -> Option<PlacementAction> {
        let view = self.engines.get_mut(engine)?;
        self.orders += 1;
        let id = format!("{token}.{}", self.orders);
        let order = Order { id, token, incarnation: Some(view.status.incarnation), command };
        view.order = Some(OpenOrder { order: order.clone(), sent_at: now, accepted_at: None });
        Some(PlacementAction::Order { engine: engine.clone(), order })
    }
}

fn fence_command(status: &EngineStatus) -> OrderCommand {
    match &status.loaded {
        Some(LoadedModel { model, weights, .. }) => {
            OrderCommand::LoadModel { model: model.clone(), weights: *weights }
        }
        None => OrderCommand::SetRole { role: status.role },
    }
}

impl EngineView {
    fn is_ordered_to_load(&self) -> bool {
        let command = self.order.as_ref().map(|open| &open.order.command);
        matches!(command, Some(OrderCommand::LoadModel { .. }))
    }

    fn serves(&self, model: &ModelId, weights: WeightsVersion) -> bool {
        let loaded = self.status.loaded.as_ref();
        loaded.is_some_and(|loaded| loaded.model == *model && loaded.weights == weights)
    }
}

impl OpenOrder {
    /// Whether a status requested at `requested_at` shows the order's effect, or that it had none.
    fn is_finished(&self, status: &EngineStatus, requested_at: Timestamp) -> bool {
        let seen = self.accepted_at.is_some_and(|accepted_at| requested_at > accepted_at);
        match &self.order.command {
            OrderCommand::LoadModel { .. } => seen && !status.loading,
            _ => seen,
        }
    }
}
