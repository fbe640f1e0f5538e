//! Updates back ends to the target versions of their models' weights.
//!
//! Only the holder of the lease gives orders, few at a time, to idle back ends first. Each order carries the
//! lease's fencing token, the back end's identity and the number of orders that it has accepted, so that an
//! order that arrives late, after a newer one, has no effect. Where the outcome of an order is unknown, the
//! back end's next report decides.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    identity::{ModelId, WeightsVersion},
    time::Timestamp,
};

use super::{
    backends::{Backend, BackendId, BackendState},
    target_versions::{TargetVersion, TargetVersions},
};

/// What happens to the running requests while an engine loads new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// They finish first, and the engine accepts no others meanwhile.
    FinishRunning,
    /// They continue on the new weights after a pause for the load.
    KeepRunning,
}

/// Settings of a [`Rollout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// The number of back ends that may always load weights concurrently, however small the pool.
    pub min_loads: usize,
    /// The share of a pool that may load weights concurrently, in thousandths.
    pub loads_per_mille: usize,
    /// The time after the announcement of a version when requests may no longer begin on older ones.
    pub bound: Duration,
    /// How long before the bound older versions are avoided.
    pub margin: Duration,
}

/// How a node learned of a target version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedFrom {
    /// From a watch of the store, with all earlier versions known.
    Watch,
    /// From another node.
    Node,
    /// It was there when this node first read the store.
    FirstRead,
}

impl LearnedFrom {
    /// The name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Watch => "watched",
            Self::Node => "told",
            Self::FirstRead => "found",
        }
    }
}

/// A back end that is to be updated to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub backend: BackendId,
    pub model: ModelId,
    pub version: WeightsVersion,
    /// How long it gets no new requests before the order, so that running ones can finish.
    pub drain: Duration,
}

/// The status that a back end reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// An order is in progress.
    pub busy: bool,
    /// Requests that run or wait there.
    pub requests: u32,
    /// Orders accepted since its start.
    pub sequence: u64,
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The next step of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The back end has the version or a newer one.
    Done,
    /// An order is in progress: ask for another report later.
    Wait,
    /// Requests are running: ask for another report later.
    Drain,
    /// Give the order, on condition that the back end has accepted `sequence` orders.
    Order { sequence: u64, mode: LoadMode },
}

/// Decides the next step from a report of a back end that has got no new requests for the time `drained`.
pub fn after_report(target: &Target, report: &EngineReport, drained: Duration) -> Step {
    let sequence = report.sequence;
    match report.weights.get(&target.model) {
        Some(version) if *version >= target.version => Step::Done,
        _ if report.busy => Step::Wait,
        _ if report.requests == 0 => Step::Order { sequence, mode: LoadMode::FinishRunning },
        _ if drained < target.drain => Step::Drain,
        _ => Step::Order { sequence, mode: LoadMode::KeepRunning },
    }
}

/// The target versions, and the back ends that are being updated.
#[derive(Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    pub target_versions: TargetVersions,
    active: BTreeSet<BackendId>,
    /// Back ends whose update failed, and when to try again.
    postponed_until: BTreeMap<BackendId, Timestamp>,
}

/// How much more than their even share of requests the engines with a preferred version get. Nodes know of
/// each other's requests with a delay: if all requests preferred the first updated engines, they would queue
/// there.
const PREFERENCE_FACTOR: f64 = 1.5;

/// Whether a request with this `draw` prefers the engines that have the preferred version: `updated` of the
/// `all` engines.
pub fn prefers(draw: u64, updated: usize, all: usize) -> bool {
    let share = updated as f64 / all.max(1) as f64;
    (draw as f64) < share * PREFERENCE_FACTOR * u64::MAX as f64
}

/// The typical time of a load, with the order and the report after it.
pub const TYPICAL_LOAD_TIME: Duration = Duration::from_millis(750);
/// The time reserved for lost orders and a change of leader.
const RECOVERY_MARGIN: Duration = Duration::from_millis(600);
/// Maximum time to drain a back end: in a busy pool, missing engines cost more than the pause of a few
/// streams during a load.
const MAX_DRAIN: Duration = Duration::from_millis(600);
/// How long after the announcement of a version requests start to prefer back ends that have it: answers on older
/// weights are worth less from soon after it.
const PREFERENCE_DELAY: Duration = Duration::from_millis(1_100);
/// How long before the bound a request that has not begun is withdrawn.
const BEGIN_MARGIN: Duration = Duration::from_millis(250);
/// Maximum waiting time at a back end that is taken into account.
const MAX_WAIT: Duration = Duration::from_millis(3_000);
/// How long after a failed update a back end is tried again; others are updated meanwhile.
pub const UPDATE_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of thousandths in one.
const PER_MILLE: usize = 1_000;
/// One in this many back ends is updated concurrently.
const CONCURRENT_UPDATE_DIVISOR: usize = 3;

