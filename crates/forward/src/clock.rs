//! The steady clock. The time of day may jump and decides nothing here.

use std::time::Instant;

use paddlemount_protocol::time::Timestamp;

/// A steady clock that begins with the process.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    origin: Instant,
}

/// The reading at the process's start. Above zero, so that "long ago" can be expressed.
const START: Timestamp = Timestamp::from_millis(3_600_000);

impl SteadyClock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The present time.
    pub fn now(self) -> Timestamp {
        START + self.origin.elapsed()
    }

    /// The moment of `at` for timers of the runtime.
    pub fn instant(self, at: Timestamp) -> tokio::time::Instant {
        (self.origin + at.saturating_since(START)).into()
    }
}
