//! When a caller's connection closes, depending on its observed state.

use std::time::Duration;

use paddlemount_core::forwarding::caller_connection::{
    ConnectionAction, ConnectionState, ConnectionTimeouts, StopStage, is_reclaimable, next_action,
};
use paddlemount_protocol::time::Timestamp;

const TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_secs(15), head: Duration::from_secs(3) };
/// How long a caller may take nothing of an answer.
const WRITE_STALL: Duration = Duration::from_secs(10);
const STAGES: [StopStage; 4] =
    [StopStage::Serving, StopStage::Draining, StopStage::Closing, StopStage::Ended];

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + milliseconds)
}

/// A connection without activity since its last answer ended, at time 0.
fn idle() -> ConnectionState {
    ConnectionState {
        is_new: false,
        is_serving: false,
        has_partial_head: false,
        head_began_at: at(0),
        is_readable: false,
        is_reclaimed: false,
        write_blocked_since: None,
        last_activity: at(0),
        idle_since: at(0),
    }
}

fn action(state: ConnectionState, stage: StopStage, milliseconds: u64) -> ConnectionAction {
    next_action(state, stage, TIMEOUTS, at(milliseconds))
}

#[test]
fn idle_connections_close_after_the_advertised_timeout_and_soon_in_a_planned_stop() {
    assert!(matches!(action(idle(), StopStage::Serving, 19_900), ConnectionAction::KeepOpen(Some(_))));
    assert_eq!(action(idle(), StopStage::Serving, 20_000), ConnectionAction::Close);
    assert!(matches!(action(idle(), StopStage::Draining, 3_000), ConnectionAction::KeepOpen(Some(_))));
    assert!(matches!(action(idle(), StopStage::Closing, 100), ConnectionAction::KeepOpen(Some(_))));
    assert_eq!(action(idle(), StopStage::Closing, 200), ConnectionAction::Close);
}

#[test]
fn a_new_connection_is_given_time_for_its_first_request_in_a_planned_stop() {
    let new = ConnectionState { is_new: true, ..idle() };
    assert!(matches!(action(new, StopStage::Closing, 999), ConnectionAction::KeepOpen(Some(_))));
    assert_eq!(action(new, StopStage::Closing, 1_000), ConnectionAction::Close);
    assert_eq!(action(new, StopStage::Ended, 0), ConnectionAction::Abort);
}

#[test]
fn a_connection_stays_open_while_a_request_is_served_until_the_process_ends() {
    let served = ConnectionState { is_serving: true, ..idle() };
    for stage in [StopStage::Serving, StopStage::Draining, StopStage::Closing] {
        assert_eq!(action(served, stage, 600_000), ConnectionAction::KeepOpen(None));
    }
    assert_eq!(action(served, StopStage::Ended, 0), ConnectionAction::Abort);
}

#[test]
fn unread_bytes_keep_a_connection_open() {
    let readable = ConnectionState { is_readable: true, ..idle() };
    for stage in [StopStage::Serving, StopStage::Draining, StopStage::Closing] {
        assert!(matches!(action(readable, stage, 600_000), ConnectionAction::KeepOpen(Some(_))), "{stage:?}");
    }
}

#[test]
fn an_incomplete_head_keeps_a_connection_no_longer_than_an_idle_one_except_in_a_planned_stop() {
    let partial = ConnectionState { has_partial_head: true, ..idle() };
    assert_eq!(action(partial, StopStage::Serving, 20_000), ConnectionAction::Abort);
    assert!(matches!(action(partial, StopStage::Closing, 20_000), ConnectionAction::KeepOpen(Some(_))));
}

