//! Which nodes read an engine's feed of cache events.
//!
//! A feed costs far more than a node may spend on control if every node reads every one, so a few
//! nodes of the engine's region own each. Ownership is by rendezvous hashing over the living members: it needs no
//! message, and a change of one member moves only the feeds that it owned. Nodes whose member tables differ for a
//! moment may own a feed twice or not at all; cache_index is only a hint, so that costs accuracy and nothing else.

use paddlemount_protocol::identity::{EngineId, NodeId};

use crate::membership::{MemberTable, rendezvous_weight};

/// Nodes that read one feed: cache_index about an engine outlives the loss of two of them.
pub const OWNERS_PER_FEED: usize = 3;

/// The nodes that own the feed of `engine`, by the member table of one node.
pub fn owners<'a>(members: &'a MemberTable, engine: &EngineId) -> Vec<&'a NodeId> {
    let live = members.live().map(|record| &record.node);
    let mut weighed: Vec<(u64, &NodeId)> =
        live.map(|node| (rendezvous_weight(engine.as_str(), node), node)).collect();
    weighed.sort_unstable_by(|left, right| right.cmp(left));
    weighed.into_iter().take(OWNERS_PER_FEED).map(|(_, node)| node).collect()
}

/// Whether the node whose table `members` is owns the feed of `engine`.
pub fn owns(members: &MemberTable, engine: &EngineId) -> bool {
    owners(members, engine).contains(&&members.own().node)
}
