//! Prefixes that the cache store holds, for import by engines.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    engine::KvTransfer,
    identity::{EngineId, Incarnation, ModelId, WeightsVersion},
    prefix::{BlockHash, CacheScope},
};

use super::types::RouteRequest;

/// Maximum number of indexed transfers; beyond it, the oldest ones are dropped.
const MAX_TRANSFERS: usize = 4_096;
/// Bytes of one block's state, until the first transfer reports its size.
const INITIAL_BLOCK_BYTES: f64 = 2_097_152.0;

/// Index of the cache store's prefixes by every block that they cover.
pub(super) struct CachedPrefixes {
    transfers: BTreeMap<u64, KvTransfer>,
    by_last_block: BTreeMap<BlockHash, u64>,
    by_block: BTreeMap<BlockHash, u64>,
    next_number: u64,
    block_bytes: f64,
}

/// The part of a stored prefix that a request can use.
#[derive(Clone, Copy, Debug)]
pub(super) struct CachedPrefix<'a> {
    transfer: &'a KvTransfer,
    pub(super) blocks: usize,
    pub(super) bytes: f64,
}

impl CachedPrefix<'_> {
    /// Returns the transfer that an engine should import.
    pub(super) fn to_transfer(self) -> KvTransfer {
        let mut transfer = self.transfer.clone();
        transfer.blocks.truncate(self.blocks);
        transfer.bytes = self.bytes as u64;
        transfer
    }
}

impl Default for CachedPrefixes {
    fn default() -> Self {
        Self {
            transfers: BTreeMap::new(),
            by_last_block: BTreeMap::new(),
            by_block: BTreeMap::new(),
            next_number: 0,
            block_bytes: INITIAL_BLOCK_BYTES,
        }
    }
}

impl CachedPrefixes {
    pub(super) fn insert(&mut self, transfer: &KvTransfer) {
        let Some(last) = transfer.blocks.last() else { return };
        self.remove(*last);
        while self.transfers.len() >= MAX_TRANSFERS {
            self.remove_oldest();
        }
        let number = self.next_number;
        self.next_number += 1;
        self.block_bytes = transfer.bytes as f64 / transfer.blocks.len() as f64;
        self.by_last_block.insert(*last, number);
        for block in &transfer.blocks {
            self.by_block.insert(*block, number);
        }
        self.transfers.insert(number, transfer.clone());
    }

    /// Removes the stored prefix that ends with `last`.
    pub(super) fn remove(&mut self, last: BlockHash) {
        if let Some(number) = self.by_last_block.get(&last).copied() {
            self.remove_number(number);
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(number) = self.transfers.keys().next().copied() {
            self.remove_number(number);
        }
    }

    fn remove_number(&mut self, number: u64) {
        let Some(transfer) = self.transfers.remove(&number) else { return };
        for block in &transfer.blocks {
            if self.by_block.get(block) == Some(&number) {
                self.by_block.remove(block);
            }
        }
        if let Some(last) = transfer.blocks.last() {
            self.by_last_block.remove(last);
        }
    }

    /// Removes all prefixes that `origin` computed in another incarnation than `current`.
    pub(super) fn remove_origin(&mut self, origin: &EngineId, current: Option<Incarnation>) {
        let stale: Vec<u64> = self
            .transfers
            .iter()
            .filter(|(_, cached)| cached.origin == *origin && Some(cached.origin_incarnation) != current)
            .map(|(number, _)| *number)
            .collect();
        for number in stale {
            self.remove_number(number);
        }
    }

    pub(super) fn contains(&self, block: BlockHash) -> bool {
        self.by_block.contains_key(&block)
    }

    pub(super) const fn block_bytes(&self) -> f64 {
        self.block_bytes
    }

    /// Returns the longest stored prefix of a request's prompt that the request may use.
    ///
    /// `current` tells whether an engine is still in the given incarnation. State is never used in another
    /// scope, for another model or other weights, or after its origin has restarted.
    pub(super) fn longest(
        &self,
        request: &RouteRequest<'_>,
        current: impl Fn(&EngineId, Incarnation) -> bool,
    ) -> Option<CachedPrefix<'_>> {
        if self.transfers.is_empty() {
            return None;
        }
        for (index, block) in request.blocks.iter().enumerate().rev() {
            let Some(transfer) = self.by_block.get(block).and_then(|number| self.transfers.get(number))
            else {
                continue;
            };
            let blocks = index + 1;
            let usable = is_compatible(transfer, request.scope, request.model, request.weights)
                && transfer.blocks.get(index) == Some(block)
                && current(&transfer.origin, transfer.origin_incarnation);
            if usable {
                let bytes = transfer.bytes as f64 * blocks as f64 / transfer.blocks.len() as f64;
                return Some(CachedPrefix { transfer, blocks, bytes });
            }
        }
        None
    }
}

fn is_compatible(transfer: &KvTransfer, scope: CacheScope, model: &ModelId, weights: WeightsVersion) -> bool {
    transfer.scope == scope && transfer.weights == weights && transfer.model == *model
}
