//! Records of routing decisions, kept in bounded memory.
//!
//! A node builds one [`DecisionRecord`] for each request and offers it to a [`DecisionRing`] when the
//! request ends. Refused, retried and slow requests are always kept; of the others a sample that
//! shrinks as load grows. Both kinds live in a [`Journal`] of their own, so ordinary traffic cannot
//! displace the records that matter most.

mod journal;
mod record;

use std::sync::Arc;

pub use journal::{Entry, Journal, JournalPage, MemorySize};
use paddlemount_protocol::{identity::RequestId, time::Timestamp};
pub use record::{
    AttemptRecord, AttemptResult, DecisionRecord, LimitHit, LimitKind, MAX_CANDIDATES, MAX_RECORD_ITEMS,
    Mechanism, MechanismEvent, RequestEnding, Timings,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Settings of a [`DecisionRing`].
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionSettings {
    /// Bytes that the sampled records may take.
    pub sampled_bytes: usize,
    /// Bytes that the records of refused, retried and slow requests may take.
    pub notable_bytes: usize,
    /// Ordinary records to keep in a second, on average.
    pub samples_per_second: u32,
    /// A request is slow where its first token took at least this many milliseconds.
    pub slow_first_token_ms: u64,
    /// Seed of the sampling; nodes with the same seed keep the same requests.
    pub seed: u64,
}

impl Default for DecisionSettings {
    fn default() -> Self {
        Self {
            sampled_bytes: 2 << 20,
            notable_bytes: 2 << 20,
            samples_per_second: 50,
            slow_first_token_ms: 780,
            seed: 0,
        }
    }
}

impl DecisionSettings {
    /// Why a record is notable by itself, whatever the load.
    pub fn notable_reason(&self, record: &DecisionRecord) -> Option<RetentionReason> {
        if !matches!(record.ending, RequestEnding::Completed) {
            return Some(RetentionReason::Refused);
        }
        if record.attempts.len() > 1 {
            return Some(RetentionReason::Retried);
        }
        let slow = record.timings.first_token_ms.is_some_and(|ms| ms >= self.slow_first_token_ms);
        slow.then_some(RetentionReason::Slow)
    }

    /// Bytes that a ring with these settings takes at most.
    pub const fn memory_bound(&self) -> usize {
        self.sampled_bytes + self.notable_bytes
    }
}

/// Why a record was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetentionReason {
    /// The request was refused or its answer is incomplete.
    Refused,
    /// It was tried more than once.
    Retried,
    /// Its first token took too long.
    Slow,
    /// It belongs to the sample.
    Sampled,
}

/// What became of all records offered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// Records offered.
    pub offered: u64,
    /// Records kept because of how the request went.
    pub notable: u64,
    /// Ordinary records kept.
    pub sampled: u64,
    /// Ordinary records left out of the sample.
    pub unsampled: u64,
}

/// How far a reader has read a [`DecisionRing`]; the default is the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCursor {
    /// Sampled records read.
    pub sampled: u64,
    /// Records read of refused, retried and slow requests.
    pub notable: u64,
}

/// Records that were read.
#[derive(Debug)]
pub struct DecisionPage<'a> {
    /// The records, the oldest first.
    pub entries: Vec<&'a Entry<Arc<DecisionRecord>>>,
    /// Records after the cursor that memory no longer holds.
    pub lost: u64,
    /// Where to go on reading.
    pub next: DecisionCursor,
}

/// A node's decision records.
#[derive(Debug)]
pub struct DecisionRing {
    settings: DecisionSettings,
    sampled: Journal<Arc<DecisionRecord>>,
    notable: Journal<Arc<DecisionRecord>>,
    next_sequence: u64,
    rate: OfferRate,
    counts: DecisionCounts,
}

impl DecisionRing {
    /// An empty ring.
    pub fn new(settings: DecisionSettings) -> Self {
        Self {
            sampled: Journal::new(settings.sampled_bytes),
            notable: Journal::new(settings.notable_bytes),
            settings,
            next_sequence: 1,
            rate: OfferRate::default(),
            counts: DecisionCounts::default(),
        }
    }

