//! Passive health checks of engines: outlier ejection, half-open probes and slow start.
//!
//! An engine is ejected after consecutive failures, or when the failure ratio within a window exceeds a
//! threshold. After the ejection time one request at a time is let through as a probe: success closes the
//! circuit, failure ejects the engine for twice as long. A returning engine gets a rising share of requests
//! during slow start.
//!
//! At most a share of a pool is ejected at the same time. If more engines fail, the engines are probably not
//! the cause, and ejecting them would overload the remaining ones. A refused connection ejects an engine
//! regardless of that limit, because nothing listens at its address.
//!
//! Failures are broken connections, broken streams and answers that did not begin in time. A refusal is no
//! failure, because the engine responded.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{EngineId, Incarnation, PoolId},
    time::Timestamp,
};

/// Settings of [`Health`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Consecutive failures that eject an engine.
    pub consecutive_failures: u32,
    /// Failure ratio within the window that ejects an engine, from 0.0 to 1.0.
    pub failure_ratio: f64,
    /// Minimum number of results within the window for the ratio to apply.
    pub min_ratio_results: u32,
    /// Length of the window of the failure ratio.
    pub window: Duration,
    /// Duration of the first ejection. Doubles after each failed probe.
    pub ejection: Duration,
    pub max_ejection: Duration,
    /// Maximum share of a pool that is ejected, from 0.0 to 1.0.
    pub max_ejected_share: f64,
    /// A probe without a result after this time counts as failed.
    pub probe_timeout: Duration,
    /// Time until a returning engine gets its full share of requests.
    pub slow_start: Duration,
    /// The share at the beginning of slow start, from 0.0 to 1.0.
    pub slow_start_floor: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            failure_ratio: 0.5,
            min_ratio_results: 10,
            window: Duration::from_secs(10),
            ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            max_ejected_share: 0.5,
            probe_timeout: Duration::from_secs(10),
            slow_start: Duration::from_secs(5),
            slow_start_floor: 0.1,
        }
    }
}

/// An observation about an engine.
#[derive(Clone, Copy, Debug)]
pub enum HealthEvent<'a> {
    /// The engine exists in this incarnation. May be repeated.
    Observed { pool: &'a PoolId, incarnation: Incarnation },
    /// A request was sent to the engine.
    Dispatched,
    /// The answer to a request began in time.
    Succeeded,
    /// A connection or stream broke, or the answer timed out.
    Failed,
    /// The engine's address refused a connection.
    Unreachable,
    /// The request was cancelled or refused, which says nothing about the engine's health.
    Inconclusive,
    /// The engine no longer exists.
    Removed,
}

/// Whether an engine may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    Usable,
    /// The engine is in slow start and this request is outside its current share.
    SlowStart {
        /// Current share of requests, from 0.0 to 1.0.
        weight: f64,
    },
    /// The circuit is half-open: this request may be the probe.
    Probe,
    Ejected {
        /// When a probe will be let through.
        until: Timestamp,
    },
}

