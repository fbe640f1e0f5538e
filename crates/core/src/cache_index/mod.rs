//! What a node believes that engines hold in their caches.
//!
//! A cache_index only steers: each dispatch carries a precondition that the engine checks, so a wrong
//! cache_index costs time and never correctness. That is why 64 of a block hash's 128 bits are enough here.
//!
//! Records belong to a [`CacheEpochId`]: one engine in one incarnation under one weights version. A
//! new incarnation or version opens a new epoch, and everything recorded under the one before
//! is void at once, without a search. Memory is bounded by two generations of records: when the
//! young one is half the limit, it becomes the old one, and the old one is dropped. Records in use move
//! to the young generation, so the ones dropped are those not used for longest.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use paddlemount_protocol::{prefix::BlockHash, time::Timestamp};

use self::holders::{Holder, Holders, MAX_HOLDERS};

pub mod eviction;
pub mod feed;
mod holders;

/// An engine's place in a router's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u32);

/// One engine in one incarnation under one weights version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheEpochId(pub(crate) u32);

/// The part of a block hash that records are kept under.
pub type ShortHash = u64;

/// The short_hash form of a block hash.
pub const fn short_hash(hash: BlockHash) -> ShortHash {
    hash.0 as u64
}

/// What one engine is believed to hold of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixMatch {
    /// The engine.
    pub slot: Slot,
    /// Blocks of the prompt up to the deepest one that was seen there.
    pub depth: u32,
    /// Blocks expected to be there still.
    pub expected_blocks: f64,
    /// Microseconds since the deepest block was known to be used.
    pub age_micros: u64,
    /// From 0.0 to 1.0: how likely the deepest block is there still.
    pub confidence: f64,
    survival_here: f64,
    depth_here: u32,
}

/// How thoroughly [`CacheIndex::matches`] looks.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    limit: usize,
    /// Once a holder is known, this share of the depth is passed over with each step.
    stride_divisor: Option<usize>,
}

/// Steps of a search over a whole prompt once a holder is known.
const SEARCH_STEPS: usize = 16;

impl Search {
    /// Looks at each block for at most `limit` engines.
    pub const fn exhaustive(limit: usize) -> Self {
        Self { limit, stride_divisor: None }
    }

    /// Looks at each block until a holder is known and at some of the shallower ones then, so that the
    /// engines after the first may be taken to hold slightly less than they do.
    pub const fn strided(limit: usize) -> Self {
        Self { limit, stride_divisor: Some(SEARCH_STEPS) }
    }
}

/// Hashes are uniformly distributed already, so the table uses them unchanged.
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

/// Which prefixes which engines are believed to hold.
pub struct CacheIndex {
    young: Generation,
    old: Generation,
    limit: usize,
    epochs: Vec<Option<Slot>>,
}

/// A survival probability must exceed another by this much to be worth a step in an expectation.
const SURVIVAL_STEP: f64 = 0.1;
/// At this survival probability, shallower blocks of the same engine are not looked at.
const CERTAIN_SURVIVAL: f64 = 0.9;

impl CacheIndex {
    /// An empty cache_index of at most `limit` records, a record being one prefix at one engine.
    pub fn new(limit: usize) -> Self {
        let limit = limit.max(4 * MAX_HOLDERS);
        Self { young: Generation::default(), old: Generation::default(), limit, epochs: Vec::new() }
    }

    /// Starts a epoch of the engine at `slot`, with nothing in its cache.
    pub fn open(&mut self, slot: Slot) -> CacheEpochId {
        let epoch = CacheEpochId(self.epochs.len() as u32);
        self.epochs.push(Some(slot));
        epoch
    }

    /// Ends a epoch; all that was believed of it is void.
    pub fn close(&mut self, epoch: CacheEpochId) {
        if let Some(slot) = self.epochs.get_mut(epoch.0 as usize) {
            *slot = None;
        }
    }

    fn slot_of(&self, epoch: CacheEpochId) -> Option<Slot> {
        self.epochs.get(epoch.0 as usize).copied().flatten()
    }

    /// Records that the epoch held `blocks` at `now`.
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

    /// Records that those of `blocks` that the epoch is believed to hold were used at `now`.
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

    /// Forgets that the epoch holds `block`; answers when it was last known to use it.
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

    /// The deepest of `blocks` known at the epoch, counted from 1, and microseconds since its use.
    pub fn depth_at(&self, epoch: CacheEpochId, blocks: &[ShortHash], now: Timestamp) -> Option<(u32, u64)> {
        self.slot_of(epoch)?;
        for (index, block) in blocks.iter().enumerate().rev() {
            if let Some(holder) = self.holders(*block).iter().find(|holder| holder.epoch == epoch) {
                return Some((index as u32 + 1, holder.age_micros(now)));
            }
        }
        None
    }

    /// Microseconds since the epoch was last known to use `block`.
    pub fn age_at(&self, epoch: CacheEpochId, block: ShortHash, now: Timestamp) -> Option<u64> {
        self.slot_of(epoch)?;
        let holders = self.holders(block);
        holders.iter().find(|holder| holder.epoch == epoch).map(|holder| holder.age_micros(now))
    }

    /// Engines believed to hold part of a prompt, those that hold most first.
    ///
    /// `survival` gives the probability that an engine still holds what it used some microseconds ago.
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

    /// Records held; never more than the limit.
    pub fn records(&self) -> usize {
        self.young.records + self.old.records
    }

    /// The most records that are ever held.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that the records take, allocation overhead left out.
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

    /// Takes in a shallower block; answers whether the engine's part is sure from here on.
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
