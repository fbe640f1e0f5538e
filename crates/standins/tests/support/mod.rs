//! A small HTTP client and shared values for the tests of stand-in servers.
#![allow(dead_code)]

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use paddlemount_protocol::{
    engine::{EngineStatus, Frame, FrameContent, GenerateRequest, LoadedModel, Precondition, Priority},
    identity::{AttemptId, ModelId, RequestId, TenantId, WeightsVersion},
    prefix::{CacheScope, hash_blocks},
};
use paddlemount_standins::{
    server::{self, RunningStandin},
    settings::{EngineSettings, StandinSettings},
};
use serde::{Serialize, de::DeserializeOwned};

pub const MODEL: &str = "contract-reader";
pub const WEIGHTS: WeightsVersion = WeightsVersion(3);

pub type HttpClient = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

pub async fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Result<http::Response<Incoming>, hyper_util::client::legacy::Error> {
    let bytes = serde_json::to_vec(body).unwrap();
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .unwrap();
    client().request(request).await
}

pub async fn call<T: DeserializeOwned>(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> (u16, T) {
    let response = send(method, address, path, body).await.unwrap();
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    let value = serde_json::from_slice(&bytes)
        .unwrap_or_else(|error| panic!("{path}: {error}: {}", String::from_utf8_lossy(&bytes)));
    (status, value)
}

pub async fn post<T: DeserializeOwned>(address: SocketAddr, path: &str, body: &impl Serialize) -> T {
    let (status, value) = call(POST, address, path, body).await;
    assert_eq!(status, 200, "{path}");
    value
}

pub const POST: &str = "POST";

pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let (status, value) = call("GET", address, path, &()).await;
    assert_eq!(status, 200, "{path}");
    value
}

pub fn start(settings: StandinSettings) -> RunningStandin {
    server::start(settings).unwrap()
}

pub fn loaded() -> LoadedModel {
    LoadedModel { model: ModelId::from(MODEL), weights: WEIGHTS, adapters: vec![] }
}

pub fn engine_settings(name: &str) -> EngineSettings {
    EngineSettings::new(name.into(), "pool".into(), "zone-a".into(), Some(loaded()))
}

pub fn scope(tenant: &str) -> CacheScope {
    CacheScope::new(&TenantId::from(tenant), &ModelId::from(MODEL), WEIGHTS, None)
}

pub fn prompt(words: usize) -> String {
    (0..words).map(|word| format!("clause {word} of the hire terms; ")).collect()
}

pub fn generate_request(status: &EngineStatus, attempt: &str, prompt: &str) -> GenerateRequest {
    let scope = scope("tenant");
    GenerateRequest {
        attempt: AttemptId::from(attempt),
        request: RequestId::from(attempt),
        precondition: Precondition {
            engine: status.engine.clone(),
            incarnation: status.incarnation,
            model: ModelId::from(MODEL),
            weights: WEIGHTS,
            adapter: None,
        },
        scope,
        prompt: prompt.to_owned(),
        blocks: hash_blocks(scope, prompt.as_bytes()),
        max_tokens: 1_000,
        answer_prefix: vec![],
        priority: Priority::Normal,
        deadline_ms: 60_000,
        import: None,
        traceparent: None,
    }
}

/// Reads frames until the body ends; also returns whether it ended without an error.
pub async fn read_frames(response: http::Response<Incoming>) -> (Vec<Frame>, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut clean = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                clean = false;
                break;
            }
        }
    }
    let lines = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let frames = lines.filter_map(|line| serde_json::from_slice(line).ok()).collect();
    (frames, clean)
}

pub fn tokens(frames: &[Frame]) -> Vec<String> {
    let mut texts = vec![];
    for frame in frames {
        if let FrameContent::Token { index, text } = &frame.content {
            assert_eq!(*index as usize, texts.len(), "tokens are in order without gaps");
            texts.push(text.clone());
        }
    }
    texts
}
