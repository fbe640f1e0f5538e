//! The engine server over TCP: streams, faults, orders and the feed.

mod support;

use std::{net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    engine::{
        CacheChange, CacheEventBatch, CacheSnapshot, CancelRequest, EngineRefusal, EngineStatus,
        ExportRequest, Frame, FrameContent, GenerateRequest, ImportResult, KvTransfer, Order, OrderCommand,
        OrderResult, ResumeRequest,
    },
    identity::{FencingToken, Incarnation, ModelId, WeightsVersion},
    prefix::BLOCK_TOKENS,
    refusal::RefusalCode,
};
use paddlemount_standins::{
    engine::{
        answer::expected_answer,
        server::{EngineControlState, EngineFaults},
        settings::FeedSettings,
    },
    faults::ServiceFaults,
    server::RunningStandin,
    settings::{EngineSettings, StandinSettings, WeightStoreSettings},
    weight_store::model::WeightStoreSpeed,
};
use support::{
    MODEL, POST, WEIGHTS, call, engine_settings, generate_request, get, loaded, post, prompt, read_frames,
    scope, send, tokens,
};

fn start(settings: EngineSettings) -> RunningStandin {
    support::start(StandinSettings::Engine(settings))
}

async fn status(address: SocketAddr) -> EngineStatus {
    get(address, "/status").await
}

async fn control(address: SocketAddr) -> EngineControlState {
    get(address, "/control/state").await
}

async fn set_faults(address: SocketAddr, faults: EngineFaults) {
    let _: EngineFaults = post(address, "/control/faults", &faults).await;
}

async fn generate(address: SocketAddr, request: &GenerateRequest) -> (Vec<Frame>, bool) {
    let response = send(POST, address, "/generate", request).await.unwrap();
    assert_eq!(response.status(), 200);
    read_frames(response).await
}

fn expected(request: &GenerateRequest) -> Vec<String> {
    let model = ModelId::from(MODEL);
    expected_answer(&model, WEIGHTS, request.scope, &request.prompt, request.max_tokens)
}

fn cached_tokens(frames: &[Frame]) -> u32 {
    let FrameContent::Start { cached_tokens, .. } = frames[0].content else { panic!("no start: {frames:?}") };
    cached_tokens
}

#[tokio::test]
async fn a_cached_prefix_is_reported_exactly() {
    let engine = start(engine_settings("engine-1"));
    let status = status(engine.address()).await;
    let request = generate_request(&status, "a", &prompt(100));
    let (frames, _) = generate(engine.address(), &request).await;
    assert_eq!(cached_tokens(&frames), 0);
    let (frames, clean) =
        generate(engine.address(), &GenerateRequest { attempt: "b".into(), ..request.clone() }).await;
    assert!(clean);
    assert_eq!(cached_tokens(&frames), request.blocks.len() as u32 * BLOCK_TOKENS);
    assert_eq!(tokens(&frames), expected(&request));
    engine.stop();
}

#[tokio::test]
async fn many_streams_at_once_each_get_their_own_answer() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let status = status(address).await;
    let streams: Vec<_> = (0..24)
        .map(|index| {
            let request = generate_request(&status, &format!("try-{index}"), &prompt(20 + index));
            tokio::spawn(async move { (generate(address, &request).await, request) })
        })
        .collect();
    for stream in streams {
        let ((frames, clean), request) = stream.await.unwrap();
        assert!(clean);
        assert_eq!(tokens(&frames), expected(&request));
        assert!(frames.iter().all(|frame| frame.attempt == request.attempt));
    }
    assert_eq!(control(address).await.counters.completed, 24);
}

