//! The back ends that the registry lists, and their states.
//!
//! A back end stops getting requests as soon as the registry or the back end itself
//! ([`super::announcements`]) reports that it is leaving. When an entry vanishes while the registry is
//! unavailable or recovering, the back end becomes a suspect: it gets requests only where too few others are
//! left.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use paddlemount_protocol::{
    identity::{EngineId, ModelId, ServiceId, SoftwareVersion, WeightsVersion, ZoneId},
    time::Timestamp,
};

use serde::{Deserialize, Serialize};

use super::{announcements::Announcements, pool::Pool, registry::Registry, replacement::Addresses};

/// The identity of a back end: a model engine, or an instance of another service.
pub type BackendId = EngineId;

/// Maximum time for which a back end stays a suspect, however long the registry is unavailable.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(30);

/// A back end's entry in the registry. Serialized as a JSON array to keep messages with thousands of entries
/// small.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "EntryRow", into = "EntryRow")]
pub struct BackendEntry {
    pub id: BackendId,
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The versions of its models' weights.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// When its process started, in Unix milliseconds, if known. A back end that restarts may keep its
    /// identity, but not its state.
    pub started_at: Option<u64>,
    /// The version of its software, if known. Not part of the JSON array, which builds without it read; see
    /// [`paddlemount_protocol::fleet::SoftwareGroup`].
    pub software: Option<SoftwareVersion>,
}

/// The fields of an entry in their order on the wire.
type EntryRow =
    (BackendId, ServiceId, SocketAddr, ZoneId, u32, bool, BTreeMap<ModelId, WeightsVersion>, Option<u64>);

impl From<EntryRow> for BackendEntry {
    fn from((id, service, address, zone, slots, leaving, weights, started_at): EntryRow) -> Self {
        Self { id, service, address, zone, slots, leaving, weights, started_at, software: None }
    }
}

impl From<BackendEntry> for EntryRow {
    fn from(entry: BackendEntry) -> Self {
        let BackendEntry { id, service, address, zone, slots, leaving, weights, started_at, software: _ } =
            entry;
        (id, service, address, zone, slots, leaving, weights, started_at)
    }
}

/// The state of a back end, which decides whether it gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    Ready,
    /// The registry reports that it is leaving: it gets no requests.
    Leaving,
    /// It has announced that it drains, but the registry does not report it as leaving. It gets requests for
    /// a short time, and only where no other back end is left.
    Draining {
        /// When a node first observed that.
        since: Timestamp,
    },
    /// Its entry vanished while the registry was unavailable or recovering.
    Suspect {
        since: Timestamp,
    },
    /// Another process has its address, though its entry still exists: it gets no requests.
    Replaced,
}

impl BackendState {
    /// Whether the back end is leaving, according to itself or the registry.
    pub const fn is_leaving(self) -> bool {
        matches!(self, Self::Leaving | Self::Draining { .. })
    }
}

/// A known back end.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The last entry that was received.
    pub entry: BackendEntry,
    pub state: BackendState,
    /// The latest time until which it loads new weights.
    pub loading_until: Option<Timestamp>,
    /// Whether this node has ordered that load. It ends with its order: the engine may show a version that it
    /// has loaded before, while it loads a newer one.
    is_load_ordered: bool,
    /// Whether an answer or a report has shown newer weights than the entry.
    pub weights_observed: bool,
}

impl Backend {
    /// Whether it is loading new weights.
    pub fn is_loading(&self, now: Timestamp) -> bool {
        self.loading_until.is_some_and(|until| now < until)
    }

    /// Ends a load that another node has announced, as other weights were seen.
    fn end_announced_load(&mut self) {
        if !self.is_load_ordered {
            self.loading_until = None;
        }
    }
}

/// All known back ends.
#[derive(Debug, Default)]
pub struct Backends {
    /// Decides whether a vanished entry means that the back end is gone.
    pub registry: Registry,
    pub announcements: Announcements,
    by_id: BTreeMap<BackendId, Backend>,
    pub(super) addresses: Addresses,
    /// Replaced back ends that get requests again, as no other one is known to have their address.
    pub(super) reactivated: Vec<BackendId>,
    pools: BTreeMap<ServiceId, Pool>,
    /// Back ends that load new weights, or did.
    loading: BTreeSet<BackendId>,
}

