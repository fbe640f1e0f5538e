//! Serves one request, from its arrival to its answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header, request};
use paddlemount_core::{
    forwarding::{
        attempt::{AttemptEnd, AttemptHistory},
        backends::BackendId,
        choice::Choice,
        document::{Route, RouteKind},
        late_arrivals::RequestRetries,
        software::SoftwareBinding,
    },
    limits::ledger::QuotaGrant,
};
use paddlemount_protocol::{identity::ServiceId, time::Timestamp};

use crate::{
    access_log::{ANSWERED, QUARANTINED, REFUSED, RequestRecord},
    admission::{Admitted, admit},
    answers::{AnswerBody, Reason, error_answer},
    attempt_wait::AttemptWait,
    attempts::{self, AttemptAnswer, AttemptFailure, strip_connection_headers},
    candidates::{Reach, RouteRequest},
    dispatch::Resume,
    handoff::Handoff,
    metrics::{Counter, Distribution},
    node::Node,
    ports::RequestHead,
    received_body::ReceivedBody,
    relay::Relay,
    room_permit::RoomPermit,
    streams::RunningStream,
    unread_attempts::InFlight,
};

/// How much earlier than the caller's deadline the node answers.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// The deadline of a request whose caller states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// The minimum time that another attempt needs.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(40);

/// A request that is being served.
pub struct Exchange {
    pub node: Rc<Node>,
    pub route: Arc<Route>,
    /// When the request is abandoned at the latest.
    pub deadline: Timestamp,
    /// The attempts so far.
    pub history: AttemptHistory,
    pub(crate) record: RequestRecord,
    pub(crate) arrived: Timestamp,
    pub(crate) head: RequestHead,
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) service: ServiceId,
    pub(crate) grant: Option<QuotaGrant>,
    /// The room that the request holds in its pool of engines until it ends.
    pub(crate) permit: Option<RoomPermit>,
    /// The back ends that were tried, and the nodes that were asked.
    pub(crate) tried: Vec<BackendId>,
    /// Whether a back end has refused the request, so that others that refuse are not asked.
    avoids_refusing: bool,
    draw: u64,
    pub(crate) retries: RequestRetries,
    /// The attempt that waits for an answer, or the last one that did.
    pub(crate) in_flight: InFlight,
    /// When the retry budget for misdirected requests was drawn on for the next attempt, if it was.
    pub(crate) misdirected_retry: Option<Timestamp>,
    /// Whether the request has earned its share of the retry budget, at this node or another one.
    pub(crate) is_credited: bool,
    /// When the latest attempt was sent.
    pub(crate) sent_at: Option<Timestamp>,
    /// What the node says that has handed the request on, if one has.
    pub(crate) handoff: Option<Handoff>,
    /// The software version that the request is bound to, once its stream has begun.
    pub(crate) binding: SoftwareBinding,
    /// The request's stream, if this node receives it from a back end itself.
    pub(crate) running_stream: Option<RunningStream>,
}

/// Serves a request of a caller, or one that another node has handed on.
pub async fn serve(
    node: Rc<Node>,
    request: Request<ReceivedBody>,
    handoff: Option<Handoff>,
) -> Response<AnswerBody> {
    let arrived = node.now();
    let (parts, body) = request.into_parts();
    let head = node.platform.read_request(&parts.headers);
    let mut record = RequestRecord {
        id: head.id.clone(),
        estimated_tokens: head.prompt.as_ref().map(|prompt| prompt.output_tokens),
        resumes: head.resumes.clone().filter(|_| head.last_event.is_some()),
        ..RequestRecord::default()
    };
    let admitted = admit(&node, &parts, &head, &mut record);
    let Admitted { route, service, grant } = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            record.refuse(&node, arrived, refusal);
            return error_answer(refusal);
        }
    };
    // A service of another route would be a right that the caller does not have.
    let handed_on = handoff.as_ref().map(|handoff| &handoff.service);
    let picked = handed_on.filter(|picked| route.split.iter().any(|share| share.service == **picked));
    let service = picked.cloned().unwrap_or(service);
    let timeout = head.deadline.unwrap_or(DEFAULT_DEADLINE).saturating_sub(DEADLINE_MARGIN);
    let timeout = handoff.as_ref().map_or(timeout, |handoff| timeout.min(handoff.time_left));
    let deadline = arrived + timeout.min(route.timeout);
    if !node.has_time_for(&route, record.estimated_tokens, deadline) {
        record.refuse(&node, arrived, Reason::Stopping.into());
        node.refund_quota(grant);
        return error_answer(Reason::Stopping);
    }
    node.running.set(node.running.get() + 1);
    node.state.borrow_mut().offered_load.add(1.0, arrived);
    let mut exchange = Exchange {
        node,
        route,
        deadline,
        history: AttemptHistory::default(),
        record,
        arrived,
        head,
        parts,
        body: Bytes::new(),
        service,
        grant,
        permit: None,
        tried: Vec::new(),
        avoids_refusing: false,
        draw: rand::random(),
        retries: RequestRetries::default(),
        in_flight: InFlight::default(),
        misdirected_retry: None,
        is_credited: handoff.as_ref().is_some_and(|handoff| handoff.credited),
        sent_at: None,
        handoff,
        binding: SoftwareBinding::Unbound,
        running_stream: None,
    };
    match exchange.read_body(body).await {
        Ok(()) => exchange.run().await,
        Err(reason) => exchange.refuse(reason),
    }
}

