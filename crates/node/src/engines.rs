//! Which back ends exist, and the driver that learns it from the machine list and from the engines.

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

/// Time between two reads of the machine list.
const MACHINE_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds of questions to engines.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds of questions that requests without an engine ask for.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Engines that are asked in one round.
const ENGINES_PER_ROUND: usize = 12;
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Questions to engines that are open at the same time.
const MAX_CONCURRENT_POLLS: usize = 16;

/// An engine of the machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEntry {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Whether the machine list says that it leaves.
    pub leaving: bool,
}

/// An instance of a service beside the models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The instance.
    pub instance: ServiceInstanceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether the machine list says that it leaves.
    pub leaving: bool,
}

/// Back ends and nodes by the last machine list.
#[derive(Debug)]
pub struct Directory {
    view: RwLock<DirectoryState>,
    list: watch::Sender<Arc<MachineList>>,
    last_round: tokio::sync::Mutex<Timestamp>,
    known: AtomicBool,
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
            last_round: tokio::sync::Mutex::new(Timestamp::ZERO),
            known: AtomicBool::new(false),
        }
    }
}

impl Directory {
    /// An engine.
    pub fn engine(&self, engine: &EngineId) -> Option<EngineEntry> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).engines.get(engine).cloned()
    }

    /// Whether a machine list was ever learnt.
    pub fn is_known(&self) -> bool {
        self.known.load(Ordering::Acquire)
    }

    /// All engines.
    pub fn engines(&self) -> Vec<(EngineId, EngineEntry)> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.engines.iter().map(|(engine, entry)| (engine.clone(), entry.clone())).collect()
    }

    /// Instances of a service that take work, in the order of their names.
    pub fn instances(&self, service: &ServiceId) -> Vec<ServiceEntry> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        let instances = view.services.get(service).map(Vec::as_slice).unwrap_or_default();
        instances.iter().filter(|entry| !entry.leaving).cloned().collect()
    }

    /// The last machine list and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<MachineList>> {
        self.list.subscribe()
    }

    /// Other nodes of the last machine list, with their peer addresses.
    pub fn nodes(&self) -> Vec<(NodeId, SocketAddr, ZoneId)> {
        let list = self.list.borrow().clone();
        let nodes = list.machines.iter().filter_map(|machine| match &machine.role {
            MachineRole::Node { node } => Some((node.clone(), machine.address, machine.zone.clone())),
            MachineRole::Engine { .. } | MachineRole::Service { .. } => None,
        });
        nodes.collect()
    }

    /// Replaces the view by a new machine list; returns the engines that vanished from it.
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
            !self.known.swap(true, Ordering::AcqRel) || list.revision != self.list.borrow().revision;
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

/// Reads the machine list again and again; never returns.
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
        Err(error) => log::warn!("machine list: {error}"),
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

/// Tells the router which engines take no new work, by the machine list or by an operator.
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

/// Puts changed operator drains in force as soon as a configuration is; never returns.
pub async fn watch_drains(state: Arc<NodeState>) {
    let mut revisions = state.configuration.subscribe();
    while revisions.changed().await.is_ok() {
        apply_drains(&state);
    }
}

/// Asks engines for their status in turn, a bounded number in each period; never returns.
///
/// Load reports also ride on answers, and an engine that leaves refuses work by itself, so a larger
/// number of engines is asked less often rather than with more traffic.
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

/// The engines that follow the `last` one asked, in the order of their names.
fn next_round(directory: &Directory, last: &mut Option<EngineId>) -> Entries {
    let mut engines = directory.engines();
    let first = engines.partition_point(|(engine, _)| last.as_ref().is_some_and(|last| engine <= last));
    engines.rotate_left(first);
    engines.truncate(ENGINES_PER_ROUND);
    *last = engines.last().map(|(engine, _)| engine.clone());
    engines
}

/// Engines that were not on the list before.
fn new_engines(directory: &Directory, known: &mut BTreeSet<EngineId>) -> Entries {
    let engines = directory.engines();
    let names = engines.iter().map(|(engine, _)| engine.clone()).collect();
    let before = std::mem::replace(known, names);
    engines.into_iter().filter(|(engine, _)| !before.contains(engine)).collect()
}

/// Asks one engine for its status, because an answer contradicted what was believed of it.
pub async fn refresh_status(state: &Arc<NodeState>, engine: &EngineId) {
    if let Some(entry) = state.directory.engine(engine) {
        poll_engine(state, engine.clone(), entry).await;
        apply_drains(state);
    }
}

/// Reads the machine list and all statuses at once, because no engine could serve a request. Tells
/// whether anything was asked; questions of many requests are put together, and at most
/// one round is made in [`MIN_REFRESH_INTERVAL`].
pub async fn refresh_all(state: &Arc<NodeState>) -> bool {
    let mut last = state.directory.last_round.lock().await;
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
        Ok(status) => log::warn!("{} at {} calls itself {}", engine, entry.address, status.engine),
        Err(error) => log::debug!("status of {engine}: {error}"),
    }
}
