//! Handlers of the engine API.

use std::{sync::Arc, time::Duration};

use paddlemount_protocol::{
    engine::{
        CancelRequest, EngineRefusal, ExportRequest, GenerateRequest, KvTransfer, Order, ResumeRequest,
    },
    identity::{EventSequence, Incarnation},
    prefix::{BlockHash, prompt_tokens},
    refusal::{Refusal, RefusalCode},
};
use serde::Serialize;
use xitca_web::{
    handler::{state::StateRef, uri::UriRef},
    http::WebResponse,
};

use super::{EngineControlState, EngineFaults, EngineServer, EngineState, streams};
use crate::{
    engine::{answer::AnswerPlan, model::ModelRequest},
    http::{self, BodyBytes, Empty, Shared},
};

/// Maximum number of events in one response.
const MAX_EVENTS_PER_BATCH: usize = 1_024;

/// Default number of blocks in a page of a snapshot.
const DEFAULT_PAGE_BLOCKS: usize = 4_096;

/// Upper bound of the time for which a request for events is held open.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(30);

/// Delay between accepting a request that crashes the engine and the crash.
const CRASH_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

type State<'a> = StateRef<'a, Shared<EngineServer>>;

fn respond<T: Serialize>(result: Result<T, EngineRefusal>) -> WebResponse {
    match result {
        Ok(value) => http::ok(&value),
        Err(refusal) => refuse(&refusal),
    }
}

fn refuse(refusal: &EngineRefusal) -> WebResponse {
    http::json(refusal.code.http_status(), refusal)
}

pub(super) async fn generate(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    let request: GenerateRequest = match http::parse(&body) {
        Ok(request) => request,
        Err(refusal) => return http::refuse(&refusal),
    };
    let server = &shared.standin;
    let attempt = request.attempt.clone();
    let max_tokens = request.max_tokens;
    if let Err(refusal) = accept(server, request) {
        server.state().counters.refused += 1;
        return refuse(&refusal);
    }
    server.wake.notify_one();
    let response = stream_response(server, &attempt, None);
    if server.state().faults.crash_at_max_tokens == Some(max_tokens) {
        tokio::time::sleep(CRASH_DELAY).await;
        restart_incarnation(shared);
    }
    response
}

fn stream_response(
    server: &Arc<EngineServer>,
    attempt: &paddlemount_protocol::identity::AttemptId,
    next_index: Option<u32>,
) -> WebResponse {
    streams::response(server, attempt, next_index).unwrap_or_else(|| {
        refuse(&server.state().model.refusal(RefusalCode::NotFound, "the stream has been forgotten"))
    })
}

fn accept(server: &EngineServer, request: GenerateRequest) -> Result<(), EngineRefusal> {
    let plan = AnswerPlan::new(
        &request.precondition.model,
        request.precondition.weights,
        request.scope,
        &request.prompt,
        request.max_tokens,
    );
    let has_foreign_prefix = has_foreign_prefix(&plan, &request.answer_prefix);
    let attempt = request.attempt.clone();
    let submitted = model_request(request, &plan);
    let first_index = submitted.answer_prefix_tokens;
    let mut state = server.state();
    if let Some(code) = state.faults.refuse {
        return Err(state.model.refusal(code, "a configured fault refuses every request"));
    }
    state.model.submit(submitted, http::now())?;
    state.counters.accepted += 1;
    state.counters.foreign_continuations += u64::from(has_foreign_prefix);
    state.streams.insert(attempt, plan, first_index);
    Ok(())
}

fn has_foreign_prefix(plan: &AnswerPlan, prefix: &[String]) -> bool {
    prefix.iter().zip(0..).any(|(text, index)| *text != plan.token(index))
}

fn model_request(request: GenerateRequest, plan: &AnswerPlan) -> ModelRequest {
    ModelRequest {
        attempt: request.attempt,
        precondition: request.precondition,
        scope: request.scope,
        blocks: request.blocks,
        prompt_tokens: prompt_tokens(request.prompt.len()),
        answer_tokens: plan.tokens,
        reason: plan.reason,
        answer_prefix_tokens: u32::try_from(request.answer_prefix.len()).unwrap_or(u32::MAX),
        priority: request.priority,
        deadline: http::now() + Duration::from_millis(request.deadline_ms),
        import: request.import,
    }
}

pub(super) async fn resume(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    let request: ResumeRequest = match http::parse(&body) {
        Ok(request) => request,
        Err(refusal) => return http::refuse(&refusal),
    };
    let known = shared.standin.state().model.resume(&request.attempt, request.incarnation);
    match known {
        Ok(_) => stream_response(&shared.standin, &request.attempt, Some(request.next_index)),
        Err(refusal) => refuse(&refusal),
    }
}

pub(super) async fn cancel(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |request: CancelRequest| {
        let mut state = shared.standin.state();
        if state.model.cancel(&request.attempt, http::now()) {
            state.counters.cancelled += 1;
        }
        state.streams.remove(&request.attempt);
        shared.standin.wake.notify_one();
        Empty {}
    })
}

pub(super) async fn status(StateRef(shared): State<'_>) -> WebResponse {
    http::ok(&shared.standin.state().model.status(http::now()))
}

