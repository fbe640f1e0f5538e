//! The clock and its timeouts advance while the machine is suspended, though the runtime's timers do not.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use paddlemount_clock::SteadyClock;
use paddlemount_protocol::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(3_600_000);

#[test]
fn the_clock_begins_at_its_start_and_is_monotonic() {
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
    static ELAPSED_MS: AtomicU64 = AtomicU64::new(1_000_000);
    let clock = SteadyClock::with_source(|| Duration::from_millis(ELAPSED_MS.load(Ordering::Relaxed)), START);
    let deadline = clock.now() + Duration::from_secs(3);
    ELAPSED_MS.fetch_add(5_000, Ordering::Relaxed);
    assert_eq!(clock.now(), START + Duration::from_secs(5));
    assert!(deadline < clock.now(), "a deadline in three seconds has passed after a suspension of five");
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_a_suspension_interrupts_ends_soon_after_it() {
    static ELAPSED_MS: AtomicU64 = AtomicU64::new(1_000_000);
    let clock = SteadyClock::with_source(|| Duration::from_millis(ELAPSED_MS.load(Ordering::Relaxed)), START);
    let started = tokio::time::Instant::now();
    let suspended = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        ELAPSED_MS.fetch_add(60_000, Ordering::Relaxed);
        std::future::pending::<()>().await;
    };
    let ended = clock.timeout(Duration::from_secs(30), suspended).await;
    assert!(ended.is_none());
    assert!(started.elapsed() <= Duration::from_secs(1), "the timeout fired after {:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_future_that_is_ready_in_time_is_not_timed_out() {
    let clock = SteadyClock::starting_at(START);
    let ended = clock.timeout(Duration::from_secs(3), std::future::ready(7)).await;
    assert_eq!(ended, Some(7));
}
