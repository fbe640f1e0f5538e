//! How lately versions of weights were targets, as nodes tell each other.

use std::time::Duration;

use paddlemount_core::forwarding::target_versions::TargetVersionProof;
use paddlemount_protocol::{fleet::RecentTargetVersion, time::Timestamp};

use crate::node_state::NodeState;

impl NodeState {
    /// All that had been targets up to `proved_at` is known, and what another node has proof of.
    pub(crate) fn confirm_targets(&mut self, proved_at: Timestamp, proofs: &[TargetVersionProof]) {
        self.rollout.target_versions.confirm_complete(proved_at);
        self.merge_target_proofs(proofs);
    }

    /// What others have proof of, where it is not certain that all that had been targets is known.
    pub(crate) fn merge_target_proofs(&mut self, proofs: &[TargetVersionProof]) {
        let target_versions = &mut self.rollout.target_versions;
        proofs.iter().for_each(|proof| target_versions.merge_proof(proof));
    }

    /// How lately versions of weights were targets, for another node that is told what is known with the proof of
    /// `proved_at`. Of those that were targets longer ago than `bound` it makes no difference.
    pub(crate) fn recent_targets(
        &self,
        bound: Duration,
        proved_at: Timestamp,
        now: Timestamp,
    ) -> Vec<RecentTargetVersion> {
        let targets = |proof: TargetVersionProof| RecentTargetVersion {
            model: proof.model,
            previous: proof.above,
            version: proof.version,
            // The next whole millisecond: earlier is safe.
            before_ms: proved_at.saturating_since(proof.at).as_millis() as u64 + 1,
        };
        self.rollout.target_versions.proofs(bound, now).into_iter().map(targets).collect()
    }
}

/// What another node has proof of, by this node's clock: counted from a moment that is no later than its proof, so that
/// none is too late.
pub(crate) fn proofs(targets: &[RecentTargetVersion], proved_at: Timestamp) -> Vec<TargetVersionProof> {
    let proof = |targets: &RecentTargetVersion| TargetVersionProof {
        model: targets.model.clone(),
        above: targets.previous,
        version: targets.version,
        at: proved_at - Duration::from_millis(targets.before_ms),
    };
    targets.iter().map(proof).collect()
}
