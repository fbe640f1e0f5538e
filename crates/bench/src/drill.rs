//! Drills run a simulated cluster under faults and check invariants on what happened.
//!
//! Nodes run `core`'s state machines (membership, configuration, routing, requests, claims, lease,
//! placement); engines, the store and the booking service are the models of the stand-ins; time and network
//! are simulated. A run is determined by its seed. A violation is printed with the events that explain it and
//! the command that reproduces it.

mod bookings;
mod callers;
mod cluster;
pub mod command;
mod delivery;
mod engines;
mod event;
mod faults;
mod history;
mod invariants;
mod models;
mod node;
mod peers;
mod placement;
mod settings;
mod store;

use std::{
    ops::Range,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use serde::Serialize;

pub use history::{History, Invariant, Violation};
pub use settings::{Breakage, Drill, Fault, RunSettings, UnknownDrill};

/// An invariant that a run violated, with the events that explain it.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    pub drill: String,
    pub seed: u64,
    /// The violated invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// What was observed.
    #[serde(rename = "what")]
    pub description: String,
    pub trace: Vec<String>,
    /// The command that reproduces the run.
    #[serde(rename = "repeat")]
    pub reproduce_command: String,
}

/// Totals of a series of runs, printed as the last line.
#[derive(Clone, Debug, Serialize)]
pub struct DrillSummary {
    pub drills: usize,
    pub runs: usize,
    /// Runs with at least one violation.
    pub violations: usize,
    /// Wall-clock seconds.
    pub seconds: f64,
}

/// Runs one drill with one seed and returns at most one failure per invariant.
pub fn run(settings: &RunSettings) -> Vec<Failure> {
    let history = cluster::SimCluster::new(settings.clone()).run();
    let mut failures: Vec<Failure> = Vec::new();
    for violation in &history.violations {
        if failures.iter().all(|failure| failure.invariant != violation.invariant) {
            failures.push(failure(settings, &history, violation));
        }
    }
    failures
}

fn failure(settings: &RunSettings, history: &History, violation: &Violation) -> Failure {
    let (drill, seed) = (settings.drill.name.clone(), settings.seed);
    let reproduce_command = format!("paddlemount bench drill {drill} --seeds {seed}..{}", seed + 1);
    let (invariant, description) = (violation.invariant, violation.description.clone());
    Failure { drill, seed, invariant, description, trace: history.explain(violation), reproduce_command }
}

/// Runs each drill with each seed on up to `threads` threads. Failures are ordered by drill and seed.
pub fn run_all(
    drills: &[Drill],
    seeds: Range<u64>,
    breakage: Breakage,
    threads: usize,
) -> (Vec<Failure>, DrillSummary) {
    let started = Instant::now();
    let mut runs = Vec::new();
    for drill in drills {
        runs.extend(seeds.clone().map(|seed| RunSettings { drill: drill.clone(), seed, breakage }));
    }
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some((number, settings)) = take_next(&runs, &next) {
                    let failures = run(settings);
                    if !failures.is_empty() {
                        results.lock().unwrap_or_else(PoisonError::into_inner).push((number, failures));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(number, _)| *number);
    let summary = DrillSummary {
        drills: drills.len(),
        runs: runs.len(),
        violations: results.len(),
        seconds: started.elapsed().as_secs_f64(),
    };
    (results.into_iter().flat_map(|(_, failures)| failures).collect(), summary)
}

fn take_next<'a>(runs: &'a [RunSettings], next: &AtomicUsize) -> Option<(usize, &'a RunSettings)> {
    let number = next.fetch_add(1, Ordering::Relaxed);
    runs.get(number).map(|settings| (number, settings))
}
