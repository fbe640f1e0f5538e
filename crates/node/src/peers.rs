//! The interface between nodes.
//!
//! | module | job |
//! |---|---|
//! | [`authentication`] | message authentication |
//! | `server` | server: authentication and handlers |
//! | [`transport`] | signed calls to other nodes |
//! | [`driver`] | I/O driver of `core::peers` |
//! | [`store`] | calls to the configuration store |
//! | [`items`] | piggybacked items |

pub mod authentication;
pub mod driver;
pub mod items;
mod server;
pub mod store;
pub mod transport;

use std::{io, net::TcpListener, sync::Arc};

use paddlemount_core::peers::PeerEvent;
use paddlemount_language::MAX_STATEMENT_BYTES;
use paddlemount_protocol::peer::{configuration, membership};
use xitca_web::{
    App, WebContext,
    body::RequestBody,
    handler::handler_service,
    http::WebResponse,
    route::{get, post},
};

use crate::{
    admin, claims,
    http::{json_answer, read_body},
    server::{RunningServer, ServerSettings},
    state::NodeState,
};

/// Starts the peer server.
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
        .at(membership::PATH, post(handler_service(server::membership)))
        .at(configuration::PATH, post(handler_service(server::configuration)))
        .at("/peer/query", post(handler_service(member_query)))
        .at(claims::PATH, post(handler_service(claims::serve)))
        .enclosed_fn(server::authenticate);
    crate::server::start(state, settings, listener, app.finish())
}

async fn health() -> WebResponse {
    json_answer(200, &serde_json::json!({ "status": "ok" }))
}

async fn member_query(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    let body = std::mem::replace(&mut *context.body_borrow_mut(), RequestBody::None);
    match read_body(body, MAX_STATEMENT_BYTES, context.state().settings.timeouts.body).await {
        Ok(body) => admin::http::member_query(context.state(), &body),
        Err(error) => json_answer(400, &error.to_string()),
    }
}

/// Announces to the other nodes that this one is leaving.
pub async fn announce_leaving(state: &NodeState) {
    state.peers.handle_event(state, PeerEvent::Stop);
}
