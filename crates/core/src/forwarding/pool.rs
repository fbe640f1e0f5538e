//! The back ends of one service that may get requests, indexed so that a request need not scan all of them.

use std::collections::BTreeMap;

use paddlemount_protocol::identity::{ModelId, WeightsVersion};

use super::{
    backends::{Backend, BackendId, BackendState},
    ranks::rank,
};

/// A back end with its rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ranked {
    pub rank: u64,
    pub id: BackendId,
}

/// The back ends of one service, ordered by rank.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    ready: Vec<Ranked>,
    suspects: Vec<Ranked>,
    /// Back ends that have announced that they drain.
    draining: Vec<Ranked>,
    /// The number of ready back ends per model and version.
    versions: BTreeMap<ModelId, BTreeMap<WeightsVersion, usize>>,
}

impl Pool {
    /// A pool of these back ends, whatever their states.
    pub fn of<'a>(backends: impl Iterator<Item = &'a BackendId>) -> Self {
        let mut ready: Vec<Ranked> = backends.map(|id| Ranked { rank: rank(id), id: id.clone() }).collect();
        ready.sort();
        Self { ready, ..Self::default() }
    }

    /// Adds a back end in its present state.
    pub(super) fn insert(&mut self, backend: &Backend) {
        let ranked = Ranked { rank: rank(&backend.entry.id), id: backend.entry.id.clone() };
        let list = match backend.state {
            BackendState::Ready => &mut self.ready,
            BackendState::Suspect { .. } => &mut self.suspects,
            BackendState::Draining { .. } => &mut self.draining,
            BackendState::Leaving | BackendState::Replaced => return,
        };
        if let Err(index) = list.binary_search(&ranked) {
            list.insert(index, ranked);
        }
        if backend.state == BackendState::Ready {
            for (model, version) in &backend.entry.weights {
                *self.versions.entry(model.clone()).or_default().entry(*version).or_default() += 1;
            }
        }
    }

    /// Removes a back end; its state and entry must be those with which it was added.
    pub(super) fn remove(&mut self, backend: &Backend) {
        let ranked = Ranked { rank: rank(&backend.entry.id), id: backend.entry.id.clone() };
        for list in [&mut self.ready, &mut self.suspects, &mut self.draining] {
            if let Ok(index) = list.binary_search(&ranked) {
                list.remove(index);
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

    /// The back ends that may get requests: the ready ones, and the suspects where fewer than half are ready.
    /// Where there are neither, the draining ones.
    pub fn usable(&self) -> impl Iterator<Item = &Ranked> {
        self.ready.iter().chain(self.suspects_in_use()).chain(self.draining_in_use())
    }

    /// The number of back ends that may get requests.
    pub fn len(&self) -> usize {
        self.ready.len() + self.suspects_in_use().len() + self.draining_in_use().len()
    }

    /// Whether no back end may get requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The back end at `index` among those that may get requests.
    pub fn get(&self, index: usize) -> Option<&Ranked> {
        let others = if self.uses_draining() { &self.draining } else { self.suspects_in_use() };
        self.ready.get(index).or_else(|| others.get(index - self.ready.len()))
    }

    /// Whether suspects are in use.
    pub fn uses_suspect(&self) -> bool {
        self.ready.len() < self.suspects.len()
    }

    /// Whether draining back ends are in use, as no others are left.
    pub const fn uses_draining(&self) -> bool {
        self.ready.is_empty() && self.suspects.is_empty()
    }

    fn draining_in_use(&self) -> &[Ranked] {
        if self.uses_draining() { &self.draining } else { &[] }
    }

    fn suspects_in_use(&self) -> &[Ranked] {
        if self.uses_suspect() { &self.suspects } else { &[] }
    }

    /// The versions of a model's weights on the ready back ends and how many have each, oldest first.
    pub fn versions(&self, model: &ModelId) -> impl DoubleEndedIterator<Item = (WeightsVersion, usize)> {
        self.versions.get(model).into_iter().flatten().map(|(version, count)| (*version, *count))
    }
}
