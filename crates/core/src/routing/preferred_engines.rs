//! Agreed places of prefixes: rendezvous hashing at each depth, narrowed step by step.
//!
//! All engines of a pool are ordered by a hash of their name and the prefix. A prefix gets as many
//! engines of that order as its share of the traffic needs, and a longer prefix is placed among the
//! engines of the shorter one it continues. Nodes that have seen no traffic assume a share by depth
//! alone, so they agree exactly; what they see later only changes how many engines a list has, by halves,
//! and the shorter list is the beginning of the longer one.

use paddlemount_protocol::{prefix::BlockHash, time::Timestamp};

use crate::{
    cache_index::{Slot, short_hash},
    popularity::{PrefixPopularity, level_depths},
};

/// Engines in an agreed list at most, and further ones ranked behind it.
pub(super) const LONGEST_LIST: usize = 16;
/// Requests that the assumed share of an unknown prefix weighs as much as.
const PRIOR_REQUESTS: f64 = 16.0;
/// Depth in blocks up to which a prefix is assumed to be shared by all requests.
const WIDELY_SHARED_DEPTH: f64 = 6.0;
/// Engines for a prefix relative to its share of the traffic.
const LIST_SLACK: f64 = 2.0;
/// A prefix counted less than this is not known to be shared.
const SHARED_COUNT: f64 = 1.5;
/// With fewer requests counted in all, depth alone decides.
const WARM_REQUESTS: f64 = 30.0;
/// Engines that a node without history leaves to choose from.
const FEWEST_WHEN_COLD: usize = 2;
/// Standard deviations that a bound on keys leaves room for.
const KEY_DEVIATIONS: f64 = 4.0;
/// Smaller shares are taken for this one, so that the pool is halved 20 times at most.
const SMALLEST_SHARE: f64 = 1e-6;

/// The agreed place of a prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Place {
    /// Engines in the agreed order, the first `wanted` of them being the place proper.
    pub(super) ranked: Vec<Slot>,
    /// Engines that the traffic of the shared part justifies.
    pub(super) wanted: usize,
    /// Copies that the request rate justifies; one where the rate is not known yet.
    pub(super) copies: usize,
    /// Blocks of the prompt known to be shared with other requests.
    pub(super) shared_blocks: usize,
}

/// Engines of a pool with the hashes of their names.
pub(super) type Member = (Slot, u64);

/// Finds the agreed place of a prompt among `members`.
pub(super) fn place(
    members: &[Member],
    blocks: &[BlockHash],
    popularity: &PrefixPopularity,
    total: f64,
    now: Timestamp,
) -> Place {
    let mut list: Vec<Member> = members.to_vec();
    let mut overflow: Vec<Slot> = Vec::new();
    let mut shared_blocks = 0;
    let mut halvings = 0;
    let mut narrowed_at = 0;
    let warm = total >= WARM_REQUESTS;
    for depth in level_depths(blocks.len()) {
        let block = blocks[depth - 1];
        let count = popularity.count(block, now);
        if count >= SHARED_COUNT {
            shared_blocks = depth;
        } else if warm {
            break;
        }
        let deeper = halvings_for(share(depth, count, total));
        let wanted = wanted_engines(members.len(), deeper, warm);
        if deeper > halvings && wanted < list.len() {
            halvings = deeper;
            narrowed_at = depth;
            overflow = narrow(&mut list, wanted, short_hash(block));
        }
    }
    let wanted = list.len();
    let order = blocks.get(shared_blocks.max(narrowed_at).max(1) - 1).map_or(0, |block| short_hash(*block));
    sort_head(&mut list, LONGEST_LIST, order);
    let ranked = list.iter().map(|(slot, _)| *slot).chain(overflow).take(LONGEST_LIST).collect();
    Place { ranked, wanted, copies: if warm { wanted } else { 1 }, shared_blocks }
}

/// The share of the traffic that a prefix is taken to have.
fn share(depth: usize, count: f64, total: f64) -> f64 {
    let assumed = (WIDELY_SHARED_DEPTH / depth as f64).min(1.0);
    (count + PRIOR_REQUESTS * assumed) / (total + PRIOR_REQUESTS)
}

/// How often the pool is halved for a prefix of this share. Whole steps keep small differences between
/// nodes' counts from changing the list.
fn halvings_for(share: f64) -> u32 {
    (1.0 / (share * LIST_SLACK).clamp(SMALLEST_SHARE, 1.0)).log2() as u32
}

fn wanted_engines(members: usize, halvings: u32, warm: bool) -> usize {
    let fewest = if warm { 1 } else { FEWEST_WHEN_COLD };
    (members.div_ceil(1 << halvings)).max(fewest).min(members)
}

/// Keeps the first `wanted` in the order of this prefix; answers those that follow, in order.
fn narrow(list: &mut Vec<Member>, wanted: usize, prefix: u64) -> Vec<Slot> {
    keep_lowest(list, wanted.max(LONGEST_LIST), prefix);
    sort_head(list, wanted, prefix);
    let mut rest = list.split_off(wanted);
    sort_head(&mut rest, LONGEST_LIST, prefix);
    rest.into_iter().take(LONGEST_LIST).map(|(slot, _)| slot).collect()
}

/// Drops engines that are surely behind the first `needed`, in one pass.
///
/// Keys are uniform, so that as many as wanted are below a proportional bound, give or take a few
/// standard deviations. Where too few are, nothing is dropped.
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

/// Brings the first `head` in the order of this prefix to the front, and sorts them where they are few.
fn sort_head(list: &mut [Member], head: usize, prefix: u64) {
    let head = head.min(list.len());
    if (1..list.len()).contains(&head) {
        list.select_nth_unstable_by_key(head - 1, |(_, name)| rank_key(*name, prefix));
    }
    if head <= LONGEST_LIST {
        list[..head].sort_unstable_by_key(|(_, name)| rank_key(*name, prefix));
    }
}

/// The finaliser of SplitMix64 over the engine's name and the prefix.
const fn rank_key(name: u64, prefix: u64) -> u64 {
    let mut mixed = name ^ prefix.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
