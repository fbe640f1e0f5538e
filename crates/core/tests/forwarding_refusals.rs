//! When all back ends of a service count as refusing.

use std::time::Duration;

use paddlemount_core::forwarding::refusals::Refusals;
use paddlemount_protocol::time::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn refused_at(times: &[u64]) -> Refusals {
    let mut refusals = Refusals::default();
    times.iter().for_each(|ms| refusals.record_refusal(at(*ms)));
    refusals
}

#[test]
fn four_in_a_row_show_that_all_refuse() {
    assert!(!refused_at(&[1_000, 1_010, 1_020]).all_refuse(at(1_020)));
    assert!(refused_at(&[1_000, 1_010, 1_020, 1_030]).all_refuse(at(1_030)));
}

#[test]
fn an_accepted_request_resets_the_refusals() {
    let mut refusals = refused_at(&[1_000, 1_010, 1_020, 1_030]);
    refusals.record_acceptance();
    refusals.record_refusal(at(1_040));
    assert!(!refusals.all_refuse(at(1_040)));
}

#[test]
fn old_refusals_do_not_count() {
    assert!(!refused_at(&[1_000, 1_010, 1_020, 1_030]).all_refuse(at(1_530)));
    assert!(!refused_at(&[1_000, 1_010, 1_020, 1_600]).all_refuse(at(1_600)));
}

#[test]
fn callers_retry_after_as_long_as_the_refusals_have_lasted() {
    let mut refusals = refused_at(&[1_000]);
    assert_eq!(refusals.retry_after(at(1_000)), Duration::from_millis(150));
    for ms in (1_400..9_000).step_by(400) {
        refusals.record_refusal(at(ms));
    }
    assert_eq!(refusals.retry_after(at(2_000)), Duration::from_secs(1));
    assert_eq!(refusals.retry_after(at(9_000)), Duration::from_secs(2));
}
