//! Properties of the block cache under random operations.

use bolero::{TypeGenerator, check};
use paddlemount_protocol::prefix::{BlockHash, CacheScope};
use paddlemount_standins::engine::model::cache::{BlockCache, BlockKey};

const CAPACITY_BLOCKS: u32 = 24;

#[derive(Clone, Debug, TypeGenerator)]
enum Operation {
    Store { scope: u8, branch: u8, length: u8 },
    Pin { scope: u8, branch: u8, length: u8 },
    UnpinOldest,
    Reserve { blocks: u8 },
    ReleaseAll,
    Clear,
}

/// Prefixes of two branches share their first three blocks.
fn prefix(branch: u8, length: u8) -> Vec<BlockHash> {
    let shared = 3;
    let length = u128::from(length % 12);
    (0..length)
        .map(|depth| {
            BlockHash(if depth < shared { depth } else { 100 * (1 + u128::from(branch % 4)) + depth })
        })
        .collect()
}

/// Pins and reservations that the cache must respect.
#[derive(Default)]
struct Held {
    pins: Vec<BlockKey>,
    reserved: u32,
}

fn store(cache: &mut BlockCache, scope: CacheScope, blocks: &[BlockHash]) {
    let mut parent = None;
    for hash in blocks {
        let key = BlockKey { scope, hash: *hash };
        if !cache.contains(key) {
            let parent_key = parent.map(|hash| BlockKey { scope, hash });
            parent_key.inspect(|key| cache.pin(*key));
            let stored = cache.reserve(1, &mut vec![]) && cache.insert(key, parent);
            parent_key.inspect(|key| cache.unpin(*key));
            if !stored {
                return;
            }
        }
        parent = Some(*hash);
    }
}

fn apply(cache: &mut BlockCache, held: &mut Held, operation: &Operation) {
    let scope = |scope: u8| CacheScope(u128::from(scope % 2));
    match operation {
        Operation::Store { scope: number, branch, length } => {
            store(cache, scope(*number), &prefix(*branch, *length))
        }
        Operation::Pin { scope: number, branch, length } => {
            let blocks = prefix(*branch, *length);
            let matched = cache.matched(scope(*number), &blocks);
            if let Some(last) = matched.checked_sub(1) {
                let key = BlockKey { scope: scope(*number), hash: blocks[last] };
                cache.pin(key);
                held.pins.push(key);
            }
        }
        Operation::UnpinOldest => {
            if !held.pins.is_empty() {
                cache.unpin(held.pins.remove(0));
            }
        }
        Operation::Reserve { blocks } => {
            let blocks = u32::from(blocks % 6);
            if cache.reserve(blocks, &mut vec![]) {
                held.reserved += blocks;
            }
        }
        Operation::ReleaseAll => {
            cache.release(held.reserved);
            held.reserved = 0;
        }
        Operation::Clear => {
            cache.clear();
            *held = Held::default();
        }
    }
}

fn check_invariants(cache: &BlockCache, held: &Held) {
    assert!(cache.len() + cache.reserved() <= CAPACITY_BLOCKS, "over capacity");
    assert_eq!(cache.reserved(), held.reserved);
    for (key, parent) in cache.blocks() {
        let parent_key = parent.map(|hash| BlockKey { scope: key.scope, hash });
        assert!(parent_key.is_none_or(|key| cache.contains(key)), "a block is present without its parent");
    }
    for key in &held.pins {
        assert!(cache.contains(*key), "a pinned block was evicted");
    }
}

#[test]
fn invariants_hold_under_any_operations() {
    check!().with_type::<Vec<Operation>>().for_each(|operations| {
        let mut cache = BlockCache::new(CAPACITY_BLOCKS);
        let mut held = Held::default();
        for operation in operations {
            apply(&mut cache, &mut held, operation);
            check_invariants(&cache, &held);
        }
    });
}

#[test]
fn a_scope_never_sees_the_blocks_of_another() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|stores| {
        let mut cache = BlockCache::new(CAPACITY_BLOCKS);
        for (branch, length) in stores {
            store(&mut cache, CacheScope(1), &prefix(*branch, *length));
            assert_eq!(cache.matched(CacheScope(2), &prefix(*branch, *length)), 0);
        }
    });
}

#[test]
fn matching_finds_the_longest_present_prefix() {
    check!().with_type::<(Vec<(u8, u8)>, u8, u8)>().for_each(|(stores, branch, length)| {
        let mut cache = BlockCache::new(CAPACITY_BLOCKS);
        for (branch, length) in stores {
            store(&mut cache, CacheScope(1), &prefix(*branch, *length));
        }
        let blocks = prefix(*branch, *length);
        let present =
            blocks.iter().take_while(|hash| cache.contains(BlockKey { scope: CacheScope(1), hash: **hash }));
        assert_eq!(cache.matched(CacheScope(1), &blocks), present.count());
    });
}

#[test]
fn the_least_recently_used_prefix_is_evicted_first() {
    let scope = CacheScope(1);
    let mut cache = BlockCache::new(8);
    let first: Vec<BlockHash> = (10..14).map(BlockHash).collect();
    let second: Vec<BlockHash> = (20..24).map(BlockHash).collect();
    store(&mut cache, scope, &first);
    store(&mut cache, scope, &second);
    let last = BlockKey { scope, hash: first[3] };
    cache.pin(last);
    cache.unpin(last);
    let mut evicted = vec![];
    assert!(cache.reserve(4, &mut evicted));
    let deepest_first: Vec<BlockHash> = second.into_iter().rev().collect();
    assert_eq!(evicted, deepest_first);
    assert_eq!(cache.matched(scope, &first), 4);
}

#[test]
fn a_reservation_beyond_pinned_blocks_is_refused() {
    let scope = CacheScope(1);
    let mut cache = BlockCache::new(4);
    store(&mut cache, scope, &[BlockHash(1), BlockHash(2), BlockHash(3)]);
    cache.pin(BlockKey { scope, hash: BlockHash(3) });
    assert!(!cache.reserve(2, &mut vec![]));
    assert!(cache.reserve(1, &mut vec![]));
    assert_eq!(cache.len(), 3);
}
