//! When a service counts as refusing everything.

use std::time::Duration;

use paddlemount_core::forwarding::refusals::Refusals;
use paddlemount_protocol::time::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn refused_at(moments: &[u64]) -> Refusals {
    let mut refusals = Refusals::default();
    moments.iter().for_each(|ms| refusals.record_refusal(at(*ms)));
    refusals
}

#[test]
fn four_in_a_row_show_that_all_refuse() {
    assert!(!refused_at(&[1_000, 1_010, 1_020]).all_refuse(at(1_020)));
    assert!(refused_at(&[1_000, 1_010, 1_020, 1_030]).all_refuse(at(1_030)));
}

#[test]
fn one_that_took_a_request_ends_it() {
    let mut refusals = refused_at(&[1_000, 1_010, 1_020, 1_030]);
    refusals.record_acceptance();
    refusals.record_refusal(at(1_040));
    assert!(!refusals.all_refuse(at(1_040)));
}

#[test]
fn refusals_of_long_ago_show_nothing() {
    assert!(!refused_at(&[1_000, 1_010, 1_020, 1_030]).all_refuse(at(1_530)));
    assert!(!refused_at(&[1_000, 1_010, 1_020, 1_600]).all_refuse(at(1_600)));
}

#[test]
fn callers_come_back_after_as_long_as_it_has_lasted() {
    let mut refusals = refused_at(&[1_000]);
    assert_eq!(refusals.retry_after(at(1_000)), Duration::from_millis(150));
    for ms in (1_400..9_000).step_by(400) {
        refusals.record_refusal(at(ms));
    }
    assert_eq!(refusals.retry_after(at(2_000)), Duration::from_secs(1));
    assert_eq!(refusals.retry_after(at(9_000)), Duration::from_secs(2));
}
