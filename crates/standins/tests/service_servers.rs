//! Servers of the platform's services and of booking over TCP, with faults.

mod support;

use std::net::SocketAddr;

use paddlemount_protocol::{
    booking::{ServiceRequest, ServiceResponse},
    engine::{EndedIncarnation, KvTransfer},
    identity::{Incarnation, Revision, WeightsVersion},
    platform::{
        CacheLookup, CacheLookupResult, StoreGet, StorePut, StorePutResult, StoreValue, StoreWatch,
        WeightLoad, WeightLoaded,
    },
    prefix::{BlockHash, CacheScope},
    refusal::{Outcome, Refusal, RefusalCode},
};
use paddlemount_standins::{
    booking::model::LedgerEntry,
    faults::ServiceFaults,
    settings::{
        BookingSettings, CacheStoreSettings, ConfigurationStoreSettings, StandinSettings, WeightStoreSettings,
    },
    weight_store::model::WeightStoreSpeed,
};
use support::{POST, call, get, post, send, start};

async fn set_faults(address: SocketAddr, faults: ServiceFaults) {
    let _: ServiceFaults = post(address, "/control/faults", &faults).await;
}

fn put(expected: u64, value: u32) -> StorePut {
    StorePut { key: "key".into(), expected: Revision(expected), value: value.into() }
}

#[tokio::test]
async fn a_reply_can_be_lost_after_its_effect() {
    let store = start(StandinSettings::ConfigurationStore(ConfigurationStoreSettings::default()));
    set_faults(store.address(), ServiceFaults { lose_next_replies: 1, ..ServiceFaults::default() }).await;
    assert!(send(POST, store.address(), "/put", &put(0, 9)).await.is_err());
    let value: StoreValue = post(store.address(), "/get", &StoreGet { key: "key".into() }).await;
    assert_eq!(value.value, Some(9.into()));
}

#[tokio::test]
async fn an_outage_and_a_rate_limit_refuse_without_effect() {
    let store = start(StandinSettings::ConfigurationStore(ConfigurationStoreSettings::default()));
    let address = store.address();
    set_faults(address, ServiceFaults { outage: true, ..ServiceFaults::default() }).await;
    let (code, refusal): (u16, Refusal) = call(POST, address, "/put", &put(0, 1)).await;
    assert_eq!((code, refusal.outcome), (503, Outcome::NotRun));
    set_faults(address, ServiceFaults { requests_per_second: Some(0.001), ..ServiceFaults::default() }).await;
    let _: StoreValue = post(address, "/get", &StoreGet { key: "key".into() }).await;
    let (code, refusal): (u16, Refusal) = call(POST, address, "/put", &put(0, 1)).await;
    assert_eq!((code, refusal.code), (429, RefusalCode::QuotaExceeded));
    assert!(refusal.retry_after_ms.is_some());
    set_faults(address, ServiceFaults::default()).await;
    let result: StorePutResult = post(address, "/put", &put(0, 1)).await;
    assert_eq!(result, StorePutResult::Stored { revision: Revision(1) });
}

#[tokio::test]
async fn control_routes_work_during_an_outage_and_show_the_state() {
    let settings = ConfigurationStoreSettings {
        faults: ServiceFaults { outage: true, ..ServiceFaults::default() },
        values: [("key".to_owned(), 5.into())].into(),
        ..ConfigurationStoreSettings::default()
    };
    let store = start(StandinSettings::ConfigurationStore(settings));
    let state: serde_json::Value = get(store.address(), "/control/state").await;
    assert_eq!(state["faults"]["outage"], true);
    assert_eq!(state["model"]["values"]["key"][1], 5);
}

