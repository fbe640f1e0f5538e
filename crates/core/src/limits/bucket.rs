//! Token bucket whose rate may change.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// The longest time to come back that a bucket states.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A token bucket. Over any interval of `t` seconds at a constant rate it grants at most `capacity + rate * t`, plus what the
/// last grant exceeds the capacity by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens at most.
    capacity: f64,
    /// Negative after a grant that exceeds the capacity.
    balance: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub const fn new(rate: f64, capacity: f64, now: Timestamp) -> Self {
        Self { rate, capacity, balance: capacity, updated: now }
    }

    /// An empty bucket that fills from `from` on.
    pub const fn empty(rate: f64, capacity: f64, from: Timestamp) -> Self {
        Self { rate, capacity, balance: 0.0, updated: from }
    }

    /// Changes rate and capacity from `now` on. What exceeds the new capacity is lost; a larger capacity begins unfilled.
    pub fn set(&mut self, rate: f64, capacity: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.balance = self.balance.min(capacity);
    }

    /// When `cost` will be granted, zero for at once. A cost above the capacity is granted by a full bucket.
    pub fn wait(&mut self, cost: f64, now: Timestamp) -> Duration {
        self.refill(now);
        self.time_until(cost, now)
    }

    /// The same as [`wait`](Self::wait), for a look that grants nothing.
    pub fn time_until(&self, cost: f64, now: Timestamp) -> Duration {
        let not_yet_filling = self.updated.saturating_since(now);
        let missing = cost.min(self.capacity) - self.balance_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.rate.max(f64::MIN_POSITIVE);
        let filling = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_RETRY_AFTER);
        not_yet_filling.saturating_add(filling).min(LONGEST_RETRY_AFTER)
    }

    /// Takes `cost`; to be called only where [`wait`](Self::wait) is zero.
    pub fn take(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Gives back what was taken and not used.
    pub fn refund(&mut self, tokens: f64) {
        self.balance = (self.balance + tokens).min(self.capacity);
    }

    /// Tokens a second.
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
