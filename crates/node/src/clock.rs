//! The node's clock.

use paddlemount_clock::SteadyClock;
use paddlemount_protocol::time::Timestamp;

/// Reads the machine's clock; `core` is given its readings and never reads one itself.
///
/// It begins at the time of day, so that records can be dated, and is never set after that: whatever ends by time would
/// end early or late where the time of day jumps.
#[derive(Clone, Copy, Debug)]
pub struct Clock(SteadyClock);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self(SteadyClock::starting_at_system_time())
    }

    /// The steady clock that it reads.
    pub const fn steady(self) -> SteadyClock {
        self.0
    }

    /// The present time.
    pub fn now(self) -> Timestamp {
        self.0.now()
    }
}
