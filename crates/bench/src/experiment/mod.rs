//! Experiments in virtual time: the router's decision logic in front of simulated engines.

use std::{
    fmt,
    str::FromStr,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use paddlemount_core::routing::Mechanisms;

use self::{cluster::Cluster, metrics::PolicyResult};
use crate::{policy::PolicyName, scenario::Scenario};

mod cluster;
mod engines;
mod event;
pub mod metrics;
mod nodes;
mod observation;
mod overload;
pub mod recovery;
pub mod summary;
pub mod workload;

/// Settings of one run: a scenario with one policy and one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSettings {
    /// The scenario's name or path, for the result.
    pub scenario: String,
    pub policy: PolicyName,
    /// The same scenario, policy and seed give the same result.
    pub seed: u64,
    /// Disabled mechanisms of the router.
    pub without: Vec<Mechanism>,
}

impl RunSettings {
    /// The mechanisms that remain enabled.
    pub(crate) fn mechanisms(&self) -> Mechanisms {
        let mut mechanisms = Mechanisms::default();
        for mechanism in &self.without {
            mechanism.switch_off(&mut mechanisms);
        }
        mechanisms
    }
}

/// A mechanism of the router that an experiment can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Replication of hot prefixes.
    HeatCopies,
    /// The node's own in-flight requests, added to a load report.
    OwnInFlight,
    /// Preferred engines of prefixes that no engine is known to hold.
    Anchors,
    /// Event feeds and snapshots.
    Feeds,
    /// Cache state inferred from answers and from the node's own dispatches.
    Answers,
    /// Expected eviction of unused prefixes.
    ExpectedEviction,
    /// Random choice among engines of nearly equal cost.
    NearEquals,
    /// Import from the cache store.
    Import,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 8] = [
        Self::HeatCopies,
        Self::OwnInFlight,
        Self::Anchors,
        Self::Feeds,
        Self::Answers,
        Self::ExpectedEviction,
        Self::NearEquals,
        Self::Import,
    ];

    /// The name as written on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::HeatCopies => "heat-copies",
            Self::OwnInFlight => "own-in-flight",
            Self::Anchors => "anchors",
            Self::Feeds => "feeds",
            Self::Answers => "answers",
            Self::ExpectedEviction => "expected-eviction",
            Self::NearEquals => "near-equals",
            Self::Import => "import",
        }
    }

    const fn switch_off(self, mechanisms: &mut Mechanisms) {
        match self {
            Self::HeatCopies => mechanisms.replicate_hot_prefixes = false,
            Self::OwnInFlight => mechanisms.own_in_flight = false,
            Self::Anchors => mechanisms.preferred_engines = false,
            Self::Feeds => mechanisms.feeds = false,
            Self::Answers => mechanisms.answers = false,
            Self::ExpectedEviction => mechanisms.expected_eviction = false,
            Self::NearEquals => mechanisms.near_equals = false,
            Self::Import => mechanisms.import = false,
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

/// The error for an unknown mechanism name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "there is no mechanism {0:?}; use one of heat-copies, own-in-flight, anchors, feeds, answers, \
     expected-eviction, near-equals, import"
)]
pub struct UnknownMechanism(pub String);

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|mechanism| mechanism.as_str() == text);
        found.ok_or_else(|| UnknownMechanism(text.to_owned()))
    }
}

/// Runs one experiment to its end.
pub fn run(scenario: &Scenario, settings: &RunSettings) -> PolicyResult {
    Cluster::new(scenario, settings).run()
}

/// Runs several experiments on at most `threads` threads. The results are in the order of `runs`.
pub fn run_all(scenario: &Scenario, runs: &[RunSettings], threads: usize) -> Vec<PolicyResult> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let position = next.fetch_add(1, Ordering::Relaxed);
            let Some(settings) = runs.get(position) else { return done };
            done.push((position, run(scenario, settings)));
        }
    };
    let mut results: Vec<(usize, PolicyResult)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.clamp(1, runs.len().max(1))).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    });
    results.sort_by_key(|(position, _)| *position);
    results.into_iter().map(|(_, result)| result).collect()
}