/// The effect of a new or removed entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The back end was not known.
    Appeared,
    /// The back end is now leaving.
    Leaving,
    /// Any other change of the entry.
    Updated,
    /// The process has restarted under its identity: its earlier state is gone.
    Restarted,
    None,
    /// The entry is gone, and the back end with it.
    Removed,
    /// The entry is gone while the registry is unavailable or recovering.
    Suspect,
}

impl Backends {
    /// Adds or updates an entry.
    pub fn put(&mut self, entry: BackendEntry) -> EntryChange {
        let entry = self.with_known_software(entry);
        let state = self.state_with(&entry);
        let Some(known) = self.by_id.get_mut(&entry.id) else {
            let backend = Backend {
                entry: entry.clone(),
                state,
                loading_until: None,
                is_load_ordered: false,
                weights_observed: false,
            };
            self.pools.entry(entry.service.clone()).or_default().insert(&backend);
            self.addresses.insert(&entry);
            self.by_id.insert(entry.id, backend);
            return EntryChange::Appeared;
        };
        // Listings, snapshots and relays may repeat the entry of a process that is gone.
        if known.state == BackendState::Replaced && known.entry.is_repeated_by(&entry) {
            return EntryChange::None;
        }
        known.weights_observed = false;
        let restarted =
            matches!((known.entry.started_at, entry.started_at), (Some(before), Some(now)) if before != now);
        // A process does not return from leaving.
        let state = match known.state {
            BackendState::Leaving if !restarted => BackendState::Leaving,
            BackendState::Draining { .. } if !restarted && state == BackendState::Ready => known.state,
            _ => state,
        };
        let change = match (known.state == state, known.entry == entry) {
            _ if restarted => EntryChange::Restarted,
            (true, true) => EntryChange::None,
            (false, _) if state == BackendState::Leaving => EntryChange::Leaving,
            _ => EntryChange::Updated,
        };
        if known.entry.weights != entry.weights {
            known.end_announced_load();
        }
        if change != EntryChange::None {
            let old_address = known.entry.address;
            self.pools.entry(known.entry.service.clone()).or_default().remove(known);
            self.addresses.remove(&known.entry);
            self.addresses.insert(&entry);
            known.state = state;
            known.entry = entry;
            self.pools.entry(known.entry.service.clone()).or_default().insert(known);
            self.reactivate_latest(old_address);
        }
        change
    }

    /// The entry with the software version that is known of its process, if it states none itself.
    pub fn with_known_software(&self, entry: BackendEntry) -> BackendEntry {
        let known = self.by_id.get(&entry.id).filter(|known| known.entry.started_at == entry.started_at);
        let software = entry.software.clone().or_else(|| known?.entry.software.clone());
        BackendEntry { software, ..entry }
    }

    /// Records that the registry has removed an entry.
    pub fn remove(&mut self, id: &BackendId, now: Timestamp) -> EntryChange {
        let Some(known) = self.by_id.get(id) else { return EntryChange::None };
        let may_lack_entries = self.registry.may_lack_entries(now);
        match known.state {
            BackendState::Ready if may_lack_entries => {
                self.set_state(id, BackendState::Suspect { since: now });
                return EntryChange::Suspect;
            }
            BackendState::Suspect { .. } if may_lack_entries => return EntryChange::None,
            BackendState::Ready
            | BackendState::Suspect { .. }
            | BackendState::Leaving
            | BackendState::Draining { .. }
            | BackendState::Replaced => {}
        }
        self.drop(id);
        EntryChange::Removed
    }

    /// Sets the state of a back end and updates its pool.
    pub(super) fn set_state(&mut self, id: &BackendId, state: BackendState) {
        let Some(known) = self.by_id.get_mut(id) else { return };
        let pool = self.pools.entry(known.entry.service.clone()).or_default();
        pool.remove(known);
        known.state = state;
        pool.insert(known);
    }

    pub(super) fn drop(&mut self, id: &BackendId) {
        self.loading.remove(id);
        let Some(backend) = self.by_id.remove(id) else { return };
        self.addresses.remove(&backend.entry);
        if let Some(pool) = self.pools.get_mut(&backend.entry.service) {
            pool.remove(&backend);
        }
        self.reactivate_latest(backend.entry.address);
    }

