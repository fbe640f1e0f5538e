//! Choosing back ends for prompts and other requests.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::{CacheStore, Candidate, Choice, Chooser, Placement, SourceKind, SourceTimes},
    prefixes::{CachedSegment, ScopeHash},
    prompt::{CacheScope, Prompt, Segment, SegmentId},
};
use paddlemount_protocol::{
    fleet::EngineWork,
    identity::{ModelId, TenantId, WeightsVersion, ZoneId},
    time::Timestamp,
};

struct World {
    ids: Vec<BackendId>,
    zone: ZoneId,
    weights: Vec<u64>,
}

fn address(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + number as u16).into()
}

impl World {
    fn of(weights: &[u64]) -> Self {
        let ids = (0..weights.len()).map(|number| BackendId::from(format!("engine-{number}"))).collect();
        Self { ids, zone: ZoneId::from("z"), weights: weights.to_vec() }
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        let candidate = |(number, id)| Candidate {
            id,
            address: address(number),
            zone: &self.zone,
            weights: Some(WeightsVersion(self.weights[number])),
            slots: 8,
            eligible: true,
            outdated: false,
        };
        self.ids.iter().enumerate().map(candidate).collect()
    }

    fn placement<'a>(&'a self, prompt: &'a Prompt, seed: u64) -> Placement<'a> {
        Placement {
            prompt: Some(prompt),
            isolated: None,
            zone: &self.zone,
            seed,
            store: None,
            sample_size: None,
            replicate: false,
            now: Timestamp::ZERO,
        }
    }
}

fn prompt(shared: &[(u64, u32)], own: u32) -> Prompt {
    let mut segments: Vec<Segment> =
        shared.iter().map(|(id, tokens)| Segment { id: SegmentId(*id), tokens: *tokens }).collect();
    segments.push(Segment { id: SegmentId(999), tokens: own });
    Prompt {
        model: ModelId::from("m"),
        prompt_tokens: segments.iter().map(|part| part.tokens).sum(),
        output_tokens: 50,
        segments,
    }
}

fn scope(weights: u64) -> CacheScope {
    CacheScope { model: ModelId::from("m"), weights: WeightsVersion(weights), tenant: None }
}

fn choose(chooser: &Chooser, world: &World, prompt: &Prompt, seed: u64) -> Choice {
    chooser.choose(world.placement(prompt, seed), &world.candidates()).expect("a back end")
}

#[test]
fn a_part_that_nobody_keeps_is_read_at_one_place_whoever_asks() {
    let world = World::of(&[1; 8]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let chosen: Vec<BackendId> =
        (0..20).map(|seed| choose(&Chooser::default(), &world, &prompt, seed).backend).collect();
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{chosen:?}");
}

#[test]
fn a_part_that_another_keeps_is_imported_from_it_and_not_read_again() {
    let world = World::of(&[1; 4]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&world.ids[2], &scope(1), &prompt, Timestamp::ZERO);
    // The keeper is busy: the prefix moves instead of the request waiting.
    chooser.loads.record_start(&world.ids[2], 50_000, Timestamp::ZERO);
    let choice = choose(&chooser, &world, &prompt, 1);
    assert_ne!(choice.backend, world.ids[2]);
    assert_eq!(choice.import_from, Some(address(2)));
    assert!(choice.expected_tokens < 1_000, "{choice:?}");
}

#[test]
fn nothing_is_imported_from_a_back_end_with_other_weights() {
    let world = World::of(&[1, 2]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&world.ids[0], &scope(1), &prompt, Timestamp::ZERO);
    chooser.loads.record_start(&world.ids[0], 90_000, Timestamp::ZERO);
    let choice = choose(&chooser, &world, &prompt, 1);
    assert_eq!(choice.backend, world.ids[1]);
    assert_eq!(choice.import_from, None);
    assert_eq!(choice.scope.expect("a scope").weights, WeightsVersion(2));
}

#[test]
fn an_isolated_tenant_finds_nothing_that_others_have_read() {
    let world = World::of(&[1; 4]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&world.ids[2], &scope(1), &prompt, Timestamp::ZERO);
    let tenant = TenantId::from("alpha");
    let placement = Placement { isolated: Some(&tenant), ..world.placement(&prompt, 1) };
    let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
    assert_eq!((choice.cached_tokens, choice.import_from), (0, None));
    assert_eq!(choice.scope.expect("a scope").tenant, Some(tenant));
}

#[test]
fn what_nobody_kept_is_handed_to_the_store_and_found_there_later() {
    let world = World::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let id = BackendId::from("store");
    let store = CacheStore { id: id.clone(), address: address(50) };
    let placement = |seed| Placement { store: Some(&store), ..world.placement(&prompt, seed) };
    let mut chooser = Chooser::default();
    let first = chooser.choose(placement(1), &world.candidates()).expect("a back end");
    assert_eq!(first.save_to, Some(store.clone()));
    let kept = CachedSegment { scope: ScopeHash::from(&scope(1)), segment: SegmentId(7), tokens: 4_000 };
    chooser.apply_feed(&id, &[kept], Timestamp::ZERO);
    let second = chooser.choose(placement(2), &world.candidates()).expect("a back end");
    assert_eq!((second.import_from, second.save_to), (Some(address(50)), None));
}

#[test]
fn the_store_comes_before_an_engine_that_keeps_as_much_only_where_nodes_are_many() {
    let world = World::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let store = CacheStore { id: BackendId::from("store"), address: address(50) };
    let mut chooser = Chooser::default();
    chooser.record_prefill(&world.ids[0], &scope(1), &prompt, Timestamp::ZERO);
    chooser.record_prefill(&store.id, &scope(1), &prompt, Timestamp::ZERO);
    chooser.loads.record_start(&world.ids[0], 90_000, Timestamp::ZERO);
    let few = Placement { store: Some(&store), ..world.placement(&prompt, 1) };
    let source = |placement| chooser.choose(placement, &world.candidates()).expect("a choice").import_from;
    assert_eq!(source(few), Some(address(0)));
    let many = Placement { sample_size: Some(3), seed: 1, ..few };
    assert_eq!(source(many), Some(store.address));
}

#[test]
fn a_part_that_gave_way_is_no_longer_believed_to_be_kept() {
    let world = World::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&world.ids[1], &scope(1), &prompt, Timestamp::ZERO);
    let part = |tokens| CachedSegment { scope: ScopeHash::from(&scope(1)), segment: SegmentId(7), tokens };
    chooser.apply_feed(&world.ids[1], &[part(1_600)], Timestamp::ZERO);
    assert_eq!(
        chooser.prefixes.cached_tokens(&world.ids[1], ScopeHash::from(&scope(1)), prompt.shared()),
        1_600
    );
    chooser.apply_feed(&world.ids[1], &[part(0)], Timestamp::ZERO);
    assert!(chooser.prefixes.is_empty());
}

