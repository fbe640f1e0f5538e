//! Decides when a caller's connection closes.
//!
//! A connection may end when it is idle, when a request head is never completed, in a planned stop, and at
//! the end of the process. The decision depends on the state of the connection, never on a timer alone: a
//! request that has arrived is answered before its connection closes.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

/// How long a connection must have been without activity before a planned stop closes it. A caller that has
/// just received an answer sends its next request within a few round trips.
const CLOSE_QUIET_PERIOD: Duration = Duration::from_millis(200);
/// The same for a connection without a request so far: its caller has opened it to send one, and may be slow.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection must have rested before it closes to make place for another one. Its caller has just opened it,
/// or has just received an answer.
const RECLAIM_IDLE_PERIOD: Duration = Duration::from_millis(200);
/// How much longer than the advertised idle timeout an idle connection stays open.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// How long a caller may take nothing of an answer that waits for it. It keeps memory, and the back end of a stream, from
/// others.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How much longer than the configured timeout the rest of a request's head may take, for packets that are lost and sent
/// again.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// The configured timeouts of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// How long a connection may be idle, as callers are told.
    pub idle: Duration,
    /// How long the head of a request may take from its first byte.
    pub head: Duration,
}

/// The stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Requests are served.
    Serving,
    /// Requests are served, and callers are asked to use another connection next time.
    Draining,
    /// No new connection is accepted. Running requests complete; idle connections are closed.
    Closing,
    /// The grace period is over: requests that still run are cut off.
    Ended,
}

/// The observed state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Whether no request has arrived yet.
    pub is_new: bool,
    /// Whether a request is being served.
    pub is_serving: bool,
    /// Whether a request head has been received in part.
    pub has_partial_head: bool,
    /// When the first byte of that head arrived.
    pub head_began_at: Timestamp,
    /// Whether the socket has unread bytes.
    pub is_readable: bool,
    /// Whether another connection needs its place.
    pub is_reclaimed: bool,
    /// Since when its caller has taken nothing of an answer; `None` while nothing waits to be written.
    pub write_blocked_since: Option<Timestamp>,
    /// When the last byte arrived, or the last answer ended.
    pub last_activity: Timestamp,
    /// When the connection opened, or the last answer on it ended.
    pub idle_since: Timestamp,
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Keep it open, and check it again at this time; without a time, once its request has ended or its answer waits.
    KeepOpen(Option<Timestamp>),
    /// Close it gracefully: it carries no part of a request.
    Close,
    /// Drop it together with an incomplete request head, with an answer that is not taken, or with a request that still
    /// runs at the end.
    Abort,
}

/// Decides what to do with a connection.
pub fn next_action(
    state: ConnectionState,
    stage: StopStage,
    timeouts: ConnectionTimeouts,
    now: Timestamp,
) -> ConnectionAction {
    if stage == StopStage::Ended {
        return ConnectionAction::Abort;
    }
    if state.is_serving || state.write_blocked_since.is_some() {
        return while_answering(state, now);
    }
    let idle_until = match stage {
        StopStage::Serving | StopStage::Draining => open_until(state, timeouts),
        StopStage::Closing | StopStage::Ended if state.is_new => state.last_activity + FIRST_REQUEST_TIMEOUT,
        StopStage::Closing | StopStage::Ended => state.last_activity + CLOSE_QUIET_PERIOD,
    };
    let idle_until = if state.is_reclaimed && is_reclaimable(state, now) { now } else { idle_until };
    let recheck = ConnectionAction::KeepOpen(Some(idle_until.max(now + CLOSE_QUIET_PERIOD)));
    if now < idle_until || state.is_readable {
        return recheck;
    }
    match (state.has_partial_head, stage) {
        (false, _) => ConnectionAction::Close,
        // A planned stop waits for the rest of a request head. Otherwise an incomplete head keeps a
        // connection open no longer than an idle one.
        (true, StopStage::Closing) => recheck,
        (true, _) => ConnectionAction::Abort,
    }
}

/// Whether a connection carries neither a request nor an answer and has rested for so long that it may close to make
/// place for another one. A request that crosses the close is not read, and its caller sends it again.
pub fn is_reclaimable(state: ConnectionState, now: Timestamp) -> bool {
    let rested = now.saturating_since(state.last_activity) >= RECLAIM_IDLE_PERIOD;
    let is_free = !state.is_serving && !state.has_partial_head && state.write_blocked_since.is_none();
    rested && is_free
}

/// Decides while a request is being served, or while the rest of its answer waits in a buffer.
fn while_answering(state: ConnectionState, now: Timestamp) -> ConnectionAction {
    let stalled_at = state.write_blocked_since.map(|since| since + WRITE_STALL_TIMEOUT);
    match stalled_at {
        Some(stalled_at) if stalled_at <= now => ConnectionAction::Abort,
        // Nothing reports when the rest has been taken.
        Some(stalled_at) if !state.is_serving => {
            ConnectionAction::KeepOpen(Some(stalled_at.min(now + CLOSE_QUIET_PERIOD)))
        }
        recheck_at => ConnectionAction::KeepOpen(recheck_at),
    }
}

/// Until when a connection without a request stays open while requests are served.
fn open_until(state: ConnectionState, timeouts: ConnectionTimeouts) -> Timestamp {
    let idle_until = state.idle_since + timeouts.idle + IDLE_TIMEOUT_MARGIN;
    if !state.has_partial_head {
        return idle_until;
    }
    idle_until.min(state.head_began_at + timeouts.head + HEAD_TIMEOUT_MARGIN)
}
