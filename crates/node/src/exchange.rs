//! Performs the actions of one model request.
//!
//! An exchange runs in its own task. It sends the answer to the caller through a bounded channel, so that a
//! slow caller applies backpressure to the engine.

mod connection;
mod output;
mod record;
mod refusals;
mod spec;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use paddlemount_core::{
    decisions::{LimitHit, LimitKind},
    request::{Continuation, ModelRequest, RequestAction, RequestEvent, RequestSettings},
    routing::{AttemptEnding, Decision, RouteRequest, RouterEvent},
};
use paddlemount_protocol::{
    engine::{CancelRequest, GenerateRequest, KvTransfer, ResumeRequest},
    identity::{AttemptId, EngineId, Incarnation},
    prefix::prompt_tokens,
    time::Timestamp,
};
use tokio::sync::mpsc;

use crate::{
    client::json_request,
    engines,
    overload::{self, Permit},
    quarantine::{self, BrokenAttempt, LivenessCheck},
    state::NodeState,
};
use connection::Connection;
pub use output::{Output, Usage};
use record::ExchangeRecord;
pub use record::refused_ending;
pub use spec::ExchangeSpec;

/// Outputs buffered for a slow caller, per request.
pub const OUTPUT_CAPACITY: usize = 32;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request in progress.
struct Exchange {
    state: Arc<NodeState>,
    spec: ExchangeSpec,
    output: mpsc::Sender<Output>,
    machine: ModelRequest,
    connection: Connection,
    import: Option<KvTransfer>,
    usage: Usage,
    has_first_token: bool,
    permit: Option<Permit>,
    /// When the current attempt was sent.
    dispatched_at: Timestamp,
    /// The engine of the current attempt.
    engine: Option<EngineId>,
    /// The incarnation of that engine.
    incarnation: Option<Incarnation>,
    /// The one-way network delay to that engine, as the router estimates it.
    distance: Duration,
    record: ExchangeRecord,
}

/// Starts a request; the receiver gets the answer as it arrives.
pub fn start(state: &Arc<NodeState>, spec: ExchangeSpec) -> mpsc::Receiver<Output> {
    let (output, receiver) = mpsc::channel(OUTPUT_CAPACITY);
    let timeouts = state.settings.timeouts;
    let settings = RequestSettings {
        first_byte_timeout: timeouts.first_byte,
        frame_timeout: timeouts.between_frames,
        ..RequestSettings::default()
    };
    let exchange = Exchange {
        machine: ModelRequest::new(settings, spec.request_spec()),
        record: ExchangeRecord::begin(&state.observations, &spec),
        state: Arc::clone(state),
        output,
        connection: Connection::None,
        import: None,
        usage: Usage { prompt_tokens: prompt_tokens(spec.prompt.len()), ..Usage::default() },
        spec,
        has_first_token: false,
        permit: None,
        dispatched_at: Timestamp::ZERO,
        engine: None,
        incarnation: None,
        distance: Duration::ZERO,
    };
    tokio::spawn(exchange.run());
    receiver
}

impl Exchange {
    async fn run(mut self) {
        let entered = tokio::select! {
            biased;
            () = self.output.closed() => return,
            entered = overload::enter(&self.state, &self.spec) => entered,
        };
        match entered {
            Ok(permit) => {
                permit.limit_hit().into_iter().for_each(|limit| self.record.record_limit(limit));
                self.permit = Some(permit);
                self.emit(Output::Admitted).await;
            }
            Err(denied) => {
                self.record.record_limit(denied.limit);
                self.record.record_refusal(&denied.refusal);
                self.emit(Output::Refused(denied.refusal)).await;
                return;
            }
        }
        self.state.overload.count_request();
        let mut event = RequestEvent::Arrived;
        loop {
            self.handle_event(event).await;
            if self.machine.has_ended() {
                break;
            }
            event = self.next_event().await;
        }
        self.state.metrics.requests.record_exchange(&self.machine);
    }

    async fn next_event(&mut self) -> RequestEvent {
        let remaining = self.machine.next_timer().saturating_since(self.state.clock.now());
        tokio::select! {
            biased;
            () = self.output.closed() => RequestEvent::CallerDisconnected,
            event = self.connection.next_event() => event,
            () = tokio::time::sleep(remaining) => RequestEvent::Tick,
        }
    }

