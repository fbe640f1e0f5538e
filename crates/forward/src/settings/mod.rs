//! The process's settings: a TOML file, checked whole before anything starts.

use std::{net::SocketAddr, path::Path, time::Duration};

use paddlemount_core::{forwarding::children::fan_in, limits::ledger::bucket_size::QuotaBounds};
use paddlemount_protocol::identity::{NodeId, ZoneId};
use serde::Deserialize;

mod figures;

/// Settings of a forwarding node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ForwardSettings {
    /// The node's name; unique among the nodes.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether all nodes start for the first time: no caller is waiting yet.
    #[serde(default)]
    pub first_start: bool,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The metadata store.
    pub store: StoreSettings,
    /// Bounds that the operator has set.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What the node allows itself.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Where the node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For whoever asks whether the node takes callers.
    pub readiness: SocketAddr,
    /// For metrics; none where they are not told.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// For other nodes; none where nodes tell each other nothing.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Where other nodes reach that, if it is another address than the one listened on.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
}

/// The metadata store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// The shortest life of a lease that it grants, in milliseconds.
    #[serde(default, deserialize_with = "figures::whole")]
    pub shortest_lease_ms: u64,
}

/// Bounds that the operator has set. Times are in milliseconds. Where the operator sets none, a cautious one holds.
/// Figures may be fractions, which are rounded down.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// A changed configuration is in force after this time.
    #[serde(deserialize_with = "figures::whole")]
    pub configuration_ms: u64,
    /// A removed key is refused after this time, also by a node that cannot reach the store.
    #[serde(deserialize_with = "figures::whole")]
    pub revocation_ms: u64,
    /// Whether keys are refused where it is not known that they still hold.
    pub revocation_fails_closed: bool,
    /// The time from a stop signal to the end of the process; in seconds in the file.
    #[serde(rename = "grace_s", deserialize_with = "figures::seconds")]
    pub grace_ms: u64,
    /// Retries of a service, as a share of its requests.
    pub retry_share: f64,
    /// The window over which retries are counted; in seconds in the file.
    #[serde(rename = "retry_window_s", deserialize_with = "figures::seconds")]
    pub retry_window_ms: u64,
    /// Retries of a service beyond its share, in a window, over all nodes.
    #[serde(deserialize_with = "figures::whole")]
    pub retry_slack: u32,
    /// The window over which tenants' quotas are counted; in seconds in the file.
    #[serde(rename = "quota_window_s", deserialize_with = "figures::seconds")]
    pub quota_window_ms: u64,
    /// The share of a tenant's quota that may run beyond it.
    pub quota_overage: f64,
    /// Units of a tenant's quota that may run beyond that in a window.
    pub quota_slack: f64,
    /// The life of the lease on orders.
    #[serde(deserialize_with = "figures::whole")]
    pub lease_ms: u64,
    /// No request begins on an older version after this time from when a newer one was named.
    #[serde(deserialize_with = "figures::whole")]
    pub weights_ms: u64,
    /// A back end that is leaving gets no request after this time.
    #[serde(deserialize_with = "figures::whole")]
    pub drain_ms: u64,
}

/// What the node allows itself.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// The number of nodes that share the retry slack and the back ends' connections, where it isn't known.
    #[serde(deserialize_with = "figures::whole")]
    pub most_nodes: u32,
    /// What the machine's link carries, in Mbit/s.
    pub link_mbps: f64,
    /// The process's share of a processor.
    pub processor_share: f64,
    /// Descriptors that the process may open.
    #[serde(deserialize_with = "figures::whole")]
    pub descriptors: u32,
    /// Back ends of a pool that may load weights at the same time, where `loads_share` gives fewer.
    pub loads_at_once: usize,
    /// Back ends of a pool that may load weights at the same time, as a share of the pool.
    pub loads_share: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            most_nodes: 64,
            link_mbps: 1_000.0,
            processor_share: 1.0,
            descriptors: 1_024,
            loads_at_once: 2,
            loads_share: 0.2,
        }
    }
}

/// The link of a machine that other nodes had better not depend on, in Mbit/s.
const SMALL_LINK_MBPS: f64 = 50.0;

impl LimitSettings {
    /// What the machine can carry, compared with others.
    pub fn capacity(&self) -> u32 {
        (self.link_mbps * self.processor_share).clamp(0.0, 1e9) as u32
    }

    /// How many other nodes report to this one at most.
    pub fn fan_in(&self) -> usize {
        fan_in(self.processor_share, self.link_mbps)
    }

    /// Whether the machine is so small that others should lead.
    pub fn is_small(&self) -> bool {
        self.link_mbps < SMALL_LINK_MBPS
    }
}

/// Why settings are not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read settings file {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is no TOML, or a value has the wrong form.
    #[error("settings: {0}")]
    Form(#[from] toml::de::Error),
    /// A value cannot be used.
    #[error("settings: {key} {problem}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong with its value.
        problem: &'static str,
    },
}

