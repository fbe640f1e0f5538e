//! Drills: a simulated cluster under faults, judged against what must always hold.
//!
//! Nodes run `core`'s own state machines (membership, configuration, routing, requests, claims, lease,
//! placement); engines, store and booking service are the stand-ins' models; time and network are simulated.
//! One seed gives one run. A broken promise is printed with the events that explain it and the command
//! that repeats it.

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

/// A broken promise of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// The drill.
    pub drill: String,
    /// The seed.
    pub seed: u64,
    /// The promise.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// What was seen.
    pub what: String,
    /// The events that explain it.
    pub trace: Vec<String>,
    /// The command that repeats the run.
    pub repeat: String,
}

/// The last line of a report.
#[derive(Clone, Debug, Serialize)]
pub struct DrillSummary {
    /// Drills.
    pub drills: usize,
    /// Runs.
    pub runs: usize,
    /// Runs that broke a promise.
    pub violations: usize,
    /// Seconds that it took.
    pub seconds: f64,
}

/// Runs one drill under one seed; at most one failure for each promise.
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
    let repeat = format!("paddlemount bench drill {drill} --seeds {seed}..{}", seed + 1);
    let (invariant, what) = (violation.invariant, violation.what.clone());
    Failure { drill, seed, invariant, what, trace: history.explain(violation), repeat }
}

/// Runs drills under all seeds on some threads; failures come in the order of drills and seeds.
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
