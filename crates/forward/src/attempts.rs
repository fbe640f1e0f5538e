//! One try of a request at one back end.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use paddlemount_core::{
    forwarding::{attempt::AttemptEnd, backends::BackendId, choice::Choice},
    health::HealthEvent,
};
use paddlemount_protocol::time::Timestamp;

use crate::{
    connection::{Connection, ConnectionError},
    metrics::Counter,
    node::Node,
    ports::AnswerHead,
    response_wait::{OUTDATED, Waited},
};

/// The time in which a connection must come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The largest answer that is taken whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How long the body of a refusal may take; a connection whose refusal takes longer is closed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// What is told of a try at a back end that has meanwhile said that it leaves or rests.
const NOT_ACCEPTING: &str = "the back end takes no requests any more";
/// What is told of a try at a back end whose limit others have used up meanwhile.
const LIMIT_USED_UP: &str = "the back end's limit is used up";

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Which run a try asks its back end for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// One that begins there.
    New,
    /// One that another back end began, and that goes on there from a copy of its memory.
    Continued,
}

/// Why a try has no answer to pass on.
#[derive(Debug)]
pub struct AttemptFailure {
    /// What is certain about it.
    pub end: AttemptEnd,
    /// What happened, for people.
    pub detail: String,
    /// A whole failure of the back end's own, which may be passed on.
    pub answer: Option<Response<Bytes>>,
    /// Whether the connection had been used before.
    pub reused: bool,
    /// Whether the connection failure under the run, which is how a back end's crash shows.
    pub connection_lost: bool,
    /// The back end that answered, where the answer names it.
    pub answered_by: Option<BackendId>,
}

impl AttemptFailure {
    /// The back end may have run the request, and will not be heard of it any more.
    pub fn unclear(detail: String) -> Self {
        Self {
            end: AttemptEnd::Unclear,
            detail,
            answer: None,
            reused: false,
            connection_lost: false,
            answered_by: None,
        }
    }

    /// The same, where the connection failure under the run.
    pub fn broken(detail: String) -> Self {
        Self { connection_lost: true, ..Self::unclear(detail) }
    }
}

/// An answer that has upstream.
#[derive(Debug)]
pub struct AttemptAnswer {
    /// Its head.
    pub head: response::Parts,
    /// What the head parsed.
    pub parsed: AnswerHead,
    /// Its body.
    pub body: Incoming,
    /// The connection it comes on.
    pub connection: Connection,
    /// The work that it is at the back end.
    pub work: LoadGuard,
    /// Whether the body's end can be told from a broken connection.
    pub framed: bool,
}

/// The account of one request's work at a back end; ends with it.
pub struct LoadGuard {
    node: Rc<Node>,
    /// The back end.
    pub backend: BackendId,
    began: Timestamp,
    pending_prefill_tokens: Option<u64>,
}

impl std::fmt::Debug for LoadGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("LoadGuard").field("backend", &self.backend).finish_non_exhaustive()
    }
}

impl LoadGuard {
    fn begin(node: &Rc<Node>, choice: &Choice) -> Self {
        let began = node.now();
        node.state.borrow_mut().chooser.loads.record_start(&choice.backend, choice.expected_tokens, began);
        node.health(&choice.backend, HealthEvent::Dispatched, false);
        Self {
            node: Rc::clone(node),
            backend: choice.backend.clone(),
            began,
            pending_prefill_tokens: Some(choice.expected_tokens),
        }
    }

