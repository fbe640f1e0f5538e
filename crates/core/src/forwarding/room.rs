//! The room that a pool of engines has for requests, and the part of it that one node may use.
//!
//! Nodes divide the room by the demand of their callers ([`super::demand`]). What the others leave unused is
//! lent in proportion. Each figure enters smoothed or in proportion, without a threshold between two modes, so
//! nodes that act on the same old figures change their limits gradually.

use std::time::Duration;

use paddlemount_protocol::{fleet::EngineCondition, time::Timestamp};

use super::prompt::Prompt;
use crate::{admission::queue::LateStart, back_off::with_jitter};

/// Requests per slot beyond a full batch, so that an engine has a next request while one is on its way.
const ON_THE_WAY_SHARE: f64 = 0.1;
/// The part of the room that is divided evenly, so that a node with new callers can begin at once.
const EVEN_SHARE: f64 = 0.2;
/// The power of the contention by which unused room is lent: callers come in bursts, and a node with a small
/// share must not hold them back while others leave much of theirs unused.
const LENDING_EXPONENT: i32 = 3;
/// The contention below which no more is lent, as engines stand idle.
const MIN_CONTENTION: f64 = 0.1;
/// The time constant of contention: longer than the reports take, so that a node does not act twice on
/// requests of which it has not heard yet.
const CONTENTION_DECAY: Duration = Duration::from_millis(600);
/// The weight of a new measurement in a moving average.
const TIME_WEIGHT: f64 = 0.1;
/// Mean deviations above the mean within which a first event is expected, as in retransmission timeouts.
const EXPECTED_DEVIATIONS: f64 = 2.0;
/// The part of the target latency after which a rejected caller has lost too much time to be served as well
/// when it comes back: from then on a request waits although it will be late.
const EARLY_REJECTION_SHARE: f64 = 0.25;
/// The part of the caller's time that a request waits at most: a caller that has waited longer for nothing is
/// left without time for anything else.
const MAX_LATE_WAIT_SHARE: f64 = 0.5;
/// The part of the usual time of a route's callers below which a caller has spent the rest on an earlier
/// attempt. A caller with little time for other reasons could not come back either.
const RETURNED_TIME_SHARE: f64 = 0.95;
/// How long the longest time of a route's callers is remembered.
const CALLER_TIME_TTL: Duration = Duration::from_secs(60);
/// The least part of a pool's rate that is assumed to be left to callers who come back, so that their times
/// stay finite while the demand exceeds the room.
const MIN_SPARE_RATE: f64 = 0.1;
/// The part of its remaining time that a caller waits at most before it comes back.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// The part of the longest useful retry time over which callers are spread whose turn would be later.
const LATE_RETRY_SPREAD: f64 = 0.5;

/// The maximum number of slots of a request, whatever the configuration says: more than any engine has, and few enough
/// to be added up.
const MAX_REQUEST_SLOTS: u32 = 1 << 16;

/// The tokens that a request takes of an engine's cache. Shared segments are stored once for all requests of an
/// engine.
pub fn request_tokens(prompt: &Prompt) -> u64 {
    u64::from(prompt.prompt_tokens.saturating_sub(prompt.shared_tokens())) + u64::from(prompt.output_tokens)
}

/// The batch slots that a request occupies: one, or more if its tokens take more of the cache than a slot's
/// part.
pub fn request_slots(tokens: u64, engine_slots: u32, cache_tokens: u64) -> u32 {
    if cache_tokens == 0 {
        return 1;
    }
    let slots = tokens as f64 * f64::from(engine_slots) / cache_tokens as f64;
    (slots.round() as u32).clamp(1, engine_slots.clamp(1, MAX_REQUEST_SLOTS))
}

/// What a node knows of an engine of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineState {
    pub slots: u32,
    /// Requests in flight there, of all nodes and of this one.
    pub in_flight: u32,
    pub own: u32,
    /// Whether it is ready, and neither loading, ejected nor suspect to this node.
    pub is_usable: bool,
    /// What all nodes know of it.
    pub condition: EngineCondition,
}

/// The engines of a pool that can take requests, and the requests there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolWork {
    pub slots: u64,
    /// Requests in flight of all nodes.
    pub in_flight: u64,
    /// Requests in flight of this node.
    pub own: u32,
}

impl PoolWork {
    /// Adds an engine. One that takes no requests is no room, and the requests that wait there use none.
    pub fn add(&mut self, engine: EngineState) {
        if !engine.is_usable || engine.condition == EngineCondition::Silent {
            return;
        }
        self.slots += u64::from(engine.slots);
        self.in_flight += u64::from(engine.in_flight);
        self.own += engine.own;
    }

    /// The part of the room that is in use.
    pub fn measured_contention(&self) -> f64 {
        self.in_flight as f64 / room(self.slots)
    }

    /// A limit that leaves out those of this node's permits whose requests wait at engines outside the room.
    pub const fn without_stuck(&self, limit: u32, permits: u32) -> u32 {
        limit.saturating_add(permits.saturating_sub(self.own))
    }
}

/// The room of engines that have `slots` batch slots together.
pub fn room(slots: u64) -> f64 {
    slots as f64 * (1.0 + ON_THE_WAY_SHARE)
}

