//! Which feeds of kept parts a node follows.
//!
//! Engines serve a limited number of readers, and a feed costs a small node time that its requests need. So each node
//! follows a bounded number of feeds, whatever it believes of the others. Of few nodes each follows all. Of many, each
//! draws the feeds that it follows by its own name and the engine's, as many as make [`READERS_OF_MANY`] of each feed on
//! average: for that it needs to know how many nodes there are, not which. One feed in twenty then has no reader (what a
//! Poisson distribution leaves out); what such an engine drops is learned by the request that misses it.

use std::cmp::Reverse;

use paddlemount_protocol::identity::{EngineId, NodeId};
use xxhash_rust::xxh3::xxh3_64;

use super::ranks::{rank, rank_for};

/// Nodes up to which each follows all feeds; engines serve a dozen readers.
const MOST_READERS: u32 = 10;
/// Readers of a feed on average where there are more.
const READERS_OF_MANY: u32 = 3;
/// Feeds that a node follows at most. A count of nodes that is too small, as after a change of the root, would
/// otherwise have each node follow many feeds of a large pool.
const MOST_FEEDS: usize = 24;
/// The same while the nodes have not been counted: nobody knows yet how many share the feeds.
const MOST_FEEDS_UNCOUNTED: usize = 16;

/// The feeds that node `me` follows, among those of `engines`, where `nodes` have been counted.
pub fn followed<'a>(
    me: &NodeId,
    nodes: Option<u32>,
    engines: impl Iterator<Item = &'a EngineId>,
) -> Vec<&'a EngineId> {
    let (drawn_above, most) = match nodes {
        None => (0, MOST_FEEDS_UNCOUNTED),
        Some(few) if few <= MOST_READERS => (0, MOST_FEEDS),
        Some(many) => (u64::MAX - u64::MAX / u64::from(many) * u64::from(READERS_OF_MANY), MOST_FEEDS),
    };
    let own = xxh3_64(me.as_str().as_bytes());
    let mut drawn: Vec<(Reverse<u64>, &EngineId)> = engines
        .map(|engine| (Reverse(rank_for(own, rank(engine))), engine))
        .filter(|(draw, _)| draw.0 >= drawn_above)
        .collect();
    drawn.sort_unstable();
    drawn.into_iter().take(most).map(|(_, engine)| engine).collect()
}
