//! What a node takes in: facts of the store, and what answers show.

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

/// What is known of how facts came here.
struct Origin {
    learned: LearnedFrom,
    /// Whether they come in the order of time.
    source: EntrySource,
    /// What another node, or a leader's record in the store, proves of when versions were targets.
    targets: Vec<TargetVersionProof>,
}

impl Origin {
    /// A watch tells that a record was written, and not that it is still there: it proves nothing.
    const fn from_watch() -> Self {
        Self { learned: LearnedFrom::Watch, source: EntrySource::Update, targets: Vec::new() }
    }

    /// A listing that began at `listed_at` shows the records that are there.
    fn from_listing(learned: LearnedFrom, facts: &[Fact], listed_at: Timestamp) -> Self {
        let record = |fact: &Fact| match fact {
            Fact::TargetRecord(targets) => Some(targets.clone()),
            _ => None,
        };
        let records: Vec<RecentTargetVersion> = facts.iter().filter_map(record).collect();
        Self { learned, source: EntrySource::Listing, targets: proofs(&records, listed_at) }
    }

    const fn from_node(source: EntrySource, targets: Vec<TargetVersionProof>) -> Self {
        Self { learned: LearnedFrom::Node, source, targets }
    }
}

impl Node {
    /// Takes in what has changed up to `revision`, as the store told it in answer to a call sent at `sent_at`.
    pub fn apply_changes(&self, facts: Vec<Fact>, revision: Revision, sent_at: Timestamp) {
        self.apply_changes_from(facts, revision, sent_at, &Origin::from_watch());
    }

    /// Takes in what has changed up to `revision`, as another node passed it on with a proof that counts from
    /// `proved_at`, and how lately versions of weights were targets.
    pub fn apply_relayed_changes(
        &self,
        facts: Vec<Fact>,
        revision: Revision,
        proved_at: Timestamp,
        targets: &[RecentTargetVersion],
    ) {
        let origin = Origin::from_node(EntrySource::Update, proofs(targets, proved_at));
        self.apply_changes_from(facts, revision, proved_at, &origin);
    }

    fn apply_changes_from(
        &self,
        facts: Vec<Fact>,
        revision: Revision,
        proved_at: Timestamp,
        origin: &Origin,
    ) {
        for fact in facts {
            let subject = fact.subject();
            self.apply_fact(fact, revision, origin);
            self.note_change(subject, revision);
        }
        let mut state = self.state.borrow_mut();
        state.revision = Some(revision);
        state.freshness.prove(proved_at);
        state.confirm_targets(proved_at, &origin.targets);
    }

    /// Takes in what another node goes by that only rises, whatever this one has read of the store.
    pub(crate) fn apply_newer_facts(&self, facts: Vec<Fact>, revision: Revision) {
        let origin = Origin::from_node(EntrySource::Update, Vec::new());
        let rising =
            facts.into_iter().filter(|fact| matches!(fact, Fact::Document(_) | Fact::TargetVersion { .. }));
        rising.for_each(|fact| self.apply_fact(fact, revision, &origin));
    }

    /// Takes in a part of what the store holds, which it told in answer to a call sent at `sent_at`: enough to serve by,
    /// until the rest is known.
    pub fn apply_partial_listing(&self, facts: Vec<Fact>, revision: Revision, sent_at: Timestamp) {
        let origin = Origin::from_listing(LearnedFrom::FirstRead, &facts, sent_at);
        for fact in facts {
            self.apply_fact(fact, revision, &origin);
        }
        let mut state = self.state.borrow_mut();
        state.leader_checked = true;
        state.freshness.prove(sent_at);
        state.merge_target_proofs(&origin.targets);
        drop(state);
        self.leader_known.notify_one();
    }

    /// Takes in all that the store held at `revision`, as a listing told that began at `sent_at`: what is not among
    /// `facts` is gone. The nodes below are told what that has changed.
    pub fn apply_listing(&self, facts: Vec<Fact>, revision: Revision, sent_at: Timestamp) {
        let first = self.state.borrow().revision.is_none();
        let learned = if first { LearnedFrom::FirstRead } else { LearnedFrom::Watch };
        let origin = Origin::from_listing(learned, &facts, sent_at);
        self.apply_complete(facts, revision, sent_at, &origin);
    }

