//! Choice of the engine that serves a request.
//!
//! Drivers feed [`RouterEvent`]s to a [`Router`] and call [`choose`](Router::choose). The returned
//! [`Decision`] lists every scored candidate and the reason for the choice.

use paddlemount_protocol::{
    engine::{CacheEventBatch, CacheSnapshot, EngineStatus},
    identity::{AttemptId, EngineId, Incarnation, ZoneId},
    prefix::BLOCK_TOKENS,
    time::Timestamp,
};
use rand::{SeedableRng, rngs::SmallRng};

pub use self::types::{
    AttemptEnding, Candidate, ChoiceReason, DEFAULT_CACHE_INDEX_RECORDS, DEFAULT_POPULARITY_RECORDS,
    Decision, ExportHint, Mechanisms, RouteRequest, RouterEvent, RouterSettings,
};
use self::{
    attempts::{Attempt, Attempts, CacheObservation},
    cached_prefixes::CachedPrefixes,
    engines::{EngineTable, EngineView},
    exports::ExportWatch,
};
use crate::{
    cache_index::{
        CacheIndex, ShortHash,
        feed::{FeedState, FeedTarget},
        short_hash,
    },
    health::Health,
    popularity::{DecayedCount, PrefixPopularity},
};

mod attempts;
mod back_off;
mod cached_prefixes;
mod choice;
mod engines;
mod exports;
mod health_filter;
mod preferred_engines;
mod scoring;
mod types;

/// Assumed duration of an answer until the first one has ended.
const INITIAL_ANSWER_MS: f64 = 1_000.0;
/// Weight of a new sample in the moving average of answer durations.
const ANSWER_WEIGHT: f64 = 0.05;

/// A node's view of all engines, from which it chooses.
pub struct Router {
    settings: RouterSettings,
    engines: EngineTable,
    cache_index: CacheIndex,
    popularity: PrefixPopularity,
    /// Decayed count of all requests.
    total: DecayedCount,
    attempts: Attempts,
    cached_prefixes: CachedPrefixes,
    export_watch: ExportWatch,
    nodes: u32,
    health: Health,
    /// Moving average of the time from an answer's start to its end.
    answer_ms: f64,
    random: SmallRng,
}

/// Memory use of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheIndexSize {
    /// (prefix, engine) pairs held.
    pub records: usize,
    /// Maximum number of pairs.
    pub limit: usize,
    /// Bytes used by the pairs.
    pub approximate_bytes: usize,
    /// Prefixes whose requests are counted.
    pub popularity_records: usize,
}

