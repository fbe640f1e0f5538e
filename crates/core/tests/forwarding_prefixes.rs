//! What nodes tell each other of cached segments, where engines cache and evict many that only one request
//! uses.

use paddlemount_core::forwarding::{
    backends::BackendId,
    prefixes::{CachedSegment, PrefixIndex, ScopeHash},
    prompt::{Segment, SegmentId},
};
use paddlemount_protocol::time::Timestamp;

const SCOPE: ScopeHash = ScopeHash(7);
/// A shared prefix of a long prompt.
const SHARED: Segment = Segment { id: SegmentId(1), tokens: 13_300 };
/// The part of a prompt that only its own request has.
const UNSHARED: Segment = Segment { id: SegmentId(2), tokens: 3_720 };

fn engine() -> BackendId {
    BackendId::from("e")
}

fn cached(segment: Segment) -> CachedSegment {
    CachedSegment { scope: SCOPE, segment: segment.id, tokens: segment.tokens }
}

#[test]
fn evictions_of_segments_that_other_nodes_know_are_told_and_no_others() {
    let (mut index, now) = (PrefixIndex::default(), Timestamp::ZERO);
    let told = index.record_prefill(&engine(), SCOPE, &[SHARED], now);
    assert_eq!(told, [cached(SHARED)]);
    for segment in [SHARED, UNSHARED] {
        index.set(&engine(), &cached(segment), now);
    }
    assert!(index.is_gossiped(&engine(), SCOPE, SHARED.id));
    assert!(!index.is_gossiped(&engine(), SCOPE, UNSHARED.id), "only this node's feed has it");
    let evicted = CachedSegment { tokens: 0, ..cached(SHARED) };
    index.set(&engine(), &evicted, now);
    assert!(!index.is_gossiped(&engine(), SCOPE, SHARED.id), "the eviction is told once");
}

#[test]
fn a_prefix_that_only_the_own_feed_has_shown_is_told_when_a_request_has_used_it() {
    let (mut index, now) = (PrefixIndex::default(), Timestamp::ZERO);
    index.set(&engine(), &cached(SHARED), now);
    assert_eq!(index.record_prefill(&engine(), SCOPE, &[SHARED], now), [cached(SHARED)]);
    assert_eq!(index.record_prefill(&engine(), SCOPE, &[SHARED], now), []);
}

#[test]
fn what_another_node_has_told_is_not_told_again() {
    let (mut index, now) = (PrefixIndex::default(), Timestamp::ZERO);
    index.set_gossiped(&engine(), &cached(SHARED), now);
    assert_eq!(index.record_prefill(&engine(), SCOPE, &[SHARED], now), []);
    assert!(index.is_gossiped(&engine(), SCOPE, SHARED.id));
}
