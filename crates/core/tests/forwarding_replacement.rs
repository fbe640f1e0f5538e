//! Several back ends whose entries name one address.

use std::{collections::BTreeMap, net::SocketAddr};

use paddlemount_core::forwarding::{
    backends::{BackendEntry, BackendId, BackendState, Backends, EntryChange},
    replacement::{EntrySource, Replacement},
};
use paddlemount_protocol::{
    identity::{ModelId, ServiceId, WeightsVersion, ZoneId},
    time::Timestamp,
};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn model() -> ModelId {
    ModelId::from("m")
}

fn entry(id: &str, port: u16, born: Option<u64>) -> BackendEntry {
    BackendEntry {
        id: BackendId::from(id),
        service: ServiceId::from("s"),
        address: address(port),
        zone: ZoneId::from("z"),
        slots: 1,
        leaving: false,
        born,
        weights: BTreeMap::from([(model(), WeightsVersion(3))]),
    }
}

fn id(name: &str) -> BackendId {
    BackendId::from(name)
}

fn usable(backends: &Backends) -> Vec<String> {
    backends.usable(&ServiceId::from("s")).map(|backend| backend.entry.id.to_string()).collect()
}

fn changed(backends: &mut Backends, entry: BackendEntry) -> Vec<Replacement> {
    backends.apply_entry(entry, EntrySource::Update).replaced
}

#[test]
fn the_later_of_two_back_ends_has_the_address_and_repeating_the_earlier_entry_changes_nothing() {
    let mut backends = Backends::default();
    changed(&mut backends, entry("a", 1, None));
    let replaced = changed(&mut backends, entry("b", 1, None));
    assert_eq!(replaced, [Replacement { backend: id("a"), by: id("b") }]);
    for heard in [EntrySource::Update, EntrySource::Listing] {
        assert_eq!(backends.apply_entry(entry("a", 1, None), heard).change, EntryChange::None);
    }
    let older = BTreeMap::from([(model(), WeightsVersion(2))]);
    changed(&mut backends, BackendEntry { weights: older, ..entry("a", 1, None) });
    assert_eq!(usable(&backends), ["b"]);
    let pool = backends.pool(&ServiceId::from("s")).expect("the service is known");
    assert_eq!(pool.versions(&model()).collect::<Vec<_>>(), [(WeightsVersion(3), 1)]);
}

#[test]
fn a_back_end_that_was_replaced_comes_back_with_an_entry_that_changed() {
    let moved = entry("a", 2, None);
    let newer_weights =
        BackendEntry { weights: BTreeMap::from([(model(), WeightsVersion(4))]), ..entry("a", 1, None) };
    for (back, left) in
        [(moved, vec!["a", "b"]), (entry("a", 1, Some(9)), vec!["a"]), (newer_weights, vec!["a"])]
    {
        let mut backends = Backends::default();
        changed(&mut backends, entry("a", 1, None));
        changed(&mut backends, entry("b", 1, None));
        changed(&mut backends, back.clone());
        assert_eq!(usable(&backends), left, "{back:?}");
    }
}

#[test]
fn in_a_first_listing_the_time_of_their_start_decides_and_nothing_where_it_is_not_told() {
    for (first, second, left) in [
        (Some(5), Some(7), vec!["b"]),
        (Some(7), Some(5), vec!["a"]),
        (None, None, vec!["a", "b"]),
        (Some(7), None, vec!["a", "b"]),
    ] {
        let mut backends = Backends::default();
        backends.apply_entry(entry("a", 1, first), EntrySource::Listing);
        backends.apply_entry(entry("b", 1, second), EntrySource::Listing);
        assert_eq!(usable(&backends), left);
    }
}

