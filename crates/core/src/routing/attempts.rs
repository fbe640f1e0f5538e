//! Attempts that this node has sent and that have not ended.

use std::collections::BTreeMap;

use paddlemount_protocol::{identity::AttemptId, prefix::BLOCK_TOKENS, time::Timestamp};

use crate::cache_index::{CacheEpochId, ShortHash, Slot};

/// One attempt in flight.
pub(super) struct Attempt {
    /// Increases with each attempt.
    pub(super) number: u64,
    pub(super) slot: Slot,
    pub(super) epoch: CacheEpochId,
    pub(super) blocks: Box<[ShortHash]>,
    /// Blocks expected in the engine's cache before the attempt, and microseconds since their last use.
    pub(super) expected: Option<(u32, u64)>,
    pub(super) prompt_tokens: u32,
    /// When the engine began to answer.
    pub(super) started_at: Option<Timestamp>,
}

/// All attempts in flight.
#[derive(Default)]
pub(super) struct Attempts {
    by_id: BTreeMap<AttemptId, Attempt>,
    next_number: u64,
}

impl Attempts {
    pub(super) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(super) fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.by_id.insert(id, attempt);
    }

    pub(super) fn get_mut(&mut self, id: &AttemptId) -> Option<&mut Attempt> {
        self.by_id.get_mut(id)
    }

    pub(super) fn remove(&mut self, id: &AttemptId) -> Option<Attempt> {
        self.by_id.remove(id)
    }
}

/// What the cached-token count of an answer says about the engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CacheObservation {
    /// No blocks were expected, so the count says nothing about eviction.
    NothingExpected,
    /// All expected blocks were still cached.
    Survived {
        /// Microseconds since the blocks were last used.
        age_micros: u64,
    },
    /// Some of the expected blocks had been evicted.
    Evicted {
        /// Microseconds since the blocks were last used.
        age_micros: u64,
    },
}

impl Attempt {
    /// Compares the expected blocks with the tokens that the engine found in its cache.
    pub(super) fn observation(&self, cached_tokens: u32) -> CacheObservation {
        let Some((depth, age_micros)) = self.expected else { return CacheObservation::NothingExpected };
        if cached_tokens / BLOCK_TOKENS >= depth {
            CacheObservation::Survived { age_micros }
        } else {
            CacheObservation::Evicted { age_micros }
        }
    }
}
