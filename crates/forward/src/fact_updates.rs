//! Applies facts from the store, as received from the store itself or from other nodes.

use std::{collections::BTreeSet, rc::Rc};

use paddlemount_core::forwarding::{
    change_log::EntryKey, document::Document, replacement::EntrySource, rollout::LearnedFrom,
    table::RouteTable, target_versions::TargetVersionProof,
};
use paddlemount_protocol::{
    fleet::RecentTargetVersion,
    identity::{ModelId, Revision, WeightsVersion},
    time::Timestamp,
};

use crate::{journal::Event, node::Node, node_state::Leader, ports::Fact, recent_targets::proofs};

/// How facts reached this node.
struct Origin {
    learned: LearnedFrom,
    /// Whether they are ordered updates or a listing.
    source: EntrySource,
    /// Proofs, by another node or by a leader's record in the store, of when target versions were announced.
    target_proofs: Vec<TargetVersionProof>,
}

impl Origin {
    /// A watch shows that a record was written, but not that it still exists, so it proves nothing.
    const fn from_watch() -> Self {
        Self { learned: LearnedFrom::Watch, source: EntrySource::Update, target_proofs: Vec::new() }
    }

    /// A listing that began at `listed_at` contains the records that exist.
    fn from_listing(learned: LearnedFrom, facts: &[Fact], listed_at: Timestamp) -> Self {
        let record = |fact: &Fact| match fact {
            Fact::TargetRecord(target) => Some(target.clone()),
            _ => None,
        };
        let records: Vec<RecentTargetVersion> = facts.iter().filter_map(record).collect();
        Self { learned, source: EntrySource::Listing, target_proofs: proofs(&records, listed_at) }
    }

    const fn from_node(source: EntrySource, target_proofs: Vec<TargetVersionProof>) -> Self {
        Self { learned: LearnedFrom::Node, source, target_proofs }
    }
}

impl Node {
    /// Applies the changes up to `revision` from the store's answer to a call sent at `sent_at`.
    pub fn apply_changes(&self, facts: Vec<Fact>, revision: Revision, sent_at: Timestamp) {
        self.apply_change_set(facts, revision, sent_at, &Origin::from_watch());
    }

    /// Applies the changes up to `revision` that another node relayed, with a proof that counts from
    /// `proved_at` and the recently announced target versions.
    pub fn apply_relayed_changes(
        &self,
        facts: Vec<Fact>,
        revision: Revision,
        proved_at: Timestamp,
        recent_targets: &[RecentTargetVersion],
    ) {
        let origin = Origin::from_node(EntrySource::Update, proofs(recent_targets, proved_at));
        self.apply_change_set(facts, revision, proved_at, &origin);
    }

    fn apply_change_set(&self, facts: Vec<Fact>, revision: Revision, proved_at: Timestamp, origin: &Origin) {
        for fact in facts {
            let key = fact.entry_key();
            self.apply_fact(fact, revision, origin);
            self.record_change(key, revision);
        }
        let mut state = self.state.borrow_mut();
        state.revision = Some(revision);
        state.freshness.prove(proved_at);
        state.confirm_targets(proved_at, &origin.target_proofs);
    }

    /// Applies another node's facts whose versions only increase, whatever this node has read from the store.
    pub(crate) fn apply_newer_facts(&self, facts: Vec<Fact>, revision: Revision) {
        let origin = Origin::from_node(EntrySource::Update, Vec::new());
        let increasing =
            facts.into_iter().filter(|fact| matches!(fact, Fact::Document(_) | Fact::TargetVersion { .. }));
        increasing.for_each(|fact| self.apply_fact(fact, revision, &origin));
    }

    /// Applies the first pages of a listing that was sent at `sent_at`, which is enough to serve until the
    /// rest is known.
    pub fn apply_partial_listing(&self, facts: Vec<Fact>, revision: Revision, sent_at: Timestamp) {
        let origin = Origin::from_listing(LearnedFrom::FirstRead, &facts, sent_at);
        for fact in facts {
            self.apply_fact(fact, revision, &origin);
        }
        let mut state = self.state.borrow_mut();
        state.leader_checked = true;
        state.freshness.prove(sent_at);
        state.merge_target_proofs(&origin.target_proofs);
        drop(state);
        self.leader_known.notify_one();
    }

