//! Which back end is believed to keep which parts of prompts.
//!
//! Engines tell of what they keep in feeds that are late and lose entries; what a node's own requests have made an
//! engine read is last_reported at once. A belief that is wrong costs time, never correctness: engines find parts only under
//! the scope that the node names.

use std::{collections::HashMap, time::Duration};

use paddlemount_protocol::time::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    backends::BackendId,
    prompt::{CacheScope, Segment, SegmentId},
};

/// Parts that are remembered at most; the older half is then forgotten.
const MOST_PARTS: usize = 8_192;
/// Engines keep parts by blocks; a part is whole where less than a block of it is missing.
const BLOCK_TOKENS: u32 = 16;

/// Tokens of a part below which other nodes need not hear of it: it is read again in no time.
const NEWS_MINIMUM_TOKENS: u32 = 256;
/// The time in which what was counted fades to a third.
const FADES: Duration = Duration::from_secs(4);

/// A scope in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ScopeHash(pub u64);

impl ScopeHash {
    /// The hash of a scope's text, as feeds tell it.
    pub fn of_text(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

impl From<&CacheScope> for ScopeHash {
    fn from(scope: &CacheScope) -> Self {
        Self::of_text(&scope.text())
    }
}

/// One entry of an engine's feed: how much of a part it keeps now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedSegment {
    /// The scope.
    pub scope: ScopeHash,
    /// The part.
    pub segment: SegmentId,
    /// Tokens of it that are kept now; none where it is gone.
    pub tokens: u32,
}

#[derive(Debug, Default)]
struct Keepers {
    by_backend: Vec<(BackendId, u32)>,
    used_at: Timestamp,
}

/// What back ends are believed to keep.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    keepers: HashMap<(ScopeHash, SegmentId), Keepers>,
    /// Tokens that engines have lately begun to keep; fades with [`FADES`].
    added: f64,
    added_at: Timestamp,
    /// Tokens of prompts that this node's own requests have lately had; fades likewise.
    prompted: f64,
    prompted_at: Timestamp,
}

impl PrefixIndex {
    /// A request of this node has had an engine read or keep a prompt of so many tokens.
    pub fn record_prompt(&mut self, tokens: u32, now: Timestamp) {
        self.prompted = self.prompted_faded(now) + f64::from(tokens);
        self.prompted_at = now;
    }

    /// Tokens of prompts a second that this node's requests lately had.
    pub fn prompt_tokens_per_second(&self, now: Timestamp) -> f64 {
        self.prompted_faded(now) / FADES.as_secs_f64()
    }

