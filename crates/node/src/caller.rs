//! The caller API.

mod admission;
mod answer;
mod chat;
mod models;
pub mod services;
mod stream;

use std::{convert::Infallible, io, net::TcpListener, sync::Arc};

use paddlemount_protocol::{
    header::REQUEST_ID,
    refusal::{Refusal, RefusalCode},
};
use xitca_web::{
    App, WebContext,
    error::{Error, MatchError, MethodNotAllowed},
    handler::handler_service,
    http::{HeaderValue, StatusCode, WebResponse, header},
    route::{get, post},
    service::Service,
};

use crate::{
    server::{self, RunningServer, ServerSettings},
    state::NodeState,
};
pub use admission::{RequestOptions, bearer_key, parse_json, read_options};
use answer::{identify, new_request_id, refuse};

/// Starts the caller API's server.
///
/// # Errors
///
/// Fails if its threads cannot be started.
pub fn start(
    state: &Arc<NodeState>,
    listener: TcpListener,
    settings: ServerSettings,
) -> io::Result<RunningServer> {
    let app = App::new()
        .with_state(Arc::clone(state))
        .at("/v1/chat/completions", post(handler_service(chat::complete)))
        .at("/v1/models", get(handler_service(models::list)))
        .at("/v1/services/{service}/{operation}", post(handler_service(services::run)))
        .enclosed_fn(finish_answer);
    server::start(state, settings, listener, app.finish())
}

/// Adds a request id and a typed body to every answer, and closes connections while the node drains.
async fn finish_answer<S>(
    service: &S,
    mut context: WebContext<'_, Arc<NodeState>>,
) -> Result<WebResponse, Infallible>
where
    S: for<'r> Service<WebContext<'r, Arc<NodeState>>, Response = WebResponse, Error = Error>,
{
    let state = Arc::clone(context.state());
    let result = service.call(context.reborrow()).await;
    let mut response = result.unwrap_or_else(|error| refuse_error(&state, &error));
    if !response.headers().contains_key(REQUEST_ID) {
        identify(&mut response, &new_request_id());
    }
    if state.active.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn refuse_error(state: &NodeState, error: &Error) -> WebResponse {
    let request = new_request_id();
    let cause = error.upcast();
    if cause.is::<MatchError>() {
        let message =
            "no such path; use /v1/chat/completions, /v1/models or /v1/services/{service}/{operation}";
        return refuse(state, &request, &Refusal::not_run(RefusalCode::NotFound, message));
    }
    if cause.is::<MethodNotAllowed>() {
        let message = "this path does not take this method";
        let mut response = refuse(state, &request, &Refusal::not_run(RefusalCode::InvalidRequest, message));
        *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
        return response;
    }
    log::error!("a handler failed: {error}");
    refuse(state, &request, &Refusal::unknown(RefusalCode::Internal, "internal error"))
}
