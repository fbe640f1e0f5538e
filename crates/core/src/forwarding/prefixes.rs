//! Which back ends are believed to have which segments of prompts cached.
//!
//! Engines report their caches in feeds that lag and lose entries; segments prefilled by this node's own
//! requests are recorded at once. A wrong entry costs time, never correctness: engines find segments only
//! under the scope that the request names.

use std::{collections::HashMap, time::Duration};

use paddlemount_protocol::time::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    backends::BackendId,
    prompt::{CacheScope, Segment, SegmentId},
};

/// The maximum number of segments in the index; beyond it, the older half is evicted.
const MAX_SEGMENTS: usize = 8_192;
/// The block size of engine caches. A segment is complete if less than a block of it is missing.
const BLOCK_TOKENS: u32 = 16;

/// The size of a segment below which it is not gossiped, as prefilling it again is cheap.
const MIN_GOSSIP_TOKENS: u32 = 256;
/// The time constant by which token counts decay.
const DECAY: Duration = Duration::from_secs(4);

/// The hash of a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ScopeHash(pub u64);

impl ScopeHash {
    /// The hash of a scope's text, as used in feeds.
    pub fn of_text(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

impl From<&CacheScope> for ScopeHash {
    fn from(scope: &CacheScope) -> Self {
        Self::of_text(&scope.text())
    }
}

/// One entry of an engine's feed: how much of a segment it has cached now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedSegment {
    pub scope: ScopeHash,
    pub segment: SegmentId,
    /// The number of its tokens that are cached now; zero if it was evicted.
    pub tokens: u32,
}

/// A back end that has some of a segment cached.
#[derive(Debug)]
struct Holder {
    backend: BackendId,
    tokens: u32,
    /// Whether other nodes have been told, or have told this one.
    gossiped: bool,
}

#[derive(Debug, Default)]
struct Holders {
    by_backend: Vec<Holder>,
    used_at: Timestamp,
}

impl Holders {
    fn of(&self, backend: &BackendId) -> Option<&Holder> {
        self.by_backend.iter().find(|holder| holder.backend == *backend)
    }
}

/// The segments that back ends are believed to have cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<(ScopeHash, SegmentId), Holders>,
    /// Tokens that engines have recently cached; decays with [`DECAY`].
    added: f64,
    added_at: Timestamp,
    /// Prompt tokens of this node's own recent requests; decays likewise.
    prompted: f64,
    prompted_at: Timestamp,
}

impl PrefixIndex {
    /// Records a prompt of this node's own requests.
    pub fn record_prompt(&mut self, tokens: u32, now: Timestamp) {
        self.prompted = self.decayed_prompted(now) + f64::from(tokens);
        self.prompted_at = now;
    }

    /// The recent rate of this node's prompt tokens.
    pub fn prompt_tokens_per_second(&self, now: Timestamp) -> f64 {
        self.decayed_prompted(now) / DECAY.as_secs_f64()
    }

