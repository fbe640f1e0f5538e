//! Exchanges newer facts between neighbours after the store was restored from a backup.
//!
//! The document and the target versions that a node applies only increase, whatever a restored store
//! contains. A node that started after the restore knows only the backup, and changes are relayed between
//! revisions, so at the same revision it would receive none and might accept a revoked key until the operator
//! writes again. Therefore neighbours state their applied versions in each message, and a node that has seen
//! the restore sends the facts that a neighbour with other versions may lack. It does so from then on,
//! because the time of the operator's next write is unknown.

use paddlemount_protocol::fleet::AppliedVersions;
use xxhash_rust::xxh3::Xxh3;

use crate::{node::Node, node_state::NodeState, ports::Fact};

impl NodeState {
    /// The versions applied by this node, which only increase.
    pub(crate) fn applied_versions(&self) -> AppliedVersions {
        let mut hash = Xxh3::new();
        for model in self.rollout.target_versions.models() {
            let version = self.rollout.newest(model).map_or(0, |version| version.0);
            hash.update(model.as_str().as_bytes());
            hash.update(&version.to_le_bytes());
        }
        AppliedVersions { document: self.table.as_ref().map(|table| table.version()), weights: hash.digest() }
    }

    /// The facts that a neighbour with the versions `theirs` may lack, as a JSON list; empty if none.
    pub(crate) fn missing_facts(&self, theirs: AppliedVersions) -> String {
        let known = self.applied_versions();
        let document = self.document_fact().filter(|_| theirs.document < known.document);
        let weights = self.weights_facts().filter(|_| theirs.weights != known.weights);
        let missing: Vec<Fact> = document.into_iter().chain(weights).collect();
        if missing.is_empty() { String::new() } else { serde_json::to_string(&missing).unwrap_or_default() }
    }
}

impl Node {
    /// The facts to send to a neighbour with the versions `theirs`. Only a node that has seen a restore can
    /// know more than a listing shows.
    pub(super) fn newer_facts_for(&self, theirs: AppliedVersions) -> String {
        if self.restored_at.get().is_some() {
            self.state.borrow().missing_facts(theirs)
        } else {
            String::new()
        }
    }

    /// Applies a neighbour's newer facts. Those older than this node's have no effect.
    pub(super) fn receive_newer_facts(&self, newer_facts: &str) {
        let known = self.state.borrow().revision;
        let (Some(revision), false) = (known, newer_facts.is_empty()) else { return };
        if let Some(read) = self.read_facts(newer_facts.as_bytes()) {
            self.apply_newer_facts(read.facts, revision);
        }
    }
}
