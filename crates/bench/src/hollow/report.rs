//! A report of the measurements on hollow nodes for one cluster size.

use std::time::Duration;

use serde::Serialize;

use super::{
    cluster::{ClusterSettings, HollowCluster},
    measure::{
        ChangeMeasurement, CostMeasurement, DeathMeasurement, FalseAlarms, follow_until_outage,
        measure_changes, measure_deaths, measure_steady, start_settled_cluster, summarize,
    },
};

/// Tenants and models in the configuration document.
const TENANTS: usize = 430;
const MODELS: usize = 14;

/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Measured cluster sizes: nodes, zones, regions.
pub const SHAPES: [(usize, usize, usize); 5] = [(3, 3, 1), (10, 3, 1), (50, 3, 1), (100, 4, 2), (350, 13, 5)];

/// Extent of the measurements.
#[derive(Clone, Copy, Debug)]
pub struct Effort {
    /// Changes per size and condition.
    pub changes: usize,
    /// Deaths per size and condition.
    pub deaths: usize,
    /// Virtual time without faults, for cost and false alarms.
    pub steady: Duration,
}

impl Effort {
    /// A quick run.
    pub const QUICK: Self = Self { changes: 5, deaths: 2, steady: Duration::from_secs(60) };
    /// A full run.
    pub const FULL: Self = Self { changes: 40, deaths: 10, steady: Duration::from_secs(900) };
}

/// Measurements of one size under one loss rate.
#[derive(Clone, Debug, Serialize)]
pub struct SizeReport {
    pub nodes: usize,
    pub zones: usize,
    pub regions: usize,
    /// Share of messages that are lost and not retransmitted.
    pub loss: f64,
    /// Without faults.
    pub cost: CostMeasurement,
    /// Without faults other than message loss.
    pub false_alarms: FalseAlarms,
    /// Changes while the store is available.
    pub changes: ChangeMeasurement,
    /// Changes after each of which the store failed as soon as it held the change.
    pub changes_before_outage: ChangeMeasurement,
    /// Changes submitted while the store was down.
    pub changes_during_outage: ChangeMeasurement,
    /// Node-seconds without a confirmed revision in 60 s of outage.
    pub unconfirmed_in_outage: u64,
    pub deaths: DeathMeasurement,
}

/// Measures one cluster size.
pub fn measure(shape: (usize, usize, usize), loss: f64, seed: u64, effort: Effort) -> SizeReport {
    let (nodes, zones, regions) = shape;
    let settings = ClusterSettings { nodes, zones, regions, loss, seed };
    let mut cluster = start_settled_cluster(settings, TENANTS, MODELS);
    let (cost, false_alarms) = measure_steady(&mut cluster, effort.steady);
    let changes = measure_changes(&mut cluster, 0, effort.changes, CHANGE_INTERVAL);
    let outage = measure_outage(&mut cluster, effort);
    let deaths = measure_deaths(&mut cluster, effort.deaths);
    SizeReport {
        nodes,
        zones,
        regions,
        loss,
        cost,
        false_alarms,
        changes,
        changes_before_outage: outage.before,
        changes_during_outage: outage.during,
        unconfirmed_in_outage: outage.unconfirmed,
        deaths,
    }
}

struct Outage {
    before: ChangeMeasurement,
    during: ChangeMeasurement,
    unconfirmed: u64,
}

/// Fails the store as soon as it holds a change, so that only peers can spread the change.
fn measure_outage(cluster: &mut HollowCluster, effort: Effort) -> Outage {
    let mut before = Vec::new();
    let mut during = ChangeMeasurement::default();
    let mut unconfirmed = 0;
    let rounds = (effort.changes / 5).max(1);
    for round in 0..rounds {
        let number = 10_000 + round;
        before.push(follow_until_outage(cluster, number));
        if round == 0 {
            let (_, alarms) = measure_steady(cluster, Duration::from_secs(60));
            unconfirmed = alarms.unconfirmed_seconds;
            during = measure_changes(cluster, 20_000, rounds, CHANGE_INTERVAL);
        }
        cluster.store.is_down = false;
        cluster.run_for(Duration::from_secs(15));
    }
    Outage { before: summarize(before), during, unconfirmed }
}
