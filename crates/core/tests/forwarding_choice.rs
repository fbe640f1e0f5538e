//! The choice of back ends for prompts.

mod choice_support;

use std::collections::BTreeSet;

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::{Choice, Chooser, Placement, SourceKind, SourceTimes, StoreEndpoint},
    prefixes::{CachedSegment, ScopeHash},
    prompt::{CacheScope, Prompt, SegmentId},
};
use paddlemount_protocol::{
    fleet::EngineWork,
    identity::{ModelId, TenantId, WeightsVersion},
    time::Timestamp,
};

use choice_support::{Fixture, address, prompt};

fn scope(weights: u64) -> CacheScope {
    CacheScope { model: ModelId::from("m"), weights: WeightsVersion(weights), tenant: None }
}

fn choose(chooser: &Chooser, fixture: &Fixture, prompt: &Prompt, seed: u64) -> Choice {
    chooser.choose(fixture.placement(prompt, seed), &fixture.candidates()).expect("a back end")
}

#[test]
fn an_uncached_segment_is_prefilled_at_one_back_end_by_all_nodes() {
    let fixture = Fixture::of(&[1; 8]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let chosen: Vec<BackendId> =
        (0..20).map(|seed| choose(&Chooser::default(), &fixture, &prompt, seed).backend).collect();
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{chosen:?}");
}

#[test]
fn a_segment_cached_elsewhere_is_imported_instead_of_prefilled_again() {
    let fixture = Fixture::of(&[1; 4]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&fixture.ids[2], &scope(1), &prompt, Timestamp::ZERO);
    // The back end that has it cached is busy: the prefix is imported instead of the request waiting.
    chooser.loads.record_start(&fixture.ids[2], 50_000, Timestamp::ZERO);
    let choice = choose(&chooser, &fixture, &prompt, 1);
    assert_ne!(choice.backend, fixture.ids[2]);
    assert_eq!(choice.import_from, Some(address(2)));
    assert!(choice.expected_tokens < 1_000, "{choice:?}");
}

#[test]
fn nothing_is_imported_from_a_back_end_with_other_weights() {
    let fixture = Fixture::of(&[1, 2]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&fixture.ids[0], &scope(1), &prompt, Timestamp::ZERO);
    chooser.loads.record_start(&fixture.ids[0], 90_000, Timestamp::ZERO);
    let choice = choose(&chooser, &fixture, &prompt, 1);
    assert_eq!(choice.backend, fixture.ids[1]);
    assert_eq!(choice.import_from, None);
    assert_eq!(choice.scope.expect("a scope").weights, WeightsVersion(2));
}

#[test]
fn an_isolated_tenant_finds_no_segment_cached_for_others() {
    let fixture = Fixture::of(&[1; 4]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&fixture.ids[2], &scope(1), &prompt, Timestamp::ZERO);
    let tenant = TenantId::from("alpha");
    let placement = Placement { isolated: Some(&tenant), ..fixture.placement(&prompt, 1) };
    let choice = chooser.choose(placement, &fixture.candidates()).expect("a back end");
    assert_eq!((choice.cached_tokens, choice.import_from), (0, None));
    assert_eq!(choice.scope.expect("a scope").tenant, Some(tenant));
}

#[test]
fn uncached_segments_are_saved_to_the_store_and_imported_from_it_later() {
    let fixture = Fixture::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let id = BackendId::from("store");
    let store = StoreEndpoint { id: id.clone(), address: address(50) };
    let placement = |seed| Placement { store: Some(&store), ..fixture.placement(&prompt, seed) };
    let mut chooser = Chooser::default();
    let first = chooser.choose(placement(1), &fixture.candidates()).expect("a back end");
    assert_eq!(first.save_to, Some(store.clone()));
    let cached = CachedSegment { scope: ScopeHash::from(&scope(1)), segment: SegmentId(7), tokens: 4_000 };
    chooser.apply_feed(&id, &[cached], Timestamp::ZERO);
    let second = chooser.choose(placement(2), &fixture.candidates()).expect("a back end");
    assert_eq!((second.import_from, second.save_to), (Some(address(50)), None));
}

#[test]
fn the_store_is_preferred_to_an_engine_with_the_same_segments_only_with_many_nodes() {
    let fixture = Fixture::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let store = StoreEndpoint { id: BackendId::from("store"), address: address(50) };
    let mut chooser = Chooser::default();
    chooser.record_prefill(&fixture.ids[0], &scope(1), &prompt, Timestamp::ZERO);
    chooser.record_prefill(&store.id, &scope(1), &prompt, Timestamp::ZERO);
    chooser.loads.record_start(&fixture.ids[0], 90_000, Timestamp::ZERO);
    let few_nodes = Placement { store: Some(&store), ..fixture.placement(&prompt, 1) };
    let source = |placement| chooser.choose(placement, &fixture.candidates()).expect("a choice").import_from;
    assert_eq!(source(few_nodes), Some(address(0)));
    let many_nodes = Placement { sample_size: Some(3), seed: 1, ..few_nodes };
    assert_eq!(source(many_nodes), Some(store.address));
}

#[test]
fn an_evicted_segment_is_removed_from_the_index() {
    let fixture = Fixture::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.record_prefill(&fixture.ids[1], &scope(1), &prompt, Timestamp::ZERO);
    let segment = |tokens| CachedSegment { scope: ScopeHash::from(&scope(1)), segment: SegmentId(7), tokens };
    chooser.apply_feed(&fixture.ids[1], &[segment(1_600)], Timestamp::ZERO);
    assert_eq!(
        chooser.prefixes.cached_tokens(&fixture.ids[1], ScopeHash::from(&scope(1)), prompt.shared()),
        1_600
    );
    chooser.apply_feed(&fixture.ids[1], &[segment(0)], Timestamp::ZERO);
    assert!(chooser.prefixes.is_empty());
}

#[test]
fn retention_shrinks_as_more_tokens_are_cached() {
    let at = Timestamp::from_millis;
    let mut chooser = Chooser::default();
    let backend = BackendId::from("engine-0");
    assert!(chooser.prefixes.retention(100_000, at(0)).as_secs() > 1_000);
    for number in 0..100 {
        let segment =
            CachedSegment { scope: ScopeHash::from(&scope(1)), segment: SegmentId(number), tokens: 1_000 };
        chooser.apply_feed(&backend, &[segment], at(number * 100));
    }
    // Ten thousand tokens a second, with room for a hundred thousand.
    let retention = chooser.prefixes.retention(100_000, at(10_000)).as_secs();
    assert!((8..14).contains(&retention), "{retention}");
}

#[test]
fn a_back_end_with_older_weights_is_avoided_unless_the_others_are_busy() {
    let fixture = Fixture::of(&[1, 2]);
    let mut chooser = Chooser::default();
    let prompt = prompt(&[], 800);
    let mut candidates = fixture.candidates();
    candidates[0].outdated = true;
    let chosen = chooser.choose(fixture.placement(&prompt, 1), &candidates).expect("a choice");
    assert_eq!(chosen.backend, fixture.ids[1]);
    chooser.loads.record_start(&fixture.ids[1], 20_000, Timestamp::from_millis(1));
    let chosen = chooser.choose(fixture.placement(&prompt, 1), &candidates).expect("a choice");
    assert_eq!(chosen.backend, fixture.ids[0]);
}

#[test]
fn a_back_end_whose_slots_are_taken_by_any_nodes_requests_is_avoided() {
    let fixture = Fixture::of(&[1, 1]);
    let mut chooser = Chooser::default();
    let prompt = prompt(&[], 400);
    let work = EngineWork { engine: fixture.ids[0].clone(), requests: 8, pending_prefill_tokens: 0 };
    let light = EngineWork { engine: fixture.ids[1].clone(), requests: 2, pending_prefill_tokens: 2_500 };
    chooser.loads.set_others(vec![work, light], Timestamp::ZERO);
    for seed in 0..20 {
        let chosen =
            chooser.choose(fixture.placement(&prompt, seed), &fixture.candidates()).expect("a choice");
        assert_eq!(chosen.backend, fixture.ids[1]);
    }
}

#[test]
fn many_nodes_each_evaluate_a_sample_and_the_preferred_back_end() {
    let fixture = Fixture::of(&[1; 60]);
    let chooser = Chooser::default();
    let prompt = prompt(&[(7, 3_000)], 500);
    let sampled = |seed| Placement { sample_size: Some(4), ..fixture.placement(&prompt, seed) };
    let preferred: BTreeSet<_> = (0..30)
        .map(|seed| chooser.choose(sampled(seed), &fixture.candidates()).expect("a choice"))
        .map(|choice| (choice.backend, choice.is_preferred))
        .collect();
    assert_eq!(preferred.len(), 1, "the segment is uncached: all choose the preferred engine");
    assert!(preferred.iter().all(|(_, is_preferred)| *is_preferred));
    let mut busy = Chooser::default();
    let preferred_id = preferred.first().expect("a preferred back end").0.clone();
    busy.loads.set_others(
        vec![EngineWork { engine: preferred_id.clone(), requests: 40, pending_prefill_tokens: 200_000 }],
        Timestamp::ZERO,
    );
    let others: BTreeSet<_> = (0..30)
        .map(|seed| busy.choose(sampled(seed), &fixture.candidates()).expect("a choice").backend)
        .collect();
    assert!(!others.contains(&preferred_id));
    assert!(others.len() > 10, "requests draw different samples: {}", others.len());
}

#[test]
fn an_import_source_is_given_even_if_the_prefix_is_believed_to_be_cached() {
    let fixture = Fixture::of(&[1, 1, 1]);
    let mut chooser = Chooser::default();
    let prompt = prompt(&[(7, 3_000)], 500);
    let scope = CacheScope { model: prompt.model.clone(), weights: WeightsVersion(1), tenant: None };
    chooser.record_prefill(&fixture.ids[0], &scope, &prompt, Timestamp::from_millis(1));
    let id = BackendId::from("store");
    let store = StoreEndpoint { id: id.clone(), address: address(90) };
    let placement = Placement { store: Some(&store), ..fixture.placement(&prompt, 1) };
    let alone = chooser.choose(placement, &fixture.candidates()).expect("a choice");
    assert_eq!((&alone.backend, alone.cached_tokens), (&fixture.ids[0], 3_000));
    assert_eq!(alone.import_from, Some(store.address), "the index may be wrong");
    chooser.record_prefill(&fixture.ids[1], &scope, &prompt, Timestamp::from_millis(2));
    let with_other = chooser.choose(placement, &fixture.candidates()).expect("a choice");
    let other = if with_other.backend == fixture.ids[0] { address(1) } else { address(0) };
    assert_eq!(with_other.import_from, Some(other));
    let many_nodes = Placement { sample_size: Some(6), ..placement };
    let from_store = chooser.choose(many_nodes, &fixture.candidates()).expect("a choice");
    assert_eq!(
        from_store.import_from,
        Some(store.address),
        "with many nodes the index of engines is outdated"
    );
}

#[test]
fn engines_are_preferred_while_answers_from_stores_begin_much_later() {
    let ms = std::time::Duration::from_millis;
    let preferring = |times: &SourceTimes| (0..600).filter(|seed| times.prefers_store(*seed)).count();
    let mut times = SourceTimes::default();
    assert_eq!(preferring(&times), 500, "one in six tries engines");
    for _ in 0..10 {
        times.record(SourceKind::Store, ms(180));
        times.record(SourceKind::Engine, ms(150));
    }
    assert_eq!(preferring(&times), 500, "a small difference does not matter");
    for _ in 0..10 {
        times.record(SourceKind::Store, ms(1_500));
        times.record(SourceKind::Engine, ms(600));
    }
    assert_eq!(preferring(&times), 100, "one in six tries stores");
    for _ in 0..30 {
        times.record(SourceKind::Store, ms(200));
    }
    assert_eq!(preferring(&times), 500);
}