    /// Applies a complete listing of the store at `revision`, sent at `sent_at`: entries that are not among
    /// `facts` are removed. The differences are recorded for children.
    pub fn apply_listing(&self, facts: Vec<Fact>, revision: Revision, sent_at: Timestamp) {
        let first = self.state.borrow().revision.is_none();
        let learned = if first { LearnedFrom::FirstRead } else { LearnedFrom::Watch };
        let origin = Origin::from_listing(learned, &facts, sent_at);
        self.apply_complete(facts, revision, sent_at, &origin);
    }

    /// The same with a snapshot from another node, whose proof counts from `proved_at`.
    pub fn apply_snapshot(
        &self,
        facts: Vec<Fact>,
        revision: Revision,
        proved_at: Timestamp,
        recent_targets: &[RecentTargetVersion],
    ) {
        let origin = Origin::from_node(EntrySource::Listing, proofs(recent_targets, proved_at));
        self.apply_complete(facts, revision, proved_at, &origin);
    }

    fn apply_complete(&self, facts: Vec<Fact>, revision: Revision, proved_at: Timestamp, origin: &Origin) {
        let known = self.state.borrow().revision;
        let first = known.is_none();
        let is_restored =
            known.is_some_and(|known| known.era() < revision.era()) || self.was_restored_recently();
        for key in self.missing_among(&facts) {
            // The request was not released but lost by the restore, and is written again.
            if is_restored && matches!(key, EntryKey::Quarantined(_)) {
                continue;
            }
            self.remove_entry(&key, revision, origin);
            self.record_change(Some(key), revision);
        }
        if is_restored && !facts.iter().any(|fact| matches!(fact, Fact::FleetSize(_))) {
            self.state.borrow_mut().fleet_size = None;
        }
        for fact in facts {
            let key = fact.entry_key().filter(|_| self.is_change(&fact));
            self.apply_fact(fact, revision, origin);
            self.record_change(key, revision);
        }
        {
            let mut state = self.state.borrow_mut();
            if first {
                state.changes.reset(revision);
            }
            if !first || !state.software.has_begun() {
                state.software.begin(proved_at);
            }
            state.revision = Some(revision);
            state.leader_checked = true;
            state.freshness.prove(proved_at);
            state.confirm_targets(proved_at, &origin.target_proofs);
        }
        self.history_lost.set(false);
        self.store_known.notify_one();
        self.feeds_known.notify_one();
        self.leader_known.notify_one();
    }

    fn record_change(&self, key: Option<EntryKey>, revision: Revision) {
        if let Some(key) = key.filter(|_| self.peers.is_some()) {
            self.state.borrow_mut().changes.record(key, revision);
        }
    }

    /// Known entries that are not among `facts`, which list the whole store.
    fn missing_among(&self, facts: &[Fact]) -> Vec<EntryKey> {
        let present: BTreeSet<EntryKey> = facts.iter().filter_map(Fact::entry_key).collect();
        let state = self.state.borrow();
        let backends = state.backends.iter().map(|backend| EntryKey::Backend(backend.entry.id.clone()));
        let quarantined =
            state.quarantine.stored_requests().map(|fingerprint| EntryKey::Quarantined(*fingerprint));
        let leader = state.leader.iter().map(|_| EntryKey::Leader);
        backends.chain(quarantined).chain(leader).filter(|key| !present.contains(key)).collect()
    }

    /// Applies the removal of an entry.
    fn remove_entry(&self, key: &EntryKey, revision: Revision, origin: &Origin) {
        match key {
            EntryKey::Backend(id) => self.remove_backend(id, revision),
            EntryKey::Quarantined(fingerprint) => {
                self.apply_fact(Fact::Released(*fingerprint), revision, origin)
            }
            EntryKey::Leader => self.apply_fact(Fact::NoLeader, revision, origin),
            // These are never removed.
            EntryKey::Document | EntryKey::FleetSize | EntryKey::TargetWeights(_) => {}
        }
    }

    /// Whether a listed fact may be new to children.
    fn is_change(&self, fact: &Fact) -> bool {
        let Fact::Backend(entry) = fact else { return true };
        let state = self.state.borrow();
        let entry = state.backends.with_known_software(entry.clone());
        state.backends.get(&entry.id).is_none_or(|known| known.entry != entry || known.weights_observed)
    }

