//! Model checking of the configuration and of leases with fencing, with and without deliberate faults.

use paddlemount_specs::{
    SearchReport, Specification,
    configuration::{ConfigurationFault, ConfigurationSpecification},
    lease::{LeaseFault, LeaseSpecification},
    search,
};

fn run<S: Specification + std::fmt::Debug>(specification: &S) -> SearchReport {
    let report = search(specification);
    println!("{specification:?}: {} states in {:?}", report.states, report.elapsed);
    if let Some(counterexample) = &report.counterexample {
        println!("{counterexample}");
    }
    report
}

fn assert_holds<S: Specification + std::fmt::Debug>(specification: &S) {
    let report = run(specification);
    assert!(report.counterexample.is_none());
    assert!(report.states > 1_000);
}

fn assert_detected<S: Specification + std::fmt::Debug>(specification: &S, invariant: &str) {
    let report = run(specification);
    let counterexample = report.counterexample.expect("the search must detect the fault");
    assert!(counterexample.violation.contains(invariant), "{counterexample}");
}

#[test]
fn configuration_holds_in_every_state() {
    assert_holds(&ConfigurationSpecification { fault: ConfigurationFault::None, failures: 3 });
}

#[test]
fn a_put_without_compare_is_detected() {
    let fault = ConfigurationFault::PutWithoutCompare;
    assert_detected(&ConfigurationSpecification { fault, failures: 1 }, "one is refused");
}

#[test]
fn a_lost_reply_treated_as_not_applied_is_detected() {
    let fault = ConfigurationFault::LostReplyMeansNotApplied;
    assert_detected(&ConfigurationSpecification { fault, failures: 2 }, "a refused change is not made");
}

#[test]
fn lease_and_fence_hold_in_every_state() {
    assert_holds(&LeaseSpecification::with_fault(LeaseFault::None));
}

#[test]
fn an_engine_without_a_fence_is_detected() {
    assert_detected(&LeaseSpecification::with_fault(LeaseFault::NoFence), "earlier holder");
}

#[test]
fn an_order_for_any_incarnation_is_detected() {
    assert_detected(&LeaseSpecification::with_fault(LeaseFault::OrdersForAnyIncarnation), "earlier holder");
}

#[test]
fn tokens_rise_over_a_return_of_the_store_from_a_copy() {
    assert_holds(&LeaseSpecification::with_restore(LeaseFault::None));
}

#[test]
fn tokens_without_the_stores_era_are_detected() {
    assert_detected(
        &LeaseSpecification::with_restore(LeaseFault::TokensWithoutEra),
        "no two holders have one token",
    );
}
