//! This node's requests in flight at back ends, and the latencies of their answers.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::EngineWork, time::Timestamp};

use super::backends::BackendId;
use crate::recent_rate::RecentRate;

/// The weight of a new measurement in a moving average.
const AVERAGE_WEIGHT: f64 = 0.2;
/// The factor by which the slowest recent time decays with each further answer.
const SLOWEST_DECAY_PER_ANSWER: f64 = 0.93;
/// How long the slowest recent time is held without a further answer.
const SLOWEST_HOLD: Duration = Duration::from_secs(2);
/// The time constant of its decay after that: one of many nodes sends requests to a back end only now and
/// then.
const SLOWEST_DECAY: Duration = Duration::from_secs(4);
/// The time constant by which an average decays without newer measurements, so that a back end that was slow
/// for a moment gets requests again, however few there are: twice as slow as others after 11 s, eight times as slow
/// after 24 s. One that stays slow gets one request in such a time.
const AVERAGE_DECAY: Duration = Duration::from_secs(10);
/// The time constant of the rate of requests to a back end.
const SENT_DECAY: Duration = Duration::from_secs(1);
/// The number of measurements below which an average is ignored.
const MIN_MEASUREMENTS: u32 = 5;
/// Bounds of the factor by which latency scales a back end's cost.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 8.0);
/// The minimum slowness, assumed for a back end without measurements to have it measured.
pub const MIN_SLOWNESS: f64 = SLOWNESS_BOUNDS.0;
/// The slowness of a back end with the median latency.
pub const TYPICAL_SLOWNESS: f64 = 1.0;

/// The mean age of reports when they are passed on: they cross two links, and wait for half of the interval of
/// 200 ms at each.
const REPORT_AGE: Duration = Duration::from_millis(200);

/// The minimum time without a first byte after which a back end is suspect.
const MIN_SUSPECT_TIMEOUT: Duration = Duration::from_millis(700);

/// This node's load at one back end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Tokens to prefill, of requests without a first event.
    pub pending_prefill_tokens: u64,
    /// The moving average of the time to the first byte of an answer, in milliseconds.
    average_ms: f64,
    /// The slowest recent time to the first byte of an answer, in milliseconds; decays with each answer and
    /// with time.
    slowest_ms: f64,
    /// When the last answer began.
    measured_at: Timestamp,
    measurements: u32,
    sent: Option<RecentRate>,
}

impl BackendLoad {
    /// The slowest recent time to the first byte of an answer, as decayed by `now`.
    pub fn slowest(&self, now: Timestamp) -> Duration {
        Duration::try_from_secs_f64(self.decayed_slowest_ms(now) / 1_000.0).unwrap_or_default()
    }

    /// The remaining share of the average, from 0 to 1, without measurements since `measured_at`.
    fn average_remaining(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.measured_at).as_secs_f64();
        (-elapsed / AVERAGE_DECAY.as_secs_f64()).exp()
    }

    /// The weight of a measurement at `now` in the average. The older the average, the more weight a faster
    /// measurement has: a slow back end gets few requests, and would otherwise be considered slow for too
    /// long.
    fn weight_of(&self, milliseconds: f64, now: Timestamp) -> f64 {
        if self.measurements == 0 {
            return 1.0;
        }
        if milliseconds >= self.average_ms {
            return AVERAGE_WEIGHT;
        }
        let is_old = now.saturating_since(self.measured_at) >= AVERAGE_DECAY;
        if is_old { 1.0 } else { AVERAGE_WEIGHT.max(1.0 - self.average_remaining(now)) }
    }

    /// The recent rate of this node's requests to the back end.
    pub fn sent_per_second(&self, now: Timestamp) -> f64 {
        self.sent.map_or(0.0, |sent| sent.per_second(now))
    }

    fn decayed_slowest_ms(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.measured_at).saturating_sub(SLOWEST_HOLD).as_secs_f64();
        self.slowest_ms * (-elapsed / SLOWEST_DECAY.as_secs_f64()).exp()
    }
}

/// The loads of all back ends.
#[derive(Debug, Default)]
pub struct Loads {
    by_backend: BTreeMap<BackendId, BackendLoad>,
    /// The send times of requests without a first byte, by back end.
    unanswered: BTreeMap<BackendId, Vec<Timestamp>>,
    /// The requests in flight at other nodes, as last reported.
    others: BTreeMap<BackendId, EngineWork>,
    /// When that report was requested.
    others_at: Timestamp,
}

impl Loads {
    /// Records a request that was sent with `tokens` to prefill.
    pub fn record_start(&mut self, backend: &BackendId, tokens: u64, now: Timestamp) {
        self.unanswered.entry(backend.clone()).or_default().push(now);
        let load = self.by_backend.entry(backend.clone()).or_default();
        load.requests += 1;
        load.pending_prefill_tokens += tokens;
        load.sent.get_or_insert(RecentRate::new(SENT_DECAY)).add(1.0, now);
    }

