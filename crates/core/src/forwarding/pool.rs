//! The back ends of one service that may get work, indexed so that a request need not look at all of them.

use std::collections::BTreeMap;

use paddlemount_protocol::identity::{ModelId, WeightsVersion};

use super::{
    backends::{Backend, BackendId, BackendState},
    ranks::rank,
};

/// A back end with its rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ranked {
    /// Its rank.
    pub rank: u64,
    /// Its identity.
    pub id: BackendId,
}

/// The back ends of one service, by rank.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    ready: Vec<Ranked>,
    doubted: Vec<Ranked>,
    /// Those that have said themselves that they leave.
    departing: Vec<Ranked>,
    /// How many of the ready ones have which version of a model's weights.
    versions: BTreeMap<ModelId, BTreeMap<WeightsVersion, usize>>,
}

impl Pool {
    /// A back end has come, or come back, with this standing.
    pub(super) fn enter(&mut self, backend: &Backend) {
        let ranked = Ranked { rank: rank(&backend.entry.id), id: backend.entry.id.clone() };
        let list = match backend.state {
            BackendState::Ready => &mut self.ready,
            BackendState::Suspect { .. } => &mut self.doubted,
            BackendState::Departing { .. } => &mut self.departing,
            BackendState::Leaving | BackendState::Replaced => return,
        };
        if let Err(place) = list.binary_search(&ranked) {
            list.insert(place, ranked);
        }
        if backend.state == BackendState::Ready {
            for (model, version) in &backend.entry.weights {
                *self.versions.entry(model.clone()).or_default().entry(*version).or_default() += 1;
            }
        }
    }

    /// A back end that has entered with this standing is gone, or is about to change.
    pub(super) fn leave(&mut self, backend: &Backend) {
        let ranked = Ranked { rank: rank(&backend.entry.id), id: backend.entry.id.clone() };
        for list in [&mut self.ready, &mut self.doubted, &mut self.departing] {
            if let Ok(place) = list.binary_search(&ranked) {
                list.remove(place);
            }
        }
        if backend.state == BackendState::Ready {
            for (model, version) in &backend.entry.weights {
                self.forget_version(model, *version);
            }
        }
    }

    fn forget_version(&mut self, model: &ModelId, version: WeightsVersion) {
        let Some(versions) = self.versions.get_mut(model) else { return };
        if let Some(count) = versions.get_mut(&version) {
            *count = count.saturating_sub(1);
        }
        versions.retain(|_, count| *count > 0);
    }

    /// The back ends that may get work: the ready ones, and the doubted ones where fewer than half are ready. Where there is
    /// none of either, those that depart.
    pub fn usable(&self) -> impl Iterator<Item = &Ranked> {
        self.ready.iter().chain(self.doubted_in_use()).chain(self.departing_in_use())
    }

    /// The number of back ends that may get work.
    pub fn len(&self) -> usize {
        self.ready.len() + self.doubted_in_use().len() + self.departing_in_use().len()
    }

    /// Whether none may get work.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// One of the back ends that may get work.
    pub fn get(&self, index: usize) -> Option<&Ranked> {
        let others = if self.uses_departing() { &self.departing } else { self.doubted_in_use() };
        self.ready.get(index).or_else(|| others.get(index - self.ready.len()))
    }

    /// Whether doubted back ends are in use.
    pub fn uses_suspect(&self) -> bool {
        self.ready.len() < self.doubted.len()
    }

    /// Whether back ends that depart are in use: nobody else is left.
    pub const fn uses_departing(&self) -> bool {
        self.ready.is_empty() && self.doubted.is_empty()
    }

    fn departing_in_use(&self) -> &[Ranked] {
        if self.uses_departing() { &self.departing } else { &[] }
    }

    fn doubted_in_use(&self) -> &[Ranked] {
        if self.uses_suspect() { &self.doubted } else { &[] }
    }

    /// How many of the ready back ends have which version of a model's weights, the oldest first.
    pub fn versions(&self, model: &ModelId) -> impl DoubleEndedIterator<Item = (WeightsVersion, usize)> {
        self.versions.get(model).into_iter().flatten().map(|(version, count)| (*version, *count))
    }
}
