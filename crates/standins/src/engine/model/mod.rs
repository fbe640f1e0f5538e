//! State machine of a model engine.
//!
//! [`EngineModel`] does no I/O and reads no clock. A driver passes requests and orders together with the
//! time, calls [`EngineModel::advance`] at [`EngineModel::next_event_at`], and processes the outputs. The
//! same calls with the same seed produce the same outputs.
//!
//! | module | contents |
//! |---|---|
//! | [`cache`] | the bounded cache of prompt blocks |
//! | [`feed`] | the feed of cache events, with delay and losses |
//! | `messages` | settings, requests and outputs |
//! | [`load`] | delayed load reports |
//! | `batch` | admission to the batch, prefill and decode steps |
//! | `orders` | fenced orders and loading of weights |
//! | `checks` | preconditions and refusals |
//! | `transfer` | snapshot, export and import of cached state |

mod batch;
pub mod cache;
mod checks;
pub mod feed;
pub mod load;
mod messages;
mod orders;
mod transfer;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{
    engine::{
        CacheEventBatch, EngineRefusal, EngineRole, EngineSpeed, EngineStatus, LoadReport, LoadedModel,
        Priority,
    },
    identity::{AttemptId, EventSequence, FencingToken, Incarnation},
    refusal::RefusalCode,
    time::Timestamp,
};

pub use self::messages::{
    AttemptProgress, EngineEvent, EngineModelSettings, EngineOutput, ModelRequest, TokenOutputs,
};
use self::{batch::Running, cache::BlockCache, feed::EventFeed, load::LoadHistory, orders::Loading};
use crate::{engine::settings::FeedSettings, incarnations::LatestIncarnations};

struct Waiting {
    request: ModelRequest,
    /// Prompt tokens that are not cached on arrival.
    missing_tokens: u32,
}

/// State of a model engine.
pub struct EngineModel {
    settings: EngineModelSettings,
    incarnation: Incarnation,
    up: bool,
    loaded: Option<LoadedModel>,
    loading: Option<Loading>,
    role: EngineRole,
    draining: bool,
    /// Highest fencing token of an executed order.
    fence: FencingToken,
    /// Identifiers of the latest executed orders.
    executed_orders: VecDeque<String>,
    incarnations: LatestIncarnations,
    cache: BlockCache,
    feed: EventFeed,
    history: LoadHistory,
    /// The queue, by priority and then by arrival.
    waiting: BTreeMap<(Reverse<Priority>, u64), Waiting>,
    /// Requests whose import is in progress, with its end.
    importing: Vec<(Timestamp, Waiting)>,
    /// Number of requests that have entered the queue.
    arrivals: u64,
    running: Vec<Running>,
    step_ends_at: Option<Timestamp>,
    /// Token counts of answers that ended within the resume grace period.
    ended: BTreeMap<AttemptId, u32>,
    /// When the entries of `ended` are removed.
    ended_expiries: VecDeque<(Timestamp, AttemptId)>,
    outputs: Vec<EngineOutput>,
    stalled: bool,
    /// Factor for the duration of steps.
    slowdown: f64,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    pub fn new(settings: EngineModelSettings, incarnation: Incarnation, seed: u64) -> Self {
        let behaviour = settings.behaviour;
        let mut incarnations = LatestIncarnations::default();
        incarnations.observe(&settings.engine, incarnation);
        let lag = Duration::from_millis(behaviour.service.load_report_lag_ms);
        Self {
            incarnation,
            up: true,
            loaded: settings.loaded.clone(),
            loading: None,
            role: EngineRole::Serving,
            draining: false,
            fence: FencingToken(0),
            executed_orders: VecDeque::new(),
            incarnations,
            cache: BlockCache::new(behaviour.speed.cache_blocks),
            feed: EventFeed::new(behaviour.feed, seed ^ incarnation.0),
            history: LoadHistory::new(lag),
            waiting: BTreeMap::new(),
            importing: Vec::new(),
            arrivals: 0,
            running: Vec::new(),
            step_ends_at: None,
            ended: BTreeMap::new(),
            ended_expiries: VecDeque::new(),
            outputs: Vec::new(),
            stalled: false,
            slowdown: 1.0,
            settings,
        }
    }

