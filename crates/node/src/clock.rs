//! The node's clock.

use paddlemount_clock::SteadyClock;
use paddlemount_protocol::time::Timestamp;

/// The node's clock; `core` is given its readings and reads no clock itself.
///
/// It starts at the system time, so that records can be dated, and is monotonic from then on, so that
/// timeouts do not depend on changes of the system time.
#[derive(Clone, Copy, Debug)]
pub struct Clock(SteadyClock);

impl Clock {
    /// Starts a clock at the system time.
    pub fn start() -> Self {
        Self(SteadyClock::starting_at_system_time())
    }

    /// The underlying monotonic clock.
    pub const fn steady(self) -> SteadyClock {
        self.0
    }

    /// The current time.
    pub fn now(self) -> Timestamp {
        self.0.now()
    }
}