impl Rollout {
    /// A rollout without target versions.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            target_versions: TargetVersions::default(),
            active: BTreeSet::new(),
            postponed_until: BTreeMap::new(),
        }
    }

    /// The newest target version of a model.
    pub fn newest(&self, model: &ModelId) -> Option<WeightsVersion> {
        self.target_versions.newest(model).map(|target| target.version)
    }

    /// The oldest version of a model on which a request may still begin that waits up to `max_wait` after it
    /// was sent.
    ///
    /// A target version whose announcement time is unknown is required at once.
    pub fn required(&self, model: &ModelId, max_wait: Duration, now: Timestamp) -> Option<WeightsVersion> {
        let after = self.settings.bound.saturating_sub(self.settings.margin + max_wait.min(MAX_WAIT));
        let is_due = |target: &&TargetVersion| target.may_be_older_than(after, now);
        self.target_versions.of(model).iter().rev().find(is_due).map(|target| target.version)
    }

    /// When a request that was sent to a back end with `held` must have begun at the latest; later it would
    /// begin on a version that is too old. The time is in the past where the announcement time of the next
    /// version is unknown.
    pub fn begin_by(&self, model: &ModelId, held: WeightsVersion) -> Option<Timestamp> {
        let newer = self.target_versions.first_newer(model, held)?;
        let allowed = self.settings.bound.saturating_sub(BEGIN_MARGIN);
        Some(newer.not_before.map_or(Timestamp::ZERO, |after| after + allowed))
    }

    /// The back ends to update now. Each one counts as active until [`Rollout::ended`]. Those with the oldest
    /// versions come first, and idle ones among them: otherwise frequent announcements would leave some
    /// behind.
    pub fn begin<'a>(
        &mut self,
        backends: impl Iterator<Item = &'a Backend>,
        requests: impl Fn(&BackendId) -> u32,
        now: Timestamp,
    ) -> Vec<Target> {
        self.postponed_until.retain(|_, until| now < *until);
        let ready: Vec<&Backend> = backends
            .filter(|backend| backend.state == BackendState::Ready && !backend.entry.weights.is_empty())
            .filter(|backend| !self.postponed_until.contains_key(&backend.entry.id))
            .collect();
        let max_concurrent_updates = self.max_concurrent_updates(ready.len());
        let free = max_concurrent_updates.saturating_sub(self.active.len());
        let mut waiting: Vec<(WeightsVersion, u32, Target)> = ready
            .into_iter()
            .filter(|backend| !self.active.contains(&backend.entry.id))
            .filter_map(|backend| self.target(backend))
            .map(|(held, target)| (held, requests(&target.backend), target))
            .collect();
        waiting.sort_by(|left, right| {
            (left.0, left.1, &left.2.backend).cmp(&(right.0, right.1, &right.2.backend))
        });
        let outdated = waiting.len();
        let oldest = waiting.first().map(|(held, _, target)| (*held, target.model.clone()));
        let drain = oldest.map_or(Duration::ZERO, |(held, model)| {
            self.drain(&model, held, outdated, max_concurrent_updates, now)
        });
        let begun: Vec<Target> =
            waiting.into_iter().take(free).map(|(.., target)| Target { drain, ..target }).collect();
        self.active.extend(begun.iter().map(|target| target.backend.clone()));
        begun
    }

    /// Whether a back end has older weights than their target version.
    pub fn is_outdated(&self, backend: &Backend) -> bool {
        self.target(backend).is_some()
    }

    /// Records that the update of a back end has ended or was abandoned.
    pub fn ended(&mut self, backend: &BackendId) {
        self.active.remove(backend);
    }

    /// Records that the update of a back end failed, as when it does not answer or has lost its address.
    /// Others take its turn, and it is tried again later.
    pub fn postpone(&mut self, backend: &BackendId, now: Timestamp) {
        self.active.remove(backend);
        self.postponed_until.insert(backend.clone(), now + UPDATE_RETRY_INTERVAL);
    }

    /// The number of back ends to update concurrently: the others must carry the requests.
    fn max_concurrent_updates(&self, backends: usize) -> usize {
        (backends / CONCURRENT_UPDATE_DIVISOR)
            .max(self.max_concurrent_loads(backends).min(backends / 2))
            .max(1)
    }

    /// The number of a pool's back ends that may load weights concurrently: more of them would slow each
    /// other down.
    pub fn max_concurrent_loads(&self, backends: usize) -> usize {
        (backends * self.settings.loads_per_mille / PER_MILLE).max(self.settings.min_loads)
    }

    /// The version of a model that requests should prefer, if one was announced long enough ago.
    pub fn preferred(&self, model: &ModelId, now: Timestamp) -> Option<WeightsVersion> {
        let is_due = |target: &&TargetVersion| target.may_be_older_than(PREFERENCE_DELAY, now);
        self.target_versions.of(model).iter().rev().find(is_due).map(|target| target.version)
    }

    fn target(&self, backend: &Backend) -> Option<(WeightsVersion, Target)> {
        backend.entry.weights.iter().find_map(|(model, held)| {
            let version = self.newest(model)?;
            let target = Target {
                backend: backend.entry.id.clone(),
                model: model.clone(),
                version,
                drain: Duration::ZERO,
            };
            (version > *held).then_some((*held, target))
        })
    }

    /// How long each of `outdated` back ends may be drained so that all are updated in time, where `held` is
    /// their oldest version.
    fn drain(
        &self,
        model: &ModelId,
        held: WeightsVersion,
        outdated: usize,
        max_concurrent_updates: usize,
        now: Timestamp,
    ) -> Duration {
        let Some(after) = self.target_versions.first_newer(model, held).and_then(|target| target.not_before)
        else {
            return Duration::ZERO;
        };
        let due = after + self.settings.bound.saturating_sub(self.settings.margin + RECOVERY_MARGIN);
        let rounds = u32::try_from(outdated.div_ceil(max_concurrent_updates).max(1)).unwrap_or(u32::MAX);
        (due.saturating_since(now) / rounds).saturating_sub(TYPICAL_LOAD_TIME).min(MAX_DRAIN)
    }
}
