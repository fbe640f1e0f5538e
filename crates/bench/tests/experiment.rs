//! Experiments: reproducible runs, correct counts, and the oracle as an upper bound.

use paddlemount_bench::{
    experiment::{
        self, Mechanism, RunSettings,
        metrics::{PolicyResult, PrefillSample, SecondResult},
        recovery::Recovery,
        summary,
    },
    policy::PolicyName,
    scenario::Scenario,
};

/// Tokens of the shared prefix of [`TINY`].
const SHARED_TOKENS: u64 = 10 * 64;
/// Tokens that are unique to a request.
const OWN_TOKENS: u64 = 64;

/// Two engines whose caches hold everything, one node, one prefix, and a request every two seconds on
/// average.
const TINY: &str = r#"
description = "two engines, one prefix"
tenants = [{ name = "only", traffic = 1.0 }]
run = { warm_up_s = 0.0, measured_s = 60.0 }
arrivals = { requests_per_second = 0.5 }
answers = { mean_tokens = 5.0, most_tokens = 10 }
nodes = { count = 1, attempts = 3, deadline_s = 30.0 }

[places]
regions = 1
zones_per_region = 1
caller_ms = 1.0
within_zone_ms = 0.2
between_zones_ms = 1.2
between_regions_ms = 30.0
jitter = 0.0

[runners]
count = 2
speed = { cache_blocks = 4000 }

[reports]
load_lag_ms = 0.0
status_interval_ms = 100.0
feed_readers = 1
feed_interval_ms = 50.0
event_delay_ms = 0.0
event_loss = 0.0
snapshot_interval_ms = 1000.0

[prefixes]
levels = [{ fan_out = 1, blocks = [10, 10] }]
zipf_skew = 1.0
own_blocks = [1, 1]
"#;

fn run(scenario: &Scenario, policy: PolicyName, seed: u64) -> PolicyResult {
    let settings = RunSettings { scenario: "test".to_owned(), policy, seed, without: Vec::new() };
    experiment::run(scenario, &settings)
}

fn tiny() -> Scenario {
    Scenario::parse("tiny", TINY).unwrap()
}

/// The scenario `kestrel`, shortened.
fn short_kestrel() -> Scenario {
    let mut scenario = Scenario::load("kestrel").unwrap();
    scenario.run.warm_up_s = 20.0;
    scenario.run.measured_s = 15.0;
    scenario
}

#[test]
fn runs_with_the_same_scenario_policy_and_seed_are_identical() {
    let mut scenario = Scenario::load("crash").unwrap();
    scenario.run.warm_up_s = 2.0;
    scenario.run.measured_s = 8.0;
    scenario.faults[0].at_s = 5.0;
    for policy in PolicyName::ALL {
        let bytes = |seed| serde_json::to_string(&run(&scenario, policy, seed)).unwrap();
        assert_eq!(bytes(3), bytes(3), "{policy}");
        assert_ne!(bytes(3), bytes(4), "{policy}");
    }
}

#[test]
fn results_are_in_the_order_of_the_runs_for_any_number_of_threads() {
    let scenario = tiny();
    let runs: Vec<RunSettings> = (0..6)
        .map(|seed| RunSettings {
            scenario: "test".to_owned(),
            policy: PolicyName::Sticky,
            seed,
            without: Vec::new(),
        })
        .collect();
    assert_eq!(experiment::run_all(&scenario, &runs, 1), experiment::run_all(&scenario, &runs, 4));
}

#[test]
fn recomputation_counts_as_wasted_where_another_engine_holds_the_prefix() {
    let result = run(&tiny(), PolicyName::RoundRobin, 1);
    assert!(result.requests > 10);
    assert_eq!(result.complete, result.requests);
    // The first request fills one engine; the second recomputes the prefix on the other.
    assert_eq!(result.wasted_recompute_tokens, SHARED_TOKENS);
    assert_eq!(result.prefilled_tokens, 2 * SHARED_TOKENS + result.requests * OWN_TOKENS);
}

#[test]
fn nothing_is_wasted_where_all_requests_go_to_the_engine_that_holds_the_prefix() {
    let mut scenario = tiny();
    scenario.policies.sticky_blocks = 10;
    for policy in [PolicyName::Sticky, PolicyName::Oracle] {
        let result = run(&scenario, policy, 1);
        assert_eq!(result.wasted_recompute_tokens, 0, "{policy}");
        assert_eq!(result.prefilled_tokens, SHARED_TOKENS + result.requests * OWN_TOKENS, "{policy}");
    }
}

