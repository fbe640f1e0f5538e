//! The directory of back ends and nodes, and the tasks that poll the machine list and engine status.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use paddlemount_core::routing::RouterEvent;
use paddlemount_protocol::{
    engine::EngineStatus,
    identity::{EngineId, NodeId, PoolId, RegionId, ServiceId, ServiceInstanceId, ZoneId},
    platform::{Machine, MachineList, MachineRole, MachineState},
    time::Timestamp,
};
use tokio::sync::watch;

use crate::state::NodeState;

const MACHINE_LIST_INTERVAL: Duration = Duration::from_secs(1);
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two refreshes triggered by requests that found no engine.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Engines polled in one round.
const ENGINES_PER_ROUND: usize = 12;
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_POLLS: usize = 16;

/// An engine listed in the machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEntry {
    pub address: SocketAddr,
    pub pool: PoolId,
    pub zone: ZoneId,
    pub region: RegionId,
    /// Whether the machine list marks it as leaving.
    pub leaving: bool,
}

/// An instance of a non-model service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    pub instance: ServiceInstanceId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// Whether the machine list marks it as leaving.
    pub leaving: bool,
}

/// The back ends and nodes of the last machine list.
#[derive(Debug)]
pub struct Directory {
    view: RwLock<DirectoryState>,
    list: watch::Sender<Arc<MachineList>>,
    last_refresh: tokio::sync::Mutex<Timestamp>,
    /// Whether a machine list was received since the start.
    has_list: AtomicBool,
}

#[derive(Debug, Default)]
struct DirectoryState {
    engines: BTreeMap<EngineId, EngineEntry>,
    services: BTreeMap<ServiceId, Vec<ServiceEntry>>,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            view: RwLock::default(),
            list: watch::Sender::new(Arc::new(MachineList::default())),
            last_refresh: tokio::sync::Mutex::new(Timestamp::ZERO),
            has_list: AtomicBool::new(false),
        }
    }
}

impl Directory {
    /// Looks up an engine.
    pub fn engine(&self, engine: &EngineId) -> Option<EngineEntry> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).engines.get(engine).cloned()
    }

    /// Whether a machine list was received since the start.
    pub fn has_machine_list(&self) -> bool {
        self.has_list.load(Ordering::Acquire)
    }

    /// All engines of the last machine list.
    pub fn engines(&self) -> Vec<(EngineId, EngineEntry)> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.engines.iter().map(|(engine, entry)| (engine.clone(), entry.clone())).collect()
    }

    /// The instances of a service that accept work, ordered by name.
    pub fn instances(&self, service: &ServiceId) -> Vec<ServiceEntry> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        let instances = view.services.get(service).map(Vec::as_slice).unwrap_or_default();
        instances.iter().filter(|entry| !entry.leaving).cloned().collect()
    }

    /// Subscribes to the machine list.
    pub fn subscribe(&self) -> watch::Receiver<Arc<MachineList>> {
        self.list.subscribe()
    }

    /// The nodes of the last machine list, with their peer addresses.
    pub fn nodes(&self) -> Vec<(NodeId, SocketAddr, ZoneId)> {
        let list = self.list.borrow().clone();
        let nodes = list.machines.iter().filter_map(|machine| match &machine.role {
            MachineRole::Node { node } => Some((node.clone(), machine.address, machine.zone.clone())),
            MachineRole::Engine { .. } | MachineRole::Service { .. } => None,
        });
        nodes.collect()
    }

    /// Installs a new machine list; returns the engines that are no longer listed.
    pub fn replace(&self, list: MachineList) -> Vec<EngineId> {
        let mut next = DirectoryState::default();
        for machine in &list.machines {
            next.add(machine);
        }
        for instances in next.services.values_mut() {
            instances.sort_by(|left, right| left.instance.cmp(&right.instance));
        }
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let removed =
            view.engines.keys().filter(|engine| !next.engines.contains_key(*engine)).cloned().collect();
        *view = next;
        drop(view);
        let changed =
            !self.has_list.swap(true, Ordering::AcqRel) || list.revision != self.list.borrow().revision;
        if changed {
            self.list.send_replace(Arc::new(list));
        }
        removed
    }
}

impl DirectoryState {
    fn add(&mut self, machine: &Machine) {
        let leaving = machine.state == MachineState::Leaving;
        let (address, zone) = (machine.address, machine.zone.clone());
        match &machine.role {
            MachineRole::Engine { engine, pool } => {
                let (pool, region) = (pool.clone(), machine.region.clone());
                self.engines.insert(engine.clone(), EngineEntry { address, pool, zone, region, leaving });
            }
            MachineRole::Service { instance, service } => {
                let instance = instance.clone();
                let entry = ServiceEntry { instance, address, zone, leaving };
                self.services.entry(service.clone()).or_default().push(entry);
            }
            MachineRole::Node { .. } => {}
        }
    }
}

/// Polls the machine list; never returns.
pub async fn watch_machines(state: Arc<NodeState>) {
    let mut ticks = tokio::time::interval(MACHINE_LIST_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        read_list(&state).await;
    }
}

