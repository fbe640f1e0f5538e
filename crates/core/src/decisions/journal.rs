//! A FIFO buffer bounded by the memory of its entries.

use std::{collections::VecDeque, sync::Arc};

/// Memory use of a value.
pub trait MemorySize {
    /// Bytes on the heap, excluding the value itself. Shared strings count in full.
    fn heap_bytes(&self) -> usize;
}

/// The strong and weak counters of an `Arc`.
const SHARED_COUNTERS: usize = 2 * size_of::<usize>();

impl<T: MemorySize> MemorySize for Arc<T> {
    fn heap_bytes(&self) -> usize {
        SHARED_COUNTERS + size_of::<T>() + self.as_ref().heap_bytes()
    }
}

/// A value with its sequence number.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// Increases with each entry.
    pub sequence: u64,
    pub value: T,
    bytes: usize,
}

/// Entries read, with the number of entries dropped before they could be read.
#[derive(Debug)]
pub struct JournalPage<'a, T> {
    /// The entries, oldest first.
    pub entries: Vec<&'a Entry<T>>,
    /// Number of entries after the requested position that have been dropped.
    pub lost: u64,
    /// Position for the next read.
    pub next: u64,
}

/// The newest values, within a memory limit.
///
/// Positions count all entries ever pushed, so a reader that resumes at its last position learns how many
/// entries it missed.
#[derive(Debug)]
pub struct Journal<T> {
    bound: usize,
    bytes: usize,
    entries: VecDeque<Entry<T>>,
    pushed: u64,
}

impl<T: MemorySize> Journal<T> {
    /// Creates an empty journal that uses at most `bound` bytes.
    pub const fn new(bound: usize) -> Self {
        Self { bound, bytes: 0, entries: VecDeque::new(), pushed: 0 }
    }

    /// Appends a value and drops the oldest ones until all fit. A value that exceeds the limit by itself is
    /// dropped along with all entries.
    pub fn push(&mut self, sequence: u64, value: T) {
        self.pushed += 1;
        let bytes = Self::entry_bytes(&value);
        while self.bytes + bytes > self.bound {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.bytes -= oldest.bytes;
        }
        self.bytes += bytes;
        self.entries.push_back(Entry { sequence, value, bytes });
    }

    /// Counts an entry twice, because a growing deque has up to as many free slots as entries.
    fn entry_bytes(value: &T) -> usize {
        2 * size_of::<Entry<T>>() + value.heap_bytes()
    }

    /// Returns at most `limit` entries after `position`, oldest first.
    pub fn read_after(&self, position: u64, limit: usize) -> JournalPage<'_, T> {
        let position = position.min(self.pushed);
        let dropped = self.pushed - self.entries.len() as u64;
        let from = position.max(dropped);
        let entries: Vec<_> = self.entries.iter().skip((from - dropped) as usize).take(limit).collect();
        let next = from + entries.len() as u64;
        JournalPage { entries, lost: from - position, next }
    }

    /// Iterates over all entries, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry<T>> + ExactSizeIterator {
        self.entries.iter()
    }

    /// Position of the newest entry, or 0 if there was none.
    pub const fn last_position(&self) -> u64 {
        self.pushed
    }

    /// Bytes used by the entries.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
