//! Measurements on a cluster of hollow nodes.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use paddlemount_protocol::{
    configuration::{
        Change, ChangeOutcome, ChangeRequest, Configuration, Pool, RevisedConfiguration, Tenant,
    },
    identity::{ChangeId, ModelId, OperatorId, PoolId, Revision, TenantId, WeightsVersion},
    peer::membership::MemberState,
    time::Timestamp,
};
use serde::Serialize;

use super::cluster::{ClusterSettings, HollowCluster, NodeObservation, Observation, ResourceUsage};

/// Time for a starting cluster to settle.
pub const SETTLE_TIME: Duration = Duration::from_secs(40);

/// Upper bound of recorded times, in milliseconds.
const MAX_MS: u64 = 3_600_000;

/// Time after which a change or a death that is not everywhere counts as missed.
const OBSERVATION_TIMEOUT: Duration = Duration::from_secs(30);

/// A configuration document with `tenants` tenants and `models` pools.
pub fn document(tenants: usize, models: usize) -> RevisedConfiguration {
    let mut configuration = Configuration::default();
    for index in 0..models {
        let pool = Pool {
            model: ModelId::from(format!("model-{index:02}")),
            weights: WeightsVersion(1),
            rollout: None,
            adapters: Vec::new(),
            reuse_weight: 0.5,
        };
        configuration.pools.insert(PoolId::from(format!("pool-{index:02}")), pool);
    }
    for index in 0..tenants {
        configuration.tenants.insert(tenant(index), tenant_settings(index, 1));
    }
    RevisedConfiguration { revision: Revision(1), configuration }
}

fn tenant(index: usize) -> TenantId {
    TenantId::from(format!("tenant-{index:03}"))
}

fn tenant_settings(index: usize, weight: u32) -> Tenant {
    Tenant { key_hashes: vec![format!("{index:064x}")], weight, ..Tenant::default() }
}

/// The change with this number in a series; each sets another weight of one tenant.
pub fn change_request(number: usize) -> ChangeRequest {
    let weight = u32::try_from(number % 900).unwrap_or(0) + 2;
    ChangeRequest {
        id: ChangeId::from(format!("change-{number}")),
        operator: OperatorId::from("operator"),
        if_revision: None,
        change: Change::PutTenant { tenant: tenant(0), settings: tenant_settings(0, weight) },
        command: format!("put tenant tenant-000 weight {weight}"),
        dry_run: false,
    }
}

/// Quantiles of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    pub count: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub max_ms: u64,
}

impl Quantiles {
    /// Computes the quantiles of `times`.
    pub fn of(times: &[Duration]) -> Self {
        let mut histogram = Histogram::<u64>::new_with_max(MAX_MS, 3).expect("the bounds are valid");
        for time in times {
            histogram.saturating_record(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
        }
        Self {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        }
    }
}

/// Outcome and latency of a series of changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ChangeMeasurement {
    /// From the request until the last running node installed the change.
    pub in_force_everywhere: Quantiles,
    /// From the request until the operator was answered that the change is in force.
    pub answered: Quantiles,
    /// Answers by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Changes that some running node did not install within 30 s.
    pub not_everywhere: u64,
}

/// Resource use of a node per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CostMeasurement {
    /// Bytes sent and received between nodes, including headers; mean over nodes.
    pub peer_bytes_per_second: f64,
    /// Maximum over nodes.
    pub greatest_peer_bytes_per_second: f64,
    /// Mean over nodes.
    pub store_bytes_per_second: f64,
    /// Maximum over nodes.
    pub greatest_store_bytes_per_second: f64,
    /// Messages sent and received between nodes; mean over nodes.
    pub messages_per_second: f64,
    /// Percentage of one core without sockets and HTTP parsing; mean over nodes.
    pub processor_percent: f64,
    /// Maximum over nodes.
    pub greatest_processor_percent: f64,
}

/// A cluster whose nodes all started at once and ran for [`SETTLE_TIME`].
pub fn start_settled_cluster(settings: ClusterSettings, tenants: usize, models: usize) -> HollowCluster {
    let mut cluster = HollowCluster::new(settings, document(tenants, models));
    (0..cluster.len()).for_each(|index| cluster.start(index));
    cluster.run_for(SETTLE_TIME);
    cluster.take_observations();
    cluster.reset_usage();
    cluster
}

