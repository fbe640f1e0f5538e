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

use super::backends::{Backend, BackendId, Standing};

/// Settings of a [`Rollout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Back ends that load weights at the same time.
    pub at_once: usize,
    /// The time after which no request may begin on an older version than the named one.
    pub bound: Duration,
    /// How much earlier than the bound older versions are left alone.
    pub margin: Duration,
}

/// A version that the operator has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Named {
    version: WeightsVersion,
    learned_at: Timestamp,
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
}

/// What a back end reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// An order is under way.
    pub busy: bool,
    /// Orders taken since its start.
    pub sequence: u64,
    /// The versions of its models.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
}

/// What to do with a back end after its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It has the version or a newer one.
    Done,
    /// It is at work on an order: ask again later.
    Wait,
    /// Give the order, on the condition that it has taken `sequence` orders.
    Order {
        /// The number of orders that it has taken.
        sequence: u64,
    },
}

/// Decides what follows a back end's report.
pub fn after_report(target: &Target, report: &EngineReport) -> Step {
    match report.weights.get(&target.model) {
        Some(version) if *version >= target.version => Step::Done,
        _ if report.busy => Step::Wait,
        _ => Step::Order { sequence: report.sequence },
    }
}

/// The named versions, and who is being brought to them.
#[derive(Debug)]
pub struct Rollout {
    settings: RolloutSettings,
    named: BTreeMap<ModelId, Vec<Named>>,
    active: BTreeSet<BackendId>,
}

/// Named versions that are remembered for a model.
const MOST_NAMED: usize = 16;

impl Rollout {
    /// Knows no version.
    pub const fn new(settings: RolloutSettings) -> Self {
        Self { settings, named: BTreeMap::new(), active: BTreeSet::new() }
    }

    /// The operator has named a version. Tells whether it is news.
    pub fn name(&mut self, model: ModelId, version: WeightsVersion, now: Timestamp) -> bool {
        let named = self.named.entry(model).or_default();
        if named.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        named.push(Named { version, learned_at: now });
        if named.len() > MOST_NAMED {
            named.remove(0);
        }
        true
    }

    /// The newest named version of a model.
    pub fn newest(&self, model: &ModelId) -> Option<WeightsVersion> {
        self.named.get(model)?.last().map(|named| named.version)
    }

    /// The oldest version of a model on which a request may still begin.
    pub fn required(&self, model: &ModelId, now: Timestamp) -> Option<WeightsVersion> {
        let after = self.settings.bound.saturating_sub(self.settings.margin);
        let due = |named: &&Named| now.saturating_since(named.learned_at) >= after;
        self.named.get(model)?.iter().rev().find(due).map(|named| named.version)
    }

    /// Back ends to begin with now. Each counts as active until [`Rollout::ended`].
    pub fn begin<'a>(
        &mut self,
        backends: impl Iterator<Item = &'a Backend>,
        requests: impl Fn(&BackendId) -> u32,
    ) -> Vec<Target> {
        let free = self.settings.at_once.saturating_sub(self.active.len());
        if free == 0 {
            return Vec::new();
        }
        let mut waiting: Vec<(u32, Target)> = backends
            .filter(|backend| backend.standing == Standing::Ready && !self.active.contains(&backend.entry.id))
            .filter_map(|backend| self.target(backend))
            .map(|target| (requests(&target.backend), target))
            .collect();
        waiting.sort_by(|left, right| (left.0, &left.1.backend).cmp(&(right.0, &right.1.backend)));
        let begun: Vec<Target> = waiting.into_iter().take(free).map(|(_, target)| target).collect();
        self.active.extend(begun.iter().map(|target| target.backend.clone()));
        begun
    }

    /// A back end is done with, or given up for now.
    pub fn ended(&mut self, backend: &BackendId) {
        self.active.remove(backend);
    }

    /// Whether any of `backends` has yet to be brought to a version.
    pub fn has_work<'a>(&self, mut backends: impl Iterator<Item = &'a Backend>) -> bool {
        backends.any(|backend| backend.standing == Standing::Ready && self.target(backend).is_some())
    }

    fn target(&self, backend: &Backend) -> Option<Target> {
        backend.entry.weights.iter().find_map(|(model, version)| {
            let newest = self.newest(model)?;
            (newest > *version).then(|| Target {
                backend: backend.entry.id.clone(),
                model: model.clone(),
                version: newest,
            })
        })
    }
}
