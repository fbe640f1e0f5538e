//! Searches of the specifications of configuration and of lease with fence.

use paddlemount_specs::{
    SearchReport, Specification,
    configuration::{ConfigurationFault, ConfigurationSpecification},
    lease::{LeaseFault, LeaseSpecification},
    search,
};

fn run<S: Specification + std::fmt::Debug>(specification: &S) -> SearchReport {
    let report = search(specification);
    println!("{specification:?}: {} states in {:?}", report.states, report.took);
    if let Some(counterexample) = &report.counterexample {
        println!("{counterexample}");
    }
    report
}

fn sound<S: Specification + std::fmt::Debug>(specification: &S) {
    let report = run(specification);
    assert!(report.counterexample.is_none());
    assert!(report.states > 1_000);
}

fn broken<S: Specification + std::fmt::Debug>(specification: &S, promise: &str) {
    let report = run(specification);
    let counterexample = report.counterexample.expect("the search must catch the fault");
    assert!(counterexample.violation.contains(promise), "{counterexample}");
}

#[test]
fn configuration_holds_in_every_state() {
    sound(&ConfigurationSpecification { fault: ConfigurationFault::None, failures: 3 });
}

#[test]
fn a_put_without_compare_is_caught() {
    let fault = ConfigurationFault::PutWithoutCompare;
    broken(&ConfigurationSpecification { fault, failures: 1 }, "one is refused");
}

#[test]
fn a_lost_reply_taken_as_nothing_done_is_caught() {
    let fault = ConfigurationFault::LostReplyMeansNothingDone;
    broken(&ConfigurationSpecification { fault, failures: 2 }, "a refused change is not made");
}

#[test]
fn lease_and_fence_hold_in_every_state() {
    sound(&LeaseSpecification::with_fault(LeaseFault::None));
}

#[test]
fn an_engine_without_a_fence_is_caught() {
    broken(&LeaseSpecification::with_fault(LeaseFault::NoFence), "earlier holder");
}

#[test]
fn an_order_for_any_life_is_caught() {
    broken(&LeaseSpecification::with_fault(LeaseFault::OrdersForAnyLife), "earlier holder");
}

#[test]
fn tokens_rise_over_a_return_of_the_store_from_a_copy() {
    sound(&LeaseSpecification::with_restore(LeaseFault::None));
}

#[test]
fn tokens_that_are_the_stores_numbers_alone_are_caught() {
    broken(&LeaseSpecification::with_restore(LeaseFault::NumbersAlone), "no two holders have one token");
}