#[test]
fn requests_without_prompts_go_where_fewest_are_and_avoid_a_slow_back_end() {
    let world = World::of(&[1; 3]);
    let mut chooser = Chooser::default();
    let placement = Placement {
        prompt: None,
        isolated: None,
        zone: &world.zone,
        seed: 3,
        store: None,
        sample_size: None,
        replicate: false,
        now: Timestamp::ZERO,
    };
    chooser.loads.record_start(&world.ids[0], 0, Timestamp::ZERO);
    chooser.loads.record_start(&world.ids[1], 0, Timestamp::ZERO);
    let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
    assert_eq!(choice.backend, world.ids[2]);
    for _ in 0..10 {
        chooser.loads.record_latency(&world.ids[0], 50.0, Timestamp::ZERO);
        chooser.loads.record_latency(&world.ids[1], 50.0, Timestamp::ZERO);
        chooser.loads.record_latency(&world.ids[2], 900.0, Timestamp::ZERO);
    }
    let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
    assert_ne!(choice.backend, world.ids[2]);
}

#[test]
fn a_back_end_that_leaves_a_request_without_a_word_is_suspect_until_it_answers() {
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
fn unused_parts_are_kept_for_less_time_the_more_is_read() {
    let at = Timestamp::from_millis;
    let mut chooser = Chooser::default();
    let backend = BackendId::from("engine-0");
    assert!(chooser.prefixes.retention(100_000, at(0)).as_secs() > 1_000);
    for number in 0..100 {
        let part =
            CachedSegment { scope: ScopeHash::from(&scope(1)), segment: SegmentId(number), tokens: 1_000 };
        chooser.apply_feed(&backend, &[part], at(number * 100));
    }
    // Ten thousand tokens a second into room for a hundred thousand.
    let kept = chooser.prefixes.retention(100_000, at(10_000)).as_secs();
    assert!((8..14).contains(&kept), "{kept}");
}

#[test]
fn a_back_end_with_older_weights_is_left_unless_the_others_have_much_to_do() {
    let world = World::of(&[1, 2]);
    let mut chooser = Chooser::default();
    let prompt = prompt(&[], 800);
    let mut candidates = world.candidates();
    candidates[0].outdated = true;
    let chosen = chooser.choose(world.placement(&prompt, 1), &candidates).expect("a choice");
    assert_eq!(chosen.backend, world.ids[1]);
    chooser.loads.record_start(&world.ids[1], 20_000, Timestamp::from_millis(1));
    let chosen = chooser.choose(world.placement(&prompt, 1), &candidates).expect("a choice");
    assert_eq!(chosen.backend, world.ids[0]);
}

#[test]
fn a_back_end_whose_slots_are_taken_by_anyones_requests_is_left() {
    let world = World::of(&[1, 1]);
    let mut chooser = Chooser::default();
    let prompt = prompt(&[], 400);
    let work = EngineWork { engine: world.ids[0].clone(), requests: 8, unread_tokens: 0 };
    let light = EngineWork { engine: world.ids[1].clone(), requests: 2, unread_tokens: 2_500 };
    chooser.loads.set_others(vec![work, light]);
    for seed in 0..20 {
        let chosen = chooser.choose(world.placement(&prompt, seed), &world.candidates()).expect("a choice");
        assert_eq!(chosen.backend, world.ids[1]);
    }
}

#[test]
fn where_many_nodes_choose_each_weighs_a_few_back_ends_and_the_home_of_the_part() {
    let world = World::of(&[1; 60]);
    let chooser = Chooser::default();
    let prompt = prompt(&[(7, 3_000)], 500);
    let few = |seed| Placement { sample_size: Some(4), ..world.placement(&prompt, seed) };
    let homes: BTreeSet<_> = (0..30)
        .map(|seed| chooser.choose(few(seed), &world.candidates()).expect("a choice"))
        .map(|choice| (choice.backend, choice.is_preferred))
        .collect();
    assert_eq!(homes.len(), 1, "nobody keeps the part: all read it at its home");
    assert!(homes.iter().all(|(_, at_home)| *at_home));
    let mut busy = Chooser::default();
    let home = homes.first().expect("a home").0.clone();
    busy.loads.set_others(vec![EngineWork { engine: home.clone(), requests: 40, unread_tokens: 200_000 }]);
    let away: BTreeSet<_> =
        (0..30).map(|seed| busy.choose(few(seed), &world.candidates()).expect("a choice").backend).collect();
    assert!(!away.contains(&home));
    assert!(away.len() > 10, "different requests weigh different back ends: {}", away.len());
}

#[test]
fn a_source_is_named_also_for_a_prefix_that_the_back_end_is_believed_to_keep() {
    let world = World::of(&[1, 1, 1]);
    let mut chooser = Chooser::default();
    let prompt = prompt(&[(7, 3_000)], 500);
    let scope = CacheScope { model: prompt.model.clone(), weights: WeightsVersion(1), tenant: None };
    chooser.record_prefill(&world.ids[0], &scope, &prompt, Timestamp::from_millis(1));
    let id = BackendId::from("store");
    let store = CacheStore { id: id.clone(), address: address(90) };
    let placement = Placement { store: Some(&store), ..world.placement(&prompt, 1) };
    let alone = chooser.choose(placement, &world.candidates()).expect("a choice");
    assert_eq!((&alone.backend, alone.cached_tokens), (&world.ids[0], 3_000));
    assert_eq!(alone.import_from, Some(store.address), "what is believed may be wrong");
    chooser.record_prefill(&world.ids[1], &scope, &prompt, Timestamp::from_millis(2));
    let with_other = chooser.choose(placement, &world.candidates()).expect("a choice");
    let other = if with_other.backend == world.ids[0] { address(1) } else { address(0) };
    assert_eq!(with_other.import_from, Some(other));
    let many_nodes = Placement { sample_size: Some(6), ..placement };
    let from_store = chooser.choose(many_nodes, &world.candidates()).expect("a choice");
    assert_eq!(from_store.import_from, Some(store.address), "what many nodes know of engines is old");
}

#[test]
fn the_slowest_answer_of_a_back_end_that_is_met_seldom_is_forgotten_in_time() {
    let at = Timestamp::from_millis;
    let backend = BackendId::from("engine-0");
    let mut chooser = Chooser::default();
    chooser.loads.record_latency(&backend, 3_000.0, at(0));
    assert_eq!(chooser.loads.slowest(at(2_000)).as_millis(), 3_000);
    assert!(chooser.loads.slowest(at(6_000)).as_millis() < 1_200);
    assert!(chooser.loads.slowest(at(20_000)).as_millis() < 100);
}

/// Sends requests one after the other, each answered by a sound back end, and gives how many each back end got.
fn one_after_the_other(
    chooser: &mut Chooser,
    world: &World,
    from: Timestamp,
    pause: Duration,
    count: u32,
) -> Vec<usize> {
    let mut got = vec![0; world.ids.len()];
    for number in 0..count {
        let now = from + pause * number;
        let asked = prompt(&[], 1);
        let placement = Placement { prompt: None, now, ..world.placement(&asked, now.as_millis()) };
        let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
        chooser.loads.record_latency(&choice.backend, 2.0, now);
        let index = world.ids.iter().position(|id| *id == choice.backend).expect("one of them");
        got[index] += 1;
    }
    got
}

/// Two back ends were sound, and requests that came one after the other, some 11 ms apart, all went to the same one for 20 s: the
/// first answers of the other had begun late, and a back end is weighed by the average of its answers, which stood as it was for
/// as long as nothing newer was measured there. Every line told `"candidates":2,"cost":700`, the least cost that an idle back end
/// can have; the other one stood at 1,000 for good, whatever it would have answered.
#[test]
fn a_back_end_that_was_slow_for_a_moment_is_asked_again_however_few_requests_there_are() {
    let pause = Duration::from_millis(100);
    for (count, slow_ms) in [(2, 10.0), (4, 10.0), (4, 2_000.0)] {
        let world = World::of(&vec![1; count]);
        let mut chooser = Chooser::default();
        for id in &world.ids {
            let milliseconds = if *id == world.ids[0] { slow_ms } else { 2.0 };
            (0..5).for_each(|_| chooser.loads.record_latency(id, milliseconds, Timestamp::ZERO));
        }
        let got = one_after_the_other(&mut chooser, &world, Timestamp::ZERO, pause, 300);
        assert!(
            got[0] > 0,
            "of {count} back ends the one that took {slow_ms} ms got {got:?} requests in 30 s"
        );
        let later = Timestamp::ZERO + Duration::from_secs(30);
        let got = one_after_the_other(&mut chooser, &world, later, pause, 300);
        let least = got.iter().sum::<usize>() / (3 * count);
        assert!(got[0] >= least, "sound again, it gets {got:?}, at least {least} asked");
    }
}

/// A stall is no silence from which nothing can be told: what was known of a slow back end stands while it owes an answer.
#[test]
fn a_slow_back_end_that_owes_an_answer_is_still_known_as_slow() {
    let world = World::of(&[1; 2]);
    let mut chooser = Chooser::default();
    for (id, milliseconds) in world.ids.iter().zip([50.0, 2.0]) {
        (0..5).for_each(|_| chooser.loads.record_latency(id, milliseconds, Timestamp::ZERO));
    }
    chooser.loads.record_start(&world.ids[0], 0, Timestamp::ZERO);
    let got = one_after_the_other(&mut chooser, &world, Timestamp::ZERO, Duration::from_millis(100), 600);
    assert_eq!(got[0], 0, "{got:?}");
}

/// The one that had answered most was reckoned a little faster than usual for the milliseconds since its last answer, and the one
/// that had answered once exactly as usual: 1,731 of 1,731 requests went to the first.
#[test]
fn a_back_end_that_has_hardly_been_met_is_asked_whatever_the_others_answers() {
    for pause_ms in [10, 100, 5_000] {
        let world = World::of(&[1; 2]);
        let mut chooser = Chooser::default();
        (0..10).for_each(|_| chooser.loads.record_latency(&world.ids[1], 2.0, Timestamp::ZERO));
        let got =
            one_after_the_other(&mut chooser, &world, Timestamp::ZERO, Duration::from_millis(pause_ms), 60);
        assert!(got[0] >= 10, "every {pause_ms} ms one: {got:?}");
    }
}

/// What keeps a slow back end out must not go with its age: it is asked a few times, and gets nothing more.
#[test]
fn a_back_end_that_stays_slow_gets_few_requests() {
    let world = World::of(&[1; 4]);
    let mut chooser = Chooser::default();
    let mut slow = 0;
    for tenth in 0..600 {
        let now = Timestamp::from_millis(tenth * 100);
        let asked = prompt(&[], 1);
        let placement = Placement { prompt: None, now, ..world.placement(&asked, tenth) };
        let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
        let is_slow = choice.backend == world.ids[0];
        slow += usize::from(is_slow);
        chooser.loads.record_latency(&choice.backend, if is_slow { 50.0 } else { 2.0 }, now);
    }
    // Five to be known as slow, then one in ten seconds.
    assert!(slow <= 15, "{slow} of 600 went to the slow one");
}

#[test]
fn engines_are_asked_instead_of_stores_while_answers_from_stores_begin_much_later() {
    let ms = std::time::Duration::from_millis;
    let preferring = |times: &SourceTimes| (0..600).filter(|seed| times.prefers_store(*seed)).count();
    let mut times = SourceTimes::default();
    assert_eq!(preferring(&times), 500, "one in six looks how engines do");
    for _ in 0..10 {
        times.record(SourceKind::Store, ms(180));
        times.record(SourceKind::Engine, ms(150));
    }
    assert_eq!(preferring(&times), 500, "a small difference does not matter");
    for _ in 0..10 {
        times.record(SourceKind::Store, ms(1_500));
        times.record(SourceKind::Engine, ms(600));
    }
    assert_eq!(preferring(&times), 100, "one in six looks whether stores have become faster");
    for _ in 0..30 {
        times.record(SourceKind::Store, ms(200));
    }
    assert_eq!(preferring(&times), 500);
}
