//! Decides which of several back ends owns an address.
//!
//! An address belongs to one process at a time, but entries outlive their processes by seconds, so that two
//! entries may name the same address. The later entry wins. Where the order is unknown, as in a listing, both
//! stay in use until an answer shows which process is there.
//!
//! A replaced back end gets no requests until its own entry changes, or no other back end is known at its
//! address. Its entry is kept as long as the registry has it, so that a repeated entry does not bring it
//! back. An answer from another process replaces the back end that was requested; the process that answered
//! is used only if it has an entry of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::backends::{Backend, BackendEntry, BackendId, BackendState, Backends, EntryChange};

/// How an entry was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntrySource {
    /// As an update, which is later than everything that is known.
    Update,
    /// In a listing or snapshot, whose entries have no order in time.
    Listing,
}

/// The effect of an applied entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    pub change: EntryChange,
    /// The back ends that it replaced.
    pub replaced: Vec<Replacement>,
}

/// A back end was replaced by another one at its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The replaced back end.
    pub backend: BackendId,
    /// The back end that owns the address.
    pub by: BackendId,
}

/// The back ends whose entries name each address.
#[derive(Debug, Default)]
pub(super) struct Addresses(BTreeMap<SocketAddr, BTreeSet<BackendId>>);

impl Addresses {
    pub(super) fn insert(&mut self, entry: &BackendEntry) {
        self.0.entry(entry.address).or_default().insert(entry.id.clone());
    }

    pub(super) fn remove(&mut self, entry: &BackendEntry) {
        let Some(at_address) = self.0.get_mut(&entry.address) else { return };
        at_address.remove(&entry.id);
        if at_address.is_empty() {
            self.0.remove(&entry.address);
        }
    }

    fn at(&self, address: SocketAddr) -> Vec<BackendId> {
        self.0.get(&address).into_iter().flatten().cloned().collect()
    }

    fn others(&self, entry: &BackendEntry) -> Vec<BackendId> {
        let at_address = self.0.get(&entry.address).into_iter().flatten();
        at_address.filter(|id| **id != entry.id).cloned().collect()
    }
}

impl BackendEntry {
    /// Whether `entry` has nothing new. Its weights may be older, as answers may have shown newer ones.
    pub(super) fn is_repeated_by(&self, entry: &Self) -> bool {
        let mut weights = entry.weights.iter();
        weights.all(|(model, version)| self.weights.get(model).is_some_and(|known| known >= version))
            && *self == Self { weights: self.weights.clone(), ..entry.clone() }
    }
}

impl Backends {
    /// Applies an entry and decides who owns its address.
    pub fn apply_entry(&mut self, entry: BackendEntry, source: EntrySource) -> AppliedEntry {
        let id = entry.id.clone();
        let before = self.get(&id).map(|known| (known.entry.address, known.state));
        let change = self.put(entry);
        let is_new_at_address = match (change, before, self.get(&id)) {
            (EntryChange::Appeared | EntryChange::Restarted, _, _) => true,
            (EntryChange::Updated, Some((address, state)), Some(known)) => {
                address != known.entry.address || state != known.state
            }
            _ => false,
        };
        let replaced = if is_new_at_address { self.resolve_owner(&id, source) } else { Vec::new() };
        AppliedEntry { change, replaced }
    }

    /// Records that an answer from `address` came from `by` instead of `id`. Returns whether that is new.
    pub fn observe_misdirected(&mut self, id: &BackendId, address: SocketAddr, by: &BackendId) -> bool {
        let is_at_address =
            |known: &BackendId| self.get(known).is_some_and(|known| known.entry.address == address);
        if id == by || !is_at_address(id) {
            return false;
        }
        let by_is_at_address = is_at_address(by);
        let state = self.get(id).map(|known| known.state);
        // If `id` is already known to be gone, a later process may have taken the address since.
        if !matches!(state, Some(BackendState::Ready | BackendState::Suspect { .. })) {
            return false;
        }
        if by_is_at_address {
            self.reactivate(by);
        }
        self.replace(id)
    }

    /// Returns and clears the replaced back ends that have got their address back.
    pub fn take_reactivated(&mut self) -> Vec<BackendId> {
        std::mem::take(&mut self.reactivated)
    }

    /// Reactivates the latest of the replaced back ends at an address that an entry has left, if no other is
    /// known there: a stale entry may have arrived after that of the live process.
    pub(super) fn reactivate_latest(&mut self, address: SocketAddr) {
        let at_address: Vec<&Backend> =
            self.addresses.at(address).iter().filter_map(|id| self.get(id)).collect();
        if at_address.iter().any(|backend| backend.state != BackendState::Replaced) {
            return;
        }
        let latest = at_address.into_iter().max_by_key(|backend| backend.entry.started_at);
        let Some(id) = latest.map(|backend| backend.entry.id.clone()) else { return };
        self.reactivate(&id);
        self.reactivated.push(id);
    }

    /// Replaces the earlier back ends at the address of a new entry, or the new one if it is earlier.
    fn resolve_owner(&mut self, id: &BackendId, source: EntrySource) -> Vec<Replacement> {
        let Some(newcomer) = self.get(id).map(|known| known.entry.clone()) else { return Vec::new() };
        // A back end that is already leaving when it is first seen may have stopped long ago.
        if newcomer.leaving || self.announcements.draining_since(&newcomer).is_some() {
            return Vec::new();
        }
        let mut replaced = Vec::new();
        for other in self.addresses.others(&newcomer) {
            let Some(known) = self.get(&other) else { continue };
            let other_is_earlier = match (known.entry.started_at, newcomer.started_at) {
                (Some(known), Some(started_at)) if known != started_at => Some(known < started_at),
                _ if source == EntrySource::Update => Some(true),
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

    /// Marks a back end as replaced. A suspect, which has no entry, is dropped.
    fn replace(&mut self, id: &BackendId) -> bool {
        match self.get(id).map(|known| known.state) {
            Some(BackendState::Ready) => self.set_state(id, BackendState::Replaced),
            Some(BackendState::Suspect { .. }) => self.drop(id),
            Some(BackendState::Leaving | BackendState::Draining { .. } | BackendState::Replaced) | None => {
                return false;
            }
        }
        true
    }

    fn reactivate(&mut self, id: &BackendId) {
        let Some(known) = self.get(id).filter(|known| known.state == BackendState::Replaced) else { return };
        let state = self.state_with(&known.entry);
        self.set_state(id, state);
    }
}
