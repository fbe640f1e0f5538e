//! Which feeds of kept parts a node follows.
//!
//! Engines serve a limited number of readers, and a feed costs a small node time that its requests need. So each node
//! follows a bounded number of feeds, whatever it believes of the others: of few nodes each follows all, of many two
//! follow a feed and tell the rest. All nodes find the same readers from the same list of nodes.

use std::cmp::Reverse;

use paddlemount_protocol::{
    fleet::Member,
    identity::{EngineId, NodeId},
};
use xxhash_rust::xxh3::xxh3_64;

use super::ranks::{rank, rank_for};

/// Nodes up to which each follows all feeds; engines serve a dozen readers.
const MOST_READERS: usize = 10;
/// Nodes that follow a feed where there are more: one may fail.
const READERS_OF_MANY: usize = 2;
/// Feeds that a node follows at most. A list of nodes that is too short, as after a change of the root, would
/// otherwise have each node follow all feeds of a large pool.
const MOST_FEEDS: usize = 24;
/// The same while the nodes have not been counted: nobody knows yet whose turn it is.
const MOST_FEEDS_UNCOUNTED: usize = 16;

/// The feeds that node `me` of `members` follows, among those of `engines`.
pub fn followed<'a>(
    me: &NodeId,
    members: &[Member],
    engines: impl Iterator<Item = &'a EngineId>,
) -> Vec<&'a EngineId> {
    let (readers, most) = match members.len() {
        0 => (1, MOST_FEEDS_UNCOUNTED),
        few if few <= MOST_READERS => (MOST_READERS, MOST_FEEDS),
        _ => (READERS_OF_MANY, MOST_FEEDS),
    };
    let own = rank_of(me);
    let ranks: Vec<u64> = members.iter().map(|member| rank_of(&member.node)).collect();
    let mut turns: Vec<(usize, Reverse<u64>, &EngineId)> = engines
        .map(|engine| {
            let subject = rank(engine);
            let mine = rank_for(own, subject);
            // How many other nodes come before this one as readers of the engine's feed.
            let before = ranks.iter().filter(|other| rank_for(**other, subject) > mine).count();
            (before, Reverse(mine), engine)
        })
        .filter(|(before, ..)| *before < readers)
        .collect();
    turns.sort_unstable();
    turns.into_iter().take(most).map(|(.., engine)| engine).collect()
}

fn rank_of(node: &NodeId) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}