#[tokio::test]
async fn a_cut_stream_resumes_at_the_next_token() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let status = status(address).await;
    set_faults(address, EngineFaults { cut_after_tokens: Some(7), ..EngineFaults::default() }).await;
    let request = generate_request(&status, "a", &prompt(30));
    let (frames, clean) = generate(address, &request).await;
    assert!(!clean);
    let mut text = tokens(&frames);
    assert_eq!(text.len(), 7);
    set_faults(address, EngineFaults::default()).await;
    let resume = ResumeRequest { attempt: "a".into(), incarnation: status.incarnation, next_index: 7 };
    let response = send(POST, address, "/resume", &resume).await.unwrap();
    let (frames, clean) = read_frames(response).await;
    assert!(clean);
    for frame in &frames {
        if let FrameContent::Token { index, text: token } = &frame.content {
            assert_eq!(*index as usize, text.len());
            text.push(token.clone());
        }
    }
    assert!(matches!(frames.last().unwrap().content, FrameContent::End { .. }));
    assert_eq!(text, expected(&request));
}

#[tokio::test]
async fn resuming_another_incarnation_or_an_unknown_attempt_is_refused() {
    let engine = start(engine_settings("engine-1"));
    let status = status(engine.address()).await;
    let resume = |incarnation| ResumeRequest { attempt: "none".into(), incarnation, next_index: 0 };
    let (code, _): (u16, EngineRefusal) =
        call(POST, engine.address(), "/resume", &resume(status.incarnation)).await;
    assert_eq!(code, 404);
    let (code, _): (u16, EngineRefusal) =
        call(POST, engine.address(), "/resume", &resume(Incarnation(1))).await;
    assert_eq!(code, 412);
}

#[tokio::test]
async fn a_stream_without_a_reader_is_abandoned_after_the_grace_period() {
    let mut settings = engine_settings("engine-1");
    settings.behaviour.service.resume_grace_ms = 100;
    settings.behaviour.speed.decode_base_ms = 200.0;
    let engine = start(settings);
    let address = engine.address();
    let status = status(address).await;
    let response =
        send(POST, address, "/generate", &generate_request(&status, "a", &prompt(5))).await.unwrap();
    drop(response);
    let mut counters = control(address).await.counters;
    while counters.abandoned == 0 && counters.completed == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        counters = control(address).await.counters;
    }
    assert_eq!((counters.abandoned, counters.completed), (1, 0));
}

#[tokio::test]
async fn cancelling_ends_the_stream_without_its_last_frame() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let status = status(address).await;
    set_faults(address, EngineFaults { stalled: true, ..EngineFaults::default() }).await;
    let response =
        send(POST, address, "/generate", &generate_request(&status, "a", &prompt(5))).await.unwrap();
    let _: serde_json::Value = post(address, "/cancel", &CancelRequest { attempt: "a".into() }).await;
    let (frames, clean) = read_frames(response).await;
    assert!(!clean);
    assert!(!frames.iter().any(|frame| matches!(frame.content, FrameContent::End { .. })));
    assert_eq!(control(address).await.counters.cancelled, 1);
}

