//! Following one engine's feed of cache events: gaps, snapshots and whether the feed can be trusted.

use paddlemount_protocol::{
    engine::{CacheChange, CacheEventBatch, CacheSnapshot},
    identity::EventSequence,
    prefix::BlockHash,
    time::Timestamp,
};

use super::{CacheEpochId, CacheIndex, Slot, eviction::EvictionAge, short_hash};

/// How far an engine's feed can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedState {
    /// This node does not read the feed.
    NotRead,
    /// All events up to the last one seen are known.
    Complete,
    /// Events were lost; a snapshot is wanted.
    Gap,
}

/// A snapshot that arrives in pages.
#[derive(Clone, Copy, Debug)]
struct SnapshotProgress {
    epoch: CacheEpochId,
    as_of: EventSequence,
    last_block: Option<BlockHash>,
}

/// The state of one engine's feed within one epoch.
#[derive(Clone, Copy, Debug)]
pub struct Feed {
    next: EventSequence,
    state: FeedState,
    /// The first event known after the last gap.
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

/// The parts of a view of one engine that its feed changes.
pub struct FeedTarget<'a> {
    /// Where records are kept.
    pub cache_index: &'a mut CacheIndex,
    /// The engine.
    pub slot: Slot,
    /// Its present epoch; replaced when the cache is cleared or a snapshot is complete.
    pub epoch: &'a mut CacheEpochId,
    /// Its eviction age.
    pub eviction: &'a mut EvictionAge,
}

impl Feed {
    /// How far the feed can be trusted now.
    pub const fn state(&self) -> FeedState {
        self.state
    }

    /// Events known to be lost within this incarnation.
    pub const fn lost_events(&self) -> u64 {
        self.lost_events
    }

    /// Takes in a batch of this incarnation's events.
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
        // Nothing was sent though there is something: the missing events are gone for good.
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

    /// Takes in a page of a snapshot of this incarnation.
    ///
    /// Pages are gathered in a epoch of their own, which replaces the present one when the last
    /// page is in; until then the present cache_index stands.
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

    /// Gives up a snapshot that is only half there.
    pub fn drop_snapshot(&mut self, cache_index: &mut CacheIndex) {
        if let Some(progress) = self.snapshot.take() {
            cache_index.close(progress.epoch);
        }
    }
}

impl FeedTarget<'_> {
    fn replace_epoch(&mut self, with: Option<CacheEpochId>) {
        self.cache_index.close(*self.epoch);
        *self.epoch = with.unwrap_or_else(|| self.cache_index.open(self.slot));
    }
}
