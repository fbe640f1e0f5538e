//! Searches of the specification of the store's answers passed on between nodes.

use paddlemount_specs::{
    relay::{RelayFault, RelaySpecification},
    search,
};

#[test]
fn a_relayed_proof_is_never_too_young() {
    let report = search(&RelaySpecification::with_fault(RelayFault::None));
    assert!(report.counterexample.is_none(), "{:?}", report.counterexample);
    assert!(report.states > 10_000, "{} states", report.states);
}

#[test]
fn a_node_that_starts_with_an_old_listing_claims_nothing_until_it_is_told() {
    let report = search(&RelaySpecification::with_restart(RelayFault::None));
    assert!(report.counterexample.is_none(), "{:?}", report.counterexample);
    assert!(report.states > 10_000, "{} states", report.states);
}

#[test]
fn an_old_listing_that_counts_as_proof_is_noticed() {
    let report = search(&RelaySpecification::with_restart(RelayFault::StaleListingProves));
    assert!(report.counterexample.is_some());
}

#[test]
fn a_proof_that_counts_from_the_digests_arrival_is_noticed() {
    let report = search(&RelaySpecification::with_fault(RelayFault::CountsFromArrival));
    assert!(report.counterexample.is_some());
}

#[test]
fn a_digest_taken_after_the_store_has_told_more_is_noticed() {
    let report = search(&RelaySpecification::with_fault(RelayFault::TakesAnyDigest));
    assert!(report.counterexample.is_some());
}
