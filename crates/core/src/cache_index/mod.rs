//! Index of the prefixes that engines are expected to have in their caches.
//!
//! The index is only a hint: each dispatch carries a precondition that the engine checks, so a wrong entry
//! costs time and never correctness. 64 of a block hash's 128 bits are therefore enough.
//!
//! Records belong to a [`CacheEpochId`]: one engine in one incarnation with one weights version. A new
//! incarnation or version opens a new epoch, which invalidates all records of the previous one without a
//! search. Memory is bounded by two generations: when the young one reaches half of the limit, it replaces
//! the old one. Records in use move to the young generation, so the least recently used ones are dropped.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use paddlemount_protocol::{prefix::BlockHash, time::Timestamp};

use self::holders::{Holder, Holders, MAX_HOLDERS};

pub mod eviction;
pub mod feed;
mod holders;

/// An engine's position in a router's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u32);

/// One engine in one incarnation with one weights version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheEpochId(pub(crate) u32);

/// The truncated block hash used as a key.
pub type ShortHash = u64;

/// Truncates a block hash.
pub const fn short_hash(hash: BlockHash) -> ShortHash {
    hash.0 as u64
}

/// The prefix of a prompt that one engine is expected to have cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixMatch {
    pub slot: Slot,
    /// Number of leading blocks up to the deepest one recorded for the engine.
    pub depth: u32,
    /// Expected number of these blocks that are still cached.
    pub expected_blocks: f64,
    /// Microseconds since the last known use of the deepest block.
    pub age_micros: u64,
    /// Probability that the deepest block is still cached.
    pub confidence: f64,
    survival_here: f64,
    depth_here: u32,
}

/// How [`CacheIndex::matches`] searches a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    limit: usize,
    /// Divides the number of blocks to get the step width after the first holder is found.
    stride_divisor: Option<usize>,
}

/// Maximum number of steps over a whole prompt after the first holder is found.
const SEARCH_STEPS: usize = 16;

impl Search {
    /// Looks up every block, for at most `limit` engines.
    pub const fn exhaustive(limit: usize) -> Self {
        Self { limit, stride_divisor: None }
    }

    /// Looks up every block until a holder is found and then only some of the shallower ones, which may
    /// underestimate what the other engines hold.
    pub const fn strided(limit: usize) -> Self {
        Self { limit, stride_divisor: Some(SEARCH_STEPS) }
    }
}

/// Block hashes are uniformly distributed, so they need no further hashing.
#[derive(Default)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, _bytes: &[u8]) {}

    fn write_u64(&mut self, number: u64) {
        self.0 = number;
    }
}

pub(crate) type ShortHashMap<V> = HashMap<ShortHash, V, BuildHasherDefault<IdentityHasher>>;

#[derive(Default)]
struct Generation {
    prefixes: ShortHashMap<Holders>,
    records: usize,
}

/// Index of prefixes by the engines that are expected to hold them.
pub struct CacheIndex {
    young: Generation,
    old: Generation,
    limit: usize,
    epochs: Vec<Option<Slot>>,
}

/// A shallower block changes an expectation only if its survival probability is higher by this much.
const SURVIVAL_STEP: f64 = 0.1;
/// At this survival probability, shallower blocks of the same engine are not looked up.
const CERTAIN_SURVIVAL: f64 = 0.9;

impl CacheIndex {
    /// Creates an empty index of at most `limit` records. A record is one prefix at one engine.
    pub fn new(limit: usize) -> Self {
        let limit = limit.max(4 * MAX_HOLDERS);
        Self { young: Generation::default(), old: Generation::default(), limit, epochs: Vec::new() }
    }

    /// Opens an epoch with an empty cache for the engine at `slot`.
    pub fn open(&mut self, slot: Slot) -> CacheEpochId {
        let epoch = CacheEpochId(self.epochs.len() as u32);
        self.epochs.push(Some(slot));
        epoch
    }

    /// Closes an epoch and invalidates its records.
    pub fn close(&mut self, epoch: CacheEpochId) {
        if let Some(slot) = self.epochs.get_mut(epoch.0 as usize) {
            *slot = None;
        }
    }

    fn slot_of(&self, epoch: CacheEpochId) -> Option<Slot> {
        self.epochs.get(epoch.0 as usize).copied().flatten()
    }

    /// Records that the engine held `blocks` at `now`.
    pub fn record(
        &mut self,
        epoch: CacheEpochId,
        blocks: impl IntoIterator<Item = ShortHash>,
        now: Timestamp,
    ) {
        if self.slot_of(epoch).is_none() {
            return;
        }
        let holder = Holder::new(epoch, now);
        for block in blocks {
            self.record_one(block, holder);
        }
    }

    fn record_one(&mut self, block: ShortHash, holder: Holder) {
        self.rotate_generations();
        if let Some(holders) = self.young.prefixes.get_mut(&block) {
            self.young.records += holders.put(holder);
            return;
        }
        let mut holders = match self.old.prefixes.remove(&block) {
            Some(holders) => {
                self.old.records -= holders.as_slice().len();
                holders
            }
            None => Holders::None,
        };
        let epochs = &self.epochs;
        holders.retain(|other| epochs[other.epoch.0 as usize].is_some());
        holders.put(holder);
        self.young.records += holders.as_slice().len();
        self.young.prefixes.insert(block, holders);
    }

    fn rotate_generations(&mut self) {
        if self.young.records + MAX_HOLDERS > self.limit / 2 {
            self.old = std::mem::take(&mut self.young);
        }
    }