#[tokio::test]
async fn another_engine_continues_with_the_same_text() {
    let first = start(engine_settings("engine-1"));
    let second = start(engine_settings("engine-2"));
    let request = generate_request(&status(first.address()).await, "a", &prompt(30));
    let complete = expected(&request);
    let mut remainder = generate_request(&status(second.address()).await, "b", &prompt(30));
    remainder.answer_prefix = complete[..9].to_vec();
    let (frames, clean) = generate(second.address(), &remainder).await;
    assert!(clean);
    let continued: Vec<String> = frames
        .iter()
        .filter_map(|frame| match &frame.content {
            FrameContent::Token { text, .. } => Some(text.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(continued, complete[9..]);
    assert_eq!(control(second.address()).await.counters.foreign_continuations, 0);
    let mut foreign = generate_request(&status(second.address()).await, "c", &prompt(30));
    foreign.answer_prefix = vec!["something else ".into()];
    generate(second.address(), &foreign).await;
    assert_eq!(control(second.address()).await.counters.foreign_continuations, 1);
}

#[tokio::test]
async fn a_crash_cuts_streams_and_empties_the_cache() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let before = status(address).await;
    let request = generate_request(&before, "a", &prompt(60));
    generate(address, &request).await;
    let open =
        send(POST, address, "/generate", &GenerateRequest { attempt: "b".into(), ..request.clone() }).await;
    let after: EngineStatus = post(address, "/control/crash", &()).await;
    assert!(after.incarnation > before.incarnation);
    let (_, clean) = read_frames(open.unwrap()).await;
    assert!(!clean);
    let snapshot: CacheSnapshot = get(address, "/snapshot").await;
    assert!(snapshot.blocks.is_empty());
    let (code, refusal): (u16, EngineRefusal) = call(POST, address, "/generate", &request).await;
    assert_eq!((code, refusal.code), (412, RefusalCode::PreconditionFailed));
    assert_eq!(refusal.incarnation, after.incarnation);
}

#[tokio::test]
async fn the_feed_and_the_snapshot_agree() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let request = generate_request(&status(address).await, "a", &prompt(200));
    let waiting =
        tokio::spawn(async move { get::<CacheEventBatch>(address, "/events?after=0&wait_ms=30000").await });
    generate(address, &request).await;
    assert!(!waiting.await.unwrap().events.is_empty(), "a waiting reader is woken");
    tokio::time::sleep(Duration::from_millis(60)).await;
    let batch: CacheEventBatch = get(address, "/events?after=0").await;
    let mut stored: Vec<_> = batch
        .events
        .into_iter()
        .flat_map(|event| match event.change {
            CacheChange::Stored { blocks } => blocks,
            other => panic!("unexpected {other:?}"),
        })
        .collect();
    assert_eq!(stored, request.blocks);
    stored.sort();
    let first: CacheSnapshot = get(address, "/snapshot?limit=5").await;
    assert!(first.more);
    let remainder: CacheSnapshot = get(address, &format!("/snapshot?after={}", first.blocks[4])).await;
    assert_eq!([first.blocks, remainder.blocks].concat(), stored);
    assert_eq!(batch.last, remainder.as_of);
}

#[tokio::test]
async fn lost_events_and_a_later_incarnation_show_in_the_feed() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let lossy = FeedSettings { delay_ms: 0, loss: 1.0, ..FeedSettings::default() };
    set_faults(address, EngineFaults { feed: Some(lossy), ..EngineFaults::default() }).await;
    let before = status(address).await;
    generate(address, &generate_request(&before, "a", &prompt(200))).await;
    let batch: CacheEventBatch = get(address, "/events?after=0").await;
    assert!(batch.events.is_empty() && batch.last.0 > 0);
    let waiting = tokio::spawn(async move {
        get::<CacheEventBatch>(address, &format!("/events?after={}&wait_ms=30000", batch.last)).await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let after: EngineStatus = post(address, "/control/crash", &()).await;
    assert_eq!(waiting.await.unwrap().incarnation, after.incarnation);
}

#[tokio::test]
async fn cached_state_is_transferred_between_engines() {
    let first = start(engine_settings("engine-1"));
    let second = start(engine_settings("engine-2"));
    let request = generate_request(&status(first.address()).await, "a", &prompt(100));
    generate(first.address(), &request).await;
    let request = ExportRequest {
        precondition: request.precondition.clone(),
        scope: request.scope,
        blocks: request.blocks.clone(),
    };
    let transfer: KvTransfer = post(first.address(), "/export", &request).await;
    assert_eq!(transfer.blocks, request.blocks);
    let result: ImportResult = post(second.address(), "/import", &transfer).await;
    assert_eq!(result.blocks as usize, request.blocks.len());
    let warm = generate_request(&status(second.address()).await, "b", &prompt(100));
    let (frames, _) = generate(second.address(), &warm).await;
    assert_eq!(cached_tokens(&frames), request.blocks.len() as u32 * BLOCK_TOKENS);
    let mut foreign = warm.clone();
    foreign.attempt = "c".into();
    foreign.scope = scope("another-tenant");
    foreign.import = Some(transfer);
    let (code, _): (u16, EngineRefusal) = call(POST, second.address(), "/generate", &foreign).await;
    assert_eq!(code, 412);
}

#[tokio::test]
async fn an_order_loads_weights_through_the_weight_store() {
    let speed = WeightStoreSpeed { load_ms: 50, ..WeightStoreSpeed::default() };
    let outage = ServiceFaults { outage: true, ..ServiceFaults::default() };
    let store = support::start(StandinSettings::WeightStore(WeightStoreSettings {
        speed,
        faults: outage,
        ..WeightStoreSettings::default()
    }));
    let engine = start(EngineSettings { weight_store: Some(store.address()), ..engine_settings("engine-1") });
    let address = engine.address();
    let load = OrderCommand::LoadModel { model: MODEL.into(), weights: WeightsVersion(4) };
    let order = |token, id: &str| Order {
        id: id.into(),
        token: FencingToken(token),
        incarnation: None,
        command: load.clone(),
    };
    let result: OrderResult = post(address, "/order", &order(5, "load")).await;
    assert_eq!(result.fence, FencingToken(5));
    assert_eq!(status(address).await.loaded, None);
    let (code, refusal): (u16, EngineRefusal) = call(POST, address, "/order", &order(4, "stale")).await;
    assert_eq!((code, refusal.code), (412, RefusalCode::Fenced));
    let _: ServiceFaults = post(store.address(), "/control/faults", &ServiceFaults::default()).await;
    while status(address).await.loaded.is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status(address).await.loaded.unwrap().weights, WeightsVersion(4));
    let old = generate_request(&status(address).await, "a", "a prompt");
    let (code, refusal): (u16, EngineRefusal) = call(POST, address, "/generate", &old).await;
    assert_eq!(code, 412);
    assert_ne!(refusal.loaded, Some(loaded()));
}

#[tokio::test]
async fn configured_refusals_and_stray_frames_are_injected() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let request = generate_request(&status(address).await, "a", &prompt(5));
    let refuse = EngineFaults { refuse: Some(RefusalCode::Overloaded), ..EngineFaults::default() };
    set_faults(address, refuse).await;
    let (code, refusal): (u16, EngineRefusal) = call(POST, address, "/generate", &request).await;
    assert_eq!((code, refusal.code), (503, RefusalCode::Overloaded));
    set_faults(address, EngineFaults { stray_frames: true, ..EngineFaults::default() }).await;
    let (frames, _) = generate(address, &request).await;
    let own: Vec<Frame> = frames.iter().filter(|frame| frame.attempt == request.attempt).cloned().collect();
    assert_eq!(tokens(&own), expected(&request));
    assert!(own.len() < frames.len());
}