    /// Offers the record of a request that ended at `now`; answers why it was kept, if it was.
    pub fn offer(&mut self, record: DecisionRecord, now: Timestamp) -> Option<RetentionReason> {
        self.counts.offered += 1;
        let kept = self.reason_to_keep(&record, now);
        let journal = match kept {
            None => {
                self.counts.unsampled += 1;
                return None;
            }
            Some(RetentionReason::Sampled) => {
                self.counts.sampled += 1;
                &mut self.sampled
            }
            Some(_) => {
                self.counts.notable += 1;
                &mut self.notable
            }
        };
        journal.push(self.next_sequence, Arc::new(record));
        self.next_sequence += 1;
        kept
    }

    fn reason_to_keep(&mut self, record: &DecisionRecord, now: Timestamp) -> Option<RetentionReason> {
        if let Some(notable) = self.settings.notable_reason(record) {
            return Some(notable);
        }
        let rate = self.rate.count(now);
        let share = f64::from(self.settings.samples_per_second) / rate.max(1) as f64;
        let position = sample_position(&record.request, self.settings.seed);
        (position < share).then_some(RetentionReason::Sampled)
    }

    /// Records after `cursor`, the oldest first, at most `limit`.
    pub fn read_after(&self, cursor: DecisionCursor, limit: usize) -> DecisionPage<'_> {
        let sampled = self.sampled.read_after(cursor.sampled, limit);
        let notable = self.notable.read_after(cursor.notable, limit);
        let mut next = DecisionCursor {
            sampled: sampled.next - sampled.entries.len() as u64,
            notable: notable.next - notable.entries.len() as u64,
        };
        let marked_sampled = sampled.entries.iter().map(|entry| (*entry, true));
        let marked_notable = notable.entries.iter().map(|entry| (*entry, false));
        let mut merged: Vec<_> = marked_sampled.chain(marked_notable).collect();
        merged.sort_by_key(|(entry, _)| entry.sequence);
        merged.truncate(limit);
        let from_sampled = merged.iter().filter(|(_, is_sampled)| *is_sampled).count();
        next.sampled += from_sampled as u64;
        next.notable += (merged.len() - from_sampled) as u64;
        let entries = merged.into_iter().map(|(entry, _)| entry).collect();
        DecisionPage { entries, lost: sampled.lost + notable.lost, next }
    }

    /// The cursor after the newest record.
    pub const fn end(&self) -> DecisionCursor {
        DecisionCursor { sampled: self.sampled.last_position(), notable: self.notable.last_position() }
    }

    /// All records in memory, the newest first. Records are shared, not copied.
    pub fn newest_first(&self) -> Vec<Arc<DecisionRecord>> {
        let mut entries: Vec<_> = self.sampled.iter().chain(self.notable.iter()).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.sequence));
        entries.into_iter().map(|entry| Arc::clone(&entry.value)).collect()
    }

    /// The newest record of a request, if memory holds one.
    pub fn find<'a>(&'a self, request: &RequestId) -> Option<&'a Arc<DecisionRecord>> {
        let newest = |journal: &'a Journal<Arc<DecisionRecord>>| {
            journal.iter().rev().find(|entry| entry.value.request == *request)
        };
        let found = [newest(&self.sampled), newest(&self.notable)];
        found.into_iter().flatten().max_by_key(|entry| entry.sequence).map(|entry| &entry.value)
    }

    /// What became of all records offered.
    pub const fn counts(&self) -> DecisionCounts {
        self.counts
    }

    /// Bytes that the records take now.
    pub const fn memory(&self) -> usize {
        self.sampled.bytes() + self.notable.bytes()
    }

    /// The settings.
    pub const fn settings(&self) -> &DecisionSettings {
        &self.settings
    }
}

/// Where a request lies in the sample, from 0.0 to 1.0; the same for the same request and seed.
pub fn sample_position(request: &RequestId, seed: u64) -> f64 {
    xxh3_64_with_seed(request.as_str().as_bytes(), seed) as f64 / u64::MAX as f64
}

/// Ordinary records offered a second: of the last whole second, or of the present one where that is more.
#[derive(Debug, Default)]
struct OfferRate {
    second: u64,
    present: u64,
    last: u64,
}

impl OfferRate {
    fn count(&mut self, now: Timestamp) -> u64 {
        let second = now.as_millis() / 1_000;
        if second != self.second {
            self.last = if second == self.second + 1 { self.present } else { 0 };
            self.present = 0;
            self.second = second;
        }
        self.present += 1;
        self.last.max(self.present)
    }
}
