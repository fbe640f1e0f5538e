//! The choice of back ends by requests in flight and by measured latencies.

mod choice_support;

use std::time::Duration;

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::{Chooser, Placement},
};
use paddlemount_protocol::time::Timestamp;

use choice_support::{Fixture, prompt};

#[test]
fn requests_without_prompts_go_to_the_least_loaded_and_avoid_a_slow_back_end() {
    let fixture = Fixture::of(&[1; 3]);
    let mut chooser = Chooser::default();
    let placement = Placement {
        prompt: None,
        isolated: None,
        zone: &fixture.zone,
        seed: 3,
        store: None,
        sample_size: None,
        replicate: false,
        transfers: None,
        now: Timestamp::ZERO,
        timing: None,
    };
    chooser.loads.record_start(&fixture.ids[0], 0, Timestamp::ZERO);
    chooser.loads.record_start(&fixture.ids[1], 0, Timestamp::ZERO);
    let choice = chooser.choose(placement, &fixture.candidates()).expect("a back end");
    assert_eq!(choice.backend, fixture.ids[2]);
    for _ in 0..10 {
        chooser.loads.record_latency(&fixture.ids[0], 50.0, Timestamp::ZERO);
        chooser.loads.record_latency(&fixture.ids[1], 50.0, Timestamp::ZERO);
        chooser.loads.record_latency(&fixture.ids[2], 900.0, Timestamp::ZERO);
    }
    let choice = chooser.choose(placement, &fixture.candidates()).expect("a back end");
    assert_ne!(choice.backend, fixture.ids[2]);
}

#[test]
fn a_back_end_that_leaves_a_request_unanswered_is_suspect_until_it_answers() {
    let at = Timestamp::from_millis;
    let backend = BackendId::from("engine-0");
    let mut chooser = Chooser::default();
    for _ in 0..5 {
        chooser.loads.record_latency(&backend, 100.0, Timestamp::ZERO);
    }
    chooser.loads.record_start(&backend, 500, at(1_000));
    assert!(!chooser.loads.is_suspect(&backend, at(1_699)));
    assert!(chooser.loads.is_suspect(&backend, at(1_700)));
    chooser.loads.record_first_event(&backend, 500, at(1_000));
    assert!(!chooser.loads.is_suspect(&backend, at(1_700)));
}

#[test]
fn the_slowest_answer_of_a_rarely_used_back_end_decays_with_time() {
    let at = Timestamp::from_millis;
    let backend = BackendId::from("engine-0");
    let mut chooser = Chooser::default();
    chooser.loads.record_latency(&backend, 3_000.0, at(0));
    assert_eq!(chooser.loads.slowest(at(2_000)).as_millis(), 3_000);
    assert!(chooser.loads.slowest(at(6_000)).as_millis() < 1_200);
    assert!(chooser.loads.slowest(at(20_000)).as_millis() < 100);
}

/// Sends requests one after the other, each answered by a healthy back end, and returns the count of each
/// back end.
fn send_sequentially(
    chooser: &mut Chooser,
    fixture: &Fixture,
    from: Timestamp,
    pause: Duration,
    count: u32,
) -> Vec<usize> {
    let mut counts = vec![0; fixture.ids.len()];
    for number in 0..count {
        let now = from + pause * number;
        let request_prompt = prompt(&[], 1);
        let placement =
            Placement { prompt: None, now, ..fixture.placement(&request_prompt, now.as_millis()) };
        let choice = chooser.choose(placement, &fixture.candidates()).expect("a back end");
        chooser.loads.record_latency(&choice.backend, 2.0, now);
        let index = fixture.ids.iter().position(|id| *id == choice.backend).expect("one of them");
        counts[index] += 1;
    }
    counts
}

/// Guards against an average that never decays: a back end that was slow once would get no requests again.
#[test]
fn a_back_end_that_was_briefly_slow_gets_requests_again_even_if_they_are_few() {
    let pause = Duration::from_millis(100);
    for (count, slow_ms) in [(2, 10.0), (4, 10.0), (4, 2_000.0)] {
        let fixture = Fixture::of(&vec![1; count]);
        let mut chooser = Chooser::default();
        for id in &fixture.ids {
            let milliseconds = if *id == fixture.ids[0] { slow_ms } else { 2.0 };
            (0..5).for_each(|_| chooser.loads.record_latency(id, milliseconds, Timestamp::ZERO));
        }
        let counts = send_sequentially(&mut chooser, &fixture, Timestamp::ZERO, pause, 300);
        assert!(counts[0] > 0, "{count} back ends, the first took {slow_ms} ms: {counts:?} requests in 30 s");
        let later = Timestamp::ZERO + Duration::from_secs(30);
        let counts = send_sequentially(&mut chooser, &fixture, later, pause, 300);
        let min = counts.iter().sum::<usize>() / (3 * count);
        assert!(counts[0] >= min, "recovered, it gets {counts:?}, at least {min} expected");
    }
}

/// The measured slowness does not decay while a request is unanswered.
#[test]
fn a_slow_back_end_with_an_unanswered_request_stays_slow() {
    let fixture = Fixture::of(&[1; 2]);
    let mut chooser = Chooser::default();
    for (id, milliseconds) in fixture.ids.iter().zip([50.0, 2.0]) {
        (0..5).for_each(|_| chooser.loads.record_latency(id, milliseconds, Timestamp::ZERO));
    }
    chooser.loads.record_start(&fixture.ids[0], 0, Timestamp::ZERO);
    let counts = send_sequentially(&mut chooser, &fixture, Timestamp::ZERO, Duration::from_millis(100), 600);
    assert_eq!(counts[0], 0, "{counts:?}");
}

/// Guards against a bias towards measured back ends, which would leave the others without any request.
#[test]
fn a_back_end_with_few_measurements_gets_requests_whatever_the_latency_of_others() {
    for pause_ms in [10, 100, 5_000] {
        let fixture = Fixture::of(&[1; 2]);
        let mut chooser = Chooser::default();
        (0..10).for_each(|_| chooser.loads.record_latency(&fixture.ids[1], 2.0, Timestamp::ZERO));
        let counts =
            send_sequentially(&mut chooser, &fixture, Timestamp::ZERO, Duration::from_millis(pause_ms), 60);
        assert!(counts[0] >= 10, "one every {pause_ms} ms: {counts:?}");
    }
}

/// A back end that stays slow is only probed from time to time.
#[test]
fn a_back_end_that_stays_slow_gets_few_requests() {
    let fixture = Fixture::of(&[1; 4]);
    let mut chooser = Chooser::default();
    let mut slow = 0;
    for tenth in 0..600 {
        let now = Timestamp::from_millis(tenth * 100);
        let request_prompt = prompt(&[], 1);
        let placement = Placement { prompt: None, now, ..fixture.placement(&request_prompt, tenth) };
        let choice = chooser.choose(placement, &fixture.candidates()).expect("a back end");
        let is_slow = choice.backend == fixture.ids[0];
        slow += usize::from(is_slow);
        chooser.loads.record_latency(&choice.backend, if is_slow { 50.0 } else { 2.0 }, now);
    }
    // Five to measure it as slow, then one in ten seconds.
    assert!(slow <= 15, "{slow} of 600 went to the slow back end");
}