    /// Drops the suspects whose entries are still missing once the registry has recovered, or for too long.
    /// Returns the dropped ones.
    pub fn expire(&mut self, now: Timestamp) -> Vec<BackendId> {
        let has_recovered = !self.registry.may_lack_entries(now);
        let expired = |backend: &Backend| match backend.state {
            BackendState::Suspect { since } => {
                has_recovered || now.saturating_since(since) >= SUSPECT_TIMEOUT
            }
            BackendState::Ready
            | BackendState::Leaving
            | BackendState::Draining { .. }
            | BackendState::Replaced => false,
        };
        let ids: Vec<BackendId> =
            self.by_id.iter().filter(|(_, backend)| expired(backend)).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.drop(id);
        }
        ids
    }

    /// The back end with this identity.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.by_id.get(id)
    }

    /// Records the version of weights that an answer, a report or a refusal showed. An older version than the
    /// known one is ignored.
    pub fn observe_weights(&mut self, id: &BackendId, model: &ModelId, version: WeightsVersion) {
        let Some(known) = self.by_id.get_mut(id) else { return };
        if known.entry.weights.get(model).is_some_and(|known| *known >= version) {
            return;
        }
        let pool = self.pools.entry(known.entry.service.clone()).or_default();
        pool.remove(known);
        known.entry.weights.insert(model.clone(), version);
        known.weights_observed = true;
        known.end_announced_load();
        pool.insert(known);
    }

    /// Sets until when a back end loads new weights by this node's order, at the latest; none when the order has
    /// ended.
    pub fn set_load_ordered_until(&mut self, id: &BackendId, until: Option<Timestamp>) {
        self.set_loading_until(id, until, until.is_some());
    }

    /// Marks exactly `loading` as loading new weights by the orders of other nodes, until `until` at the latest.
    pub fn set_loading(&mut self, loading: &[BackendId], until: Timestamp) {
        let is_announced =
            |id: &&BackendId| self.by_id.get(*id).is_some_and(|backend| !backend.is_load_ordered);
        let before: Vec<BackendId> = self.loading.iter().filter(is_announced).cloned().collect();
        let after: Vec<BackendId> = loading.iter().filter(is_announced).cloned().collect();
        before.iter().for_each(|id| self.set_loading_until(id, None, false));
        after.iter().for_each(|id| self.set_loading_until(id, Some(until), false));
    }

    fn set_loading_until(&mut self, id: &BackendId, until: Option<Timestamp>, is_ordered: bool) {
        let Some(known) = self.by_id.get_mut(id) else { return };
        (known.loading_until, known.is_load_ordered) = (until, is_ordered);
        match until {
            Some(_) => self.loading.insert(id.clone()),
            None => self.loading.remove(id),
        };
    }

    /// The back ends that are loading new weights.
    pub fn loading(&self, now: Timestamp) -> Vec<BackendId> {
        let loads = |id: &&BackendId| self.get(id).is_some_and(|backend| backend.is_loading(now));
        self.loading.iter().filter(loads).cloned().collect()
    }

    /// The back ends of a service that may get requests; none where the service never had one.
    pub fn pool(&self, service: &ServiceId) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// The versions of a model's weights on the ready back ends of a service and how many have each, oldest
    /// first. Back ends that are loading new weights do not count.
    pub fn versions_in_service(
        &self,
        service: &ServiceId,
        model: &ModelId,
        now: Timestamp,
    ) -> Vec<(WeightsVersion, usize)> {
        let Some(pool) = self.pools.get(service) else { return Vec::new() };
        let mut versions: Vec<(WeightsVersion, usize)> = pool.versions(model).collect();
        for backend in self.loading.iter().filter_map(|id| self.get(id)) {
            let is_ready = backend.entry.service == *service && backend.state == BackendState::Ready;
            let version = backend.entry.weights.get(model).filter(|_| is_ready && backend.is_loading(now));
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

    /// The back ends of `service` that may get requests: the ready ones, and the suspects where fewer than
    /// half are ready.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Backend> {
        let with_suspects = self.pool(service).is_some_and(Pool::uses_suspect);
        let of_service = self.by_id.values().filter(|backend| backend.entry.service == *service);
        of_service.filter(move |backend| match backend.state {
            BackendState::Ready => true,
            BackendState::Suspect { .. } => with_suspects,
            BackendState::Leaving | BackendState::Draining { .. } | BackendState::Replaced => false,
        })
    }
}
