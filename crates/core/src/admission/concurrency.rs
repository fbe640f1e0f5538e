//! Adaptive limit of one node's requests in flight to one pool.
//!
//! Many nodes send to the same engines and do not talk about it. Each observes how long its requests queue at the engines and follows
//! additive increase, multiplicative decrease: the queues at the engines stay short, waiting moves into the nodes' own queues where tenants
//! are told apart, and the nodes' limits approach each other.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// How many times its length an interval lasts at most while observations are few.
pub const MAX_INTERVAL_FACTOR: u32 = 5;

/// Settings of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencySettings {
    /// Queueing at the engines above which the limit falls.
    pub target_queueing: Duration,
    /// Time over which observations are averaged; the limit changes once in it at most.
    pub interval: Duration,
    /// Observations that an average needs; with fewer, the interval goes on up to [`MAX_INTERVAL_FACTOR`] times its length.
    pub samples: u32,
    /// Requests that are added after an interval in which the limit held requests back.
    pub increase: f64,
    /// The smallest factor of one decrease, from 0.0 to 1.0.
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

/// A limit of requests in flight.
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
    /// A limit for a pool with `slots` places in its engines' batches, shared by `nodes` nodes. It begins at an even share, so that a herd
    /// of restarted nodes does not overrun the engines.
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

    /// Requests that may be in flight; at least 1.
    pub const fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Changes the places that the pool has. A pool that shrinks takes the limit with it; one that grows lets it rise.
    pub fn set_slots(&mut self, slots: u32) {
        let ceiling = f64::from(slots.max(1));
        if ceiling < self.ceiling {
            self.limit = (self.limit * ceiling / self.ceiling).max(1.0);
        }
        self.ceiling = ceiling;
    }

    /// A request had to wait because the limit was reached.
    pub const fn mark_reached(&mut self) {
        self.reached = true;
    }

    /// A request that was sent at `sent` queued at its engine for `queueing`.
    pub fn observe(&mut self, sent: Timestamp, queueing: Duration, now: Timestamp) {
        // What was sent before the last decrease says nothing about the present limit.
        if sent >= self.decreased {
            self.samples += 1;
            self.queueing += queueing;
        }
        let passed = now.saturating_since(self.interval_start);
        let enough = passed >= self.settings.interval && self.samples >= self.settings.samples;
        let longest = passed >= self.settings.interval * MAX_INTERVAL_FACTOR && self.samples > 0;
        if enough || longest {
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
