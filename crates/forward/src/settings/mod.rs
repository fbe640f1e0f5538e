//! The settings of the process: a TOML file that is validated before anything starts.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use paddlemount_core::{
    caller_memory::Rooms, forwarding::children::fan_in, limits::ledger::bucket_size::QuotaBounds,
};
use paddlemount_protocol::identity::{NodeId, ZoneId};
use serde::Deserialize;

pub use load::LoadSettings;

mod figures;
mod load;

/// Settings of a forwarding node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ForwardSettings {
    /// The node's name; unique among the nodes.
    pub node: NodeId,
    pub zone: ZoneId,
    /// Whether all nodes start for the first time, so that no caller is waiting yet.
    #[serde(default)]
    pub first_start: bool,
    /// The local address of connections to back ends; `None` to let the system choose.
    #[serde(default)]
    pub source_address: Option<IpAddr>,
    pub listen: ListenSettings,
    pub store: StoreSettings,
    /// The operator's bounds.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What the node may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How the node places and admits requests under load.
    #[serde(default)]
    pub load: LoadSettings,
}

/// The addresses on which the node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For metrics; `None` if they are not exported.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// For other nodes; `None` if nodes do not communicate.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// The address at which other nodes reach `peers`, if it differs.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
}

/// The metadata store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct StoreSettings {
    pub address: SocketAddr,
    /// The shortest lease that it grants, in milliseconds.
    #[serde(rename = "shortest_lease_ms", default, deserialize_with = "figures::whole")]
    pub min_lease_ms: u64,
}

/// The operator's bounds, in milliseconds unless stated otherwise, with cautious defaults. Fractions are
/// rounded down.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// The time after which a changed configuration is in force.
    #[serde(deserialize_with = "figures::whole")]
    pub configuration_ms: u64,
    /// The time after which a removed key is refused, even by a node that cannot reach the store.
    #[serde(deserialize_with = "figures::whole")]
    pub revocation_ms: u64,
    /// Whether keys are refused while it is uncertain that they are still valid.
    pub revocation_fails_closed: bool,
    /// The time from a stop signal to the end of the process; in seconds in the file.
    #[serde(rename = "grace_s", deserialize_with = "figures::seconds")]
    pub grace_ms: u64,
    /// Retries of a service, as a share of its requests.
    pub retry_share: f64,
    /// The window over which retries are counted; in seconds in the file.
    #[serde(rename = "retry_window_s", deserialize_with = "figures::seconds")]
    pub retry_window_ms: u64,
    /// Retries of a service beyond its share, per window over all nodes.
    #[serde(deserialize_with = "figures::whole")]
    pub retry_slack: u32,
    /// The window over which tenants' quotas are counted; in seconds in the file.
    #[serde(rename = "quota_window_s", deserialize_with = "figures::seconds")]
    pub quota_window_ms: u64,
    /// The share of a tenant's quota by which it may be exceeded.
    pub quota_overage: f64,
    /// Units per window by which a tenant's quota may be exceeded beyond that.
    pub quota_slack: f64,
    /// The time to live of the lease on orders.
    #[serde(deserialize_with = "figures::whole")]
    pub lease_ms: u64,
    /// The time after the announcement of a target version from which no request starts on an older one.
    #[serde(deserialize_with = "figures::whole")]
    pub weights_ms: u64,
    /// The time after which a back end that is leaving receives no requests.
    #[serde(deserialize_with = "figures::whole")]
    pub drain_ms: u64,
}

/// The resources that the node may use, and its limits on concurrent loads.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// The number of nodes assumed to share the retry slack and the back ends' connections while it is
    /// unknown.
    #[serde(rename = "most_nodes", deserialize_with = "figures::whole")]
    pub assumed_nodes: u32,
    /// The bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: f64,
    /// The process's share of a processor.
    pub processor_share: f64,
    /// The memory that the process may use; in MiB in the file.
    #[serde(deserialize_with = "figures::whole")]
    pub memory_mb: u32,
    /// The number of file descriptors that the process may open.
    #[serde(deserialize_with = "figures::whole")]
    pub descriptors: u32,
    /// The minimum for the number of back ends of a pool that load weights at once, if `loads_share` gives
    /// fewer.
    #[serde(rename = "loads_at_once")]
    pub min_loads: usize,
    /// The share of a pool's back ends that may load weights at once.
    pub loads_share: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            assumed_nodes: 64,
            link_mbps: 1_000.0,
            processor_share: 1.0,
            memory_mb: 256,
            descriptors: 1_024,
            min_loads: 2,
            loads_share: 0.2,
        }
    }
}

