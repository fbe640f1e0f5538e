//! A monotonic clock that includes the time for which the machine was suspended.
//!
//! `std::time::Instant` and the runtime's timers stop while a machine is suspended, so a lease, fence, quota
//! or configuration age measured by them would outlive its deadline. Deadlines are therefore compared with
//! this clock, and waits use [`SteadyClock::timeout_at`], which reads the clock again after a suspension.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use paddlemount_protocol::time::Timestamp;

/// The longest single timer of a wait, and so the longest delay before a wait notices a suspension.
const MAX_TIMER_WAIT: Duration = Duration::from_millis(500);

/// A source of time: the time elapsed since an arbitrary origin; it never decreases.
pub type Source = fn() -> Duration;

/// A monotonic clock that includes suspension and is never adjusted.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    source: Source,
    origin: Duration,
    start: Timestamp,
}

impl SteadyClock {
    /// Creates a clock that reads `start` now.
    pub fn starting_at(start: Timestamp) -> Self {
        Self::with_source(since_boot, start)
    }

    /// Creates a clock that reads the system's time of day now; later adjustments of it are ignored.
    pub fn starting_at_system_time() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::starting_at(Timestamp::ZERO + since_epoch)
    }

    /// Creates a clock that reads `start` now and advances with `source`.
    pub fn with_source(source: Source, start: Timestamp) -> Self {
        Self { source, origin: source(), start }
    }

    /// Returns the current time.
    pub fn now(self) -> Timestamp {
        self.start + (self.source)().saturating_sub(self.origin)
    }

    /// Waits until `at`. Time in suspension counts.
    pub async fn sleep_until(self, at: Timestamp) {
        loop {
            let remaining = at.saturating_since(self.now());
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining.min(MAX_TIMER_WAIT)).await;
        }
    }

    /// Returns the output of `future`, or `None` if it is not ready by `deadline`. Time in suspension counts.
    pub async fn timeout_at<T>(self, deadline: Timestamp, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(deadline) => None,
        }
    }

    /// Returns the output of `future`, or `None` if it is not ready after `duration`. Time in suspension
    /// counts.
    pub async fn timeout<T>(self, duration: Duration, future: impl Future<Output = T>) -> Option<T> {
        self.timeout_at(self.now() + duration, future).await
    }
}

/// The time since the machine booted, including suspensions.
fn since_boot() -> Duration {
    // Linux has this clock since 2.6.39. A default reading would keep leases forever, so a failure panics.
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
    Duration::from(read)
}
