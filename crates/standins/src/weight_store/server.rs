//! Serves the weight store over TCP.
//!
//! Besides `POST /load`, `POST /control/faults` takes [`ServiceFaults`](crate::faults::ServiceFaults)
//! and `GET /control/state` returns the faults and the model.

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use paddlemount_protocol::platform::{WeightLoad, WeightLoaded};
use tokio::sync::Notify;
use xitca_web::{
    App, HttpServer,
    handler::{handler_service, state::StateRef},
    http::WebResponse,
    route::{get, post},
    service::ServiceExt,
};

use super::model::{LoadId, WeightStoreModel};
use crate::{
    http::{self, BodyBytes, Shared},
    model_state::{HasModel, ModelState, show_state},
    server::{self, RunningStandin, StartError},
    settings::WeightStoreSettings,
};

struct WeightStoreServer {
    model: ModelState<WeightStoreModel>,
    load_started: Notify,
}

impl HasModel for WeightStoreServer {
    type Model = WeightStoreModel;

    fn model(&self) -> MutexGuard<'_, WeightStoreModel> {
        self.model.lock()
    }
}

impl WeightStoreServer {
    async fn load(&self, load: &WeightLoad) -> WeightLoaded {
        let started = http::now();
        let running = RunningLoad { server: self, id: self.model().begin(load, started) };
        self.load_started.notify_waiters();
        while let Some(wait) = self.remaining(running.id) {
            // Another load that starts meanwhile slows this one, so the wait is recomputed.
            let _ = tokio::time::timeout(wait, self.load_started.notified()).await;
        }
        let elapsed = http::now().saturating_since(started);
        WeightLoaded { took_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX) }
    }

    fn remaining(&self, id: LoadId) -> Option<Duration> {
        let now = http::now();
        let mut model = self.model();
        if model.is_done(id, now) {
            return None;
        }
        model.next_done_at().map(|at| at.saturating_since(now))
    }
}

/// Abandons the load when its handler is dropped.
struct RunningLoad<'a> {
    server: &'a WeightStoreServer,
    id: LoadId,
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.server.model().abandon(self.id, http::now());
    }
}

/// Starts a weight store.
pub fn start(settings: WeightStoreSettings) -> Result<RunningStandin, StartError> {
    let listener = server::listen(settings.listen)?;
    let model = ModelState::new(WeightStoreModel::new(settings.speed));
    let standin = Arc::new(WeightStoreServer { model, load_started: Notify::new() });
    let shared = Shared::new(standin, settings.faults);
    let activity = shared.activity.clone();
    let app = App::new()
        .with_state(shared)
        .at("/load", post(handler_service(load)))
        .at("/control/faults", post(handler_service(http::set_faults::<WeightStoreServer>)))
        .at("/control/state", get(handler_service(show_state::<WeightStoreServer>)))
        .enclosed_fn(http::guard)
        .finish()
        .enclosed_fn(http::drop_lost_replies);
    server::launch(HttpServer::serve(app), listener, settings.threads, activity, None)
}

type State<'a> = StateRef<'a, Shared<WeightStoreServer>>;

async fn load(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    match http::parse::<WeightLoad>(&body) {
        Ok(request) => http::ok(&shared.standin.load(&request).await),
        Err(refusal) => http::refuse(&refusal),
    }
}
