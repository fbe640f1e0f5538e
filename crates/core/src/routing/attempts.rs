//! Tries that this node has sent and that have not ended.

use std::collections::BTreeMap;

use paddlemount_protocol::{identity::AttemptId, prefix::BLOCK_TOKENS, time::Timestamp};

use crate::cache_index::{CacheEpochId, ShortHash, Slot};

/// One try under way.
pub(super) struct Attempt {
    /// Rises with each try.
    pub(super) number: u64,
    pub(super) slot: Slot,
    pub(super) epoch: CacheEpochId,
    pub(super) blocks: Box<[ShortHash]>,
    /// Blocks that the engine was believed to hold before the try, and microseconds since their use.
    pub(super) believed: Option<(u32, u64)>,
    pub(super) prompt_tokens: u32,
    /// When the engine took it into its batch.
    pub(super) started_at: Option<Timestamp>,
}

/// All tries under way.
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

/// What an answer's cached-token count says about the engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CacheFinding {
    /// Nothing was believed, so nothing is learnt about eviction.
    NothingBelieved,
    /// What was believed was there.
    Survived {
        /// Microseconds since it was last used.
        age_micros: u64,
    },
    /// Part of what was believed was gone.
    Gone {
        /// Microseconds since it was last used.
        age_micros: u64,
    },
}

impl Attempt {
    /// Compares what was believed with the tokens that the engine found in its cache.
    pub(super) fn finding(&self, cached_tokens: u32) -> CacheFinding {
        let Some((depth, age_micros)) = self.believed else { return CacheFinding::NothingBelieved };
        if cached_tokens / BLOCK_TOKENS >= depth {
            CacheFinding::Survived { age_micros }
        } else {
            CacheFinding::Gone { age_micros }
        }
    }
}
