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
    AttemptEnding, Candidate, ChoiceReason, DEFAULT_BELIEF_RECORDS, DEFAULT_HEAT_RECORDS, Decision,
    ExportHint, Mechanisms, RouteRequest, RouterEvent, RouterSettings,
};
use self::{
    attempts::{Attempt, Attempts, CacheFinding},
    engines::{EngineTable, EngineView},
    exports::ExportWatch,
    kept::KeptIndex,
};
use crate::{
    belief::{
        Belief, ShortHash,
        feed::{FeedTarget, FeedTrust},
        short,
    },
    health::Health,
    heat::{DecayedCount, Heat},
};

mod anchors;
mod attempts;
mod choice;
mod engines;
mod exports;
mod healthy;
mod kept;
mod rests;
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
    belief: Belief,
    heat: Heat,
    /// Requests counted in all, decayed like the counts of prefixes.
    total: DecayedCount,
    attempts: Attempts,
    kept: KeptIndex,
    export_watch: ExportWatch,
    nodes: u32,
    health: Health,
    /// Mean milliseconds from an answer's start to its end.
    answer_ms: f64,
    random: SmallRng,
}

/// A summary of a router's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeliefSize {
    /// Pairs of prefix and engine that are held.
    pub records: usize,
    /// The most that are ever held.
    pub limit: usize,
    /// Bytes of the records.
    pub approximate_bytes: usize,
    /// Prefixes whose requests are counted.
    pub heat_records: usize,
}

impl Router {
    /// A router that knows no engine.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            belief: Belief::new(settings.belief_records),
            heat: Heat::new(settings.heat_records),
            random: SmallRng::seed_from_u64(settings.seed),
            engines: EngineTable::default(),
            total: DecayedCount::default(),
            attempts: Attempts::default(),
            kept: KeptIndex::default(),
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
            RouterEvent::Kept { transfer } => self.kept.insert(transfer),
            RouterEvent::KeptDropped { prefix } => self.kept.remove(prefix),
            RouterEvent::Nodes { count } => self.nodes = count.max(1),
            RouterEvent::Removed { engine } => {
                self.engines.remove(engine, &mut self.belief);
                self.kept.remove_origin(engine, None);
            }
        }
    }

    fn apply_status(&mut self, status: &EngineStatus, now: Timestamp) {
        let emptied = self.engines.apply_status(status, &mut self.belief, now);
        if emptied.is_some() {
            self.kept.remove_origin(&status.engine, Some(status.incarnation));
        }
    }

    fn apply_feed(&mut self, engine: &EngineId, batch: &CacheEventBatch, now: Timestamp) {
        self.with_feed(engine, batch.incarnation, now, |view, belief, slot| {
            let EngineView { feed, residence, eviction, .. } = view;
            feed.apply_batch(batch, &mut FeedTarget { belief, slot, residence, eviction }, now);
        });
    }

    fn apply_snapshot(&mut self, engine: &EngineId, page: &CacheSnapshot, now: Timestamp) {
        self.with_feed(engine, page.incarnation, now, |view, belief, slot| {
            let EngineView { feed, residence, eviction, .. } = view;
            feed.apply_snapshot(page, &mut FeedTarget { belief, slot, residence, eviction }, now);
        });
    }

    /// Passes on what concerns the present life of an engine; a later life is taken over first.
    fn with_feed(
        &mut self,
        engine: &EngineId,
        incarnation: Incarnation,
        now: Timestamp,
        apply: impl FnOnce(&mut EngineView, &mut Belief, crate::belief::Slot),
    ) {
        if !self.settings.mechanisms.feeds {
            return;
        }
        self.take_over_incarnation(engine, incarnation, now);
        let Some((slot, view)) = self.engines.by_id_mut(engine) else { return };
        if view.status.incarnation == incarnation {
            apply(view, &mut self.belief, slot);
        }
    }

    /// Empties the belief in an engine that turns out to live a later life than known.
    fn take_over_incarnation(&mut self, engine: &EngineId, incarnation: Incarnation, now: Timestamp) {
        let Some(slot) = self.engines.slot(engine) else { return };
        let Some(view) = self.engines.get(slot) else { return };
        if incarnation <= view.status.incarnation {
            return;
        }
        let status = EngineStatus { incarnation, ..view.status.clone() };
        self.engines.apply_status(&status, &mut self.belief, now);
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
            self.heat.record(request.blocks, now);
            self.total.add(1.0, now);
            self.export_watch.record(request, &self.heat, now);
        }
        let blocks: Box<[ShortHash]> = request.blocks.iter().copied().map(short).collect();
        let Some((slot, view)) = self.engines.by_id_mut(engine) else { return };
        let believed = self.belief.depth_at(view.residence, &blocks, now);
        let held = believed.map_or(0, |(depth, _)| depth) * BLOCK_TOKENS;
        let number = self.attempts.next_number();
        view.record_send(number, f64::from(request.prompt_tokens.saturating_sub(held)), now);
        if self.settings.mechanisms.answers {
            self.belief.record(view.residence, blocks.iter().copied(), now);
        }
        let attempt = Attempt {
            number,
            slot,
            residence: view.residence,
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
            self.belief.refresh(attempt.residence, &attempt.blocks, now);
            return;
        }
        // It never ran, so the engine holds no more than it did before.
        let kept = attempt.believed.map_or(0, |(depth, _)| depth as usize);
        for block in &attempt.blocks[kept..] {
            self.belief.forget(attempt.residence, *block, now);
        }
    }

    /// Engines whose feed has a gap that a snapshot would close.
    pub fn needs_resync(&self) -> Vec<EngineId> {
        let gaps = self.engines.views().filter(|view| view.feed.trust() == FeedTrust::Gap);
        gaps.map(|view| view.status.engine.clone()).collect()
    }

    /// How much the router remembers.
    pub fn belief_size(&self) -> BeliefSize {
        BeliefSize {
            records: self.belief.records(),
            limit: self.belief.limit(),
            approximate_bytes: self.belief.approximate_bytes(),
            heat_records: self.heat.records(),
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
