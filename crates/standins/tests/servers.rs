//! Stand-in servers over TCP.

mod support;

use paddlemount_protocol::{
    engine::{EngineRefusal, EngineStatus, FrameContent},
    identity::{Incarnation, ModelId, Revision},
    platform::{
        LeaseAcquire, LeaseRenew, LeaseResult, Machine, MachineList, MachineRole, MachineState, StoreGet,
        StorePut, StorePutResult, StoreValue, StoreWatch,
    },
    refusal::RefusalCode,
};
use paddlemount_standins::{
    engine::answer::expected_answer,
    machine_list::model::MachineChange,
    server,
    settings::{ConfigurationStoreSettings, MachineListSettings, StandinSettings},
};
use support::{
    MODEL, POST, WEIGHTS, call, engine_settings, generate_request, get, post, prompt, read_frames, scope,
    send, tokens,
};

#[tokio::test]
async fn an_engine_streams_the_expected_answer() {
    let engine = support::start(StandinSettings::Engine(engine_settings("engine-1")));
    let status: EngineStatus = get(engine.address(), "/status").await;
    let text = prompt(200);
    let request = generate_request(&status, "attempt-1", &text);
    let response = send(POST, engine.address(), "/generate", &request).await.unwrap();
    assert_eq!(response.status(), 200);
    let (frames, clean) = read_frames(response).await;
    assert!(clean);
    let expected = expected_answer(&ModelId::from(MODEL), WEIGHTS, scope("tenant"), &text, 1_000);
    assert_eq!(tokens(&frames), expected);
    assert!(matches!(frames[0].content, FrameContent::Start { .. }));
    let FrameContent::End { tokens, .. } = frames[frames.len() - 1].content else { panic!("no end") };
    assert_eq!(tokens as usize, expected.len());
    engine.stop();
}

#[tokio::test]
async fn an_engine_refuses_a_request_for_another_incarnation() {
    let engine = support::start(StandinSettings::Engine(engine_settings("engine-1")));
    let status: EngineStatus = get(engine.address(), "/status").await;
    let mut request = generate_request(&status, "attempt-1", "a prompt");
    request.precondition.incarnation = Incarnation(status.incarnation.0 - 1);
    let (code, refusal): (u16, EngineRefusal) = call(POST, engine.address(), "/generate", &request).await;
    assert_eq!(code, 412);
    assert_eq!(refusal.code, RefusalCode::PreconditionFailed);
    assert_eq!(refusal.incarnation, status.incarnation);
}

#[tokio::test]
async fn a_killed_engine_cuts_its_streams_and_frees_its_address() {
    let engine = support::start(StandinSettings::Engine(engine_settings("engine-1")));
    let address = engine.address();
    let status: EngineStatus = get(address, "/status").await;
    let request = generate_request(&status, "attempt-1", &prompt(10));
    let response = send(POST, address, "/generate", &request).await.unwrap();
    std::thread::spawn(move || engine.kill()).join().unwrap();
    let (frames, clean) = read_frames(response).await;
    assert!(!clean || !frames.iter().any(|frame| matches!(frame.content, FrameContent::End { .. })));
    let mut settings = engine_settings("engine-1");
    settings.listen = address;
    let again = support::start(StandinSettings::Engine(settings));
    let restarted: EngineStatus = get(address, "/status").await;
    assert!(restarted.incarnation > status.incarnation);
    again.stop();
}

#[tokio::test]
async fn an_address_in_use_is_a_clear_error() {
    let first = support::start(StandinSettings::MachineList(MachineListSettings::default()));
    let settings = MachineListSettings { listen: first.address(), ..MachineListSettings::default() };
    let error = server::start(StandinSettings::MachineList(settings)).unwrap_err();
    assert!(error.to_string().contains(&first.address().to_string()), "{error}");
}

#[tokio::test]
async fn the_store_compares_before_it_swaps() {
    let store = support::start(StandinSettings::ConfigurationStore(ConfigurationStoreSettings::default()));
    let put = |expected, value: u32| StorePut {
        key: "key".into(),
        expected: Revision(expected),
        value: value.into(),
    };
    let first: StorePutResult = post(store.address(), "/put", &put(0, 1)).await;
    let StorePutResult::Stored { revision } = first else { panic!("refused") };
    let stale: StorePutResult = post(store.address(), "/put", &put(0, 2)).await;
    assert_eq!(stale, StorePutResult::Conflict { revision });
    let value: StoreValue = post(store.address(), "/get", &StoreGet { key: "key".into() }).await;
    assert_eq!(value, StoreValue { revision, value: Some(1.into()) });
}

#[tokio::test]
async fn a_watch_answers_on_a_change_and_after_its_wait() {
    let store = support::start(StandinSettings::ConfigurationStore(ConfigurationStoreSettings::default()));
    let address = store.address();
    let watch = |wait_ms| StoreWatch { key: "key".into(), after: Revision(0), wait_ms };
    let idle: StoreValue = post(address, "/watch", &watch(20)).await;
    assert_eq!(idle, StoreValue { revision: Revision(0), value: None });
    let waiting = tokio::spawn(async move { post::<StoreValue>(address, "/watch", &watch(60_000)).await });
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let put = StorePut { key: "key".into(), expected: Revision(0), value: 7.into() };
    let _: StorePutResult = post(address, "/put", &put).await;
    assert_eq!(waiting.await.unwrap().value, Some(7.into()));
}

#[tokio::test]
async fn a_lease_has_one_holder_and_a_rising_token() {
    let store = support::start(StandinSettings::ConfigurationStore(ConfigurationStoreSettings::default()));
    let address = store.address();
    let request = |holder: &str| LeaseAcquire { name: "pool".into(), holder: holder.into(), ttl_ms: 60_000 };
    let LeaseResult::Held { token, .. } = post(address, "/lease/acquire", &request("node-1")).await else {
        panic!()
    };
    let other: LeaseResult = post(address, "/lease/acquire", &request("node-2")).await;
    assert!(matches!(other, LeaseResult::HeldByOther { .. }));
    let renew = LeaseRenew { name: "pool".into(), holder: "node-1".into(), token, ttl_ms: 60_000 };
    let renewed: LeaseResult = post(address, "/lease/renew", &renew).await;
    assert_eq!(renewed, LeaseResult::Held { token, ttl_ms: 60_000 });
    let released: LeaseResult = post(address, "/lease/release", &renew).await;
    assert_eq!(released, LeaseResult::NotHeld);
    let LeaseResult::Held { token: later, .. } = post(address, "/lease/acquire", &request("node-2")).await
    else {
        panic!()
    };
    assert!(later > token);
    let stale: LeaseResult = post(address, "/lease/renew", &renew).await;
    assert_eq!(stale, LeaseResult::NotHeld);
}

#[tokio::test]
async fn the_machine_list_shows_changes() {
    let list = support::start(StandinSettings::MachineList(MachineListSettings::default()));
    let machine = Machine {
        role: MachineRole::Engine { engine: "engine-1".into(), pool: "pool".into() },
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "zone-a".into(),
        region: "region".into(),
        state: MachineState::Live,
    };
    let put = MachineChange::Put { machine: machine.clone() };
    let _: serde_json::Value = post(list.address(), "/control/machines", &put).await;
    let leaving = MachineChange::SetState { address: machine.address, state: MachineState::Leaving };
    let _: serde_json::Value = post(list.address(), "/control/machines", &leaving).await;
    let listed: MachineList = get(list.address(), "/machines").await;
    assert_eq!(listed.machines, vec![Machine { state: MachineState::Leaving, ..machine }]);
    assert_eq!(listed.revision, Revision(3));
}
