//! Serves the engine API over TCP.
//!
//! Besides the engine's own paths, `POST /control/faults` takes [`EngineFaults`],
//! `POST /control/crash` starts a new incarnation with an empty cache and cuts all streams, and
//! `GET /control/state` returns [`EngineControlState`].
//!
//! | module | contents |
//! |---|---|
//! | `driver` | drives the model in real time and applies its outputs |
//! | `handlers` | HTTP handlers |
//! | `streams` | answer streams and their readers |
//! | `weights` | fetches weights from the weight store |

mod driver;
mod handlers;
mod streams;
mod weights;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_protocol::{
    engine::EngineStatus,
    identity::{EventSequence, Incarnation},
    refusal::RefusalCode,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use xitca_web::{
    App, HttpServer,
    handler::handler_service,
    route::{get, post},
    service::ServiceExt,
};

use self::streams::Streams;
use crate::{
    engine::{
        model::{EngineModel, EngineModelSettings, TokenOutputs},
        settings::FeedSettings,
    },
    faults::ServiceFaults,
    http::{self, Shared},
    server::{self, RunningStandin, StartError},
    settings::EngineSettings,
};

/// Faults of an engine. A request body replaces all of them; an absent key disables its fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Faults of replies; for streams, of the start of the reply.
    pub replies: ServiceFaults,
    /// Stops all progress of the engine.
    pub stalled: bool,
    /// Factor for the duration of steps.
    pub slowdown: Option<f64>,
    /// Cuts each connection of a stream after this many tokens.
    pub cut_after_tokens: Option<u32>,
    /// Crashes after accepting a request whose `max_tokens` equals this value.
    pub crash_at_max_tokens: Option<u32>,
    /// Sends a frame of another attempt before each token.
    pub stray_frames: bool,
    /// Refuses every new request with this code.
    pub refuse: Option<RefusalCode>,
    /// Replaces the settings of the feed.
    pub feed: Option<FeedSettings>,
    /// Number of next events of the feed that are lost.
    pub lose_next_events: u32,
    /// Replaces the lag of load reports, in milliseconds.
    pub load_report_lag_ms: Option<u64>,
}

/// Counters of the current incarnation; crashes are counted over all incarnations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Crashes of all incarnations.
    pub crashes: u64,
    /// Accepted requests.
    pub accepted: u64,
    /// Refused requests.
    pub refused: u64,
    /// Completed answers.
    pub completed: u64,
    /// Requests cancelled by their sender.
    pub cancelled: u64,
    /// Requests abandoned because no reader resumed the stream.
    pub abandoned: u64,
    /// Requests whose answer prefix differs from this engine's own answer.
    pub foreign_continuations: u64,
}

/// The body of `GET /control/state`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineControlState {
    /// The engine's status.
    pub status: EngineStatus,
    /// The current faults.
    pub faults: EngineFaults,
    /// Counters of the current incarnation.
    pub counters: EngineCounters,
    /// Number of streams, including ended ones that can still be resumed.
    pub streams: usize,
}

/// An engine's model and the streams that it feeds.
struct EngineState {
    model: EngineModel,
    streams: Streams,
    faults: EngineFaults,
    counters: EngineCounters,
}

/// State shared by the handlers and the driver.
struct EngineServer {
    settings: EngineSettings,
    state: Mutex<EngineState>,
    /// Wakes the driver after a change of the model.
    wake: Notify,
    /// The last event of the feed, for long polls.
    last_event: watch::Sender<(Incarnation, EventSequence)>,
}

impl EngineServer {
    fn new(settings: EngineSettings) -> Self {
        let incarnation = settings.incarnation.unwrap_or(Incarnation(http::now().as_millis()));
        let model = EngineModel::new(model_settings(&settings), incarnation, settings.seed);
        let grace = Duration::from_millis(settings.behaviour.service.resume_grace_ms);
        let state = EngineState {
            model,
            streams: Streams::new(grace),
            faults: EngineFaults { replies: settings.faults, ..EngineFaults::default() },
            counters: EngineCounters::default(),
        };
        let last_event = watch::Sender::new((incarnation, EventSequence(0)));
        Self { settings, state: Mutex::new(state), wake: Notify::new(), last_event }
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn model_settings(settings: &EngineSettings) -> EngineModelSettings {
    let load_duration =
        if settings.weight_store.is_some() { None } else { Some(Duration::from_millis(settings.load_ms)) };
    EngineModelSettings {
        engine: settings.engine.clone(),
        pool: settings.pool.clone(),
        zone: settings.zone.clone(),
        loaded: settings.loaded.clone(),
        behaviour: settings.behaviour,
        load_duration,
        token_outputs: TokenOutputs::All,
    }
}

/// Starts an engine server.
pub fn start(settings: EngineSettings) -> Result<RunningStandin, StartError> {
    let listener = server::listen(settings.listen)?;
    let threads = settings.threads;
    let faults = settings.faults;
    let engine = Arc::new(EngineServer::new(settings));
    let driver = driver::start(engine.clone())?;
    let shared = Shared::new(engine, faults);
    let activity = shared.activity.clone();
    let app = App::new()
        .with_state(shared)
        .at("/generate", post(handler_service(handlers::generate)))
        .at("/resume", post(handler_service(handlers::resume)))
        .at("/cancel", post(handler_service(handlers::cancel)))
        .at("/status", get(handler_service(handlers::status)))
        .at("/events", get(handler_service(handlers::events)))
        .at("/snapshot", get(handler_service(handlers::snapshot)))
        .at("/export", post(handler_service(handlers::export)))
        .at("/import", post(handler_service(handlers::import)))
        .at("/order", post(handler_service(handlers::order)))
        .at("/control/faults", post(handler_service(handlers::set_faults)))
        .at("/control/crash", post(handler_service(handlers::crash)))
        .at("/control/state", get(handler_service(handlers::control_state)))
        .enclosed_fn(http::guard)
        .finish()
        .enclosed_fn(http::drop_lost_replies);
    server::launch(HttpServer::serve(app), listener, threads, activity, Some(Box::new(driver)))
}