/// Callers' connections leave this part of the descriptors to others, and this many at least.
const KEPT_DESCRIPTORS_PARTS: usize = 4;
const MIN_KEPT_DESCRIPTORS: usize = 64;
/// Callers' connections may take this part of the memory together.
const CONNECTION_MEMORY_PARTS: usize = 4;
/// The memory of a connection on which no body arrives, and what may be unread in the kernel's buffer, in bytes.
const CONNECTION_BYTES: usize = 40 << 10;
/// The connections that callers may have open whatever the limits.
const MIN_CALLER_CONNECTIONS: usize = 16;
/// With less memory, in MiB, no node serves.
const MIN_MEMORY_MB: u32 = 16;
/// Below this bandwidth, in Mbit/s, other nodes should not depend on the machine.
const SMALL_LINK_MBPS: f64 = 50.0;

impl LimitSettings {
    /// The machine's capacity, for comparison with other nodes.
    pub fn capacity(&self) -> u32 {
        (self.link_mbps * self.processor_share).clamp(0.0, 1e9) as u32
    }

    /// The bytes that bodies of requests in progress may hold.
    pub const fn rooms(&self) -> Rooms {
        Rooms::of_machine(self.memory_bytes())
    }

    /// The memory that the process may use, in bytes.
    pub const fn memory_bytes(&self) -> usize {
        (self.memory_mb as usize) << 20
    }

    /// The number of connections that callers may have open. Back ends, the store, other nodes and the listeners for
    /// operators keep a quarter of the descriptors, and all connections together have a quarter of the memory.
    pub fn max_caller_connections(&self) -> usize {
        let descriptors = self.descriptors as usize;
        let kept = (descriptors / KEPT_DESCRIPTORS_PARTS).max(MIN_KEPT_DESCRIPTORS);
        let by_memory = self.memory_bytes() / CONNECTION_MEMORY_PARTS / CONNECTION_BYTES;
        descriptors.saturating_sub(kept).min(by_memory).max(MIN_CALLER_CONNECTIONS)
    }

    /// The maximum number of nodes that report to this one.
    pub fn fan_in(&self) -> usize {
        fan_in(self.processor_share, self.link_mbps)
    }

    /// Whether the machine is so small that others should lead.
    pub fn is_small(&self) -> bool {
        self.link_mbps < SMALL_LINK_MBPS
    }
}

/// Why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings file {path}: {source}")]
    Read { path: String, source: std::io::Error },
    /// The file is not valid TOML, or a value has the wrong type.
    #[error("settings: {0}")]
    Form(#[from] toml::de::Error),
    /// A value is out of range.
    #[error("settings: {key} {problem}")]
    Value { key: &'static str, problem: &'static str },
}

