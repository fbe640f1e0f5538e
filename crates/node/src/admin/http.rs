//! The HTTP side: statements of operators, questions of other members.
//!
//! | path | method | body → answer |
//! |---|---|---|
//! | `/admin/query` | POST | a statement as text → [`Answer`](paddlemount_language::answer::Answer); for `watch` lines of [`WatchLine`](paddlemount_language::answer::WatchLine) |
//! | `/peer/query` | POST, between nodes | [`MemberQuery`] → [`MemberReply`](paddlemount_language::answer::MemberReply) |
//!
//! What is not answered has a [`QueryError`] as its body.

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
    bounds::{LONGEST_DEADLINE, QUERY_DEADLINE},
    execute, watch,
};
use crate::{
    http::{BodyError, json_answer, read_body},
    state::NodeState,
};

/// Answers a statement of an operator.
pub async fn query(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    answer(context).await.unwrap_or_else(|problem| refuse(&problem))
}

/// The connection is closed, as the body of the refused request may not have been read; told so, a
/// client does not send its next request on it.
fn refuse(problem: &QueryError) -> WebResponse {
    let mut response = json_answer(problem.error.code.http_status(), problem);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn problem(error: Refusal) -> QueryError {
    QueryError { error, syntax: None }
}

async fn answer(context: &WebContext<'_, Arc<NodeState>>) -> Result<WebResponse, QueryError> {
    let state = context.state();
    let headers = context.req().headers();
    let operator = authenticate(&state.settings.operators, headers).map_err(problem)?;
    let deadline = deadline(headers).map_err(problem)?;
    let _place = state.admin_bounds.queries.take().map_err(problem)?;
    let text = body(context).await.map_err(problem)?;
    let statement = parse_bytes(&text).map_err(|syntax| QueryError {
        error: Refusal::not_run(RefusalCode::InvalidRequest, syntax.to_string()),
        syntax: Some(syntax),
    })?;
    authorize(&operator, &statement).map_err(problem)?;
    if let Statement::Watch(query) = statement {
        return watch_answer(state, query).map_err(problem);
    }
    let answer = execute::execute(state, &operator, statement, deadline).await.map_err(problem)?;
    Ok(json_answer(200, &answer))
}

fn watch_answer(state: &Arc<NodeState>, query: Query) -> Result<WebResponse, Refusal> {
    let place = state.admin_bounds.watchers.take()?;
    let lines = Box::pin(watch::stream(state, query, place));
    let mut response = WebResponse::new(ResponseBody::boxed(StreamDataBody::new(lines)));
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

async fn body(context: &WebContext<'_, Arc<NodeState>>) -> Result<Bytes, Refusal> {
    let body = std::mem::replace(&mut *context.body_borrow_mut(), RequestBody::None);
    let timeout = context.state().settings.timeouts.body;
    read_body(body, MAX_STATEMENT_BYTES, timeout).await.map_err(|error| {
        let code = match error {
            BodyError::TooLarge(_) => RefusalCode::TooLarge,
            BodyError::Timeout(_) | BodyError::Broken => RefusalCode::InvalidRequest,
        };
        Refusal::not_run(code, error.to_string())
    })
}

/// How long other members may take.
fn deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(QUERY_DEADLINE) };
    let milliseconds = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match milliseconds {
        Some(milliseconds) if milliseconds > 0 => {
            Ok(Duration::from_millis(milliseconds).min(LONGEST_DEADLINE))
        }
        _ => {
            let message = format!("header {DEADLINE_MS} must be a whole number of milliseconds above 0");
            Err(Refusal::not_run(RefusalCode::InvalidRequest, message))
        }
    }
}

/// Answers the question of another member, which was authenticated before.
pub fn member_question(state: &NodeState, body: &[u8]) -> WebResponse {
    let reply = state.admin_bounds.member_questions.take().and_then(|_place| {
        let question: MemberQuery = serde_json::from_slice(body)
            .map_err(|error| Refusal::not_run(RefusalCode::InvalidRequest, error.to_string()))?;
        execute::reply(state, &question)
    });
    match reply {
        Ok(reply) => json_answer(200, &reply),
        Err(refusal) => refuse(&problem(refusal)),
    }
}
