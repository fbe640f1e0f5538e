//! A token bucket whose rate and capacity can change.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// Upper bound of the wait that a bucket reports.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A token bucket.
///
/// Over any interval of `t` seconds at a constant rate it grants at most `capacity + rate * t`, plus the
/// amount by which the last grant exceeds the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    capacity: f64,
    /// Negative after a grant that exceeds the capacity.
    balance: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub const fn new(rate: f64, capacity: f64, now: Timestamp) -> Self {
        Self { rate, capacity, balance: capacity, updated: now }
    }

    /// Creates an empty bucket that fills from `from` on.
    pub const fn empty(rate: f64, capacity: f64, from: Timestamp) -> Self {
        Self { rate, capacity, balance: 0.0, updated: from }
    }

    /// Changes rate and capacity from `now` on. Tokens above the new capacity are dropped; added capacity
    /// starts empty.
    pub fn set(&mut self, rate: f64, capacity: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.balance = self.balance.min(capacity);
    }

    /// Returns the time until `cost` can be granted, zero if it can be granted now. A cost above the capacity
    /// is granted by a full bucket.
    pub fn wait(&mut self, cost: f64, now: Timestamp) -> Duration {
        self.refill(now);
        self.time_until(cost, now)
    }

    /// Like [`wait`](Self::wait), but leaves the bucket unchanged.
    pub fn time_until(&self, cost: f64, now: Timestamp) -> Duration {
        let until_filling = self.updated.saturating_since(now);
        let missing = cost.min(self.capacity) - self.balance_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.rate.max(f64::MIN_POSITIVE);
        let filling = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        until_filling.saturating_add(filling).min(MAX_RETRY_AFTER)
    }

    /// Takes `cost` tokens. Call only when [`wait`](Self::wait) returns zero.
    pub fn take(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Returns unused tokens to the bucket.
    pub fn refund(&mut self, tokens: f64) {
        self.balance = (self.balance + tokens).min(self.capacity);
    }

    /// Returns the rate in tokens per second.
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    fn balance_at(&self, now: Timestamp) -> f64 {
        let passed = now.saturating_since(self.updated).as_secs_f64();
        (self.balance + passed * self.rate).min(self.capacity)
    }

    fn refill(&mut self, now: Timestamp) {
        self.balance = self.balance_at(now);
        self.updated = self.updated.max(now);
    }
}
