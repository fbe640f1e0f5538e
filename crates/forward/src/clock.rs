//! The monotonic clock. No decision depends on the time of day, which may jump.

pub use paddlemount_clock::SteadyClock;
use paddlemount_protocol::time::Timestamp;

/// The clock's reading at process start. Above zero, so that earlier times can be expressed.
const START: Timestamp = Timestamp::from_millis(3_600_000);

/// A clock that starts with the process.
pub fn start() -> SteadyClock {
    SteadyClock::starting_at(START)
}
