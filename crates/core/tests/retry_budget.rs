//! Retries are bounded by the budget during any outage.

use paddlemount_core::retry::{RetryBudget, RetryDecision, RetrySettings};

#[test]
fn an_outage_adds_at_most_a_tenth_of_requests() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings);
    let mut sent = 0_u64;
    for _ in 0..10_000 {
        budget.request();
        let mut attempts = 1;
        while budget.retry(attempts) == RetryDecision::Granted {
            attempts += 1;
        }
        sent += u64::from(attempts);
    }
    assert!(sent <= 11_000 + u64::from(settings.reserve), "{sent} attempts of 10000 requests");
    assert!(sent >= 10_990, "the budget must be used: {sent} attempts");
    assert!(budget.counts().refused > 0);
}

#[test]
fn attempts_of_one_request_are_bounded() {
    let mut budget = RetryBudget::new(RetrySettings { attempts_per_request: 3, ..RetrySettings::default() });
    budget.request();
    assert_eq!(budget.retry(1), RetryDecision::Granted);
    assert_eq!(budget.retry(2), RetryDecision::Granted);
    assert_eq!(budget.retry(3), RetryDecision::AttemptsSpent);
    assert_eq!(budget.counts().retries, 2);
}

#[test]
fn the_reserve_lets_all_streams_of_a_crashed_engine_continue() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let granted = (0..30).filter(|_| budget.retry(1) == RetryDecision::Granted).count();
    assert_eq!(granted, 20);
}

#[test]
fn retries_of_any_interval_stay_within_reserve_and_share() {
    bolero::check!().with_type::<(u8, u8, Vec<bool>)>().for_each(|(share, reserve, steps)| {
        let settings = RetrySettings {
            share_per_mille: u32::from(*share),
            reserve: u32::from(*reserve),
            attempts_per_request: 4,
        };
        let mut budget = RetryBudget::new(settings);
        // A leaky bucket: its maximum level is the excess of retries over the share in any interval.
        let mut level = 0_u64;
        for is_request in steps {
            if *is_request {
                budget.request();
                level = level.saturating_sub(u64::from(*share));
            } else if budget.retry(1) == RetryDecision::Granted {
                level += 1_000;
            }
            assert!(level <= u64::from(settings.reserve.max(1)) * 1_000 + u64::from(*share));
        }
    });
}
