//! Faults of a scenario.

use serde::Deserialize;

/// A fault at a given time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds since the start, including warm-up.
    pub at_s: f64,
    pub event: FaultEvent,
}

/// A kind of fault.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultEvent {
    /// Engines crash and restart with an empty cache, as a new incarnation.
    EngineCrash {
        /// Indices of the engines, from 0.
        engines: Vec<usize>,
        /// Seconds until they restart.
        down_s: f64,
    },
    /// Nodes restart without state; callers retry their requests at other nodes.
    NodeRestart {
        /// Indices of the nodes, from 0; all if empty.
        #[serde(default)]
        nodes: Vec<usize>,
    },
    /// The popularity of all prefixes is redrawn.
    PrefixShift {},
    /// The loss of cache events changes.
    EventLoss {
        /// Share of lost events.
        share: f64,
    },
}
