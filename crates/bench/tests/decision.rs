//! The benchmark of routing decisions fills the cache index and reports plausible results.

use paddlemount_bench::decision::{DecisionBenchSettings, run};

#[test]
fn the_benchmark_fills_the_index_and_bounds_the_candidates() {
    let settings = DecisionBenchSettings {
        runners: vec![12, 200],
        decisions: 200,
        cache_index_records: 20_000,
        ..DecisionBenchSettings::default()
    };
    let results = run(&settings);
    assert_eq!(results.iter().map(|result| result.runners).collect::<Vec<_>>(), [12, 200]);
    for result in results {
        assert!((10_000..=20_000).contains(&result.cache_index_records), "{result:?}");
        assert!(result.mean_candidates <= 40.0, "{result:?}");
        assert!(result.choose_us.p50 > 0.0 && result.choose_us.p50 <= result.choose_us.p99);
        assert!(result.bytes_per_record < 200.0, "{result:?}");
    }
}
