//! Bounded in-memory records of routing decisions.
//!
//! A node builds one [`DecisionRecord`] per request and offers it to a [`DecisionRing`] when the request
//! ends. Records of refused, retried and slow requests are always retained, others are sampled at a rate that
//! falls as load grows. Both kinds have a [`Journal`] of their own, so that ordinary traffic cannot displace
//! the notable records.

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
    /// Memory limit of the sampled records.
    pub sampled_bytes: usize,
    /// Memory limit of the records of refused, retried and slow requests.
    pub notable_bytes: usize,
    /// Average number of ordinary records to retain per second.
    pub samples_per_second: u32,
    /// Requests whose first token took at least this long are slow.
    pub slow_first_token_ms: u64,
    /// Seed of the sampling. Nodes with the same seed sample the same requests.
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
    /// Returns why a record is retained regardless of sampling, or `None` if it is ordinary.
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

    /// Maximum number of bytes used by a ring with these settings.
    pub const fn memory_bound(&self) -> usize {
        self.sampled_bytes + self.notable_bytes
    }
}

/// Why a record was retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetentionReason {
    /// The request was refused or its answer is incomplete.
    Refused,
    /// The request had more than one attempt.
    Retried,
    /// The first token took too long.
    Slow,
    /// The record was sampled.
    Sampled,
}

/// Counts of the records offered to a [`DecisionRing`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// All records offered.
    pub offered: u64,
    /// Records retained because the request was refused, retried or slow.
    pub notable: u64,
    /// Ordinary records retained.
    pub sampled: u64,
    /// Ordinary records not retained.
    pub unsampled: u64,
}

/// Read position in a [`DecisionRing`]. The default is the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCursor {
    /// Number of sampled records read.
    pub sampled: u64,
    /// Number of records read of refused, retried and slow requests.
    pub notable: u64,
}

/// A page of records.
#[derive(Debug)]
pub struct DecisionPage<'a> {
    /// The records, oldest first.
    pub entries: Vec<&'a Entry<Arc<DecisionRecord>>>,
    /// Number of records after the cursor that have been dropped already.
    pub lost: u64,
    /// Cursor for the next page.
    pub next: DecisionCursor,
}

/// The decision records of a node.
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
    /// Creates an empty ring.
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

    /// Offers the record of a request that ended at `now`. Returns why it was retained, or `None` if it was
    /// not.
    pub fn offer(&mut self, record: DecisionRecord, now: Timestamp) -> Option<RetentionReason> {
        self.counts.offered += 1;
        let retention = self.retention_reason(&record, now);
        let journal = match retention {
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
        retention
    }

    fn retention_reason(&mut self, record: &DecisionRecord, now: Timestamp) -> Option<RetentionReason> {
        if let Some(notable) = self.settings.notable_reason(record) {
            return Some(notable);
        }
        let rate = self.rate.count(now);
        let share = f64::from(self.settings.samples_per_second) / rate.max(1) as f64;
        let position = sample_position(&record.request, self.settings.seed);
        (position < share).then_some(RetentionReason::Sampled)
    }

    /// Returns at most `limit` records after `cursor`, oldest first.
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

    /// Returns the cursor after the newest record.
    pub const fn end(&self) -> DecisionCursor {
        DecisionCursor { sampled: self.sampled.last_position(), notable: self.notable.last_position() }
    }

    /// Returns all retained records, newest first, without copying them.
    pub fn newest_first(&self) -> Vec<Arc<DecisionRecord>> {
        let mut entries: Vec<_> = self.sampled.iter().chain(self.notable.iter()).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.sequence));
        entries.into_iter().map(|entry| Arc::clone(&entry.value)).collect()
    }

    /// Returns the newest retained record of a request.
    pub fn find<'a>(&'a self, request: &RequestId) -> Option<&'a Arc<DecisionRecord>> {
        let newest = |journal: &'a Journal<Arc<DecisionRecord>>| {
            journal.iter().rev().find(|entry| entry.value.request == *request)
        };
        let found = [newest(&self.sampled), newest(&self.notable)];
        found.into_iter().flatten().max_by_key(|entry| entry.sequence).map(|entry| &entry.value)
    }

    /// Returns the counts of offered records.
    pub const fn counts(&self) -> DecisionCounts {
        self.counts
    }

    /// Bytes used by the records.
    pub const fn memory(&self) -> usize {
        self.sampled.bytes() + self.notable.bytes()
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &DecisionSettings {
        &self.settings
    }
}

/// Maps a request to a number from 0.0 to 1.0, the same for the same request and seed.
pub fn sample_position(request: &RequestId, seed: u64) -> f64 {
    xxh3_64_with_seed(request.as_str().as_bytes(), seed) as f64 / u64::MAX as f64
}

/// Ordinary records per second: the higher of the counts in the last and the current second.
#[derive(Debug, Default)]
struct OfferRate {
    second: u64,
    current: u64,
    last: u64,
}

impl OfferRate {
    fn count(&mut self, now: Timestamp) -> u64 {
        let second = now.as_millis() / 1_000;
        if second != self.second {
            self.last = if second == self.second + 1 { self.current } else { 0 };
            self.current = 0;
            self.second = second;
        }
        self.current += 1;
        self.last.max(self.current)
    }
}
