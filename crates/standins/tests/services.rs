//! Models of the platform's services and of booking in virtual time.

use std::time::Duration;

use paddlemount_protocol::{
    booking::ServiceRequest,
    engine::{EndedIncarnation, KvTransfer},
    identity::{FencingToken, Incarnation, Revision, WeightsVersion},
    platform::{
        CacheLookup, LeaseAcquire, LeaseRenew, LeaseResult, Machine, MachineRole, MachineState, StorePut,
        StorePutResult, WeightLoad,
    },
    prefix::{BlockHash, CacheScope},
    refusal::RefusalCode,
    time::Timestamp,
};
use paddlemount_standins::{
    booking::model::{BookingModel, duplicate_runs},
    cache_store::model::{CacheStoreLimits, CacheStoreModel},
    configuration_store::model::ConfigurationStoreModel,
    faults::{FaultInjector, InjectedRefusal, ReplyOutcome, ServiceFaults},
    incarnations::LatestIncarnations,
    machine_list::model::{MachineChange, MachineListModel},
    weight_store::model::{WeightStoreModel, WeightStoreSpeed},
};

const fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn acquire(holder: &str) -> LeaseAcquire {
    LeaseAcquire { name: "pool".into(), holder: holder.into(), ttl_ms: 100 }
}

fn renew(holder: &str, token: FencingToken) -> LeaseRenew {
    LeaseRenew { name: "pool".into(), holder: holder.into(), token, ttl_ms: 100 }
}

fn token(result: LeaseResult) -> FencingToken {
    let LeaseResult::Held { token, .. } = result else { panic!("not held: {result:?}") };
    token
}

#[test]
fn a_lease_that_lapsed_cannot_be_renewed_and_its_successor_has_a_higher_token() {
    let mut store = ConfigurationStoreModel::default();
    let first = token(store.acquire(&acquire("node-1"), at(0)));
    assert_eq!(
        store.acquire(&acquire("node-2"), at(40)),
        LeaseResult::HeldByOther { holder: "node-1".into(), remaining_ms: 60 }
    );
    assert_eq!(token(store.renew(&renew("node-1", first), at(50))), first);
    assert_eq!(store.renew(&renew("node-1", first), at(150)), LeaseResult::NotHeld);
    let second = token(store.acquire(&acquire("node-2"), at(150)));
    assert!(second > first);
    assert_eq!(store.release(&renew("node-1", first), at(160)), LeaseResult::NotHeld);
    assert_eq!(
        token(store.renew(&renew("node-2", second), at(170))),
        second,
        "a stale release changes nothing"
    );
}

#[test]
fn a_lapsed_lease_gets_a_new_token_even_for_the_same_holder() {
    let mut store = ConfigurationStoreModel::default();
    let first = token(store.acquire(&acquire("node-1"), at(0)));
    assert_eq!(token(store.acquire(&acquire("node-1"), at(50))), first);
    assert!(token(store.acquire(&acquire("node-1"), at(150))) > first);
}

#[test]
fn revisions_rise_with_every_put() {
    let mut store = ConfigurationStoreModel::new([("a".to_owned(), 1.into())]);
    let put =
        |key: &str, expected| StorePut { key: key.into(), expected: Revision(expected), value: 2.into() };
    assert_eq!(store.put(put("b", 0)), StorePutResult::Stored { revision: Revision(2) });
    assert_eq!(store.put(put("a", 2)), StorePutResult::Conflict { revision: Revision(1) });
    assert_eq!(store.put(put("a", 1)), StorePutResult::Stored { revision: Revision(3) });
    assert_eq!(store.get("a").revision, Revision(3));
}

fn machine(port: u16) -> Machine {
    Machine {
        role: MachineRole::Node { node: "node-1".into() },
        address: ([127, 0, 0, 1], port).into(),
        zone: "zone-a".into(),
        region: "region".into(),
        state: MachineState::Live,
    }
}

