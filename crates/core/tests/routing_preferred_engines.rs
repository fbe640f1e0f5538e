//! Nodes agree on the preferred engines of a prefix without communication.

mod routing_support;

use std::collections::{BTreeMap, BTreeSet};

use paddlemount_core::routing::{Candidate, Router, RouterSettings};
use paddlemount_protocol::identity::{EngineId, ZoneId};
use routing_support::{at_ms, chosen, engine, prompt, router, router_with, run_at};

/// Returns the preferred engines of a prompt in rank order, without the overflow, which has a higher penalty.
fn preferred(router: &Router, segments: &[(u32, usize)]) -> Vec<EngineId> {
    let decision = router.preview(&prompt(segments).route(), at_ms(5));
    let mut ranked: Vec<_> = decision
        .candidates
        .iter()
        .filter_map(|candidate| candidate.affinity_rank.map(|rank| (rank, candidate)))
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    let share = |candidate: &Candidate| candidate.affinity_ms / candidate.prefill_ms;
    let step_of_rank = ranked.get(1).map_or(0.0, |(_, second)| share(second)).min(0.01);
    let mut before = 0.0;
    let within = |(_, candidate): &(u32, &Candidate)| {
        let step = share(candidate) - before;
        before = share(candidate);
        step < 2.0 * step_of_rank || candidate.affinity_rank == Some(0)
    };
    ranked.into_iter().take_while(within).map(|(_, candidate)| candidate.engine.clone()).collect()
}

#[test]
fn nodes_without_history_agree_regardless_of_seed_and_zone() {
    bolero::check!().with_type::<(u64, u64, u32, u8, u8)>().for_each(
        |(one_seed, other_seed, text, first, second)| {
            let segments = [(*text, usize::from(*first % 60) + 1), (7, usize::from(*second % 60))];
            let one = router(12, *one_seed);
            let other = router_with(12, RouterSettings::new(ZoneId::from("b"), *other_seed));
            let expected = preferred(&one, &segments);
            assert_eq!(expected, preferred(&other, &segments));
            assert!(!expected.is_empty());
        },
    );
}

#[test]
fn nodes_with_different_samples_of_the_same_traffic_agree() {
    let warm = |offset: u32| {
        let mut router = router(12, offset.into());
        for number in 0..200_u32 {
            let contract = number * 7 + offset;
            let request = prompt(&[(1, 24), (contract % 10, 40), (1_000 + contract, 4)]);
            let now = at_ms(u64::from(number));
            let decision = router.choose(&request.route(), now);
            run_at(&mut router, &request, &chosen(&decision), &number.to_string(), now);
        }
        router
    };
    let (one, other) = (warm(1), warm(5_000));
    for contract in 0..10 {
        let segments = [(1, 24), (contract, 40), (9_999, 4)];
        let (one, other) = (preferred(&one, &segments), preferred(&other, &segments));
        assert_eq!(one[0], other[0], "contract {contract}");
        assert!(one.len() <= 4 && other.len() <= 4);
    }
}

#[test]
fn prefixes_with_a_common_start_spread_over_several_engines_but_not_all() {
    let cold = router(12, 1);
    let mut used: BTreeMap<EngineId, u32> = BTreeMap::new();
    for contract in 0..60 {
        let head = preferred(&cold, &[(1, 24), (100 + contract, 40)]);
        *used.entry(head[0].clone()).or_default() += 1;
    }
    assert!((2..=8).contains(&used.len()), "{used:?}");
    assert!(used.values().all(|count| *count <= 40), "{used:?}");
}

#[test]
fn removing_an_engine_moves_only_its_own_prefixes() {
    let before = router(12, 1);
    let mut after = router(12, 1);
    let gone = engine(3);
    after.apply(paddlemount_core::routing::RouterEvent::Removed { engine: &gone }, at_ms(1));
    let mut moved = 0;
    for text in 0..200 {
        let segments = [(text, 50)];
        let (old, new) = (preferred(&before, &segments), preferred(&after, &segments));
        if old[0] == gone {
            continue;
        }
        moved += u32::from(!new.contains(&old[0]));
    }
    assert_eq!(moved, 0);
}

#[test]
fn a_hot_prefix_gets_more_engines_than_a_cold_one() {
    let mut router = router(12, 1);
    for number in 0..400_u32 {
        let opening = if number % 2 == 0 { 1 } else { 2 + number % 64 };
        let request = prompt(&[(opening, 40), (1_000 + number, 4)]);
        let now = at_ms(u64::from(number) * 5);
        let decision = router.choose(&request.route(), now);
        run_at(&mut router, &request, &chosen(&decision), &format!("{number}"), now);
    }
    let now = at_ms(2_000);
    let hot = router.preview(&prompt(&[(1, 40), (5_000, 4)]).route(), now);
    let cold = router.preview(&prompt(&[(3, 40), (5_001, 4)]).route(), now);
    assert!(hot.wanted_copies >= 4, "{}", hot.wanted_copies);
    assert!(cold.wanted_copies <= 2, "{}", cold.wanted_copies);
    let engines: BTreeSet<EngineId> = hot
        .candidates
        .iter()
        .filter(|candidate| candidate.expected_cached_tokens > 2_000)
        .map(|candidate| candidate.engine.clone())
        .collect();
    assert!(engines.len() as u32 <= hot.wanted_copies + 2, "{engines:?}");
}
