//! Messages about claims on idempotency keys: `POST /peer/claims` with [`ClaimMessage`], answered by
//! [`ClaimReply`].
//!
//! A claim is the right to run the one request of a tenant's idempotency key. The node that serves the
//! request coordinates it; a fixed set of nodes, the key's replicas, remember it.

use serde::{Deserialize, Serialize};

use crate::{
    identity::{AttemptId, IdempotencyKey, NodeId, RegionId, TenantId, ZoneId},
    time::Timestamp,
};

/// What a claim is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The tenant; keys of different tenants never meet.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// A digest of service, operation and body. Two requests with the same digest are the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Numbers the placements of claim replicas; rises by one with each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlacementEpoch(pub u64);

/// Which nodes remember claims. Part of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimPlacement {
    /// The placement's number.
    pub epoch: PlacementEpoch,
    /// The nodes.
    #[serde(default)]
    pub members: Vec<ClaimMember>,
    /// The nodes of the next epoch. While it is set, the present epoch grants nothing more: see
    /// [`ClaimMessage::Seal`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<Vec<ClaimMember>>,
}

/// A node that remembers claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimMember {
    /// The node. No two processes may run under one name at the same time.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// A message from a coordinator to a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ClaimMessage {
    /// Asks for the right to run a request.
    Claim {
        /// The placement that the coordinator goes by.
        epoch: PlacementEpoch,
        /// The key.
        key: ClaimKey,
        /// The try that would run; unique.
        owner: AttemptId,
        /// The request.
        fingerprint: Fingerprint,
        /// Milliseconds after which the try has ended in one way or another. Only worded in answers.
        run_for_ms: u64,
    },
    /// Records how a claimed request ended.
    Record {
        /// The key.
        key: ClaimKey,
        /// The try that ran.
        owner: AttemptId,
        /// The request.
        fingerprint: Fingerprint,
        /// How it ended.
        ending: RecordedOutcome,
    },
    /// Gives a claim back. Sent only by a coordinator that has not run the request and never will.
    Release {
        /// The key.
        key: ClaimKey,
        /// The try that will not run.
        owner: AttemptId,
    },
    /// Asks a replica to grant nothing more under an epoch, so that the next one may begin.
    Seal {
        /// The epoch that ends.
        epoch: PlacementEpoch,
    },
}

/// How a claimed request ended, as replicas remember it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RecordedOutcome {
    /// It ran to its end with this answer.
    Completed {
        /// The answer's body as JSON text; none where it was too large to keep.
        answer: Option<String>,
    },
    /// It may have run.
    Unknown,
}

/// A replica's answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ClaimReply {
    /// The replica grants the claim to the asking try and to no other.
    Granted,
    /// Another try holds the claim and has not ended.
    Held {
        /// The request that it runs.
        fingerprint: Fingerprint,
    },
    /// Another try has ended.
    Ended {
        /// The request that it ran.
        fingerprint: Fingerprint,
        /// How it ended.
        ending: RecordedOutcome,
    },
    /// The replica's memory does not reach back to the key's time of issue.
    TooOld {
        /// The replica knows all claims that it granted for keys issued after this time.
        floor: Timestamp,
    },
    /// The key's time of issue is ahead of the replica's clock by more than clocks may differ.
    FromFuture {
        /// The replica's clock.
        now: Timestamp,
    },
    /// The replica goes by another placement, or is no member of this one.
    OtherEpoch {
        /// The replica's placement.
        epoch: PlacementEpoch,
    },
    /// The asking try gave this claim back before.
    GivenBack,
    /// The record, release or seal is noted.
    Noted,
}
