//! Serves a booking instance over TCP.
//!
//! Besides `POST /run`, `GET /control/ledger` returns all [`LedgerEntry`](super::model::LedgerEntry)s,
//! `POST /control/faults` takes [`ServiceFaults`](crate::faults::ServiceFaults) and
//! `GET /control/state` returns the faults and the model.

use std::sync::Arc;

use paddlemount_protocol::booking::ServiceRequest;
use xitca_web::{
    App, HttpServer,
    handler::{handler_service, state::StateRef},
    http::WebResponse,
    route::{get, post},
    service::ServiceExt,
};

use super::model::BookingModel;
use crate::{
    http::{self, BodyBytes, Shared},
    model_state::{HasModel, ModelState, show_state},
    server::{self, RunningStandin, StartError},
    settings::BookingSettings,
};

type BookingServer = ModelState<BookingModel>;

/// Starts a booking instance.
pub fn start(settings: BookingSettings) -> Result<RunningStandin, StartError> {
    let listener = server::listen(settings.listen)?;
    let standin = Arc::new(BookingServer::new(BookingModel::new(settings.instance)));
    let shared = Shared::new(standin, settings.faults);
    let activity = shared.activity.clone();
    let app = App::new()
        .with_state(shared)
        .at("/run", post(handler_service(run)))
        .at("/control/ledger", get(handler_service(ledger)))
        .at("/control/faults", post(handler_service(http::set_faults::<BookingServer>)))
        .at("/control/state", get(handler_service(show_state::<BookingServer>)))
        .enclosed_fn(http::guard)
        .finish()
        .enclosed_fn(http::drop_lost_replies);
    server::launch(HttpServer::serve(app), listener, settings.threads, activity, None)
}

type State<'a> = StateRef<'a, Shared<BookingServer>>;

async fn run(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    let result = http::parse::<ServiceRequest>(&body)
        .and_then(|request| shared.standin.model().run(request, http::now()));
    match result {
        Ok(response) => http::ok(&response),
        Err(refusal) => http::refuse(&refusal),
    }
}

async fn ledger(StateRef(shared): State<'_>) -> WebResponse {
    http::ok(&shared.standin.model().ledger())
}
