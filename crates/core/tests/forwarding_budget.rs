//! The retry budget over a sliding window.

use std::time::Duration;

use paddlemount_core::forwarding::budget::{WindowBudget, WindowBudgetSettings, reserve_of};
use paddlemount_protocol::time::Timestamp;

const WINDOW_MS: u64 = 10_000;

fn budget(reserve: u32) -> WindowBudget {
    WindowBudget::new(WindowBudgetSettings {
        share_per_mille: 200,
        reserve,
        window: Duration::from_millis(WINDOW_MS),
    })
}

#[test]
fn what_requests_have_earned_may_be_spent_at_once() {
    let mut budget = budget(3);
    for number in 0..100 {
        budget.request(Timestamp::from_millis(number * 90));
    }
    let now = Timestamp::from_millis(9_000);
    let granted = (0..100).filter(|_| budget.repeat(now)).count();
    assert_eq!(granted, 18 + 3);
}

#[test]
fn old_requests_earn_nothing_and_old_repeats_cost_nothing() {
    let mut budget = budget(2);
    for _ in 0..50 {
        budget.request(Timestamp::from_millis(0));
    }
    assert!(budget.repeat(Timestamp::from_millis(0)));
    assert_eq!(budget.left(Timestamp::from_millis(20_000)), 2);
}

/// Nodes that had spent all that their requests had earned and were then killed began anew: their next processes knew nothing
/// of it, and the requests that came after the start earned as much once more before the window was over. Seven nodes
/// together made 630 repeats within 10 s, where 404 are allowed for the 1,750 requests of the window before.
#[test]
fn processes_that_start_again_do_not_earn_what_those_before_them_have_spent() {
    const NODES: u64 = 7;
    const SLACK: u64 = 54;
    let reserve = reserve_of(SLACK as u32, Some(NODES as u32), 64, 0.5);
    let settings =
        WindowBudgetSettings { share_per_mille: 200, reserve, window: Duration::from_millis(WINDOW_MS) };
    let spent_by = |mut budget: WindowBudget, requests: u64, from: u64| {
        let until = Timestamp::from_millis(from + requests * 40);
        (0..requests).for_each(|number| budget.request(Timestamp::from_millis(from + number * 40)));
        (0..).take_while(|_| budget.repeat(until)).count() as u64
    };
    let before = spent_by(WindowBudget::new(settings), 250, 0);
    let started_at = Timestamp::from_millis(10_050);
    let after = spent_by(WindowBudget::after_restart(settings, started_at), 235, 10_050);
    let allowed = 250 * NODES / 5 + SLACK;
    let repeats = (before + after) * NODES;
    assert!(repeats <= allowed, "{repeats} of {allowed}");
}

#[test]
fn a_process_that_started_again_earns_like_any_other_after_a_window() {
    let settings =
        WindowBudgetSettings { share_per_mille: 200, reserve: 3, window: Duration::from_millis(WINDOW_MS) };
    let mut budget = WindowBudget::after_restart(settings, Timestamp::from_millis(0));
    (0..100).for_each(|number| budget.request(Timestamp::from_millis(2_000 + number * 80)));
    assert_eq!(budget.left(Timestamp::from_millis(9_999)), 3);
    assert_eq!(budget.left(Timestamp::from_millis(10_000)), 18 + 3);
}

/// Whatever comes when, no window holds more repeats than the share of the requests of it or of the window before, and
/// the reserve.
#[test]
fn no_window_holds_more_repeats_than_it_may() {
    bolero::check!().with_type::<Vec<(u8, bool)>>().for_each(|steps| {
        let mut budget = budget(3);
        let (mut now, mut requests, mut repeats) = (0_u64, Vec::new(), Vec::new());
        for (pause, repeat) in steps {
            now += u64::from(*pause) * 20;
            if *repeat {
                if budget.repeat(Timestamp::from_millis(now)) {
                    repeats.push(now);
                }
            } else {
                budget.request(Timestamp::from_millis(now));
                requests.push(now);
            }
        }
        for end in &repeats {
            let within = |times: &[u64], from: u64, to: u64| {
                times.iter().filter(|at| **at > from && **at <= to).count()
            };
            let start = end.saturating_sub(WINDOW_MS);
            let count =
                within(&repeats, start, *end) + usize::from(start == 0 && repeats.first() == Some(&0));
            let earned = within(&requests, start, *end) + usize::from(start == 0);
            let before =
                within(&requests, start.saturating_sub(WINDOW_MS / 2), end - WINDOW_MS.min(*end) / 2);
            assert!(count as f64 <= earned.max(before) as f64 * 0.2 + 4.0, "{count} of {earned}");
        }
    });
}
