//! What one node has under way at back ends, and how fast they have answered it.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::EngineWork, time::Timestamp};

use super::backends::BackendId;
use crate::recent_rate::RecentRate;

/// The weight of a new measurement in a moving average.
const AVERAGE_WEIGHT: f64 = 0.2;
/// What is left of the greatest time with each further answer.
const SLOWEST_DECAY_PER_ANSWER: f64 = 0.93;
/// How long the greatest time stands where no further answer comes.
const SLOWEST_HOLD: Duration = Duration::from_secs(2);
/// The time in which it fades to a third after that: a node of hundreds meets each back end only now and then.
const SLOWEST_DECAY: Duration = Duration::from_secs(4);
/// The time in which an average that nothing newer is measured for falls to a third. A back end that was slow for a moment is asked
/// again however few requests there are: twice as slow as others after 11 s, eight times after 24 s. One that stays slow gets one request in such a time.
const AVERAGE_DECAY: Duration = Duration::from_secs(10);
/// The time in which the rate of requests to a back end fades to a third.
const SENT_DECAY: Duration = Duration::from_secs(1);
/// Measurements below which an average says nothing.
const MIN_MEASUREMENTS: u32 = 5;
/// Bounds of the factor by which a slow back end's cost is raised or lowered.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 8.0);
/// The factor of a back end that answers as soon as any is reckoned to.
pub const MIN_SLOWNESS: f64 = SLOWNESS_BOUNDS.0;
/// The factor of a back end that answers as soon as is usual.
pub const TYPICAL_SLOWNESS: f64 = 1.0;

/// The least time without a first byte after which a back end is suspect.
const MIN_SUSPECT_TIMEOUT: Duration = Duration::from_millis(700);

/// What one node has under way at one back end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendLoad {
    /// Requests not yet ended.
    pub requests: u32,
    /// Tokens that requests without a first event have to read.
    pub unread_tokens: u64,
    /// The moving average of the time to the first byte of an answer, in milliseconds.
    average_ms: f64,
    /// The greatest recent time to the first byte of an answer, in milliseconds; fades with each answer and with time.
    slowest_ms: f64,
    /// When the last answer began.
    measured_at: Timestamp,
    measurements: u32,
    sent: Option<RecentRate>,
}

impl BackendLoad {
    /// The time in which an answer of this back end has lately begun, the slow ones included.
    pub fn slowest(&self, now: Timestamp) -> Duration {
        Duration::try_from_secs_f64(self.decayed_slowest_ms(now) / 1_000.0).unwrap_or_default()
    }

    /// What is left of the average, from 0 to 1, where nothing was measured since `measured_at`.
    fn average_remaining(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.measured_at).as_secs_f64();
        (-elapsed / AVERAGE_DECAY.as_secs_f64()).exp()
    }

    /// The weight of a measurement at `now` in the average. One that is faster says the more, the older the average is: a back end
    /// that was slow is asked seldom, and would else be known as slow for several such times more.
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

    /// Requests a second that this node has lately sent there.
    pub fn sent_per_second(&self, now: Timestamp) -> f64 {
        self.sent.map_or(0.0, |sent| sent.per_second(now))
    }

    fn decayed_slowest_ms(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.measured_at).saturating_sub(SLOWEST_HOLD).as_secs_f64();
        self.slowest_ms * (-elapsed / SLOWEST_DECAY.as_secs_f64()).exp()
    }
}

/// What one node has under way at all back ends.
#[derive(Debug, Default)]
pub struct Loads {
    by_backend: BTreeMap<BackendId, BackendLoad>,
    /// When requests were sent that no first byte has come for, by back end.
    unanswered: BTreeMap<BackendId, Vec<Timestamp>>,
    /// What other nodes have under way, as they have told lately.
    others: BTreeMap<BackendId, EngineWork>,
}

impl Loads {
    /// A request was sent that has `tokens` to be read.
    pub fn record_start(&mut self, backend: &BackendId, tokens: u64, now: Timestamp) {
        self.unanswered.entry(backend.clone()).or_default().push(now);
        let load = self.by_backend.entry(backend.clone()).or_default();
        load.requests += 1;
        load.unread_tokens += tokens;
        load.sent.get_or_insert(RecentRate::new(SENT_DECAY)).add(1.0, now);
    }

