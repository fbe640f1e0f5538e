//! Drills: no invariant is violated for a range of seeds, and each disabled mechanism is detected.

use paddlemount_bench::drill::{Breakage, Drill, Invariant, RunSettings, run, run_all};

/// Seeds of each drill.
const SEEDS: u64 = 4;
/// Seeds within which a disabled mechanism must be detected.
const BREAKAGE_SEEDS: u64 = 24;
const THREADS: usize = 4;

#[test]
fn no_invariant_is_violated() {
    let (failures, summary) = run_all(&Drill::all(), 0..SEEDS, Breakage::None, THREADS);
    for failure in &failures {
        println!("{failure:#?}");
    }
    assert_eq!((summary.violations, summary.runs as u64), (0, summary.drills as u64 * SEEDS));
}

/// Regression seeds: each violated an invariant for a different cause.
#[test]
fn nodes_restarted_together_in_an_outage_serve_without_delay() {
    let drill: Drill = "herd-restart+store-outage".parse().expect("a drill");
    for seed in [1, 14, 25, 51] {
        let (failures, _) = run_all(std::slice::from_ref(&drill), seed..seed + 1, Breakage::None, 1);
        assert!(failures.is_empty(), "{failures:#?}");
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let settings = |seed| RunSettings {
        drill: "engine-crash+late-answers".parse().expect("a drill"),
        seed,
        breakage: Breakage::FramesOfAnyAttempt,
    };
    for seed in 0..4 {
        assert_eq!(format!("{:?}", run(&settings(seed))), format!("{:?}", run(&settings(seed))));
    }
}

/// Asserts that some seed violates the invariant while the mechanism is disabled.
fn assert_detected(breakage: Breakage, drill: &str, invariant: Invariant) {
    let drill: Drill = drill.parse().expect("a drill");
    let (failures, _) = run_all(&[drill], 0..BREAKAGE_SEEDS, breakage, THREADS);
    let failure = failures.iter().find(|failure| failure.invariant == invariant);
    let failure = failure.unwrap_or_else(|| panic!("{breakage:?} is not detected; found: {failures:#?}"));
    println!("{breakage:?}: seed {}: {}", failure.seed, failure.description);
    assert!(!failure.trace.is_empty() && failure.reproduce_command.contains("paddlemount bench drill"));
}

#[test]
fn missing_preconditions_are_detected() {
    assert_detected(Breakage::NoPreconditions, "engine-crash+rollout", Invariant::CacheBoundary);
}

#[test]
fn a_broken_connection_taken_as_the_end_is_detected() {
    assert_detected(Breakage::BreakIsEnd, "engine-crash", Invariant::WholeStream);
}

#[test]
fn a_node_that_ignores_peers_is_detected() {
    assert_detected(Breakage::NoLearningFromPeers, "node-crash+store-outage", Invariant::ServesAfterRestart);
}

#[test]
fn frames_of_other_attempts_are_detected() {
    assert_detected(Breakage::FramesOfAnyAttempt, "engine-crash+late-answers", Invariant::OwnAnswer);
}

#[test]
fn an_unknown_outcome_reported_as_not_run_is_detected() {
    assert_detected(Breakage::UnclearIsNotRun, "lost-replies", Invariant::NotRunIsTrue);
}

#[test]
fn bookings_without_claims_are_detected() {
    assert_detected(Breakage::NoClaims, "lost-replies", Invariant::AtMostOnce);
}

#[test]
fn a_new_replica_that_grants_old_keys_is_detected() {
    assert_detected(Breakage::FreshReplicaGrantsOldKeys, "herd-restart+lost-replies", Invariant::AtMostOnce);
}

#[test]
fn an_ignored_machine_list_is_detected() {
    assert_detected(Breakage::DrainingIgnored, "leaving-engine", Invariant::LeavingGetsNothing);
}

#[test]
fn a_stop_that_does_not_wait_is_detected() {
    assert_detected(Breakage::StopDoesNotWait, "planned-stop", Invariant::StopCutsNothing);
}

#[test]
fn a_put_without_compare_is_detected() {
    assert_detected(Breakage::PutWithoutCompare, "racing-operators", Invariant::ConfigurationStays);
}

#[test]
fn a_node_that_serves_unconfirmed_is_detected() {
    assert_detected(Breakage::ServesUnconfirmed, "zone-cut", Invariant::ConfigurationStays);
}
