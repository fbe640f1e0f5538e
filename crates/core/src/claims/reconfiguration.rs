//! Changes the placement of claim replicas.
//!
//! 1. The configuration lists the `next` members; members of the current epoch that learn of it grant no
//!    further claims.
//! 2. The driver of the change asks each current member to seal the epoch. Once a majority *of every possible
//!    replica set* has sealed, no further claim can be granted under it.
//! 3. After `settle_time`, in which nodes with an older configuration stop serving, the next epoch begins.
//!    Its members refuse keys issued before they adopt it.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_protocol::{
    identity::NodeId,
    peer::claims::{ClaimMessage, ClaimPlacement},
    time::Timestamp,
};

use super::placement::REPLICAS;

/// An output of [`Reconfiguration::tick`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconfigurationAction {
    /// Ask a member to seal the epoch.
    Send { to: NodeId, message: ClaimMessage },
    /// Replace the placement in the configuration by compare-and-swap.
    Activate(ClaimPlacement),
}

/// The state machine of one change of placement. It may be lost at any time, as another node can start over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reconfiguration {
    placement: ClaimPlacement,
    sealed: BTreeSet<NodeId>,
    settle_time: Duration,
    sealed_at: Option<Timestamp>,
}

impl Reconfiguration {
    /// Starts to end the epoch of `placement`; returns `None` if there are no next members.
    pub fn begin(placement: ClaimPlacement, settle_time: Duration) -> Option<Self> {
        placement.next.as_ref()?;
        Some(Self { placement, sealed: BTreeSet::new(), settle_time, sealed_at: None })
    }

    /// Records that a member has sealed, or that the machine list no longer contains its machine: a removed
    /// machine grants nothing either.
    pub fn record_sealed(&mut self, member: NodeId, now: Timestamp) {
        if self.placement.members.iter().any(|candidate| candidate.node == member) {
            self.sealed.insert(member);
        }
        if self.is_sealed() && self.sealed_at.is_none() {
            self.sealed_at = Some(now);
        }
    }

    /// Returns the actions due at `now`. Call about once per second.
    pub fn tick(&self, now: Timestamp) -> Vec<ReconfigurationAction> {
        match self.sealed_at {
            None => self.request_seals(),
            Some(sealed_at) if now >= sealed_at + self.settle_time => vec![self.activate()],
            Some(_) => Vec::new(),
        }
    }

    /// Any majority of any replica set must include a sealed member, so fewer than a majority of a set may be
    /// unsealed. Sets are drawn from all members.
    fn is_sealed(&self) -> bool {
        let missing = self.placement.members.len() - self.sealed.len();
        let set = self.placement.members.len().min(REPLICAS);
        missing < super::placement::majority(set)
    }

    fn request_seals(&self) -> Vec<ReconfigurationAction> {
        let message = ClaimMessage::Seal { epoch: self.placement.epoch };
        let unsealed = self.placement.members.iter().filter(|member| !self.sealed.contains(&member.node));
        unsealed
            .map(|member| ReconfigurationAction::Send { to: member.node.clone(), message: message.clone() })
            .collect()
    }

    fn activate(&self) -> ReconfigurationAction {
        let epoch = paddlemount_protocol::peer::claims::PlacementEpoch(self.placement.epoch.0 + 1);
        let members = self.placement.next.clone().unwrap_or_default();
        ReconfigurationAction::Activate(ClaimPlacement { epoch, members, next: None })
    }
}