    /// The first part of the answer is here.
    pub fn record_first_chunk(&mut self) {
        if let Some(tokens) = self.pending_prefill_tokens.take() {
            let now = self.node.now();
            let milliseconds = now.saturating_since(self.began).as_secs_f64() * 1_000.0;
            let mut state = self.node.state.borrow_mut();
            state.chooser.loads.record_first_event(&self.backend, tokens, self.began);
            state.chooser.loads.record_latency(&self.backend, milliseconds, now);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if let Some(tokens) = self.pending_prefill_tokens.take() {
            state.chooser.loads.record_first_event(&self.backend, tokens, self.began);
        }
        state.chooser.loads.record_end(&self.backend);
    }
}

/// Sends a request and waits for an answer that may be passed on, until `deadline`.
pub async fn send(
    node: &Rc<Node>,
    choice: &Choice,
    id: Option<&str>,
    request: Request<Full<Bytes>>,
    run: RunKind,
    deadline: Timestamp,
) -> Result<AttemptAnswer, AttemptFailure> {
    let work = LoadGuard::begin(node, choice);
    // A run that goes on begins nothing: its weights were in time when it began.
    let starting_at = (run == RunKind::New).then_some(choice);
    // Looked at before a connection is taken from the pool: one that is not used is closed.
    if let Some(why) = blocked_reason(node, choice, starting_at) {
        return Err(not_sent(node, choice, why));
    }
    let process = node.process_of(&choice.backend);
    let pooled = node.pool.borrow_mut().take(&choice.backend, node.now());
    let reused = pooled.is_some();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => connect(node, choice, deadline).await?,
    };
    // The connection took its time.
    if let Some(why) = blocked_reason(node, choice, starting_at).filter(|_| !reused) {
        node.pool.borrow_mut().put(&choice.backend, connection, node.now());
        return Err(not_sent(node, choice, why));
    }
    let sent_at = node.now();
    node.acquire_permit(&choice.backend);
    let waiting = connection.send(request);
    let answer = match node.wait(starting_at, deadline, waiting).await {
        Waited::Done(Ok(answer)) => answer,
        Waited::Done(Err(error)) => {
            if error.is_before_sending() {
                node.release_permit(&choice.backend);
            }
            return Err(broken(node, choice, &error, reused));
        }
        Waited::Outdated => {
            // This parsed nothing against the back end: it was not given its time.
            node.health(&choice.backend, HealthEvent::Inconclusive, false);
            return Err(AttemptFailure { reused, ..AttemptFailure::unclear(OUTDATED.into()) });
        }
        Waited::TimeUp => {
            node.health(&choice.backend, HealthEvent::Failed, false);
            return Err(AttemptFailure { reused, ..AttemptFailure::unclear("no answer in time".into()) });
        }
    };
    let (head, body) = answer.into_parts();
    let parsed = node.platform.read_answer(head.status, &head.headers);
    connection.keep_alive = keep_alive(&head.headers);
    if parsed.request_id.as_deref() != id {
        node.pool.borrow_mut().distrust(&choice.backend, node.now());
        return Err(AttemptFailure {
            reused,
            ..AttemptFailure::unclear("an answer to another request".into())
        });
    }
    // On whatever it parsed of the request: the registry may be away, or tell of it much later.
    node.observe_answer(&process, &parsed, Some(sent_at));
    let framed = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    let upstream = AttemptAnswer { head, parsed, body, connection, work, framed };
    classify(node, choice, upstream, reused, deadline).await
}

/// Why a back end that was chosen must not be sent the request any more.
fn blocked_reason(node: &Node, choice: &Choice, starting_at: Option<&Choice>) -> Option<&'static str> {
    if node.is_outdated(starting_at) {
        return Some(OUTDATED);
    }
    if node.lacks_permit(&choice.backend) {
        node.metrics.count(Counter::DeferredForLimits);
        return Some(LIMIT_USED_UP);
    }
    (!node.still_accepts(choice)).then_some(NOT_ACCEPTING)
}

/// The back end's weights are too old, or it wants no requests. This parsed nothing against it, and it was not process.
fn not_sent(node: &Rc<Node>, choice: &Choice, why: &str) -> AttemptFailure {
    node.health(&choice.backend, HealthEvent::Inconclusive, false);
    AttemptFailure { end: AttemptEnd::NotSent, ..AttemptFailure::unclear(why.into()) }
}

async fn connect(
    node: &Rc<Node>,
    choice: &Choice,
    deadline: Timestamp,
) -> Result<Connection, AttemptFailure> {
    node.metrics.count(Counter::Connections);
    let now = node.now();
    let timeout = CONNECT_TIMEOUT.min(deadline.saturating_since(now));
    Connection::open(choice.address, timeout, now).await.map_err(|error| broken(node, choice, &error, false))
}

