//! Properties of the cache index under any order of events.

mod routing_support;

use bolero::TypeGenerator;
use paddlemount_core::routing::{AttemptEnding, Router, RouterEvent, RouterSettings};
use paddlemount_protocol::{
    engine::{CacheChange, CacheEvent, CacheEventBatch, CacheSnapshot},
    identity::{AttemptId, EventSequence, Incarnation, ZoneId},
    prefix::BlockHash,
};
use routing_support::{at_ms, engine, expected_at, prompt, router, router_with, run_at, run_finding, status};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Dispatch { engine: u8, text: u8 },
    Start { attempt: u8, tokens: u16 },
    End { attempt: u8, completed: bool },
    Stored { engine: u8, text: u8, skipped: u8 },
    Removed { engine: u8, text: u8 },
    Cleared { engine: u8 },
    Snapshot { engine: u8, text: u8, more: bool },
    Restart { engine: u8 },
}

const ENGINES: usize = 4;
const LIMIT: usize = 256;

struct World {
    router: Router,
    incarnations: [u64; ENGINES],
    sequences: [u64; ENGINES],
    attempts: u64,
    time: u64,
}

impl World {
    fn new() -> Self {
        let settings =
            RouterSettings { cache_index_records: LIMIT, ..RouterSettings::new(ZoneId::from("a"), 1) };
        let router = router_with(ENGINES, settings);
        Self { router, incarnations: [1; ENGINES], sequences: [0; ENGINES], attempts: 0, time: 0 }
    }

    fn blocks(text: u8) -> Vec<BlockHash> {
        prompt(&[(u32::from(text % 32), 12)]).blocks
    }

    fn feed(&mut self, number: usize, skipped: u64, change: CacheChange) {
        let sequence = self.sequences[number] + skipped + 1;
        self.sequences[number] = sequence;
        let batch = CacheEventBatch {
            incarnation: Incarnation(self.incarnations[number]),
            events: vec![CacheEvent { sequence: EventSequence(sequence), change }],
            last: EventSequence(sequence),
        };
        let event = RouterEvent::Feed { engine: &engine(number), batch: &batch };
        self.router.apply(event, at_ms(self.time));
    }

    fn apply(&mut self, step: Step) {
        self.time += 7;
        let now = at_ms(self.time);
        match step {
            Step::Dispatch { engine: number, text } => {
                let request = prompt(&[(u32::from(text % 32), 12)]);
                self.attempts += 1;
                let attempt = AttemptId::from(self.attempts.to_string());
                let engine = engine(usize::from(number) % ENGINES);
                let route = request.route();
                self.router.apply(
                    RouterEvent::Dispatched { attempt: &attempt, engine: &engine, request: &route },
                    now,
                );
            }
            Step::Start { attempt, tokens } => {
                let attempt = AttemptId::from(u64::from(attempt).to_string());
                let event = RouterEvent::Started {
                    attempt: &attempt,
                    incarnation: Incarnation(1),
                    cached_tokens: tokens.into(),
                };
                self.router.apply(event, now);
            }
            Step::End { attempt, completed } => {
                let attempt = AttemptId::from(u64::from(attempt).to_string());
                let ending = if completed { AttemptEnding::Completed } else { AttemptEnding::Failed };
                self.router.apply(RouterEvent::Ended { attempt: &attempt, ending }, now);
            }
            Step::Stored { engine, text, skipped } => {
                let change = CacheChange::Stored { blocks: Self::blocks(text) };
                self.feed(usize::from(engine) % ENGINES, u64::from(skipped % 2), change);
            }
            Step::Removed { engine, text } => {
                let change = CacheChange::Removed { blocks: Self::blocks(text) };
                self.feed(usize::from(engine) % ENGINES, 0, change);
            }
            Step::Cleared { engine } => self.feed(usize::from(engine) % ENGINES, 0, CacheChange::Cleared),
            Step::Snapshot { engine: number, text, more } => self.snapshot(number, text, more),
            Step::Restart { engine: number } => {
                let number = usize::from(number) % ENGINES;
                self.incarnations[number] += 1;
                self.sequences[number] = 0;
                let status = status(number, self.incarnations[number], now);
                self.router.apply(RouterEvent::Status(&status), now);
                self.assert_empty(number);
            }
        }
    }

    fn snapshot(&mut self, number: u8, text: u8, more: bool) {
        let number = usize::from(number) % ENGINES;
        let mut blocks = Self::blocks(text);
        blocks.sort();
        let snapshot = CacheSnapshot {
            incarnation: Incarnation(self.incarnations[number]),
            as_of: EventSequence(self.sequences[number]),
            blocks,
            more,
        };
        let event = RouterEvent::Snapshot { engine: &engine(number), snapshot: &snapshot };
        self.router.apply(event, at_ms(self.time));
        if !more {
            assert!(!self.router.needs_resync().contains(&engine(number)), "a complete snapshot closes gaps");
        }
    }

    fn assert_empty(&self, number: usize) {
        for text in 0..32 {
            let request = prompt(&[(text, 12)]);
            let decision = self.router.preview(&request.route(), at_ms(self.time));
            assert_eq!(expected_at(&decision, &engine(number)), 0);
        }
    }
}

#[test]
fn memory_is_bounded_and_a_new_incarnation_starts_empty() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut world = World::new();
        for step in steps {
            world.apply(*step);
            let size = world.router.cache_index_size();
            assert!(size.records <= size.limit, "{size:?}");
            assert_eq!(size.limit, LIMIT);
        }
    });
}

