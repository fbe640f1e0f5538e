//! The demo's cluster: platform, engines, booking runners and nodes, each with its own sockets.

mod settings;

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_node::{
    node::{Node, RunningNode, StartError},
    settings::NodeSettings,
};
use paddlemount_protocol::{
    identity::{EngineId, NodeId},
    platform::Machine,
};
use paddlemount_standins::{
    booking::model::LedgerEntry,
    server::{self, RunningStandin},
    settings::{
        BookingSettings, CacheStoreSettings, EngineSettings, MachineListSettings, StandinSettings,
        WeightStoreSettings,
    },
};

use self::settings::{
    BOOKING_RUNNERS, ENGINES, NodeAddresses, PlatformAddresses, ZONES, booking_machine, booking_name,
    configuration_store, engine_machine, engine_settings, node_machine, node_name, node_settings,
};
pub use self::settings::{MODEL, OPERATOR, OPERATOR_KEY, TENANTS, WEIGHTS, caller_key};
use super::caller::Caller;
use crate::free_address::free_address;

/// Time for the nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// An error while starting the cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    #[error(transparent)]
    Standin(#[from] server::StartError),
    #[error(transparent)]
    Node(#[from] StartError),
    #[error("the demo's settings of a node are wrong: {0}")]
    Settings(String),
    #[error("no free port: {0}")]
    Port(#[from] io::Error),
    #[error("the demo's configuration is wrong: {0}")]
    Configuration(#[from] serde_json::Error),
    #[error("{0} did not become ready")]
    NotReady(NodeId),
}

struct NodeProcess {
    settings: NodeSettings,
    running: Option<RunningNode>,
}

struct EngineProcess {
    settings: EngineSettings,
    running: Option<RunningStandin>,
}

/// All components of the demo.
pub struct Cluster {
    engines: Mutex<Vec<EngineProcess>>,
    nodes: Mutex<Vec<NodeProcess>>,
    bookings: Vec<SocketAddr>,
    /// Stopped with the cluster.
    standins: Mutex<Vec<RunningStandin>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Cluster {
    /// Starts everything and waits until the nodes are ready.
    pub async fn start() -> Result<Self, ClusterError> {
        let weight_store =
            start_standin(StandinSettings::WeightStore(WeightStoreSettings::default())).await?;
        let cache_store = start_standin(StandinSettings::CacheStore(CacheStoreSettings::default())).await?;
        let engines = start_engines(weight_store.address()).await?;
        let bookings = start_bookings().await?;
        let addresses = (0..ZONES.len()).map(|_| NodeAddresses::reserve()).collect::<Result<Vec<_>, _>>()?;
        let store = start_standin(configuration_store()?).await?;
        let machines = machines(&engines, &bookings, &addresses);
        let list = MachineListSettings { machines, ..MachineListSettings::default() };
        let list = start_standin(StandinSettings::MachineList(list)).await?;
        let platform = PlatformAddresses {
            configuration_store: store.address(),
            machine_list: list.address(),
            cache_store: cache_store.address(),
        };
        let nodes = start_nodes(&addresses, &platform)?;
        let booking_addresses = bookings.iter().map(RunningStandin::address).collect();
        let mut standins = bookings;
        standins.extend([weight_store, cache_store, store, list]);
        let cluster = Self {
            engines: Mutex::new(engines),
            nodes: Mutex::new(nodes),
            bookings: booking_addresses,
            standins: Mutex::new(standins),
        };
        cluster.wait_until_serving().await?;
        Ok(cluster)
    }

    /// Waits until all nodes serve and grant claims.
    async fn wait_until_serving(&self) -> Result<(), ClusterError> {
        for number in 0..ZONES.len() {
            self.wait_until_ready(number).await?;
        }
        self.wait_until_claims_granted().await;
        Ok(())
    }

    /// Waits until every replica grants claims on new keys: a replica refuses keys that were issued before its
    /// start plus twice the clock skew.
    async fn wait_until_claims_granted(&self) {
        let all_grant = || {
            let nodes = lock(&self.nodes);
            let mut running = nodes.iter().filter_map(|node| node.running.as_ref());
            running.all(|node| node.state().claims.usage().floor < node.state().clock.now())
        };
        while !all_grant() {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    async fn wait_until_ready(&self, number: usize) -> Result<(), ClusterError> {
        let until = tokio::time::Instant::now() + READY_TIMEOUT;
        let ready = || {
            let nodes = lock(&self.nodes);
            nodes[number].running.as_ref().is_some_and(|node| node.state().is_ready())
        };
        while !ready() {
            if tokio::time::Instant::now() >= until {
                return Err(ClusterError::NotReady(node_name(number)));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Addresses for callers, one per node.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.nodes).iter().map(|node| node.settings.listen.callers).collect()
    }

    /// Addresses for operators, one per node.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.nodes).iter().map(|node| node.settings.listen.admin).collect()
    }

    /// Addresses of the engines.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.engines).iter().map(|engine| engine.settings.listen).collect()
    }

    /// The banner with addresses and keys.
    pub fn banner(&self) -> String {
        let mut text = format!(
            "Three nodes, {ENGINES} model runners in {} zones, {BOOKING_RUNNERS} booking runners, and the platform.\n",
            ZONES.len()
        );
        for (number, (callers, admin)) in
            self.caller_addresses().into_iter().zip(self.admin_addresses()).enumerate()
        {
            text += &format!("  {}: callers http://{callers}  operators http://{admin}\n", node_name(number));
        }
        text +=
            &format!("  a caller's key: {}   the operator's key: {OPERATOR_KEY}\n\n", caller_key(TENANTS[0]));
        text
    }

    /// The engine that reports the most running requests.
    pub async fn busiest_engine(&self, caller: &Caller) -> usize {
        let mut busiest = (0, 0);
        for (number, address) in self.engine_addresses().into_iter().enumerate() {
            let running = caller.running_at(address).await;
            if running > busiest.1 {
                busiest = (number, running);
            }
        }
        busiest.0
    }

    /// Stops an engine without notice and returns its name.
    pub async fn crash_engine(&self, number: usize) -> EngineId {
        let (engine, running) = {
            let mut engines = lock(&self.engines);
            (engines[number].settings.engine.clone(), engines[number].running.take())
        };
        let ended = tokio::task::spawn_blocking(move || running.map(RunningStandin::kill)).await;
        if let Err(error) = ended {
            log::error!("cannot stop {engine}: {error}");
        }
        engine
    }

    /// Restarts a crashed engine as a new incarnation with an empty cache.
    pub async fn restart_engine(&self, number: usize) -> Result<(), ClusterError> {
        let settings = lock(&self.engines)[number].settings.clone();
        let running = start_standin(StandinSettings::Engine(settings)).await?;
        lock(&self.engines)[number].running = Some(running);
        Ok(())
    }

    /// Performs a planned stop of a node; returns when its last stream has ended.
    pub async fn stop_node(&self, number: usize) -> NodeId {
        let (node, running) = {
            let mut nodes = lock(&self.nodes);
            (nodes[number].settings.node.clone(), nodes[number].running.take())
        };
        if let Some(running) = running {
            running.stop().await;
        }
        node
    }

    /// Restarts a stopped node at the same addresses.
    pub async fn start_node(&self, number: usize) -> Result<(), ClusterError> {
        let settings = lock(&self.nodes)[number].settings.clone();
        let running = Node::start(settings)?;
        lock(&self.nodes)[number].running = Some(running);
        self.wait_until_ready(number).await
    }

    /// The ledgers of the booking runners; none if one does not answer.
    pub async fn ledgers(&self) -> Option<Vec<Vec<LedgerEntry>>> {
        let caller = Caller::new(Vec::new());
        let mut ledgers = Vec::new();
        for address in &self.bookings {
            ledgers.push(caller.ledger_of(*address).await?);
        }
        Some(ledgers)
    }

    /// Stops all components.
    pub async fn stop(&self) {
        for number in 0..ZONES.len() {
            let running = lock(&self.nodes)[number].running.take();
            if let Some(node) = running {
                node.kill().await;
            }
        }
        let mut standins = std::mem::take(&mut *lock(&self.standins));
        standins.extend(lock(&self.engines).iter_mut().filter_map(|engine| engine.running.take()));
        let ended = tokio::task::spawn_blocking(move || standins.into_iter().for_each(RunningStandin::kill));
        if let Err(error) = ended.await {
            log::error!("cannot stop a stand-in: {error}");
        }
    }
}

async fn start_standin(settings: StandinSettings) -> Result<RunningStandin, ClusterError> {
    let started = tokio::task::spawn_blocking(move || server::start(settings)).await;
    Ok(started.map_err(|error| ClusterError::Port(io::Error::other(error)))??)
}

async fn start_engines(weight_store: SocketAddr) -> Result<Vec<EngineProcess>, ClusterError> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let mut settings = engine_settings(number, weight_store);
        settings.listen = free_address()?;
        let running = start_standin(StandinSettings::Engine(settings.clone())).await?;
        settings.listen = running.address();
        engines.push(EngineProcess { settings, running: Some(running) });
    }
    Ok(engines)
}

async fn start_bookings() -> Result<Vec<RunningStandin>, ClusterError> {
    let mut bookings = Vec::new();
    for number in 0..BOOKING_RUNNERS {
        let settings = BookingSettings::new(booking_name(number));
        bookings.push(start_standin(StandinSettings::Booking(settings)).await?);
    }
    Ok(bookings)
}

fn start_nodes(
    addresses: &[NodeAddresses],
    platform: &PlatformAddresses,
) -> Result<Vec<NodeProcess>, ClusterError> {
    let mut nodes = Vec::new();
    for (number, own) in addresses.iter().enumerate() {
        let settings = node_settings(number, own, platform)?;
        let running = Some(Node::start(settings.clone())?);
        nodes.push(NodeProcess { settings, running });
    }
    Ok(nodes)
}

/// The entries of the machine list: all engines, booking instances and nodes.
fn machines(engines: &[EngineProcess], bookings: &[RunningStandin], nodes: &[NodeAddresses]) -> Vec<Machine> {
    let engines = engines.iter().enumerate().map(|(number, engine)| engine_machine(number, &engine.settings));
    let bookings =
        bookings.iter().enumerate().map(|(number, booking)| booking_machine(number, booking.address()));
    let nodes = nodes.iter().enumerate().map(|(number, addresses)| node_machine(number, addresses));
    engines.chain(bookings).chain(nodes).collect()
}
