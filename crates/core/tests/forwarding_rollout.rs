//! Updates of back ends to target versions of weights.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::forwarding::{
    backends::{BackendEntry, BackendId, Backends},
    rollout::{EngineReport, LoadMode, Rollout, RolloutSettings, Step, Target, after_report},
};
use paddlemount_protocol::{
    identity::{ModelId, ServiceId, WeightsVersion, ZoneId},
    time::Timestamp,
};

fn model() -> ModelId {
    ModelId::from("m")
}

fn backends(versions: &[u64]) -> Backends {
    let mut backends = Backends::default();
    for (index, version) in versions.iter().enumerate() {
        backends.put(BackendEntry {
            software: None,
            id: BackendId::from(format!("b{index}")),
            service: ServiceId::from("pool"),
            address: ([127, 0, 0, 1], 1).into(),
            zone: ZoneId::from("z"),
            slots: 8,
            leaving: false,
            started_at: None,
            weights: BTreeMap::from([(model(), WeightsVersion(*version))]),
        });
    }
    backends
}

fn rollout() -> Rollout {
    Rollout::new(RolloutSettings {
        min_loads: 2,
        loads_per_mille: 200,
        bound: Duration::from_millis(8_000),
        margin: Duration::from_millis(1_000),
    })
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// Announces a version just after a complete view at `at`.
fn announce(rollout: &mut Rollout, version: u64, at: Timestamp) {
    rollout.target_versions.confirm_complete(at);
    rollout.target_versions.record(model(), WeightsVersion(version));
}

#[test]
fn requests_prefer_new_weights_in_proportion_to_the_engines_that_have_them() {
    use paddlemount_core::forwarding::rollout::prefers;
    let preferring = |updated, all| {
        let draws = (0..1_000_u64).map(|number| number * (u64::MAX / 1_000));
        draws.filter(|draw| prefers(*draw, updated, all)).count()
    };
    assert_eq!(preferring(0, 240), 0);
    assert!((145..=155).contains(&preferring(24, 240)), "{}", preferring(24, 240));
    assert_eq!(preferring(180, 240), 1_000);
    assert_eq!(preferring(1, 1), 1_000);
    assert_eq!(preferring(0, 0), 0);
}

#[test]
fn a_back_end_with_the_oldest_version_comes_before_idle_ones() {
    let mut rollout = rollout();
    announce(&mut rollout, 3, at(0));
    let backends = backends(&[2, 2, 2, 2, 2, 1]);
    let busy_last = |id: &BackendId| if id.as_str() == "b5" { 40 } else { 0 };
    let begun = rollout.begin(backends.iter(), busy_last, at(10));
    assert_eq!(begun[0].backend.as_str(), "b5");
}

#[test]
fn a_starting_node_requires_the_version_that_it_finds() {
    // Guards against requests on older weights after all nodes restart: the version may have been announced
    // at any time.
    let mut rollout = rollout();
    rollout.target_versions.record(model(), WeightsVersion(4));
    assert_eq!(rollout.required(&model(), Duration::ZERO, at(1)), Some(WeightsVersion(4)));
    assert_eq!(rollout.preferred(&model(), at(1)), Some(WeightsVersion(4)));
    assert!(rollout.begin_by(&model(), WeightsVersion(3)).is_some_and(|begin_by| begin_by <= at(1)));
    assert_eq!(rollout.begin_by(&model(), WeightsVersion(4)), None);
    let backends = backends(&[3, 3, 3]);
    let begun = rollout.begin(backends.iter(), |_| 0, at(1));
    assert!(begun.iter().all(|target| target.drain == Duration::ZERO), "{begun:?}");
}

#[test]
fn after_a_gap_a_version_counts_from_before_the_gap() {
    // Guards against a node that was stopped or partitioned counting the bound from when it learned of a
    // version.
    let mut rollout = rollout();
    rollout.target_versions.confirm_complete(at(1_000));
    rollout.target_versions.record(model(), WeightsVersion(2));
    rollout.target_versions.confirm_complete(at(9_500));
    assert_eq!(rollout.required(&model(), Duration::ZERO, at(9_500)), Some(WeightsVersion(2)));
    assert_eq!(rollout.begin_by(&model(), WeightsVersion(1)), Some(at(8_750)));
}

#[test]
fn an_older_version_is_avoided_before_the_bound() {
    let mut rollout = rollout();
    announce(&mut rollout, 2, at(0));
    assert_eq!(rollout.required(&model(), Duration::ZERO, at(6_900)), None);
    assert_eq!(rollout.required(&model(), Duration::ZERO, at(7_000)), Some(WeightsVersion(2)));
}

#[test]
fn waiting_time_counts_towards_the_bound() {
    let mut rollout = rollout();
    announce(&mut rollout, 2, at(0));
    let waits = Duration::from_millis(2_000);
    assert_eq!(rollout.required(&model(), waits, at(4_900)), None);
    assert_eq!(rollout.required(&model(), waits, at(5_100)), Some(WeightsVersion(2)));
}

#[test]
fn begin_by_is_before_the_bound_of_the_first_newer_version() {
    let mut rollout = rollout();
    announce(&mut rollout, 2, at(1_000));
    announce(&mut rollout, 3, at(4_000));
    assert_eq!(rollout.begin_by(&model(), WeightsVersion(1)), Some(at(8_750)));
    assert_eq!(rollout.begin_by(&model(), WeightsVersion(2)), Some(at(11_750)));
    assert_eq!(rollout.begin_by(&model(), WeightsVersion(3)), None);
}

#[test]
fn back_ends_are_drained_only_while_there_is_time() {
    let mut rollout = rollout();
    announce(&mut rollout, 2, at(0));
    let backends = backends(&[1, 1, 1, 1, 1, 1]);
    let early = rollout.begin(backends.iter(), |_| 0, at(100));
    assert!(early.iter().all(|target| target.drain == Duration::from_millis(600)), "{early:?}");
    for target in &early {
        rollout.ended(&target.backend);
    }
    let late = rollout.begin(backends.iter(), |_| 0, at(6_000));
    assert!(late.iter().all(|target| target.drain == Duration::ZERO), "{late:?}");
}

#[test]
fn a_failed_update_is_postponed_in_favour_of_others() {
    let mut rollout = rollout();
    announce(&mut rollout, 2, at(0));
    let backends = backends(&[1, 1, 1, 1, 1, 1]);
    let begun = rollout.begin(backends.iter(), |_| 0, at(0));
    assert_eq!(begun.len(), 2);
    for target in &begun {
        rollout.postpone(&target.backend, at(500));
    }
    let others = rollout.begin(backends.iter(), |_| 0, at(500));
    assert_eq!(others.len(), 2, "unresponsive back ends take no slots");
    assert!(others.iter().all(|other| !begun.contains(other)), "{others:?}");
    for target in &others {
        rollout.ended(&target.backend);
    }
    let later = rollout.begin(backends.iter(), |_| 0, at(1_600));
    assert_eq!(later, begun, "and are tried again later");
}

#[test]
fn at_most_a_third_of_a_pool_is_updated_concurrently() {
    let mut rollout = rollout();
    announce(&mut rollout, 2, at(0));
    let versions = [1; 40];
    let backends = backends(&versions);
    let begun = rollout.begin(backends.iter(), |_| 0, at(0));
    assert!(begun.len() <= 13, "{}", begun.len());
    assert!(rollout.begin(backends.iter(), |_| 0, at(0)).is_empty());
}

#[test]
fn the_report_decides_after_an_order_whose_answer_was_lost() {
    let target = Target {
        backend: BackendId::from("b0"),
        model: model(),
        version: WeightsVersion(2),
        drain: Duration::from_millis(900),
    };
    let report = |busy, requests, sequence, version| EngineReport {
        busy,
        requests,
        sequence,
        weights: BTreeMap::from([(model(), WeightsVersion(version))]),
        leaving: false,
    };
    let step = |report: EngineReport, drained| after_report(&target, &report, Duration::from_millis(drained));
    assert_eq!(step(report(false, 0, 1, 2), 0), Step::Done);
    assert_eq!(step(report(false, 0, 1, 3), 0), Step::Done);
    assert_eq!(step(report(true, 0, 1, 1), 0), Step::Wait);
    assert_eq!(step(report(false, 3, 7, 1), 500), Step::Drain);
    assert_eq!(step(report(false, 0, 7, 1), 500), Step::Order { sequence: 7, mode: LoadMode::FinishRunning });
    assert_eq!(step(report(false, 3, 7, 1), 900), Step::Order { sequence: 7, mode: LoadMode::KeepRunning });
}

#[test]
fn a_fifth_of_a_pool_and_at_least_two_engines_may_load_concurrently() {
    let rollout = rollout();
    assert_eq!(rollout.max_concurrent_loads(6), 2);
    assert_eq!(rollout.max_concurrent_loads(12), 2);
    assert_eq!(rollout.max_concurrent_loads(18), 3);
    assert_eq!(rollout.max_concurrent_loads(90), 18);
    assert_eq!(rollout.max_concurrent_loads(140), 28);
}

#[test]
fn requests_prefer_a_version_soon_after_its_announcement() {
    let mut rollout = rollout();
    announce(&mut rollout, 2, at(0));
    announce(&mut rollout, 3, at(2_000));
    assert_eq!(rollout.preferred(&model(), at(900)), None);
    assert_eq!(rollout.preferred(&model(), at(1_400)), Some(WeightsVersion(2)));
    assert_eq!(rollout.preferred(&model(), at(3_400)), Some(WeightsVersion(3)));
}