/// The maximum share of a back end's connections in use at which nodes may exceed their even shares.
const MAX_LENT_SHARE: f64 = 0.75;

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

/// The connections to a back end that are in use, as last reported by other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    pub own: u32,
    pub total: u32,
}

/// The connections to a back end that a node keeps, in use or idle, of the `limit` for all nodes, if its callers
/// have this share of the demand: what is beyond is left to other nodes.
pub fn kept_connections(limit: u32, share: f64) -> usize {
    (f64::from(limit) * share).ceil().max(1.0) as usize
}

/// Whether a node may use another connection to a back end that takes `limit` from all nodes, of which `even`
/// are its even share. Beyond that it may use what other nodes have given up: its callers' `settled` share of the
/// demand, as long as enough connections are free for what other nodes have begun to use since they reported.
pub fn may_connect(limit: u32, even: u32, used: ConnectionUse, settled: Option<f64>) -> bool {
    if used.own < even {
        return true;
    }
    let by_demand = f64::from(limit) * settled.unwrap_or(0.0);
    f64::from(used.own) + 1.0 <= by_demand && f64::from(used.total) < f64::from(limit) * MAX_LENT_SHARE
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

/// Whether a node knows enough of the others to be limited: their demand or their number. Where it knows
/// neither, as after the start of a fleet, a share of an assumed number would reject callers of idle engines.
pub fn knows_fleet(demand: Option<DemandShare>, nodes: Option<u32>) -> bool {
    demand.is_some() || nodes.is_some()
}

/// The slots that a node's requests may hold: its share, and what others leave unused. `None` stands for an
/// unknown contention, when nothing is lent.
pub fn limit(share: f64, contention: Option<f64>) -> u32 {
    let lent = match contention {
        Some(contention) if contention < 1.0 => contention.max(MIN_CONTENTION).powi(-LENDING_EXPONENT),
        Some(contention) => 1.0 / contention,
        None => 1.0,
    };
    ((share * lent).round() as u32).max(1)
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

    /// The time to allow for, so that nearly all events come within `target`, or at least most of them where
    /// that leaves no time to wait; `None` without measurements.
    pub fn expected(&self, target: Duration) -> Option<Duration> {
        let mean = self.mean_seconds?;
        let most = Duration::from_secs_f64(mean + self.deviation_seconds);
        let nearly_all = Duration::from_secs_f64(mean + EXPECTED_DEVIATIONS * self.deviation_seconds);
        Some(if nearly_all <= target { nearly_all } else { most })
    }
}

/// The time that callers of a route usually have, by which those are recognised that come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerTime {
    longest: Duration,
    at: Timestamp,
}

impl CallerTime {
    /// Records the time of a caller. Returns whether it has come back after a rejection.
    pub fn record(&mut self, time_left: Duration, now: Timestamp) -> bool {
        if time_left >= self.longest || now.saturating_since(self.at) >= CALLER_TIME_TTL {
            *self = Self { longest: time_left, at: now };
        }
        time_left < self.longest.mul_f64(RETURNED_TIME_SHARE)
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
    /// Whether its caller has been rejected before, and will not come back again.
    pub has_returned: bool,
}

impl Target {
    /// Bounds the expected time to the first event, so that a request starts if there is room, however long
    /// its first event is expected to take.
    pub fn bounded(&self, expected: Duration, now: Timestamp) -> Duration {
        expected.min(self.latency).min(self.deadline.saturating_since(now))
    }

    /// The time in which the request may start late, rather than be rejected; `None` while the `total_demand`
    /// of callers exceeds the `room`, as each late start then keeps a request of another caller from being in
    /// time.
    pub fn late_start(&self, total_demand: f64, room: f64) -> Option<LateStart> {
        if total_demand > room {
            return None;
        }
        let early =
            if self.has_returned { Duration::ZERO } else { self.latency.mul_f64(EARLY_REJECTION_SHARE) };
        let wait = self.deadline.saturating_since(self.arrived).mul_f64(MAX_LATE_WAIT_SHARE);
        Some(LateStart { from: self.arrived + early, until: self.arrived + wait })
    }

    /// Until when the first event of a request may come that takes `expected` to it, for the request to wait.
    pub fn first_event_by(&self, expected: Duration, now: Timestamp) -> Timestamp {
        let in_time = self.arrived + self.latency;
        in_time.max(now + expected).min(self.deadline)
    }
}

/// The rate at which a pool has turns for callers that come back, of its rate in full use: what callers who
/// come for the first time leave.
pub fn spare_rate(per_second: f64, room: f64, total_demand: f64) -> f64 {
    let spare = if room > 0.0 { 1.0 - total_demand / room } else { 0.0 };
    per_second * spare.clamp(MIN_SPARE_RATE, 1.0)
}

/// When a rejected caller should come back: at `turn`, when there will be room for it, with jitter by `draw`
/// from 0 to 1, but early enough that the caller, who has `time_left`, can still be served.
pub fn retry_after(turn: Duration, time_left: Duration, draw: f64) -> Duration {
    let useful = time_left.mul_f64(MAX_RETRY_SHARE);
    let spread = with_jitter(turn, draw);
    if spread <= useful { spread } else { useful.mul_f64(1.0 - LATE_RETRY_SPREAD * draw) }
}
