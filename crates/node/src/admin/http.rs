//! The HTTP handlers for statements of operators and queries of other members.
//!
//! | path | method | body → answer |
//! |---|---|---|
//! | `/admin/query` | POST | a statement as text → [`Answer`](paddlemount_language::answer::Answer); for `watch` lines of [`WatchLine`](paddlemount_language::answer::WatchLine) |
//! | `/peer/query` | POST, between nodes | [`MemberQuery`] → [`MemberReply`](paddlemount_language::answer::MemberReply) |
//!
//! Errors have a [`QueryError`] as their body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use paddlemount_language::{
    MAX_STATEMENT_BYTES,
    answer::{MemberQuery, QueryError},
    parse_bytes,
    tree::{Query, Statement},
};
use paddlemount_protocol::{
    header::DEADLINE_MS,
    refusal::{Refusal, RefusalCode},
};
use xitca_web::{
    WebContext,
    body::{RequestBody, ResponseBody, StreamDataBody},
    http::{HeaderMap, HeaderValue, WebResponse, header},
};

use super::{
    access::{authenticate, authorize},
    execute,
    limits::{DEFAULT_QUERY_DEADLINE, MAX_QUERY_DEADLINE},
    watch,
};
use crate::{
    http::{json_answer, read_body},
    state::NodeState,
};

/// Answers a statement of an operator.
pub async fn query(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    answer(context).await.unwrap_or_else(|query_error| refuse(&query_error))
}

/// Closes the connection, as the body of the refused request may not have been read; the header keeps the
/// client from reusing it.
fn refuse(query_error: &QueryError) -> WebResponse {
    let mut response = json_answer(query_error.error.code.http_status(), query_error);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn query_error(error: Refusal) -> QueryError {
    QueryError { error, syntax: None }
}

async fn answer(context: &WebContext<'_, Arc<NodeState>>) -> Result<WebResponse, QueryError> {
    let state = context.state();
    let headers = context.req().headers();
    let operator = authenticate(&state.settings.operators, headers).map_err(query_error)?;
    let deadline = deadline(headers).map_err(query_error)?;
    let _guard = state.admin_limits.queries.acquire().map_err(query_error)?;
    let text = body(context).await.map_err(query_error)?;
    let statement = parse_bytes(&text).map_err(|syntax| QueryError {
        error: Refusal::not_run(RefusalCode::InvalidRequest, syntax.to_string()),
        syntax: Some(syntax),
    })?;
    authorize(&operator, &statement).map_err(query_error)?;
    if let Statement::Watch(query) = statement {
        return watch_answer(state, query).map_err(query_error);
    }
    let answer = execute::execute(state, &operator, statement, deadline).await.map_err(query_error)?;
    Ok(json_answer(200, &answer))
}

fn watch_answer(state: &Arc<NodeState>, query: Query) -> Result<WebResponse, Refusal> {
    let guard = state.admin_limits.watchers.acquire()?;
    let lines = Box::pin(watch::stream(state, query, guard));
    let mut response = WebResponse::new(ResponseBody::boxed(StreamDataBody::new(lines)));
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

async fn body(context: &WebContext<'_, Arc<NodeState>>) -> Result<Bytes, Refusal> {
    let body = std::mem::replace(&mut *context.body_borrow_mut(), RequestBody::None);
    let timeout = context.state().settings.timeouts.body;
    let read = read_body(body, MAX_STATEMENT_BYTES, timeout).await;
    read.map_err(|error| Refusal::not_run(error.code(), error.to_string()))
}

/// The deadline for the replies of other members.
fn deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(DEFAULT_QUERY_DEADLINE) };
    let milliseconds = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match milliseconds {
        Some(milliseconds) if milliseconds > 0 => {
            Ok(Duration::from_millis(milliseconds).min(MAX_QUERY_DEADLINE))
        }
        _ => {
            let message = format!("header {DEADLINE_MS} must be a whole number of milliseconds above 0");
            Err(Refusal::not_run(RefusalCode::InvalidRequest, message))
        }
    }
}

/// Answers the query of another member, which is already authenticated.
pub fn member_query(state: &NodeState, body: &[u8]) -> WebResponse {
    let reply = state.admin_limits.member_queries.acquire().and_then(|_guard| {
        let query: MemberQuery = serde_json::from_slice(body)
            .map_err(|error| Refusal::not_run(RefusalCode::InvalidRequest, error.to_string()))?;
        execute::reply(state, &query)
    });
    match reply {
        Ok(reply) => json_answer(200, &reply),
        Err(refusal) => refuse(&query_error(refusal)),
    }
}
