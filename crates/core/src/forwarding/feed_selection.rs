//! Which feeds of kept parts a node follows.
//!
//! Engines serve a limited number of readers, and a feed costs a small node time that its requests need. So each node
//! follows a bounded number of feeds, whatever it believes of the others. Of few nodes each follows all. Of many, each
//! draws the feeds that it follows by its own name and the engine's, as many as make [`READERS_OF_MANY`] of each feed on
//! average: for that it needs to know how many nodes there are, not which. One feed in twenty then has no reader (what a
//! Poisson distribution leaves out); what such an engine drops is learned by the request that misses it.

use std::{cmp::Reverse, time::Duration};

use paddlemount_protocol::identity::{EngineId, NodeId};
use xxhash_rust::xxh3::xxh3_64;

use super::ranks::{rank, rank_for};

/// Nodes up to which each follows all feeds; engines serve a dozen readers.
const MAX_READERS: u32 = 10;
/// Readers of a feed on average where there are more.
const AVERAGE_READERS: u32 = 3;
/// Feeds that a node follows at most. A count of nodes that is too small, as after a change of the root, would
/// otherwise have each node follow many feeds of a large pool.
const MAX_FEEDS: usize = 24;
/// The same while the nodes have not been counted: nobody knows yet how many share the feeds.
const MAX_FEEDS_UNCOUNTED: usize = 16;

/// How long engines must keep a part that nobody uses for their feeds to be left alone. A part is used again within some
/// seconds or hardly at all: by then nothing that counts has been displaced, so that the feeds have nothing to tell. Of ten
/// thousand engines before a light load, 24 feeds a node were 23,000 connections and as many calls a second.
const FOLLOW_BELOW_RETENTION: Duration = Duration::from_secs(120);
/// Feeds that are followed are followed on until it is so long.
const UNFOLLOW_ABOVE_RETENTION: Duration = Duration::from_secs(240);

/// Whether engines drop parts so soon that their feeds are worth following: prompts of all nodes come to
/// `tokens_per_second`, and engines have `room` tokens in all. `followed` tells what was so before.
pub fn should_follow_feeds(tokens_per_second: f64, capacity_tokens: u64, is_following: bool) -> bool {
    // Nothing was read lately: what engines keep has not changed, nor has the worth of hearing of it.
    if tokens_per_second < 1.0 {
        return is_following;
    }
    let retention =
        Duration::try_from_secs_f64(capacity_tokens as f64 / tokens_per_second).unwrap_or(Duration::MAX);
    retention < if is_following { UNFOLLOW_ABOVE_RETENTION } else { FOLLOW_BELOW_RETENTION }
}

/// The feeds that node `me` follows, among those of `engines`, where `nodes` have been counted.
pub fn followed_feeds<'a>(
    node: &NodeId,
    nodes: Option<u32>,
    engines: impl Iterator<Item = &'a EngineId>,
) -> Vec<&'a EngineId> {
    let (min_rank, max) = match nodes {
        None => (0, MAX_FEEDS_UNCOUNTED),
        Some(few) if few <= MAX_READERS => (0, MAX_FEEDS),
        Some(many) => (u64::MAX - u64::MAX / u64::from(many) * u64::from(AVERAGE_READERS), MAX_FEEDS),
    };
    let node_hash = xxh3_64(node.as_str().as_bytes());
    let mut selected: Vec<(Reverse<u64>, &EngineId)> = engines
        .map(|engine| (Reverse(rank_for(node_hash, rank(engine))), engine))
        .filter(|(rank_of, _)| rank_of.0 >= min_rank)
        .collect();
    selected.sort_unstable();
    selected.into_iter().take(max).map(|(_, engine)| engine).collect()
}
