//! Which transfers of cached tokens are requested, under the loads of two deployments.

use std::{net::SocketAddr, time::Duration};

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::{Candidate, Choice, Chooser, Placement, StoreEndpoint},
    prompt::{CacheScope, Prompt, Segment, SegmentId},
    transfers::{
        FALLBACK_OUTPUT_PER_TOKEN, FALLBACK_PREFILL_PER_TOKEN, Link, LinkQueues, TransferRates, Verdict,
        transfer_time,
    },
};
use paddlemount_protocol::{
    identity::{ModelId, WeightsVersion, ZoneId},
    time::Timestamp,
};

/// Bytes per token, and the bandwidths of engines and stores in Mbit/s.
const SMALL_TOKENS: (u64, f64, f64) = (18_432, 180_000.0, 49_000.0);
const LARGE_TOKENS: (u64, f64, f64) = (163_840, 280_000.0, 430_000.0);

fn rates<'a>((bytes_per_token, engine, store): (u64, f64, f64), zone: &'a ZoneId) -> TransferRates<'a> {
    TransferRates {
        bytes_per_token,
        engine: Link { mbps: engine },
        store: Link { mbps: store },
        store_zone: Some(zone),
        prefill_per_token: FALLBACK_PREFILL_PER_TOKEN,
        output_per_token: FALLBACK_OUTPUT_PER_TOKEN,
    }
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + number).into()
}

fn prompt(shared: u32, own: u32, output_tokens: u32) -> Prompt {
    let segments = vec![
        Segment { id: SegmentId(shared.into()), tokens: shared },
        Segment { id: SegmentId(9), tokens: own },
    ];
    Prompt { model: ModelId::from("m"), prompt_tokens: shared + own, output_tokens, segments }
}

fn long_prompt() -> Prompt {
    prompt(13_300, 3_720, 24)
}

fn short_prompt() -> Prompt {
    prompt(92, 291, 9)
}

struct Pool {
    ids: [BackendId; 2],
    zone: ZoneId,
    other_zone: ZoneId,
    store: StoreEndpoint,
    chooser: Chooser,
}

impl Pool {
    fn new() -> Self {
        let ids = ["engine-0", "engine-1"].map(BackendId::from);
        let store = StoreEndpoint { id: BackendId::from("store"), address: address(50) };
        let (zone, other_zone) = (ZoneId::from("a"), ZoneId::from("b"));
        Self { ids, zone, other_zone, store, chooser: Chooser::default() }
    }

    /// Records that a back end or the store has the prompt's prefix cached.
    fn cache(&mut self, holder: &BackendId, prompt: &Prompt) {
        let scope = CacheScope { model: ModelId::from("m"), weights: WeightsVersion(1), tenant: None };
        self.chooser.record_prefill(holder, &scope, prompt, Timestamp::ZERO);
    }

    /// The choice for a prompt if only `engine-0` is eligible.
    fn choose(&self, prompt: &Prompt, transfers: Option<TransferRates<'_>>, replicate: bool) -> Choice {
        let candidate = |number: u16| Candidate {
            software: None,
            id: &self.ids[usize::from(number)],
            address: address(number),
            zone: &self.zone,
            weights: Some(WeightsVersion(1)),
            slots: 16,
            eligible: number == 0 || replicate,
            outdated: false,
            profile: None,
        };
        let placement = Placement {
            prompt: Some(prompt),
            isolated: None,
            zone: &self.zone,
            seed: 1,
            store: Some(&self.store),
            sample_size: Some(2),
            replicate,
            transfers,
            now: Timestamp::ZERO,
            timing: None,
        };
        self.chooser.choose(placement, &vec![candidate(0), candidate(1)]).expect("a back end")
    }
}

#[test]
fn a_long_prefix_is_saved_and_imported_and_a_short_one_is_read() {
    for figures in [SMALL_TOKENS, LARGE_TOKENS] {
        let mut pool = Pool::new();
        // The store in another zone costs twice the time of the bytes and pays still.
        let store_zone = pool.other_zone.clone();
        let rates = rates(figures, &store_zone);
        let long = pool.choose(&long_prompt(), Some(rates), false);
        assert_eq!(long.save_to.as_ref(), Some(&pool.store));
        let short = pool.choose(&short_prompt(), Some(rates), false);
        assert_eq!((short.save_to, short.import_from), (None, None), "2 ms of prefill");
        assert_eq!(short.transfers.save.verdict, Verdict::PrefillIsFaster);

        let holder = pool.ids[1].clone();
        pool.cache(&holder, &long_prompt());
        pool.cache(&holder, &short_prompt());
        let long = pool.choose(&long_prompt(), Some(rates), false);
        assert_eq!((long.import_from, long.transfers.import.verdict), (Some(address(1)), Verdict::Pays));
        // The caller waits for less than the 266 ms of the prefill.
        assert!(long.expected_tokens < 13_300 + 3_720, "{long:?}");
    }
}

