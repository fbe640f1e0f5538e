//! Choosing back ends for prompts and other requests.

use std::{collections::BTreeSet, net::SocketAddr};

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::{Candidate, Choice, Chooser, Placement, Store},
    partition::{Partition, RequestWork, Side, takes_long, work_of},
    prefixes::{KeptPart, ScopeHash},
    prompt::{CacheScope, Part, PartId, Prompt},
};
use paddlemount_protocol::{
    fleet::EngineWork,
    identity::{ModelId, NodeId, ServiceId, TenantId, WeightsVersion, ZoneId},
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
            avoided: false,
            outdated: false,
        };
        self.ids.iter().enumerate().map(candidate).collect()
    }

    fn placement<'a>(&'a self, prompt: &'a Prompt, draw: u64) -> Placement<'a> {
        Placement {
            prompt: Some(prompt),
            isolated: None,
            zone: &self.zone,
            draw,
            store: None,
            considered: None,
            copied: false,
        }
    }
}

/// A request that reads so much, and writes next to nothing.
fn reading(tokens: u32) -> RequestWork {
    RequestWork { read_tokens: tokens, work_tokens: tokens }
}

fn prompt(shared: &[(u64, u32)], own: u32) -> Prompt {
    let mut parts: Vec<Part> =
        shared.iter().map(|(id, tokens)| Part { id: PartId(*id), tokens: *tokens }).collect();
    parts.push(Part { id: PartId(999), tokens: own });
    Prompt {
        model: ModelId::from("m"),
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: 50,
        parts,
    }
}

fn scope(weights: u64) -> CacheScope {
    CacheScope { model: ModelId::from("m"), weights: WeightsVersion(weights), tenant: None }
}

fn choose(chooser: &Chooser, world: &World, prompt: &Prompt, draw: u64) -> Choice {
    chooser.choose(world.placement(prompt, draw), &world.candidates()).expect("a back end")
}

