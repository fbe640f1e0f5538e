//! Several back ends whose entries name the same address.

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

fn entry(id: &str, port: u16, started_at: Option<u64>) -> BackendEntry {
    BackendEntry {
        software: None,
        id: BackendId::from(id),
        service: ServiceId::from("s"),
        address: address(port),
        zone: ZoneId::from("z"),
        slots: 1,
        leaving: false,
        started_at,
        weights: BTreeMap::from([(model(), WeightsVersion(3))]),
    }
}

fn id(name: &str) -> BackendId {
    BackendId::from(name)
}

fn usable(backends: &Backends) -> Vec<String> {
    backends.usable(&ServiceId::from("s")).map(|backend| backend.entry.id.to_string()).collect()
}

fn update(backends: &mut Backends, entry: BackendEntry) -> Vec<Replacement> {
    backends.apply_entry(entry, EntrySource::Update).replaced
}

#[test]
fn the_later_back_end_owns_the_address_and_repeated_entries_change_nothing() {
    let mut backends = Backends::default();
    update(&mut backends, entry("a", 1, None));
    let replaced = update(&mut backends, entry("b", 1, None));
    assert_eq!(replaced, [Replacement { backend: id("a"), by: id("b") }]);
    for source in [EntrySource::Update, EntrySource::Listing] {
        assert_eq!(backends.apply_entry(entry("a", 1, None), source).change, EntryChange::None);
    }
    let older = BTreeMap::from([(model(), WeightsVersion(2))]);
    update(&mut backends, BackendEntry { weights: older, ..entry("a", 1, None) });
    assert_eq!(usable(&backends), ["b"]);
    let pool = backends.pool(&ServiceId::from("s")).expect("the service is known");
    assert_eq!(pool.versions(&model()).collect::<Vec<_>>(), [(WeightsVersion(3), 1)]);
}

#[test]
fn a_replaced_back_end_returns_with_a_changed_entry() {
    let moved = entry("a", 2, None);
    let newer_weights =
        BackendEntry { weights: BTreeMap::from([(model(), WeightsVersion(4))]), ..entry("a", 1, None) };
    for (back, remaining) in
        [(moved, vec!["a", "b"]), (entry("a", 1, Some(9)), vec!["a"]), (newer_weights, vec!["a"])]
    {
        let mut backends = Backends::default();
        update(&mut backends, entry("a", 1, None));
        update(&mut backends, entry("b", 1, None));
        update(&mut backends, back.clone());
        assert_eq!(usable(&backends), remaining, "{back:?}");
    }
}

#[test]
fn in_a_listing_the_start_time_decides_if_it_is_known() {
    for (first, second, remaining) in [
        (Some(5), Some(7), vec!["b"]),
        (Some(7), Some(5), vec!["a"]),
        (None, None, vec!["a", "b"]),
        (Some(7), None, vec!["a", "b"]),
    ] {
        let mut backends = Backends::default();
        backends.apply_entry(entry("a", 1, first), EntrySource::Listing);
        backends.apply_entry(entry("b", 1, second), EntrySource::Listing);
        assert_eq!(usable(&backends), remaining);
    }
}

#[test]
fn an_answer_from_another_back_end_replaces_the_requested_one_and_reactivates_the_other() {
    let mut backends = Backends::default();
    update(&mut backends, entry("a", 1, None));
    update(&mut backends, entry("b", 1, None));
    assert!(
        !backends.observe_misdirected(&id("b"), address(9), &id("a")),
        "the request went to an earlier address"
    );
    assert!(!backends.observe_misdirected(&id("b"), address(1), &id("b")), "it answered itself");
    assert!(backends.observe_misdirected(&id("b"), address(1), &id("a")));
    assert_eq!(usable(&backends), ["a"]);
    assert!(backends.observe_misdirected(&id("a"), address(1), &id("nobody knows it")));
    assert!(usable(&backends).is_empty(), "a process without an entry gets no requests");
    assert!(backends.get(&id("nobody knows it")).is_none());
}

#[test]
fn a_replaced_back_end_is_dropped_with_its_entry_while_the_registry_is_unavailable() {
    let mut backends = Backends::default();
    update(&mut backends, entry("a", 1, None));
    update(&mut backends, entry("b", 1, None));
    backends.registry.failed();
    assert_eq!(backends.remove(&id("a"), Timestamp::ZERO), EntryChange::Removed);
    update(&mut backends, entry("c", 2, None));
    assert_eq!(backends.remove(&id("c"), Timestamp::ZERO), EntryChange::Suspect);
    assert_eq!(update(&mut backends, entry("d", 2, None)).len(), 1);
    assert!(backends.get(&id("c")).is_none(), "no later event would remove it");
}

/// A live back end, replaced by a stale entry that arrived after its own.
fn replaced_by_a_stale_entry() -> Backends {
    let mut backends = Backends::default();
    update(&mut backends, entry("alive", 1, None));
    update(&mut backends, entry("stale", 1, None));
    assert_eq!(usable(&backends), ["stale"]);
    backends
}

#[test]
fn a_replaced_back_end_returns_when_the_stale_entry_is_removed() {
    let mut backends = replaced_by_a_stale_entry();
    backends.remove(&id("stale"), Timestamp::ZERO);
    assert_eq!(usable(&backends), ["alive"]);
    assert_eq!(backends.take_reactivated(), [id("alive")]);
}

#[test]
fn a_replaced_back_end_returns_when_the_stale_entry_moves() {
    let mut backends = replaced_by_a_stale_entry();
    update(&mut backends, entry("stale", 2, None));
    assert_eq!(usable(&backends), ["alive", "stale"]);
    assert_eq!(backends.take_reactivated(), [id("alive")]);
}

#[test]
fn a_new_entry_that_is_leaving_replaces_no_other() {
    let mut backends = Backends::default();
    update(&mut backends, entry("a", 1, None));
    assert_eq!(update(&mut backends, BackendEntry { leaving: true, ..entry("b", 1, None) }), []);
    assert_eq!(usable(&backends), ["a"]);
}

/// After any updates, an address has one ready back end where the order is known, and no back end is left
/// without an entry.
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
                    update(&mut backends, entry);
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