async fn read_list(state: &NodeState) {
    let address = state.settings.platform.machine_list;
    match state.client.get_json::<MachineList>(address, "/machines", POLL_TIMEOUT).await {
        Ok(list) => apply_list(state, list),
        Err(error) => log::warn!("cannot read the machine list: {error}"),
    }
}

fn apply_list(state: &NodeState, list: MachineList) {
    if list.revision < state.directory.subscribe().borrow().revision {
        return;
    }
    let now = state.clock.now();
    let removed = state.directory.replace(list);
    for engine in &removed {
        state.with_router(|router| router.apply(RouterEvent::Removed { engine }, now));
        state.observations.remove_engine(engine);
    }
    if !removed.is_empty() {
        state.overload.remove_engines(&removed, now);
    }
    apply_drains(state);
}

/// Passes to the router which engines drain, by the machine list or by an operator's change.
pub fn apply_drains(state: &NodeState) {
    let configuration = state.configuration.load();
    let drained: BTreeSet<&EngineId> = configuration.document.configuration.drained.keys().collect();
    let now = state.clock.now();
    for (engine, entry) in state.directory.engines() {
        let draining = entry.leaving || drained.contains(&engine);
        let reason = if entry.leaving { "the machine leaves" } else { "an operator's change" };
        state.observations.engine_draining(&engine, draining, reason);
        state.with_router(|router| router.apply(RouterEvent::Draining { engine: &engine, draining }, now));
    }
}

/// Applies operator drains whenever the configuration changes; never returns.
pub async fn watch_drains(state: Arc<NodeState>) {
    let mut revisions = state.configuration.subscribe();
    while revisions.changed().await.is_ok() {
        apply_drains(&state);
    }
}

/// Polls engines for their status in turn, a bounded number per interval; never returns.
///
/// Load reports also come with answers, and a leaving engine refuses work by itself, so a larger fleet is
/// polled less often instead of with more traffic.
pub async fn watch_engines(state: Arc<NodeState>) {
    let mut ticks = tokio::time::interval(STATUS_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut list = state.directory.subscribe();
    let mut known = BTreeSet::new();
    let mut last = None;
    loop {
        let due = tokio::select! {
            _ = ticks.tick() => next_round(&state.directory, &mut last),
            changed = list.changed() => match changed {
                Ok(()) => new_engines(&state.directory, &mut known),
                Err(_) => return,
            },
        };
        poll_engines(&state, due).await;
    }
}

type Entries = Vec<(EngineId, EngineEntry)>;

/// The engines after the last one polled, ordered by name.
fn next_round(directory: &Directory, last: &mut Option<EngineId>) -> Entries {
    let mut engines = directory.engines();
    let first = engines.partition_point(|(engine, _)| last.as_ref().is_some_and(|last| engine <= last));
    engines.rotate_left(first);
    engines.truncate(ENGINES_PER_ROUND);
    *last = engines.last().map(|(engine, _)| engine.clone());
    engines
}

/// The engines that were not listed before.
fn new_engines(directory: &Directory, known: &mut BTreeSet<EngineId>) -> Entries {
    let engines = directory.engines();
    let names = engines.iter().map(|(engine, _)| engine.clone()).collect();
    let before = std::mem::replace(known, names);
    engines.into_iter().filter(|(engine, _)| !before.contains(engine)).collect()
}

/// Polls one engine, after an answer contradicted its known status.
pub async fn refresh_status(state: &Arc<NodeState>, engine: &EngineId) {
    if let Some(entry) = state.directory.engine(engine) {
        poll_engine(state, engine.clone(), entry).await;
        apply_drains(state);
    }
}

/// Refreshes the machine list and the status of all engines, because no engine could serve a request.
/// Concurrent calls share one refresh, at most one in each `MIN_REFRESH_INTERVAL`. Always returns true.
pub async fn refresh_all(state: &Arc<NodeState>) -> bool {
    let mut last = state.directory.last_refresh.lock().await;
    let now = state.clock.now();
    if now.saturating_since(*last) >= MIN_REFRESH_INTERVAL {
        read_list(state).await;
        poll_engines(state, state.directory.engines()).await;
        *last = state.clock.now();
    }
    true
}

async fn poll_engines(state: &Arc<NodeState>, engines: Entries) {
    use futures_util::StreamExt;
    let polls = engines.into_iter().map(|(engine, entry)| poll_engine(state, engine, entry));
    futures_util::stream::iter(polls).buffer_unordered(MAX_CONCURRENT_POLLS).collect::<()>().await;
    apply_drains(state);
}

async fn poll_engine(state: &Arc<NodeState>, engine: EngineId, entry: EngineEntry) {
    let answer = state.client.get_json::<EngineStatus>(entry.address, "/status", POLL_TIMEOUT).await;
    match answer {
        Ok(status) if status.engine == engine => state.apply_status(&status),
        Ok(status) => log::warn!("engine {} at {} reports the name {}", engine, entry.address, status.engine),
        Err(error) => log::debug!("cannot read the status of {engine}: {error}"),
    }
}
