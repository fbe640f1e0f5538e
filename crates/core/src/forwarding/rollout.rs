//! Brings back ends to the named versions of their models' weights.
//!
//! Only the holder of the lease acts. It gives few orders at a time, the idle back ends first. Each order carries the
//! lease's fencing token, the back end's identity and the number of orders that it had taken, so that one which is
//! carried out late, after a newer one, changes nothing. Where an order's end is not known the back end's own report
//! decides what to do next.

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

/// What becomes of requests that run while an engine takes new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMode {
    /// They end first. None of them pauses, and the engine takes no others meanwhile.
    FinishRunning,
    /// They go on under the new weights, after a pause as long as the load.
    KeepRunning,
}

/// Settings of a [`Rollout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Back ends that may load weights at the same time, also where the share of the pool is fewer.
    pub min_loads: usize,
    /// Back ends that may load weights at the same time, in thousandths of the pool.
    pub loads_per_mille: usize,
    /// The time after which no request may begin on an older version than the named one.
    pub bound: Duration,
    /// How much earlier than the bound older versions are left alone.
    pub margin: Duration,
}

/// How a node learned that a version was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedFrom {
    /// It watched the store, and knew all that had been named before.
    Watch,
    /// Another node told it.
    Node,
    /// It was there when this node first looked.
    FirstRead,
}

impl LearnedFrom {
    /// Its name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Watch => "watched",
            Self::Node => "told",
            Self::FirstRead => "found",
        }
    }
}

/// One back end that is to be brought to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The back end.
    pub backend: BackendId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightsVersion,
    /// How long it gets no new requests before the order, so that those that run there can end.
    pub drain: Duration,
}

/// What a back end reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// An order is under way.
    pub busy: bool,
    /// Requests that run or wait there.
    pub requests: u32,
    /// Orders taken since its start.
    pub sequence: u64,
    /// The versions of its models.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// Whether it is about to end.
    pub leaving: bool,
}

/// What to do with a back end after its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It has the version or a newer one.
    Done,
    /// It is at work on an order: ask again later.
    Wait,
    /// Requests still run there: ask again later.
    Drain,
    /// Give the order, on the condition that it has taken `sequence` orders.
    Order {
        /// The number of orders that it has taken.
        sequence: u64,
        /// What becomes of the requests that run there.
        mode: LoadMode,
    },
}

/// Decides what follows a back end's report, where it has got no new requests for the time `drained`.
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

/// The named versions, and who is being brought to them.
#[derive(Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    /// The named versions.
    pub target_versions: TargetVersions,
    active: BTreeSet<BackendId>,
    /// Back ends that could not be brought to their version, and until when they are left alone.
    postponed_until: BTreeMap<BackendId, Timestamp>,
}

/// How much more than their part of the requests the engines with a preferred version get. What nodes know of each
/// other's requests is late: if all requests preferred the first few engines that have a version, they would queue there
/// for longer than the older weights cost.
const PREFERRED_MORE: f64 = 1.5;

/// Whether a request with this `draw` prefers the engines that have the preferred version, `having` of `all`.
pub fn prefers(draw: u64, having: usize, all: usize) -> bool {
    let share = having as f64 / all.max(1) as f64;
    (draw as f64) < share * PREFERRED_MORE * u64::MAX as f64
}

/// The time that loading usually takes, with the order and the look at what came of it.
pub const TYPICAL_LOAD_TIME: Duration = Duration::from_millis(750);
/// The time that is left to orders that are lost and to a change of leader.
const RESERVE: Duration = Duration::from_millis(600);
/// The longest time for which a back end is drained: a pool at its limit suffers more from the engines that it lacks than
/// from the few streams that pause for a load.
const LONGEST_DRAIN: Duration = Duration::from_millis(600);
/// How long after a version was named requests begin to prefer back ends that have it: answers on older weights are
/// worth less from soon after the naming on.
const PREFERRED_AFTER: Duration = Duration::from_millis(1_100);
/// How much before the bound a request that has not begun is taken back.
const BEGIN_MARGIN: Duration = Duration::from_millis(250);
/// The longest wait at a back end that is reckoned with.
const LONGEST_WAIT: Duration = Duration::from_millis(3_000);
/// How long a back end that could not be brought to its version is left alone: the others get theirs meanwhile.
pub const UPDATE_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Thousandths in a whole.
const PER_MILLE: usize = 1_000;
/// One in so many back ends is worked on at the same time.
const PART: usize = 3;

