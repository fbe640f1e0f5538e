//! At-most-once execution by claims on idempotency keys, which a few nodes store in memory.
//!
//! A [`ClaimCoordinator`] dispatches a request that must not run twice only after a majority of the key's
//! replicas has granted the claim. [`ClaimReplica`] is the state of one replica, and [`placement`] selects a
//! key's replicas. `docs/design/claims.md` explains why a request cannot run twice and under which
//! assumptions.

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
    /// Maximum difference between the clocks of two machines.
    pub clock_skew: Duration,
    /// Age from which keys are refused and their claims dropped.
    pub retention: Duration,
    /// Maximum number of claims per replica; beyond it, the oldest are dropped.
    pub max_entries: usize,
    /// Maximum bytes of stored answers; beyond it, the oldest claims are dropped.
    pub max_bytes: usize,
    /// Maximum size of an answer that is stored for retries.
    pub max_answer_bytes: usize,
    /// Timeout for replicas' replies in either phase.
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
