//! Which of several cache stores a prompt's segments belong to.

use std::{collections::BTreeMap, net::SocketAddr};

use paddlemount_core::forwarding::{
    choice::{StoreEndpoint, shard_of},
    prompt::{Prompt, Segment, SegmentId},
};
use paddlemount_protocol::identity::{EngineId, ModelId};

fn stores(count: u16) -> Vec<StoreEndpoint> {
    let store = |number: u16| StoreEndpoint {
        id: EngineId::from(format!("kept-{number}").as_str()),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000 + number)),
    };
    (0..count).map(store).collect()
}

fn prompt(last_shared: u64, own_segment: u64) -> Prompt {
    let segment = |id, tokens| Segment { id: SegmentId(id), tokens };
    Prompt {
        model: ModelId::from("m"),
        prompt_tokens: 7_000,
        output_tokens: 10,
        segments: vec![segment(1, 2_000), segment(last_shared, 4_000), segment(own_segment, 1_000)],
    }
}

#[test]
fn prompts_with_the_same_last_shared_segment_belong_to_one_store_in_any_order_of_stores() {
    let known = stores(6);
    for last_shared in 100..200 {
        let first = shard_of(&prompt(last_shared, 1_000), known.iter().cloned());
        let second = shard_of(&prompt(last_shared, 2_000), known.iter().rev().cloned());
        assert!(first.is_some());
        assert_eq!(first, second, "segment {last_shared}");
    }
}

#[test]
fn prompts_are_spread_evenly_over_the_stores() {
    let known = stores(6);
    let mut prompts: BTreeMap<String, u32> = BTreeMap::new();
    for last_shared in 0..6_000 {
        let store = shard_of(&prompt(last_shared + 10, 0), known.iter().cloned()).expect("a store");
        *prompts.entry(store.id.as_str().to_owned()).or_default() += 1;
    }
    assert_eq!(prompts.len(), 6);
    assert!(prompts.values().all(|count| (850..1_150).contains(count)), "{prompts:?}");
}

#[test]
fn removing_a_store_moves_only_its_own_prompts() {
    let known = stores(6);
    let removed = known[2].clone();
    let remaining: Vec<StoreEndpoint> = known.iter().filter(|store| **store != removed).cloned().collect();
    for last_shared in 10..500 {
        let before = shard_of(&prompt(last_shared, 0), known.iter().cloned()).expect("a store");
        let after = shard_of(&prompt(last_shared, 0), remaining.iter().cloned()).expect("a store");
        assert!(before == after || before == removed, "segment {last_shared}");
    }
}

#[test]
fn a_prompt_without_shared_segments_belongs_to_no_store() {
    let alone = Prompt { segments: vec![Segment { id: SegmentId(5), tokens: 900 }], ..prompt(0, 0) };
    assert_eq!(shard_of(&alone, stores(6).into_iter()), None);
    assert_eq!(shard_of(&prompt(1, 2), std::iter::empty()), None);
}
