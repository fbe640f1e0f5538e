//! Retention of decision records and its memory limits.

use std::time::Duration;

use paddlemount_core::{
    decisions::{
        AttemptRecord, AttemptResult, DecisionCursor, DecisionRecord, DecisionRing, DecisionSettings,
        MAX_CANDIDATES, RequestEnding, RetentionReason,
    },
    routing::{Candidate, ChoiceReason},
};
use paddlemount_protocol::{
    engine::Precondition,
    identity::{AttemptId, EngineId, Incarnation, RequestId, WeightsVersion},
    refusal::RefusalCode,
    time::Timestamp,
};

fn record(number: u64, at: Timestamp) -> DecisionRecord {
    let request = RequestId::from(format!("request-{number}"));
    let mut record = DecisionRecord::new(request, "tenant".into(), "pool".into(), "model".into(), at);
    record.ending = RequestEnding::Completed;
    record.timings.first_token_ms = Some(100);
    let candidates: Vec<Candidate> = (0..20).map(candidate).collect();
    record.record_candidates(&candidates, ChoiceReason::LowestCost);
    record.record_attempt(attempt(0));
    record
}

fn candidate(number: u64) -> Candidate {
    Candidate {
        engine: EngineId::from(format!("engine-{number}")),
        expected_cached_tokens: 64,
        wait_ms: 1.0,
        prefill_ms: 2.0,
        distance_ms: 0.5,
        import_ms: 0.0,
        copy_ms: 0.0,
        affinity_ms: 0.0,
        affinity_rank: Some(0),
        matched_blocks: 1,
        confidence: 1.0,
        match_age_ms: 10,
        cost: 3.5,
        load_age_ms: number,
    }
}

fn attempt(number: u64) -> AttemptRecord {
    AttemptRecord {
        attempt: AttemptId::from(format!("attempt-{number}")),
        precondition: Precondition {
            engine: "engine-1".into(),
            incarnation: Incarnation(3),
            model: "model".into(),
            weights: WeightsVersion(1),
            adapter: None,
        },
        sent_at: Timestamp::from_millis(number),
        took_ms: 5,
        result: AttemptResult::Completed,
    }
}

fn ring() -> DecisionRing {
    DecisionRing::new(DecisionSettings { samples_per_second: 50, seed: 7, ..Default::default() })
}

#[test]
fn light_load_retains_every_record() {
    let mut ring = ring();
    for number in 0..200 {
        let now = Timestamp::from_millis(number * 50);
        assert_eq!(ring.offer(record(number, now), now), Some(RetentionReason::Sampled));
    }
    assert_eq!(ring.newest_first().len(), 200);
}

#[test]
fn heavy_load_is_sampled_deterministically_near_the_configured_rate() {
    let run = || {
        let mut ring = ring();
        for number in 0..30_000 {
            let now = Timestamp::ZERO + Duration::from_micros(number * 1_000);
            ring.offer(record(number, now), now);
        }
        let retained: Vec<RequestId> =
            ring.newest_first().iter().map(|record| record.request.clone()).collect();
        (ring.counts(), retained)
    };
    let (counts, retained) = run();
    assert_eq!(counts.offered, 30_000);
    assert!((1_000..=2_500).contains(&counts.sampled), "{counts:?}");
    assert_eq!((counts, retained), run());
}

#[test]
fn refused_retried_and_slow_requests_are_retained_under_any_load() {
    let mut ring = ring();
    let now = Timestamp::from_millis(1);
    for number in 0..10_000 {
        ring.offer(record(number, now), now);
    }
    let mut refused = record(90_001, now);
    refused.ending = RequestEnding::NotRun { code: RefusalCode::QuotaExceeded };
    let mut retried = record(90_002, now);
    retried.record_attempt(attempt(1));
    let mut slow = record(90_003, now);
    slow.timings.first_token_ms = Some(780);
    assert_eq!(ring.offer(refused, now), Some(RetentionReason::Refused));
    assert_eq!(ring.offer(retried, now), Some(RetentionReason::Retried));
    assert_eq!(ring.offer(slow, now), Some(RetentionReason::Slow));
    for number in 90_001..=90_003 {
        assert!(ring.find(&RequestId::from(format!("request-{number}"))).is_some());
    }
}

#[test]
fn memory_is_bounded_and_the_newest_records_are_retained() {
    let settings =
        DecisionSettings { sampled_bytes: 64 << 10, notable_bytes: 64 << 10, ..Default::default() };
    let mut ring = DecisionRing::new(settings.clone());
    for number in 0..20_000 {
        let now = Timestamp::from_millis(number * 100);
        let mut record = record(number, now);
        if number % 2 == 0 {
            record.ending = RequestEnding::Unknown { code: RefusalCode::BackendFailed };
        }
        ring.offer(record, now);
        assert!(ring.memory() <= settings.memory_bound());
    }
    assert!(ring.find(&"request-19999".into()).is_some());
    assert!(ring.find(&"request-19998".into()).is_some());
    assert!(ring.find(&"request-0".into()).is_none());
}

#[test]
fn a_slow_reader_learns_how_many_records_it_missed() {
    let settings = DecisionSettings { sampled_bytes: 64 << 10, ..Default::default() };
    let mut ring = DecisionRing::new(settings);
    for number in 0..100 {
        let now = Timestamp::from_millis(number * 100);
        ring.offer(record(number, now), now);
    }
    let page = ring.read_after(DecisionCursor::default(), 1_000);
    assert!(page.lost > 0);
    let mut read = 0;
    let mut cursor = DecisionCursor::default();
    while cursor != ring.end() {
        let next_page = ring.read_after(cursor, 7);
        read += next_page.lost + next_page.entries.len() as u64;
        cursor = next_page.next;
    }
    assert_eq!(read, 100);
    assert_eq!(page.lost + page.entries.len() as u64, 100);
    assert_eq!(page.next, ring.end());
    let nothing_new = ring.read_after(page.next, 1_000);
    assert_eq!((nothing_new.lost, nothing_new.entries.len(), nothing_new.next), (0, 0, ring.end()));
}

#[test]
fn a_record_holds_the_best_candidates_and_counts_the_others() {
    let record = record(1, Timestamp::ZERO);
    assert_eq!(record.candidates.len(), MAX_CANDIDATES);
    assert_eq!(record.more_candidates as usize, 20 - MAX_CANDIDATES);
    assert_eq!(record.candidates[0].prefill_ms, 2.0);
    assert_eq!(record.max_load_age_ms, 19);
}
