//! How recently target versions were announced, as nodes share it.

use std::time::Duration;

use paddlemount_core::forwarding::target_versions::TargetVersionProof;
use paddlemount_protocol::{fleet::RecentTargetVersion, time::Timestamp};

use crate::node_state::NodeState;

impl NodeState {
    /// Records that all target versions announced up to `proved_at` are known, and the proofs of another
    /// node.
    pub(crate) fn confirm_targets(&mut self, proved_at: Timestamp, proofs: &[TargetVersionProof]) {
        self.rollout.target_versions.confirm_complete(proved_at);
        self.merge_target_proofs(proofs);
    }

    /// Merges proofs of other nodes without the claim that all target versions are known.
    pub(crate) fn merge_target_proofs(&mut self, proofs: &[TargetVersionProof]) {
        let target_versions = &mut self.rollout.target_versions;
        proofs.iter().for_each(|proof| target_versions.merge_proof(proof));
    }

    /// The recently announced target versions, for another node that receives this node's state with the
    /// proof of `proved_at`. Those older than `bound` are omitted, since they make no difference.
    pub(crate) fn recent_targets(
        &self,
        bound: Duration,
        proved_at: Timestamp,
        now: Timestamp,
    ) -> Vec<RecentTargetVersion> {
        let recent_target = |proof: TargetVersionProof| RecentTargetVersion {
            model: proof.model,
            previous: proof.above,
            version: proof.version,
            // Rounded up to a whole millisecond, since an earlier time is safe.
            before_ms: proved_at.saturating_since(proof.at).as_millis() as u64 + 1,
        };
        self.rollout.target_versions.proofs(bound, now).into_iter().map(recent_target).collect()
    }
}

/// Another node's proofs by this node's clock. They count from a moment no later than its proof, so that none
/// is too late.
pub(crate) fn proofs(targets: &[RecentTargetVersion], proved_at: Timestamp) -> Vec<TargetVersionProof> {
    let proof = |target: &RecentTargetVersion| TargetVersionProof {
        model: target.model.clone(),
        above: target.previous,
        version: target.version,
        at: proved_at - Duration::from_millis(target.before_ms),
    };
    targets.iter().map(proof).collect()
}