fn broken(node: &Rc<Node>, choice: &Choice, error: &ConnectionError, reused: bool) -> AttemptFailure {
    let end = if error.is_before_sending() { AttemptEnd::NotSent } else { AttemptEnd::Unclear };
    // A kept connection that its peer closed parsed nothing of the back end.
    if error.is_refusal() {
        node.health(&choice.backend, HealthEvent::Unreachable, false);
    } else if !matches!(error, ConnectionError::NotSent) {
        node.health(&choice.backend, HealthEvent::Failed, !reused && end == AttemptEnd::NotSent);
    }
    let connection_lost = matches!(error, ConnectionError::Broken(_));
    AttemptFailure { end, reused, connection_lost, ..AttemptFailure::unclear(error.to_string()) }
}

/// Sorts out answers that are not passed on as they come.
async fn classify(
    node: &Rc<Node>,
    choice: &Choice,
    upstream: AttemptAnswer,
    reused: bool,
    deadline: Timestamp,
) -> Result<AttemptAnswer, AttemptFailure> {
    let backend = &choice.backend;
    let status = upstream.head.status;
    if upstream.parsed.not_run || upstream.parsed.misdirected {
        let end = record_refusal(node, choice, &upstream.parsed);
        let detail = format!("status {status}, not run");
        let answered_by = upstream.parsed.backend.clone();
        let _ = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read_full_answer(node, upstream)).await;
        return Err(AttemptFailure { end, reused, answered_by, ..AttemptFailure::unclear(detail) });
    }
    if upstream.parsed.encoded || (status.is_success() && !upstream.parsed.signed) {
        node.pool.borrow_mut().distrust(backend, node.now());
        let detail = format!("status {status}, not a back end's answer");
        return Err(AttemptFailure { reused, ..AttemptFailure::unclear(detail) });
    }
    if status.is_server_error() {
        let event = HealthEvent::Failed;
        node.health(backend, event, false);
        let whole = node.clock.timeout_at(deadline, read_full_answer(node, upstream)).await;
        let detail = format!("status {status}");
        return match whole {
            Some(Ok(answer)) => {
                let answer = Some(answer);
                Err(AttemptFailure {
                    end: AttemptEnd::FailedAnswer,
                    answer,
                    reused,
                    ..AttemptFailure::unclear(detail)
                })
            }
            Some(Err(_)) => {
                Err(AttemptFailure { reused, ..AttemptFailure::broken(format!("{detail}, broken off")) })
            }
            None => Err(AttemptFailure {
                reused,
                ..AttemptFailure::unclear(format!("{detail}, not whole in time"))
            }),
        };
    }
    node.health(backend, HealthEvent::Succeeded, false);
    Ok(upstream)
}

fn record_refusal(node: &Rc<Node>, choice: &Choice, parsed: &AnswerHead) -> AttemptEnd {
    node.health(&choice.backend, HealthEvent::Inconclusive, false);
    if parsed.misdirected {
        node.metrics.count(Counter::Misdirected);
    }
    let other = parsed.backend.as_ref().filter(|backend| **backend != choice.backend);
    if let Some(other) = other.filter(|_| parsed.misdirected) {
        node.misdirected(choice, other);
        return AttemptEnd::Misdirected;
    }
    if let (Some(scope), Some(version)) = (&choice.scope, parsed.weights) {
        node.observe_weights(&choice.backend, &scope.model, version);
    }
    if !parsed.misdirected {
        node.refused(&choice.backend);
    }
    AttemptEnd::NotRun
}

/// Takes an answer whole and gives its connection back.
pub async fn read_full_answer(node: &Rc<Node>, upstream: AttemptAnswer) -> Result<Response<Bytes>, String> {
    let AttemptAnswer { head, body, connection, mut work, .. } = upstream;
    let body =
        Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|error| error.to_string())?.to_bytes();
    work.record_first_chunk();
    node.pool.borrow_mut().put(&work.backend, connection, node.now());
    Ok(Response::from_parts(head, body))
}

/// Removes the headers that concern one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// How long the peer keeps the connection without use, where it parsed so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