#[tokio::test]
async fn the_weight_store_answers_when_the_load_is_done() {
    let speed = WeightStoreSpeed { load_ms: 30, full_speed_loads: 1 };
    let store =
        start(StandinSettings::WeightStore(WeightStoreSettings { speed, ..WeightStoreSettings::default() }));
    let address = store.address();
    let load =
        |engine: &str| WeightLoad { engine: engine.into(), model: "m".into(), weights: WeightsVersion(1) };
    let (first, second) = (load("engine-1"), load("engine-2"));
    let (first, second): (WeightLoaded, WeightLoaded) =
        tokio::join!(post(address, "/load", &first), post(address, "/load", &second));
    assert!(first.took_ms >= 30 && second.took_ms >= 30);
    let state: serde_json::Value = get(address, "/control/state").await;
    assert_eq!(state["model"]["finished"], 2);
    assert_eq!(state["model"]["loads"], serde_json::json!({}));
}

#[tokio::test]
async fn stored_copies_are_dropped_when_their_origin_ends() {
    let store = start(StandinSettings::CacheStore(CacheStoreSettings::default()));
    let address = store.address();
    let blocks: Vec<BlockHash> = (0..4).map(BlockHash).collect();
    let transfer = KvTransfer {
        origin: "engine-1".into(),
        origin_incarnation: Incarnation(7),
        model: "m".into(),
        weights: WeightsVersion(1),
        scope: CacheScope(1),
        blocks: blocks.clone(),
        bytes: 400,
    };
    let _: serde_json::Value = post(address, "/put", &transfer).await;
    let request = CacheLookup { scope: CacheScope(1), blocks };
    let found: CacheLookupResult = post(address, "/find", &request).await;
    assert_eq!(found.transfer, Some(transfer.clone()));
    let ended = EndedIncarnation { engine: "engine-1".into(), incarnation: Incarnation(7) };
    let _: serde_json::Value = post(address, "/ended", &ended).await;
    let found: CacheLookupResult = post(address, "/find", &request).await;
    assert_eq!(found.transfer, None);
    let (code, refusal): (u16, Refusal) = call(POST, address, "/put", &transfer).await;
    assert_eq!((code, refusal.code), (412, RefusalCode::PreconditionFailed));
}

#[tokio::test]
async fn booking_runs_every_request_and_records_it_in_its_ledger() {
    let booking = start(StandinSettings::Booking(BookingSettings::new("booking-1".into())));
    let address = booking.address();
    let request = |attempt: &str| ServiceRequest {
        attempt: attempt.into(),
        tenant: "tenant".into(),
        key: Some("key-1".into()),
        operation: "hold".into(),
        body: serde_json::json!({"place": "Brandon"}),
    };
    let response: ServiceResponse = post(address, "/run", &request("a")).await;
    assert_eq!(response.body["request"]["place"], "Brandon");
    set_faults(address, ServiceFaults { lose_next_replies: 1, ..ServiceFaults::default() }).await;
    assert!(send(POST, address, "/run", &request("b")).await.is_err());
    set_faults(address, ServiceFaults { fail_next_after_effect: 1, ..ServiceFaults::default() }).await;
    let (code, refusal): (u16, Refusal) = call(POST, address, "/run", &request("c")).await;
    assert_eq!((code, refusal.outcome), (500, Outcome::Unknown));
    set_faults(address, ServiceFaults { outage: true, ..ServiceFaults::default() }).await;
    let (code, refusal): (u16, Refusal) = call(POST, address, "/run", &request("d")).await;
    assert_eq!((code, refusal.outcome), (503, Outcome::NotRun));
    let ledger: Vec<LedgerEntry> = get(address, "/control/ledger").await;
    let attempts: Vec<&str> = ledger.iter().map(|entry| entry.attempt.as_str()).collect();
    assert_eq!(attempts, vec!["a", "b", "c"]);
}

#[tokio::test]
async fn a_planned_stop_answers_requests_that_wait() {
    let store = start(StandinSettings::ConfigurationStore(ConfigurationStoreSettings::default()));
    let address = store.address();
    let watch = StoreWatch { key: "key".into(), after: Revision(0), wait_ms: 3_600_000 };
    let waiting = tokio::spawn(async move { post::<StoreValue>(address, "/watch", &watch).await });
    // A watch that arrives after the start of the shutdown would be refused.
    while store.in_flight() == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    tokio::task::spawn_blocking(move || store.stop()).await.unwrap();
    assert_eq!(waiting.await.unwrap(), StoreValue { revision: Revision(0), value: None });
}