impl Router {
    /// Creates a router that knows no engine.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            cache_index: CacheIndex::new(settings.cache_index_records),
            popularity: PrefixPopularity::new(settings.popularity_records),
            random: SmallRng::seed_from_u64(settings.seed),
            engines: EngineTable::default(),
            total: DecayedCount::default(),
            attempts: Attempts::default(),
            cached_prefixes: CachedPrefixes::default(),
            export_watch: ExportWatch::default(),
            nodes: 1,
            health: Health::new(settings.health),
            answer_ms: INITIAL_ANSWER_MS,
            settings,
        }
    }

    /// Applies an event that occurred at `now`.
    pub fn apply(&mut self, event: RouterEvent<'_>, now: Timestamp) {
        self.observe_health(&event, now);
        match event {
            RouterEvent::Status(status) => self.apply_status(status, now),
            RouterEvent::Load { engine, report } => {
                if let Some((_, view)) = self.engines.by_id_mut(engine) {
                    view.apply_load(report, now);
                }
            }
            RouterEvent::Feed { engine, batch } => self.apply_feed(engine, batch, now),
            RouterEvent::Snapshot { engine, snapshot } => self.apply_snapshot(engine, snapshot, now),
            RouterEvent::Dispatched { attempt, engine, request } => {
                self.apply_dispatched(attempt, engine, request, now);
            }
            RouterEvent::Started { attempt, incarnation, cached_tokens } => {
                self.apply_started(attempt, incarnation, cached_tokens, now);
            }
            RouterEvent::FirstToken { attempt } => self.apply_first_token(attempt),
            RouterEvent::Ended { attempt, ending } => self.apply_ended(attempt, ending, now),
            RouterEvent::Refused { engine, refusal } => self.apply_refused(engine, refusal, now),
            RouterEvent::Draining { engine, draining } => {
                self.engines.set_draining(engine, draining);
            }
            RouterEvent::PrefixStored { transfer } => self.cached_prefixes.insert(transfer),
            RouterEvent::PrefixDropped { prefix } => self.cached_prefixes.remove(prefix),
            RouterEvent::Nodes { count } => self.nodes = count.max(1),
            RouterEvent::Removed { engine } => {
                self.engines.remove(engine, &mut self.cache_index);
                self.cached_prefixes.remove_origin(engine, None);
            }
        }
    }

    fn apply_status(&mut self, status: &EngineStatus, now: Timestamp) {
        let cache_emptied = self.engines.apply_status(status, &mut self.cache_index, now);
        if cache_emptied.is_some() {
            self.cached_prefixes.remove_origin(&status.engine, Some(status.incarnation));
        }
    }

    fn apply_feed(&mut self, engine: &EngineId, batch: &CacheEventBatch, now: Timestamp) {
        self.with_feed(engine, batch.incarnation, now, |view, cache_index, slot| {
            let EngineView { feed, epoch, eviction, .. } = view;
            feed.apply_batch(batch, &mut FeedTarget { cache_index, slot, epoch, eviction }, now);
        });
    }

    fn apply_snapshot(&mut self, engine: &EngineId, page: &CacheSnapshot, now: Timestamp) {
        self.with_feed(engine, page.incarnation, now, |view, cache_index, slot| {
            let EngineView { feed, epoch, eviction, .. } = view;
            feed.apply_snapshot(page, &mut FeedTarget { cache_index, slot, epoch, eviction }, now);
        });
    }

    /// Calls `apply` if the data belongs to the engine's current incarnation, after switching to a later one.
    fn with_feed(
        &mut self,
        engine: &EngineId,
        incarnation: Incarnation,
        now: Timestamp,
        apply: impl FnOnce(&mut EngineView, &mut CacheIndex, crate::cache_index::Slot),
    ) {
        if !self.settings.mechanisms.feeds {
            return;
        }
        self.advance_incarnation(engine, incarnation, now);
        let Some((slot, view)) = self.engines.by_id_mut(engine) else { return };
        if view.status.incarnation == incarnation {
            apply(view, &mut self.cache_index, slot);
        }
    }

    /// Drops what is known of an engine's cache when data of a later incarnation arrives.
    fn advance_incarnation(&mut self, engine: &EngineId, incarnation: Incarnation, now: Timestamp) {
        let Some(slot) = self.engines.slot(engine) else { return };
        let Some(view) = self.engines.get(slot) else { return };
        if incarnation <= view.status.incarnation {
            return;
        }
        let status = EngineStatus { incarnation, ..view.status.clone() };
        self.engines.apply_status(&status, &mut self.cache_index, now);
        self.cached_prefixes.remove_origin(engine, Some(incarnation));
    }

    fn apply_dispatched(
        &mut self,
        id: &AttemptId,
        engine: &EngineId,
        request: &RouteRequest<'_>,
        now: Timestamp,
    ) {
        if request.excluded.is_empty() {
            self.popularity.record(request.blocks, now);
            self.total.add(1.0, now);
            self.export_watch.record(request, &self.popularity, now);
        }
        let blocks: Box<[ShortHash]> = request.blocks.iter().copied().map(short_hash).collect();
        let Some((slot, view)) = self.engines.by_id_mut(engine) else { return };
        let expected = self.cache_index.depth_at(view.epoch, &blocks, now);
        let cached = expected.map_or(0, |(depth, _)| depth) * BLOCK_TOKENS;
        let number = self.attempts.next_number();
        view.record_send(number, f64::from(request.prompt_tokens.saturating_sub(cached)), now);
        if self.settings.mechanisms.answers {
            self.cache_index.record(view.epoch, blocks.iter().copied(), now);
        }
        let attempt = Attempt {
            number,
            slot,
            epoch: view.epoch,
            blocks,
            expected,
            prompt_tokens: request.prompt_tokens,
            started_at: None,
        };
        self.attempts.insert(id.clone(), attempt);
    }

    fn apply_started(
        &mut self,
        id: &AttemptId,
        incarnation: Incarnation,
        cached_tokens: u32,
        now: Timestamp,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.started_at = Some(now);
        let (slot, observation) = (attempt.slot, attempt.observation(cached_tokens));
        let (number, missing) = (attempt.number, attempt.prompt_tokens.saturating_sub(cached_tokens));
        let Some(engine) = self.engines.get(slot).map(|view| view.status.engine.clone()) else { return };
        self.advance_incarnation(&engine, incarnation, now);
        let Some(view) = self.engines.get_mut(slot) else { return };
        if view.status.incarnation != incarnation {
            return;
        }
        view.correct_send(number, f64::from(missing));
        match observation {
            CacheObservation::NothingExpected => {}
            CacheObservation::Survived { age_micros } => view.eviction.survived(age_micros),
            CacheObservation::Evicted { age_micros } => view.eviction.found_evicted(age_micros),
        }
    }

    fn apply_first_token(&mut self, id: &AttemptId) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if let Some(view) = self.engines.get_mut(attempt.slot) {
            view.finish_send(attempt.number);
        }
    }

    fn apply_ended(&mut self, id: &AttemptId, ending: AttemptEnding, now: Timestamp) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        if let Some(view) = self.engines.get_mut(attempt.slot) {
            view.in_flight = view.in_flight.saturating_sub(1);
            view.finish_send(attempt.number);
        }
        if !self.settings.mechanisms.answers {
            return;
        }
        if let Some(started_at) = attempt.started_at {
            if ending == AttemptEnding::Completed {
                let answer_ms = now.saturating_since(started_at).as_secs_f64() * 1e3;
                self.answer_ms += ANSWER_WEIGHT * (answer_ms - self.answer_ms);
            }
            self.cache_index.refresh(attempt.epoch, &attempt.blocks, now);
            return;
        }
        // The attempt never ran, so the engine's cache is unchanged.
        let cached_before = attempt.expected.map_or(0, |(depth, _)| depth as usize);
        for block in &attempt.blocks[cached_before..] {
            self.cache_index.forget(attempt.epoch, *block, now);
        }
    }

    /// Engines whose feed has a gap, which a snapshot would close.
    pub fn needs_resync(&self) -> Vec<EngineId> {
        let gaps = self.engines.views().filter(|view| view.feed.state() == FeedState::Gap);
        gaps.map(|view| view.status.engine.clone()).collect()
    }

    /// Returns the size of the cache index and the request counters.
    pub fn cache_index_size(&self) -> CacheIndexSize {
        CacheIndexSize {
            records: self.cache_index.records(),
            limit: self.cache_index.limit(),
            approximate_bytes: self.cache_index.approximate_bytes(),
            popularity_records: self.popularity.records(),
        }
    }

    fn distance_ms(&self, zone: &ZoneId) -> f64 {
        if *zone == self.settings.zone {
            return 0.0;
        }
        self.settings.distances.get(zone).copied().unwrap_or(self.settings.other_zone_ms)
    }

    fn is_current(&self, engine: &EngineId, incarnation: Incarnation) -> bool {
        let view = self.engines.slot(engine).and_then(|slot| self.engines.get(slot));
        view.is_some_and(|view| view.status.incarnation == incarnation)
    }
}
