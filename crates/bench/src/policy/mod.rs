//! The routing policies that experiments compare.

use std::{fmt, str::FromStr};

use paddlemount_core::routing::{Mechanisms, RouteRequest, RouterEvent, RouterSettings};
use paddlemount_protocol::{
    engine::{KvTransfer, Precondition},
    identity::{EngineId, ZoneId},
    time::Timestamp,
};
use serde::Serialize;

use self::{
    baseline::{LeastLoaded, RoundRobin, Sticky},
    prefix::PrefixPolicy,
};

mod baseline;
mod engine_table;
mod prefix;

/// The decision of a policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Choice {
    /// The engine's precondition; none if no engine can serve the request.
    pub precondition: Option<Precondition>,
    /// Cached state for the engine to import.
    pub import: Option<KvTransfer>,
}

/// A routing policy of one node.
pub trait Policy: Send {
    /// Applies an event that the node observed.
    fn observe(&mut self, event: RouterEvent<'_>, now: Timestamp);

    /// Chooses an engine.
    fn choose(&mut self, request: &RouteRequest<'_>, now: Timestamp) -> Choice;

    /// Engines whose feed has a gap that requires a snapshot.
    fn engines_to_resynchronise(&self) -> Vec<EngineId> {
        Vec::new()
    }
}

/// The name of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Round-robin.
    RoundRobin,
    /// The engine with the fewest requests, by its last report and the node's requests since.
    LeastLoaded,
    /// Rendezvous hashing on the first blocks of the prompt.
    Sticky,
    /// The product's router.
    Prefix,
    /// The product's cost function with exact and instant knowledge of all caches and queues.
    Oracle,
}

impl PolicyName {
    /// All policies, simplest first.
    pub const ALL: [Self; 5] =
        [Self::RoundRobin, Self::LeastLoaded, Self::Sticky, Self::Prefix, Self::Oracle];

    /// The name as written on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Sticky => "sticky",
            Self::Prefix => "prefix",
            Self::Oracle => "oracle",
        }
    }

    /// Whether all nodes share one policy with exact state.
    pub const fn has_exact_state(self) -> bool {
        matches!(self, Self::Oracle)
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// The error for an unknown policy name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no policy {0:?}; use one of round-robin, least-loaded, sticky, prefix, oracle")]
pub struct UnknownPolicy(pub String);

impl FromStr for PolicyName {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == text);
        found.ok_or_else(|| UnknownPolicy(text.to_owned()))
    }
}

/// Settings of a node's policy.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    pub name: PolicyName,
    pub zone: ZoneId,
    pub seed: u64,
    /// One-way delay to another zone.
    pub other_zone_ms: f64,
    /// Blocks that the policy `sticky` hashes.
    pub sticky_blocks: usize,
    /// Enabled mechanisms of the product's router.
    pub mechanisms: Mechanisms,
    /// Number of nodes that share the engines.
    pub nodes: u32,
}

/// Builds the policy of one node, with no knowledge of the engines.
pub fn build(settings: &PolicySettings) -> Box<dyn Policy> {
    match settings.name {
        PolicyName::RoundRobin => Box::new(RoundRobin::new(settings.seed)),
        PolicyName::LeastLoaded => Box::new(LeastLoaded::new(settings.seed)),
        PolicyName::Sticky => Box::new(Sticky::new(settings.sticky_blocks)),
        PolicyName::Prefix => Box::new(PrefixPolicy::new(router_settings(settings), settings.nodes)),
        PolicyName::Oracle => {
            let exact =
                RouterSettings { mechanisms: Mechanisms::with_exact_state(), ..router_settings(settings) };
            Box::new(PrefixPolicy::new(exact, 1))
        }
    }
}

fn router_settings(settings: &PolicySettings) -> RouterSettings {
    RouterSettings {
        other_zone_ms: settings.other_zone_ms,
        mechanisms: settings.mechanisms,
        ..RouterSettings::new(settings.zone.clone(), settings.seed)
    }
}
