//! Records in the metadata store that a version of weights was announced lately, for nodes that all start again.
//!
//! A node that starts cannot know since when a version has been announced, and takes it for old until another node tells. Where
//! all start at the same moment nobody can. So the leader writes down each name that it hears of, bound to a lease of half
//! the bound of older weights. Whoever lists the store and finds the record knows by the store's own clock that the name
//! is no older than that lease and the age that it had when the lease was granted; where it is gone, the name counts as old.
//! While the store is down leases may wait: the record then proves nothing of the time of that outage.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use paddlemount_core::forwarding::target_versions::TargetVersionProof;
use paddlemount_protocol::{
    fleet::RecentTargetVersion,
    identity::{ModelId, WeightsVersion},
};

use crate::{
    node::Node,
    ports::{StoreAnswer, StoreCall},
    store_feed::{StoreError, call_store},
};

/// The lease of a record, as a part of the bound of older weights.
const LEASE_FRACTION: u32 = 2;
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The pause between two looks whether something is to be recorded: after a failed call, or where this node has begun to
/// lead.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Records names for as long as the process lives.
pub async fn run(node: Rc<Node>) {
    let mut recorded = BTreeMap::new();
    let mut restored_at = None;
    loop {
        // A copy of the store may lack what was recorded.
        if restored_at != node.restored_at.get() {
            restored_at = node.restored_at.get();
            recorded.clear();
        }
        let announced = node.target_announced.notified();
        for proof in unrecorded_targets(&node, &recorded) {
            let (model, version) = (proof.model.clone(), proof.version);
            // A call that failed is counted with how it ended, and made again while the name is recent enough.
            if record(&node, proof).await.is_ok() {
                recorded.insert(model, version);
            }
        }
        let _ = tokio::time::timeout(CHECK_INTERVAL, announced).await;
    }
}

fn lease_time(node: &Node) -> Duration {
    node.settings().bounds.weights() / LEASE_FRACTION
}

/// The names that this node, while it leads, has proof of and has not recorded: the newest of each model, where it may help.
fn unrecorded_targets(node: &Node, recorded: &BTreeMap<ModelId, WeightsVersion>) -> Vec<TargetVersionProof> {
    if node.token().is_none() {
        return Vec::new();
    }
    let state = node.state.borrow();
    let target_versions = &state.rollout.target_versions;
    let is_newest = |proof: &TargetVersionProof| {
        target_versions.newest(&proof.model).is_some_and(|newest| newest.version == proof.version)
    };
    let is_new = |proof: &TargetVersionProof| recorded.get(&proof.model) != Some(&proof.version);
    let recent = target_versions.proofs(lease_time(node), node.now());
    recent.into_iter().filter(|proof| is_newest(proof) && is_new(proof)).collect()
}

/// Writes one record. A record that comes late, after that of a newer version, ends with its own lease.
async fn record(node: &Node, proof: TargetVersionProof) -> Result<(), StoreError> {
    let granted = call_store(node, &StoreCall::Grant { ttl: lease_time(node) }, CALL_TIMEOUT).await?;
    let StoreAnswer::Lease { lease, ttl } = granted else { return Err(StoreError::Unexpected) };
    // The lease runs from before this moment, so that the name was no older when it was granted.
    let age = node.now().saturating_since(proof.at);
    let target = RecentTargetVersion {
        model: proof.model,
        previous: proof.above,
        version: proof.version,
        before_ms: (ttl + age).as_millis() as u64 + 1,
    };
    match call_store(node, &StoreCall::RecordTarget { target, lease }, CALL_TIMEOUT).await? {
        StoreAnswer::Done { .. } => Ok(()),
        _ => Err(StoreError::Unexpected),
    }
}
