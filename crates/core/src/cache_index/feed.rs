//! Processing of an engine's feed of cache events: gap detection, snapshots and completeness.

use paddlemount_protocol::{
    engine::{CacheChange, CacheEventBatch, CacheSnapshot},
    identity::EventSequence,
    prefix::BlockHash,
    time::Timestamp,
};

use super::{CacheEpochId, CacheIndex, Slot, eviction::EvictionAge, short_hash};

/// How complete the known part of an engine's feed is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedState {
    NotRead,
    /// All events up to the last received one are known.
    Complete,
    /// Events were lost; a snapshot is required.
    Gap,
}

/// A snapshot of which some pages have arrived.
#[derive(Clone, Copy, Debug)]
struct SnapshotProgress {
    epoch: CacheEpochId,
    as_of: EventSequence,
    last_block: Option<BlockHash>,
}

/// The state of one engine's feed within one cache epoch.
#[derive(Clone, Copy, Debug)]
pub struct Feed {
    next: EventSequence,
    state: FeedState,
    /// The first event after the last gap.
    gap_end: EventSequence,
    snapshot: Option<SnapshotProgress>,
    lost_events: u64,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            next: EventSequence(1),
            state: FeedState::NotRead,
            gap_end: EventSequence(0),
            snapshot: None,
            lost_events: 0,
        }
    }
}

/// The parts of an engine's state that its feed updates.
pub struct FeedTarget<'a> {
    pub cache_index: &'a mut CacheIndex,
    pub slot: Slot,
    /// Replaced when the cache is cleared or a snapshot is complete.
    pub epoch: &'a mut CacheEpochId,
    pub eviction: &'a mut EvictionAge,
}

impl Feed {
    /// How complete the feed is now.
    pub const fn state(&self) -> FeedState {
        self.state
    }

    /// Number of events lost within this incarnation.
    pub const fn lost_events(&self) -> u64 {
        self.lost_events
    }

    /// Applies a batch of events of this incarnation.
    pub fn apply_batch(&mut self, batch: &CacheEventBatch, target: &mut FeedTarget<'_>, now: Timestamp) {
        if self.state == FeedState::NotRead {
            self.state = FeedState::Complete;
        }
        for event in &batch.events {
            if event.sequence < self.next {
                continue;
            }
            if event.sequence > self.next {
                self.record_gap(event.sequence);
            }
            self.next = event.sequence.next();
            self.apply_change(&event.change, target, now);
        }
        // An empty batch with a later `last` means that the engine no longer has the events in between.
        if batch.events.is_empty() && batch.last >= self.next {
            self.record_gap(batch.last.next());
            self.next = batch.last.next();
        }
    }

    fn record_gap(&mut self, first_after: EventSequence) {
        self.lost_events += first_after.0 - self.next.0;
        self.state = FeedState::Gap;
        self.gap_end = first_after;
    }

    fn apply_change(&mut self, change: &CacheChange, target: &mut FeedTarget<'_>, now: Timestamp) {
        match change {
            CacheChange::Stored { blocks } => {
                target.cache_index.record(*target.epoch, blocks.iter().copied().map(short_hash), now);
                if let Some(snapshot) = self.snapshot {
                    target.cache_index.record(snapshot.epoch, blocks.iter().copied().map(short_hash), now);
                }
            }
            CacheChange::Removed { blocks } => self.remove(blocks, target, now),
            CacheChange::Cleared => {
                self.drop_snapshot(target.cache_index);
                target.replace_epoch(None);
                self.state = FeedState::Complete;
            }
        }
    }

    fn remove(&self, blocks: &[BlockHash], target: &mut FeedTarget<'_>, now: Timestamp) {
        for block in blocks {
            let age_micros = target.cache_index.forget(*target.epoch, short_hash(*block), now);
            if let Some(age_micros) = age_micros {
                target.eviction.evicted_at(age_micros);
            }
            if let Some(snapshot) = self.snapshot {
                target.cache_index.forget(snapshot.epoch, short_hash(*block), now);
            }
        }
    }

    /// Applies a page of a snapshot of this incarnation.
    ///
    /// Pages are collected in a cache epoch of their own, which replaces the current one with the last page.
    pub fn apply_snapshot(&mut self, page: &CacheSnapshot, target: &mut FeedTarget<'_>, now: Timestamp) {
        let mut progress = self.progress_for(page, target);
        for block in &page.blocks {
            let age_micros = target.cache_index.age_at(*target.epoch, short_hash(*block), now);
            let assumed = (target.eviction.seconds() * 0.5e6) as u64;
            let used = Timestamp(now.0.saturating_sub(age_micros.unwrap_or(assumed)));
            target.cache_index.record(progress.epoch, [short_hash(*block)], used);
        }
        progress.last_block = page.blocks.last().copied().or(progress.last_block);
        self.snapshot = Some(progress);
        if !page.more {
            self.finish_snapshot(progress, target);
        }
    }

    fn progress_for(&mut self, page: &CacheSnapshot, target: &mut FeedTarget<'_>) -> SnapshotProgress {
        let restarted = |progress: &SnapshotProgress| match (progress.last_block, page.blocks.first()) {
            (Some(last), Some(first)) => *first <= last,
            _ => false,
        };
        match self.snapshot {
            Some(progress) if !restarted(&progress) => {
                SnapshotProgress { as_of: progress.as_of.min(page.as_of), ..progress }
            }
            _ => {
                self.drop_snapshot(target.cache_index);
                let epoch = target.cache_index.open(target.slot);
                SnapshotProgress { epoch, as_of: page.as_of, last_block: None }
            }
        }
    }

    fn finish_snapshot(&mut self, progress: SnapshotProgress, target: &mut FeedTarget<'_>) {
        self.snapshot = None;
        target.replace_epoch(Some(progress.epoch));
        if progress.as_of.next() >= self.gap_end {
            self.state = FeedState::Complete;
        }
        self.next = self.next.max(progress.as_of.next());
    }

    /// Discards an incomplete snapshot.
    pub fn drop_snapshot(&mut self, cache_index: &mut CacheIndex) {
        if let Some(progress) = self.snapshot.take() {
            cache_index.close(progress.epoch);
        }
    }
}

impl FeedTarget<'_> {
    fn replace_epoch(&mut self, replacement: Option<CacheEpochId>) {
        self.cache_index.close(*self.epoch);
        *self.epoch = replacement.unwrap_or_else(|| self.cache_index.open(self.slot));
    }
}
