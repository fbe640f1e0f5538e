//! The clock by which processes count time: steady, and counting the time in which the machine is suspended.
//!
//! `std::time::Instant` and the timers of the runtime stand still while a machine is suspended. A lease, a fence, a quota
//! or the age of a configuration that is counted by them goes on holding after the machine wakes, though all others have
//! counted on. So whatever ends by time is compared with this clock, and what waits for a moment waits by
//! [`SteadyClock::timeout_at`], which looks at the clock again after a suspension.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use paddlemount_protocol::time::Timestamp;

/// How long a wait may go on without a look at the clock.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Where a clock reads: the time since some moment, which never goes back.
pub type Source = fn() -> Duration;

/// A clock that is never set, and that counts suspension.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    source: Source,
    origin: Duration,
    start: Timestamp,
}

impl SteadyClock {
    /// A clock that begins now, at `start`.
    pub fn starting_at(start: Timestamp) -> Self {
        Self::with_source(since_boot, start)
    }

    /// A clock that begins now, at the time of day.
    pub fn starting_at_system_time() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::starting_at(Timestamp::ZERO + since_epoch)
    }

    /// A clock that begins now, at `start`, and reads `source`.
    pub fn with_source(source: Source, start: Timestamp) -> Self {
        Self { source, origin: source(), start }
    }

    /// The present time.
    pub fn now(self) -> Timestamp {
        self.start + (self.source)().saturating_sub(self.origin)
    }

    /// Waits until `at`; a suspension counts.
    pub async fn sleep_until(self, at: Timestamp) {
        loop {
            let left = at.saturating_since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(LONGEST_WAIT)).await;
        }
    }

    /// What comes of `future`; nothing where it has not ended by `until`. A suspension counts.
    pub async fn timeout_at<T>(self, until: Timestamp, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = future => Some(done),
            () = self.sleep_until(until) => None,
        }
    }

    /// What comes of `future`; nothing where it has not ended after `patience`. A suspension counts.
    pub async fn timeout<T>(self, patience: Duration, future: impl Future<Output = T>) -> Option<T> {
        self.timeout_at(self.now() + patience, future).await
    }
}

/// The time since the machine's start, with all suspensions.
fn since_boot() -> Duration {
    // Every Linux since 2.6.39 has this clock; a reading of zero keeps leases for ever, so it must not go unnoticed.
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a clock that counts suspension");
    Duration::from(read)
}
