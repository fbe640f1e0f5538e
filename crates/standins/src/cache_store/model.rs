//! The cache store as a state machine.
//!
//! A copy names the life of the engine that computed it. The store gives out no copy whose origin it
//! knows to have ended, because it was told so or has seen a later life of the same engine, and none
//! older than the longest age.

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

/// How much the store keeps, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheStoreLimits {
    /// Bytes at most; the oldest copies go first.
    pub capacity_bytes: u64,
    /// Milliseconds after which a copy is dropped.
    #[serde(rename = "longest_age_ms")]
    pub max_age_ms: u64,
}

impl Default for CacheStoreLimits {
    fn default() -> Self {
        Self { capacity_bytes: 256 * 1024 * 1024 * 1024, max_age_ms: 600_000 }
    }
}

/// The number of a copy, in order of arrival.
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
    /// For each prefix the newest copy that holds it.
    #[serde(skip)]
    holders: BTreeMap<(CacheScope, BlockHash), CopyId>,
    #[serde(skip)]
    order: VecDeque<CopyId>,
}

impl CacheStoreModel {
    /// An empty store.
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

    /// Copies held.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether no copy is held.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Keeps a copy, unless its origin is known to have ended.
    pub fn put(&mut self, transfer: KvTransfer, now: Timestamp) -> Result<(), Refusal> {
        if !self.origins.accepts(&transfer.origin, transfer.origin_incarnation) {
            return Err(Refusal::not_run(RefusalCode::PreconditionFailed, "the copy's origin has ended"));
        }
        if transfer.bytes > self.limits.capacity_bytes {
            return Err(Refusal::not_run(RefusalCode::TooLarge, "the copy exceeds the store's capacity"));
        }
        self.drop_ended();
        let number = self.next_copy;
        self.next_copy += 1;
        for hash in &transfer.blocks {
            self.holders.insert((transfer.scope, *hash), number);
        }
        self.bytes += transfer.bytes;
        self.copies.insert(number, Copy { transfer, arrived_at: now });
        self.order.push_back(number);
        self.drop_old(now);
        Ok(())
    }

    /// The longest kept part of a prefix that may be used.
    pub fn find(&mut self, ask: &CacheLookup, now: Timestamp) -> CacheLookupResult {
        self.drop_old(now);
        let transfer = (1..=ask.blocks.len()).rev().find_map(|length| self.holding(ask, length));
        CacheLookupResult { transfer }
    }

    fn holding(&self, ask: &CacheLookup, length: usize) -> Option<KvTransfer> {
        let number = self.holders.get(&(ask.scope, ask.blocks[length - 1]))?;
        let kept = &self.copies.get(number)?.transfer;
        if !self.origins.is_live(&kept.origin, kept.origin_incarnation) {
            return None;
        }
        let bytes = kept.bytes / kept.blocks.len().max(1) as u64 * length as u64;
        Some(KvTransfer { blocks: ask.blocks[..length].to_vec(), bytes, ..kept.clone() })
    }

    /// Notes that a life has ended and drops the copies that it and its earlier ones computed.
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
            .map(|(number, _)| *number)
            .collect();
        for number in ended {
            self.remove(number);
        }
    }

    fn drop_old(&mut self, now: Timestamp) {
        let max_age = Duration::from_millis(self.limits.max_age_ms);
        while let Some(number) = self.order.front().copied() {
            let is_old =
                self.copies.get(&number).is_none_or(|copy| now.saturating_since(copy.arrived_at) > max_age);
            if !is_old && self.bytes <= self.limits.capacity_bytes {
                return;
            }
            self.order.pop_front();
            self.remove(number);
        }
    }

    fn remove(&mut self, number: CopyId) {
        let Some(copy) = self.copies.remove(&number) else { return };
        self.bytes -= copy.transfer.bytes;
        for hash in copy.transfer.blocks {
            let key = (copy.transfer.scope, hash);
            if self.holders.get(&key) == Some(&number) {
                self.holders.remove(&key);
            }
        }
    }
}
