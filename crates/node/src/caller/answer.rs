//! Request ids and refusals in answers to callers.

use std::time::Duration;

use paddlemount_protocol::{
    caller::ErrorBody,
    header::{REQUEST_ID, TRACEPARENT},
    identity::RequestId,
    refusal::{Refusal, RefusalCode},
};
use xitca_web::http::{HeaderValue, WebResponse, header};

use crate::{http::json_answer, state::NodeState};

/// The default `Retry-After`.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A new request id, unique across nodes and ordered by time.
pub fn new_request_id() -> RequestId {
    RequestId::from(uuid::Uuid::now_v7().to_string())
}

/// The response to a refused request.
pub fn refuse(state: &NodeState, request: &RequestId, refusal: &Refusal) -> WebResponse {
    state.metrics.requests.record_refusal(refusal);
    let body = ErrorBody { error: refusal.clone(), request_id: request.clone() };
    let mut response = json_answer(refusal.code.http_status(), &body);
    let headers = response.headers_mut();
    if let Some(milliseconds) = refusal.retry_after_ms {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(milliseconds.div_ceil(1_000).max(1)));
    }
    if refusal.code == RefusalCode::Unauthenticated {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if refusal.code == RefusalCode::TooLarge {
        // The remaining body is not read, so the connection cannot be reused.
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    identify(&mut response, request);
    response
}

/// Adds the request id to an answer.
pub fn identify(response: &mut WebResponse, request: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

/// Adds the trace context to an answer.
pub fn trace(response: &mut WebResponse, traceparent: Option<&str>) {
    let value = traceparent.and_then(|traceparent| HeaderValue::from_str(traceparent).ok());
    if let Some(value) = value {
        response.headers_mut().insert(TRACEPARENT, value);
    }
}