    fn decayed_prompted(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.prompted_at).as_secs_f64();
        self.prompted * (-elapsed / DECAY.as_secs_f64()).exp()
    }

    /// Sets how much of a segment a back end has cached.
    pub fn set(&mut self, backend: &BackendId, cached: &CachedSegment, now: Timestamp) {
        let key = (cached.scope, cached.segment);
        if cached.tokens == 0 {
            self.remove_holder(key, backend);
            return;
        }
        let holders = self.holders.entry(key).or_default();
        holders.used_at = now;
        let known = holders.of(backend).map_or(0, |holder| holder.tokens);
        match holders.by_backend.iter_mut().find(|holder| holder.backend == *backend) {
            Some(holder) => holder.tokens = cached.tokens,
            None => {
                let (backend, tokens) = (backend.clone(), cached.tokens);
                holders.by_backend.push(Holder { backend, tokens, gossiped: false });
            }
        }
        self.count_added(cached.tokens.saturating_sub(known), now);
        if self.holders.len() > MAX_SEGMENTS {
            self.evict_oldest();
        }
    }

    /// Sets how much of a segment a back end has cached, as other nodes know or will be told.
    pub fn set_gossiped(&mut self, backend: &BackendId, cached: &CachedSegment, now: Timestamp) {
        self.set(backend, cached, now);
        let holders = self.holders.get_mut(&(cached.scope, cached.segment));
        let holder = holders
            .and_then(|holders| holders.by_backend.iter_mut().find(|holder| holder.backend == *backend));
        if let Some(holder) = holder {
            holder.gossiped = true;
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

    /// How long an unused segment stays cached if all engines together have room for `capacity_tokens`.
    pub fn retention(&self, capacity_tokens: u64, now: Timestamp) -> Duration {
        let per_second = self.decayed_added(now) / DECAY.as_secs_f64();
        Duration::try_from_secs_f64(capacity_tokens as f64 / per_second.max(1.0)).unwrap_or(Duration::MAX)
    }

    /// Records that a back end has prefilled all `segments`. Returns the updates for other nodes.
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
        cached.filter(|segment| self.record_segment(backend, segment, now)).collect()
    }

    /// Records that a back end has a segment cached. Returns whether to gossip it.
    fn record_segment(&mut self, backend: &BackendId, segment: &CachedSegment, now: Timestamp) -> bool {
        if segment.tokens < MIN_GOSSIP_TOKENS {
            self.set(backend, segment, now);
            return false;
        }
        let is_known = self
            .holder(backend, segment.scope, segment.segment)
            .is_some_and(|holder| holder.gossiped && holder.tokens >= segment.tokens);
        self.set_gossiped(backend, segment, now);
        !is_known
    }

    fn holder(&self, backend: &BackendId, scope: ScopeHash, segment: SegmentId) -> Option<&Holder> {
        self.holders.get(&(scope, segment))?.of(backend)
    }

    /// Whether other nodes believe a back end to have some of a segment cached, so that they must learn of its
    /// eviction. Most evicted segments belong to single requests, and no other node knows of them.
    pub fn is_gossiped(&self, backend: &BackendId, scope: ScopeHash, segment: SegmentId) -> bool {
        self.holder(backend, scope, segment).is_some_and(|holder| holder.gossiped)
    }

    /// Removes a back end.
    pub fn forget(&mut self, backend: &BackendId) {
        for holders in self.holders.values_mut() {
            holders.by_backend.retain(|holder| holder.backend != *backend);
        }
        self.holders.retain(|_, holders| !holders.by_backend.is_empty());
    }

    /// The tokens of `segments` that a back end has cached, without a gap from the first one on.
    pub fn cached_tokens(&self, backend: &BackendId, scope: ScopeHash, segments: &[Segment]) -> u32 {
        let mut sum = 0;
        for segment in segments {
            let holders = self.holders.get(&(scope, segment.id));
            let of_backend = holders.and_then(|holders| holders.of(backend));
            let tokens = of_backend.map_or(0, |holder| holder.tokens.min(segment.tokens));
            if tokens + BLOCK_TOKENS <= segment.tokens {
                return sum + tokens;
            }
            sum += segment.tokens;
        }
        sum
    }

    /// Back ends with some of `segments` cached, those of the last segments first; at most `limit`.
    pub fn holders(&self, scope: ScopeHash, segments: &[Segment], limit: usize) -> Vec<&BackendId> {
        let mut found: Vec<&BackendId> = Vec::new();
        for segment in segments.iter().rev() {
            let holders = self.holders.get(&(scope, segment.id));
            for holder in holders.into_iter().flat_map(|holders| &holders.by_backend) {
                if found.len() >= limit {
                    return found;
                }
                if !found.contains(&&holder.backend) {
                    found.push(&holder.backend);
                }
            }
        }
        found
    }

    /// The first of `segments` that nobody has cached completely.
    pub fn first_uncached<'a>(&self, scope: ScopeHash, segments: &'a [Segment]) -> Option<&'a Segment> {
        segments.iter().find(|segment| {
            let holders = self.holders.get(&(scope, segment.id));
            !holders.is_some_and(|holders| {
                holders.by_backend.iter().any(|holder| holder.tokens + BLOCK_TOKENS > segment.tokens)
            })
        })
    }

    /// The number of segments in the index.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn remove_holder(&mut self, key: (ScopeHash, SegmentId), backend: &BackendId) {
        let Some(holders) = self.holders.get_mut(&key) else { return };
        holders.by_backend.retain(|holder| holder.backend != *backend);
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