impl Exchange {
    async fn read_body(&mut self, body: ReceivedBody) -> Result<(), Reason> {
        let owner = self.record.tenant.as_ref().map(|tenant| tenant.name.clone());
        let reading = self.node.receive_body(body, owner);
        let collected = self.node.clock.timeout_at(self.deadline, reading).await;
        self.body = collected.unwrap_or(Err(Reason::TimeUpBeforeSending))?;
        Ok(())
    }

    async fn run(mut self) -> Response<AnswerBody> {
        if let Err(reason) = self.bind_to_origin().await {
            return self.refuse(reason);
        }
        // The other node admits a request that will be handed on.
        if !self.is_handed_on()
            && let Err(rejection) = self.enter_room().await
        {
            return self.abandon(rejection);
        }
        loop {
            if let Some(quarantined_for) = self.quarantined_for() {
                return self.refuse_quarantined(quarantined_for);
            }
            if !self.history.may_have_run && !self.has_time() {
                return self.abandon(Reason::Stopping);
            }
            let Some(choice) = self.choose_backend() else {
                return self.abandon(self.no_backend_refusal(Reason::NoBackend));
            };
            match self.attempt(&choice, Resume::default()).await {
                Ok(upstream) if self.route.kind.is_stream() && upstream.head.status.is_success() => {
                    return self.relay(choice, upstream).await;
                }
                Ok(upstream) => match self.finish_answer(&choice, upstream).await {
                    Ok(answer) => {
                        self.run_completed();
                        return self.pass_on(answer, ANSWERED);
                    }
                    Err(failure) => {
                        if let Some(answer) = self.after_failure(&choice, failure) {
                            return answer;
                        }
                    }
                },
                Err(failure) => {
                    if let Some(answer) = self.after_failure(&choice, failure) {
                        return answer;
                    }
                }
            }
        }
    }

    /// Whether the request can be answered before a planned stop ends.
    fn has_time(&self) -> bool {
        self.node.has_time_for(&self.route, self.record.estimated_tokens, self.deadline)
    }

    /// Whether the request is likely to go through another node.
    fn is_handed_on(&self) -> bool {
        let state = self.node.state.borrow();
        self.handoff.is_none()
            && state.reachability.is_lost(&self.service)
            && state.intermediaries.has_any(&self.service, self.node.now())
    }

    /// The number of back ends that the request may be sent to.
    pub(crate) fn max_attempts(&self) -> u32 {
        let granted = self.handoff.as_ref().map_or(u32::MAX, |handoff| handoff.attempts);
        self.route.attempts.min(granted)
    }

    /// Chooses a back end that has not been tried, or a node that has not been asked.
    pub fn choose_backend(&mut self) -> Option<Choice> {
        if self.node.is_path_lost(&self.service) {
            return self.choose_around_lost_path();
        }
        self.choose_directly(Reach::All)
    }

    /// Chooses a back end in reach that has not been tried.
    pub(crate) fn choose_directly(&mut self, reach: Reach<'_>) -> Option<Choice> {
        let request = RouteRequest { reach, ..self.route_request(&self.tried) };
        let choice = self.node.choose_backend(request)?;
        self.record.choice = Some(choice.clone());
        Some(choice)
    }

    /// The request for a back end other than `tried`.
    pub(crate) fn route_request<'a>(&'a self, tried: &'a [BackendId]) -> RouteRequest<'a> {
        let isolated =
            self.record.tenant.as_ref().filter(|tenant| tenant.isolated).map(|tenant| &tenant.name);
        RouteRequest {
            service: &self.service,
            prompt: self.head.prompt.as_ref(),
            isolated,
            copied: self.route.kind == RouteKind::Stream { resumable: false },
            healthy_only: self.history.misdirected > 0 || self.avoids_refusing,
            responsive_only: self.history.sent > 0 && !self.route.kind.is_stream(),
            target_latency: self.route.target_latency,
            reach: Reach::All,
            binding: &self.binding,
            begins_stream: self.route.kind.is_stream(),
            tried,
            draw: self.draw,
        }
    }

