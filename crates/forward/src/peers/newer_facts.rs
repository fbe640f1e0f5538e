//! What neighbours tell each other after the store has come back from an older copy.
//!
//! The document and the versions of weights that a node goes by only rise, whatever the copy shows. A node that has started since
//! then knows of nothing but the copy, and changes are told between revisions alone: at the same revision there are none.
//! Such a node would serve a key that has been taken away until the operator writes again. So neighbours name in
//! each message what they go by, some 45 bytes; one that has seen the store come back tells a neighbour that goes by anything else
//! what it may lack, from then on: how long the operator takes to write again is not known.

use paddlemount_protocol::fleet::AppliedVersions;
use xxhash_rust::xxh3::Xxh3;

use crate::{node::Node, node_state::NodeState, ports::Fact};

impl NodeState {
    /// What this node goes by that only rises.
    pub(crate) fn applied_versions(&self) -> AppliedVersions {
        let mut hash = Xxh3::new();
        for model in self.rollout.target_versions.models() {
            let version = self.rollout.newest(model).map_or(0, |version| version.0);
            hash.update(model.as_str().as_bytes());
            hash.update(&version.to_le_bytes());
        }
        AppliedVersions { document: self.table.as_ref().map(|table| table.version()), weights: hash.digest() }
    }

    /// What a neighbour that goes by `theirs` may lack, as a JSON list of facts; empty where it lacks nothing.
    pub(crate) fn missing_facts(&self, theirs: AppliedVersions) -> String {
        let known = self.applied_versions();
        let document = self.document_fact().filter(|_| theirs.document < known.document);
        let weights = self.weights_facts().filter(|_| theirs.weights != known.weights);
        let lacked: Vec<Fact> = document.into_iter().chain(weights).collect();
        if lacked.is_empty() { String::new() } else { serde_json::to_string(&lacked).unwrap_or_default() }
    }
}

impl Node {
    /// What a neighbour that goes by `theirs` is told. Only a node that has seen the store come back knows more than any listing
    /// tells.
    pub(super) fn newer_facts_for(&self, theirs: AppliedVersions) -> String {
        if self.restored_at.get().is_some() {
            self.state.borrow().missing_facts(theirs)
        } else {
            String::new()
        }
    }

    /// Takes in what a neighbour went by when the store came back. What is older than what this node goes by changes nothing.
    pub(super) fn receive_newer_facts(&self, rising: &str) {
        let known = self.state.borrow().revision;
        let (Some(revision), false) = (known, rising.is_empty()) else { return };
        if let Some(read) = self.read_facts(rising.as_bytes()) {
            self.apply_newer_facts(read.facts, revision);
        }
    }
}
