//! Serves the machine list over TCP.
//!
//! Besides `GET /machines`, `POST /control/machines` takes a [`MachineChange`], `POST /control/lag` a
//! [`ListLag`], `POST /control/faults` [`ServiceFaults`](crate::faults::ServiceFaults), and `GET
//! /control/state` returns the faults and the model.

use std::{sync::Arc, time::Duration};

use xitca_web::{
    App, HttpServer,
    handler::{handler_service, state::StateRef},
    http::WebResponse,
    route::{get, post},
    service::ServiceExt,
};

use super::model::{ListLag, MachineChange, MachineListModel};
use crate::{
    http::{self, BodyBytes, Empty, Shared},
    model_state::{HasModel, ModelState, show_state},
    server::{self, RunningStandin, StartError},
    settings::MachineListSettings,
};

type MachineListServer = ModelState<MachineListModel>;

type State<'a> = StateRef<'a, Shared<MachineListServer>>;

/// Starts a machine list.
pub fn start(settings: MachineListSettings) -> Result<RunningStandin, StartError> {
    let listener = server::listen(settings.listen)?;
    let model = MachineListModel::new(settings.machines, Duration::from_millis(settings.lag_ms));
    let standin = Arc::new(MachineListServer::new(model));
    let shared = Shared::new(standin, settings.faults);
    let activity = shared.activity.clone();
    let app = App::new()
        .with_state(shared)
        .at("/machines", get(handler_service(machines)))
        .at("/control/machines", post(handler_service(change)))
        .at("/control/lag", post(handler_service(set_lag)))
        .at("/control/faults", post(handler_service(http::set_faults::<MachineListServer>)))
        .at("/control/state", get(handler_service(show_state::<MachineListServer>)))
        .enclosed_fn(http::guard)
        .finish()
        .enclosed_fn(http::drop_lost_replies);
    server::launch(HttpServer::serve(app), listener, settings.threads, activity, None)
}

async fn machines(StateRef(shared): State<'_>) -> WebResponse {
    http::ok(shared.standin.model().list(http::now()))
}

async fn change(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |change: MachineChange| {
        shared.standin.model().change(change, http::now());
        Empty {}
    })
}

async fn set_lag(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |lag: ListLag| {
        shared.standin.model().set_lag(Duration::from_millis(lag.lag_ms));
        lag
    })
}
