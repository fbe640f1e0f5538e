//! Per-engine state of a router, and prediction of the wait at an engine.

use std::collections::{BTreeMap, VecDeque};

use paddlemount_protocol::{
    engine::{EngineRole, EngineStatus, LoadReport, Precondition},
    identity::{EngineId, PoolId},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{preferred_engines::Member, types::RouteRequest};
use crate::{
    cache_index::{
        CacheEpochId, CacheIndex, Slot,
        eviction::EvictionAge,
        feed::{Feed, FeedState},
    },
    popularity::DecayedCount,
};

/// Maximum age of an engine's load report; requests sent before that are included in the report.
const MAX_REPORT_LAG_MICROS: u64 = 10_000_000;
/// Minimum survival probability of a block while the engine's feed is complete.
const COMPLETE_FEED_SURVIVAL: f64 = 0.98;
const MIN_PREFILL_TOKENS_PER_SECOND: f64 = 1.0;

/// Inputs to a predicted wait besides the engine's load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitInputs {
    pub(super) own_in_flight: bool,
    pub(super) other_nodes: u32,
    /// Mean duration of an answer.
    pub(super) answer_ms: f64,
}

/// A request that this node sent to an engine.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: u64,
    at: Timestamp,
    missing_tokens: f64,
}

/// One engine as seen by this node.
pub(super) struct EngineView {
    pub(super) status: EngineStatus,
    pub(super) load_received: Timestamp,
    pub(super) epoch: CacheEpochId,
    pub(super) feed: Feed,
    pub(super) eviction: EvictionAge,
    pub(super) in_flight: u32,
    pub(super) draining: bool,
    /// Set when the engine refused a request as draining: the time at which the last known load was measured.
    /// A status measured later clears it.
    pub(super) drained_as_of: Option<Timestamp>,
    /// The engine has asked for no requests until then.
    pub(super) backed_off_until: Timestamp,
    /// Hash of the engine's name, for rendezvous hashing.
    pub(super) name_hash: u64,
    sends: VecDeque<SentRequest>,
    /// Decayed count of prompt tokens sent by this node.
    sent_tokens: DecayedCount,
}

impl EngineView {
    fn new(status: EngineStatus, epoch: CacheEpochId, now: Timestamp) -> Self {
        Self {
            name_hash: xxh3_64(status.engine.as_str().as_bytes()),
            status,
            load_received: now,
            epoch,
            feed: Feed::default(),
            eviction: EvictionAge::default(),
            in_flight: 0,
            draining: false,
            drained_as_of: None,
            backed_off_until: Timestamp::ZERO,
            sends: VecDeque::new(),
            sent_tokens: DecayedCount::default(),
        }
    }

    /// Whether the engine accepts requests at all.
    pub(super) fn accepts_work(&self) -> bool {
        !self.draining
            && self.drained_as_of.is_none()
            && !self.status.draining
            && self.status.role == EngineRole::Serving
            && self.status.loaded.is_some()
    }

    /// Whether `request` may be sent to the engine now.
    pub(super) fn is_eligible(&self, request: &RouteRequest<'_>, now: Timestamp) -> bool {
        self.can_serve(request)
            && !self.is_backing_off(now)
            && !request.excluded.contains(&self.status.engine)
    }

    /// Whether the engine accepts work and has the model, weights and adapter of `request`.
    pub(super) fn can_serve(&self, request: &RouteRequest<'_>) -> bool {
        let Some(loaded) = &self.status.loaded else { return false };
        self.accepts_work()
            && loaded.weights == request.weights
            && loaded.model == *request.model
            && request.adapter.is_none_or(|adapter| loaded.adapters.contains(adapter))
    }

    pub(super) fn precondition(&self, request: &RouteRequest<'_>) -> Precondition {
        Precondition {
            engine: self.status.engine.clone(),
            incarnation: self.status.incarnation,
            model: request.model.clone(),
            weights: request.weights,
            adapter: request.adapter.cloned(),
        }
    }

    pub(super) fn apply_load(&mut self, report: LoadReport, now: Timestamp) {
        if report.measured_at >= self.status.load.measured_at {
            self.status.load = report;
            self.load_received = now;
        }
    }

