//! Records in the metadata store that a target version was announced recently, for the case that all nodes
//! restart.
//!
//! A node that starts cannot know when a target version was announced, and assumes that it is old until
//! another node reports otherwise. If all nodes restart at once, none can. So the leader records each
//! announced target version, bound to a lease of half the bound on outdated weights. A node whose listing
//! contains the record knows, by the store's clock, that the target version is no older than that lease
//! plus its age when the lease was granted. Without a record it counts as old. Leases may be suspended
//! during an outage of the store, so the record proves nothing about that time.

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

/// The lease of a record is the bound on outdated weights divided by this.
const LEASE_FRACTION: u32 = 2;
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The interval of checks for unrecorded targets, after a failed call or when this node becomes leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Records announced targets for the lifetime of the process.
pub async fn run(node: Rc<Node>) {
    let mut recorded = BTreeMap::new();
    let mut restored_at = None;
    loop {
        // A restored store may lack earlier records.
        if restored_at != node.restored_at.get() {
            restored_at = node.restored_at.get();
            recorded.clear();
        }
        let announced = node.target_announced.notified();
        for proof in unrecorded_targets(&node, &recorded) {
            let (model, version) = (proof.model.clone(), proof.version);
            // A failed call is counted in the metrics, and repeated while the target is recent.
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

/// The newest announced target version of each model, where this node leads, has a recent proof of it and has
/// not recorded it.
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

/// Writes one record. A late record, after that of a newer version, ends with its own lease.
async fn record(node: &Node, proof: TargetVersionProof) -> Result<(), StoreError> {
    let granted = call_store(node, &StoreCall::Grant { ttl: lease_time(node) }, CALL_TIMEOUT).await?;
    let StoreAnswer::Lease { lease, ttl } = granted else { return Err(StoreError::Unexpected) };
    // The lease counts from an earlier moment, so the age at its grant was no greater.
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
