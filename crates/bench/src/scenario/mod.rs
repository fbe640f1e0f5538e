//! Scenario files: what an experiment simulates, in TOML.
//!
//! Every key has a unit in its name. Unknown keys, missing keys and values out of range are refused
//! with an error that names the key and what it may hold.

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

/// One simulated situation.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// For people.
    pub description: String,
    /// How long the run is.
    pub run: Run,
    /// Regions, zones and their distances.
    pub places: Topology,
    /// The model engines.
    pub runners: Runners,
    /// The router nodes.
    pub nodes: Nodes,
    /// How late and how incomplete the nodes' knowledge is.
    pub reports: Reports,
    /// Tenants, in groups of equal ones.
    pub tenants: Vec<TenantGroup>,
    /// The prompts' shared openings.
    pub prefixes: Prefixes,
    /// How many requests arrive.
    pub arrivals: Arrivals,
    /// How long the answers are.
    pub answers: Answers,
    /// Settings of the compared policies.
    #[serde(default)]
    pub policies: Policies,
    /// The limits that nodes enforce.
    #[serde(default)]
    pub limits: Limits,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// How long the run is.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Seconds before measurement begins, for caches to fill.
    pub warm_up_s: f64,
    /// Seconds of measurement; requests that arrive within them count.
    pub measured_s: f64,
}

/// Regions, zones and their distances.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Regions.
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
    /// Added to each delay at most, as a share of it.
    pub jitter: f64,
}

/// The model engines; all alike.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runners {
    /// Engines, spread evenly over the zones.
    pub count: usize,
    /// How fast each works and how much it holds; also keys of the stand-in's settings.
    pub speed: EngineSpeedSettings,
}

/// The router nodes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Nodes, spread evenly over the zones.
    pub count: usize,
    /// Tries of one request at most, the first included.
    pub attempts: u32,
    /// Seconds after which an engine drops a request that still waits.
    pub deadline_s: f64,
}

/// How late and how incomplete the nodes' knowledge is.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Milliseconds by which an engine's load report lags behind its load.
    pub load_lag_ms: f64,
    /// Milliseconds between two status requests of a node to an engine.
    pub status_interval_ms: f64,
    /// Nodes that read the event feed of one engine.
    pub feed_readers: usize,
    /// Milliseconds between two reads of an engine's event feed.
    pub feed_interval_ms: f64,
    /// Milliseconds from a change of a cache until its event can be read.
    pub event_delay_ms: f64,
    /// The share of cache events that are lost.
    pub event_loss: f64,
    /// Milliseconds between two snapshots of one engine by one node, after gaps in its feed.
    pub snapshot_interval_ms: f64,
}

/// Settings of the compared policies.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Blocks of the prompt's opening that the policy `sticky` places by.
    pub sticky_blocks: usize,
    /// The pool's weight between tail time to first token (0.0) and reuse (1.0).
    pub reuse_weight: f64,
}

impl Default for Policies {
    fn default() -> Self {
        Self { sticky_blocks: 32, reuse_weight: 0.5 }
    }
}

/// The limits that nodes enforce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Whether nodes apply admission: fair shares, bounded queues, shedding and the retry budget.
    pub enforced: bool,
    /// Queueing at the engines above which a node sends less; the node's default where absent.
    pub target_queueing_ms: Option<f64>,
    /// Part of a node's requests in flight that is kept for tenants below their share; the node's default where absent.
    pub reserved_part: Option<f64>,
}

/// Why a scenario can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// No bundled scenario has the name.
    #[error("there is no bundled scenario {name:?}; use one of {}, or a path that ends in .toml", names())]
    UnknownName {
        /// The name.
        name: String,
    },
    /// The file can't be read.
    #[error("cannot read the scenario {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text isn't a scenario.
    #[error("scenario {place}: {message}")]
    Malformed {
        /// The scenario's name or path.
        place: String,
        /// Line, key and what is expected there.
        message: String,
    },
    /// A value is out of range.
    #[error("scenario {place}: {key} = {value} is not usable; give {expected}")]
    OutOfRange {
        /// The scenario's name or path.
        place: String,
        /// The key with its tables.
        key: String,
        /// The value found.
        value: String,
        /// What the key may hold.
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

    /// Reads a scenario from text; `place` names the text in errors.
    pub fn parse(place: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|error| ScenarioError::Malformed {
            place: place.to_owned(),
            message: error.to_string(),
        })?;
        check::check(place, &scenario)?;
        Ok(scenario)
    }

    /// Zones over all regions.
    pub const fn zones(&self) -> usize {
        self.places.regions * self.places.zones_per_region
    }
}