#[test]
fn a_sample_wastes_what_was_held_elsewhere_and_not_cached_here() {
    let sample =
        PrefillSample { prompt_tokens: 1_000, cached_tokens: 128, imported_tokens: 64, held_tokens: 640 };
    assert_eq!((sample.prefilled(), sample.wasted()), (872, 512));
    let better_here = PrefillSample { held_tokens: 64, ..sample };
    assert_eq!(better_here.wasted(), 0);
}

#[test]
fn the_oracle_is_not_beaten_on_hit_rate() {
    let scenario = short_kestrel();
    let oracle = run(&scenario, PolicyName::Oracle, 1);
    for policy in [PolicyName::RoundRobin, PolicyName::LeastLoaded, PolicyName::Sticky, PolicyName::Prefix] {
        let result = run(&scenario, policy, 1);
        // The oracle also considers waiting times, so a policy that only reuses may be slightly above it.
        assert!(
            result.prefix_hit_rate <= oracle.prefix_hit_rate + 0.02,
            "{policy}: {}",
            result.prefix_hit_rate
        );
        assert!(result.ttft_ms.p99 >= oracle.ttft_ms.p99 * 0.9, "{policy}: {:?}", result.ttft_ms);
    }
}

#[test]
fn all_policies_get_the_same_requests() {
    let scenario = tiny();
    let counts = PolicyName::ALL.map(|policy| run(&scenario, policy, 7).requests);
    assert!(counts.iter().all(|count| *count == counts[0]), "{counts:?}");
}

#[test]
fn requests_of_a_crashed_engine_are_completed_by_another() {
    let mut scenario = short_kestrel();
    scenario.faults = Scenario::load("crash").unwrap().faults;
    scenario.faults[0].at_s = 25.0;
    let result = run(&scenario, PolicyName::Prefix, 2);
    assert!(result.retries > 0);
    assert_eq!((result.complete, result.failed, result.not_run), (result.requests, 0, 0));
}

#[test]
fn restarted_nodes_serve_again_and_callers_get_their_answers() {
    let mut scenario = short_kestrel();
    let restart = "at_s = 25.0\nevent = { node_restart = {} }";
    scenario.faults = vec![toml::from_str(restart).unwrap()];
    let result = run(&scenario, PolicyName::Prefix, 2);
    assert!(result.retries > 0);
    assert_eq!(result.complete, result.requests);
}

#[test]
fn a_disabled_mechanism_changes_the_result_and_is_listed() {
    let scenario = short_kestrel();
    let settings = RunSettings {
        scenario: "test".to_owned(),
        policy: PolicyName::Prefix,
        seed: 1,
        without: vec![Mechanism::Feeds, Mechanism::Answers],
    };
    let without = experiment::run(&scenario, &settings);
    assert_eq!(without.without, ["feeds", "answers"]);
    assert_ne!(without.prefix_hit_rate, run(&scenario, PolicyName::Prefix, 1).prefix_hit_rate);
}

#[test]
fn medians_take_the_middle() {
    assert_eq!(summary::median([3.0, 1.0, 2.0].into_iter()), 2.0);
    assert_eq!(summary::median([4.0, 1.0, 2.0, 3.0].into_iter()), 2.5);
    assert_eq!(summary::median(std::iter::empty()), 0.0);
}

#[test]
fn recovery_is_the_time_until_all_later_windows_are_good() {
    // Steady until the event at 20 s. Then the hit rate is low for 4 s, and the tail latency high until the
    // end.
    let second = |second: u64| SecondResult {
        second,
        requests: 50,
        hit_rate: if (20..24).contains(&second) { 0.5 } else { 0.9 },
        ttft_p99_ms: if second < 20 { 100.0 } else { 200.0 },
    };
    let seconds: Vec<SecondResult> = (0..40).map(second).collect();
    let recovery = Recovery::after(&seconds, 5.0, 20.0);
    // The window from 22 s on is the first with a good median.
    assert_eq!(recovery, Recovery { event_s: 20.0, hit_rate_s: Some(2.0), ttft_p99_s: None });
}