#[test]
fn an_answer_of_another_back_end_replaces_the_one_that_was_asked_and_brings_back_the_one_that_answered() {
    let mut backends = Backends::default();
    changed(&mut backends, entry("a", 1, None));
    changed(&mut backends, entry("b", 1, None));
    assert!(
        !backends.observe_misdirected(&id("b"), address(9), &id("a")),
        "it was asked where it is no longer"
    );
    assert!(!backends.observe_misdirected(&id("b"), address(1), &id("b")), "it answered itself");
    assert!(backends.observe_misdirected(&id("b"), address(1), &id("a")));
    assert_eq!(usable(&backends), ["a"]);
    assert!(backends.observe_misdirected(&id("a"), address(1), &id("nobody knows it")));
    assert!(usable(&backends).is_empty(), "who answers is known by an entry of its own only");
    assert!(backends.get(&id("nobody knows it")).is_none());
}

#[test]
fn a_back_end_that_was_replaced_goes_with_its_entry_also_while_the_registry_is_away() {
    let mut backends = Backends::default();
    changed(&mut backends, entry("a", 1, None));
    changed(&mut backends, entry("b", 1, None));
    backends.registry.failed();
    assert_eq!(backends.remove(&id("a"), Timestamp::ZERO), EntryChange::Removed);
    changed(&mut backends, entry("c", 2, None));
    assert_eq!(backends.remove(&id("c"), Timestamp::ZERO), EntryChange::Suspect);
    assert_eq!(changed(&mut backends, entry("d", 2, None)).len(), 1);
    assert!(backends.get(&id("c")).is_none(), "nothing would ever tell that it is gone");
}

/// One that is alive, and an entry of an earlier process at its address that was told after its own.
fn replaced_by_a_stale_entry() -> Backends {
    let mut backends = Backends::default();
    changed(&mut backends, entry("alive", 1, None));
    changed(&mut backends, entry("stale", 1, None));
    assert_eq!(usable(&backends), ["stale"]);
    backends
}

#[test]
fn one_that_was_replaced_by_an_entry_that_goes_gets_work_again() {
    let mut backends = replaced_by_a_stale_entry();
    backends.remove(&id("stale"), Timestamp::ZERO);
    assert_eq!(usable(&backends), ["alive"]);
    assert_eq!(backends.take_reopened(), [id("alive")]);
}

#[test]
fn one_that_was_replaced_by_an_entry_that_moves_gets_work_again() {
    let mut backends = replaced_by_a_stale_entry();
    changed(&mut backends, entry("stale", 2, None));
    assert_eq!(usable(&backends), ["alive", "stale"]);
    assert_eq!(backends.take_reopened(), [id("alive")]);
}

#[test]
fn an_entry_that_is_first_heard_of_as_it_leaves_replaces_nobody() {
    let mut backends = Backends::default();
    changed(&mut backends, entry("a", 1, None));
    assert_eq!(changed(&mut backends, BackendEntry { leaving: true, ..entry("b", 1, None) }), []);
    assert_eq!(usable(&backends), ["a"]);
}

/// Whatever is told in whatever order, an address that two back ends name has one that gets work where their order is known,
/// and nothing is kept of back ends without an entry.
#[test]
fn each_address_has_one_back_end_after_any_changes() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut backends = Backends::default();
        let mut entries: BTreeMap<BackendId, BackendEntry> = BTreeMap::new();
        for (kind, number, port) in steps {
            let name = format!("b{}", number % 6);
            let at = address(u16::from(port % 3) + 1);
            match kind % 5 {
                0..=2 => {
                    let entry = entry(&name, at.port(), (kind % 2 == 0).then_some(u64::from(*kind)));
                    entries.insert(id(&name), entry.clone());
                    changed(&mut backends, entry);
                }
                3 => {
                    entries.remove(&id(&name));
                    backends.remove(&id(&name), Timestamp::ZERO);
                }
                _ => drop(backends.observe_misdirected(&id(&name), at, &id(&format!("b{}", kind % 6)))),
            }
            let mut holders: BTreeMap<SocketAddr, usize> = BTreeMap::new();
            for backend in backends.iter().filter(|backend| backend.state == BackendState::Ready) {
                *holders.entry(backend.entry.address).or_default() += 1;
            }
            assert!(holders.values().all(|holders| *holders == 1), "{holders:?}");
            assert!(backends.iter().all(|backend| entries.contains_key(&backend.entry.id)));
        }
    });
}
