//! Assignment of engines' cache event feeds to the nodes that read them.
//!
//! Reading every feed at every node would cost too much, so a few nodes own each feed. Ownership is by
//! rendezvous hashing over the live members: it needs no messages, and a membership change moves only the
//! feeds of the changed member. While member tables differ, a feed may have too many owners or none, which
//! only makes the cache index less accurate.

use paddlemount_protocol::identity::{EngineId, NodeId};

use crate::membership::{MemberTable, rendezvous_weight};

/// Nodes that read each feed, so that two of them can fail without a gap.
pub const OWNERS_PER_FEED: usize = 3;

/// Returns the nodes that own the feed of `engine`, by one node's member table.
pub fn owners<'a>(members: &'a MemberTable, engine: &EngineId) -> Vec<&'a NodeId> {
    let live = members.live().map(|record| &record.node);
    let mut ranked: Vec<(u64, &NodeId)> =
        live.map(|node| (rendezvous_weight(engine.as_str(), node), node)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(OWNERS_PER_FEED).map(|(_, node)| node).collect()
}

/// Whether the node with this member table owns the feed of `engine`.
pub fn owns(members: &MemberTable, engine: &EngineId) -> bool {
    owners(members, engine).contains(&&members.own().node)
}
