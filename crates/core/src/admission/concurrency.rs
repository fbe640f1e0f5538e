//! Adaptive limit on one node's requests in flight to one pool.
//!
//! Many nodes send to the same engines without coordination. Each observes how long its requests queue at the
//! engines and adjusts its limit by additive increase and multiplicative decrease. Queues at the engines stay
//! short, waiting moves into the nodes' own queues, which distinguish tenants, and the nodes' limits
//! converge.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Maximum length of an interval with few observations, as a multiple of the configured length.
pub const MAX_INTERVAL_FACTOR: u32 = 5;

/// Settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencySettings {
    /// Mean queueing time at the engines above which the limit decreases.
    pub target_queueing: Duration,
    /// Interval over which observations are averaged; the limit changes at most once per interval.
    pub interval: Duration,
    /// Minimum number of observations per interval; with fewer, the interval is extended up to
    /// [`MAX_INTERVAL_FACTOR`] times its length.
    pub samples: u32,
    /// Increase after an interval in which the limit was reached.
    pub increase: f64,
    /// Minimum factor of one decrease, from 0.0 to 1.0.
    pub decrease: f64,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            target_queueing: Duration::from_millis(200),
            interval: Duration::from_millis(200),
            samples: 8,
            increase: 1.0,
            decrease: 0.9,
        }
    }
}

/// An adaptive limit on requests in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    settings: ConcurrencySettings,
    limit: f64,
    ceiling: f64,
    interval_start: Timestamp,
    decreased: Timestamp,
    samples: u32,
    queueing: Duration,
    reached: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit for a pool with `slots` batch slots, shared by `nodes` nodes. It starts at an even
    /// share, so that nodes restarting together do not overload the engines.
    pub fn new(settings: ConcurrencySettings, slots: u32, nodes: u32, now: Timestamp) -> Self {
        let ceiling = f64::from(slots.max(1));
        let limit = (ceiling / f64::from(nodes.max(1))).max(1.0);
        Self {
            settings,
            limit,
            ceiling,
            interval_start: now,
            decreased: now,
            samples: 0,
            queueing: Duration::ZERO,
            reached: false,
        }
    }

    /// Returns the number of requests that may be in flight, at least 1.
    pub const fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the pool's number of batch slots. The limit shrinks in proportion with the pool, and may rise if
    /// the pool grows.
    pub fn set_slots(&mut self, slots: u32) {
        let ceiling = f64::from(slots.max(1));
        if ceiling < self.ceiling {
            self.limit = (self.limit * ceiling / self.ceiling).max(1.0);
        }
        self.ceiling = ceiling;
    }

    /// Records that a request had to wait because of the limit.
    pub const fn mark_reached(&mut self) {
        self.reached = true;
    }

    /// Records that a request sent at `sent` queued at its engine for `queueing`.
    pub fn observe(&mut self, sent: Timestamp, queueing: Duration, now: Timestamp) {
        // Requests sent before the last decrease say nothing about the current limit.
        if sent >= self.decreased {
            self.samples += 1;
            self.queueing += queueing;
        }
        let passed = now.saturating_since(self.interval_start);
        let complete = passed >= self.settings.interval && self.samples >= self.settings.samples;
        let extended = passed >= self.settings.interval * MAX_INTERVAL_FACTOR && self.samples > 0;
        if complete || extended {
            self.close_interval(now);
        }
    }

    fn close_interval(&mut self, now: Timestamp) {
        let mean = self.queueing.as_secs_f64() / f64::from(self.samples);
        let target = self.settings.target_queueing.as_secs_f64();
        if mean > target {
            let factor = (target / mean).max(self.settings.decrease);
            self.limit = (self.limit * factor).max(1.0);
            self.decreased = now;
        } else if self.reached {
            self.limit = (self.limit + self.settings.increase).min(self.ceiling);
        }
        self.interval_start = now;
        self.samples = 0;
        self.queueing = Duration::ZERO;
        self.reached = false;
    }
}
