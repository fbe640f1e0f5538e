//! When a caller's connection closes, by what is seen on it.

use std::time::Duration;

use paddlemount_core::forwarding::caller_connection::{
    ConnectionAction, ConnectionState, StopStage, next_action,
};
use paddlemount_protocol::time::Timestamp;

const IDLE: Duration = Duration::from_secs(15);
const STAGES: [StopStage; 4] =
    [StopStage::Serving, StopStage::Draining, StopStage::Closing, StopStage::Ended];

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + milliseconds)
}

/// A connection on which nothing has come since its last answer ended, at the time 0.
fn resting() -> ConnectionState {
    ConnectionState {
        is_serving: false,
        has_partial_head: false,
        is_readable: false,
        last_activity: at(0),
        idle_since: at(0),
    }
}

fn judged(seen: ConnectionState, stage: StopStage, milliseconds: u64) -> ConnectionAction {
    next_action(seen, stage, IDLE, at(milliseconds))
}

#[test]
fn a_connection_that_rests_closes_after_longer_than_callers_count_on_and_in_a_stop_soon() {
    assert!(matches!(judged(resting(), StopStage::Serving, 19_900), ConnectionAction::KeepOpen(Some(_))));
    assert_eq!(judged(resting(), StopStage::Serving, 20_000), ConnectionAction::Close);
    assert!(matches!(judged(resting(), StopStage::Draining, 3_000), ConnectionAction::KeepOpen(Some(_))));
    assert!(matches!(judged(resting(), StopStage::Closing, 100), ConnectionAction::KeepOpen(Some(_))));
    assert_eq!(judged(resting(), StopStage::Closing, 200), ConnectionAction::Close);
}

#[test]
fn nothing_closes_while_a_request_is_served_before_the_end() {
    let served = ConnectionState { is_serving: true, ..resting() };
    for stage in [StopStage::Serving, StopStage::Draining, StopStage::Closing] {
        assert_eq!(judged(served, stage, 600_000), ConnectionAction::KeepOpen(None));
    }
    assert_eq!(judged(served, StopStage::Ended, 0), ConnectionAction::Abort);
}

#[test]
fn what_has_arrived_keeps_a_connection_open() {
    let arrived = ConnectionState { is_readable: true, ..resting() };
    for stage in [StopStage::Serving, StopStage::Draining, StopStage::Closing] {
        assert!(matches!(judged(arrived, stage, 600_000), ConnectionAction::KeepOpen(Some(_))), "{stage:?}");
    }
}

#[test]
fn a_head_that_never_ends_keeps_a_connection_no_longer_than_none_but_a_stop_waits_for_it() {
    let amid = ConnectionState { has_partial_head: true, ..resting() };
    assert_eq!(judged(amid, StopStage::Serving, 20_000), ConnectionAction::Abort);
    assert!(matches!(judged(amid, StopStage::Closing, 20_000), ConnectionAction::KeepOpen(Some(_))));
}

#[test]
fn a_connection_that_is_kept_is_looked_at_again_later_and_none_with_a_request_on_it_closes() {
    bolero::check!().with_type::<(u8, u8, u16, u16, u32)>().for_each(|(flags, stage, used, free, now)| {
        let seen = ConnectionState {
            is_serving: flags & 1 > 0,
            has_partial_head: flags & 2 > 0,
            is_readable: flags & 4 > 0,
            last_activity: at(u64::from(*used)),
            idle_since: at(u64::from(*free)),
        };
        let stage = STAGES[usize::from(*stage) % STAGES.len()];
        let now = at(u64::from(*now));
        match next_action(seen, stage, IDLE, now) {
            ConnectionAction::KeepOpen(again) => {
                assert!(stage < StopStage::Ended);
                assert!(again.is_none_or(|again| again > now));
                assert_eq!(again.is_none(), seen.is_serving);
            }
            ConnectionAction::Close => {
                assert!(!seen.is_serving && !seen.has_partial_head && !seen.is_readable)
            }
            ConnectionAction::Abort => {
                assert!(stage == StopStage::Ended || !seen.is_serving && !seen.is_readable)
            }
        }
    });
}