#[test]
fn a_part_that_nobody_keeps_is_read_at_one_place_whoever_asks() {
    let world = World::of(&[1; 8]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let chosen: Vec<BackendId> =
        (0..20).map(|draw| choose(&Chooser::default(), &world, &prompt, draw).backend).collect();
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{chosen:?}");
}

#[test]
fn a_part_that_another_keeps_is_imported_from_it_and_not_read_again() {
    let world = World::of(&[1; 4]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.learned(&world.ids[2], &scope(1), &prompt, Timestamp::ZERO);
    // The keeper is busy: the prefix moves instead of the request waiting.
    chooser.loads.started(&world.ids[2], 50_000, Timestamp::ZERO);
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
    chooser.learned(&world.ids[0], &scope(1), &prompt, Timestamp::ZERO);
    chooser.loads.started(&world.ids[0], 90_000, Timestamp::ZERO);
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
    chooser.learned(&world.ids[2], &scope(1), &prompt, Timestamp::ZERO);
    let tenant = TenantId::from("alpha");
    let placement = Placement { isolated: Some(&tenant), ..world.placement(&prompt, 1) };
    let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
    assert_eq!((choice.held_tokens, choice.import_from), (0, None));
    assert_eq!(choice.scope.expect("a scope").tenant, Some(tenant));
}

#[test]
fn what_nobody_kept_is_handed_to_the_store_and_found_there_later() {
    let world = World::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let id = BackendId::from("store");
    let store = Store { id: id.clone(), address: address(50) };
    let placement = |draw| Placement { store: Some(&store), ..world.placement(&prompt, draw) };
    let mut chooser = Chooser::default();
    let first = chooser.choose(placement(1), &world.candidates()).expect("a back end");
    assert_eq!(first.save_to, Some(store.clone()));
    let kept = KeptPart { scope: ScopeHash::from(&scope(1)), part: PartId(7), tokens: 4_000 };
    chooser.told(&id, &[kept], Timestamp::ZERO);
    let second = chooser.choose(placement(2), &world.candidates()).expect("a back end");
    assert_eq!((second.import_from, second.save_to), (Some(address(50)), None));
}

#[test]
fn the_store_comes_before_an_engine_that_keeps_as_much_only_where_nodes_are_many() {
    let world = World::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let store = Store { id: BackendId::from("store"), address: address(50) };
    let mut chooser = Chooser::default();
    chooser.learned(&world.ids[0], &scope(1), &prompt, Timestamp::ZERO);
    chooser.learned(&store.id, &scope(1), &prompt, Timestamp::ZERO);
    chooser.loads.started(&world.ids[0], 90_000, Timestamp::ZERO);
    let few = Placement { store: Some(&store), ..world.placement(&prompt, 1) };
    let source = |placement| chooser.choose(placement, &world.candidates()).expect("a choice").import_from;
    assert_eq!(source(few), Some(address(0)));
    assert_eq!(source(Placement { considered: Some(3), ..few }), Some(store.address));
}

#[test]
fn a_part_that_gave_way_is_no_longer_believed_to_be_kept() {
    let world = World::of(&[1; 3]);
    let prompt = prompt(&[(7, 4_000)], 300);
    let mut chooser = Chooser::default();
    chooser.learned(&world.ids[1], &scope(1), &prompt, Timestamp::ZERO);
    let part = |tokens| KeptPart { scope: ScopeHash::from(&scope(1)), part: PartId(7), tokens };
    chooser.told(&world.ids[1], &[part(1_600)], Timestamp::ZERO);
    assert_eq!(chooser.prefixes.kept(&world.ids[1], ScopeHash::from(&scope(1)), prompt.shared()), 1_600);
    chooser.told(&world.ids[1], &[part(0)], Timestamp::ZERO);
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
        draw: 3,
        store: None,
        considered: None,
        copied: false,
    };
    chooser.loads.started(&world.ids[0], 0, Timestamp::ZERO);
    chooser.loads.started(&world.ids[1], 0, Timestamp::ZERO);
    let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
    assert_eq!(choice.backend, world.ids[2]);
    for _ in 0..10 {
        chooser.loads.measured(&world.ids[0], 50.0, Timestamp::ZERO);
        chooser.loads.measured(&world.ids[1], 50.0, Timestamp::ZERO);
        chooser.loads.measured(&world.ids[2], 900.0, Timestamp::ZERO);
    }
    let choice = chooser.choose(placement, &world.candidates()).expect("a back end");
    assert_ne!(choice.backend, world.ids[2]);
}

#[test]
fn long_prompts_get_their_share_of_the_back_ends_and_every_node_divides_alike() {
    let mut partition = Partition::default();
    let service = ServiceId::from("pool");
    for _ in 0..40 {
        partition.seen(&service, "long", reading(3_000), Timestamp::ZERO);
        partition.seen(&service, "short", reading(500), Timestamp::ZERO);
    }
    let (side, share) = partition.side(&service, "long", Timestamp::ZERO).expect("the routes differ");
    assert_eq!(side, Side::Long);
    assert!((0.75..0.95).contains(&share), "{share}");
    assert_eq!(partition.side(&service, "short", Timestamp::ZERO).expect("the routes differ").0, Side::Short);
    let world = World::of(&[1; 10]);
    let divided = takes_long(world.ids.iter(), share);
    assert_eq!(divided, takes_long(world.ids.iter(), share + 0.01));
    let long = divided.iter().filter(|long| **long).count();
    assert!((7..=9).contains(&long), "{long}");
}

#[test]
fn nodes_that_have_seen_few_requests_divide_by_what_all_have_seen() {
    let (service, at) = (ServiceId::from("pool"), Timestamp::from_millis);
    let node = |number: u32| {
        let mut partition = Partition::default();
        // Each sees another mix of a few requests.
        for _ in 0..=number % 3 {
            partition.seen(&service, "long", reading(2_500 + number * 10), at(0));
        }
        partition.seen(&service, "short", reading(500), at(0));
        partition
    };
    let mut nodes: Vec<Partition> = (0..30).map(node).collect();
    assert!(nodes.iter().all(|node| node.side(&service, "long", at(0)).is_none()), "each knows too little");
    let mut root = Partition::default();
    for (number, node) in nodes.iter().enumerate() {
        root.reported(NodeId::from(format!("n{number}").as_str()), node.seen_below(at(0)), at(0));
    }
    let all = root.seen_by_all(at(100));
    for node in &mut nodes {
        node.told(all.clone(), at(200));
        assert_eq!(node.side(&service, "long", at(200)), root.side(&service, "long", at(100)));
        assert_eq!(node.side(&service, "short", at(200)).expect("a side").0, Side::Short);
        assert_eq!(node.side(&service, "long", at(9_000)), None, "what was told is used for a while only");
    }
}

#[test]
fn routes_that_are_alike_are_not_divided() {
    let mut partition = Partition::default();
    let service = ServiceId::from("pool");
    for _ in 0..40 {
        partition.seen(&service, "one", reading(900), Timestamp::ZERO);
        partition.seen(&service, "two", reading(1_000), Timestamp::ZERO);
    }
    assert_eq!(partition.side(&service, "one", Timestamp::ZERO), None);
}

#[test]
fn a_back_end_that_leaves_a_request_without_a_word_is_suspect_until_it_answers() {
    let at = Timestamp::from_millis;
    let backend = BackendId::from("engine-0");
    let mut chooser = Chooser::default();
    for _ in 0..5 {
        chooser.loads.measured(&backend, 100.0, Timestamp::ZERO);
    }
    chooser.loads.started(&backend, 500, at(1_000));
    assert!(!chooser.loads.is_suspect(&backend, at(1_699)));
    assert!(chooser.loads.is_suspect(&backend, at(1_700)));
    chooser.loads.read(&backend, 500, at(1_000));
    assert!(!chooser.loads.is_suspect(&backend, at(1_700)));
}

#[test]
fn unused_parts_are_kept_for_less_time_the_more_is_read() {
    let at = Timestamp::from_millis;
    let mut chooser = Chooser::default();
    let backend = BackendId::from("engine-0");
    assert!(chooser.prefixes.kept_for(100_000, at(0)).as_secs() > 1_000);
    for number in 0..100 {
        let part = KeptPart { scope: ScopeHash::from(&scope(1)), part: PartId(number), tokens: 1_000 };
        chooser.told(&backend, &[part], at(number * 100));
    }
    // Ten thousand tokens a second into room for a hundred thousand.
    let kept = chooser.prefixes.kept_for(100_000, at(10_000)).as_secs();
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
    chooser.loads.started(&world.ids[1], 20_000, Timestamp::from_millis(1));
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
    chooser.loads.told(vec![work, light]);
    for draw in 0..20 {
        let chosen = chooser.choose(world.placement(&prompt, draw), &world.candidates()).expect("a choice");
        assert_eq!(chosen.backend, world.ids[1]);
    }
}

#[test]
fn answers_that_hold_a_slot_for_long_weigh_more_where_slots_are_few() {
    let short = prompt(&[(1, 100)], 600);
    assert_eq!(short.output_tokens, 50);
    assert_eq!(work_of(&short, 50, 0).work_tokens, 640);
    assert_eq!(work_of(&short, 10, 0).work_tokens, 800);
    let cold = work_of(&short, 10, u64::from(short.prompt_tokens));
    assert_eq!(cold.work_tokens - 200, short.prompt_tokens, "what is not kept is read as well");
}

#[test]
fn where_many_nodes_choose_each_weighs_a_few_back_ends_and_the_home_of_the_part() {
    let world = World::of(&[1; 60]);
    let chooser = Chooser::default();
    let prompt = prompt(&[(7, 3_000)], 500);
    let few = |draw| Placement { considered: Some(4), ..world.placement(&prompt, draw) };
    let homes: BTreeSet<_> = (0..30)
        .map(|draw| chooser.choose(few(draw), &world.candidates()).expect("a choice"))
        .map(|choice| (choice.backend, choice.at_home))
        .collect();
    assert_eq!(homes.len(), 1, "nobody keeps the part: all read it at its home");
    assert!(homes.iter().all(|(_, at_home)| *at_home));
    let mut busy = Chooser::default();
    let home = homes.first().expect("a home").0.clone();
    busy.loads.told(vec![EngineWork { engine: home.clone(), requests: 40, unread_tokens: 200_000 }]);
    let away: BTreeSet<_> =
        (0..30).map(|draw| busy.choose(few(draw), &world.candidates()).expect("a choice").backend).collect();
    assert!(!away.contains(&home));
    assert!(away.len() > 10, "different requests weigh different back ends: {}", away.len());
}

#[test]
fn a_source_is_named_also_for_a_prefix_that_the_back_end_is_believed_to_keep() {
    let world = World::of(&[1, 1, 1]);
    let mut chooser = Chooser::default();
    let prompt = prompt(&[(7, 3_000)], 500);
    let scope = CacheScope { model: prompt.model.clone(), weights: WeightsVersion(1), tenant: None };
    chooser.learned(&world.ids[0], &scope, &prompt, Timestamp::from_millis(1));
    let id = BackendId::from("store");
    let store = Store { id: id.clone(), address: address(90) };
    let placement = Placement { store: Some(&store), ..world.placement(&prompt, 1) };
    let alone = chooser.choose(placement, &world.candidates()).expect("a choice");
    assert_eq!((&alone.backend, alone.held_tokens), (&world.ids[0], 3_000));
    assert_eq!(alone.import_from, Some(store.address), "what is believed may be wrong");
    chooser.learned(&world.ids[1], &scope, &prompt, Timestamp::from_millis(2));
    let with_other = chooser.choose(placement, &world.candidates()).expect("a choice");
    let other = if with_other.backend == world.ids[0] { address(1) } else { address(0) };
    assert_eq!(with_other.import_from, Some(other));
    let many_nodes = Placement { considered: Some(6), ..placement };
    let from_store = chooser.choose(many_nodes, &world.candidates()).expect("a choice");
    assert_eq!(from_store.import_from, Some(store.address), "what many nodes know of engines is old");
}

#[test]
fn routes_are_told_apart_by_what_is_read_for_them_however_much_their_answers_may_have() {
    let mut partition = Partition::default();
    let service = ServiceId::from("pool");
    for _ in 0..40 {
        let read = RequestWork { read_tokens: 2_900, work_tokens: 3_100 };
        partition.seen(&service, "long", read, Timestamp::ZERO);
        let written = RequestWork { read_tokens: 600, work_tokens: 3_000 };
        partition.seen(&service, "short", written, Timestamp::ZERO);
    }
    let (side, share) = partition.side(&service, "long", Timestamp::ZERO).expect("the routes differ");
    assert_eq!(side, Side::Long);
    assert!((0.49..0.53).contains(&share), "{share}: the work decides how many engines each side gets");
}

#[test]
fn the_slowest_answer_of_a_back_end_that_is_met_seldom_is_forgotten_in_time() {
    let at = Timestamp::from_millis;
    let backend = BackendId::from("engine-0");
    let mut chooser = Chooser::default();
    chooser.loads.measured(&backend, 3_000.0, at(0));
    assert_eq!(chooser.loads.slowest(at(2_000)).as_millis(), 3_000);
    assert!(chooser.loads.slowest(at(6_000)).as_millis() < 1_200);
    assert!(chooser.loads.slowest(at(20_000)).as_millis() < 100);
}