    /// Makes one attempt at the chosen back end.
    pub async fn attempt(
        &mut self,
        choice: &Choice,
        resume: Resume,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        if choice.intermediary.is_some() {
            return self.attempt_through(choice, resume).await;
        }
        let now = self.node.now();
        if self.sent_at.is_none() {
            self.node.metrics.observe(Distribution::RoutingDelay, now.saturating_since(self.arrived));
            self.record_prompt();
        }
        // Recorded on the first send, once per request: recorded when answers end, the credit of requests
        // that an engine kept waiting would all fall into one budget window.
        if !self.is_credited {
            self.is_credited = true;
            self.node.record_first_attempt(&self.service);
        }
        if choice.import_from.is_some() {
            self.node.metrics.count(Counter::Imports);
        }
        self.node.record_transfers(choice);
        self.sent_at = Some(now);
        let leave_at = self.leave_at(choice, now);
        let work_deadline = self.work_deadline(leave_at);
        let request = |now| self.request(choice, &resume, work_deadline, now);
        let can_leave = || self.can_leave(choice);
        let wait = AttemptWait { leave_at, deadline: self.deadline, can_leave: &can_leave };
        let node = Rc::clone(&self.node);
        let run = self.run_kind(&resume);
        let (id, in_flight) = (self.head.id.as_deref(), &self.in_flight);
        let result = attempts::send(&node, choice, id, request, run, &wait, in_flight).await;
        self.record_arrival(&result);
        let end = result.as_ref().err().map(|failure| failure.end);
        self.node.record_attempt_end(&self.service, end);
        if self.history.sent > 0 && end != Some(AttemptEnd::NotSent) {
            self.node.settle_misdirected_retry(self.misdirected_retry.take(), end);
        }
        match &result {
            Err(AttemptFailure { end: AttemptEnd::NotSent, reused, .. }) => {
                self.history.not_sent += 1;
                if !reused {
                    self.tried.push(choice.backend.clone());
                }
            }
            Ok(_) | Err(_) => {
                self.history.sent += 1;
                self.tried.push(choice.backend.clone());
            }
        }
        if end == Some(AttemptEnd::Misdirected) {
            self.history.misdirected += 1;
        }
        self.avoids_refusing |= end == Some(AttemptEnd::NotRun) && self.node.leaves_silent_engines();
        if matches!(end, Some(AttemptEnd::Unclear | AttemptEnd::Silent | AttemptEnd::FailedAnswer)) {
            self.history.may_have_run = true;
        }
        result
    }

    /// Relays a stream. The head is held until the first event, so that a failure before it can still be
    /// answered by an error response.
    async fn relay(mut self, choice: Choice, upstream: AttemptAnswer) -> Response<AnswerBody> {
        self.record.status = Some(upstream.head.status.as_u16());
        let last_event = self.head.last_event;
        let relay = match Relay::open(self, choice, upstream, last_event).await {
            Ok(relay) => relay,
            Err(mut exchange) => return exchange.abandon(Reason::AnswerLost),
        };
        let (status, mut headers) = (relay.head().status, relay.head().headers.clone());
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let software = relay.software().cloned();
        let mut answer = Response::new(relay.into_body());
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        if let Some(software) = software {
            answer.extensions_mut().insert(software);
        }
        answer
    }

    /// Whether no back end has run the request: it was refused, or the caller left before it was sent.
    fn has_not_run(&self) -> bool {
        let refused = matches!(self.record.outcome, Some(REFUSED | QUARANTINED));
        refused || (self.history.sent == 0 && self.record.outcome.is_none())
    }

    /// Sets the outcome of the request.
    pub const fn set_outcome(&mut self, outcome: &'static str) {
        self.record.outcome = Some(outcome);
    }

    /// The request's id, for log lines.
    pub fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or_default()
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.node.running.set(self.node.running.get().saturating_sub(1));
        self.record_left_attempt();
        self.record_over();
        let grant = self.grant.take().filter(|_| self.has_not_run());
        self.node.refund_quota(grant);
        if let Some(drawn_at) = self.misdirected_retry.take() {
            self.node.settle_misdirected_retry(Some(drawn_at), None);
        }
        self.record_times();
        self.record.log(&self.node, self.arrived, self.history);
    }
}

/// Whether streams of a route may be resumed at another back end.
pub const fn is_resumable(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Stream { resumable: true })
}
