//! At most once: claims on idempotency keys, kept in the memory of a few nodes.
//!
//! A request that must not be repeated is run by a [`ClaimCoordinator`] only after a majority of the
//! key's replicas has granted the claim. [`ClaimReplica`] is one replica's memory. [`placement`] says
//! which nodes are the replicas of a key. `docs/design/claims.md` has the argument for why a request
//! cannot run twice and what that rests on.

mod coordinator;
mod key;
pub mod placement;
mod reconfiguration;
mod replica;
mod verdict;

pub use coordinator::{ClaimAction, ClaimCoordinator, ClaimEvent, ClaimOutcome, ClaimedRequest, RunResult};
pub use key::{InvalidKey, claim_key, fingerprint, issued_at};
pub use reconfiguration::{Reconfiguration, ReconfigurationAction};
pub use replica::{ClaimReplica, ReplicaUsage};

use std::time::Duration;

/// Limits of claims. All nodes must use the same `clock_skew`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimSettings {
    /// How far the clocks of two machines may differ.
    pub clock_skew: Duration,
    /// Keys issued longer ago are refused, and what is known of them is forgotten.
    pub retention: Duration,
    /// Claims that a replica remembers at most; beyond, the oldest go first.
    pub max_entries: usize,
    /// Bytes of kept answers at most; beyond, the oldest claims go first.
    pub max_bytes: usize,
    /// The largest answer that is kept for a caller that asks again.
    pub max_answer_bytes: usize,
    /// How long a coordinator waits for replicas, in either phase.
    pub reply_timeout: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            clock_skew: Duration::from_secs(1),
            retention: Duration::from_secs(600),
            max_entries: 20_000,
            max_bytes: 16 * 1024 * 1024,
            max_answer_bytes: 16 * 1024,
            reply_timeout: Duration::from_millis(500),
        }
    }
}
