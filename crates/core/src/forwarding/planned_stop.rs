//! The deadlines of a planned stop, and which requests may still start.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::document::RouteKind;

/// The maximum time for which callers are still served normally after a signal to stop.
const MAX_DRAIN_PERIOD: Duration = Duration::from_millis(2_600);
/// How long before it would be killed the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// The deadlines of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Until when new callers are accepted.
    pub accepts_until: Timestamp,
    /// The latest time at which the process exits.
    pub ends_at: Timestamp,
}

impl PlannedStop {
    /// A stop that was signaled at `signaled_at`, of a process that is killed after `grace`.
    pub fn with_grace_period(signaled_at: Timestamp, grace: Duration) -> Self {
        Self::new(signaled_at, Self::drain_period(grace), grace.saturating_sub(EXIT_MARGIN))
    }

    /// How long callers are still accepted after a signal, if the process is killed after `grace`.
    pub fn drain_period(grace: Duration) -> Duration {
        MAX_DRAIN_PERIOD.min(grace.saturating_sub(EXIT_MARGIN) * 2 / 5)
    }

    /// A stop that was signaled at `signaled_at`, accepts callers for `drain_period` and ends after `grace`.
    pub fn new(signaled_at: Timestamp, drain_period: Duration, grace: Duration) -> Self {
        Self { accepts_until: signaled_at + drain_period.min(grace), ends_at: signaled_at + grace }
    }

    /// Whether a request may start that is expected to take `expected`, and whose caller waits for
    /// `caller_timeout`. A request may always start if its caller gives up before the process exits. Others
    /// may start only while callers are accepted, if the answer is expected to end in time or its duration is
    /// unknown, and if their callers may send them again.
    pub fn may_start(
        &self,
        kind: RouteKind,
        expected: Option<Duration>,
        caller_timeout: Duration,
        now: Timestamp,
    ) -> bool {
        let remaining = self.ends_at.saturating_since(now);
        if remaining.is_zero() {
            return false;
        }
        if caller_timeout <= remaining {
            return true;
        }
        // Requests that come later are on connections without an answer since the signal. Their callers can
        // be redirected at the cost of a round trip, whereas an answer that exceeds its estimate would be cut
        // off.
        kind != RouteKind::AtMostOnce
            && now < self.accepts_until
            && expected.is_none_or(|expected| expected <= remaining)
    }

    /// The idle timeout advertised to callers, in whole seconds, so that they stop using a connection before
    /// idle ones are closed. `None` if that would be less than a second.
    pub fn keep_alive_seconds(drain_period: Duration) -> Option<u64> {
        Some(drain_period.as_secs()).filter(|seconds| *seconds > 0)
    }
}
