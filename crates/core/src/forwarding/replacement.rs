//! Which of several back ends has an address.
//!
//! An address belongs to one process at a time. Entries outlive their processes by seconds, so that two may name one address:
//! the later one holds. Where their order is not known, as in a listing, both stand until an answer tells who is there.
//!
//! A back end that was replaced gets no work until its own entry changes, or nobody else is known at its address. Its entry is kept as long as the registry
//! holds it, so that hearing of it once more brings nothing back. What an answer says is believed of the one that was asked;
//! who answered is known by an entry of its own only, and where that one had been taken to be replaced, it is back.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::backends::{Backend, BackendEntry, BackendId, BackendState, Backends, EntryChange};

/// How an entry was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntrySource {
    /// As a change: it is later than all that is known.
    Update,
    /// In a listing or a snapshot of all, which is in no order of time.
    Listing,
}

/// What followed an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    /// What changed with the entry.
    pub change: EntryChange,
    /// Who was replaced.
    pub replaced: Vec<Replacement>,
}

/// One back end has the address of another that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The one that is gone.
    pub backend: BackendId,
    /// The one that has its address.
    pub by: BackendId,
}

/// The back ends whose entries name each address.
#[derive(Debug, Default)]
pub(super) struct Addresses(BTreeMap<SocketAddr, BTreeSet<BackendId>>);

impl Addresses {
    pub(super) fn enter(&mut self, entry: &BackendEntry) {
        self.0.entry(entry.address).or_default().insert(entry.id.clone());
    }

    pub(super) fn leave(&mut self, entry: &BackendEntry) {
        let Some(named) = self.0.get_mut(&entry.address) else { return };
        named.remove(&entry.id);
        if named.is_empty() {
            self.0.remove(&entry.address);
        }
    }

    fn at(&self, address: SocketAddr) -> Vec<BackendId> {
        self.0.get(&address).into_iter().flatten().cloned().collect()
    }

    fn others(&self, entry: &BackendEntry) -> Vec<BackendId> {
        let named = self.0.get(&entry.address).into_iter().flatten();
        named.filter(|id| **id != entry.id).cloned().collect()
    }
}

impl BackendEntry {
    /// Whether `entry` tells nothing that this one does not. Its weights may be older: an answer may have shown newer ones.
    pub(super) fn is_repeated_by(&self, entry: &Self) -> bool {
        let mut weights = entry.weights.iter();
        weights.all(|(model, version)| self.weights.get(model).is_some_and(|known| known >= version))
            && *self == Self { weights: self.weights.clone(), ..entry.clone() }
    }
}

impl Backends {
    /// Takes an entry in, and settles who has its address.
    pub fn apply_entry(&mut self, entry: BackendEntry, heard: EntrySource) -> AppliedEntry {
        let id = entry.id.clone();
        let before = self.get(&id).map(|known| (known.entry.address, known.state));
        let change = self.put(entry);
        let comes = match (change, before, self.get(&id)) {
            (EntryChange::Appeared | EntryChange::Restarted, _, _) => true,
            (EntryChange::Updated, Some((address, state)), Some(known)) => {
                address != known.entry.address || state != known.state
            }
            _ => false,
        };
        let replaced = if comes { self.settle(&id, heard) } else { Vec::new() };
        AppliedEntry { change, replaced }
    }

    /// An answer from `address` named `by` in place of `id`, which was asked there. Whether that is news.
    pub fn observe_misdirected(&mut self, id: &BackendId, address: SocketAddr, by: &BackendId) -> bool {
        let is_there =
            |known: &BackendId| self.get(known).is_some_and(|known| known.entry.address == address);
        if id == by || !is_there(id) {
            return false;
        }
        let by_is_there = is_there(by);
        let state = self.get(id).map(|known| known.state);
        // Of an answer that is no news a later process may have come there since.
        if !matches!(state, Some(BackendState::Ready | BackendState::Suspect { .. })) {
            return false;
        }
        if by_is_there {
            self.come_back(by);
        }
        self.replace(id)
    }

    /// Those that were replaced and have since been given their address back.
    pub fn take_reopened(&mut self) -> Vec<BackendId> {
        std::mem::take(&mut self.reopened)
    }

    /// An entry has left `address`. Where all others that name it were replaced, nobody is known to have it, and the latest
    /// of them may be alive: an entry that outlived its process may have been heard of after that of the present one.
    pub(super) fn reopen(&mut self, address: SocketAddr) {
        let named: Vec<&Backend> = self.addresses.at(address).iter().filter_map(|id| self.get(id)).collect();
        if named.iter().any(|backend| backend.state != BackendState::Replaced) {
            return;
        }
        let latest = named.into_iter().max_by_key(|backend| backend.entry.born);
        let Some(id) = latest.map(|backend| backend.entry.id.clone()) else { return };
        self.come_back(&id);
        self.reopened.push(id);
    }

    /// A back end has come to the address in its entry: the earlier ones there are gone, or it is itself.
    fn settle(&mut self, id: &BackendId, heard: EntrySource) -> Vec<Replacement> {
        let Some(newcomer) = self.get(id).map(|known| known.entry.clone()) else { return Vec::new() };
        // One that is heard of for the first time as it leaves may have left long ago.
        if newcomer.leaving || self.announcements.leaving_since(&newcomer).is_some() {
            return Vec::new();
        }
        let mut replaced = Vec::new();
        for other in self.addresses.others(&newcomer) {
            let Some(known) = self.get(&other) else { continue };
            let other_is_earlier = match (known.entry.born, newcomer.born) {
                (Some(known), Some(born)) if known != born => Some(known < born),
                _ if heard == EntrySource::Update => Some(true),
                _ => None,
            };
            let is_gone = known.state == BackendState::Replaced;
            let (backend, by) = match other_is_earlier {
                Some(true) => (other, id.clone()),
                Some(false) if !is_gone => (id.clone(), other),
                Some(false) | None => continue,
            };
            if self.replace(&backend) {
                replaced.push(Replacement { backend, by });
            }
        }
        replaced
    }

    /// A back end is gone though its entry stands. One whose entry has vanished as well is dropped.
    fn replace(&mut self, id: &BackendId) -> bool {
        match self.get(id).map(|known| known.state) {
            Some(BackendState::Ready) => self.set_state(id, BackendState::Replaced),
            Some(BackendState::Suspect { .. }) => self.drop(id),
            Some(BackendState::Leaving | BackendState::Departing { .. } | BackendState::Replaced) | None => {
                return false;
            }
        }
        true
    }

    fn come_back(&mut self, id: &BackendId) {
        let Some(known) = self.get(id).filter(|known| known.state == BackendState::Replaced) else { return };
        let state = self.state_with(&known.entry);
        self.set_state(id, state);
    }
}