pub(super) async fn events(StateRef(shared): State<'_>, UriRef(uri): UriRef<'_>) -> WebResponse {
    let after = EventSequence(query_number(uri.query(), "after").unwrap_or(0));
    let wait = Duration::from_millis(query_number(uri.query(), "wait_ms").unwrap_or(0)).min(MAX_EVENT_WAIT);
    let server = &shared.standin;
    let incarnation = server.state().model.incarnation();
    // Without a visible event, the response is an empty batch at the end of the wait.
    tokio::select! {
        () = visible_event(server, incarnation, after) => {}
        () = tokio::time::sleep(wait) => {}
        () = shared.activity.stopped() => {}
    }
    http::ok(&server.state().model.cache_events(after, MAX_EVENTS_PER_BATCH, http::now()))
}

async fn visible_event(server: &EngineServer, incarnation: Incarnation, after: EventSequence) {
    let mut last_event = server.last_event.subscribe();
    loop {
        last_event.mark_unchanged();
        let visible_at = {
            let state = server.state();
            if state.model.incarnation() != incarnation {
                return;
            }
            state.model.events_visible_at(after)
        };
        match visible_at.map(|at| at.saturating_since(http::now())) {
            Some(Duration::ZERO) => return,
            Some(wait) => tokio::time::sleep(wait).await,
            None => {
                let _ = last_event.changed().await;
            }
        }
    }
}

pub(super) async fn snapshot(StateRef(shared): State<'_>, UriRef(uri): UriRef<'_>) -> WebResponse {
    let limit = query_number(uri.query(), "limit").map_or(DEFAULT_PAGE_BLOCKS, |limit| limit as usize);
    let after = match query_value(uri.query(), "after").map(|text| u128::from_str_radix(text, 16)) {
        None => None,
        Some(Ok(hash)) => Some(BlockHash(hash)),
        Some(Err(error)) => {
            let message = format!("`after` is not a block hash: {error}");
            return http::refuse(&Refusal::not_run(RefusalCode::InvalidRequest, message));
        }
    };
    http::ok(&shared.standin.state().model.snapshot(after, limit))
}

pub(super) async fn export(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    match http::parse::<ExportRequest>(&body) {
        Ok(request) => respond(shared.standin.state().model.export(&request)),
        Err(refusal) => http::refuse(&refusal),
    }
}

pub(super) async fn import(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    let transfer: KvTransfer = match http::parse(&body) {
        Ok(transfer) => transfer,
        Err(refusal) => return http::refuse(&refusal),
    };
    let duration = shared.standin.state().model.transfer_duration(&transfer);
    tokio::time::sleep(duration).await;
    respond(shared.standin.state().model.import(&transfer, http::now()))
}

pub(super) async fn order(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    let order: Order = match http::parse(&body) {
        Ok(order) => order,
        Err(refusal) => return http::refuse(&refusal),
    };
    let result = shared.standin.state().model.order(&order, http::now());
    shared.standin.wake.notify_one();
    respond(result)
}

pub(super) async fn set_faults(StateRef(shared): State<'_>, body: BodyBytes) -> WebResponse {
    http::answer(&body, |faults: EngineFaults| {
        shared.fault_injector.set_faults(faults.replies);
        apply_faults(&mut shared.standin.state(), shared, faults);
        shared.standin.wake.notify_one();
        faults
    })
}

fn apply_faults(state: &mut EngineState, shared: &Shared<EngineServer>, faults: EngineFaults) {
    let behaviour = shared.standin.settings.behaviour;
    let lag_ms = faults.load_report_lag_ms.unwrap_or(behaviour.service.load_report_lag_ms);
    state.model.configure_feed(faults.feed.unwrap_or(behaviour.feed));
    state.model.lose_next_events(faults.lose_next_events);
    state.model.set_load_report_lag(Duration::from_millis(lag_ms));
    state.model.set_slowdown(faults.slowdown.unwrap_or(1.0));
    state.model.set_stalled(faults.stalled, http::now());
    state.faults = faults;
}

pub(super) async fn crash(StateRef(shared): State<'_>) -> WebResponse {
    restart_incarnation(shared);
    http::ok(&shared.standin.state().model.status(http::now()))
}

fn restart_incarnation(shared: &Shared<EngineServer>) {
    let server = &shared.standin;
    let mut state = server.state();
    let next = Incarnation(state.model.incarnation().0.max(http::now().as_millis())).next();
    state.model.crash();
    state.model.restart(next, server.settings.seed);
    state.streams.clear();
    let crashes = state.counters.crashes + 1;
    state.counters = super::EngineCounters { crashes, ..super::EngineCounters::default() };
    let faults = state.faults;
    apply_faults(&mut state, shared, faults);
    server.wake.notify_one();
}

pub(super) async fn control_state(StateRef(shared): State<'_>) -> WebResponse {
    let state = shared.standin.state();
    http::ok(&EngineControlState {
        status: state.model.status(http::now()),
        faults: EngineFaults { replies: shared.fault_injector.faults(), ..state.faults },
        counters: state.counters,
        streams: state.streams.len(),
    })
}

fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}