impl Availability {
    /// Whether the request may be sent.
    pub const fn admits(self) -> bool {
        matches!(self, Self::Usable | Self::Probe)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Circuit {
    Closed,
    SlowStart { since: Timestamp },
    Open { until: Timestamp },
    HalfOpen { probe_sent: Timestamp },
}

#[derive(Clone, Debug)]
struct EngineHealth {
    pool: PoolId,
    incarnation: Incarnation,
    circuit: Circuit,
    consecutive_failures: u32,
    window_start: Timestamp,
    window_results: u32,
    window_failures: u32,
    ejections: u32,
}

impl EngineHealth {
    fn new(pool: PoolId, incarnation: Incarnation, circuit: Circuit, now: Timestamp) -> Self {
        Self {
            pool,
            incarnation,
            circuit,
            consecutive_failures: 0,
            window_start: now,
            window_results: 0,
            window_failures: 0,
            ejections: 0,
        }
    }

    fn reset_results(&mut self, now: Timestamp) {
        self.consecutive_failures = 0;
        self.window_start = now;
        self.window_results = 0;
        self.window_failures = 0;
    }

    fn record_result(&mut self, failed: bool, window: Duration, now: Timestamp) {
        if now.saturating_since(self.window_start) >= window {
            self.window_start = now;
            self.window_results = 0;
            self.window_failures = 0;
        }
        self.window_results += 1;
        self.window_failures += u32::from(failed);
        self.consecutive_failures = if failed { self.consecutive_failures + 1 } else { 0 };
    }

    fn is_outlier(&self, settings: &HealthSettings) -> bool {
        let ratio = f64::from(self.window_failures) / f64::from(self.window_results.max(1));
        let by_ratio = self.window_results >= settings.min_ratio_results && ratio >= settings.failure_ratio;
        by_ratio || self.consecutive_failures >= settings.consecutive_failures
    }

    const fn is_ejected(&self) -> bool {
        matches!(self.circuit, Circuit::Open { .. } | Circuit::HalfOpen { .. })
    }
}

/// The health of all engines as observed by one node.
#[derive(Clone, Debug)]
pub struct Health {
    settings: HealthSettings,
    engines: BTreeMap<EngineId, EngineHealth>,
    first_seen: BTreeMap<PoolId, Timestamp>,
}

impl Health {
    /// Creates a state without engines.
    pub fn new(settings: HealthSettings) -> Self {
        Self { settings, engines: BTreeMap::new(), first_seen: BTreeMap::new() }
    }

    /// Applies an event that concerns `engine`.
    pub fn apply(&mut self, engine: &EngineId, event: HealthEvent<'_>, now: Timestamp) {
        match event {
            HealthEvent::Observed { pool, incarnation } => self.observed(engine, pool, incarnation, now),
            HealthEvent::Dispatched => self.dispatched(engine, now),
            HealthEvent::Succeeded => self.succeeded(engine, now),
            HealthEvent::Failed => self.failed(engine, now),
            HealthEvent::Unreachable => self.unreachable(engine, now),
            HealthEvent::Inconclusive => self.inconclusive(engine, now),
            HealthEvent::Removed => {
                self.engines.remove(engine);
            }
        }
    }

    /// Returns whether a request may be sent to `engine`. `draw` is a number from 0.0 to 1.0 that is fixed
    /// per request and engine, for example a hash of both. It selects the requests that a returning engine
    /// gets.
    ///
    /// Unknown engines are usable, because other code decides which engines exist.
    pub fn availability(&self, engine: &EngineId, draw: f64, now: Timestamp) -> Availability {
        let Some(health) = self.engines.get(engine) else { return Availability::Usable };
        match health.circuit {
            Circuit::Closed => Availability::Usable,
            Circuit::SlowStart { since } => {
                let weight = self.slow_start_weight(since, now);
                if draw < weight { Availability::Usable } else { Availability::SlowStart { weight } }
            }
            Circuit::Open { until } if now >= until => Availability::Probe,
            Circuit::Open { until } => Availability::Ejected { until },
            Circuit::HalfOpen { probe_sent } => {
                let until = probe_sent + self.settings.probe_timeout;
                if now >= until { Availability::Probe } else { Availability::Ejected { until } }
            }
        }
    }

    /// Returns the share of requests that `engine` gets: 1.0 if healthy, 0.0 if ejected, in between during
    /// slow start.
    pub fn weight(&self, engine: &EngineId, now: Timestamp) -> f64 {
        match self.engines.get(engine).map(|health| health.circuit) {
            None | Some(Circuit::Closed) => 1.0,
            Some(Circuit::SlowStart { since }) => self.slow_start_weight(since, now),
            Some(Circuit::Open { .. } | Circuit::HalfOpen { .. }) => 0.0,
        }
    }

    /// Returns the ejected engines of `pool`, including half-open ones.
    pub fn ejected(&self, pool: &PoolId) -> Vec<EngineId> {
        let of_pool = self.engines.iter().filter(|(_, health)| health.pool == *pool);
        of_pool.filter(|(_, health)| health.is_ejected()).map(|(engine, _)| engine.clone()).collect()
    }

    fn slow_start_weight(&self, since: Timestamp, now: Timestamp) -> f64 {
        let duration = self.settings.slow_start.as_secs_f64();
        if duration <= 0.0 {
            return 1.0;
        }
        let progress = now.saturating_since(since).as_secs_f64() / duration;
        let floor = self.settings.slow_start_floor;
        (floor + (1.0 - floor) * progress).min(1.0)
    }

    fn observed(&mut self, engine: &EngineId, pool: &PoolId, incarnation: Incarnation, now: Timestamp) {
        let pool_first_seen = *self.first_seen.entry(pool.clone()).or_insert(now);
        // For a node that has just started all engines are new, so none of them gets slow start.
        let node_is_new = now.saturating_since(pool_first_seen) < self.settings.slow_start;
        match self.engines.get_mut(engine) {
            None => {
                let circuit = if node_is_new { Circuit::Closed } else { Circuit::SlowStart { since: now } };
                let health = EngineHealth::new(pool.clone(), incarnation, circuit, now);
                self.engines.insert(engine.clone(), health);
            }
            Some(health) if incarnation > health.incarnation => {
                let circuit = Circuit::SlowStart { since: now };
                *health = EngineHealth::new(pool.clone(), incarnation, circuit, now);
            }
            Some(health) => health.pool = pool.clone(),
        }
    }

    fn dispatched(&mut self, engine: &EngineId, now: Timestamp) {
        let probe_timeout = self.settings.probe_timeout;
        let Some(health) = self.engines.get_mut(engine) else { return };
        let is_probe = match health.circuit {
            Circuit::Open { until } => now >= until,
            Circuit::HalfOpen { probe_sent } => now >= probe_sent + probe_timeout,
            Circuit::Closed | Circuit::SlowStart { .. } => false,
        };
        if is_probe {
            health.circuit = Circuit::HalfOpen { probe_sent: now };
        }
    }

    fn succeeded(&mut self, engine: &EngineId, now: Timestamp) {
        let settings = self.settings;
        let Some(health) = self.engines.get_mut(engine) else { return };
        match health.circuit {
            // A late answer to a request sent before the ejection is not a probe.
            Circuit::Open { .. } => {}
            Circuit::HalfOpen { .. } => {
                health.reset_results(now);
                health.circuit = Circuit::SlowStart { since: now };
            }
            Circuit::SlowStart { since } => {
                health.record_result(false, settings.window, now);
                if now.saturating_since(since) >= settings.slow_start {
                    health.circuit = Circuit::Closed;
                    health.ejections = 0;
                }
            }
            Circuit::Closed => health.record_result(false, settings.window, now),
        }
    }

    fn failed(&mut self, engine: &EngineId, now: Timestamp) {
        let settings = self.settings;
        let may_eject = self.may_eject(engine);
        let Some(health) = self.engines.get_mut(engine) else { return };
        match health.circuit {
            Circuit::Open { .. } => {}
            Circuit::HalfOpen { .. } => health.eject(&settings, now),
            Circuit::Closed | Circuit::SlowStart { .. } => {
                health.record_result(true, settings.window, now);
                if may_eject && health.is_outlier(&settings) {
                    health.eject(&settings, now);
                }
            }
        }
    }

    fn unreachable(&mut self, engine: &EngineId, now: Timestamp) {
        let settings = self.settings;
        let Some(health) = self.engines.get_mut(engine) else { return };
        if !matches!(health.circuit, Circuit::Open { .. }) {
            health.eject(&settings, now);
        }
    }

    fn inconclusive(&mut self, engine: &EngineId, now: Timestamp) {
        let Some(health) = self.engines.get_mut(engine) else { return };
        if matches!(health.circuit, Circuit::HalfOpen { .. }) {
            // The next request becomes the probe instead.
            health.circuit = Circuit::Open { until: now };
        }
    }

    fn may_eject(&self, engine: &EngineId) -> bool {
        let Some(pool) = self.engines.get(engine).map(|health| &health.pool) else { return false };
        let of_pool = self.engines.values().filter(|health| health.pool == *pool);
        let (size, ejected) = of_pool.fold((0_u32, 0_u32), |(size, ejected), health| {
            (size + 1, ejected + u32::from(health.is_ejected()))
        });
        f64::from(ejected + 1) <= f64::from(size) * self.settings.max_ejected_share
    }
}

impl EngineHealth {
    fn eject(&mut self, settings: &HealthSettings, now: Timestamp) {
        let doublings = self.ejections.min(16);
        let duration = settings.ejection.saturating_mul(1 << doublings).min(settings.max_ejection);
        self.ejections += 1;
        self.reset_results(now);
        self.circuit = Circuit::Open { until: now + duration };
    }
}