    async fn handle_event(&mut self, event: RequestEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.state.clock.now();
            self.record.record_event(&event, now);
            self.apply_refusal(&event);
            for action in self.machine.handle(event, now) {
                events.extend(self.perform(action).await);
            }
        }
    }

    async fn perform(&mut self, action: RequestAction) -> Option<RequestEvent> {
        self.record.record_action(&action, self.state.clock.now());
        match action {
            RequestAction::RefreshStatus { engine } => engines::refresh_status(&self.state, &engine).await,
            RequestAction::Choose { excluded, continuation, retry } => {
                let now = self.state.clock.now();
                if let Some(retry_after) = self.state.quarantine.remaining_hold(&self.spec.fingerprint, now) {
                    return Some(RequestEvent::Quarantined { retry_after });
                }
                if retry && !self.state.overload.may_retry(self.machine.attempts()) {
                    let limit = LimitHit { limit: LimitKind::RetryBudget, refused: true, waited_ms: 0 };
                    self.record.record_limit(limit);
                    return Some(RequestEvent::RetryBudgetSpent);
                }
                self.pin_weights(continuation);
                return Some(self.choose(&excluded).await);
            }
            RequestAction::Dispatch { attempt, precondition, answer_prefix } => {
                return self.dispatch(attempt, precondition, answer_prefix);
            }
            RequestAction::Resume { attempt, engine, incarnation, next_index } => {
                let resume = ResumeRequest { attempt, incarnation, next_index };
                return self.resume(&engine, resume);
            }
            RequestAction::Cancel { attempt, engine } => self.cancel(attempt, &engine),
            RequestAction::Ended { attempt, ending } => {
                if ending == AttemptEnding::Failed {
                    self.detect_crash();
                }
                self.apply(RouterEvent::Ended { attempt: &attempt, ending });
            }
            RequestAction::Started { attempt, engine, incarnation, prompt_tokens, cached_tokens, load } => {
                self.apply(RouterEvent::Started { attempt: &attempt, incarnation, cached_tokens });
                self.apply(RouterEvent::Load { engine: &engine, report: load });
                // Further attempts continue the same answer; the caller gets the usage of the first one.
                if !self.usage.started {
                    self.usage = Usage { started: true, prompt_tokens, cached_tokens };
                    return self.emit(Output::Started).await;
                }
            }
            RequestAction::Emit { index, text } => {
                self.record_first_token(index);
                return self.emit(Output::Token(text)).await;
            }
            RequestAction::Finish { tokens, reason, load } => {
                self.state.quarantine.record_completion(self.spec.fingerprint, self.state.clock.now());
                if let Some(permit) = &mut self.permit {
                    permit.set_used(self.usage.prompt_tokens.saturating_add(tokens));
                }
                if let Some((engine, report)) = &load {
                    self.apply(RouterEvent::Load { engine, report: *report });
                }
                return self.emit(Output::Finished { tokens, reason, usage: self.usage }).await;
            }
            RequestAction::Refuse { refusal } => return self.emit(Output::Refused(refusal)).await,
        }
        None
    }

    /// Keeps the weights version that the answer began with; an answer that has not begun uses the version in
    /// force.
    fn pin_weights(&mut self, continuation: Option<Continuation>) {
        let in_force = || {
            let configuration = self.state.configuration.load();
            configuration.document.configuration.pools.get(&self.spec.pool).map(|pool| pool.weights)
        };
        if let Some(weights) = continuation.map(|origin| origin.weights).or_else(in_force) {
            self.spec.use_weights(weights);
        }
    }

    fn apply(&self, event: RouterEvent<'_>) {
        let now = self.state.clock.now();
        self.state.with_router(|router| router.apply(event, now));
    }

    /// Checks whether the failed attempt crashed its engine.
    fn detect_crash(&self) {
        let (Some(engine), Some(incarnation)) = (&self.engine, self.incarnation) else { return };
        let Some(entry) = self.state.directory.engine(engine) else { return };
        let broken = BrokenAttempt {
            fingerprint: self.spec.fingerprint,
            route: self.spec.model.as_str().to_owned(),
            tenant: self.spec.tenant.clone(),
            engine: quarantine::incarnation_id(engine, incarnation),
            began: self.dispatched_at,
        };
        quarantine::detect_crash(&self.state, broken, LivenessCheck::Engine(entry.address, incarnation));
    }

    fn record_first_token(&mut self, index: u32) {
        if self.has_first_token {
            return;
        }
        self.has_first_token = true;
        self.apply(RouterEvent::FirstToken { attempt: &self.spec.attempt(self.machine.attempts()) });
        if let (Some(permit), Some(engine)) = (&self.permit, &self.engine) {
            let missing_tokens = self.usage.prompt_tokens.saturating_sub(self.usage.cached_tokens);
            let elapsed = self.state.clock.now().saturating_since(self.dispatched_at);
            permit.record_first_token(engine, missing_tokens, self.distance, elapsed);
        }
        let waited = self.state.clock.now().saturating_since(self.spec.arrived);
        if index == 0 {
            self.state.metrics.requests.first_token.record(waited.as_secs_f64());
        }
    }

    async fn choose(&mut self, excluded: &[EngineId]) -> RequestEvent {
        let mut decision = self.decide(excluded);
        if decision.chosen.is_none() && engines::refresh_all(&self.state).await {
            decision = self.decide(excluded);
        }
        self.record.record_candidates(&decision);
        self.import = decision.import;
        let distance_ms = decision.candidates.first().map_or(0.0, |candidate| candidate.distance_ms);
        self.distance = Duration::try_from_secs_f64(distance_ms / 1_000.0).unwrap_or_default();
        match decision.chosen {
            Some(precondition) => RequestEvent::EngineChosen(precondition),
            None => RequestEvent::NoEngineAvailable { retry_after: self.retry_after() },
        }
    }

    fn decide(&self, excluded: &[EngineId]) -> Decision {
        let now = self.state.clock.now();
        let request = self.spec.route_request(excluded);
        self.state.with_router(|router| router.choose(&request, now))
    }

    fn dispatch(
        &mut self,
        attempt: AttemptId,
        precondition: paddlemount_protocol::engine::Precondition,
        answer_prefix: Vec<String>,
    ) -> Option<RequestEvent> {
        let engine = precondition.engine.clone();
        self.engine = Some(engine.clone());
        self.incarnation = Some(precondition.incarnation);
        self.dispatched_at = self.state.clock.now();
        self.record.record_attempt(&attempt, &precondition, self.state.clock.now());
        let request: RouteRequest<'_> = self.spec.route_request(&[]);
        self.apply(RouterEvent::Dispatched { attempt: &attempt, engine: &engine, request: &request });
        let Some(entry) = self.state.directory.engine(&engine) else {
            return Some(RequestEvent::NotSent { attempt });
        };
        let generate = GenerateRequest {
            attempt: attempt.clone(),
            request: self.spec.request.clone(),
            precondition,
            scope: self.spec.scope,
            prompt: self.spec.prompt.clone(),
            blocks: self.spec.blocks.clone(),
            max_tokens: self.spec.max_tokens,
            answer_prefix,
            priority: self.permit.as_ref().map_or(self.spec.priority, Permit::priority),
            deadline_ms: self.remaining_ms(),
            import: self.import.take(),
            traceparent: self.spec.traceparent.clone(),
        };
        match json_request(entry.address, "/generate", &generate) {
            Ok(request) => {
                let client = if self.spec.repeatable {
                    self.state.client.clone()
                } else {
                    self.state.client.single_use()
                };
                self.connection = Connection::generate(&client, entry.address, attempt, request);
                None
            }
            Err(_) => Some(RequestEvent::NotSent { attempt }),
        }
    }

    fn resume(&mut self, engine: &EngineId, resume: ResumeRequest) -> Option<RequestEvent> {
        let attempt = resume.attempt.clone();
        let connection_lost = RequestEvent::ConnectionLost { attempt: attempt.clone(), resumable: false };
        let Some(entry) = self.state.directory.engine(engine) else { return Some(connection_lost) };
        match json_request(entry.address, "/resume", &resume) {
            Ok(request) => {
                self.connection = Connection::resume(&self.state.client, entry.address, attempt, request);
                None
            }
            Err(_) => Some(connection_lost),
        }
    }

    fn cancel(&mut self, attempt: AttemptId, engine: &EngineId) {
        self.connection = Connection::None;
        let Some(entry) = self.state.directory.engine(engine) else { return };
        let client = self.state.client.clone();
        tokio::spawn(async move {
            let cancel = CancelRequest { attempt };
            let answer: Result<serde_json::Value, _> =
                client.post_json(entry.address, "/cancel", &cancel, CANCEL_TIMEOUT).await;
            if let Err(error) = answer {
                log::debug!("cannot cancel an attempt: {error}");
            }
        });
    }

    fn remaining_ms(&self) -> u64 {
        let remaining = self.spec.deadline.saturating_since(self.state.clock.now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }

    /// Sends an output to the caller, waiting while the channel is full.
    async fn emit(&mut self, output: Output) -> Option<RequestEvent> {
        let output = match self.output.try_send(output) {
            Ok(()) => return None,
            Err(mpsc::error::TrySendError::Closed(_)) => return Some(RequestEvent::CallerDisconnected),
            Err(mpsc::error::TrySendError::Full(output)) => output,
        };
        match self.output.send_timeout(output, self.state.settings.timeouts.caller_stall).await {
            Ok(()) => Some(RequestEvent::BackpressureEnded),
            Err(_) => Some(RequestEvent::CallerDisconnected),
        }
    }
}
