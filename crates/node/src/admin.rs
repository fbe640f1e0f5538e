//! The interface for operators, health checks and metrics.

pub mod access;
mod audit;
mod change;
pub mod client;
mod cluster;
mod counters;
mod execute;
mod explain;
pub mod http;
pub mod limits;
mod members;
pub mod observations;
pub mod prefixes;
mod rows;
mod watch;

use std::{io, net::TcpListener, sync::Arc};

use xitca_web::{
    App, WebContext,
    handler::handler_service,
    http::{HeaderValue, StatusCode, WebResponse, header},
    route::{get, post},
};

use crate::{
    http::json_answer,
    server::{self, RunningServer, ServerSettings},
    state::NodeState,
};

/// Starts the administration server.
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
        .at("/healthz", get(handler_service(health)))
        .at("/readyz", get(handler_service(ready)))
        .at("/admin/query", post(handler_service(http::query)))
        .at("/metrics", get(handler_service(metrics)));
    server::start(state, settings, listener, app.finish())
}

async fn health() -> WebResponse {
    json_answer(200, &serde_json::json!({ "status": "ok" }))
}

async fn ready(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    let state = context.state();
    let revision = state.configuration.revision();
    let draining = state.active.is_draining();
    let body = serde_json::json!({
        "ready": state.is_ready(),
        "revision": revision,
        "draining": draining,
        "requests": state.active.count(),
    });
    json_answer(if state.is_ready() { 200 } else { 503 }, &body)
}

async fn metrics(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    let text = context.state().metrics.render();
    let mut response = WebResponse::new(text.into());
    *response.status_mut() = StatusCode::OK;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
