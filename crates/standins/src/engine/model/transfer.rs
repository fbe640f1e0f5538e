//! Snapshot, export and import of cached state.

use std::time::Duration;

use paddlemount_protocol::{
    engine::{CacheChange, CacheSnapshot, EngineRefusal, ExportRequest, ImportResult, KvTransfer},
    prefix::{BlockHash, CacheScope},
    refusal::RefusalCode,
    time::Timestamp,
};

use super::{EngineModel, ModelRequest, cache::BlockKey};

impl EngineModel {
    /// Returns a page of up to `limit` blocks above `after`, consistent at the moment of the call.
    pub fn snapshot(&self, after: Option<BlockHash>, limit: usize) -> CacheSnapshot {
        let (blocks, more) = self.cache.page(after, limit);
        CacheSnapshot { incarnation: self.incarnation, as_of: self.feed.last(), blocks, more }
    }

    /// Exports the cached part of a prefix. The copy names this incarnation as its origin.
    pub fn export(&self, request: &ExportRequest) -> Result<KvTransfer, EngineRefusal> {
        self.check_precondition(&request.precondition)?;
        let matched = self.cache.matched(request.scope, &request.blocks);
        if matched == 0 {
            return Err(self.refusal(RefusalCode::NotFound, "none of the prefix is cached"));
        }
        Ok(KvTransfer {
            origin: self.settings.engine.clone(),
            origin_incarnation: self.incarnation,
            model: request.precondition.model.clone(),
            weights: request.precondition.weights,
            scope: request.scope,
            blocks: request.blocks[..matched].to_vec(),
            bytes: matched as u64 * self.settings.behaviour.transfer.block_bytes,
        })
    }

    /// Imports a copy as far as there is space.
    pub fn import(&mut self, transfer: &KvTransfer, now: Timestamp) -> Result<ImportResult, EngineRefusal> {
        self.run_until(now);
        self.check_transfer(transfer, transfer.scope)?;
        self.store_transfer(transfer, now);
        self.record_load(now);
        let blocks = self.cache.matched(transfer.scope, &transfer.blocks);
        Ok(ImportResult { blocks: blocks as u32 })
    }

    /// Returns how long the import of a transfer takes.
    pub fn transfer_duration(&self, transfer: &KvTransfer) -> Duration {
        let seconds =
            transfer.bytes as f64 / self.settings.behaviour.transfer.import_bytes_per_second.max(1.0);
        Duration::from_micros((seconds * 1e6) as u64)
    }

    pub(super) fn import_duration(&self, request: &ModelRequest, matched: usize) -> Duration {
        match &request.import {
            Some(transfer) if transfer.blocks.len() > matched => self.transfer_duration(transfer),
            _ => Duration::ZERO,
        }
    }

    /// Refuses state of another scope or other weights, or of an incarnation known to have ended.
    pub(super) fn check_transfer(
        &mut self,
        transfer: &KvTransfer,
        scope: CacheScope,
    ) -> Result<(), EngineRefusal> {
        let failed = |engine: &Self, message| Err(engine.refusal(RefusalCode::PreconditionFailed, message));
        if transfer.scope != scope {
            return failed(self, "the kept cache belongs to another scope");
        }
        let same_weights = self
            .loaded
            .as_ref()
            .is_some_and(|loaded| loaded.model == transfer.model && loaded.weights == transfer.weights);
        if !same_weights {
            return failed(self, "the kept cache was computed with other weights");
        }
        if !self.incarnations.accepts(&transfer.origin, transfer.origin_incarnation) {
            return failed(self, "the kept cache comes from a life that has ended");
        }
        Ok(())
    }

    /// Adds the missing blocks of a checked transfer in prefix order, as far as there is space.
    pub(super) fn store_transfer(&mut self, transfer: &KvTransfer, now: Timestamp) {
        let mut parent: Option<BlockHash> = None;
        let mut stored = Vec::new();
        for hash in &transfer.blocks {
            let key = BlockKey { scope: transfer.scope, hash: *hash };
            let pinned_parent = parent.map(|hash| BlockKey { scope: transfer.scope, hash });
            if !self.cache.contains(key) {
                // The parent must survive the evictions that make space.
                pinned_parent.inspect(|pinned_parent| self.cache.pin(*pinned_parent));
                let added = self.reserve(1, now) && self.cache.insert(key, parent);
                pinned_parent.inspect(|pinned_parent| self.cache.unpin(*pinned_parent));
                if !added {
                    break;
                }
                stored.push(*hash);
            }
            parent = Some(*hash);
        }
        if !stored.is_empty() {
            self.feed.record(CacheChange::Stored { blocks: stored }, now);
        }
    }
}
