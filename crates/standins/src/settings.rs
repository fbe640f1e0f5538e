//! Settings of stand-ins, read from a TOML file.

use std::{collections::BTreeMap, net::SocketAddr};

use paddlemount_protocol::{
    engine::LoadedModel,
    identity::{EngineId, Incarnation, PoolId, ServiceInstanceId, ZoneId},
    platform::Machine,
};
use serde::{Deserialize, Serialize};

use crate::{
    cache_store::model::CacheStoreLimits, engine::settings::EngineBehaviour, faults::ServiceFaults,
    weight_store::model::WeightStoreSpeed,
};

/// Settings of one stand-in, selected by the key `kind`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[expect(clippy::large_enum_variant, reason = "read once, at the start of a process")]
pub enum StandinSettings {
    Engine(EngineSettings),
    ConfigurationStore(ConfigurationStoreSettings),
    WeightStore(WeightStoreSettings),
    #[serde(rename = "kept-cache-store")]
    CacheStore(CacheStoreSettings),
    MachineList(MachineListSettings),
    Booking(BookingSettings),
}

impl StandinSettings {
    /// Parses settings from TOML text; unknown keys are errors.
    pub fn from_toml(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The value of the key `kind` for these settings.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Engine(_) => "engine",
            Self::ConfigurationStore(_) => "configuration-store",
            Self::WeightStore(_) => "weight-store",
            Self::CacheStore(_) => "kept-cache-store",
            Self::MachineList(_) => "machine-list",
            Self::Booking(_) => "booking",
        }
    }

    /// The address to listen on, for flags that override it.
    pub const fn listen_mut(&mut self) -> &mut SocketAddr {
        match self {
            Self::Engine(settings) => &mut settings.listen,
            Self::ConfigurationStore(settings) => &mut settings.listen,
            Self::WeightStore(settings) => &mut settings.listen,
            Self::CacheStore(settings) => &mut settings.listen,
            Self::MachineList(settings) => &mut settings.listen,
            Self::Booking(settings) => &mut settings.listen,
        }
    }
}

fn default_listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

const fn default_threads() -> usize {
    1
}

const fn default_load_ms() -> u64 {
    2_000
}

/// Settings of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    pub engine: EngineId,
    /// The pool that the engine serves.
    pub pool: PoolId,
    pub zone: ZoneId,
    /// What is loaded at the start; without it, the engine waits for an order.
    #[serde(default)]
    pub loaded: Option<LoadedModel>,
    /// Defaults to the start time.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Where the engine fetches weights; without it, a load takes `load_ms`.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// Milliseconds that a load takes without a weight store.
    #[serde(default = "default_load_ms")]
    pub load_ms: u64,
    /// Seed of random choices.
    #[serde(default)]
    pub seed: u64,
    #[serde(default)]
    pub behaviour: EngineBehaviour,
    /// Initial faults of replies.
    #[serde(default)]
    pub faults: ServiceFaults,
}

impl EngineSettings {
    /// Creates settings with defaults for everything but the identity.
    pub fn new(engine: EngineId, pool: PoolId, zone: ZoneId, loaded: Option<LoadedModel>) -> Self {
        Self {
            listen: default_listen(),
            threads: default_threads(),
            engine,
            pool,
            zone,
            loaded,
            incarnation: None,
            weight_store: None,
            load_ms: default_load_ms(),
            seed: 0,
            behaviour: EngineBehaviour::default(),
            faults: ServiceFaults::default(),
        }
    }
}

/// Settings of the configuration store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationStoreSettings {
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Initial values by key.
    #[serde(default)]
    pub values: BTreeMap<String, serde_json::Value>,
    /// Initial faults of replies.
    #[serde(default)]
    pub faults: ServiceFaults,
}

impl Default for ConfigurationStoreSettings {
    fn default() -> Self {
        Self {
            listen: default_listen(),
            threads: default_threads(),
            values: BTreeMap::new(),
            faults: ServiceFaults::default(),
        }
    }
}

/// Settings of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    #[serde(default)]
    pub speed: WeightStoreSpeed,
    /// Initial faults of replies.
    #[serde(default)]
    pub faults: ServiceFaults,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            listen: default_listen(),
            threads: default_threads(),
            speed: WeightStoreSpeed::default(),
            faults: ServiceFaults::default(),
        }
    }
}

/// Settings of the cache store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheStoreSettings {
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    #[serde(default)]
    pub limits: CacheStoreLimits,
    /// Initial faults of replies.
    #[serde(default)]
    pub faults: ServiceFaults,
}

impl Default for CacheStoreSettings {
    fn default() -> Self {
        Self {
            listen: default_listen(),
            threads: default_threads(),
            limits: CacheStoreLimits::default(),
            faults: ServiceFaults::default(),
        }
    }
}

/// Settings of the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineListSettings {
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Initially listed machines.
    #[serde(default)]
    pub machines: Vec<Machine>,
    /// Milliseconds until a change becomes visible in the list.
    #[serde(default)]
    pub lag_ms: u64,
    /// Initial faults of replies.
    #[serde(default)]
    pub faults: ServiceFaults,
}

impl Default for MachineListSettings {
    fn default() -> Self {
        Self {
            listen: default_listen(),
            threads: default_threads(),
            machines: Vec::new(),
            lag_ms: 0,
            faults: ServiceFaults::default(),
        }
    }
}

/// Settings of an instance of the booking service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BookingSettings {
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Number of worker threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    pub instance: ServiceInstanceId,
    /// Initial faults of replies.
    #[serde(default)]
    pub faults: ServiceFaults,
}

impl BookingSettings {
    /// Creates settings with defaults for everything but the identity.
    pub fn new(instance: ServiceInstanceId) -> Self {
        Self {
            listen: default_listen(),
            threads: default_threads(),
            instance,
            faults: ServiceFaults::default(),
        }
    }
}
