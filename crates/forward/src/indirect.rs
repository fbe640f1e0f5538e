//! Sends requests through another node while this node reaches no back end of their service.
//!
//! This node stays the owner of the request: it holds the caller's connection, and answers. A request is handed on
//! once; the other node never hands it on again.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use paddlemount_core::forwarding::{
    attempt::AttemptEnd,
    backends::BackendId,
    choice::{Choice, intermediary_id},
    intermediaries::LivenessCheck,
    pool::Pool,
};
use paddlemount_protocol::{
    fleet::{ALIVE_PATH, ForwardOutcome, Intermediary, Member},
    identity::{NodeId, ServiceId},
    time::Timestamp,
};

use crate::{
    attempts::{AttemptAnswer, AttemptFailure, RunKind, read_full_answer},
    calls::Client,
    candidates::Reach,
    connection::Connection,
    dispatch::Resume,
    exchange::Exchange,
    handoff::{Handoff, take_outcome, take_software},
    load_guard::LoadGuard,
    metrics::Counter,
    node::Node,
    response_wait::Waited,
    unread_attempts::{InFlight, UnreadAttempt},
};

/// How long a connection to another node may take. Nodes are near each other, and another one may be asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How often it is checked whether a connection still lives while new ones fail.
const LIVE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long another node may take to say that it is alive: its processor may be limited to parts of each 100 ms.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the body of another node's refusal may take.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

impl Exchange {
    /// Chooses how to serve the request while this node reaches no back end of the service: on a connection that
    /// still lives, through another node, or else at a back end that has not failed yet.
    pub(crate) fn choose_around_lost_path(&mut self) -> Option<Choice> {
        let live = self.node.live_backends(&self.service);
        // A few back ends could not carry the requests meant for all.
        if live.len() * 2 >= self.node.count_backends(&self.service)
            && let Some(choice) = self.choose_directly(Reach::Among(&live))
        {
            return Some(choice);
        }
        // What another node has handed on goes no further.
        if self.handoff.is_some() {
            return None;
        }
        self.choose_intermediary().or_else(|| self.choose_directly(Reach::Untried))
    }

    fn choose_intermediary(&mut self) -> Option<Choice> {
        let settings = self.node.settings();
        let state = self.node.state.borrow();
        let tried = |node: &NodeId| self.tried.contains(&intermediary_id(node));
        let contact = state.intermediaries.choose(
            &self.service,
            &settings.zone,
            self.binding.has_begun(),
            tried,
            rand::random(),
            self.node.now(),
        )?;
        let choice = Choice::through(&contact);
        self.record.choice = Some(choice.clone());
        Some(choice)
    }

    /// Hands the request on to another node.
    pub(crate) async fn attempt_through(
        &mut self,
        choice: &Choice,
        resume: Resume,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        let now = self.node.now();
        // The other node's engines are not this node's to share out.
        self.permit = None;
        self.sent_at = Some(now);
        let left = self.max_attempts().saturating_sub(self.history.sent);
        // One attempt is kept for the case that the other node fails.
        let attempts = left.saturating_sub(1).max(1);
        let time_left = self.deadline.saturating_since(now);
        let software = self.binding.version().cloned();
        let credited = std::mem::replace(&mut self.is_credited, true);
        let handoff = Handoff { service: self.service.clone(), time_left, attempts, credited, software };
        let request = handoff.request(&self.parts, &self.body, &resume);
        let node = Rc::clone(&self.node);
        let (id, run) = (self.head.id.as_deref(), self.run_kind(&resume));
        let result = send_through(&node, choice, id, request, run, self.deadline, &self.in_flight).await;
        self.record_arrival(&result);
        // A pooled connection that had closed says nothing about the other node.
        if !matches!(&result, Err(AttemptFailure { end: AttemptEnd::NotSent, reused: true, .. })) {
            self.tried.push(choice.backend.clone());
        }
        let end = result.as_ref().err().map(|failure| failure.end);
        node.metrics.count(Counter::HandedOn(end.map_or("answered", AttemptEnd::label)));
        match end {
            Some(AttemptEnd::NotSent) => self.history.not_sent += 1,
            _ => {
                self.history.sent += attempts;
                // The other node has charged the tenant's quota.
                node.refund_quota(self.grant.take());
            }
        }
        self.history.may_have_run |= matches!(end, Some(AttemptEnd::Unclear | AttemptEnd::Silent));
        result
    }
}

