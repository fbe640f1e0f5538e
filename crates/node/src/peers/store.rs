//! Calls to the configuration store.

use std::time::Duration;

use paddlemount_core::{
    configuration::change::StoreFailure,
    peers::{StoreReply, StoreRequest},
};
use paddlemount_protocol::{
    configuration::{DOCUMENT_KEY, StoredDocument},
    platform::{StoreGet, StorePut, StorePutResult, StoreValue},
};

use super::driver::{describe, store_failure};
use crate::{client::ClientError, state::NodeState};

/// Sends one request to the configuration store.
///
/// # Errors
///
/// Says whether the store certainly did not apply the request.
pub async fn call(
    state: &NodeState,
    request: StoreRequest,
    timeout: Duration,
) -> Result<StoreReply, StoreFailure> {
    let kind = describe(&request);
    let result = match request {
        StoreRequest::Watch(watch) => document(state, "/watch", &watch, timeout).await,
        StoreRequest::Read => {
            document(state, "/get", &StoreGet { key: DOCUMENT_KEY.to_owned() }, timeout).await
        }
        StoreRequest::Put { expected, configuration } => {
            let Ok(value) = serde_json::to_value(&configuration) else {
                return Err(StoreFailure::NotApplied);
            };
            let put = StorePut { key: DOCUMENT_KEY.to_owned(), expected, value };
            let address = state.settings.platform.configuration_store;
            let result: Result<StorePutResult, ClientError> =
                state.client.post_json(address, "/put", &put, timeout).await;
            result.map(StoreReply::Put).map_err(|error| (store_failure(&error), error.to_string()))
        }
    };
    result.map_err(|(failure, message)| {
        log::warn!("{kind} call to the configuration store failed: {message}");
        failure
    })
}

async fn document<B: serde::Serialize>(
    state: &NodeState,
    path: &str,
    body: &B,
    timeout: Duration,
) -> Result<StoreReply, (StoreFailure, String)> {
    let address = state.settings.platform.configuration_store;
    let read: Result<StoreValue, ClientError> = state.client.post_json(address, path, body, timeout).await;
    let value = read.map_err(|error| (store_failure(&error), error.to_string()))?;
    let document = StoredDocument::try_from(value);
    let document = document.map_err(|error| (StoreFailure::Unclear, format!("invalid document: {error}")))?;
    Ok(StoreReply::Document(document))
}