impl Rollout {
    /// Knows no version.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            target_versions: TargetVersions::default(),
            active: BTreeSet::new(),
            postponed_until: BTreeMap::new(),
        }
    }

    /// The newest named version of a model.
    pub fn newest(&self, model: &ModelId) -> Option<WeightsVersion> {
        self.target_versions.newest(model).map(|naming| naming.version)
    }

    /// The oldest version of a model on which a request may still begin, where it begins up to `waits` after it was
    /// sent.
    ///
    /// Where nobody knows when a version was named it may have been long ago: older ones get nothing from then on.
    pub fn required(&self, model: &ModelId, waits: Duration, now: Timestamp) -> Option<WeightsVersion> {
        let after = self.settings.bound.saturating_sub(self.settings.margin + waits.min(LONGEST_WAIT));
        let is_due = |naming: &&TargetVersion| naming.may_be_older_than(after, now);
        self.target_versions.of(model).iter().rev().find(is_due).map(|naming| naming.version)
    }

    /// Until when a request that was sent to a back end with `held` must have begun; after that it would begin on a
    /// version that is too old. This is long over where nobody knows when a newer one was named.
    pub fn begin_by(&self, model: &ModelId, held: WeightsVersion) -> Option<Timestamp> {
        let newer = self.target_versions.first_newer(model, held)?;
        let lasts = self.settings.bound.saturating_sub(BEGIN_MARGIN);
        Some(newer.not_before.map_or(Timestamp::ZERO, |after| after + lasts))
    }

    /// Back ends to begin with now. Each counts as active until [`Rollout::ended`]. Those whose versions are oldest
    /// come first, and among them the idle ones: otherwise names that follow each other closely leave some behind.
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
        let at_once = self.at_once(ready.len());
        let free = at_once.saturating_sub(self.active.len());
        let mut waiting: Vec<(WeightsVersion, u32, Target)> = ready
            .into_iter()
            .filter(|backend| !self.active.contains(&backend.entry.id))
            .filter_map(|backend| self.target(backend))
            .map(|(held, target)| (held, requests(&target.backend), target))
            .collect();
        waiting.sort_by(|left, right| {
            (left.0, left.1, &left.2.backend).cmp(&(right.0, right.1, &right.2.backend))
        });
        let lacking = waiting.len();
        let oldest = waiting.first().map(|(held, _, target)| (*held, target.model.clone()));
        let drain =
            oldest.map_or(Duration::ZERO, |(held, model)| self.drain(&model, held, lacking, at_once, now));
        let begun: Vec<Target> =
            waiting.into_iter().take(free).map(|(.., target)| Target { drain, ..target }).collect();
        self.active.extend(begun.iter().map(|target| target.backend.clone()));
        begun
    }

    /// A back end is done with, or given up for now.
    pub fn ended(&mut self, backend: &BackendId) {
        self.active.remove(backend);
    }

    /// A back end could not be brought to its version, as where it does not answer or another process has its address:
    /// it makes room for others, and is tried again after a pause.
    pub fn postpone(&mut self, backend: &BackendId, now: Timestamp) {
        self.active.remove(backend);
        self.postponed_until.insert(backend.clone(), now + UPDATE_RETRY_INTERVAL);
    }

    /// A part of the back ends at the same time: the others carry its requests.
    fn at_once(&self, backends: usize) -> usize {
        (backends / PART).max(self.max_concurrent_loads(backends).min(backends / 2)).max(1)
    }

    /// How many of a pool's back ends may load weights at the same time: more of them slow each other down.
    pub fn max_concurrent_loads(&self, backends: usize) -> usize {
        (backends * self.settings.loads_per_mille / PER_MILLE).max(self.settings.min_loads)
    }

    /// The version of a model that requests rather begin on, where one was named long enough ago.
    pub fn preferred(&self, model: &ModelId, now: Timestamp) -> Option<WeightsVersion> {
        let is_ripe = |naming: &&TargetVersion| naming.may_be_older_than(PREFERRED_AFTER, now);
        self.target_versions.of(model).iter().rev().find(is_ripe).map(|naming| naming.version)
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

    /// The time for which each of `lacking` back ends may be drained so that all are done in time, where the oldest
    /// of them has version `held`.
    fn drain(
        &self,
        model: &ModelId,
        held: WeightsVersion,
        lacking: usize,
        at_once: usize,
        now: Timestamp,
    ) -> Duration {
        let Some(after) = self.target_versions.first_newer(model, held).and_then(|naming| naming.not_before)
        else {
            return Duration::ZERO;
        };
        let due = after + self.settings.bound.saturating_sub(self.settings.margin + RESERVE);
        let rounds = u32::try_from(lacking.div_ceil(at_once).max(1)).unwrap_or(u32::MAX);
        (due.saturating_since(now) / rounds).saturating_sub(TYPICAL_LOAD_TIME).min(LONGEST_DRAIN)
    }
}