    /// The first event of the answer to a request sent at `sent_at` has arrived, or the request has ended before it.
    pub fn record_first_event(&mut self, backend: &BackendId, tokens: u64, sent_at: Timestamp) {
        if let Some(unanswered) = self.unanswered.get_mut(backend)
            && let Some(index) = unanswered.iter().position(|at| *at == sent_at)
        {
            unanswered.swap_remove(index);
        }
        if let Some(load) = self.by_backend.get_mut(backend) {
            load.unread_tokens = load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// The request has ended.
    pub fn record_end(&mut self, backend: &BackendId) {
        if let Some(load) = self.by_backend.get_mut(backend) {
            load.requests = load.requests.saturating_sub(1);
        }
    }

    /// An answer began at `now`, after `milliseconds`.
    pub fn record_latency(&mut self, backend: &BackendId, milliseconds: f64, now: Timestamp) {
        let load = self.by_backend.entry(backend.clone()).or_default();
        let weight = load.weight_of(milliseconds, now);
        load.measurements += 1;
        load.average_ms += (milliseconds - load.average_ms) * weight;
        load.slowest_ms = milliseconds.max(load.decayed_slowest_ms(now) * SLOWEST_DECAY_PER_ANSWER);
        load.measured_at = now;
    }

    /// What is under way at a back end.
    pub fn of(&self, backend: &BackendId) -> BackendLoad {
        self.by_backend.get(backend).copied().unwrap_or_default()
    }

    /// Other nodes have told what they have under way; nothing of what they told before holds on.
    pub fn set_others(&mut self, work: Vec<EngineWork>) {
        self.others = work.into_iter().map(|work| (work.engine.clone(), work)).collect();
    }

    /// What other nodes have under way at a back end, as far as they have told.
    pub fn of_others(&self, backend: &BackendId) -> Option<&EngineWork> {
        self.others.get(backend)
    }

    /// Requests under way at a back end, of this node and, as far as they have told, of others.
    pub fn total_requests(&self, backend: &BackendId) -> u32 {
        self.of(backend).requests + self.of_others(backend).map_or(0, |work| work.requests)
    }

    /// What this node has under way, to be told.
    pub fn own_work(&self) -> Vec<EngineWork> {
        let busy = self.by_backend.iter().filter(|(_, load)| load.requests > 0);
        let work = |(backend, load): (&BackendId, &BackendLoad)| EngineWork {
            engine: backend.clone(),
            requests: load.requests,
            unread_tokens: load.unread_tokens,
        };
        busy.map(work).collect()
    }

    /// Whether requests were sent there that no first byte has come for.
    fn has_unanswered(&self, backend: &BackendId) -> bool {
        self.unanswered.get(backend).is_some_and(|unanswered| !unanswered.is_empty())
    }

    /// Whether a request has waited at a back end for much longer than answers there have lately taken: nothing more
    /// is sent there as long as others are left.
    pub fn is_suspect(&self, backend: &BackendId, now: Timestamp) -> bool {
        let Some(oldest) = self.unanswered.get(backend).and_then(|unanswered| unanswered.iter().min()) else {
            return false;
        };
        let timeout = MIN_SUSPECT_TIMEOUT.max(self.of(backend).slowest(now) * 3);
        now.saturating_since(*oldest) >= timeout
    }

    /// A back end is gone.
    pub fn forget(&mut self, backend: &BackendId) {
        self.by_backend.remove(backend);
        self.unanswered.remove(backend);
    }

    /// The time in which answers have lately begun at the slowest of all back ends.
    pub fn slowest(&self, now: Timestamp) -> Duration {
        self.by_backend.values().map(|load| load.slowest(now)).max().unwrap_or_default()
    }

    /// The median of the back ends' average times, in milliseconds; zero where too little is known.
    pub fn median_ms<'a>(&self, backends: impl Iterator<Item = &'a BackendId>) -> f64 {
        let mut averages: Vec<f64> = backends
            .map(|backend| self.of(backend))
            .filter(|load| load.measurements >= MIN_MEASUREMENTS)
            .map(|load| load.average_ms)
            .collect();
        averages.sort_by(f64::total_cmp);
        averages.get(averages.len() / 2).copied().unwrap_or(0.0)
    }

    /// How much slower than usual a back end answers, as far as that is still known at `now`; `unknown` where it isn't, and what
    /// a greater factor fades to.
    pub fn slowness(&self, backend: &BackendId, median_ms: f64, fallback: f64, now: Timestamp) -> f64 {
        let load = self.of(backend);
        if median_ms <= 0.0 || load.measurements < MIN_MEASUREMENTS {
            return fallback;
        }
        let (min, max) = SLOWNESS_BOUNDS;
        let measured = (load.average_ms / median_ms).clamp(min, max);
        // One that leaves requests unanswered is not unknown: it may be slower still.
        let remaining = if self.has_unanswered(backend) { 1.0 } else { load.average_remaining(now) };
        measured.min(fallback).max(measured * remaining)
    }
}