    /// Records a sent request; `number` increases with each request.
    pub(super) fn record_send(&mut self, number: u64, missing_tokens: f64, now: Timestamp) {
        let oldest = now.0.saturating_sub(MAX_REPORT_LAG_MICROS);
        while self.sends.front().is_some_and(|send| send.at.0 < oldest) {
            self.sends.pop_front();
        }
        self.sends.push_back(SentRequest { number, at: now, missing_tokens });
        self.sent_tokens.add(missing_tokens, now);
        self.in_flight += 1;
    }

    /// Corrects the number of tokens that a sent request leaves to prefill.
    pub(super) fn correct_send(&mut self, number: u64, missing_tokens: f64) {
        if let Some(send) = self.sends.iter_mut().find(|send| send.number == number) {
            send.missing_tokens = missing_tokens;
        }
    }

    /// Removes a request whose prefill has ended.
    pub(super) fn finish_send(&mut self, number: u64) {
        self.sends.retain(|send| send.number != number);
    }

    /// Microseconds since the engine measured its load, bounded by the time of receipt because clocks differ.
    pub(super) fn load_age_micros(&self, now: Timestamp) -> u64 {
        let since_receipt = now.0.saturating_sub(self.load_received.0);
        let since_measured = now.0.saturating_sub(self.status.load.measured_at.0);
        since_measured.clamp(since_receipt, since_receipt + MAX_REPORT_LAG_MICROS)
    }

    pub(super) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * 1_000.0 / self.status.speed.prefill_tokens_per_second.max(MIN_PREFILL_TOKENS_PER_SECOND)
    }

    /// Predicts the milliseconds until the engine can begin a new request.
    ///
    /// The queue of prompt tokens drains from the last report on. With `own_in_flight`, requests that this
    /// node sent since then are added, and each of `other_nodes` is assumed to send at the same rate as this
    /// node. If all batch slots are taken, the expected wait for a free slot is added.
    pub(super) fn wait_ms(&self, now: Timestamp, inputs: WaitInputs) -> f64 {
        let load = &self.status.load;
        let age_micros = self.load_age_micros(now);
        let measured = now.0.saturating_sub(age_micros);
        let rate_per_micro =
            self.status.speed.prefill_tokens_per_second.max(MIN_PREFILL_TOKENS_PER_SECOND) / 1e6;
        let mut drain_per_micro = rate_per_micro;
        let mut queue = f64::from(load.queued_prefill_tokens);
        let mut at = measured;
        let mut sent_since = 0_u32;
        if inputs.own_in_flight {
            let others = f64::from(inputs.other_nodes) * self.sent_tokens.rate(now) / 1e6;
            drain_per_micro = (rate_per_micro - others).max(0.0);
            for send in self.sends.iter().filter(|send| send.at.0 >= measured) {
                queue = (queue - send.at.0.saturating_sub(at) as f64 * drain_per_micro).max(0.0)
                    + send.missing_tokens;
                at = send.at.0;
                sent_since += 1;
            }
        }
        queue = (queue - now.0.saturating_sub(at) as f64 * drain_per_micro).max(0.0);
        queue / rate_per_micro / 1e3 + self.slot_wait_ms(sent_since, age_micros, inputs.answer_ms)
    }

    fn slot_wait_ms(&self, sent_since: u32, age_micros: u64, answer_ms: f64) -> f64 {
        let slots = f64::from(self.status.speed.batch_slots.max(1));
        let present = f64::from(self.status.load.running + self.status.load.waiting + sent_since);
        let ended = age_micros as f64 / 1e3 * slots / answer_ms;
        let excess = present + 1.0 - slots - ended;
        excess.max(0.0) * answer_ms / slots
    }

    /// Probability that blocks last used `age_micros` ago are still cached.
    pub(super) fn survival(&self, age_micros: u64, expected_eviction: bool) -> f64 {
        let by_age = self.eviction_survival(age_micros, expected_eviction);
        match self.feed.state() {
            FeedState::Complete => by_age.max(COMPLETE_FEED_SURVIVAL),
            FeedState::Gap | FeedState::NotRead => by_age,
        }
    }
}

impl EngineView {
    /// The same probability by age alone, for times that the feed does not cover yet.
    pub(super) fn eviction_survival(&self, age_micros: u64, expected_eviction: bool) -> f64 {
        if expected_eviction { self.eviction.survival(age_micros) } else { 1.0 }
    }
}

/// All engines, by slot, by name and by pool.
#[derive(Default)]
pub(super) struct EngineTable {
    views: Vec<Option<EngineView>>,
    by_id: BTreeMap<EngineId, Slot>,
    /// Engines that accept work.
    by_pool: BTreeMap<PoolId, Vec<Member>>,
}

