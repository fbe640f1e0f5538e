//! Tracks which members apply a revision, in rounds of requests until all do or the time limit is reached.

use std::{collections::BTreeSet, net::SocketAddr};

use paddlemount_protocol::{
    identity::{NodeId, RegionId, Revision},
    peer::{
        configuration::{MAX_LISTED_UNCONFIRMED, RegionStatus},
        membership::RegionSummary,
    },
};

use crate::membership::MemberTable;

/// The confirmation of one revision in this node's region.
#[derive(Clone, Debug)]
pub struct RegionConfirmation {
    revision: Revision,
    confirmed_members: BTreeSet<NodeId>,
    pending: BTreeSet<NodeId>,
}

impl RegionConfirmation {
    /// Creates the confirmation of `revision`, which no member is known to apply.
    pub const fn new(revision: Revision) -> Self {
        Self { revision, confirmed_members: BTreeSet::new(), pending: BTreeSet::new() }
    }

    /// Returns the revision to confirm.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the live members to ask now; each must be followed by [`record_answer`](Self::record_answer)
    /// or [`record_failure`](Self::record_failure).
    pub fn to_ask(&mut self, table: &MemberTable) -> Vec<(NodeId, SocketAddr)> {
        let own = &table.own().node;
        let is_open = |node: &NodeId| !self.confirmed_members.contains(node) && !self.pending.contains(node);
        let open = table.live().filter(|record| record.node != *own && is_open(&record.node));
        let open: Vec<_> = open.map(|record| (record.node.clone(), record.address)).collect();
        self.pending.extend(open.iter().map(|(node, _)| node.clone()));
        open
    }

    /// Records that a member applies `revision`.
    pub fn record_answer(&mut self, node: NodeId, revision: Revision) {
        self.pending.remove(&node);
        if revision >= self.revision {
            self.confirmed_members.insert(node);
        }
    }

    /// Records that a member did not answer.
    pub fn record_failure(&mut self, node: &NodeId) {
        self.pending.remove(node);
    }

    /// Returns how many members of the region, of at least `base` known ones, apply the revision.
    pub fn status(&self, table: &MemberTable, base: usize) -> RegionStatus {
        let known = table.known().filter(|record| self.confirmed_members.contains(&record.node));
        let unconfirmed = table.live().filter(|record| !self.confirmed_members.contains(&record.node));
        RegionStatus {
            region: table.own().region.clone(),
            known: count(base),
            alive: count(table.live().count()),
            confirmed: count(known.count()),
            unconfirmed: unconfirmed.map(|record| record.node.clone()).take(MAX_LISTED_UNCONFIRMED).collect(),
        }
    }
}

/// Whether all live members of a region apply the revision, and a majority of the known ones.
pub fn is_in_force(status: &RegionStatus) -> bool {
    status.unconfirmed.is_empty() && is_accepted(status)
}

/// Whether a majority of the known members of a region apply the revision.
pub const fn is_accepted(status: &RegionStatus) -> bool {
    status.confirmed > status.known / 2
}

/// Returns the first region without a report within `max_age_ms`; a change made now could not be accepted.
pub fn unresponsive_region(regions: &[RegionSummary], max_age_ms: u32) -> Option<&RegionId> {
    regions.iter().find(|summary| summary.age_ms > max_age_ms).map(|summary| &summary.region)
}

fn count(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
