//! Ejection, probes and slow start of engines.

use std::time::Duration;

use paddlemount_core::health::{Availability, Health, HealthEvent, HealthSettings};
use paddlemount_protocol::{
    identity::{EngineId, Incarnation, PoolId},
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn engine(number: u8) -> EngineId {
    EngineId::from(format!("engine-{number}"))
}

fn at(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn pool_of(size: u8) -> Health {
    let mut health = Health::new(HealthSettings::default());
    for number in 0..size {
        observe(&mut health, number, 1, START);
    }
    health
}

fn observe(health: &mut Health, number: u8, incarnation: u64, now: Timestamp) {
    let pool = PoolId::from("pool");
    let incarnation = Incarnation(incarnation);
    health.apply(&engine(number), HealthEvent::Observed { pool: &pool, incarnation }, now);
}

fn fail(health: &mut Health, number: u8, times: u32, now: Timestamp) {
    for _ in 0..times {
        health.apply(&engine(number), HealthEvent::Dispatched, now);
        health.apply(&engine(number), HealthEvent::Failed, now);
    }
}

#[test]
fn only_consecutive_failures_eject() {
    let mut health = pool_of(4);
    fail(&mut health, 0, 2, START);
    health.apply(&engine(0), HealthEvent::Succeeded, START);
    fail(&mut health, 0, 2, START);
    assert_eq!(health.availability(&engine(0), 0.5, START), Availability::Usable);
    fail(&mut health, 0, 1, START);
    assert_eq!(health.availability(&engine(0), 0.5, START), Availability::Ejected { until: at(1_000) });
    assert_eq!(health.availability(&engine(1), 0.5, START), Availability::Usable);
}

#[test]
fn a_high_failure_ratio_ejects_without_consecutive_failures() {
    let mut health = pool_of(4);
    for _ in 0..5 {
        health.apply(&engine(0), HealthEvent::Succeeded, START);
        health.apply(&engine(0), HealthEvent::Failed, START);
    }
    assert_eq!(health.weight(&engine(0), START), 0.0);
}

#[test]
fn the_circuit_closes_after_one_probe_and_slow_start() {
    let mut health = pool_of(4);
    fail(&mut health, 0, 3, START);
    let later = at(1_000);
    assert_eq!(health.availability(&engine(0), 0.5, later), Availability::Probe);
    health.apply(&engine(0), HealthEvent::Dispatched, later);
    assert!(!health.availability(&engine(0), 0.5, later).admits(), "one probe at a time");
    health.apply(&engine(0), HealthEvent::Succeeded, later);
    let weights = [0, 1_000, 2_500, 5_000].map(|after| health.weight(&engine(0), at(1_000 + after)));
    assert!(weights.windows(2).all(|pair| pair[0] < pair[1]), "{weights:?}");
    assert_eq!((weights[0], weights[3]), (0.1, 1.0));
    assert!(health.availability(&engine(0), 0.05, later).admits());
    assert!(!health.availability(&engine(0), 0.5, later).admits());
    assert!(health.availability(&engine(0), 0.999, at(6_000)).admits());
}

#[test]
fn failed_probes_double_the_ejection_up_to_the_maximum() {
    let mut health = pool_of(4);
    fail(&mut health, 0, 3, START);
    let mut now = START;
    let mut waits = Vec::new();
    while waits.len() < 8 {
        let Availability::Ejected { until } = health.availability(&engine(0), 0.5, now) else { panic!() };
        waits.push(until.saturating_since(now).as_secs());
        now = until;
        fail(&mut health, 0, 1, now);
    }
    assert_eq!(waits, [1, 2, 4, 8, 16, 30, 30, 30]);
}

#[test]
fn a_lost_or_refused_probe_does_not_keep_the_circuit_open() {
    let mut health = pool_of(4);
    fail(&mut health, 0, 3, START);
    health.apply(&engine(0), HealthEvent::Dispatched, at(1_000));
    assert!(!health.availability(&engine(0), 0.5, at(10_999)).admits());
    assert_eq!(health.availability(&engine(0), 0.5, at(11_000)), Availability::Probe);
    health.apply(&engine(0), HealthEvent::Dispatched, at(11_000));
    health.apply(&engine(0), HealthEvent::Inconclusive, at(11_100));
    assert_eq!(health.availability(&engine(0), 0.5, at(11_100)), Availability::Probe);
}

#[test]
fn a_new_incarnation_starts_slowly_without_earlier_failures() {
    let mut health = pool_of(4);
    fail(&mut health, 0, 3, START);
    observe(&mut health, 0, 2, at(100));
    assert_eq!(health.weight(&engine(0), at(100)), 0.1);
    observe(&mut health, 0, 1, at(200));
    assert!(health.weight(&engine(0), at(200)) > 0.1, "events of an older incarnation are ignored");
}

#[test]
fn engines_known_at_node_start_skip_slow_start() {
    let mut health = pool_of(4);
    assert_eq!(health.weight(&engine(0), START), 1.0);
    observe(&mut health, 9, 1, at(60_000));
    assert_eq!(health.weight(&engine(9), at(60_000)), 0.1);
}

/// With most of a pool unreachable, the ejected share must not keep unreachable engines in rotation.
#[test]
fn a_refused_connection_ejects_beyond_the_ejected_share() {
    let mut health = pool_of(10);
    for number in 0..9 {
        health.apply(&engine(number), HealthEvent::Dispatched, START);
        health.apply(&engine(number), HealthEvent::Unreachable, START);
    }
    assert!((0..9).all(|number| !health.availability(&engine(number), 0.0, START).admits()));
    fail(&mut health, 9, 50, START);
    assert!(
        health.availability(&engine(9), 0.0, START).admits(),
        "an outlier is not ejected beyond the share"
    );
    let later = at(60_000);
    assert!((0..10).all(|number| health.availability(&engine(number), 0.0, later).admits()));
}

#[test]
fn the_ejected_share_is_bounded_and_every_circuit_closes_again() {
    bolero::check!().with_type::<(u8, Vec<(u8, u8, u16)>)>().for_each(|(size, steps)| {
        let size = size % 12 + 1;
        let mut health = pool_of(size);
        let mut now = START;
        for (number, kind, wait) in steps {
            now = now + Duration::from_millis(u64::from(*wait));
            let event = match kind % 4 {
                0 => HealthEvent::Dispatched,
                1 => HealthEvent::Succeeded,
                2 => HealthEvent::Failed,
                _ => HealthEvent::Inconclusive,
            };
            health.apply(&engine(number % size), event, now);
            let ejected = health.ejected(&PoolId::from("pool")).len();
            assert!(ejected as f64 <= f64::from(size) * 0.5, "{ejected} of {size}");
        }
        now = now + Duration::from_secs(60);
        for number in 0..size {
            assert!(health.availability(&engine(number), 0.0, now).admits());
            health.apply(&engine(number), HealthEvent::Dispatched, now);
            health.apply(&engine(number), HealthEvent::Succeeded, now);
            assert_eq!(health.weight(&engine(number), now + Duration::from_secs(5)), 1.0);
        }
    });
}
