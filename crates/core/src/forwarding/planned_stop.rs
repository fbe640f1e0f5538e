//! What a node that was told to stop still begins.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// The longest time in which callers are still taken after a signal to stop.
const MAX_DRAIN_PERIOD: Duration = Duration::from_millis(2_600);
/// How much sooner than it is killed the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Until when callers are taken.
    pub accepts_until: Timestamp,
    /// When the process ends at the latest.
    pub ends_at: Timestamp,
}

impl PlannedStop {
    /// A stop that was told at `told_at`, of a process that is killed after `grace`.
    pub fn with_grace_period(signaled_at: Timestamp, grace: Duration) -> Self {
        Self::new(signaled_at, Self::drain_period(grace), grace.saturating_sub(EXIT_MARGIN))
    }

    /// How long callers are still taken after a signal, where the process is killed after `grace`.
    pub fn drain_period(grace: Duration) -> Duration {
        MAX_DRAIN_PERIOD.min(grace.saturating_sub(EXIT_MARGIN) * 2 / 5)
    }

    /// A stop that was told at `told_at`, takes callers for `leaving` and ends after `grace`.
    pub fn new(signaled_at: Timestamp, drain_period: Duration, grace: Duration) -> Self {
        Self { accepts_until: signaled_at + drain_period.min(grace), ends_at: signaled_at + grace }
    }

    /// Whether a request may begin whose answer is expected to take `expected`, and whose caller waits for `waits`. What
    /// its caller waits for no longer than the process lives may begin in any case. While callers are taken the others
    /// may where the answer is expected to end in time, or nothing is known of it; after that none does.
    pub fn may_start(&self, expected: Option<Duration>, caller_timeout: Duration, now: Timestamp) -> bool {
        let remaining = self.ends_at.saturating_since(now);
        if remaining.is_zero() {
            return false;
        }
        if caller_timeout <= remaining {
            return true;
        }
        // What comes later comes on connections whose callers have had no answer since the signal. They can be told to go
        // elsewhere at once, which costs them a round trip, while no guess of a length is certain: a stream that was
        // expected to end with a quarter of the time to spare ran for four seconds and was cut.
        now < self.accepts_until && expected.is_none_or(|expected| expected <= remaining)
    }

    /// How long callers may count on a connection that rests, in whole seconds: those that had an answer before the signal
    /// do not use it any more when resting connections close. Nothing where that would be less than a second.
    pub fn keep_alive_seconds(drain_period: Duration) -> Option<u64> {
        Some(drain_period.as_secs()).filter(|seconds| *seconds > 0)
    }
}
