//! State machine of the cache store.
//!
//! A copy names the incarnation of the engine that computed it. The store returns no copy that is older
//! than the maximum age or whose origin is known to have ended, either by a report or because a later
//! incarnation of the same engine has been observed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{
    engine::{EndedIncarnation, KvTransfer},
    platform::{CacheLookup, CacheLookupResult},
    prefix::{BlockHash, CacheScope},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

use crate::incarnations::LatestIncarnations;

/// Bounds on the size and age of stored copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheStoreLimits {
    /// Maximum total size; the oldest copies are evicted first.
    pub capacity_bytes: u64,
    /// Age at which a copy is dropped, in milliseconds.
    #[serde(rename = "longest_age_ms")]
    pub max_age_ms: u64,
}

impl Default for CacheStoreLimits {
    fn default() -> Self {
        Self { capacity_bytes: 256 * 1024 * 1024 * 1024, max_age_ms: 600_000 }
    }
}

/// Identifies a copy; identifiers rise in order of arrival.
type CopyId = u64;

#[derive(Clone, Debug, Serialize)]
struct Copy {
    transfer: KvTransfer,
    arrived_at: Timestamp,
}

/// Copies of cached prefixes.
#[derive(Clone, Debug, Serialize)]
pub struct CacheStoreModel {
    limits: CacheStoreLimits,
    origins: LatestIncarnations,
    bytes: u64,
    next_copy: CopyId,
    copies: BTreeMap<CopyId, Copy>,
    /// The newest copy that holds each prefix.
    #[serde(skip)]
    holders: BTreeMap<(CacheScope, BlockHash), CopyId>,
    #[serde(skip)]
    order: VecDeque<CopyId>,
}

impl CacheStoreModel {
    /// Creates an empty store.
    pub fn new(limits: CacheStoreLimits) -> Self {
        Self {
            limits,
            origins: LatestIncarnations::default(),
            bytes: 0,
            next_copy: 0,
            copies: BTreeMap::new(),
            holders: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Number of stored copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether no copy is stored.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Stores a copy unless its origin is known to have ended.
    pub fn put(&mut self, transfer: KvTransfer, now: Timestamp) -> Result<(), Refusal> {
        if !self.origins.accepts(&transfer.origin, transfer.origin_incarnation) {
            return Err(Refusal::not_run(RefusalCode::PreconditionFailed, "the copy's origin has ended"));
        }
        if transfer.bytes > self.limits.capacity_bytes {
            return Err(Refusal::not_run(RefusalCode::TooLarge, "the copy exceeds the store's capacity"));
        }
        self.drop_ended();
        let id = self.next_copy;
        self.next_copy += 1;
        for hash in &transfer.blocks {
            self.holders.insert((transfer.scope, *hash), id);
        }
        self.bytes += transfer.bytes;
        self.copies.insert(id, Copy { transfer, arrived_at: now });
        self.order.push_back(id);
        self.evict(now);
        Ok(())
    }

    /// Returns a copy of the longest stored part of a prefix whose origin has not ended.
    pub fn find(&mut self, request: &CacheLookup, now: Timestamp) -> CacheLookupResult {
        self.evict(now);
        let transfer = (1..=request.blocks.len()).rev().find_map(|length| self.holding(request, length));
        CacheLookupResult { transfer }
    }

    fn holding(&self, request: &CacheLookup, length: usize) -> Option<KvTransfer> {
        let id = self.holders.get(&(request.scope, request.blocks[length - 1]))?;
        let stored = &self.copies.get(id)?.transfer;
        if !self.origins.is_live(&stored.origin, stored.origin_incarnation) {
            return None;
        }
        let bytes = stored.bytes / stored.blocks.len().max(1) as u64 * length as u64;
        Some(KvTransfer { blocks: request.blocks[..length].to_vec(), bytes, ..stored.clone() })
    }

    /// Records that an incarnation has ended and drops the copies that it or a previous one computed.
    pub fn end(&mut self, ended: &EndedIncarnation) {
        self.origins.end(&ended.engine, ended.incarnation);
        self.drop_ended();
    }

    fn drop_ended(&mut self) {
        let origins = &self.origins;
        let ended: Vec<CopyId> = self
            .copies
            .iter()
            .filter(|(_, copy)| !origins.is_live(&copy.transfer.origin, copy.transfer.origin_incarnation))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.remove(id);
        }
    }

    fn evict(&mut self, now: Timestamp) {
        let max_age = Duration::from_millis(self.limits.max_age_ms);
        while let Some(id) = self.order.front().copied() {
            let is_expired =
                self.copies.get(&id).is_none_or(|copy| now.saturating_since(copy.arrived_at) > max_age);
            if !is_expired && self.bytes <= self.limits.capacity_bytes {
                return;
            }
            self.order.pop_front();
            self.remove(id);
        }
    }

    fn remove(&mut self, id: CopyId) {
        let Some(copy) = self.copies.remove(&id) else { return };
        self.bytes -= copy.transfer.bytes;
        for hash in copy.transfer.blocks {
            let key = (copy.transfer.scope, hash);
            if self.holders.get(&key) == Some(&id) {
                self.holders.remove(&key);
            }
        }
    }
}
