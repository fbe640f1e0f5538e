//! Back ends as the registry tells of them.
//!
//! A back end is known by the identity of one start of its process. The registry's word that it is leaving counts
//! at once, and so does its own ([`super::announcements`]). An entry that vanishes while the registry is away, or has just
//! returned, says little: such a back end is doubted and gets work only where too few others are left.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use paddlemount_protocol::{
    identity::{EngineId, ModelId, ServiceId, WeightsVersion, ZoneId},
    time::Timestamp,
};

use serde::{Deserialize, Serialize};

use super::{announcements::Announcements, pool::Pool, registry::Registry, replacement::Addresses};

/// One start of a back end: a model engine, or an instance of another service.
pub type BackendId = EngineId;

/// How long a back end is doubted at most, however long the registry is away.
const LONGEST_DOUBT: Duration = Duration::from_secs(30);

/// A back end's entry in the registry. Nodes pass entries on to each other as JSON rows of their fields: there may be ten
/// thousand of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "EntryRow", into = "EntryRow")]
pub struct BackendEntry {
    /// Its identity.
    pub id: BackendId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub leaving: bool,
    /// The versions of its models' weights.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// When its process started, in Unix milliseconds, where it says so. A back end that starts again may keep its
    /// identity; it then knows nothing of before.
    pub born: Option<u64>,
}

/// The fields of an entry in their order on the wire.
type EntryRow =
    (BackendId, ServiceId, SocketAddr, ZoneId, u32, bool, BTreeMap<ModelId, WeightsVersion>, Option<u64>);

impl From<EntryRow> for BackendEntry {
    fn from((id, service, address, zone, slots, leaving, weights, born): EntryRow) -> Self {
        Self { id, service, address, zone, slots, leaving, weights, born }
    }
}

impl From<BackendEntry> for EntryRow {
    fn from(entry: BackendEntry) -> Self {
        let BackendEntry { id, service, address, zone, slots, leaving, weights, born } = entry;
        (id, service, address, zone, slots, leaving, weights, born)
    }
}

/// Whether a back end may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It may.
    Ready,
    /// It must not: the registry says that it is leaving.
    Leaving,
    /// It has said itself that it is leaving, which the registry has not told. It gets work only where nobody else is left,
    /// and for a short time.
    Departing {
        /// When that was first heard.
        since: Timestamp,
    },
    /// Its entry vanished while the registry was away or returning.
    Suspect {
        /// When the entry vanished.
        since: Timestamp,
    },
    /// It must not: another process has its address, though its entry stands.
    Replaced,
}

impl BackendState {
    /// Whether the back end is leaving, by the registry's word or its own.
    pub const fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving | Self::Departing { .. })
    }
}

/// A back end as believed.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its entry, as last seen.
    pub entry: BackendEntry,
    /// Whether it may get new work.
    pub state: BackendState,
    /// It is being given new weights, until then at most.
    pub loading_until: Option<Timestamp>,
    /// Whether an answer or a report has shown weights that the registry's last word did not.
    pub weights_observed: bool,
}

impl Backend {
    /// Whether it is being given new weights.
    pub fn is_loading(&self, now: Timestamp) -> bool {
        self.loading_until.is_some_and(|until| now < until)
    }
}

/// All back ends believed to exist.
#[derive(Debug, Default)]
pub struct Backends {
    /// Whether the registry's silence about a back end counts.
    pub registry: Registry,
    /// What back ends have said of themselves.
    pub announcements: Announcements,
    by_id: BTreeMap<BackendId, Backend>,
    pub(super) addresses: Addresses,
    /// Those that were replaced and get work again, as nobody else is known to have their address.
    pub(super) reopened: Vec<BackendId>,
    pools: BTreeMap<ServiceId, Pool>,
    /// Those that are being given new weights, or were.
    loading: BTreeSet<BackendId>,
}

/// What changed with an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// A back end that was not known.
    Appeared,
    /// It is now leaving.
    Leaving,
    /// Something else of the entry.
    Updated,
    /// Its process has started again under its identity: nothing of what was known of it holds.
    Restarted,
    /// The entry is as it was.
    None,
    /// The entry is gone, and the back end with it.
    Removed,
    /// The entry is gone while the registry is away or returning.
    Suspect,
}

impl Backends {
    /// Takes an entry in.
    pub fn put(&mut self, entry: BackendEntry) -> EntryChange {
        let state = self.state_with(&entry);
        let Some(known) = self.by_id.get_mut(&entry.id) else {
            let backend =
                Backend { entry: entry.clone(), state, loading_until: None, weights_observed: false };
            self.pools.entry(entry.service.clone()).or_default().enter(&backend);
            self.addresses.enter(&entry);
            self.by_id.insert(entry.id, backend);
            return EntryChange::Appeared;
        };
        // Listings, snapshots and relays repeat the entry of a process that is gone.
        if known.state == BackendState::Replaced && known.entry.is_repeated_by(&entry) {
            return EntryChange::None;
        }
        known.weights_observed = false;
        let started_again =
            matches!((known.entry.born, entry.born), (Some(before), Some(now)) if before != now);
        // A process that said once that it is leaving does not stay.
        let state = match known.state {
            BackendState::Leaving if !started_again => BackendState::Leaving,
            BackendState::Departing { .. } if !started_again && state == BackendState::Ready => known.state,
            _ => state,
        };
        let change = match (known.state == state, known.entry == entry) {
            _ if started_again => EntryChange::Restarted,
            (true, true) => EntryChange::None,
            (false, _) if state == BackendState::Leaving => EntryChange::Leaving,
            _ => EntryChange::Updated,
        };
        if known.entry.weights != entry.weights {
            known.loading_until = None;
        }
        if change != EntryChange::None {
            let left = known.entry.address;
            self.pools.entry(known.entry.service.clone()).or_default().leave(known);
            self.addresses.leave(&known.entry);
            self.addresses.enter(&entry);
            known.state = state;
            known.entry = entry;
            self.pools.entry(known.entry.service.clone()).or_default().enter(known);
            self.reopen(left);
        }
        change
    }

