//! Choice of the engine that serves a request.
//!
//! [`Router`] is the one entry point: drivers feed it [`RouterEvent`]s and ask it to
//! [`choose`](Router::choose). A [`Decision`] names every candidate that was weighed and why.

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
    attempts::{Attempt, Attempts, CacheFinding},
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

/// Milliseconds that an answer is assumed to take before one has ended.
const INITIAL_ANSWER_MS: f64 = 1_000.0;
/// Share of a new sample in the mean duration of answers.
const ANSWER_WEIGHT: f64 = 0.05;

/// A node's view of all engines, and its choices among them.
pub struct Router {
    settings: RouterSettings,
    engines: EngineTable,
    cache_index: CacheIndex,
    popularity: PrefixPopularity,
    /// Requests counted in all, decayed like the counts of prefixes.
    total: DecayedCount,
    attempts: Attempts,
    kept: CachedPrefixes,
    export_watch: ExportWatch,
    nodes: u32,
    health: Health,
    /// Mean milliseconds from an answer's start to its end.
    answer_ms: f64,
    random: SmallRng,
}

/// A summary of a router's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheIndexSize {
    /// Pairs of prefix and engine that are held.
    pub records: usize,
    /// The most that are ever held.
    pub limit: usize,
    /// Bytes of the records.
    pub approximate_bytes: usize,
    /// Prefixes whose requests are counted.
    pub popularity_records: usize,
}

impl Router {
    /// A router that knows no engine.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            cache_index: CacheIndex::new(settings.cache_index_records),
            popularity: PrefixPopularity::new(settings.popularity_records),
            random: SmallRng::seed_from_u64(settings.seed),
            engines: EngineTable::default(),
            total: DecayedCount::default(),
            attempts: Attempts::default(),
            kept: CachedPrefixes::default(),
            export_watch: ExportWatch::default(),
            nodes: 1,
            health: Health::new(settings.health),
            answer_ms: INITIAL_ANSWER_MS,
            settings,
        }
    }

    /// Takes in what was learned at `now`.
    pub fn apply(&mut self, event: RouterEvent<'_>, now: Timestamp) {
        self.learn_health(&event, now);
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
            RouterEvent::PrefixStored { transfer } => self.kept.insert(transfer),
            RouterEvent::PrefixDropped { prefix } => self.kept.remove(prefix),
            RouterEvent::Nodes { count } => self.nodes = count.max(1),
            RouterEvent::Removed { engine } => {
                self.engines.remove(engine, &mut self.cache_index);
                self.kept.remove_origin(engine, None);
            }
        }
    }

    fn apply_status(&mut self, status: &EngineStatus, now: Timestamp) {
        let emptied = self.engines.apply_status(status, &mut self.cache_index, now);
        if emptied.is_some() {
            self.kept.remove_origin(&status.engine, Some(status.incarnation));
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

    /// Passes on what concerns the present life of an engine; a later life is taken over first.
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
        self.take_over_incarnation(engine, incarnation, now);
        let Some((slot, view)) = self.engines.by_id_mut(engine) else { return };
        if view.status.incarnation == incarnation {
            apply(view, &mut self.cache_index, slot);
        }
    }

    /// Empties the cache_index in an engine that turns out to live a later life than known.
    fn take_over_incarnation(&mut self, engine: &EngineId, incarnation: Incarnation, now: Timestamp) {
        let Some(slot) = self.engines.slot(engine) else { return };
        let Some(view) = self.engines.get(slot) else { return };
        if incarnation <= view.status.incarnation {
            return;
        }
        let status = EngineStatus { incarnation, ..view.status.clone() };
        self.engines.apply_status(&status, &mut self.cache_index, now);
        self.kept.remove_origin(engine, Some(incarnation));
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
        let believed = self.cache_index.depth_at(view.epoch, &blocks, now);
        let held = believed.map_or(0, |(depth, _)| depth) * BLOCK_TOKENS;
        let number = self.attempts.next_number();
        view.record_send(number, f64::from(request.prompt_tokens.saturating_sub(held)), now);
        if self.settings.mechanisms.answers {
            self.cache_index.record(view.epoch, blocks.iter().copied(), now);
        }
        let attempt = Attempt {
            number,
            slot,
            epoch: view.epoch,
            blocks,
            believed,
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
        let (slot, finding) = (attempt.slot, attempt.finding(cached_tokens));
        let (number, missing) = (attempt.number, attempt.prompt_tokens.saturating_sub(cached_tokens));
        let Some(engine) = self.engines.get(slot).map(|view| view.status.engine.clone()) else { return };
        self.take_over_incarnation(&engine, incarnation, now);
        let Some(view) = self.engines.get_mut(slot) else { return };
        if view.status.incarnation != incarnation {
            return;
        }
        view.correct_send(number, f64::from(missing));
        match finding {
            CacheFinding::NothingBelieved => {}
            CacheFinding::Survived { age_micros } => view.eviction.survived(age_micros),
            CacheFinding::Gone { age_micros } => view.eviction.gone_at(age_micros),
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
        // It never ran, so the engine holds no more than it did before.
        let kept = attempt.believed.map_or(0, |(depth, _)| depth as usize);
        for block in &attempt.blocks[kept..] {
            self.cache_index.forget(attempt.epoch, *block, now);
        }
    }

    /// Engines whose feed has a gap that a snapshot would close.
    pub fn needs_resync(&self) -> Vec<EngineId> {
        let gaps = self.engines.views().filter(|view| view.feed.state() == FeedState::Gap);
        gaps.map(|view| view.status.engine.clone()).collect()
    }

    /// How much the router remembers.
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

    fn is_alive(&self, engine: &EngineId, incarnation: Incarnation) -> bool {
        let view = self.engines.slot(engine).and_then(|slot| self.engines.get(slot));
        view.is_some_and(|view| view.status.incarnation == incarnation)
    }
}