#[tokio::test]
async fn a_planned_stop_cuts_off_no_stream() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let request = generate_request(&status(address).await, "a", &prompt(5));
    let response = send(POST, address, "/generate", &request).await.unwrap();
    let stopping = std::thread::spawn(move || engine.stop());
    let (frames, clean) = read_frames(response).await;
    assert!(clean);
    assert_eq!(tokens(&frames), expected(&request));
    stopping.join().unwrap();
    assert!(send(POST, address, "/generate", &request).await.is_err());
}

#[tokio::test]
async fn an_invalid_body_is_refused() {
    let engine = start(engine_settings("engine-1"));
    let (code, refusal): (u16, serde_json::Value) =
        call(POST, engine.address(), "/generate", &serde_json::json!({"attempt": 3})).await;
    assert_eq!(code, 400);
    assert!(refusal["message"].as_str().unwrap().contains("not valid"), "{refusal}");
}

#[tokio::test]
async fn a_planned_stop_answers_readers_of_the_feed() {
    let engine = start(engine_settings("engine-1"));
    let address = engine.address();
    let waiting =
        tokio::spawn(async move { get::<CacheEventBatch>(address, "/events?after=0&wait_ms=30000").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    tokio::task::spawn_blocking(move || engine.stop()).await.unwrap();
    assert!(waiting.await.unwrap().events.is_empty());
}