    /// An entry is gone.
    pub fn remove(&mut self, id: &BackendId, now: Timestamp) -> EntryChange {
        let Some(known) = self.by_id.get(id) else { return EntryChange::None };
        let doubtful = self.registry.may_lack_entries(now);
        match known.state {
            BackendState::Ready if doubtful => {
                self.set_state(id, BackendState::Suspect { since: now });
                return EntryChange::Suspect;
            }
            BackendState::Suspect { .. } if doubtful => return EntryChange::None,
            BackendState::Ready
            | BackendState::Suspect { .. }
            | BackendState::Leaving
            | BackendState::Departing { .. }
            | BackendState::Replaced => {}
        }
        self.drop(id);
        EntryChange::Removed
    }

    /// A back end stands otherwise from now on.
    pub(super) fn set_state(&mut self, id: &BackendId, state: BackendState) {
        let Some(known) = self.by_id.get_mut(id) else { return };
        let pool = self.pools.entry(known.entry.service.clone()).or_default();
        pool.leave(known);
        known.state = state;
        pool.enter(known);
    }

    pub(super) fn drop(&mut self, id: &BackendId) {
        self.loading.remove(id);
        let Some(backend) = self.by_id.remove(id) else { return };
        self.addresses.leave(&backend.entry);
        if let Some(pool) = self.pools.get_mut(&backend.entry.service) {
            pool.leave(&backend);
        }
        self.reopen(backend.entry.address);
    }

    /// Drops back ends that are still missing after the registry's return.
    pub fn expire(&mut self, now: Timestamp) -> Vec<BackendId> {
        let returned = !self.registry.may_lack_entries(now);
        let expired = |backend: &Backend| match backend.state {
            BackendState::Suspect { since } => returned || now.saturating_since(since) >= LONGEST_DOUBT,
            BackendState::Ready
            | BackendState::Leaving
            | BackendState::Departing { .. }
            | BackendState::Replaced => false,
        };
        let ids: Vec<BackendId> =
            self.by_id.iter().filter(|(_, backend)| expired(backend)).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.drop(id);
        }
        ids
    }

    /// A back end by identity.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.by_id.get(id)
    }

    /// An answer, a report or a refusal showed the version that a back end runs on. Older news than known is none.
    pub fn observe_weights(&mut self, id: &BackendId, model: &ModelId, version: WeightsVersion) {
        let Some(known) = self.by_id.get_mut(id) else { return };
        if known.entry.weights.get(model).is_some_and(|known| *known >= version) {
            return;
        }
        let pool = self.pools.entry(known.entry.service.clone()).or_default();
        pool.leave(known);
        known.entry.weights.insert(model.clone(), version);
        known.weights_observed = true;
        known.loading_until = None;
        pool.enter(known);
    }

    /// A back end is being given new weights, until `until` at most; none where it no longer is.
    pub fn set_loading_until(&mut self, id: &BackendId, until: Option<Timestamp>) {
        let Some(known) = self.by_id.get_mut(id) else { return };
        known.loading_until = until;
        match until {
            Some(_) => self.loading.insert(id.clone()),
            None => self.loading.remove(id),
        };
    }

    /// Exactly `loading` are being given new weights, until `until` at most.
    pub fn set_loading(&mut self, loading: &[BackendId], until: Timestamp) {
        for id in std::mem::take(&mut self.loading) {
            self.set_loading_until(&id, None);
        }
        for id in loading {
            self.set_loading_until(id, Some(until));
        }
    }

    /// Back ends that are being given new weights.
    pub fn loading(&self, now: Timestamp) -> Vec<BackendId> {
        let loads = |id: &&BackendId| self.get(id).is_some_and(|backend| backend.is_loading(now));
        self.loading.iter().filter(loads).cloned().collect()
    }

    /// The back ends of a service that may get work; none where none was ever known.
    pub fn pool(&self, service: &ServiceId) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// How many of a service's ready back ends have which version of a model's weights, the oldest first, without those
    /// that are being given new ones.
    pub fn versions_in_service(
        &self,
        service: &ServiceId,
        model: &ModelId,
        now: Timestamp,
    ) -> Vec<(WeightsVersion, usize)> {
        let Some(pool) = self.pools.get(service) else { return Vec::new() };
        let mut versions: Vec<(WeightsVersion, usize)> = pool.versions(model).collect();
        for backend in self.loading.iter().filter_map(|id| self.get(id)) {
            let counted = backend.entry.service == *service && backend.state == BackendState::Ready;
            let version = backend.entry.weights.get(model).filter(|_| counted && backend.is_loading(now));
            let count = versions.iter_mut().find(|(known, _)| Some(known) == version);
            if let Some((_, count)) = count {
                *count = count.saturating_sub(1);
            }
        }
        versions
    }

    /// All back ends.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.by_id.values()
    }

    /// Back ends of `service` that may get work: the ready ones, and the doubted ones where fewer than half are ready.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Backend> {
        let with_doubted = self.pool(service).is_some_and(Pool::uses_suspect);
        let of_service = self.by_id.values().filter(|backend| backend.entry.service == *service);
        of_service.filter(move |backend| match backend.state {
            BackendState::Ready => true,
            BackendState::Suspect { .. } => with_doubted,
            BackendState::Leaving | BackendState::Departing { .. } | BackendState::Replaced => false,
        })
    }
}