impl ForwardSettings {
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Parses and validates a text. Unknown keys are ignored.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let invalid = |key, problem| Err(SettingsError::Value { key, problem });
        if self.node.as_str().is_empty() {
            return invalid("node", "must not be empty");
        }
        if self.listen.callers == self.listen.readiness && self.listen.callers.port() != 0 {
            return invalid("listen.readiness", "must differ from listen.callers");
        }
        if !(0.0..=1.0).contains(&self.bounds.retry_share) {
            return invalid("bounds.retry_share", "must lie between 0 and 1");
        }
        if self.bounds.retry_window_ms < 100 {
            return invalid("bounds.retry_window_s", "must be 0.1 or more");
        }
        if self.bounds.quota_window_ms < 100 {
            return invalid("bounds.quota_window_s", "must be 0.1 or more");
        }
        if !(0.0..=10.0).contains(&self.bounds.quota_overage) {
            return invalid("bounds.quota_overage", "must lie between 0 and 10");
        }
        if !(self.bounds.quota_slack.is_finite() && self.bounds.quota_slack >= 0.0) {
            return invalid("bounds.quota_slack", "must be 0 or more");
        }
        if self.bounds.revocation_ms < 500 {
            return invalid("bounds.revocation_ms", "must be 500 or more");
        }
        if self.bounds.configuration_ms < 100 {
            return invalid("bounds.configuration_ms", "must be 100 or more");
        }
        if self.limits.memory_mb < MIN_MEMORY_MB {
            return invalid("limits.memory_mb", "must be 16 or more");
        }
        if self.limits.assumed_nodes == 0 {
            return invalid("limits.most_nodes", "must be 1 or more");
        }
        if self.limits.min_loads == 0 {
            return invalid("limits.loads_at_once", "must be 1 or more");
        }
        if !(0.0..=1.0).contains(&self.limits.loads_share) {
            return invalid("limits.loads_share", "must lie between 0 and 1");
        }
        Ok(())
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            configuration_ms: 2_000,
            revocation_ms: 5_000,
            revocation_fails_closed: false,
            grace_ms: 8_000,
            retry_share: 0.1,
            retry_window_ms: 10_000,
            retry_slack: 14,
            quota_window_ms: 10_000,
            quota_overage: 0.0,
            quota_slack: 0.0,
            lease_ms: 3_000,
            weights_ms: 8_000,
            drain_ms: 2_000,
        }
    }
}

impl BoundSettings {
    /// The time from a stop signal to the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    /// The time after which no request may start on weights older than the target version.
    pub fn weights(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }

    /// How long a back end that is leaving may still receive requests if no other is left. The other half of
    /// its time is for the answers.
    pub fn draining_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms / 2)
    }

    /// By how much tenants' quotas may be exceeded.
    pub fn quotas(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_millis(self.quota_window_ms),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// The age at which the configuration is too old for a request with a key.
    pub fn stale_after(&self) -> Duration {
        Duration::from_millis(self.revocation_ms.saturating_sub(self.revocation_ms / 25))
    }

    /// The age at which an unknown route or key may be missing only because the configuration is outdated.
    pub fn unverified_after(&self) -> Duration {
        Duration::from_millis(self.configuration_ms * 3 / 2)
    }

    /// How long changes accumulate between two watches of the store.
    pub fn watch_interval(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 4).clamp(100, 1_000))
    }

    /// The maximum age of the proof of a relayed state. A node whose leader has lost the store must still
    /// learn of a change in time by querying the store itself.
    pub fn max_relay_age(&self) -> Duration {
        Duration::from_millis(self.configuration_ms.min(self.revocation_ms) * 13 / 20)
    }

    /// How long a watch of a leader waits, whose answers are also proof for other nodes.
    pub fn leader_watch_wait(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 5).clamp(100, 1_000))
    }

    /// How long after a report a node waits for the next answer before it queries the store itself.
    pub fn relay_timeout(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 4).clamp(300, 900))
    }

    /// How long a node waits for a relay after its listing before it watches the store itself. The listing
    /// stays valid for that time; on the first start no caller waits, so the wait may be longer.
    pub fn initial_relay_timeout(&self, first_start: bool) -> Duration {
        let bound = self.configuration_ms.min(self.revocation_ms);
        if first_start { Duration::from_millis(bound) } else { Duration::from_millis(bound * 3 / 10) }
    }

    /// How long to wait for a snapshot, up to twice this time. It allows for several reports and for the
    /// transfer of a megabyte over a slow link, while changes must still arrive in time if no node provides
    /// one.
    pub fn snapshot_timeout(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 5).clamp(200, 1_500))
    }

    /// The interval of reports of a node without updates. State relayed to it ages by as much: a tenth of the
    /// bound leaves time for each of four levels, and is less than half of the time after which a node
    /// without a relay queries the store itself.
    pub fn idle_report_interval(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 10).clamp(200, 500))
    }

    /// How long a watch of the store waits; its answer proves that the known state is recent.
    pub fn watch_wait(&self) -> Duration {
        Duration::from_millis((self.revocation_ms * 2 / 5).clamp(200, 5_000))
    }
}