/// Makes `count` changes through nodes in turn, `pause` apart.
pub fn measure_changes(
    cluster: &mut HollowCluster,
    first: usize,
    count: usize,
    pause: Duration,
) -> ChangeMeasurement {
    let mut followed = Vec::new();
    for number in first..first + count {
        followed.push(follow_change(cluster, number * 7 % cluster.len(), number, false));
        cluster.run_for(pause);
    }
    summarize(followed)
}

/// Makes one change. The store fails as soon as it holds the change, and stays down.
pub fn follow_until_outage(cluster: &mut HollowCluster, number: usize) -> FollowedChange {
    follow_change(cluster, number * 7 % cluster.len(), number, true)
}

/// Aggregates a series of changes.
pub fn summarize(series: Vec<FollowedChange>) -> ChangeMeasurement {
    let mut measurement = ChangeMeasurement::default();
    let (mut propagation, mut answered) = (Vec::new(), Vec::new());
    for followed in series {
        match followed.everywhere_at {
            Some(at) => propagation.push(at.saturating_since(followed.began)),
            None if followed.made => measurement.not_everywhere += 1,
            None => {}
        }
        let Some((at, outcome)) = followed.answer else { continue };
        *measurement.outcomes.entry(outcome_name(&outcome)).or_default() += 1;
        if matches!(outcome, ChangeOutcome::InForce { .. }) {
            answered.push(at.saturating_since(followed.began));
        }
    }
    measurement.in_force_everywhere = Quantiles::of(&propagation);
    measurement.answered = Quantiles::of(&answered);
    measurement
}

/// The observed course of one change.
pub struct FollowedChange {
    began: Timestamp,
    made: bool,
    everywhere_at: Option<Timestamp>,
    answer: Option<(Timestamp, ChangeOutcome)>,
}

fn follow_change(
    cluster: &mut HollowCluster,
    node: usize,
    number: usize,
    then_outage: bool,
) -> FollowedChange {
    let began = cluster.now();
    let before = cluster.store.document.revision;
    cluster.take_observations();
    cluster.change(node, change_request(number));
    let mut followed = FollowedChange { began, made: false, everywhere_at: None, answer: None };
    let mut installed = vec![false; cluster.len()];
    while cluster.now() < began + OBSERVATION_TIMEOUT {
        // Short steps until the store holds the change, so that the outage begins right then.
        let step = if followed.made { 100 } else { 1 };
        cluster.run_for(Duration::from_millis(step));
        followed.made |= cluster.store.document.revision > before;
        cluster.store.is_down |= followed.made && then_outage;
        for NodeObservation { at, node, observation } in cluster.take_observations() {
            match observation {
                Observation::Installed(revision) if revision > before => {
                    installed[node] = true;
                    let holds = |index: usize| installed[index] || cluster.peers(index).is_none();
                    if followed.everywhere_at.is_none() && (0..installed.len()).all(holds) {
                        followed.everywhere_at = Some(at);
                    }
                }
                Observation::ChangeEnded(outcome) => followed.answer = Some((at, outcome)),
                _ => {}
            }
        }
        let is_settled = followed.everywhere_at.is_some() || !followed.made;
        if followed.answer.is_some() && is_settled {
            break;
        }
    }
    followed
}

const fn outcome_name(outcome: &ChangeOutcome) -> &'static str {
    match outcome {
        ChangeOutcome::InForce { .. } => "in_force",
        ChangeOutcome::Accepted { .. } => "accepted",
        ChangeOutcome::WouldApply { .. } => "would_apply",
        ChangeOutcome::Refused { .. } => "refused",
        ChangeOutcome::Unknown { .. } => "unknown",
    }
}

/// How long a death took to be detected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DeathMeasurement {
    /// From the death until the first node of the region declared it.
    pub first: Quantiles,
    /// From the death until all running nodes of the region declared it.
    pub everywhere: Quantiles,
    /// Deaths that some node of the region did not declare within 30 s.
    pub not_everywhere: u64,
}

/// Kills `count` nodes one after another, and restarts each once its death was observed.
pub fn measure_deaths(cluster: &mut HollowCluster, count: usize) -> DeathMeasurement {
    let (mut first, mut everywhere) = (Vec::new(), Vec::new());
    let mut not_everywhere = 0;
    for number in 0..count {
        let target = (number * 11 + 1) % cluster.len();
        let began = cluster.now();
        cluster.take_observations();
        cluster.kill(target);
        let declared_at = follow_death(cluster, target);
        first.extend(declared_at.first().map(|at| at.saturating_since(began)));
        let observers = (0..cluster.len())
            .filter(|index| *index != target && cluster.region(*index) == cluster.region(target))
            .count();
        if declared_at.len() >= observers {
            everywhere.extend(declared_at.last().map(|at| at.saturating_since(began)));
        } else {
            not_everywhere += 1;
        }
        cluster.start(target);
        cluster.run_for(Duration::from_secs(20));
    }
    DeathMeasurement { first: Quantiles::of(&first), everywhere: Quantiles::of(&everywhere), not_everywhere }
}