    /// Records that the answer to a request sent at `sent_at` has begun, or that the request ended without
    /// it.
    pub fn record_first_event(&mut self, backend: &BackendId, tokens: u64, sent_at: Timestamp) {
        if let Some(unanswered) = self.unanswered.get_mut(backend)
            && let Some(index) = unanswered.iter().position(|at| *at == sent_at)
        {
            unanswered.swap_remove(index);
        }
        if let Some(load) = self.by_backend.get_mut(backend) {
            load.pending_prefill_tokens = load.pending_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, backend: &BackendId) {
        if let Some(load) = self.by_backend.get_mut(backend) {
            load.requests = load.requests.saturating_sub(1);
        }
    }

    /// Records that an answer began at `now`, after `milliseconds`.
    pub fn record_latency(&mut self, backend: &BackendId, milliseconds: f64, now: Timestamp) {
        let load = self.by_backend.entry(backend.clone()).or_default();
        let weight = load.weight_of(milliseconds, now);
        load.measurements += 1;
        load.average_ms += (milliseconds - load.average_ms) * weight;
        load.slowest_ms = milliseconds.max(load.decayed_slowest_ms(now) * SLOWEST_DECAY_PER_ANSWER);
        load.measured_at = now;
    }

    /// This node's load at a back end.
    pub fn of(&self, backend: &BackendId) -> BackendLoad {
        self.by_backend.get(backend).copied().unwrap_or_default()
    }

    /// Replaces the requests in flight at other nodes, as reported at `now`.
    pub fn set_others(&mut self, work: Vec<EngineWork>, now: Timestamp) {
        self.others_at = now;
        self.others = work.into_iter().map(|work| (work.engine.clone(), work)).collect();
    }

    /// The requests in flight of other nodes at a back end, as last reported.
    pub fn of_others(&self, backend: &BackendId) -> Option<&EngineWork> {
        self.others.get(backend)
    }

    /// The tokens that a back end has yet to prefill for other nodes: what they reported, less what it has read
    /// since. With `per_token` unknown, about half of it.
    pub fn pending_of_others(&self, backend: &BackendId, per_token: Option<Duration>, now: Timestamp) -> u64 {
        let Some(reported) = self.of_others(backend).map(|work| work.pending_prefill_tokens) else {
            return 0;
        };
        let Some(per_token) = per_token.filter(|per_token| !per_token.is_zero()) else {
            return reported / 2;
        };
        let age = now.saturating_since(self.others_at) + REPORT_AGE;
        reported.saturating_sub((age.as_nanos() / per_token.as_nanos()) as u64)
    }

    /// The requests in flight at a back end, of this node and, as last reported, of others.
    pub fn total_requests(&self, backend: &BackendId) -> u32 {
        self.of(backend).requests + self.of_others(backend).map_or(0, |work| work.requests)
    }

    /// This node's requests in flight, to be reported to other nodes.
    pub fn own_work(&self) -> Vec<EngineWork> {
        let busy = self.by_backend.iter().filter(|(_, load)| load.requests > 0);
        let work = |(backend, load): (&BackendId, &BackendLoad)| EngineWork {
            engine: backend.clone(),
            requests: load.requests,
            pending_prefill_tokens: load.pending_prefill_tokens,
        };
        busy.map(work).collect()
    }

    /// Whether any request to the back end has no first byte yet.
    fn has_unanswered(&self, backend: &BackendId) -> bool {
        self.unanswered.get(backend).is_some_and(|unanswered| !unanswered.is_empty())
    }

    /// Whether a request has waited much longer than answers of this back end recently took. Such a back end
    /// gets no further requests while others are left.
    pub fn is_suspect(&self, backend: &BackendId, now: Timestamp) -> bool {
        let Some(oldest) = self.unanswered.get(backend).and_then(|unanswered| unanswered.iter().min()) else {
            return false;
        };
        let timeout = MIN_SUSPECT_TIMEOUT.max(self.of(backend).slowest(now) * 3);
        now.saturating_since(*oldest) >= timeout
    }

    /// The back ends that are suspect.
    pub fn suspects(&self, now: Timestamp) -> impl Iterator<Item = &BackendId> {
        self.unanswered.keys().filter(move |backend| self.is_suspect(backend, now))
    }

    /// Removes a back end.
    pub fn forget(&mut self, backend: &BackendId) {
        self.by_backend.remove(backend);
        self.unanswered.remove(backend);
    }

    /// The slowest recent time to a first byte among all back ends.
    pub fn slowest(&self, now: Timestamp) -> Duration {
        self.by_backend.values().map(|load| load.slowest(now)).max().unwrap_or_default()
    }

    /// The median of the back ends' average latencies, in milliseconds; zero without measurements.
    pub fn median_ms<'a>(&self, backends: impl Iterator<Item = &'a BackendId>) -> f64 {
        let mut averages: Vec<f64> = backends
            .map(|backend| self.of(backend))
            .filter(|load| load.measurements >= MIN_MEASUREMENTS)
            .map(|load| load.average_ms)
            .collect();
        averages.sort_by(f64::total_cmp);
        averages.get(averages.len() / 2).copied().unwrap_or(0.0)
    }

    /// The latency of a back end relative to the median, as known at `now`; `fallback` without measurements.
    /// A factor above `fallback` decays towards it.
    pub fn slowness(&self, backend: &BackendId, median_ms: f64, fallback: f64, now: Timestamp) -> f64 {
        let load = self.of(backend);
        if median_ms <= 0.0 || load.measurements < MIN_MEASUREMENTS {
            return fallback;
        }
        let (min, max) = SLOWNESS_BOUNDS;
        let measured = (load.average_ms / median_ms).clamp(min, max);
        // While requests are unanswered the factor does not decay: the back end may be slower still.
        let remaining = if self.has_unanswered(backend) { 1.0 } else { load.average_remaining(now) };
        measured.min(fallback).max(measured * remaining)
    }
}
