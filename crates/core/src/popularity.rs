//! Request rates of prefixes, as decayed counts at fixed depths.

use paddlemount_protocol::{prefix::BlockHash, time::Timestamp};

use crate::cache_index::{ShortHash, ShortHashMap, short_hash};

const HALF_LIFE_SECONDS: f64 = 10.0;
const MICROS_PER_SECOND: f64 = 1e6;
/// Depth of the first counted prefix, in blocks.
const FIRST_DEPTH: usize = 4;

/// Returns the depths in blocks at which prefixes are counted and placed, each a quarter deeper than the
/// previous one.
///
/// The depths are the same on all nodes, so that nodes place prefixes alike without communication.
pub fn level_depths(blocks: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(Some(FIRST_DEPTH), |depth| Some(depth + depth.div_ceil(4)))
        .take_while(move |depth| *depth <= blocks)
}

/// A count that halves every `HALF_LIFE_SECONDS`.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedCount {
    count: f64,
    counted_at: Timestamp,
}

impl DecayedCount {
    /// Returns the count at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        let seconds = now.0.saturating_sub(self.counted_at.0) as f64 / MICROS_PER_SECOND;
        self.count * (-seconds / HALF_LIFE_SECONDS).exp2()
    }

    /// Adds `amount` at `now`.
    pub fn add(&mut self, amount: f64, now: Timestamp) {
        self.count = self.at(now) + amount;
        self.counted_at = now;
    }

    /// Returns the amount per second that would keep the count constant.
    pub fn rate(&self, now: Timestamp) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / HALF_LIFE_SECONDS
    }
}

/// Decayed request counts by prefix, in bounded memory.
pub struct PrefixPopularity {
    young: ShortHashMap<DecayedCount>,
    old: ShortHashMap<DecayedCount>,
    limit: usize,
}

/// Below this limit, one long prompt could displace all other prefixes.
const MIN_LIMIT: usize = 256;

impl PrefixPopularity {
    /// Creates counters for at most `limit` prefixes.
    pub fn new(limit: usize) -> Self {
        Self { young: ShortHashMap::default(), old: ShortHashMap::default(), limit: limit.max(MIN_LIMIT) }
    }

    /// Counts a request with this prompt.
    pub fn record(&mut self, blocks: &[BlockHash], now: Timestamp) {
        for depth in level_depths(blocks.len()) {
            self.add(short_hash(blocks[depth - 1]), now);
        }
    }

    fn add(&mut self, prefix: ShortHash, now: Timestamp) {
        if self.young.len() >= self.limit / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        let count = self.young.entry(prefix).or_insert_with(|| old.remove(&prefix).unwrap_or_default());
        count.add(1.0, now);
    }

    /// Returns the decayed count of requests for the prefix that ends with `block`.
    pub fn count(&self, block: BlockHash, now: Timestamp) -> f64 {
        let prefix = short_hash(block);
        let count = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        count.map_or(0.0, |count| count.at(now))
    }

    /// Number of prefixes counted, at most the limit.
    pub fn records(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
