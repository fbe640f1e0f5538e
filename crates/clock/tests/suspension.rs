//! A machine that is suspended: its timers stand still, the clock does not.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use paddlemount_clock::SteadyClock;
use paddlemount_protocol::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(3_600_000);

#[test]
fn the_clock_begins_at_its_start_and_never_goes_back() {
    let clock = SteadyClock::starting_at(START);
    let mut last = clock.now();
    assert!(last >= START);
    for _ in 0..1_000 {
        let now = clock.now();
        assert!(now >= last);
        last = now;
    }
}

#[tokio::test(start_paused = true)]
async fn what_ends_by_time_ends_while_the_machine_is_suspended() {
    static READING: AtomicU64 = AtomicU64::new(1_000_000);
    let clock = SteadyClock::with_source(|| Duration::from_millis(READING.load(Ordering::Relaxed)), START);
    let until = clock.now() + Duration::from_secs(3);
    READING.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.now(), START + Duration::from_secs(5));
    assert!(until < clock.now(), "a lease of three seconds is over after five in suspension");
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_a_suspension_interrupts_ends_soon_after_it() {
    static READING: AtomicU64 = AtomicU64::new(1_000_000);
    let clock = SteadyClock::with_source(|| Duration::from_millis(READING.load(Ordering::Relaxed)), START);
    let began = tokio::time::Instant::now();
    let suspended = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        READING.fetch_add(60_000, Ordering::Relaxed);
        std::future::pending::<()>().await;
    };
    let ended = clock.timeout(Duration::from_secs(30), suspended).await;
    assert!(ended.is_none());
    assert!(began.elapsed() <= Duration::from_secs(1), "the timers saw {:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_future_that_ends_in_time_is_not_cut_off() {
    let clock = SteadyClock::starting_at(START);
    let ended = clock.timeout(Duration::from_secs(3), std::future::ready(7)).await;
    assert_eq!(ended, Some(7));
}
