//! Checks on every request before its body is read.

use std::{sync::Arc, time::Duration};

use paddlemount_core::caller_memory::STALL_TIMEOUT;
use paddlemount_protocol::{
    engine::Priority,
    header::{DEADLINE_MS, PRIORITY, REPEATABLE, TRACEPARENT},
    identity::TenantId,
    refusal::{Refusal, RefusalCode},
    trace::TraceContext,
};
use rand::RngExt;
use serde::de::DeserializeOwned;
use xitca_web::{
    WebContext,
    body::RequestBody,
    http::{HeaderMap, header},
};

use super::answer::DEFAULT_RETRY_AFTER;
use crate::{
    active::{ActiveGuard, EntryRefusal},
    configuration::ActiveConfiguration,
    http::{BodyError, receive_body},
    state::NodeState,
};

/// An authenticated request that counts as active.
pub struct Admitted {
    /// Held until the answer has been sent.
    pub guard: ActiveGuard,
    pub tenant: TenantId,
    /// The configuration that applies to this request.
    pub configuration: Arc<ActiveConfiguration>,
}

/// The request options from a caller's headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    pub deadline: Duration,
    pub priority: Priority,
    /// W3C trace context.
    pub traceparent: Option<String>,
}

/// Admits a request and authenticates its caller.
///
/// # Errors
///
/// The request has not run.
pub fn admit(state: &Arc<NodeState>, headers: &HeaderMap) -> Result<Admitted, Refusal> {
    let guard = state.active.enter().map_err(|refusal| match refusal {
        EntryRefusal::Draining => {
            Refusal::not_run(RefusalCode::Draining, "this node is stopping; use another")
                .with_retry_after(DEFAULT_RETRY_AFTER)
        }
        EntryRefusal::Full => {
            Refusal::not_run(RefusalCode::Overloaded, "this node has no room for more requests")
                .with_retry_after(DEFAULT_RETRY_AFTER)
        }
    })?;
    let configuration = state.configuration.load();
    if configuration.document.revision.0 == 0 {
        let message = "this node has not learnt its configuration yet";
        return Err(Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(DEFAULT_RETRY_AFTER));
    }
    if !state.peers.may_serve() {
        let message =
            "this node could not confirm its configuration with the store or enough nodes; use another";
        return Err(Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(DEFAULT_RETRY_AFTER));
    }
    let tenant = bearer_key(headers).and_then(|key| configuration.tenant_of_key(key).cloned());
    let Some(tenant) = tenant else {
        let message = "the key is missing or unknown; send `Authorization: Bearer KEY`";
        return Err(Refusal::not_run(RefusalCode::Unauthenticated, message));
    };
    Ok(Admitted { guard, tenant, configuration })
}

/// The bearer token of a request.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Reads a JSON body within the node's limits.
///
/// # Errors
///
/// The request has not run.
pub async fn read_json<T: DeserializeOwned>(
    context: &WebContext<'_, Arc<NodeState>>,
    admitted: &mut Admitted,
) -> Result<T, Refusal> {
    let state = context.state();
    let body = std::mem::replace(&mut *context.body_borrow_mut(), RequestBody::None);
    let announced_bytes = announced_bytes(context.req().headers());
    let received = receive_body(state, body, admitted.tenant.clone(), announced_bytes).await;
    let (parsed, account) = received
        .and_then(|body| body.finish_with(parse_json).map_err(BodyError::from))
        .map_err(refuse_body)?;
    admitted.guard.hold(account);
    parsed
}

fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn refuse_body(error: BodyError) -> Refusal {
    let refusal = Refusal::not_run(error.code(), error.to_string());
    match error {
        // By then a body that makes no progress has given way.
        BodyError::NoMemory(_) => refusal.with_retry_after(STALL_TIMEOUT),
        BodyError::TooLarge(_) | BodyError::Timeout(_) | BodyError::Broken => refusal,
    }
}

/// Parses JSON.
///
/// # Errors
///
/// Names the position of the error.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(|error| {
        Refusal::not_run(RefusalCode::InvalidRequest, format!("the body is not what is expected: {error}"))
    })
}

/// Reads the headers that describe a request.
///
/// # Errors
///
/// Names the invalid header.
pub fn read_options(
    headers: &HeaderMap,
    repeatable: bool,
    max_deadline: Duration,
) -> Result<RequestOptions, Refusal> {
    let repeatable = match text(headers, REPEATABLE)? {
        None => repeatable,
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(invalid(REPEATABLE, "true or false")),
    };
    let deadline = match text(headers, DEADLINE_MS)?.map(str::parse::<u64>) {
        None => max_deadline,
        Some(Ok(milliseconds)) if milliseconds > 0 => Duration::from_millis(milliseconds).min(max_deadline),
        Some(_) => return Err(invalid(DEADLINE_MS, "a whole number of milliseconds above 0")),
    };
    let priority = match text(headers, PRIORITY)? {
        None | Some("normal") => Priority::Normal,
        Some("low") => Priority::Low,
        Some("high") => Priority::High,
        Some(_) => return Err(invalid(PRIORITY, "low, normal or high")),
    };
    let traceparent = Some(trace_context(headers).to_string());
    Ok(RequestOptions { repeatable, deadline, priority, traceparent })
}

/// The caller's trace context with a new span, or a new trace. An invalid header is ignored, as the standard
/// requires.
fn trace_context(headers: &HeaderMap) -> TraceContext {
    let mut random = rand::rng();
    let received =
        headers.get(TRACEPARENT).and_then(|value| value.to_str().ok()).and_then(TraceContext::parse);
    match received {
        Some(context) => context.with_span(random.random()),
        None => TraceContext::new(random.random(), random.random()),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    match headers.get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text.trim())),
        Some(Err(_)) => Err(invalid(name, "plain text")),
    }
}

fn invalid(name: &str, expected: &str) -> Refusal {
    Refusal::not_run(RefusalCode::InvalidRequest, format!("header {name} must be {expected}"))
}
