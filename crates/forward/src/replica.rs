//! This node's knowledge of the metadata store as facts, for nodes that do not query the store themselves.

use std::collections::BTreeSet;

use paddlemount_core::forwarding::{
    backends::{Backend, BackendEntry, BackendState},
    change_log::EntryKey,
};
use paddlemount_protocol::identity::ModelId;

use crate::{node_state::NodeState, ports::Fact};

impl NodeState {
    /// The current state of the given entries.
    pub(crate) fn facts_about(&self, keys: &BTreeSet<&EntryKey>) -> Vec<Fact> {
        keys.iter().filter_map(|key| self.fact_about(key)).collect()
    }

    /// All entries of the store, as far as known.
    pub(crate) fn all_facts(&self) -> Vec<Fact> {
        let single = [self.document_fact(), self.fleet_size.map(Fact::FleetSize)].into_iter().flatten();
        let leader = self.leader.iter().map(|_| self.leader_fact());
        let weights = self.weights_facts();
        let quarantined =
            self.quarantined_requests.values().map(|request| Fact::Quarantined(Box::new(request.clone())));
        let backends = self.backends.iter().filter_map(entry_fact);
        single.chain(leader).chain(weights).chain(quarantined).chain(backends).collect()
    }

    fn fact_about(&self, key: &EntryKey) -> Option<Fact> {
        match key {
            EntryKey::Document => self.document_fact(),
            EntryKey::FleetSize => self.fleet_size.map(Fact::FleetSize),
            EntryKey::Leader => Some(self.leader_fact()),
            EntryKey::TargetWeights(model) => self.weights_fact(model),
            EntryKey::Quarantined(fingerprint) => Some(match self.quarantined_requests.get(fingerprint) {
                Some(request) => Fact::Quarantined(Box::new(request.clone())),
                None => Fact::Released(*fingerprint),
            }),
            EntryKey::Backend(id) => {
                let present = self.backends.get(id).and_then(entry_fact);
                Some(present.unwrap_or_else(|| Fact::BackendGone(id.clone())))
            }
        }
    }

    pub(crate) fn document_fact(&self) -> Option<Fact> {
        let table = self.table.as_ref()?;
        Some(Fact::Document(Box::new(table.document().clone())))
    }

    fn leader_fact(&self) -> Fact {
        match &self.leader {
            Some(leader) => {
                Fact::Leader { holder: leader.holder.clone(), token: leader.token, peers: leader.peers }
            }
            None => Fact::NoLeader,
        }
    }

    /// The target versions of all models.
    pub(crate) fn weights_facts(&self) -> impl Iterator<Item = Fact> {
        self.rollout.target_versions.models().filter_map(|model| self.weights_fact(model))
    }

    fn weights_fact(&self, model: &ModelId) -> Option<Fact> {
        let version = self.rollout.newest(model)?;
        Some(Fact::TargetVersion { model: model.clone(), version })
    }
}

/// The entry of a back end; `None` if the registry no longer contains it. A replaced back end is included as
/// registered: the receivers decide by themselves who has its address, so that an error of one node does not
/// spread.
fn entry_fact(backend: &Backend) -> Option<Fact> {
    let leaving = match backend.state {
        // Draining announcements are shared separately.
        BackendState::Ready | BackendState::Draining { .. } | BackendState::Replaced => false,
        BackendState::Leaving => true,
        BackendState::Suspect { .. } => return None,
    };
    Some(Fact::Backend(BackendEntry { leaving, ..backend.entry.clone() }))
}
