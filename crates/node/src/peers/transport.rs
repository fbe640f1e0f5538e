//! Signed requests to other nodes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use paddlemount_protocol::header::{PEER_NODE, PEER_SIGNATURE, PEER_TIME};
use serde::{Serialize, de::DeserializeOwned};

use super::authentication::SignedRequest;
use crate::{
    client::{ClientError, MAX_ANSWER_BYTES},
    state::NodeState,
};

/// Posts JSON to another node's peer address and reads its JSON answer within `timeout`.
///
/// # Errors
///
/// Any [`ClientError`]; an answer without a valid signature is unreadable.
pub async fn call<B: Serialize, A: DeserializeOwned>(
    state: &NodeState,
    address: SocketAddr,
    path: &str,
    body: &B,
    timeout: Duration,
) -> Result<A, ClientError> {
    let unreadable = |message: String| ClientError::Unreadable { address, message };
    let body = serde_json::to_vec(body).map_err(|error| unreadable(error.to_string()))?;
    let (request, signature) = signed(state, address, path, body).map_err(unreadable)?;
    let exchange = async {
        let response = state.client.open(address, request, timeout).await?;
        let answer_signature = response.headers().get(PEER_SIGNATURE).and_then(|value| value.to_str().ok());
        let answer_signature = answer_signature.unwrap_or_default().to_owned();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body =
            body.map_err(|error| ClientError::Broken { address, message: error.to_string() })?.to_bytes();
        let accepted = state.peers.authenticator().accept_answer(&signature, &body, &answer_signature);
        accepted.map_err(|error| unreadable(error.to_string()))?;
        serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(ClientError::Timeout { address, after: timeout }),
    }
}

/// Builds a signed request; returns it with its signature.
fn signed(
    state: &NodeState,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<(Request<Full<Bytes>>, String), String> {
    let time = state.clock.now();
    let node = &state.settings.node;
    let signed_request = SignedRequest { method: "POST", path, receiver: address, node, time, body: &body };
    let signature = state.peers.authenticator().sign_request(&signed_request);
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header(PEER_NODE, node.as_str())
        .header(PEER_TIME, time.0)
        .header(PEER_SIGNATURE, &signature)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    Ok((request, signature))
}
