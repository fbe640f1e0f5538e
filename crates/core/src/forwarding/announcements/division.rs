//! How the rate of a limited back end is divided over the tree of nodes.
//!
//! The rate is cut into slots of one request at a time each, and every slot belongs to one node. A node divides the slots that
//! it was granted between itself and the nodes that report to it by weighted rendezvous hashing: a node is as likely to get a slot
//! as its callers ask for much, and where a node comes, goes or changes its weight no slot moves between two others.

use std::collections::BTreeMap;

use paddlemount_protocol::{fleet::BackendProcess, identity::NodeId};
use xxhash_rust::xxh3::xxh3_64;

use crate::forwarding::ranks::{rank, rank_for};

/// The weight of nodes whose callers ask for less, in requests a second: they may be asked for more at any moment.
const MIN_WEIGHT: f64 = 1.0;
/// The bits of a hash that a fraction has room for.
const FRACTION_BITS: u32 = 53;

/// One of those between whom slots are divided: this node, or one that reports to it with all below that one.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// How likely it is to get a slot. A power of two, so that it seldom changes.
    weight: f64,
}

impl Member {
    /// A node whose callers, and those of the nodes below it, ask for so many requests a second.
    pub fn new(node: NodeId, demand_per_second: f64) -> Self {
        let asked = if demand_per_second.is_finite() { demand_per_second } else { 0.0 };
        Self { node, weight: asked.max(MIN_WEIGHT).log2().round().exp2() }
    }
}

/// How many slots each node has, with those below it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Division(BTreeMap<NodeId, u32>);

impl Division {
    /// Divides `slots` of a back end.
    pub(super) fn of(process: &BackendProcess, slots: u32, members: &[Member]) -> Self {
        let hashes: Vec<u64> =
            members.iter().map(|member| xxh3_64(member.node.as_str().as_bytes())).collect();
        let mut counts = BTreeMap::new();
        for slot in 0..slots {
            let key = rank_for(rank(&process.id), u64::from(slot));
            let order = |index: &usize| draw(rank_for(key, hashes[*index]), members[*index].weight);
            let owner = (0..members.len()).min_by(|left, right| order(left).total_cmp(&order(right)));
            if let Some(owner) = owner {
                *counts.entry(members[owner].node.clone()).or_default() += 1;
            }
        }
        Self(counts)
    }

    /// The slots of a node and those below it.
    pub(super) fn of_node(&self, node: &NodeId) -> u32 {
        self.0.get(node).copied().unwrap_or(0)
    }
}

/// Of several, the least of these is that of each one as often as its weight says (an exponential race).
fn draw(hash: u64, weight: f64) -> f64 {
    let fraction = ((hash >> (u64::BITS - FRACTION_BITS)) as f64 + 1.0) / (1_u64 << FRACTION_BITS) as f64;
    -fraction.ln() / weight
}