    /// Applies the leader as read by a call whose answer may be outdated. Only a leadership that is newer
    /// than all that is known counts, since an older one may have ended since.
    pub fn apply_leader(&self, facts: Vec<Fact>) {
        let mut state = self.state.borrow_mut();
        state.leader_checked = true;
        for fact in facts {
            let Fact::Leader { holder, token, peers } = fact else { continue };
            if state.revision.is_none_or(|known| token.0 > known.0) {
                state.leader = Some(Leader { holder, token, peers });
                self.leader_known.notify_one();
            }
        }
    }

    fn apply_fact(&self, fact: Fact, revision: Revision, origin: &Origin) {
        match fact {
            Fact::Document(document) => self.apply_document(*document, revision),
            Fact::Backend(entry) => self.apply_backend(entry, revision, origin.source),
            Fact::BackendGone(id) => self.remove_backend(&id, revision),
            Fact::TargetVersion { model, version } => {
                self.apply_target_version(&model, version, revision, origin);
            }
            Fact::Leader { holder, token, peers } => {
                self.state.borrow_mut().leader = Some(Leader { holder, token, peers });
                self.leader_known.notify_one();
            }
            Fact::NoLeader => self.state.borrow_mut().leader = None,
            Fact::FleetSize(nodes) => self.state.borrow_mut().fleet_size = Some(nodes),
            // Handled by [`Origin::from_listing`].
            Fact::TargetRecord(_) => {}
            Fact::SoftwareCreated { service, software, created } => {
                let mut state = self.state.borrow_mut();
                state.software.record_creation(&service, software.as_ref(), created);
            }
            // Read on its own where it is needed.
            Fact::StoreWitnessed(_) => {}
            Fact::Quarantined(request) => {
                self.apply_stored_quarantine(&request);
                self.state.borrow_mut().quarantined_requests.insert(request.fingerprint, *request);
            }
            Fact::Released(fingerprint) => {
                self.apply_stored_release(&fingerprint);
                self.state.borrow_mut().quarantined_requests.remove(&fingerprint);
            }
            Fact::Unreadable { key, problem, backend } => {
                self.journal.log(&Event::ItemUnreadable { key: &key, problem: &problem });
                if let Some(backend) = backend {
                    self.remove_backend(&backend, revision);
                }
            }
        }
    }

    fn apply_target_version(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        revision: Revision,
        origin: &Origin,
    ) {
        let mut state = self.state.borrow_mut();
        let target_versions = &mut state.rollout.target_versions;
        if !target_versions.record(model.clone(), version) {
            return;
        }
        origin.target_proofs.iter().for_each(|proof| target_versions.merge_proof(proof));
        let now = self.now();
        let age = target_versions.newest(model).and_then(|target| target.age(now));
        // Requests that are waiting at back ends may have to be withdrawn.
        self.target_announced.notify_waiters();
        let event = Event::WeightsNamed {
            model: model.as_str(),
            version: version.0,
            revision: revision.0,
            learned: origin.learned.name(),
            at_most_ms: age.map(|age| age.as_millis() as u64),
        };
        self.journal.log(&event);
    }

    fn apply_document(&self, document: Document, revision: Revision) {
        let mut state = self.state.borrow_mut();
        let before = state.table.as_ref().map(|table| table.version());
        if let Some(in_force) = before.filter(|in_force| *in_force >= document.version) {
            if in_force > document.version {
                let event = Event::ConfigurationPassedOver { version: document.version, in_force };
                self.journal.log(&event);
            }
            return;
        }
        let version = document.version;
        let routes = document.routes.len();
        let quotas =
            document.tenants.iter().filter_map(|tenant| Some((&tenant.name, tenant.quota.as_ref()?)));
        state.quotas.configure(quotas, self.now());
        state.table = Some(Rc::new(RouteTable::new(document)));
        state.round_robin.clear();
        if let Some(peers) = &self.peers {
            peers.borrow_mut().gossip.set_stores(state.stores().map(|store| store.id).collect());
        }
        self.journal.log(&Event::ConfigurationApplied { version, before, routes, revision: revision.0 });
    }
}