impl ForwardSettings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Reads and checks a text. Unknown keys are passed over.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let wrong = |key, problem| Err(SettingsError::Value { key, problem });
        if self.node.as_str().is_empty() {
            return wrong("node", "must not be empty");
        }
        if self.listen.callers == self.listen.readiness && self.listen.callers.port() != 0 {
            return wrong("listen.readiness", "must differ from listen.callers");
        }
        if !(0.0..=1.0).contains(&self.bounds.retry_share) {
            return wrong("bounds.retry_share", "must lie between 0 and 1");
        }
        if self.bounds.retry_window_ms < 100 {
            return wrong("bounds.retry_window_s", "must be 0.1 or more");
        }
        if self.bounds.quota_window_ms < 100 {
            return wrong("bounds.quota_window_s", "must be 0.1 or more");
        }
        if !(0.0..=10.0).contains(&self.bounds.quota_overage) {
            return wrong("bounds.quota_overage", "must lie between 0 and 10");
        }
        if !(self.bounds.quota_slack.is_finite() && self.bounds.quota_slack >= 0.0) {
            return wrong("bounds.quota_slack", "must be 0 or more");
        }
        if self.bounds.revocation_ms < 500 {
            return wrong("bounds.revocation_ms", "must be 500 or more");
        }
        if self.bounds.configuration_ms < 100 {
            return wrong("bounds.configuration_ms", "must be 100 or more");
        }
        if self.limits.most_nodes == 0 {
            return wrong("limits.most_nodes", "must be 1 or more");
        }
        if self.limits.loads_at_once == 0 {
            return wrong("limits.loads_at_once", "must be 1 or more");
        }
        if !(0.0..=1.0).contains(&self.limits.loads_share) {
            return wrong("limits.loads_share", "must lie between 0 and 1");
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

    /// The time after which no request may begin on older weights than the named ones.
    pub fn weights(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }

    /// How long a back end that is leaving may still be sent requests where nobody else is left. The other half of its time is
    /// for the answers.
    pub fn departing_use(&self) -> Duration {
        Duration::from_millis(self.drain_ms / 2)
    }

    /// How much more than a tenant's quota may run.
    pub fn quotas(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_millis(self.quota_window_ms),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// The age at which the configuration is too old for a request that carries a key.
    pub fn stale_after(&self) -> Duration {
        Duration::from_millis(self.revocation_ms.saturating_sub(self.revocation_ms / 25))
    }

    /// The age at which an unknown route or key may only be unknown yet.
    pub fn unverified_after(&self) -> Duration {
        Duration::from_millis(self.configuration_ms * 3 / 2)
    }

    /// How long changes gather between two watches of the store.
    pub fn gather(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 4).clamp(100, 1_000))
    }

    /// The age up to which what another node passes on of the store is enough: a node whose leader has lost the store
    /// must still hear of a change in time by asking the store itself.
    pub fn max_relay_age(&self) -> Duration {
        Duration::from_millis(self.configuration_ms.min(self.revocation_ms) * 13 / 20)
    }

    /// How long one watch of a leader waits, whose answers are proof for others too.
    pub fn leader_watch_wait(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 5).clamp(100, 1_000))
    }

    /// How long after a report a node waits for the next one's answer before it asks the store itself.
    pub fn relay_timeout(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 4).clamp(300, 900))
    }

    /// How long after its listing a node waits to be told by another node, before it watches the store itself. What it
    /// has listed is certain for as long; where nobody waits for it yet, it may wait for longer.
    pub fn initial_relay_timeout(&self, first_start: bool) -> Duration {
        let bound = self.configuration_ms.min(self.revocation_ms);
        if first_start { Duration::from_millis(bound) } else { Duration::from_millis(bound * 3 / 10) }
    }

    /// How long a snapshot of another node is waited for, and at most as long again: some reports, and with the longer bounds
    /// of large fleets some tenths of a second for a megabyte on a link of 20 Mbit/s. A change must come in time where
    /// nobody gives one.
    pub fn snapshot_timeout(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 5).clamp(200, 1_500))
    }

    /// How long a node that has nothing to tell may leave the node above without a report. What is told to it grows older by
    /// as much: a tenth of the bound leaves time for it on each of four levels, and is less than half of the time after which
    /// a node that is told nothing asks the store itself.
    pub fn idle_report_interval(&self) -> Duration {
        Duration::from_millis((self.configuration_ms / 10).clamp(200, 500))
    }

    /// How long one watch of the store waits: its answer is the proof that what is known is recent.
    pub fn watch_wait(&self) -> Duration {
        Duration::from_millis((self.revocation_ms * 2 / 5).clamp(200, 5_000))
    }
}
