//! Divides the rate of a limited back end over the tree of nodes.
//!
//! The rate is cut into slots, and every slot belongs to one node. A node divides the slots that it was
//! granted between itself and its children by weighted rendezvous hashing: the chance of a node to get a slot
//! is proportional to its demand, and when a node joins, leaves or changes its weight, no slot moves between
//! two other nodes.

use std::collections::BTreeMap;

use paddlemount_protocol::{fleet::BackendProcess, identity::NodeId};
use xxhash_rust::xxh3::xxh3_64;

use crate::forwarding::ranks::{rank, rank_for};

/// The minimum weight of a node, in requests per second: an idle node needs a share for its next requests.
const MIN_WEIGHT: f64 = 1.0;
/// The factor by which the demand of a node may differ from its weight before the weight changes. A slot that moves is
/// empty at first, so one that moves back and forth is hardly used.
const MAX_WEIGHT_ERROR: f64 = 2.0;
/// The number of significant bits of an `f64`.
const FRACTION_BITS: u32 = 53;

/// A node that takes part in a division: this node, or one of its children with all of that child's
/// descendants.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub node: NodeId,
    /// The chance to get a slot, relative to other members. Its demand until it is settled.
    weight: f64,
}

impl Member {
    /// A member whose callers, and those of its descendants, send so many requests per second.
    pub fn new(node: NodeId, demand_per_second: f64) -> Self {
        let demand = if demand_per_second.is_finite() { demand_per_second } else { 0.0 };
        Self { node, weight: demand.max(MIN_WEIGHT) }
    }

    /// The same member with a weight that seldom changes: that of an earlier division if it fits, or else a power of
    /// two.
    pub(super) fn settled(self, earlier: &[Self]) -> Self {
        let fits = |known: &&Self| {
            let is_within = |ratio: f64| ratio < MAX_WEIGHT_ERROR && ratio.recip() < MAX_WEIGHT_ERROR;
            known.node == self.node && is_within(self.weight / known.weight)
        };
        let kept = earlier.iter().find(fits).map(|known| known.weight);
        let weight = kept.unwrap_or_else(|| self.weight.log2().round().exp2());
        Self { weight, ..self }
    }
}

/// The number of slots of each node and its descendants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Division(BTreeMap<NodeId, u32>);

impl Division {
    /// Divides `slots` of a back end among `members`.
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

    /// The number of slots of a node and its descendants.
    pub(super) fn of_node(&self, node: &NodeId) -> u32 {
        self.0.get(node).copied().unwrap_or(0)
    }
}

/// Draws from an exponential distribution with rate `weight`: the member with the minimum of all draws owns
/// the slot.
fn draw(hash: u64, weight: f64) -> f64 {
    let fraction = ((hash >> (u64::BITS - FRACTION_BITS)) as f64 + 1.0) / (1_u64 << FRACTION_BITS) as f64;
    -fraction.ln() / weight
}
