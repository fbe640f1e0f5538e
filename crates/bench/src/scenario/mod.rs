//! Scenario files in TOML, which describe what an experiment simulates.
//!
//! Keys carry their unit in the name. Unknown keys, missing keys and values out of range are refused with an
//! error that names the key and its valid values.

use std::path::{Path, PathBuf};

use paddlemount_standins::engine::settings::EngineSpeedSettings;
use serde::Deserialize;

pub use self::{
    bundled::BUNDLED,
    fault::{Fault, FaultEvent},
    workload::{Answers, Arrivals, PrefixLevel, Prefixes, TenantGroup},
};

mod bundled;
mod check;
mod fault;
mod workload;

/// One simulated scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub description: String,
    /// Duration of a run.
    pub run: Run,
    /// Regions, zones and their distances.
    pub places: Topology,
    pub runners: Runners,
    /// The router nodes.
    pub nodes: Nodes,
    /// Delay and loss of what nodes observe of engines.
    pub reports: Reports,
    /// Groups of equal tenants.
    pub tenants: Vec<TenantGroup>,
    /// Shared prefixes of the prompts.
    pub prefixes: Prefixes,
    /// Arrival rate.
    pub arrivals: Arrivals,
    /// Length of the answers.
    pub answers: Answers,
    /// Settings of the compared policies.
    #[serde(default)]
    pub policies: Policies,
    /// Limits that nodes enforce.
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Duration of a run.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Seconds before the measurement, for caches to fill.
    pub warm_up_s: f64,
    /// Seconds of measurement; only requests that arrive within them count.
    pub measured_s: f64,
}

/// Regions, zones and their distances.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    pub regions: usize,
    /// Zones of each region.
    pub zones_per_region: usize,
    /// One-way delay between a caller and a node.
    pub caller_ms: f64,
    /// One-way delay within a zone.
    pub within_zone_ms: f64,
    /// One-way delay between zones of a region.
    pub between_zones_ms: f64,
    /// One-way delay between regions.
    pub between_regions_ms: f64,
    /// Maximum extra delay, as a share of the delay.
    pub jitter: f64,
}

/// The engines, which are all alike.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runners {
    /// Spread evenly over the zones.
    pub count: usize,
    /// Speed and capacity of each engine, with the keys of the stand-in's settings.
    pub speed: EngineSpeedSettings,
}

/// The router nodes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Spread evenly over the zones.
    pub count: usize,
    /// Maximum number of attempts of a request.
    pub attempts: u32,
    /// Seconds after which an engine drops a waiting request.
    pub deadline_s: f64,
}

/// Delay and loss of what nodes observe of engines.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Delay of an engine's load report.
    pub load_lag_ms: f64,
    /// Interval of a node's status requests to an engine.
    pub status_interval_ms: f64,
    /// Number of nodes that read the feed of one engine.
    pub feed_readers: usize,
    /// Interval between two reads of an engine's feed.
    pub feed_interval_ms: f64,
    /// Delay from a cache change until its event can be read.
    pub event_delay_ms: f64,
    /// Share of cache events that are lost.
    pub event_loss: f64,
    /// Minimum interval between two snapshots of one engine by one node.
    pub snapshot_interval_ms: f64,
}

/// Settings of the compared policies.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Number of leading prompt blocks that the policy `sticky` hashes.
    pub sticky_blocks: usize,
    /// The pool's weight between tail latency (0.0) and cache reuse (1.0).
    pub reuse_weight: f64,
}

impl Default for Policies {
    fn default() -> Self {
        Self { sticky_blocks: 32, reuse_weight: 0.5 }
    }
}

/// Limits that nodes enforce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Whether nodes enforce admission (fair shares, bounded queues, load shedding) and the retry budget.
    pub enforced: bool,
    /// Queueing delay at the engines above which a node sends less; none for the node's default.
    pub target_queueing_ms: Option<f64>,
    /// Share of a node's concurrency that is reserved for tenants below their share; none for the node's
    /// default.
    pub reserved_part: Option<f64>,
}

/// An error while loading a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    #[error("there is no bundled scenario {name:?}; use one of {}, or a path that ends in .toml", names())]
    UnknownName { name: String },
    #[error("cannot read the scenario {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("scenario {origin}: {message}")]
    Malformed {
        origin: String,
        /// Line, key and what is expected there.
        message: String,
    },
    #[error("scenario {origin}: {key} = {value} is not usable; give {expected}")]
    OutOfRange {
        origin: String,
        /// The key with its tables.
        key: String,
        value: String,
        /// The valid values.
        expected: &'static str,
    },
}

fn names() -> String {
    BUNDLED.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ")
}

impl Scenario {
    /// Loads a bundled scenario by name, or a file whose path ends in `.toml`.
    pub fn load(name_or_path: &str) -> Result<Self, ScenarioError> {
        if name_or_path.ends_with(".toml") {
            return Self::read(Path::new(name_or_path));
        }
        let Some((_, text)) = BUNDLED.iter().find(|(name, _)| *name == name_or_path) else {
            return Err(ScenarioError::UnknownName { name: name_or_path.to_owned() });
        };
        Self::parse(name_or_path, text)
    }

    fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Reads a scenario from text; `origin` names the text in errors.
    pub fn parse(origin: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|error| ScenarioError::Malformed {
            origin: origin.to_owned(),
            message: error.to_string(),
        })?;
        check::check(origin, &scenario)?;
        Ok(scenario)
    }

    /// Zones over all regions.
    pub const fn zones(&self) -> usize {
        self.places.regions * self.places.zones_per_region
    }
}