/// Sends a request that is handed on, and waits until `deadline` for the head of the answer.
async fn send_through(
    node: &Rc<Node>,
    choice: &Choice,
    id: Option<&str>,
    request: Request<Full<Bytes>>,
    run: RunKind,
    deadline: Timestamp,
    in_flight: &InFlight,
) -> Result<AttemptAnswer, AttemptFailure> {
    let load = LoadGuard::begin_through(node, choice);
    let (mut connection, reused) = connect(node, choice).await?;
    let process = node.process_of(&choice.backend);
    let socket = Some(connection.socket());
    in_flight.replace(Some(UnreadAttempt { process, socket, permit: None }));
    let waiting = node.wait(None, deadline, connection.send(request));
    let waited = tokio::select! {
        biased;
        waited = waiting => waited,
        () = node.until_unresponsive(choice, run) => Waited::Silent,
    };
    let answer = match waited {
        Waited::Done(Ok(answer)) => answer,
        Waited::Done(Err(error)) if error.is_before_sending() => {
            return Err(unavailable(node, choice, error.to_string(), reused));
        }
        Waited::Done(Err(error)) => {
            node.record_intermediary_failure(choice);
            let (unread, connection_lost) = (error.is_timeout(), error.is_timeout());
            let failure = AttemptFailure::unclear(error.to_string());
            return Err(AttemptFailure { reused, unread, connection_lost, ..failure });
        }
        Waited::Silent => {
            return Err(AttemptFailure { reused, unread: true, ..AttemptFailure::silent() });
        }
        Waited::Outdated | Waited::TimeUp => {
            node.record_intermediary_failure(choice);
            return Err(AttemptFailure { reused, ..AttemptFailure::given_up("no answer in time".into()) });
        }
    };
    load.record_bytes(&connection);
    let (mut head, body) = answer.into_parts();
    let outcome = take_outcome(&mut head.headers);
    let software = take_software(&mut head.headers);
    let parsed = node.platform.read_answer(head.status, &head.headers);
    let is_other = outcome == ForwardOutcome::Answered && parsed.request_id.as_deref() != id;
    let upstream = AttemptAnswer { head, parsed, software, body, connection, load, framed: true };
    if is_other {
        return Err(AttemptFailure::unclear("an answer to another request".into()));
    }
    conclude(node, choice, outcome, upstream).await
}

/// What an answer with this outcome means for the attempt.
async fn conclude(
    node: &Rc<Node>,
    choice: &Choice,
    outcome: ForwardOutcome,
    upstream: AttemptAnswer,
) -> Result<AttemptAnswer, AttemptFailure> {
    match outcome {
        ForwardOutcome::Answered => Ok(upstream),
        ForwardOutcome::Unavailable => {
            let detail = format!("status {}, another node may serve it", upstream.head.status);
            let _ = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read_full_answer(node, upstream)).await;
            Err(unavailable(node, choice, detail, false))
        }
        ForwardOutcome::Refused => {
            let detail = format!("status {}, refused by the other node", upstream.head.status);
            let answer = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read_full_answer(node, upstream)).await;
            let answer = answer.ok().and_then(Result::ok);
            // A refusal without its body promises as much.
            let end = if answer.is_some() { AttemptEnd::Declined } else { AttemptEnd::NotSent };
            Err(AttemptFailure { end, answer, ..AttemptFailure::unclear(detail) })
        }
        ForwardOutcome::Failed => {
            Err(AttemptFailure::unclear(format!("status {}, the other node failed", upstream.head.status)))
        }
    }
}

