//! Names, keys, addresses and settings of the demo's components.

use std::{collections::BTreeMap, io, net::SocketAddr};

use paddlemount_node::settings::NodeSettings;
use paddlemount_protocol::{
    configuration::{Configuration, DOCUMENT_KEY, Pool, Service, Tenant},
    engine::LoadedModel,
    identity::{
        EngineId, ModelId, NodeId, PoolId, RegionId, ServiceId, ServiceInstanceId, TenantId, WeightsVersion,
        ZoneId,
    },
    peer::claims::{ClaimMember, ClaimPlacement, PlacementEpoch},
    platform::{Machine, MachineRole, MachineState},
};
use paddlemount_standins::settings::{ConfigurationStoreSettings, EngineSettings, StandinSettings};
use sha2::{Digest, Sha256};

use super::ClusterError;
use crate::free_address::free_address;

/// The operator with all permissions.
pub const OPERATOR: &str = "operator";
/// The operator's key, used in the demo only.
pub const OPERATOR_KEY: &str = "demo-operator-key";
/// The served model.
pub const MODEL: &str = "prairie-8b";
/// The loaded weights version.
pub const WEIGHTS: WeightsVersion = WeightsVersion(1);
/// The tenants' names.
pub const TENANTS: [&str; 8] =
    ["regina", "saskatoon", "brandon", "estevan", "weyburn", "yorkton", "moose-jaw", "swift-current"];
/// The zones' names.
pub(super) const ZONES: [&str; 3] = ["regina", "saskatoon", "brandon"];
const REGION: &str = "prairie";
const POOL: &str = "contracts";
const BOOKING: &str = "booking";
/// Number of engines.
pub(super) const ENGINES: usize = 12;
/// Number of booking instances.
pub(super) const BOOKING_RUNNERS: usize = 3;
/// Key that signs messages between nodes.
const CLUSTER_KEY: &str = "demo-cluster-key-0123456789";

/// The key of a tenant's callers.
pub fn caller_key(tenant: &str) -> String {
    format!("demo-key-{tenant}")
}

fn sha256_hex(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// The zone of the component with this number.
fn zone(number: usize) -> ZoneId {
    ZoneId::from(ZONES[number % ZONES.len()])
}

/// The name of a node.
pub(super) fn node_name(number: usize) -> NodeId {
    NodeId::from(format!("node-{number}"))
}

fn claim_member(number: usize) -> ClaimMember {
    ClaimMember { node: node_name(number), zone: zone(number), region: RegionId::from(REGION) }
}

/// The configuration store with the document that all nodes follow.
pub(super) fn configuration_store() -> Result<StandinSettings, ClusterError> {
    let tenant = |name: &str| {
        let key_hashes = vec![sha256_hex(&caller_key(name))];
        (TenantId::from(name), Tenant { key_hashes, ..Tenant::default() })
    };
    let pool = Pool {
        model: ModelId::from(MODEL),
        weights: WEIGHTS,
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: 0.3,
    };
    let configuration = Configuration {
        tenants: TENANTS.into_iter().map(tenant).collect(),
        pools: BTreeMap::from([(PoolId::from(POOL), pool)]),
        services: BTreeMap::from([(ServiceId::from(BOOKING), Service::default())]),
        claims: ClaimPlacement {
            epoch: PlacementEpoch(1),
            members: (0..ZONES.len()).map(claim_member).collect(),
            next: None,
        },
        ..Configuration::default()
    };
    let values = BTreeMap::from([(DOCUMENT_KEY.to_owned(), serde_json::to_value(configuration)?)]);
    Ok(StandinSettings::ConfigurationStore(ConfigurationStoreSettings {
        values,
        ..ConfigurationStoreSettings::default()
    }))
}

/// Settings of an engine that has the model loaded.
pub(super) fn engine_settings(number: usize, weight_store: SocketAddr) -> EngineSettings {
    let loaded = LoadedModel { model: ModelId::from(MODEL), weights: WEIGHTS, adapters: Vec::new() };
    let engine = EngineId::from(format!("runner-{number:02}"));
    let mut settings = EngineSettings::new(engine, PoolId::from(POOL), zone(number), Some(loaded));
    settings.weight_store = Some(weight_store);
    settings.seed = number as u64;
    settings
}

/// The name of a booking instance.
pub(super) fn booking_name(number: usize) -> ServiceInstanceId {
    ServiceInstanceId::from(format!("booking-{number}"))
}

/// The machine list entry of an engine.
pub(super) fn engine_machine(number: usize, settings: &EngineSettings) -> Machine {
    let role = MachineRole::Engine { engine: settings.engine.clone(), pool: settings.pool.clone() };
    machine(role, settings.listen, number)
}

/// The machine list entry of a booking instance.
pub(super) fn booking_machine(number: usize, address: SocketAddr) -> Machine {
    let role = MachineRole::Service { instance: booking_name(number), service: ServiceId::from(BOOKING) };
    machine(role, address, number)
}

/// The machine list entry of a node.
pub(super) fn node_machine(number: usize, addresses: &NodeAddresses) -> Machine {
    machine(MachineRole::Node { node: node_name(number) }, addresses.peers, number)
}

fn machine(role: MachineRole, address: SocketAddr, number: usize) -> Machine {
    let (zone, region) = (zone(number), RegionId::from(REGION));
    Machine { role, address, zone, region, state: MachineState::Live }
}

/// Addresses that a node keeps across restarts.
pub(super) struct NodeAddresses {
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
}

impl NodeAddresses {
    /// Picks free addresses.
    pub(super) fn reserve() -> Result<Self, io::Error> {
        Ok(Self { callers: free_address()?, peers: free_address()?, admin: free_address()? })
    }
}

/// Addresses of the platform's services.
pub(super) struct PlatformAddresses {
    pub(super) configuration_store: SocketAddr,
    pub(super) machine_list: SocketAddr,
    pub(super) cache_store: SocketAddr,
}

/// Settings of one node.
pub(super) fn node_settings(
    number: usize,
    addresses: &NodeAddresses,
    platform: &PlatformAddresses,
) -> Result<NodeSettings, ClusterError> {
    let text = format!(
        "node = \"{node}\"\nregion = \"{REGION}\"\nzone = \"{zone}\"\nworkers = 2\n\
         [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\nadmin = \"{admin}\"\n\
         [platform]\nconfiguration_store = \"{store}\"\nmachine_list = \"{list}\"\nkept_cache_store = \"{cache_store}\"\n\
         [cluster]\nkey = \"{CLUSTER_KEY}\"\n\
         [[operators]]\nname = \"{OPERATOR}\"\nkey_hash = \"{hash}\"\nrole = \"administer\"\n",
        node = node_name(number),
        zone = zone(number),
        callers = addresses.callers,
        peers = addresses.peers,
        admin = addresses.admin,
        store = platform.configuration_store,
        list = platform.machine_list,
        cache_store = platform.cache_store,
        hash = sha256_hex(OPERATOR_KEY),
    );
    NodeSettings::parse(&text).map_err(|errors| ClusterError::Settings(format!("{errors:?}")))
}
