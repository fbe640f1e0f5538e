//! Serves the cache store over TCP.
//!
//! Besides the store's own paths, `POST /control/faults` takes
//! [`ServiceFaults`](crate::faults::ServiceFaults) and `GET /control/state` returns the faults and the model.

use std::sync::Arc;

use paddlemount_protocol::{
    engine::{EndedIncarnation, KvTransfer},
    platform::CacheLookup,
};
use xitca_web::{
    App, HttpServer,
    handler::{handler_service, state::StateRef},
    http::WebResponse,
    route::{get, post},
    service::ServiceExt,
};

use super::model::CacheStoreModel;
use crate::{
    http::{self, BodyBytes, Empty, Shared},
    model_state::{HasModel, ModelState, show_state},
    server::{self, RunningStandin, StartError},
    settings::CacheStoreSettings,
};

type CacheStoreServer = ModelState<CacheStoreModel>;

/// Starts a cache store.
pub fn start(settings: CacheStoreSettings) -> Result<RunningStandin, StartError> {
    let listener = server::listen(settings.listen)?;
    let standin = Arc::new(CacheStoreServer::new(CacheStoreModel::new(settings.limits)));
    let shared = Shared::new(standin, settings.faults);
    let activity = shared.activity.clone();
    let app = App::new()
        .with_state(shared)
        .at("/put", post(handler_service(put)))
        .at("/find", post(handler_service(find)))
        .at("/ended", post(handler_service(ended)))
        .at("/control/faults", post(handler_service(http::set_faults::<CacheStoreServer>)))
        .at("/control/state", get(handler_service(show_state::<CacheStoreServer>)))
        .enclosed_fn(http::guard)
        .finish()
        .enclosed_fn(http::drop_lost_replies);
    server::launch(HttpServer::serve(app), listener, settings.threads, activity, None)
}

type State<'a> = StateRef<'a, Shared<CacheStoreServer>>;

async fn put(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    let stored = http::parse::<KvTransfer>(&body)
        .and_then(|transfer| shared.standin.model().put(transfer, http::now()));
    match stored {
        Ok(()) => http::ok(&Empty {}),
        Err(refusal) => http::refuse(&refusal),
    }
}

async fn find(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |request: CacheLookup| shared.standin.model().find(&request, http::now()))
}

async fn ended(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |incarnation: EndedIncarnation| {
        shared.standin.model().end(&incarnation);
        Empty {}
    })
}
