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

/// Where a policy sends a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Choice {
    /// The engine with its precondition; none where no engine can serve the request.
    pub precondition: Option<Precondition>,
    /// Kept cache for it to import.
    pub import: Option<KvTransfer>,
}

/// One node's way of choosing an engine.
pub trait Policy: Send {
    /// Takes in what the node learned.
    fn observe(&mut self, event: RouterEvent<'_>, now: Timestamp);

    /// Chooses an engine.
    fn choose(&mut self, request: &RouteRequest<'_>, now: Timestamp) -> Choice;

    /// Engines whose feed has a gap that only a snapshot closes.
    fn engines_to_resynchronise(&self) -> Vec<EngineId> {
        Vec::new()
    }
}

/// The name of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Engines in turn.
    RoundRobin,
    /// The engine with the fewest requests, by the last report and what the node sent since.
    LeastLoaded,
    /// Rendezvous hashing on the prompt's opening alone.
    Sticky,
    /// The product's router.
    Prefix,
    /// The product's cost function with true and instant knowledge of all caches and queues.
    Oracle,
}

impl PolicyName {
    /// All policies, the simplest first.
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

    /// Whether all nodes act as one that knows the truth at once.
    pub const fn has_exact_state(self) -> bool {
        matches!(self, Self::Oracle)
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// No policy has the name.
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

/// What a node's policy is built from.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// The policy.
    pub name: PolicyName,
    /// The node's zone.
    pub zone: ZoneId,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// Milliseconds one way to another zone.
    pub other_zone_ms: f64,
    /// Blocks of the opening that `sticky` places by.
    pub sticky_blocks: usize,
    /// Mechanisms of the product's router.
    pub mechanisms: Mechanisms,
    /// Nodes that share the engines.
    pub nodes: u32,
}

/// Builds one node's policy, without any knowledge.
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