    /// The same, as another node gave it with a proof that counts from `proved_at`.
    pub fn apply_snapshot(
        &self,
        facts: Vec<Fact>,
        revision: Revision,
        proved_at: Timestamp,
        targets: &[RecentTargetVersion],
    ) {
        let origin = Origin::from_node(EntrySource::Listing, proofs(targets, proved_at));
        self.apply_complete(facts, revision, proved_at, &origin);
    }

    fn apply_complete(&self, facts: Vec<Fact>, revision: Revision, proved_at: Timestamp, origin: &Origin) {
        let known = self.state.borrow().revision;
        let first = known.is_none();
        let restored = known.is_some_and(|known| known.era() < revision.era()) || self.is_restored_lately();
        for subject in self.missing_among(&facts) {
            // Nobody released what only the copy lacks: it is written again.
            if restored && matches!(subject, EntryKey::Quarantined(_)) {
                continue;
            }
            self.remove_entry(&subject, revision, origin);
            self.note_change(Some(subject), revision);
        }
        if restored && !facts.iter().any(|fact| matches!(fact, Fact::FleetSize(_))) {
            self.state.borrow_mut().fleet_size = None;
        }
        for fact in facts {
            let subject = fact.subject().filter(|_| self.is_change(&fact));
            self.apply_fact(fact, revision, origin);
            self.note_change(subject, revision);
        }
        {
            let mut state = self.state.borrow_mut();
            if first {
                state.changes.reset(revision);
            }
            state.revision = Some(revision);
            state.leader_checked = true;
            state.freshness.prove(proved_at);
            state.confirm_targets(proved_at, &origin.targets);
        }
        self.history_lost.set(false);
        self.store_known.notify_one();
        self.feeds_known.notify_one();
        self.leader_known.notify_one();
    }

    fn note_change(&self, subject: Option<EntryKey>, revision: Revision) {
        if let Some(subject) = subject.filter(|_| self.peers.is_some()) {
            self.state.borrow_mut().changes.record(subject, revision);
        }
    }

    /// What is known of and not told by `facts`, which tell all that the store holds.
    fn missing_among(&self, facts: &[Fact]) -> Vec<EntryKey> {
        let present: BTreeSet<EntryKey> = facts.iter().filter_map(Fact::subject).collect();
        let state = self.state.borrow();
        let backends = state.backends.iter().map(|backend| EntryKey::Backend(backend.entry.id.clone()));
        let held = state.quarantine.stored_holds().map(|fingerprint| EntryKey::Quarantined(*fingerprint));
        let leader = state.leader.iter().map(|_| EntryKey::Leader);
        backends.chain(held).chain(leader).filter(|subject| !present.contains(subject)).collect()
    }

    /// The store holds nothing of this any more.
    fn remove_entry(&self, subject: &EntryKey, revision: Revision, origin: &Origin) {
        match subject {
            EntryKey::Backend(id) => self.remove_backend(id, revision),
            EntryKey::Quarantined(fingerprint) => {
                self.apply_fact(Fact::Released(*fingerprint), revision, origin)
            }
            EntryKey::Leader => self.apply_fact(Fact::NoLeader, revision, origin),
            // These stay once they are there.
            EntryKey::Document | EntryKey::FleetSize | EntryKey::TargetWeights(_) => {}
        }
    }

    /// Whether the nodes below may not know a fact of a listing, as far as this node can tell.
    fn is_change(&self, fact: &Fact) -> bool {
        let Fact::Backend(entry) = fact else { return true };
        let state = self.state.borrow();
        state.backends.get(&entry.id).is_none_or(|known| known.entry != *entry || known.weights_observed)
    }

    /// Takes in who leads, as a read told that may be old: only a leadership that began after all that is known is
    /// news, since the end of an older one may be known already.
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
            // What it proves is part of how the facts came here.
            Fact::TargetRecord(_) => {}
            Fact::Quarantined(request) => {
                self.apply_stored_hold(&request);
                self.state.borrow_mut().held.insert(request.fingerprint, *request);
            }
            Fact::Released(fingerprint) => {
                self.apply_stored_release(&fingerprint);
                self.state.borrow_mut().held.remove(&fingerprint);
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
        origin.targets.iter().for_each(|proof| target_versions.merge_proof(proof));
        let now = self.now();
        let age = target_versions.newest(model).and_then(|naming| naming.age(now));
        // Requests that wait at back ends may have to be taken back.
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
