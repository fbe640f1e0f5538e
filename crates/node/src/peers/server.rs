//! The peer server: authentication of each request, and the handlers of membership and configuration.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use paddlemount_core::peers::{PeerAnswer, PeerRequest};
use paddlemount_protocol::{
    header::{PEER_NODE, PEER_SIGNATURE, PEER_TIME},
    identity::NodeId,
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};
use serde::de::DeserializeOwned;
use xitca_web::{
    WebContext,
    body::{BodyExt, RequestBody, ResponseBody},
    error::Error,
    http::{HeaderMap, HeaderValue, WebResponse},
    service::Service,
};

use super::authentication::{AuthenticationError, SignedRequest};
use crate::{
    http::{json_answer, read_body},
    state::NodeState,
};

/// Limit on the body of a peer request.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Timeout for answering a peer request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts requests that failed authentication.
const REFUSED_REQUESTS: &str = "paddlemount_peer_requests_refused_total";

/// The only path without authentication.
const HEALTH_PATH: &str = "/healthz";

/// Rejects requests without a valid signature, and signs the answers.
pub(super) async fn authenticate<S>(
    service: &S,
    mut context: WebContext<'_, Arc<NodeState>>,
) -> Result<WebResponse, Infallible>
where
    S: for<'r> Service<WebContext<'r, Arc<NodeState>>, Response = WebResponse, Error = Error>,
{
    let state = Arc::clone(context.state());
    if context.req().uri().path() == HEALTH_PATH {
        return Ok(service
            .call(context.reborrow())
            .await
            .unwrap_or_else(|_| refuse(RefusalCode::NotFound, "no such path")));
    }
    let body = std::mem::replace(context.body_get_mut(), RequestBody::None);
    let body = match read_body(body, MAX_BODY_BYTES, state.settings.timeouts.body).await {
        Ok(body) => body,
        Err(error) => return Ok(refuse(RefusalCode::InvalidRequest, &error.to_string())),
    };
    let signature = match accept(&state, &context, &body) {
        Ok(signature) => signature,
        Err(error) => {
            state.metrics.counter(REFUSED_REQUESTS, &[]).increment(1);
            log::debug!("a peer's request was refused: {error}");
            return Ok(refuse(RefusalCode::Unauthenticated, &error.to_string()));
        }
    };
    *context.body_get_mut() = RequestBody::from(body);
    let answer = service.call(context.reborrow()).await;
    let answer = answer.unwrap_or_else(|_| refuse(RefusalCode::NotFound, "no such path between nodes"));
    Ok(sign(&state, &signature, answer).await)
}

fn accept(
    state: &NodeState,
    context: &WebContext<'_, Arc<NodeState>>,
    body: &[u8],
) -> Result<String, AuthenticationError> {
    let request = context.req();
    let node = NodeId::from(text(request.headers(), PEER_NODE)?);
    let time = text(request.headers(), PEER_TIME)?.parse().map_err(|_| AuthenticationError::Header)?;
    let signature = text(request.headers(), PEER_SIGNATURE)?;
    let signed = SignedRequest {
        method: request.method().as_str(),
        path: request.uri().path(),
        receiver: state.settings.listen.peers,
        node: &node,
        time: Timestamp(time),
        body,
    };
    state.peers.authenticator().accept_request(&signed, signature, state.clock.now())?;
    Ok(signature.to_owned())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, AuthenticationError> {
    headers.get(name).and_then(|value| value.to_str().ok()).ok_or(AuthenticationError::Header)
}

async fn sign(state: &NodeState, request_signature: &str, answer: WebResponse) -> WebResponse {
    let (mut head, mut body) = answer.into_parts();
    let Some(bytes) = collect(&mut body).await else {
        return refuse(RefusalCode::Internal, "the answer could not be read");
    };
    let signature = state.peers.authenticator().sign_answer(request_signature, &bytes);
    if let Ok(value) = HeaderValue::from_str(&signature) {
        head.headers.insert(PEER_SIGNATURE, value);
    }
    WebResponse::from_parts(head, bytes.into())
}

async fn collect(body: &mut ResponseBody) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(data) = std::pin::Pin::new(&mut *body).data().await {
        bytes.extend_from_slice(&data.ok()?);
    }
    Some(bytes.freeze())
}

/// `POST /peer/membership`.
pub(super) async fn membership(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    answer(context, PeerRequest::Membership).await
}

/// `POST /peer/configuration`.
pub(super) async fn configuration(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    answer(context, PeerRequest::Configuration).await
}

async fn answer<T: DeserializeOwned>(
    context: &WebContext<'_, Arc<NodeState>>,
    wrap: fn(T) -> PeerRequest,
) -> WebResponse {
    let state = context.state();
    let body = std::mem::replace(&mut *context.body_borrow_mut(), RequestBody::None);
    let Ok(body) = read_body(body, MAX_BODY_BYTES, state.settings.timeouts.body).await else {
        return refuse(RefusalCode::InvalidRequest, "the body could not be read");
    };
    let request = match serde_json::from_slice(&body) {
        Ok(request) => wrap(request),
        Err(error) => return refuse(RefusalCode::InvalidRequest, &error.to_string()),
    };
    match state.peers.serve(state, &request, ANSWER_TIMEOUT).await {
        Some(PeerAnswer::Membership(answer)) => json_answer(200, &answer),
        Some(PeerAnswer::Configuration(answer)) => json_answer(200, &answer),
        None => refuse(RefusalCode::DeadlineExceeded, "no answer came about in time"),
    }
}

fn refuse(code: RefusalCode, message: &str) -> WebResponse {
    json_answer(code.http_status(), &Refusal::not_run(code, message))
}
