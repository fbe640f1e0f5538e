//! The index of a service's back ends, compared with a scan over all of them.

use std::{collections::BTreeMap, net::SocketAddr};

use paddlemount_core::forwarding::{
    backends::{BackendEntry, BackendId, BackendState, Backends},
    choice::{Candidate, Choice, Chooser, Placement},
    pool::Pool,
    prompt::{Prompt, Segment, SegmentId},
    ranks::{rank, rank_for},
};
use paddlemount_protocol::{
    identity::{ModelId, ServiceId, WeightsVersion, ZoneId},
    time::Timestamp,
};

fn service(number: u8) -> ServiceId {
    ServiceId::from(if number.is_multiple_of(4) { "other" } else { "pool" })
}

fn model() -> ModelId {
    ModelId::from("m")
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn entry(number: u8, version: u8, leaving: bool) -> BackendEntry {
    BackendEntry {
        software: None,
        id: BackendId::from(format!("b{}", number % 24)),
        service: service(number % 24),
        address: address(),
        zone: ZoneId::from("z"),
        slots: 8,
        leaving,
        started_at: None,
        weights: BTreeMap::from([(model(), WeightsVersion(u64::from(version % 3)))]),
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn check(backends: &Backends, now: Timestamp) {
    let service = ServiceId::from("pool");
    let scanned: Vec<_> = backends.usable(&service).map(|backend| backend.entry.id.clone()).collect();
    let empty = Pool::default();
    let pool = backends.pool(&service).unwrap_or(&empty);
    let mut indexed: Vec<_> = pool.usable().map(|ranked| ranked.id.clone()).collect();
    indexed.sort();
    assert_eq!(indexed, scanned);
    assert_eq!(pool.len(), scanned.len());
    assert!((0..pool.len()).all(|index| pool.get(index).is_some()));
    let mut versions: BTreeMap<WeightsVersion, usize> = BTreeMap::new();
    let ready: Vec<_> = backends
        .iter()
        .filter(|backend| backend.state == BackendState::Ready && backend.entry.service == service)
        .collect();
    for backend in &ready {
        *versions.entry(backend.entry.weights[&model()]).or_default() += 1;
    }
    assert_eq!(pool.versions(&model()).collect::<BTreeMap<_, _>>(), versions);
    let in_service = backends.versions_in_service(&service, &model(), now);
    let serving = ready.iter().filter(|backend| !backend.is_loading(now)).count();
    assert_eq!(in_service.iter().map(|(_, count)| count).sum::<usize>(), serving);
}

#[test]
fn the_index_matches_a_scan_after_any_changes() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut backends = Backends::default();
        let mut now = 0;
        for (kind, number, version) in steps {
            now += 100;
            let id = entry(*number, *version, false).id;
            match kind % 8 {
                0..=2 => drop(backends.put(entry(*number, *version, false))),
                3 => drop(backends.put(entry(*number, *version, true))),
                4 => drop(backends.remove(&id, at(now))),
                5 if version.is_multiple_of(2) => backends.registry.failed(),
                5 => backends.registry.answered(at(now)),
                6 => backends.observe_weights(&id, &model(), WeightsVersion(u64::from(version % 5))),
                _ if version.is_multiple_of(3) => drop(backends.expire(at(now))),
                _ if number.is_multiple_of(5) => {
                    backends.set_load_ordered_until(&id, version.is_multiple_of(2).then(|| at(now + 250)));
                }
                _ => backends.set_loading(&[id], at(now + 250)),
            }
            check(&backends, at(now));
        }
    });
}

#[test]
fn an_ordered_load_lasts_until_its_order_ends_whatever_versions_are_seen() {
    let mut backends = Backends::default();
    let (id, now) = (entry(1, 0, false).id, at(1_000));
    let loading = vec![id.clone()];
    backends.put(entry(1, 0, false));
    // The first version is seen while the engine already loads the second: without the mark all nodes would be
    // refused until that has ended.
    backends.set_load_ordered_until(&id, Some(at(9_000)));
    backends.observe_weights(&id, &model(), WeightsVersion(1));
    backends.put(entry(1, 2, false));
    backends.set_loading(&[], at(2_500));
    assert_eq!(backends.loading(now), loading);
    backends.set_load_ordered_until(&id, None);
    assert!(backends.loading(now).is_empty());
    // Other nodes use an engine as soon as it shows newer weights.
    backends.set_loading(&loading, at(2_500));
    assert_eq!(backends.loading(now), loading);
    backends.observe_weights(&id, &model(), WeightsVersion(3));
    assert!(backends.loading(now).is_empty());
}

/// Candidates of which some are ineligible or have other weights.
fn candidates<'a>(ids: &'a [BackendId], zone: &'a ZoneId) -> Vec<Candidate<'a>> {
    let candidate = |(number, id): (usize, &'a BackendId)| Candidate {
        software: None,
        id,
        address: address(),
        zone,
        weights: Some(WeightsVersion(1 + (number % 2) as u64)),
        slots: 8,
        eligible: number % 5 != 0,
        outdated: false,
        profile: None,
    };
    ids.iter().enumerate().map(candidate).collect()
}

#[test]
fn few_candidates_are_considered_and_the_preferred_engine_matches_a_scan() {
    let ids: Vec<BackendId> = (0..200).map(|number| BackendId::from(format!("engine-{number}"))).collect();
    let zone = ZoneId::from("z");
    let all = candidates(&ids, &zone);
    let chooser = Chooser::default();
    for subject in 0..200 {
        let segments = vec![
            Segment { id: SegmentId(subject), tokens: 4_000 },
            Segment { id: SegmentId(9_999), tokens: 300 },
        ];
        let prompt = Prompt { model: model(), prompt_tokens: 4_300, output_tokens: 10, segments };
        let placement = Placement {
            prompt: Some(&prompt),
            isolated: None,
            zone: &zone,
            seed: subject * 7,
            store: None,
            sample_size: Some(6),
            replicate: false,
            transfers: None,
            now: Timestamp::ZERO,
            timing: None,
        };
        let choice: Choice = chooser.choose(placement, &all).expect("a choice");
        let weights = choice.scope.as_ref().expect("a scope").weights;
        let eligible =
            all.iter().filter(|candidate| candidate.eligible && candidate.weights == Some(weights));
        let preferred = eligible.max_by_key(|candidate| rank_for(rank(candidate.id), subject));
        assert!(choice.eligible <= 8, "six are drawn, and a preferred engine for each version: {choice:?}");
        assert!(choice.is_preferred, "no engine has the segment cached, so the preferred one computes it");
        assert_eq!(Some(&choice.backend), preferred.map(|engine| engine.id));
    }
}

#[test]
fn a_pool_with_one_eligible_back_end_is_searched_completely() {
    let ids: Vec<BackendId> = (0..997).map(|number| BackendId::from(format!("engine-{number}"))).collect();
    let zone = ZoneId::from("z");
    let mut all = candidates(&ids, &zone);
    all.iter_mut().for_each(|candidate| candidate.eligible = false);
    all[500].eligible = true;
    let prompt = Prompt { model: model(), prompt_tokens: 300, output_tokens: 10, segments: Vec::new() };
    for seed in 0..50 {
        let placement = Placement {
            prompt: Some(&prompt),
            isolated: None,
            zone: &zone,
            seed,
            store: None,
            sample_size: Some(6),
            replicate: false,
            transfers: None,
            now: Timestamp::ZERO,
            timing: None,
        };
        let choice = Chooser::default().choose(placement, &all).expect("a choice");
        assert_eq!(choice.backend, ids[500]);
    }
}