#[test]
fn open_connections_are_checked_again_later_and_none_with_a_request_closes() {
    bolero::check!().with_type::<(u8, u8, u16, u16, u32)>().for_each(|(flags, stage, used, free, now)| {
        let state = ConnectionState {
            is_new: flags & 8 > 0,
            is_serving: flags & 1 > 0,
            has_partial_head: flags & 2 > 0,
            head_began_at: at(u64::from(*used)),
            is_readable: flags & 4 > 0,
            is_reclaimed: flags & 16 > 0,
            write_blocked_since: (flags & 32 > 0).then_some(at(u64::from(*used))),
            last_activity: at(u64::from(*used)),
            idle_since: at(u64::from(*free)),
        };
        let stage = STAGES[usize::from(*stage) % STAGES.len()];
        let now = at(u64::from(*now));
        let is_stalled = state.write_blocked_since.is_some_and(|since| since + WRITE_STALL <= now);
        match next_action(state, stage, TIMEOUTS, now) {
            ConnectionAction::KeepOpen(recheck) => {
                assert!(stage < StopStage::Ended && !is_stalled);
                assert!(recheck.is_none_or(|recheck| recheck > now));
                assert_eq!(recheck.is_none(), state.is_serving && state.write_blocked_since.is_none());
            }
            ConnectionAction::Close => {
                assert!(!state.is_serving && !state.has_partial_head && !state.is_readable);
                assert_eq!(state.write_blocked_since, None);
            }
            ConnectionAction::Abort => {
                let is_blocked = state.write_blocked_since.is_some();
                let is_idle = !state.is_serving && !state.is_readable && !is_blocked;
                assert!(stage == StopStage::Ended || is_idle || is_stalled)
            }
        }
    });
}

#[test]
fn a_connection_that_rests_makes_place_for_another_one() {
    let reclaimed = ConnectionState { is_reclaimed: true, ..idle() };
    assert!(matches!(action(reclaimed, StopStage::Serving, 100), ConnectionAction::KeepOpen(Some(_))));
    assert_eq!(action(reclaimed, StopStage::Serving, 200), ConnectionAction::Close);
    let readable = ConnectionState { is_readable: true, ..reclaimed };
    assert!(matches!(action(readable, StopStage::Serving, 200), ConnectionAction::KeepOpen(Some(_))));
}

#[test]
fn a_connection_with_a_request_makes_no_place() {
    for state in [
        ConnectionState { is_serving: true, is_reclaimed: true, ..idle() },
        ConnectionState { has_partial_head: true, is_reclaimed: true, ..idle() },
    ] {
        assert!(!is_reclaimable(state, at(600)));
        assert!(matches!(action(state, StopStage::Serving, 600), ConnectionAction::KeepOpen(_)));
    }
}

#[test]
fn the_head_of_a_request_has_its_own_timeout_from_its_first_byte() {
    let partial = ConnectionState { has_partial_head: true, head_began_at: at(10_000), ..idle() };
    assert!(matches!(action(partial, StopStage::Serving, 14_900), ConnectionAction::KeepOpen(Some(_))));
    assert_eq!(action(partial, StopStage::Serving, 15_000), ConnectionAction::Abort);
    // Its rest may be in the socket of a process that was suspended.
    let readable = ConnectionState { is_readable: true, ..partial };
    assert!(matches!(action(readable, StopStage::Serving, 15_000), ConnectionAction::KeepOpen(Some(_))));
    assert!(matches!(action(partial, StopStage::Closing, 15_000), ConnectionAction::KeepOpen(Some(_))));
}

#[test]
fn a_caller_that_takes_nothing_of_its_answer_is_left() {
    let blocked = ConnectionState { is_serving: true, write_blocked_since: Some(at(1_000)), ..idle() };
    assert_eq!(action(blocked, StopStage::Serving, 10_999), ConnectionAction::KeepOpen(Some(at(11_000))));
    assert_eq!(action(blocked, StopStage::Serving, 11_000), ConnectionAction::Abort);
}

/// The HTTP library has the whole answer, and the request has ended.
#[test]
fn a_caller_that_takes_nothing_of_a_buffered_answer_is_left() {
    let blocked = ConnectionState { write_blocked_since: Some(at(1_000)), ..idle() };
    assert_eq!(action(blocked, StopStage::Serving, 10_900), ConnectionAction::KeepOpen(Some(at(11_000))));
    assert_eq!(action(blocked, StopStage::Serving, 11_000), ConnectionAction::Abort);
    assert!(matches!(action(blocked, StopStage::Closing, 10_900), ConnectionAction::KeepOpen(Some(_))));
    assert!(!is_reclaimable(blocked, at(10_000)));
    // Its next request waits behind the answer.
    let readable = ConnectionState { is_readable: true, ..blocked };
    assert_eq!(action(readable, StopStage::Serving, 11_000), ConnectionAction::Abort);
}