/// A connection to the chosen node, and whether it was used before.
async fn connect(node: &Rc<Node>, choice: &Choice) -> Result<(Connection, bool), AttemptFailure> {
    let now = node.now();
    if let Some(connection) = node.pool.borrow_mut().take(&choice.backend, now) {
        return Ok((connection, true));
    }
    let opened = Connection::open(choice.address, CONNECT_TIMEOUT, now).await;
    let connection = opened.map_err(|error| unavailable(node, choice, error.to_string(), false))?;
    Ok((connection, false))
}

/// The other node has not run the request, and another one is asked.
fn unavailable(node: &Node, choice: &Choice, detail: String, reused: bool) -> AttemptFailure {
    if !reused {
        node.record_intermediary_failure(choice);
    }
    AttemptFailure { end: AttemptEnd::NotSent, reused, ..AttemptFailure::unclear(detail) }
}

impl Node {
    fn count_backends(&self, service: &ServiceId) -> usize {
        self.state.borrow().backends.pool(service).map_or(0, Pool::len)
    }

    /// Back ends of a service with an idle connection that have sent something lately.
    fn live_backends(&self, service: &ServiceId) -> BTreeSet<BackendId> {
        let now = self.now();
        let state = self.state.borrow();
        let is_live = |backend: &BackendId| state.reachability.is_live(service, backend, now);
        self.pool.borrow().backends_with_idle(now).filter(|backend| is_live(backend)).cloned().collect()
    }

    fn record_intermediary_failure(&self, choice: &Choice) {
        if let Some(other) = &choice.intermediary {
            self.state.borrow_mut().intermediaries.record_failure(other, self.now());
        }
    }

    /// Waits until the node that serves a request is found not to answer. A request that must not run twice stays with
    /// it, as its answer may come.
    pub(crate) async fn until_unresponsive(&self, choice: &Choice, run: RunKind) {
        let Some(other) = &choice.intermediary else { return std::future::pending().await };
        let client = Client::new(choice.address, self.clock);
        loop {
            let check = self.state.borrow_mut().intermediaries.next_check(other, self.now());
            match check {
                LivenessCheck::After(pause) => tokio::time::sleep(pause).await,
                LivenessCheck::Now if !self.is_alive(&client).await => {
                    self.record_intermediary_failure(choice)
                }
                LivenessCheck::Now => {}
                LivenessCheck::Failed if run == RunKind::Repeatable => return,
                LivenessCheck::Failed => return std::future::pending().await,
            }
        }
    }

    async fn is_alive(&self, client: &Client) -> bool {
        let request = Request::get(ALIVE_PATH).body(Bytes::new());
        let Ok(request) = request else { return false };
        client.call(request, ALIVE_TIMEOUT).await.is_ok()
    }

    /// Waits until this node reaches no back end of `backend`'s service, and has not heard that one lately either.
    pub(crate) async fn until_path_lost(&self, backend: &BackendId) {
        let service = self.state.borrow().backends.get(backend).map(|known| known.entry.service.clone());
        let Some(service) = service else { return std::future::pending().await };
        loop {
            let changed = self.path_changed.notified();
            let now = self.now();
            let (is_lost, is_live) = {
                let paths = &self.state.borrow().reachability;
                (paths.is_lost(&service), paths.is_live(&service, backend, now))
            };
            match (is_lost, is_live) {
                (true, false) => return,
                (true, true) => tokio::time::sleep(LIVE_RECHECK_INTERVAL).await,
                (false, _) => changed.await,
            }
        }
    }

    /// The intermediaries to send to a neighbour in the tree.
    pub(crate) fn intermediaries_for(&self, local: Member, neighbour: &NodeId) -> Vec<Intermediary> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let unreached = state.reachability.lost().cloned().collect();
        let own = (!self.is_stopping()).then_some(Intermediary {
            member: local,
            unreached,
            age_ms: 0,
            checks_software: true,
        });
        state.intermediaries.message_to(neighbour, own, rand::random(), now)
    }

    /// Records the intermediaries that a neighbour has sent at `sent_at`.
    pub(crate) fn receive_intermediaries(&self, received: Vec<Intermediary>, sent_at: Timestamp) {
        let local = self.settings().node.clone();
        self.state.borrow_mut().intermediaries.receive(received, &local, sent_at);
    }
}
