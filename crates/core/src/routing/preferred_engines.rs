//! Preferred engines of a prefix: rendezvous hashing at increasing prefix depths.
//!
//! The engines of a pool are ordered by a hash of their name and the prefix. A prefix gets as many engines of
//! that order as its share of the traffic needs, and a longer prefix is placed among the engines of the
//! shorter prefix that it extends. Nodes without traffic history derive the share from the depth alone, so
//! they all agree. Traffic only changes the length of a list, in powers of two, and the shorter list is
//! always the start of the longer one.

use paddlemount_protocol::{prefix::BlockHash, time::Timestamp};

use crate::{
    cache_index::{Slot, short_hash},
    popularity::{PrefixPopularity, level_depths},
};

/// Maximum number of ranked engines.
pub(super) const MAX_RANKED: usize = 16;
/// Weight, in requests, of the assumed traffic share of an unknown prefix.
const PRIOR_REQUESTS: f64 = 16.0;
/// Depth in blocks up to which a prefix is assumed to be shared by all requests.
const WIDELY_SHARED_DEPTH: f64 = 6.0;
/// Engines per prefix relative to its share of the traffic.
const OVERPROVISIONING: f64 = 2.0;
/// Decayed request count from which a prefix counts as shared.
const MIN_SHARED_COUNT: f64 = 1.5;
/// Below this decayed request count, the depth alone determines the share.
const MIN_WARM_REQUESTS: f64 = 30.0;
/// Minimum number of engines for a prefix at a node without traffic history.
const MIN_COLD_ENGINES: usize = 2;
/// Margin, in standard deviations, when bounding the rank keys of the first engines.
const KEY_DEVIATIONS: f64 = 4.0;
/// Lower bound of a share, so that a pool is halved at most 20 times.
const MIN_SHARE: f64 = 1e-6;

/// The preferred engines of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PreferredEngines {
    /// Engines in rank order. The first `primary` ones are preferred, the others follow as overflow.
    pub(super) ranked: Vec<Slot>,
    /// Number of preferred engines, by the traffic share of the shared prefix.
    pub(super) primary: usize,
    /// Copies of the prefix that its request rate justifies; 1 while the rate is unknown.
    pub(super) copies: usize,
    /// Leading blocks of the prompt that other requests are known to share.
    pub(super) shared_blocks: usize,
}

/// An engine of a pool with the hash of its name.
pub(super) type Member = (Slot, u64);

/// Returns the preferred engines for a prompt among `members`.
pub(super) fn select(
    members: &[Member],
    blocks: &[BlockHash],
    popularity: &PrefixPopularity,
    total: f64,
    now: Timestamp,
) -> PreferredEngines {
    let mut list: Vec<Member> = members.to_vec();
    let mut overflow: Vec<Slot> = Vec::new();
    let mut shared_blocks = 0;
    let mut halvings = 0;
    let mut narrowed_at = 0;
    let warm = total >= MIN_WARM_REQUESTS;
    for depth in level_depths(blocks.len()) {
        let block = blocks[depth - 1];
        let count = popularity.count(block, now);
        if count >= MIN_SHARED_COUNT {
            shared_blocks = depth;
        } else if warm {
            break;
        }
        let needed_halvings = halvings_for(share(depth, count, total));
        let primary = primary_engines(members.len(), needed_halvings, warm);
        if needed_halvings > halvings && primary < list.len() {
            halvings = needed_halvings;
            narrowed_at = depth;
            overflow = narrow(&mut list, primary, short_hash(block));
        }
    }
    let primary = list.len();
    let order = blocks.get(shared_blocks.max(narrowed_at).max(1) - 1).map_or(0, |block| short_hash(*block));
    sort_head(&mut list, MAX_RANKED, order);
    let ranked = list.iter().map(|(slot, _)| *slot).chain(overflow).take(MAX_RANKED).collect();
    PreferredEngines { ranked, primary, copies: if warm { primary } else { 1 }, shared_blocks }
}

/// Estimates the share of the traffic that has a prefix, from the counts and the depth.
fn share(depth: usize, count: f64, total: f64) -> f64 {
    let assumed = (WIDELY_SHARED_DEPTH / depth as f64).min(1.0);
    (count + PRIOR_REQUESTS * assumed) / (total + PRIOR_REQUESTS)
}

/// Returns how many times the pool is halved for a prefix with this share. Whole steps keep small differences
/// between nodes' counts from changing the list.
fn halvings_for(share: f64) -> u32 {
    (1.0 / (share * OVERPROVISIONING).clamp(MIN_SHARE, 1.0)).log2() as u32
}

fn primary_engines(members: usize, halvings: u32, warm: bool) -> usize {
    let min = if warm { 1 } else { MIN_COLD_ENGINES };
    (members.div_ceil(1 << halvings)).max(min).min(members)
}

/// Truncates the list to the first `primary` in rank order of this prefix. Returns the ones that follow, in
/// order.
fn narrow(list: &mut Vec<Member>, primary: usize, prefix: u64) -> Vec<Slot> {
    keep_lowest(list, primary.max(MAX_RANKED), prefix);
    sort_head(list, primary, prefix);
    let mut remainder = list.split_off(primary);
    sort_head(&mut remainder, MAX_RANKED, prefix);
    remainder.into_iter().take(MAX_RANKED).map(|(slot, _)| slot).collect()
}

/// Drops engines that rank behind the first `needed`, in one pass.
///
/// Rank keys are uniform, so about as many as needed are below a proportional bound. If there are fewer,
/// nothing is dropped.
fn keep_lowest(list: &mut Vec<Member>, needed: usize, prefix: u64) {
    let expected = needed as f64 + KEY_DEVIATIONS * (needed as f64).sqrt();
    let share = expected / list.len() as f64;
    if share >= 0.5 {
        return;
    }
    let bound = (share * u64::MAX as f64) as u64;
    let lowest: Vec<Member> =
        list.iter().filter(|(_, name)| rank_key(*name, prefix) < bound).copied().collect();
    if lowest.len() >= needed {
        *list = lowest;
    }
}

/// Moves the first `head` engines in rank order to the front, and sorts them if they are few.
fn sort_head(list: &mut [Member], head: usize, prefix: u64) {
    let head = head.min(list.len());
    if (1..list.len()).contains(&head) {
        list.select_nth_unstable_by_key(head - 1, |(_, name)| rank_key(*name, prefix));
    }
    if head <= MAX_RANKED {
        list[..head].sort_unstable_by_key(|(_, name)| rank_key(*name, prefix));
    }
}

/// The SplitMix64 finalizer over the engine's name and the prefix.
const fn rank_key(name: u64, prefix: u64) -> u64 {
    let mut mixed = name ^ prefix.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
