//! The room that a pool of engines has for requests, and the part of it that one node may use.
//!
//! Nodes divide the room by the demand of their callers ([`super::demand`]). What the others leave unused is
//! lent in proportion. Each figure enters smoothed or in proportion, without a threshold between two modes, so
//! nodes that act on the same old figures change their limits gradually.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Requests per slot beyond a full batch, so that an engine has a next request while one is on its way.
const ON_THE_WAY_SHARE: f64 = 0.1;
/// The part of the room that is divided evenly, so that a node with new callers can begin at once.
const EVEN_SHARE: f64 = 0.2;
/// The contention below which engines stand idle, and nodes are not limited.
const IDLE_CONTENTION: f64 = 0.25;
/// The time constant of contention: longer than the reports take, so that a node does not act twice on
/// requests of which it has not heard yet.
const CONTENTION_DECAY: Duration = Duration::from_millis(600);
/// The weight of a new measurement in a moving average.
const TIME_WEIGHT: f64 = 0.1;
/// Mean deviations above the mean within which a first event is expected, as in retransmission timeouts.
const EXPECTED_DEVIATIONS: f64 = 2.0;
/// The part of its remaining time that a caller waits at most before it comes back.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// The maximum jitter of a retry time, relative to that time.
const RETRY_JITTER: f64 = 0.25;
/// The part of the longest useful retry time over which callers are spread whose turn would be later.
const LATE_RETRY_SPREAD: f64 = 0.5;

/// The batch slots that a request occupies: one, or more if its tokens take more of the cache than a slot's
/// part.
pub fn request_slots(tokens: u64, engine_slots: u32, cache_tokens: u64) -> u32 {
    if cache_tokens == 0 {
        return 1;
    }
    let slots = tokens as f64 * f64::from(engine_slots) / cache_tokens as f64;
    (slots.round() as u32).clamp(1, engine_slots.max(1))
}

/// The room of engines that have `slots` batch slots together.
pub fn room(slots: u64) -> f64 {
    slots as f64 * (1.0 + ON_THE_WAY_SHARE)
}

/// The demand for a pool in slots, of a node and of all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandShare {
    pub own: f64,
    pub total: f64,
}

/// A node's share of a room among `nodes`, in slots: even without a recent total of the demand.
pub fn share(room: f64, demand: Option<DemandShare>, nodes: u32) -> f64 {
    let even = room / f64::from(nodes.max(1));
    match demand {
        Some(demand) if demand.total > 0.0 => {
            // The total may be older than the node's own demand.
            let by_demand = room * demand.own / demand.total.max(demand.own);
            EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand
        }
        _ => even,
    }
}

/// The smoothed part of a pool's room that is in use over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    smoothed: f64,
    at: Timestamp,
}

impl Contention {
    /// A contention that has been `measured`.
    pub const fn new(measured: f64, now: Timestamp) -> Self {
        Self { smoothed: measured, at: now }
    }

    /// Records a measurement.
    pub fn record(&mut self, measured: f64, now: Timestamp) {
        let elapsed = now.saturating_since(self.at).as_secs_f64();
        let remaining = (-elapsed / CONTENTION_DECAY.as_secs_f64()).exp();
        self.smoothed = measured + (self.smoothed - measured) * remaining;
        self.at = now;
    }

    /// The smoothed contention; 1 if the room is in use.
    pub const fn value(self) -> f64 {
        self.smoothed
    }
}

/// The slots that a node's requests may hold: its share, and what others leave unused. `None` stands for an
/// unknown contention, when nothing is lent.
pub fn limit(share: f64, contention: Option<f64>) -> u32 {
    let limit = match contention {
        Some(contention) if contention < IDLE_CONTENTION => return u32::MAX,
        Some(contention) => share / contention,
        None => share,
    };
    (limit.round() as u32).max(1)
}

/// A moving average of times, with their mean deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentTime {
    mean_seconds: Option<f64>,
    deviation_seconds: f64,
}

impl RecentTime {
    /// Records a time.
    pub fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let Some(mean) = self.mean_seconds else {
            self.mean_seconds = Some(seconds);
            self.deviation_seconds = seconds / 2.0;
            return;
        };
        self.deviation_seconds += ((seconds - mean).abs() - self.deviation_seconds) * TIME_WEIGHT;
        self.mean_seconds = Some(mean + (seconds - mean) * TIME_WEIGHT);
    }

    /// The mean; `None` without measurements.
    pub fn mean(&self) -> Option<Duration> {
        Some(Duration::from_secs_f64(self.mean_seconds?))
    }

    /// A time that most stay within; `None` without measurements.
    pub fn expected(&self) -> Option<Duration> {
        Some(Duration::from_secs_f64(self.mean_seconds? + EXPECTED_DEVIATIONS * self.deviation_seconds))
    }
}

/// The time of its route's target latency for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    pub arrived: Timestamp,
    /// The target latency of its route.
    pub latency: Duration,
    /// When its caller gives up.
    pub deadline: Timestamp,
}

impl Target {
    /// Bounds the expected time to the first event, so that a request starts if there is room, however long
    /// its first event is expected to take.
    pub fn bounded(&self, expected: Duration, now: Timestamp) -> Duration {
        expected.min(self.latency).min(self.deadline.saturating_since(now))
    }

    /// Until when the first event of a request may come that takes `expected` to it, for the request to wait.
    pub fn first_event_by(&self, expected: Duration, now: Timestamp) -> Timestamp {
        let in_time = self.arrived + self.latency;
        in_time.max(now + expected).min(self.deadline)
    }
}

/// When a rejected caller should come back: at `turn`, when there will be room for it, with jitter by `draw`
/// from 0 to 1, but early enough that the caller, who has `time_left`, can still be served.
pub fn retry_after(turn: Duration, time_left: Duration, draw: f64) -> Duration {
    let useful = time_left.mul_f64(MAX_RETRY_SHARE);
    let spread = turn.mul_f64(1.0 + RETRY_JITTER * draw);
    if spread <= useful { spread } else { useful.mul_f64(1.0 - LATE_RETRY_SPREAD * draw) }
}
