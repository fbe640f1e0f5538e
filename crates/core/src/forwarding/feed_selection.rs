//! Which cache feeds a node follows.
//!
//! Engines serve a limited number of readers, and following a feed costs a small node time that its requests
//! need. So each node follows a bounded number of feeds. With few nodes, each follows all feeds. With many,
//! each selects feeds by a hash of its own name and the engine's, so that a feed has `AVERAGE_READERS`
//! readers on average; this needs only the number of nodes, not their names. About one feed in twenty then
//! has no reader, and what its engine evicts is learned from the request that misses it.

use std::{cmp::Reverse, time::Duration};

use paddlemount_protocol::identity::{EngineId, NodeId};
use xxhash_rust::xxh3::xxh3_64;

use super::ranks::{rank, rank_for};

/// The number of nodes up to which each follows all feeds; engines serve a dozen readers.
const MAX_READERS: u32 = 10;
/// The average number of readers of a feed with more nodes.
const AVERAGE_READERS: u32 = 3;
/// The maximum number of feeds that a node follows, which also bounds them if the count of nodes is too
/// small, as after a change of the root.
const MAX_FEEDS: usize = 24;
/// The same while the number of nodes is unknown, and so how many share the feeds.
const MAX_FEEDS_UNCOUNTED: usize = 16;

/// Feeds are followed if unused segments stay cached for less than this time. Segments are reused within
/// seconds or hardly at all, so that evictions after longer times are not worth the cost of the feeds.
const FOLLOW_BELOW_RETENTION: Duration = Duration::from_secs(120);
/// Feeds that are followed already are followed until segments stay cached for this time.
const UNFOLLOW_ABOVE_RETENTION: Duration = Duration::from_secs(240);

/// Whether engines evict segments so soon that their feeds are worth following, where all nodes' prompts come
/// to `tokens_per_second` and all engines have room for `capacity_tokens`. `is_following` is the previous
/// result.
pub fn should_follow_feeds(tokens_per_second: f64, capacity_tokens: u64, is_following: bool) -> bool {
    // Without recent prompts the caches have not changed.
    if tokens_per_second < 1.0 {
        return is_following;
    }
    let retention =
        Duration::try_from_secs_f64(capacity_tokens as f64 / tokens_per_second).unwrap_or(Duration::MAX);
    retention < if is_following { UNFOLLOW_ABOVE_RETENTION } else { FOLLOW_BELOW_RETENTION }
}

/// The feeds among those of `engines` that `node` follows, where `nodes` is the number of nodes, if known.
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
