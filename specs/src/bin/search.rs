//! Searches with wider bounds than in the tests: `cargo run --release -p paddlemount-specs --bin search`.

use paddlemount_specs::{
    Specification,
    claims::{ClaimsFault, ClaimsSpecification},
    configuration::{ConfigurationFault, ConfigurationSpecification},
    lease::{LeaseFault, LeaseSpecification},
    search,
};

fn main() {
    let configuration = ConfigurationSpecification { fault: ConfigurationFault::None, failures: 4 };
    report("configuration", &configuration);
    let lease = LeaseSpecification { last_second: 4, ..LeaseSpecification::with_fault(LeaseFault::None) };
    report("lease and fence", &lease);
    let sound = ClaimsSpecification::with_fault(ClaimsFault::None);
    report("claims, late outcomes", &ClaimsSpecification { late_outcomes: true, restarts: 1, ..sound });
    for key_second in [3, 4] {
        let wide = ClaimsSpecification { last_second: 4, key_second, restarts: 2, ..sound };
        report(&format!("claims, key of second {key_second}"), &wide);
    }
}

fn report<S: Specification>(name: &str, specification: &S) {
    let report = search(specification);
    println!("{name}: {} states in {:.1} s", report.states, report.elapsed.as_secs_f64());
    if let Some(counterexample) = report.counterexample {
        println!("{counterexample}");
    }
}