#[test]
fn a_short_prefix_is_not_imported_from_an_engine_or_the_store() {
    let mut pool = Pool::new();
    let store_zone = pool.zone.clone();
    let rates = rates(LARGE_TOKENS, &store_zone);
    for holder in [pool.ids[1].clone(), pool.store.id.clone(), pool.ids[0].clone()] {
        pool.cache(&holder, &short_prompt());
        let choice = pool.choose(&short_prompt(), Some(rates), false);
        assert_eq!((choice.import_from, choice.import_source, choice.save_to), (None, None, None));
    }
}

#[test]
fn a_wrong_belief_about_a_long_prefix_costs_an_import_and_no_prefill() {
    let mut pool = Pool::new();
    let store_zone = pool.zone.clone();
    let rates = rates(SMALL_TOKENS, &store_zone);
    let holder = pool.ids[0].clone();
    pool.cache(&holder, &long_prompt());
    let choice = pool.choose(&long_prompt(), Some(rates), false);
    assert_eq!((choice.import_from, choice.import_source), (Some(pool.store.address), None));
}

#[test]
fn without_stated_rates_everything_is_transferred_as_before() {
    let mut pool = Pool::new();
    let prompt = short_prompt();
    assert_eq!(pool.choose(&prompt, None, false).save_to.as_ref(), Some(&pool.store));
    let holder = pool.ids[1].clone();
    pool.cache(&holder, &prompt);
    let unstated = rates((0, 0.0, 0.0), &pool.zone);
    for transfers in [None, Some(unstated)] {
        let choice = pool.choose(&prompt, transfers, true);
        assert_eq!(choice.transfers.import.verdict, Verdict::Unweighed);
        assert!(choice.import_from.is_some() && choice.copy_to.is_some(), "{choice:?}");
    }
    let link = Link { mbps: 0.0 };
    assert_eq!(transfer_time(100, 18_432, link, link, false, Duration::ZERO), None);
}

#[test]
fn a_link_full_of_transfers_is_not_waited_for_longer_than_the_prefill() {
    let mut pool = Pool::new();
    let store_zone = pool.zone.clone();
    let rates = rates(LARGE_TOKENS, &store_zone);
    let holder = pool.ids[1].clone();
    pool.cache(&holder, &long_prompt());
    let mut imports = 0;
    while pool.choose(&long_prompt(), Some(rates), false).transfers.import.verdict == Verdict::Pays {
        let choice = pool.choose(&long_prompt(), Some(rates), false);
        pool.chooser.record_transfers(&choice, Timestamp::ZERO);
        imports += 1;
    }
    // 70 ms each, one after another, against 266 ms of prefill.
    assert_eq!(imports, 3);
    let refused = pool.choose(&long_prompt(), Some(rates), false);
    assert_eq!(refused.transfers.import.verdict, Verdict::LinkIsBusy);
    assert_eq!(refused.import_source, None);
}

#[test]
fn the_queue_of_a_link_drains_with_time_and_is_forgotten() {
    let mut queues = LinkQueues::default();
    let ends = [address(0), address(1)];
    let at = |milliseconds| Timestamp::ZERO + Duration::from_millis(milliseconds);
    queues.record(ends, Duration::from_millis(70), at(0));
    queues.record([address(1), address(2)], Duration::from_millis(30), at(10));
    assert_eq!(queues.queued([address(0), address(3)], at(10)), Duration::from_millis(60));
    assert_eq!(queues.queued([address(2), address(3)], at(10)), Duration::from_millis(90));
    assert_eq!(queues.queued(ends, at(100)), Duration::ZERO);
}

#[test]
fn only_runs_that_outlast_their_copy_are_copied() {
    let pool = Pool::new();
    let rates = rates(SMALL_TOKENS, &pool.zone);
    let copied = |output_tokens| pool.choose(&prompt(92, 291, output_tokens), Some(rates), true);
    // 90 ms of events: the run is over before the first copy is sent.
    let short = copied(9);
    assert_eq!((short.copy_to, short.transfers.copy.verdict), (None, Verdict::RunIsShort));
    // Two seconds of events, which a caller would otherwise wait for again.
    let long = copied(200);
    assert!(long.copy_to.is_some());
    assert_eq!(long.transfers.copy.verdict, Verdict::Pays);
    // Several copies occupy the links for less than the run takes.
    assert!(long.transfers.copy.occupies < Duration::from_millis(200), "{long:?}");
}

#[test]
fn the_bytes_take_twice_as_long_between_zones_and_the_slower_link_decides() {
    let time = |crosses_zones| {
        let (source, target) = (Link { mbps: 49_000.0 }, Link { mbps: 180_000.0 });
        transfer_time(13_300, 18_432, source, target, crosses_zones, Duration::ZERO).expect("stated rates")
    };
    // 8 ms of set-up and 40 ms of bytes.
    assert_eq!((time(false).as_millis(), time(true).as_millis()), (48, 88));
}
