//! When a caller's connection closes.
//!
//! One decision for each way in which a connection may end: its rest, a head that never comes whole, a planned stop, and the
//! end of the process. It is made from what is seen on the connection, never from a timer alone: what has arrived is
//! answered before its connection closes.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// How long a connection must have been without a byte before a planned stop closes it. A caller that has just had an
/// answer, or has just connected, sends its next request within a few round trips.
const CLOSE_QUIET_PERIOD: Duration = Duration::from_millis(200);
/// How much longer than callers are told a connection that rests stays open.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Callers are served.
    Serving,
    /// Callers are served, and told to come on another connection next time.
    Draining,
    /// No new connection is taken. What runs is served to its end; connections that rest are closed.
    Closing,
    /// The grace period is over: what still runs is cut off.
    Ended,
}

/// What is seen on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Whether a request is being served on it.
    pub is_serving: bool,
    /// Whether a part of a head has come whose rest has not.
    pub has_partial_head: bool,
    /// Whether bytes lie unread in the socket.
    pub is_readable: bool,
    /// When the last byte came, or the last answer ended.
    pub last_activity: Timestamp,
    /// When the connection opened, or the last answer on it ended.
    pub idle_since: Timestamp,
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It stays open, and is looked at again at this time; where none is given, once its request has ended.
    KeepOpen(Option<Timestamp>),
    /// It closes: nothing of a request is on it.
    Close,
    /// It is dropped with what is on it: the rest of a head that never came, or what still runs at the end.
    Abort,
}

/// Decides on a connection, where callers may count on one that rests for `idle_timeout`.
pub fn next_action(
    state: ConnectionState,
    stage: StopStage,
    idle_timeout: Duration,
    now: Timestamp,
) -> ConnectionAction {
    if stage == StopStage::Ended {
        return ConnectionAction::Abort;
    }
    if state.is_serving {
        return ConnectionAction::KeepOpen(None);
    }
    let idle_until = match stage {
        StopStage::Serving | StopStage::Draining => state.idle_since + idle_timeout + IDLE_TIMEOUT_MARGIN,
        StopStage::Closing | StopStage::Ended => state.last_activity + CLOSE_QUIET_PERIOD,
    };
    let recheck = ConnectionAction::KeepOpen(Some(idle_until.max(now + CLOSE_QUIET_PERIOD)));
    if now < idle_until || state.is_readable {
        return recheck;
    }
    match (state.has_partial_head, stage) {
        (false, _) => ConnectionAction::Close,
        // A stop waits for the rest of a head; a head that never ends keeps a connection no longer than none at all.
        (true, StopStage::Closing) => recheck,
        (true, _) => ConnectionAction::Abort,
    }
}