#[test]
fn the_machine_list_lags() {
    let mut list = MachineListModel::new(vec![machine(1)], Duration::from_millis(100));
    let leaving = MachineChange::SetState { address: machine(1).address, state: MachineState::Leaving };
    list.change(leaving, at(0));
    list.change(MachineChange::Put { machine: machine(2) }, at(50));
    assert_eq!(list.list(at(99)).machines, vec![machine(1)]);
    let shown = list.list(at(100));
    assert_eq!((shown.revision, shown.machines[0].state), (Revision(2), MachineState::Leaving));
    list.change(MachineChange::Remove { address: machine(1).address }, at(100));
    assert_eq!(list.list(at(150)).machines.len(), 2);
    assert_eq!(list.list(at(200)).machines, vec![machine(2)]);
}

#[test]
fn loads_slow_down_beyond_the_full_speed_count() {
    let took = |loads: u64| {
        let mut store = WeightStoreModel::new(WeightStoreSpeed { load_ms: 1_000, full_speed_loads: 2 });
        let load = WeightLoad { engine: "engine".into(), model: "model".into(), weights: WeightsVersion(1) };
        let numbers: Vec<_> = (0..loads).map(|_| store.begin(&load, at(0))).collect();
        let done_at = store.next_done_at().unwrap();
        assert!(!store.is_done(numbers[0], Timestamp(done_at.0 - 1)));
        assert!(numbers.into_iter().all(|number| store.is_done(number, done_at)));
        done_at.as_millis()
    };
    assert_eq!((took(1), took(2), took(4)), (1_000, 1_000, 4_000));
}

#[test]
fn an_abandoned_load_gives_its_bandwidth_back() {
    let mut store = WeightStoreModel::new(WeightStoreSpeed { load_ms: 1_000, full_speed_loads: 1 });
    let load = WeightLoad { engine: "engine".into(), model: "model".into(), weights: WeightsVersion(1) };
    let remaining = store.begin(&load, at(0));
    let abandoned = store.begin(&load, at(0));
    store.abandon(abandoned, at(400));
    assert_eq!(store.next_done_at().unwrap().as_millis(), 1_300, "a quarter of the speed for 400 ms");
    assert!(store.is_done(remaining, at(1_301)));
}

fn transfer(origin: &str, incarnation: u64, blocks: std::ops::Range<u128>) -> KvTransfer {
    let blocks: Vec<BlockHash> = blocks.map(BlockHash).collect();
    KvTransfer {
        origin: origin.into(),
        origin_incarnation: Incarnation(incarnation),
        model: "model".into(),
        weights: WeightsVersion(1),
        scope: CacheScope(1),
        bytes: 10 * blocks.len() as u64,
        blocks,
    }
}

fn find(scope: u128, blocks: std::ops::Range<u128>) -> CacheLookup {
    CacheLookup { scope: CacheScope(scope), blocks: blocks.map(BlockHash).collect() }
}

fn stored_blocks(store: &mut CacheStoreModel, request: &CacheLookup, now: Timestamp) -> usize {
    store.find(request, now).transfer.map_or(0, |transfer| transfer.blocks.len())
}

#[test]
fn the_longest_stored_prefix_is_found_within_its_scope_only() {
    let mut store = CacheStoreModel::new(CacheStoreLimits::default());
    store.put(transfer("engine-1", 1, 0..8), at(0)).unwrap();
    let found = store.find(&find(1, 0..5), at(1)).transfer.unwrap();
    assert_eq!((found.blocks.len(), found.bytes), (5, 50));
    assert_eq!(stored_blocks(&mut store, &find(1, 0..20), at(1)), 8);
    assert_eq!(stored_blocks(&mut store, &find(2, 0..8), at(1)), 0);
}

#[test]
fn copies_of_ended_incarnations_are_dropped_and_refused() {
    let mut store = CacheStoreModel::new(CacheStoreLimits::default());
    store.put(transfer("engine-1", 1, 0..8), at(0)).unwrap();
    store.put(transfer("engine-2", 1, 100..108), at(0)).unwrap();
    store.end(&EndedIncarnation { engine: "engine-1".into(), incarnation: Incarnation(1) });
    assert_eq!(stored_blocks(&mut store, &find(1, 0..8), at(1)), 0);
    assert_eq!(stored_blocks(&mut store, &find(1, 100..108), at(1)), 8);
    let refusal = store.put(transfer("engine-1", 1, 0..8), at(1)).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::PreconditionFailed);
    store.put(transfer("engine-2", 2, 200..202), at(2)).unwrap();
    assert_eq!(
        stored_blocks(&mut store, &find(1, 100..108), at(3)),
        0,
        "a later incarnation ends the earlier one"
    );
    assert_eq!(store.len(), 1);
}