    fn prompted_faded(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.prompted_at).as_secs_f64();
        self.prompted * (-elapsed / FADES.as_secs_f64()).exp()
    }

    /// A back end keeps so much of a part now.
    pub fn set(&mut self, backend: &BackendId, kept: &CachedSegment, now: Timestamp) {
        let key = (kept.scope, kept.segment);
        if kept.tokens == 0 {
            self.drop_keeper(key, backend);
            return;
        }
        let keepers = self.keepers.entry(key).or_default();
        keepers.used_at = now;
        let known =
            keepers.by_backend.iter().find(|(keeper, _)| keeper == backend).map_or(0, |(_, tokens)| *tokens);
        match keepers.by_backend.iter_mut().find(|(keeper, _)| keeper == backend) {
            Some((_, tokens)) => *tokens = kept.tokens,
            None => keepers.by_backend.push((backend.clone(), kept.tokens)),
        }
        self.count_added(kept.tokens.saturating_sub(known), now);
        if self.keepers.len() > MOST_PARTS {
            self.forget_oldest();
        }
    }

    fn count_added(&mut self, tokens: u32, now: Timestamp) {
        self.added = self.faded(now) + f64::from(tokens);
        self.added_at = now;
    }

    fn faded(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.added_at).as_secs_f64();
        self.added * (-elapsed / FADES.as_secs_f64()).exp()
    }

    /// How long a part that nobody uses is kept, where all engines together have room for `room` tokens.
    pub fn retention(&self, room: u64, now: Timestamp) -> Duration {
        let per_second = self.faded(now) / FADES.as_secs_f64();
        Duration::try_from_secs_f64(room as f64 / per_second.max(1.0)).unwrap_or(Duration::MAX)
    }

    /// A back end has read all of `parts`. Gives what is news for other nodes.
    pub fn record_prefill(
        &mut self,
        backend: &BackendId,
        scope: ScopeHash,
        parts: &[Segment],
        now: Timestamp,
    ) -> Vec<CachedSegment> {
        let kept = parts.iter().map(|part| CachedSegment { scope, segment: part.id, tokens: part.tokens });
        kept.filter(|part| self.note_read(backend, part, now)).collect()
    }

    /// Notes that a back end keeps a part; whether other nodes should hear of it.
    fn note_read(&mut self, backend: &BackendId, part: &CachedSegment, now: Timestamp) -> bool {
        let known = self.is_cached(backend, part);
        self.set(backend, part, now);
        !known && part.tokens >= NEWS_MINIMUM_TOKENS
    }

    /// Whether a back end is believed to keep at least so much of a part.
    pub fn is_cached(&self, backend: &BackendId, part: &CachedSegment) -> bool {
        let keepers = self.keepers.get(&(part.scope, part.segment));
        keepers.is_some_and(|keepers| {
            keepers.by_backend.iter().any(|(keeper, tokens)| keeper == backend && *tokens >= part.tokens)
        })
    }

    /// Whether a back end is believed to keep anything of a part.
    pub fn is_partly_cached(&self, backend: &BackendId, scope: ScopeHash, segment: SegmentId) -> bool {
        self.is_cached(backend, &CachedSegment { scope, segment, tokens: 1 })
    }

    /// A back end keeps nothing any more.
    pub fn forget(&mut self, backend: &BackendId) {
        for keepers in self.keepers.values_mut() {
            keepers.by_backend.retain(|(keeper, _)| keeper != backend);
        }
        self.keepers.retain(|_, keepers| !keepers.by_backend.is_empty());
    }

    /// Tokens that a back end keeps of `parts`, from the first on without a gap.
    pub fn cached_tokens(&self, backend: &BackendId, scope: ScopeHash, parts: &[Segment]) -> u32 {
        let mut sum = 0;
        for part in parts {
            let keepers = self.keepers.get(&(scope, part.id));
            let of_backend =
                keepers.and_then(|keepers| keepers.by_backend.iter().find(|(keeper, _)| keeper == backend));
            let tokens = of_backend.map_or(0, |(_, tokens)| (*tokens).min(part.tokens));
            if tokens + BLOCK_TOKENS <= part.tokens {
                return sum + tokens;
            }
            sum += part.tokens;
        }
        sum
    }

    /// Back ends that keep some of `parts`, those of the last ones first: all of them, or about as many as `enough`.
    pub fn holders(&self, scope: ScopeHash, parts: &[Segment], enough: usize) -> Vec<&BackendId> {
        let mut found: Vec<&BackendId> = Vec::new();
        for part in parts.iter().rev() {
            let keepers = self.keepers.get(&(scope, part.id));
            for (keeper, _) in keepers.into_iter().flat_map(|keepers| &keepers.by_backend) {
                if found.len() >= enough {
                    return found;
                }
                if !found.contains(&keeper) {
                    found.push(keeper);
                }
            }
        }
        found
    }

    /// The first of `parts` that nobody keeps whole.
    pub fn first_uncached<'a>(&self, scope: ScopeHash, parts: &'a [Segment]) -> Option<&'a Segment> {
        parts.iter().find(|part| {
            let keepers = self.keepers.get(&(scope, part.id));
            !keepers.is_some_and(|keepers| {
                keepers.by_backend.iter().any(|(_, tokens)| *tokens + BLOCK_TOKENS > part.tokens)
            })
        })
    }

    /// The number of parts known.
    pub fn len(&self) -> usize {
        self.keepers.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.keepers.is_empty()
    }

    fn drop_keeper(&mut self, key: (ScopeHash, SegmentId), backend: &BackendId) {
        let Some(keepers) = self.keepers.get_mut(&key) else { return };
        keepers.by_backend.retain(|(keeper, _)| keeper != backend);
        if keepers.by_backend.is_empty() {
            self.keepers.remove(&key);
        }
    }

    fn forget_oldest(&mut self) {
        let mut ages: Vec<Timestamp> = self.keepers.values().map(|keepers| keepers.used_at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.keepers.retain(|_, keepers| keepers.used_at > middle);
    }
}