    /// Accepts a request or refuses it without running any of it.
    pub fn submit(&mut self, request: ModelRequest, now: Timestamp) -> Result<(), EngineRefusal> {
        self.run_until(now);
        self.check_admission(&request)?;
        let matched = self.cache.matched(request.scope, &request.blocks);
        let missing_tokens = request.prompt_tokens.saturating_sub(batch::tokens_of(matched));
        let ready_at = now + self.import_duration(&request, matched);
        let waiting = Waiting { request, missing_tokens };
        if ready_at > now {
            self.importing.push((ready_at, waiting));
        } else {
            self.enqueue(waiting);
        }
        self.start_step(now);
        self.record_load(now);
        Ok(())
    }

    fn enqueue(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        self.waiting.insert((Reverse(waiting.request.priority), self.arrivals), waiting);
    }

    /// Processes all events up to and including `now` and returns the outputs.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        self.run_until(now);
        std::mem::take(&mut self.outputs)
    }

    /// The time of the next event; `None` while the engine is idle, stalled or down.
    pub fn next_event_at(&self) -> Option<Timestamp> {
        if let Some(output) = self.outputs.first() {
            return Some(output.at);
        }
        self.next_internal_event()
    }

    fn next_internal_event(&self) -> Option<Timestamp> {
        if !self.up || self.stalled {
            return None;
        }
        let imported_at = self.importing.iter().map(|(ready_at, _)| *ready_at).min();
        let loaded_at = self.loading.as_ref().and_then(Loading::done_at);
        [self.step_ends_at, imported_at, loaded_at].into_iter().flatten().min()
    }

    fn run_until(&mut self, now: Timestamp) {
        while let Some(at) = self.next_internal_event().filter(|at| *at <= now) {
            self.finish_imports(at);
            self.finish_due_load(at);
            if self.step_ends_at.is_some_and(|ends_at| ends_at <= at) {
                self.finish_step(at);
            }
            self.start_step(at);
            self.record_load(at);
        }
    }

    fn finish_imports(&mut self, now: Timestamp) {
        let mut index = 0;
        while index < self.importing.len() {
            if self.importing[index].0 <= now {
                let (_, waiting) = self.importing.remove(index);
                self.enqueue(waiting);
            } else {
                index += 1;
            }
        }
    }

    /// Cancels an attempt and returns whether it was known. Blocks that it has filled stay cached.
    pub fn cancel(&mut self, attempt: &AttemptId, now: Timestamp) -> bool {
        self.run_until(now);
        let found = self.remove_waiting(attempt) || self.remove_running(attempt);
        if found {
            self.begin_load_when_idle(now);
            self.record_load(now);
        }
        found
    }

    fn remove_waiting(&mut self, attempt: &AttemptId) -> bool {
        let before = self.waiting.len() + self.importing.len();
        self.waiting.retain(|_, waiting| waiting.request.attempt != *attempt);
        self.importing.retain(|(_, waiting)| waiting.request.attempt != *attempt);
        self.waiting.len() + self.importing.len() < before
    }

    /// Returns the progress of an attempt; those that ended are known for the resume grace period.
    pub fn resume(
        &self,
        attempt: &AttemptId,
        incarnation: Incarnation,
    ) -> Result<AttemptProgress, EngineRefusal> {
        if incarnation != self.incarnation {
            return Err(self.refusal(RefusalCode::PreconditionFailed, "the stream belongs to another life"));
        }
        if let Some(tokens) = self.ended.get(attempt) {
            return Ok(AttemptProgress { next_index: *tokens, ended: true });
        }
        if let Some(running) = self.running.iter().find(|running| running.request.attempt == *attempt) {
            return Ok(AttemptProgress { next_index: running.next_index, ended: false });
        }
        self.queued()
            .find(|waiting| waiting.request.attempt == *attempt)
            .map(|waiting| AttemptProgress { next_index: waiting.request.answer_prefix_tokens, ended: false })
            .ok_or_else(|| self.refusal(RefusalCode::NotFound, "no such stream"))
    }

    fn queued(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values().chain(self.importing.iter().map(|(_, waiting)| waiting))
    }

    /// Ends this incarnation with the loss of all state and returns the lost attempts.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.up = false;
        let running = self.running.iter().map(|running| running.request.attempt.clone());
        let lost = running.chain(self.queued().map(|waiting| waiting.request.attempt.clone())).collect();
        self.running.clear();
        self.waiting.clear();
        self.importing.clear();
        self.outputs.clear();
        self.step_ends_at = None;
        self.loading = None;
        self.cache.clear();
        lost
    }

    /// Starts a new incarnation with an empty cache and the initially loaded model.
    pub fn restart(&mut self, incarnation: Incarnation, seed: u64) {
        *self = Self::new(self.settings.clone(), incarnation, seed);
    }

    /// Returns whether the engine is up. A driver must not call an engine that is down.
    pub const fn is_up(&self) -> bool {
        self.up
    }

    /// The current incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The engine's settings.
    pub const fn settings(&self) -> &EngineModelSettings {
        &self.settings
    }

    /// The loaded model, if any.
    pub const fn loaded(&self) -> Option<&LoadedModel> {
        self.loaded.as_ref()
    }

    /// The cache, for oracles and invariant checks.
    pub const fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// Returns up to `limit` events after `after` that are visible at `now`.
    pub fn cache_events(&self, after: EventSequence, limit: usize, now: Timestamp) -> CacheEventBatch {
        self.feed.batch(self.incarnation, after, limit, now)
    }

    /// Sequence number of the last event.
    pub const fn last_event(&self) -> EventSequence {
        self.feed.last()
    }

    /// The time at which the first event after `after` becomes visible, if it exists already.
    pub fn events_visible_at(&self, after: EventSequence) -> Option<Timestamp> {
        self.feed.visible_at(after)
    }

    /// The load reported at `now`, delayed by the configured lag.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        self.history.report(now)
    }

    /// The status reported at `now`.
    pub fn status(&self, now: Timestamp) -> EngineStatus {
        EngineStatus {
            engine: self.settings.engine.clone(),
            incarnation: self.incarnation,
            pool: self.settings.pool.clone(),
            zone: self.settings.zone.clone(),
            loaded: self.loaded.clone().filter(|_| self.loading.is_none()),
            loading: self.loading.is_some(),
            draining: self.draining,
            role: self.role,
            load: self.load_report(now),
            speed: self.speed(),
            last_event: self.feed.last(),
            fence: self.fence,
        }
    }

    fn speed(&self) -> EngineSpeed {
        let speed = &self.settings.behaviour.speed;
        let others = self.running.len().saturating_sub(1) as f64;
        EngineSpeed {
            prefill_tokens_per_second: speed.prefill_tokens_per_second / self.slowdown,
            decode_step_ms: (speed.decode_base_ms + others * speed.decode_per_request_ms) * self.slowdown,
            batch_slots: speed.batch_slots,
            cache_blocks: speed.cache_blocks,
        }
    }

    /// Sets the delay and loss of the feed.
    pub const fn configure_feed(&mut self, settings: FeedSettings) {
        self.feed.configure(settings);
    }

    /// Loses the next `events` events of the feed.
    pub const fn lose_next_events(&mut self, events: u32) {
        self.feed.lose_next(events);
    }

    /// Sets the lag of load reports.
    pub const fn set_load_report_lag(&mut self, lag: Duration) {
        self.history.set_lag(lag);
    }

    /// Multiplies the duration of steps by `factor`, from the next step on.
    pub const fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = if factor > 0.0 { factor } else { 1.0 };
    }

    /// Stops or resumes all progress.
    pub fn set_stalled(&mut self, stalled: bool, now: Timestamp) {
        if !stalled && self.stalled {
            self.stalled = false;
            self.step_ends_at = self.step_ends_at.map(|ends_at| ends_at.max(now));
            self.start_step(now);
            return;
        }
        self.run_until(now);
        self.stalled = stalled;
    }
}
