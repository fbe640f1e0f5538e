//! Model checking of the relaying of the store's state between nodes, with and without deliberate faults.

use paddlemount_specs::{
    relay::{RelayFault, RelaySpecification},
    search,
};

#[test]
fn a_relayed_proof_is_never_too_recent() {
    let report = search(&RelaySpecification::with_fault(RelayFault::None));
    assert!(report.counterexample.is_none(), "{:?}", report.counterexample);
    assert!(report.states > 10_000, "{} states", report.states);
}

#[test]
fn a_snapshot_for_a_starting_node_is_never_too_recent() {
    let report = search(&RelaySpecification::with_restart(RelayFault::None));
    assert!(report.counterexample.is_none(), "{:?}", report.counterexample);
    assert!(report.states > 10_000, "{} states", report.states);
}

#[test]
fn a_snapshot_that_counts_from_its_arrival_is_detected() {
    let report = search(&RelaySpecification::with_restart(RelayFault::SnapshotCountsFromArrival));
    assert!(report.counterexample.is_some());
}

#[test]
fn a_proof_that_counts_from_the_digests_arrival_is_detected() {
    let report = search(&RelaySpecification::with_fault(RelayFault::CountsFromArrival));
    assert!(report.counterexample.is_some());
}

#[test]
fn a_digest_applied_after_the_revision_has_changed_is_detected() {
    let report = search(&RelaySpecification::with_fault(RelayFault::AppliesAnyDigest));
    assert!(report.counterexample.is_some());
}
