//! Claims on idempotency keys: `POST /peer/claims` takes a [`ClaimMessage`] and answers with a
//! [`ClaimReply`].
//!
//! A claim is the right to run the single request of a tenant's idempotency key. The node that serves the
//! request coordinates it; a fixed set of nodes, the key's replicas, stores it.

use serde::{Deserialize, Serialize};

use crate::{
    identity::{AttemptId, IdempotencyKey, NodeId, RegionId, TenantId, ZoneId},
    time::Timestamp,
};

/// Identifies a claim: a tenant and one of its idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    pub tenant: TenantId,
    pub key: IdempotencyKey,
}

/// Digest of service, operation and body. Equal digests mean equal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Version of the placement of claim replicas, incremented by each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlacementEpoch(pub u64);

/// The nodes that store claims. Part of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimPlacement {
    pub epoch: PlacementEpoch,
    #[serde(default)]
    pub members: Vec<ClaimMember>,
    /// The nodes of the next epoch. While this is set, the current epoch grants no claims; see
    /// [`ClaimMessage::Seal`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Vec<ClaimMember>>,
}

/// A node that stores claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimMember {
    /// No two processes may run under this name at the same time.
    pub node: NodeId,
    pub zone: ZoneId,
    pub region: RegionId,
}

/// A message from a coordinator to a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ClaimMessage {
    /// Requests the right to run a request.
    Claim {
        /// The epoch that the coordinator uses.
        epoch: PlacementEpoch,
        key: ClaimKey,
        /// The attempt that would run; unique.
        owner: AttemptId,
        fingerprint: Fingerprint,
        /// Milliseconds after which the attempt has ended in any case. Only used in messages to callers.
        run_for_ms: u64,
    },
    /// Records the outcome of a claimed request.
    Record {
        key: ClaimKey,
        /// The attempt that ran.
        owner: AttemptId,
        fingerprint: Fingerprint,
        #[serde(rename = "ending")]
        outcome: RecordedOutcome,
    },
    /// Releases a claim. Sent only by a coordinator that has not run the request and never will.
    Release {
        key: ClaimKey,
        /// The attempt that will not run.
        owner: AttemptId,
    },
    /// Asks a replica to grant no more claims in an epoch, so that the next one can begin.
    Seal {
        /// The epoch to end.
        epoch: PlacementEpoch,
    },
}

/// The outcome of a claimed request, as replicas store it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RecordedOutcome {
    Completed {
        /// The response body as JSON; `None` if it was too large to store.
        answer: Option<String>,
    },
    /// The request may have run.
    Unknown,
}

/// A replica's answer to a [`ClaimMessage`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim is granted to the requesting attempt and to no other.
    Granted,
    /// The claim was granted to another attempt, which has not ended.
    #[serde(rename = "held")]
    InProgress {
        /// Fingerprint of the request that it runs.
        fingerprint: Fingerprint,
    },
    /// Another attempt has ended.
    Ended {
        /// Fingerprint of the request that it ran.
        fingerprint: Fingerprint,
        #[serde(rename = "ending")]
        outcome: RecordedOutcome,
    },
    /// The replica's records do not reach back to the time when the key was issued.
    TooOld {
        /// The replica has a record of every claim that it granted for keys issued after this time.
        floor: Timestamp,
    },
    /// The key's time of issue is ahead of the replica's clock by more than the permitted clock skew.
    FromFuture {
        /// The replica's clock.
        now: Timestamp,
    },
    /// The replica uses another placement, or is not a member of this one.
    OtherEpoch {
        /// The replica's epoch.
        epoch: PlacementEpoch,
    },
    /// The requesting attempt released this claim before.
    #[serde(rename = "given_back")]
    AlreadyReleased,
    /// The record, release or seal is stored.
    #[serde(rename = "noted")]
    Acknowledged,
}
