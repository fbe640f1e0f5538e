//! Change from one placement of claim replicas to the next.
//!
//! 1. The configuration names the `next` members; members of the present epoch that learn of it grant nothing more.
//! 2. Whoever drives the change asks each present member to seal the epoch. Once a majority *of every
//!    possible replica set* has sealed, no further claim can be granted under it.
//! 3. After `settle_time`, in which nodes with an older configuration stop to serve, the next epoch begins.
//!    Its members refuse keys issued before they adopt it.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_protocol::{
    identity::NodeId,
    peer::claims::{ClaimMessage, ClaimPlacement},
    time::Timestamp,
};

use super::placement::REPLICAS;

/// What to do for the change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconfigurationAction {
    /// Ask a member to seal.
    Send {
        /// The member.
        to: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// Replace the placement in the configuration, by compare-and-swap.
    Activate(ClaimPlacement),
}

/// The state machine of one change of placement. Losing it loses nothing: another may start anew.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reconfiguration {
    placement: ClaimPlacement,
    sealed: BTreeSet<NodeId>,
    settle_time: Duration,
    sealed_at: Option<Timestamp>,
}

impl Reconfiguration {
    /// Begins to end the epoch of `placement`; none where no next members are named.
    pub fn begin(placement: ClaimPlacement, settle_time: Duration) -> Option<Self> {
        placement.next.as_ref()?;
        Some(Self { placement, sealed: BTreeSet::new(), settle_time, sealed_at: None })
    }

    /// A member has sealed, or the machine list no longer names its machine: a machine that is gone grants
    /// nothing either.
    pub fn sealed(&mut self, member: NodeId, now: Timestamp) {
        if self.placement.members.iter().any(|candidate| candidate.node == member) {
            self.sealed.insert(member);
        }
        if self.enough_sealed() && self.sealed_at.is_none() {
            self.sealed_at = Some(now);
        }
    }

    /// What to do at `now`; to be asked about once a second.
    pub fn tick(&self, now: Timestamp) -> Vec<ReconfigurationAction> {
        match self.sealed_at {
            None => self.ask_to_seal(),
            Some(sealed_at) if now >= sealed_at + self.settle_time => vec![self.activate()],
            Some(_) => Vec::new(),
        }
    }

    /// Any majority of any replica set must meet a sealed member: fewer than a majority of a set may be
    /// unsealed. Sets are drawn from all members, so at most [`REPLICAS`] minus a majority may be missing.
    fn enough_sealed(&self) -> bool {
        let missing = self.placement.members.len() - self.sealed.len();
        let set = self.placement.members.len().min(REPLICAS);
        missing < super::placement::majority(set)
    }

    fn ask_to_seal(&self) -> Vec<ReconfigurationAction> {
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