    /// Updates the time of last use of those of `blocks` that have a record.
    pub fn refresh(&mut self, epoch: CacheEpochId, blocks: &[ShortHash], now: Timestamp) {
        let holder = Holder::new(epoch, now);
        for block in blocks {
            for generation in [&mut self.young, &mut self.old] {
                if let Some(holders) = generation.prefixes.get_mut(block) {
                    holders.renew(holder);
                }
            }
        }
    }

    /// Removes the record of `block`. Returns the microseconds since its last known use.
    pub fn forget(&mut self, epoch: CacheEpochId, block: ShortHash, now: Timestamp) -> Option<u64> {
        for generation in [&mut self.young, &mut self.old] {
            let Some(holders) = generation.prefixes.get_mut(&block) else { continue };
            let removed = holders.remove(epoch);
            if removed.is_some() {
                generation.records -= 1;
            }
            if holders.as_slice().is_empty() {
                generation.prefixes.remove(&block);
            }
            return removed.map(|holder| holder.age_micros(now));
        }
        None
    }

    fn holders(&self, block: ShortHash) -> &[Holder] {
        let holders = self.young.prefixes.get(&block).or_else(|| self.old.prefixes.get(&block));
        holders.map_or(&[], Holders::as_slice)
    }

    /// Returns the depth of the deepest recorded block, counted from 1, and the microseconds since its use.
    pub fn depth_at(&self, epoch: CacheEpochId, blocks: &[ShortHash], now: Timestamp) -> Option<(u32, u64)> {
        self.slot_of(epoch)?;
        for (index, block) in blocks.iter().enumerate().rev() {
            if let Some(holder) = self.holders(*block).iter().find(|holder| holder.epoch == epoch) {
                return Some((index as u32 + 1, holder.age_micros(now)));
            }
        }
        None
    }

    /// Microseconds since the last known use of `block`.
    pub fn age_at(&self, epoch: CacheEpochId, block: ShortHash, now: Timestamp) -> Option<u64> {
        self.slot_of(epoch)?;
        let holders = self.holders(block);
        holders.iter().find(|holder| holder.epoch == epoch).map(|holder| holder.age_micros(now))
    }

    /// Returns the engines expected to hold a prefix of the prompt, the deepest match first.
    ///
    /// `survival` returns the probability that an engine still holds a block last used the given number of
    /// microseconds ago.
    pub fn matches(
        &self,
        blocks: &[BlockHash],
        search: Search,
        now: Timestamp,
        survival: impl Fn(Slot, u64) -> f64,
    ) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::new();
        let mut uncertain = 0_usize;
        let limit = search.limit;
        let stride = search.stride_divisor.map_or(1, |divisor| blocks.len().div_ceil(divisor));
        let mut remaining = blocks.len();
        while remaining > 0 && (matches.len() < limit || uncertain > 0) {
            let depth = remaining as u32;
            let block = blocks[remaining - 1];
            remaining -= if matches.is_empty() { 1 } else { stride.min(remaining) };
            for holder in self.holders(short_hash(block)) {
                let Some(slot) = self.slot_of(holder.epoch) else { continue };
                let full = matches.len() >= limit;
                let known = matches.iter_mut().find(|matched| matched.slot == slot);
                if known.as_ref().is_some_and(|matched| matched.survival_here >= CERTAIN_SURVIVAL) {
                    continue;
                }
                let age_micros = holder.age_micros(now);
                let probability = survival(slot, age_micros);
                match known {
                    Some(matched) => uncertain -= usize::from(matched.step(depth, probability)),
                    None if !full => {
                        uncertain += usize::from(probability < CERTAIN_SURVIVAL);
                        matches.push(PrefixMatch::new(slot, depth, age_micros, probability));
                    }
                    None => {}
                }
            }
        }
        for matched in &mut matches {
            matched.finish();
        }
        matches
    }

    /// Number of records, at most the limit.
    pub fn records(&self) -> usize {
        self.young.records + self.old.records
    }

    /// Maximum number of records.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes used by the records, without allocator overhead.
    pub fn approximate_bytes(&self) -> usize {
        self.young.bytes() + self.old.bytes() + self.epochs.capacity() * size_of::<Option<Slot>>()
    }
}

impl Generation {
    fn bytes(&self) -> usize {
        let entry = size_of::<(ShortHash, Holders)>() + 1;
        let heap: usize = self.prefixes.values().map(Holders::heap_bytes).sum();
        self.prefixes.capacity() * 8 / 7 * entry + heap
    }
}

impl PrefixMatch {
    fn new(slot: Slot, depth: u32, age_micros: u64, confidence: f64) -> Self {
        Self {
            slot,
            depth,
            expected_blocks: 0.0,
            age_micros,
            confidence,
            survival_here: confidence,
            depth_here: depth,
        }
    }

    /// Adds a shallower block. Returns whether everything up to it is now certain enough.
    fn step(&mut self, depth: u32, survival: f64) -> bool {
        if survival < self.survival_here + SURVIVAL_STEP {
            return false;
        }
        self.expected_blocks += f64::from(self.depth_here - depth) * self.survival_here;
        self.depth_here = depth;
        self.survival_here = survival;
        survival >= CERTAIN_SURVIVAL
    }

    fn finish(&mut self) {
        self.expected_blocks += f64::from(self.depth_here) * self.survival_here;
        self.depth_here = 0;
    }
}
