//! Which of several stores of kept parts a prompt's parts belong to.

use std::{collections::BTreeMap, net::SocketAddr};

use paddlemount_core::forwarding::{
    choice::{CacheStore, shard_of},
    prompt::{Prompt, Segment, SegmentId},
};
use paddlemount_protocol::identity::{EngineId, ModelId};

fn stores(count: u16) -> Vec<CacheStore> {
    let store = |number: u16| CacheStore {
        id: EngineId::from(format!("kept-{number}").as_str()),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000 + number)),
    };
    (0..count).map(store).collect()
}

fn prompt(subject: u64, own: u64) -> Prompt {
    let part = |id, tokens| Segment { id: SegmentId(id), tokens };
    Prompt {
        model: ModelId::from("m"),
        prompt_tokens: 7_000,
        output_tokens: 10,
        segments: vec![part(1, 2_000), part(subject, 4_000), part(own, 1_000)],
    }
}

#[test]
fn all_prompts_with_one_subject_belong_to_one_store_in_whatever_order_stores_are_known() {
    let known = stores(6);
    for subject in 100..200 {
        let first = shard_of(&prompt(subject, 1_000), known.iter().cloned());
        let second = shard_of(&prompt(subject, 2_000), known.iter().rev().cloned());
        assert!(first.is_some());
        assert_eq!(first, second, "subject {subject}");
    }
}

#[test]
fn every_store_gets_its_part_of_the_prompts() {
    let known = stores(6);
    let mut prompts: BTreeMap<String, u32> = BTreeMap::new();
    for subject in 0..6_000 {
        let store = shard_of(&prompt(subject + 10, 0), known.iter().cloned()).expect("a store");
        *prompts.entry(store.id.as_str().to_owned()).or_default() += 1;
    }
    assert_eq!(prompts.len(), 6);
    assert!(prompts.values().all(|count| (850..1_150).contains(count)), "{prompts:?}");
}

#[test]
fn a_store_that_goes_moves_only_what_belonged_to_it() {
    let known = stores(6);
    let lost = known[2].clone();
    let left: Vec<CacheStore> = known.iter().filter(|store| **store != lost).cloned().collect();
    for subject in 10..500 {
        let before = shard_of(&prompt(subject, 0), known.iter().cloned()).expect("a store");
        let after = shard_of(&prompt(subject, 0), left.iter().cloned()).expect("a store");
        assert!(before == after || before == lost, "subject {subject}");
    }
}

#[test]
fn a_prompt_that_shares_nothing_belongs_to_no_store() {
    let alone = Prompt { segments: vec![Segment { id: SegmentId(5), tokens: 900 }], ..prompt(0, 0) };
    assert_eq!(shard_of(&alone, stores(6).into_iter()), None);
    assert_eq!(shard_of(&prompt(1, 2), std::iter::empty()), None);
}
