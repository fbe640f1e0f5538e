//! When a caller's connection closes, by what is seen on it.

use std::time::Duration;

use paddlemount_core::forwarding::caller_connection::{Seen, StopStage, Verdict, judge};
use paddlemount_protocol::time::Timestamp;

const IDLE: Duration = Duration::from_secs(15);
const STAGES: [StopStage; 4] = [StopStage::Serving, StopStage::Leaving, StopStage::Closing, StopStage::Over];

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(3_600_000 + milliseconds)
}

/// A connection on which nothing has come since its last answer ended, at the time 0.
fn resting() -> Seen {
    Seen { is_served: false, is_amid_head: false, is_readable: false, used_at: at(0), free_since: at(0) }
}

fn judged(seen: Seen, stage: StopStage, milliseconds: u64) -> Verdict {
    judge(seen, stage, IDLE, at(milliseconds))
}

#[test]
fn a_connection_that_rests_closes_after_longer_than_callers_count_on_and_in_a_stop_soon() {
    assert!(matches!(judged(resting(), StopStage::Serving, 19_900), Verdict::Keep(Some(_))));
    assert_eq!(judged(resting(), StopStage::Serving, 20_000), Verdict::Close);
    assert!(matches!(judged(resting(), StopStage::Leaving, 3_000), Verdict::Keep(Some(_))));
    assert!(matches!(judged(resting(), StopStage::Closing, 100), Verdict::Keep(Some(_))));
    assert_eq!(judged(resting(), StopStage::Closing, 200), Verdict::Close);
}

#[test]
fn nothing_closes_while_a_request_is_served_before_the_end() {
    let served = Seen { is_served: true, ..resting() };
    for stage in [StopStage::Serving, StopStage::Leaving, StopStage::Closing] {
        assert_eq!(judged(served, stage, 600_000), Verdict::Keep(None));
    }
    assert_eq!(judged(served, StopStage::Over, 0), Verdict::Drop);
}

#[test]
fn what_has_arrived_keeps_a_connection_open() {
    let arrived = Seen { is_readable: true, ..resting() };
    for stage in [StopStage::Serving, StopStage::Leaving, StopStage::Closing] {
        assert!(matches!(judged(arrived, stage, 600_000), Verdict::Keep(Some(_))), "{stage:?}");
    }
}

#[test]
fn a_head_that_never_ends_keeps_a_connection_no_longer_than_none_but_a_stop_waits_for_it() {
    let amid = Seen { is_amid_head: true, ..resting() };
    assert_eq!(judged(amid, StopStage::Serving, 20_000), Verdict::Drop);
    assert!(matches!(judged(amid, StopStage::Closing, 20_000), Verdict::Keep(Some(_))));
}

#[test]
fn a_connection_that_is_kept_is_looked_at_again_later_and_none_with_a_request_on_it_closes() {
    bolero::check!().with_type::<(u8, u8, u16, u16, u32)>().for_each(|(flags, stage, used, free, now)| {
        let seen = Seen {
            is_served: flags & 1 > 0,
            is_amid_head: flags & 2 > 0,
            is_readable: flags & 4 > 0,
            used_at: at(u64::from(*used)),
            free_since: at(u64::from(*free)),
        };
        let stage = STAGES[usize::from(*stage) % STAGES.len()];
        let now = at(u64::from(*now));
        match judge(seen, stage, IDLE, now) {
            Verdict::Keep(again) => {
                assert!(stage < StopStage::Over);
                assert!(again.is_none_or(|again| again > now));
                assert_eq!(again.is_none(), seen.is_served);
            }
            Verdict::Close => assert!(!seen.is_served && !seen.is_amid_head && !seen.is_readable),
            Verdict::Drop => assert!(stage == StopStage::Over || !seen.is_served && !seen.is_readable),
        }
    });
}
