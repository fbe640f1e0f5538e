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
const MAX_SEGMENTS: usize = 8_192;
/// Engines keep parts by blocks; a part is whole where less than a block of it is missing.
const BLOCK_TOKENS: u32 = 16;

/// Tokens of a part below which other nodes need not hear of it: it is read again in no time.
const MIN_GOSSIP_TOKENS: u32 = 256;
/// The time in which what was counted fades to a third.
const DECAY: Duration = Duration::from_secs(4);

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
struct Holders {
    by_backend: Vec<(BackendId, u32)>,
    used_at: Timestamp,
}

/// What back ends are believed to keep.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<(ScopeHash, SegmentId), Holders>,
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
        self.prompted = self.decayed_prompted(now) + f64::from(tokens);
        self.prompted_at = now;
    }

    /// Tokens of prompts a second that this node's requests lately had.
    pub fn prompt_tokens_per_second(&self, now: Timestamp) -> f64 {
        self.decayed_prompted(now) / DECAY.as_secs_f64()
    }

    fn decayed_prompted(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.prompted_at).as_secs_f64();
        self.prompted * (-elapsed / DECAY.as_secs_f64()).exp()
    }

    /// A back end keeps so much of a part now.
    pub fn set(&mut self, backend: &BackendId, cached: &CachedSegment, now: Timestamp) {
        let key = (cached.scope, cached.segment);
        if cached.tokens == 0 {
            self.remove_holder(key, backend);
            return;
        }
        let holders = self.holders.entry(key).or_default();
        holders.used_at = now;
        let known =
            holders.by_backend.iter().find(|(holder, _)| holder == backend).map_or(0, |(_, tokens)| *tokens);
        match holders.by_backend.iter_mut().find(|(holder, _)| holder == backend) {
            Some((_, tokens)) => *tokens = cached.tokens,
            None => holders.by_backend.push((backend.clone(), cached.tokens)),
        }
        self.count_added(cached.tokens.saturating_sub(known), now);
        if self.holders.len() > MAX_SEGMENTS {
            self.evict_oldest();
        }
    }

    fn count_added(&mut self, tokens: u32, now: Timestamp) {
        self.added = self.decayed_added(now) + f64::from(tokens);
        self.added_at = now;
    }

    fn decayed_added(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.added_at).as_secs_f64();
        self.added * (-elapsed / DECAY.as_secs_f64()).exp()
    }

    /// How long a part that nobody uses is kept, where all engines together have room for `room` tokens.
    pub fn retention(&self, capacity_tokens: u64, now: Timestamp) -> Duration {
        let per_second = self.decayed_added(now) / DECAY.as_secs_f64();
        Duration::try_from_secs_f64(capacity_tokens as f64 / per_second.max(1.0)).unwrap_or(Duration::MAX)
    }

    /// A back end has read all of `parts`. Gives what is news for other nodes.
    pub fn record_prefill(
        &mut self,
        backend: &BackendId,
        scope: ScopeHash,
        segments: &[Segment],
        now: Timestamp,
    ) -> Vec<CachedSegment> {
        let cached = segments.iter().map(|segment| CachedSegment {
            scope,
            segment: segment.id,
            tokens: segment.tokens,
        });
        cached.filter(|segment| self.note_read(backend, segment, now)).collect()
    }

    /// Notes that a back end keeps a part; whether other nodes should hear of it.
    fn note_read(&mut self, backend: &BackendId, segment: &CachedSegment, now: Timestamp) -> bool {
        let known = self.is_cached(backend, segment);
        self.set(backend, segment, now);
        !known && segment.tokens >= MIN_GOSSIP_TOKENS
    }

    /// Whether a back end is believed to keep at least so much of a part.
    pub fn is_cached(&self, backend: &BackendId, segment: &CachedSegment) -> bool {
        let holders = self.holders.get(&(segment.scope, segment.segment));
        holders.is_some_and(|holders| {
            holders.by_backend.iter().any(|(holder, tokens)| holder == backend && *tokens >= segment.tokens)
        })
    }

    /// Whether a back end is believed to keep anything of a part.
    pub fn is_partly_cached(&self, backend: &BackendId, scope: ScopeHash, segment: SegmentId) -> bool {
        self.is_cached(backend, &CachedSegment { scope, segment, tokens: 1 })
    }

    /// A back end keeps nothing any more.
    pub fn forget(&mut self, backend: &BackendId) {
        for holders in self.holders.values_mut() {
            holders.by_backend.retain(|(holder, _)| holder != backend);
        }
        self.holders.retain(|_, holders| !holders.by_backend.is_empty());
    }

    /// Tokens that a back end keeps of `parts`, from the first on without a gap.
    pub fn cached_tokens(&self, backend: &BackendId, scope: ScopeHash, segments: &[Segment]) -> u32 {
        let mut sum = 0;
        for segment in segments {
            let holders = self.holders.get(&(scope, segment.id));
            let of_backend =
                holders.and_then(|holders| holders.by_backend.iter().find(|(holder, _)| holder == backend));
            let tokens = of_backend.map_or(0, |(_, tokens)| (*tokens).min(segment.tokens));
            if tokens + BLOCK_TOKENS <= segment.tokens {
                return sum + tokens;
            }
            sum += segment.tokens;
        }
        sum
    }

    /// Back ends that keep some of `parts`, those of the last ones first: all of them, or about as many as `enough`.
    pub fn holders(&self, scope: ScopeHash, segments: &[Segment], limit: usize) -> Vec<&BackendId> {
        let mut found: Vec<&BackendId> = Vec::new();
        for segment in segments.iter().rev() {
            let holders = self.holders.get(&(scope, segment.id));
            for (holder, _) in holders.into_iter().flat_map(|holders| &holders.by_backend) {
                if found.len() >= limit {
                    return found;
                }
                if !found.contains(&holder) {
                    found.push(holder);
                }
            }
        }
        found
    }

    /// The first of `parts` that nobody keeps whole.
    pub fn first_uncached<'a>(&self, scope: ScopeHash, segments: &'a [Segment]) -> Option<&'a Segment> {
        segments.iter().find(|segment| {
            let holders = self.holders.get(&(scope, segment.id));
            !holders.is_some_and(|holders| {
                holders.by_backend.iter().any(|(_, tokens)| *tokens + BLOCK_TOKENS > segment.tokens)
            })
        })
    }

    /// The number of parts known.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn remove_holder(&mut self, key: (ScopeHash, SegmentId), backend: &BackendId) {
        let Some(holders) = self.holders.get_mut(&key) else { return };
        holders.by_backend.retain(|(holder, _)| holder != backend);
        if holders.by_backend.is_empty() {
            self.holders.remove(&key);
        }
    }

    fn evict_oldest(&mut self) {
        let mut ages: Vec<Timestamp> = self.holders.values().map(|holders| holders.used_at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.holders.retain(|_, holders| holders.used_at > middle);
    }
}
