//! The bounded cache of prompt blocks.
//!
//! Blocks form trees in which a block is present only while its parent is. Eviction takes the least
//! recently used leaf and spares blocks pinned by running requests. Space for a request is reserved when
//! it enters the batch.

use std::{
    collections::{BTreeSet, HashMap},
    hash::{BuildHasherDefault, Hasher},
};

use paddlemount_protocol::prefix::{BlockHash, CacheScope};

/// Identifies a block within its scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockKey {
    /// Cached state is never shared across scopes.
    pub scope: CacheScope,
    /// Hash of the prefix that ends with this block.
    pub hash: BlockHash,
}

impl std::hash::Hash for BlockKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash.0 as u64 ^ self.scope.0 as u64);
    }
}

/// Hasher that returns its input, since block hashes are evenly distributed already.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

#[derive(Clone, Debug)]
struct Entry {
    parent: Option<BlockHash>,
    children: u32,
    pins: u32,
    /// Value of `BlockCache::uses` at the last use.
    last_used: u64,
}

impl Entry {
    const fn is_evictable(&self) -> bool {
        self.children == 0 && self.pins == 0
    }
}

/// Bounded block cache of an engine with reservation, pinning and LRU eviction.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: u32,
    reserved: u32,
    /// Counts uses, as a logical clock for LRU eviction.
    uses: u64,
    entries: HashMap<BlockKey, Entry, BuildHasherDefault<IdentityHasher>>,
    /// Unpinned leaves in order of their last use.
    evictable: BTreeSet<(u64, BlockKey)>,
}

impl BlockCache {
    /// Creates an empty cache of at most `capacity` blocks.
    pub fn new(capacity: u32) -> Self {
        Self { capacity, reserved: 0, uses: 0, entries: HashMap::default(), evictable: BTreeSet::new() }
    }

    /// Maximum number of blocks.
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Number of blocks present.
    pub fn len(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether no block is present.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of blocks that running requests have reserved and not filled yet.
    pub const fn reserved(&self) -> u32 {
        self.reserved
    }

    /// Returns whether a block is present.
    pub fn contains(&self, key: BlockKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Returns how many leading blocks of `blocks` are present.
    pub fn matched(&self, scope: CacheScope, blocks: &[BlockHash]) -> usize {
        // A block is present only while its ancestors are, so presence is monotonic.
        blocks.partition_point(|hash| self.contains(BlockKey { scope, hash: *hash }))
    }

    /// Protects a present block and its ancestors from eviction until it is unpinned as many times.
    pub fn pin(&mut self, key: BlockKey) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.is_evictable() {
            self.evictable.remove(&(entry.last_used, key));
        }
        entry.pins += 1;
    }

    /// Removes one pin and marks the block as used.
    pub fn unpin(&mut self, key: BlockKey) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.pins = entry.pins.saturating_sub(1);
        self.uses += 1;
        entry.last_used = self.uses;
        if entry.is_evictable() {
            self.evictable.insert((entry.last_used, key));
        }
    }

    /// Reserves `blocks` blocks and evicts as needed; returns false if pinned blocks leave too little space.
    pub fn reserve(&mut self, blocks: u32, evicted: &mut Vec<BlockHash>) -> bool {
        while u64::from(self.len()) + u64::from(self.reserved) + u64::from(blocks) > u64::from(self.capacity)
        {
            if !self.evict_one(evicted) {
                return false;
            }
        }
        self.reserved += blocks;
        true
    }

    /// Releases reserved space.
    pub fn release(&mut self, blocks: u32) {
        self.reserved = self.reserved.saturating_sub(blocks);
    }

    /// Adds a block below `parent` in one reserved block of space. Returns false and frees the space if
    /// the block is present already or its parent is not.
    pub fn insert(&mut self, key: BlockKey, parent: Option<BlockHash>) -> bool {
        self.release(1);
        if self.contains(key) || !self.add_child(key.scope, parent) {
            return false;
        }
        self.uses += 1;
        let entry = Entry { parent, children: 0, pins: 0, last_used: self.uses };
        self.evictable.insert((entry.last_used, key));
        self.entries.insert(key, entry);
        true
    }

    fn add_child(&mut self, scope: CacheScope, parent: Option<BlockHash>) -> bool {
        let Some(hash) = parent else { return true };
        let key = BlockKey { scope, hash };
        let Some(entry) = self.entries.get_mut(&key) else { return false };
        if entry.is_evictable() {
            self.evictable.remove(&(entry.last_used, key));
        }
        entry.children += 1;
        true
    }

    fn evict_one(&mut self, evicted: &mut Vec<BlockHash>) -> bool {
        let Some((_, key)) = self.evictable.pop_first() else { return false };
        evicted.push(key.hash);
        let Some(entry) = self.entries.remove(&key) else { return true };
        if let Some(hash) = entry.parent {
            self.remove_child(BlockKey { scope: key.scope, hash }, entry.last_used);
        }
        true
    }

    fn remove_child(&mut self, parent: BlockKey, child_last_used: u64) {
        let Some(entry) = self.entries.get_mut(&parent) else { return };
        entry.children = entry.children.saturating_sub(1);
        // A use of a block counts for its ancestors; it propagates when the block is evicted.
        entry.last_used = entry.last_used.max(child_last_used);
        if entry.is_evictable() {
            self.evictable.insert((entry.last_used, parent));
        }
    }

    /// Removes all blocks and reservations.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.evictable.clear();
        self.reserved = 0;
    }

    /// Returns up to `limit` hashes above `after` in hash order, and whether more follow.
    pub fn page(&self, after: Option<BlockHash>, limit: usize) -> (Vec<BlockHash>, bool) {
        let above = |hash: &BlockHash| after.is_none_or(|after| *hash > after);
        let mut hashes: Vec<BlockHash> = self.entries.keys().map(|key| key.hash).filter(above).collect();
        let more = hashes.len() > limit;
        if more && limit > 0 {
            hashes.select_nth_unstable(limit - 1);
        }
        hashes.truncate(limit);
        hashes.sort_unstable();
        (hashes, more)
    }

    /// Returns all present blocks with their parents in key order, for invariant checks.
    pub fn blocks(&self) -> Vec<(BlockKey, Option<BlockHash>)> {
        let mut blocks: Vec<_> = self.entries.iter().map(|(key, entry)| (*key, entry.parent)).collect();
        blocks.sort_unstable();
        blocks
    }
}