impl EngineTable {
    pub(super) fn get(&self, slot: Slot) -> Option<&EngineView> {
        self.views.get(slot.0 as usize)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, slot: Slot) -> Option<&mut EngineView> {
        self.views.get_mut(slot.0 as usize)?.as_mut()
    }

    pub(super) fn slot(&self, engine: &EngineId) -> Option<Slot> {
        self.by_id.get(engine).copied()
    }

    pub(super) fn by_id_mut(&mut self, engine: &EngineId) -> Option<(Slot, &mut EngineView)> {
        let slot = self.slot(engine)?;
        self.get_mut(slot).map(|view| (slot, view))
    }

    pub(super) fn views(&self) -> impl Iterator<Item = &EngineView> {
        self.by_id.values().filter_map(|slot| self.get(*slot))
    }

    /// Returns the engines of a pool that accept work, in order of their names.
    pub(super) fn members(&self, pool: &PoolId) -> &[Member] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Applies a status reported by an engine. Returns the engine's slot if its cache has to be assumed
    /// empty.
    pub(super) fn apply_status(
        &mut self,
        status: &EngineStatus,
        cache_index: &mut CacheIndex,
        now: Timestamp,
    ) -> Option<Slot> {
        let Some(slot) = self.slot(&status.engine) else {
            self.insert(status, cache_index, now);
            return None;
        };
        let view = self.get_mut(slot)?;
        if status.incarnation < view.status.incarnation {
            return None;
        }
        let same_incarnation = status.incarnation == view.status.incarnation;
        let cache_emptied = !same_incarnation || !same_weights(status, &view.status);
        let moved = status.pool != view.status.pool;
        let accepted_work = view.accepts_work();
        if same_incarnation {
            view.drained_as_of = view.drained_as_of.filter(|before| status.load.measured_at <= *before);
            let load = view.status.load;
            view.status = EngineStatus { load, ..status.clone() };
            view.apply_load(status.load, now);
        } else {
            view.status = status.clone();
            view.load_received = now;
            view.sends.clear();
            view.drained_as_of = None;
            view.backed_off_until = Timestamp::ZERO;
        }
        if cache_emptied {
            let old = view.epoch;
            view.feed.drop_snapshot(cache_index);
            cache_index.close(old);
            view.epoch = cache_index.open(slot);
            if !same_incarnation {
                view.feed = Feed::default();
            }
        }
        let changed = view.accepts_work() != accepted_work;
        if moved || changed {
            self.index_pools();
        }
        cache_emptied.then_some(slot)
    }

    /// Sets whether the engine is being drained by someone other than itself.
    pub(super) fn set_draining(&mut self, engine: &EngineId, draining: bool) {
        if let Some((_, view)) = self.by_id_mut(engine).filter(|(_, view)| view.draining != draining) {
            view.draining = draining;
            self.index_pools();
        }
    }

    fn insert(&mut self, status: &EngineStatus, cache_index: &mut CacheIndex, now: Timestamp) {
        let slot = Slot(self.views.len() as u32);
        let epoch = cache_index.open(slot);
        self.views.push(Some(EngineView::new(status.clone(), epoch, now)));
        self.by_id.insert(status.engine.clone(), slot);
        self.index_pools();
    }

    pub(super) fn remove(&mut self, engine: &EngineId, cache_index: &mut CacheIndex) {
        let Some(slot) = self.by_id.remove(engine) else { return };
        if let Some(mut view) = self.views.get_mut(slot.0 as usize).and_then(Option::take) {
            view.feed.drop_snapshot(cache_index);
            cache_index.close(view.epoch);
        }
        self.index_pools();
    }

    pub(super) fn index_pools(&mut self) {
        let mut by_pool: BTreeMap<PoolId, Vec<Member>> = BTreeMap::new();
        for slot in self.by_id.values() {
            if let Some(view) = self.get(*slot).filter(|view| view.accepts_work()) {
                by_pool.entry(view.status.pool.clone()).or_default().push((*slot, view.name_hash));
            }
        }
        self.by_pool = by_pool;
    }
}

fn same_weights(left: &EngineStatus, right: &EngineStatus) -> bool {
    match (&left.loaded, &right.loaded) {
        (Some(left), Some(right)) => left.model == right.model && left.weights == right.weights,
        (None, None) => true,
        _ => false,
    }
}
