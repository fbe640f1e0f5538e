//! How lately versions of weights were named, as nodes tell each other.

use std::time::Duration;

use paddlemount_core::forwarding::target_versions::TargetVersionProof;
use paddlemount_protocol::{fleet::RecentTargetVersion, time::Timestamp};

use crate::node_state::NodeState;

impl NodeState {
    /// All that had been named up to `proved_at` is known, and what another node has proof of.
    pub(crate) fn confirm_targets(&mut self, proved_at: Timestamp, proofs: &[TargetVersionProof]) {
        self.rollout.target_versions.confirm_complete(proved_at);
        self.merge_target_proofs(proofs);
    }

    /// What others have proof of, where it is not certain that all that had been named is known.
    pub(crate) fn merge_target_proofs(&mut self, proofs: &[TargetVersionProof]) {
        let target_versions = &mut self.rollout.target_versions;
        proofs.iter().for_each(|proof| target_versions.merge_proof(proof));
    }

    /// How lately versions of weights were named, for another node that is told what is known with the proof of
    /// `proved_at`. Of those that were named longer ago than `bound` it makes no difference.
    pub(crate) fn recent_targets(
        &self,
        bound: Duration,
        proved_at: Timestamp,
        now: Timestamp,
    ) -> Vec<RecentTargetVersion> {
        let named = |proof: TargetVersionProof| RecentTargetVersion {
            model: proof.model,
            previous: proof.above,
            version: proof.version,
            // The next whole millisecond: earlier is safe.
            before_ms: proved_at.saturating_since(proof.at).as_millis() as u64 + 1,
        };
        self.rollout.target_versions.proofs(bound, now).into_iter().map(named).collect()
    }
}

/// What another node has proof of, by this node's clock: counted from a moment that is no later than its proof, so that
/// none is too late.
pub(crate) fn proofs(named: &[RecentTargetVersion], proved_at: Timestamp) -> Vec<TargetVersionProof> {
    let proof = |named: &RecentTargetVersion| TargetVersionProof {
        model: named.model.clone(),
        above: named.previous,
        version: named.version,
        at: proved_at - Duration::from_millis(named.before_ms),
    };
    named.iter().map(proof).collect()
}
