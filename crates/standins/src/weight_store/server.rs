//! Serves the weight store over TCP.
//!
//! Besides `POST /load`, `POST /control/faults` takes [`ServiceFaults`](crate::faults::ServiceFaults)
//! and `GET /control/state` shows everything.

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
    begun: Notify,
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
        let running = RunningLoad { server: self, number: self.model().begin(load, started) };
        self.begun.notify_waiters();
        while let Some(wait) = self.remaining(running.number) {
            // A load that begins meanwhile slows this one; the wait is then worked out again.
            let _ = tokio::time::timeout(wait, self.begun.notified()).await;
        }
        let took = http::now().saturating_since(started);
        WeightLoaded { took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX) }
    }

    fn remaining(&self, number: LoadId) -> Option<Duration> {
        let now = http::now();
        let mut model = self.model();
        if model.is_done(number, now) {
            return None;
        }
        model.next_done_at().map(|at| at.saturating_since(now))
    }
}

/// Gives the load up where its handler is dropped.
struct RunningLoad<'a> {
    server: &'a WeightStoreServer,
    number: LoadId,
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.server.model().abandon(self.number, http::now());
    }
}

/// Starts a weight store.
pub fn start(settings: WeightStoreSettings) -> Result<RunningStandin, StartError> {
    let listener = server::listen(settings.listen)?;
    let model = ModelState::new(WeightStoreModel::new(settings.speed));
    let standin = Arc::new(WeightStoreServer { model, begun: Notify::new() });
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
        Ok(ask) => http::ok(&shared.standin.load(&ask).await),
        Err(refusal) => http::refuse(&refusal),
    }
}