#[test]
fn records_are_limited_and_recent_prompts_are_retained() {
    let settings =
        RouterSettings { cache_index_records: 10_000, ..RouterSettings::new(ZoneId::from("a"), 1) };
    let mut router = router_with(ENGINES, settings);
    for number in 0..4_000_u32 {
        let request = prompt(&[(number, 20)]);
        run_at(
            &mut router,
            &request,
            &engine(number as usize % ENGINES),
            &number.to_string(),
            at_ms(number.into()),
        );
        assert!(router.cache_index_size().records <= 10_000);
    }
    for number in 3_800..4_000_u32 {
        let decision = router.preview(&prompt(&[(number, 20)]).route(), at_ms(4_000));
        assert!(expected_at(&decision, &engine(number as usize % ENGINES)) > 1_000, "{number}");
    }
}

#[test]
fn events_of_an_earlier_incarnation_are_ignored() {
    let mut router = router(ENGINES, 1);
    router.apply(RouterEvent::Status(&status(0, 5, at_ms(1))), at_ms(1));
    let request = prompt(&[(1, 12)]);
    let change = CacheChange::Stored { blocks: request.blocks.clone() };
    let batch = CacheEventBatch {
        incarnation: Incarnation(4),
        events: vec![CacheEvent { sequence: EventSequence(1), change }],
        last: EventSequence(1),
    };
    router.apply(RouterEvent::Feed { engine: &engine(0), batch: &batch }, at_ms(2));
    assert_eq!(expected_at(&router.preview(&request.route(), at_ms(3)), &engine(0)), 0);
    // An answer of a later incarnation invalidates the records of the current one.
    run_at(&mut router, &request, &engine(0), "own", at_ms(4));
    let attempt = AttemptId::from("later");
    let other = prompt(&[(2, 12)]);
    let event = RouterEvent::Dispatched { attempt: &attempt, engine: &engine(0), request: &other.route() };
    router.apply(event, at_ms(5));
    let started = RouterEvent::Started { attempt: &attempt, incarnation: Incarnation(6), cached_tokens: 0 };
    router.apply(started, at_ms(6));
    assert_eq!(expected_at(&router.preview(&request.route(), at_ms(7)), &engine(0)), 0);
}

#[test]
fn new_weights_invalidate_the_index() {
    let mut router = router(1, 1);
    let request = prompt(&[(1, 12)]);
    run_at(&mut router, &request, &engine(0), "a", at_ms(1));
    let mut reloaded = status(0, 1, at_ms(2));
    reloaded.loaded = None;
    router.apply(RouterEvent::Status(&reloaded), at_ms(2));
    router.apply(RouterEvent::Status(&status(0, 1, at_ms(3))), at_ms(3));
    assert_eq!(expected_at(&router.preview(&request.route(), at_ms(4)), &engine(0)), 0);
}

#[test]
fn a_gap_requests_a_snapshot_which_corrects_the_index() {
    let mut world = World::new();
    world.feed(0, 0, CacheChange::Stored { blocks: World::blocks(1) });
    assert!(world.router.needs_resync().is_empty());
    world.feed(0, 3, CacheChange::Stored { blocks: World::blocks(2) });
    assert_eq!(world.router.needs_resync(), vec![engine(0)]);
    world.snapshot(0, 3, false);
    assert!(world.router.needs_resync().is_empty());
    let expected = |text| {
        let decision = world.router.preview(&prompt(&[(text, 12)]).route(), at_ms(world.time));
        expected_at(&decision, &engine(0))
    };
    assert_eq!(expected(1), 0, "the snapshot doesn't list it");
    assert!(expected(3) > 0);
}

#[test]
fn an_empty_batch_with_a_later_sequence_is_a_gap() {
    let mut router = router(1, 1);
    let batch = CacheEventBatch { incarnation: Incarnation(1), events: Vec::new(), last: EventSequence(4) };
    router.apply(RouterEvent::Feed { engine: &engine(0), batch: &batch }, at_ms(1));
    assert_eq!(router.needs_resync(), vec![engine(0)]);
}

#[test]
fn without_a_feed_confidence_falls_by_the_estimated_eviction_age() {
    let mut router = router(1, 1);
    let request = prompt(&[(1, 40)]);
    run_at(&mut router, &request, &engine(0), "a", at_ms(0));
    let confidence =
        |router: &Router, at| router.preview(&request.route(), at_ms(at)).candidates[0].confidence;
    assert!(confidence(&router, 100) > 0.95);
    assert!(confidence(&router, 2_000) > 0.9, "nothing is known yet");
    for number in 0..5 {
        let other = prompt(&[(100 + number, 4)]);
        let start = at_ms(2_000 + u64::from(number) * 600);
        run_at(&mut router, &other, &engine(0), &format!("x{number}"), start);
        // The engine has evicted the prompt half a second later.
        let later = start + std::time::Duration::from_millis(500);
        run_finding(&mut router, &other, &engine(0), &format!("y{number}"), later, 0);
    }
    assert!(confidence(&router, 6_000) < 0.2);
}

#[test]
fn a_clock_step_backwards_keeps_records() {
    let mut router = router(2, 1);
    let request = prompt(&[(1, 12)]);
    run_at(&mut router, &request, &engine(0), "a", at_ms(900));
    run_at(&mut router, &request, &engine(0), "b", at_ms(100));
    let decision = router.choose(&request.route(), at_ms(200));
    assert!(expected_at(&decision, &engine(0)) > 0);
}