#[test]
fn the_cache_store_is_bounded_in_bytes_and_age() {
    let mut store = CacheStoreModel::new(CacheStoreLimits { capacity_bytes: 100, max_age_ms: 1_000 });
    store.put(transfer("engine-1", 1, 0..6), at(0)).unwrap();
    store.put(transfer("engine-1", 1, 100..106), at(1)).unwrap();
    assert_eq!(stored_blocks(&mut store, &find(1, 0..6), at(2)), 0);
    assert_eq!(stored_blocks(&mut store, &find(1, 100..106), at(2)), 6);
    assert_eq!(stored_blocks(&mut store, &find(1, 100..106), at(1_002)), 0);
    assert!(store.is_empty());
    let refusal = store.put(transfer("engine-1", 1, 0..11), at(3)).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::TooLarge);
}

#[test]
fn an_ended_incarnation_stays_ended() {
    let mut incarnations = LatestIncarnations::default();
    let engine = "engine-1".into();
    incarnations.end(&engine, Incarnation(3));
    incarnations.observe(&engine, Incarnation(3));
    assert!(!incarnations.accepts(&engine, Incarnation(2)));
    assert!(!incarnations.accepts(&engine, Incarnation(3)));
    assert!(incarnations.accepts(&engine, Incarnation(4)));
    assert!(!incarnations.is_live(&engine, Incarnation(3)));
}

fn booking(attempt: &str, key: &str) -> ServiceRequest {
    ServiceRequest {
        attempt: attempt.into(),
        tenant: "tenant".into(),
        key: Some(key.into()),
        operation: "charge".into(),
        body: serde_json::json!({"amount": 5}),
    }
}

#[test]
fn the_ledger_shows_every_run_and_double_runs_are_counted() {
    let mut first = BookingModel::new("booking-1".into());
    let mut second = BookingModel::new("booking-2".into());
    first.run(booking("a", "key-1"), at(0)).unwrap();
    second.run(booking("b", "key-1"), at(1)).unwrap();
    second.run(booking("c", "key-2"), at(2)).unwrap();
    assert_eq!(first.ledger().len() + second.ledger().len(), 3);
    assert_eq!(duplicate_runs([first.ledger(), second.ledger()]), vec![("tenant".into(), "key-1".into(), 2)]);
    let unknown = ServiceRequest { operation: "cancel".into(), ..booking("d", "key-3") };
    assert_eq!(first.run(unknown, at(3)).unwrap_err().code, RefusalCode::NotFound);
    assert_eq!(first.ledger().len(), 1);
}

#[test]
fn an_injector_limits_the_rate_with_a_retry_delay() {
    let injector =
        FaultInjector::new(ServiceFaults { requests_per_second: Some(10.0), ..ServiceFaults::default() });
    let admitted = (0..20).filter(|_| injector.admit(at(1_000)).is_ok()).count();
    assert_eq!(admitted, 10);
    assert_eq!(injector.admit(at(1_000)), Err(InjectedRefusal::RateLimited(Duration::from_millis(100))));
    assert_eq!(injector.admit(at(1_100)), Ok(()));
    assert!(injector.admit(at(1_100)).is_err());
}

#[test]
fn an_injector_causes_outages_and_loses_or_fails_the_configured_number_of_replies() {
    let injector = FaultInjector::new(ServiceFaults::default());
    injector.set_faults(ServiceFaults {
        lose_next_replies: 2,
        fail_next_after_effect: 1,
        ..ServiceFaults::default()
    });
    let outcomes: Vec<ReplyOutcome> = (0..4).map(|_| injector.reply_outcome()).collect();
    assert_eq!(
        outcomes,
        vec![ReplyOutcome::Lost, ReplyOutcome::Lost, ReplyOutcome::Failed, ReplyOutcome::Sent]
    );
    injector.set_faults(ServiceFaults { outage: true, ..ServiceFaults::default() });
    assert_eq!(injector.admit(at(0)), Err(InjectedRefusal::Outage));
}
