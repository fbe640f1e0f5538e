//! Fetches weights from the weight store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use paddlemount_protocol::{
    identity::{Incarnation, ModelId, WeightsVersion},
    platform::{WeightLoad, WeightLoaded},
};

use super::EngineServer;

/// Time between two attempts to fetch weights.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A fetch of weights for one incarnation of an engine.
pub(super) struct Fetch {
    pub(super) store: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) model: ModelId,
    pub(super) weights: WeightsVersion,
}

/// Reports why an attempt to fetch weights failed.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("cannot build the request: {0}")]
    Request(#[from] ::http::Error),
    #[error("cannot reach the weight store: {0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    #[error("the weight store's response ended early: {0}")]
    Body(#[from] hyper::Error),
    #[error("the weight store returned status {0}")]
    Status(::http::StatusCode),
    #[error("cannot parse the weight store's response: {0}")]
    Answer(#[from] serde_json::Error),
}

/// Fetches weights with retries until they arrive or are no longer needed.
pub(super) async fn fetch(server: Arc<EngineServer>, fetch: Fetch) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    while is_needed(&server, &fetch) {
        match fetch_once(&server, &fetch, &client).await {
            Ok(loaded) => {
                log::debug!("fetched weights in {} ms", loaded.took_ms);
                finish(&server, &fetch);
                return;
            }
            Err(error) => log::warn!("cannot fetch weights: {error}"),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn is_needed(server: &EngineServer, fetch: &Fetch) -> bool {
    let state = server.state();
    state.model.incarnation() == fetch.incarnation && state.model.is_fetching(&fetch.model, fetch.weights)
}

fn finish(server: &EngineServer, fetch: &Fetch) {
    let mut state = server.state();
    if state.model.incarnation() == fetch.incarnation {
        state.model.finish_load(&fetch.model, fetch.weights, true);
    }
    server.wake.notify_one();
}

async fn fetch_once(
    server: &EngineServer,
    fetch: &Fetch,
    client: &Client<HttpConnector, Full<Bytes>>,
) -> Result<WeightLoaded, FetchError> {
    let load = WeightLoad {
        engine: server.settings.engine.clone(),
        model: fetch.model.clone(),
        weights: fetch.weights,
    };
    let request = ::http::Request::post(format!("http://{}/load", fetch.store))
        .header(::http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(&load)?)))?;
    let response = client.request(request).await?;
    if !response.status().is_success() {
        return Err(FetchError::Status(response.status()));
    }
    let body = response.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