/// The times at which the other nodes declared the target dead, in order.
fn follow_death(cluster: &mut HollowCluster, target: usize) -> Vec<Timestamp> {
    let name = cluster.name(target).clone();
    let mut declared_at: BTreeMap<usize, Timestamp> = BTreeMap::new();
    cluster.run_for(OBSERVATION_TIMEOUT);
    for NodeObservation { at, node, observation } in cluster.take_observations() {
        if observation == (Observation::Member { node: name.clone(), state: MemberState::Dead }) {
            declared_at.entry(node).or_insert(at);
        }
    }
    let mut times: Vec<Timestamp> = declared_at.into_values().collect();
    times.sort_unstable();
    times
}

/// False suspicions and false deaths while all nodes run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FalseAlarms {
    pub watched_seconds: u64,
    /// Suspicions of members, each counted once and not per node.
    pub suspicions: u64,
    /// Members that were declared dead.
    pub deaths: u64,
    pub suspicions_per_day: f64,
    /// Node-seconds without a confirmed revision, in which a node takes no new work.
    pub unconfirmed_seconds: u64,
}

/// Runs the cluster for `time` without faults other than message loss.
pub fn measure_steady(cluster: &mut HollowCluster, time: Duration) -> (CostMeasurement, FalseAlarms) {
    cluster.reset_usage();
    cluster.take_observations();
    let mut alarms = FalseAlarms { watched_seconds: time.as_secs(), ..FalseAlarms::default() };
    let mut last: BTreeMap<(paddlemount_protocol::identity::NodeId, bool), Timestamp> = BTreeMap::new();
    for _ in 0..time.as_secs() {
        cluster.run_for(Duration::from_secs(1));
        let now = cluster.now();
        let confirmed = |index: &usize| cluster.peers(*index).is_none_or(|peers| peers.may_serve(now));
        alarms.unconfirmed_seconds += (0..cluster.len()).filter(|index| !confirmed(index)).count() as u64;
        for NodeObservation { at, observation, .. } in cluster.take_observations() {
            let Observation::Member { node, state } = observation else { continue };
            let is_dead = state == MemberState::Dead;
            if !is_dead && state != MemberState::Suspect {
                continue;
            }
            let previous = last.insert((node, is_dead), at);
            if previous.is_none_or(|previous| at.saturating_since(previous) > Duration::from_secs(10)) {
                alarms.suspicions += u64::from(!is_dead);
                alarms.deaths += u64::from(is_dead);
            }
        }
    }
    alarms.suspicions_per_day = alarms.suspicions as f64 * 86_400.0 / time.as_secs_f64();
    (cost(cluster, time), alarms)
}

fn cost(cluster: &HollowCluster, time: Duration) -> CostMeasurement {
    let all: Vec<ResourceUsage> = (0..cluster.len()).map(|index| cluster.usage(index)).collect();
    let seconds = time.as_secs_f64();
    let mean = |value: &dyn Fn(&ResourceUsage) -> f64| {
        all.iter().map(value).sum::<f64>() / all.len() as f64 / seconds
    };
    let max = |value: &dyn Fn(&ResourceUsage) -> f64| all.iter().map(value).fold(0.0, f64::max) / seconds;
    let peer_bytes = |usage: &ResourceUsage| (usage.bytes_in + usage.bytes_out) as f64;
    let store_bytes = |usage: &ResourceUsage| usage.store_bytes as f64;
    let processor = |usage: &ResourceUsage| usage.processor.as_secs_f64() * 100.0;
    CostMeasurement {
        peer_bytes_per_second: mean(&peer_bytes),
        greatest_peer_bytes_per_second: max(&peer_bytes),
        store_bytes_per_second: mean(&store_bytes),
        greatest_store_bytes_per_second: max(&store_bytes),
        messages_per_second: mean(&|usage: &ResourceUsage| (usage.messages_in + usage.messages_out) as f64),
        processor_percent: mean(&processor),
        greatest_processor_percent: max(&processor),
    }
}
