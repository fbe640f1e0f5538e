//! Serves the configuration store over TCP.
//!
//! Besides the store's own paths, `POST /control/faults` takes
//! [`ServiceFaults`](crate::faults::ServiceFaults) and `GET /control/state` returns the faults and the model.

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use paddlemount_protocol::{
    identity::Revision,
    platform::{LeaseAcquire, LeaseRenew, StoreGet, StorePut, StoreValue, StoreWatch},
};
use tokio::sync::watch;
use xitca_web::{
    App, HttpServer,
    handler::{handler_service, state::StateRef},
    http::WebResponse,
    route::{get, post},
    service::ServiceExt,
};

use super::model::ConfigurationStoreModel;
use crate::{
    http::{self, Activity, BodyBytes, Shared},
    model_state::{HasModel, ModelState, show_state},
    server::{self, RunningStandin, StartError},
    settings::ConfigurationStoreSettings,
};

/// Upper bound of the time for which a watch is held open.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

struct StoreServer {
    model: ModelState<ConfigurationStoreModel>,
    changed: watch::Sender<Revision>,
}

impl HasModel for StoreServer {
    type Model = ConfigurationStoreModel;

    fn model(&self) -> MutexGuard<'_, ConfigurationStoreModel> {
        self.model.lock()
    }
}

impl StoreServer {
    async fn watch(&self, request: &StoreWatch, activity: &Activity) -> StoreValue {
        let mut changed = self.changed.subscribe();
        let limit = tokio::time::sleep(Duration::from_millis(request.wait_ms).min(MAX_WATCH_WAIT));
        tokio::pin!(limit);
        loop {
            let value = self.model().get(&request.key);
            if value.revision > request.after {
                return value;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = &mut limit => return omit_if_unchanged(self.model().get(&request.key), request.after),
                () = activity.stopped() => return self.model().get(&request.key),
            }
        }
    }
}

/// Omits a value that the requester has already.
fn omit_if_unchanged(value: StoreValue, known: Revision) -> StoreValue {
    if value.revision == known { StoreValue { value: None, ..value } } else { value }
}

/// Starts a configuration store.
pub fn start(settings: ConfigurationStoreSettings) -> Result<RunningStandin, StartError> {
    let listener = server::listen(settings.listen)?;
    let model = ConfigurationStoreModel::new(settings.values);
    let changed = watch::Sender::new(model.revision());
    let standin = Arc::new(StoreServer { model: ModelState::new(model), changed });
    let shared = Shared::new(standin, settings.faults);
    let activity = shared.activity.clone();
    let app = App::new()
        .with_state(shared)
        .at("/get", post(handler_service(get_key)))
        .at("/put", post(handler_service(put)))
        .at("/watch", post(handler_service(watch_key)))
        .at("/lease/acquire", post(handler_service(acquire)))
        .at("/lease/renew", post(handler_service(renew)))
        .at("/lease/release", post(handler_service(release)))
        .at("/control/faults", post(handler_service(http::set_faults::<StoreServer>)))
        .at("/control/state", get(handler_service(show_state::<StoreServer>)))
        .enclosed_fn(http::guard)
        .finish()
        .enclosed_fn(http::drop_lost_replies);
    server::launch(HttpServer::serve(app), listener, settings.threads, activity, None)
}

type State<'a> = StateRef<'a, Shared<StoreServer>>;

async fn get_key(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |request: StoreGet| shared.standin.model().get(&request.key))
}

async fn put(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |put: StorePut| {
        let mut model = shared.standin.model();
        let result = model.put(put);
        shared.standin.changed.send_replace(model.revision());
        result
    })
}

async fn watch_key(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    match http::parse::<StoreWatch>(&body) {
        Ok(request) => http::ok(&shared.standin.watch(&request, &shared.activity).await),
        Err(refusal) => http::refuse(&refusal),
    }
}

async fn acquire(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |request: LeaseAcquire| shared.standin.model().acquire(&request, http::now()))
}

async fn renew(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |request: LeaseRenew| shared.standin.model().renew(&request, http::now()))
}

async fn release(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |request: LeaseRenew| shared.standin.model().release(&request, http::now()))
}
