//! Drills: no promise breaks under a fixed range of seeds, and each breaks where its mechanism is off.

use paddlemount_bench::drill::{Breakage, Drill, Invariant, RunSettings, run, run_all};

const SEEDS: u64 = 4;
const BROKEN_SEEDS: u64 = 24;
const THREADS: usize = 4;

#[test]
fn no_promise_breaks() {
    let (failures, summary) = run_all(&Drill::all(), 0..SEEDS, Breakage::None, THREADS);
    for failure in &failures {
        println!("{failure:#?}");
    }
    assert_eq!((summary.violations, summary.runs as u64), (0, summary.drills as u64 * SEEDS));
}

/// Seeds of this drill that broke the promise, each for a cause of its own.
#[test]
fn a_herd_that_restarts_in_an_outage_serves_at_once() {
    let drill: Drill = "herd-restart+store-outage".parse().expect("a drill");
    for seed in [1, 14, 25, 51] {
        let (failures, _) = run_all(std::slice::from_ref(&drill), seed..seed + 1, Breakage::None, 1);
        assert!(failures.is_empty(), "{failures:#?}");
    }
}

#[test]
fn one_seed_gives_one_run() {
    let settings = |seed| RunSettings {
        drill: "engine-crash+late-answers".parse().expect("a drill"),
        seed,
        breakage: Breakage::FramesOfAnyAttempt,
    };
    for seed in 0..4 {
        assert_eq!(format!("{:?}", run(&settings(seed))), format!("{:?}", run(&settings(seed))));
    }
}

/// Some seed of the drill breaks the promise once the mechanism is off.
fn caught(breakage: Breakage, drill: &str, invariant: Invariant) {
    let drill: Drill = drill.parse().expect("a drill");
    let (failures, _) = run_all(&[drill], 0..BROKEN_SEEDS, breakage, THREADS);
    let failure = failures.iter().find(|failure| failure.invariant == invariant);
    let failure = failure.unwrap_or_else(|| panic!("{breakage:?} is not caught; seen: {failures:#?}"));
    println!("{breakage:?}: seed {}: {}", failure.seed, failure.what);
    assert!(!failure.trace.is_empty() && failure.repeat.contains("paddlemount bench drill"));
}

#[test]
fn requests_without_preconditions_are_caught() {
    caught(Breakage::NoPreconditions, "engine-crash+rollout", Invariant::CacheBoundary);
}

#[test]
fn a_break_taken_as_the_end_is_caught() {
    caught(Breakage::BreakIsEnd, "engine-crash", Invariant::WholeStream);
}

#[test]
fn a_node_that_learns_from_the_store_alone_is_caught() {
    caught(Breakage::NoLearningFromPeers, "node-crash+store-outage", Invariant::ServesAfterRestart);
}

#[test]
fn frames_of_any_try_are_caught() {
    caught(Breakage::FramesOfAnyAttempt, "engine-crash+late-answers", Invariant::OwnAnswer);
}

#[test]
fn an_unclear_ending_reported_as_not_run_is_caught() {
    caught(Breakage::UnclearIsNotRun, "lost-replies", Invariant::NotRunIsTrue);
}

#[test]
fn bookings_without_claims_are_caught() {
    caught(Breakage::NoClaims, "lost-replies", Invariant::AtMostOnce);
}

#[test]
fn a_fresh_replica_that_grants_old_keys_is_caught() {
    caught(Breakage::FreshReplicaGrantsOldKeys, "herd-restart+lost-replies", Invariant::AtMostOnce);
}

#[test]
fn an_ignored_machine_list_is_caught() {
    caught(Breakage::LeavingIgnored, "leaving-engine", Invariant::LeavingGetsNothing);
}

#[test]
fn a_stop_that_does_not_wait_is_caught() {
    caught(Breakage::StopDoesNotWait, "planned-stop", Invariant::StopCutsNothing);
}

#[test]
fn a_put_without_compare_is_caught() {
    caught(Breakage::PutWithoutCompare, "racing-operators", Invariant::ConfigurationStays);
}

#[test]
fn a_node_that_serves_unconfirmed_is_caught() {
    caught(Breakage::ServesUnconfirmed, "zone-cut", Invariant::ConfigurationStays);
}
