//! One attempt to send a request to one back end.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header, response};
use http_body_util::Full;
use paddlemount_core::{
    forwarding::{attempt::AttemptEnd, backends::BackendId, choice::Choice},
    health::HealthEvent,
};
use paddlemount_protocol::{identity::SoftwareVersion, time::Timestamp};

use crate::{
    answer_buffer::AnswerError,
    attempt_wait::{AttemptWait, wait_for_head},
    connection::{Connection, ConnectionError},
    engine_contact::EngineContact,
    load_guard::LoadGuard,
    metrics::Counter,
    node::Node,
    ports::AnswerHead,
    received_body::{ReceivedBody, is_oversized},
    response_wait::{OUTDATED, Waited},
    unframed::is_framed,
    unread_attempts::{InFlight, UnreadAttempt},
};

/// The minimum time without an answer after which an engine is suspected of being silent. Attempts that end
/// earlier had little time left.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// How long the body of a refusal may take before its connection is closed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// The detail of an attempt whose back end has begun to drain or to back off.
const NOT_ACCEPTING: &str = "the back end no longer accepts requests";
/// The detail of an attempt whose back end has gone silent.
pub(crate) const SILENT: &str = "the back end sends nothing";
/// The detail of an attempt whose back end's limit was used up after it was chosen.
const LIMIT_USED_UP: &str = "the back end's limit is used up";

/// Hop-by-hop headers.
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

/// What an attempt asks its back end to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKind {
    /// A new run of a request that must not run twice.
    New,
    /// A new run of a request that may run again.
    Repeatable,
    /// A run that another back end began, continued from a copy of its memory.
    Continued,
}

/// Why an attempt has no answer that can be relayed.
#[derive(Debug)]
pub struct AttemptFailure {
    /// What is known about the run.
    pub end: AttemptEnd,
    /// A description for log lines.
    pub detail: String,
    /// A complete error response of the back end, which may be relayed.
    pub answer: Option<Response<Bytes>>,
    /// Whether the attempt used a pooled connection.
    pub reused: bool,
    /// Whether the connection broke during the run, which may mean that the back end crashed.
    pub connection_lost: bool,
    /// The back end that answered, if the answer names it.
    pub answered_by: Option<BackendId>,
    /// Whether nothing shows that the back end has read the request.
    pub unread: bool,
    /// Whether the back end refused the connection.
    pub refused: bool,
    /// Whether the answer had more bytes that are no data than are read.
    pub oversized: bool,
}

impl AttemptFailure {
    /// The back end may have run the request, and its outcome is unknown.
    pub fn unclear(detail: String) -> Self {
        Self {
            end: AttemptEnd::Unclear,
            detail,
            answer: None,
            reused: false,
            connection_lost: false,
            answered_by: None,
            unread: false,
            refused: false,
            oversized: false,
        }
    }

    /// The same, after the connection broke during the run.
    pub fn broken(detail: String) -> Self {
        Self { connection_lost: true, ..Self::unclear(detail) }
    }

    /// The same, after the connection broke in the body of the answer.
    pub(crate) fn broken_in_body(error: &hyper::Error, detail: String) -> Self {
        Self { oversized: is_oversized(error), ..Self::broken(detail) }
    }

    /// The same, when the body was not read to its end. One that is too large says nothing of a crash.
    pub(crate) fn incomplete(error: &AnswerError, detail: String) -> Self {
        match error {
            AnswerError::Broken(error) => Self::broken_in_body(error, detail),
            AnswerError::NoBody | AnswerError::EndedUnframed => Self::broken(detail),
            AnswerError::TooLarge => Self::unclear(detail),
        }
    }

    /// The same, when the node stopped waiting before anything arrived.
    pub(crate) fn given_up(detail: String) -> Self {
        Self { unread: true, ..Self::unclear(detail) }
    }

    /// The same, when the back end has gone silent.
    pub fn silent() -> Self {
        Self { end: AttemptEnd::Silent, ..Self::unclear(SILENT.into()) }
    }
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct AttemptAnswer {
    pub head: response::Parts,
    /// What the platform reads from the head.
    pub parsed: AnswerHead,
    /// The software version that it comes from, if known.
    pub software: Option<SoftwareVersion>,
    pub body: ReceivedBody,
    /// The connection that carries the body.
    pub connection: Connection,
    /// Counts the request as load on the back end.
    pub load: LoadGuard,
    /// Whether the end of the body can be told from a broken connection.
    pub framed: bool,
}

/// Sends a request and waits as long as `wait` allows for an answer that can be relayed. From when it is sent, the attempt is
/// noted in `in_flight`. `request` builds the request when it is about to be sent, as it states the time that is left.
pub async fn send(
    node: &Rc<Node>,
    choice: &Choice,
    id: Option<&str>,
    request: impl FnOnce(Timestamp) -> Request<Full<Bytes>>,
    run: RunKind,
    wait: &AttemptWait<'_>,
    in_flight: &InFlight,
) -> Result<AttemptAnswer, AttemptFailure> {
    let mut load = LoadGuard::begin(node, choice);
    // A continued run does not start, so the age of its weights no longer matters.
    let starting_at = (run != RunKind::Continued).then_some(choice);
    // Checked before the pool is used, because a connection that is taken and not used is closed.
    if let Some(why) = blocked_reason(node, choice, starting_at) {
        return Err(not_sent(node, choice, why));
    }
    let process = node.process_of(&choice.backend);
    let software = node.software_of(&choice.backend);
    let pooled = node.take_idle_connection(choice, run);
    let reused = pooled.is_some();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => connect(node, choice, wait.leave_at).await?,
    };
    // Checked again, because opening a connection takes time.
    if let Some(why) = blocked_reason(node, choice, starting_at).filter(|_| !reused) {
        node.return_connection(&choice.backend, connection);
        return Err(not_sent(node, choice, why));
    }
    let sent_at = node.now();
    node.record_engine_sent(load.process.as_ref());
    load.begin_wait();
    load.contact = EngineContact::begin(node, choice);
    let socket = Some(connection.socket());
    let permit = node.acquire_permit(&choice.backend);
    in_flight.replace(Some(UnreadAttempt { process: process.clone(), socket, permit }));
    let request = request(sent_at);
    let is_head = request.method() == Method::HEAD;
    let head = connection.send(request);
    let waited = wait_for_head(node, choice, run, load.contact.as_ref(), wait, head).await;
    let answer = match waited {
        Waited::Done(Ok(answer)) => answer,
        Waited::Done(Err(error)) => {
            if error.is_before_sending() {
                release_permit(in_flight);
            }
            if !reused {
                node.record_unreached(&choice.backend, connection.opened_at);
            }
            let unread = error.is_timeout();
            return Err(AttemptFailure { unread, ..connection_failure(node, choice, &error, reused) });
        }
        Waited::Outdated => {
            // The request was aborted early, which says nothing about the back end's health.
            node.record_health(&choice.backend, HealthEvent::Inconclusive, false);
            return Err(AttemptFailure { reused, ..AttemptFailure::given_up(OUTDATED.into()) });
        }
        Waited::Silent => {
            node.record_health(&choice.backend, HealthEvent::Failed, false);
            return Err(AttemptFailure { reused, unread: true, ..AttemptFailure::silent() });
        }
        Waited::TimeUp => {
            if node.now().saturating_since(sent_at) >= MIN_SILENCE {
                node.record_engine_silence(load.process.as_ref());
            }
            return Err(AttemptFailure { reused, ..AttemptFailure::given_up("no answer in time".into()) });
        }
    };
    load.is_overdue = wait.is_overdue(node.now());
    node.record_engine_contact(load.process.as_ref());
    load.record_bytes(&connection);
    if let Some(contact) = &load.contact {
        contact.record_head();
    }
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
    // Announcements count whatever the status, since the registry may be unreachable or late.
    node.observe_answer(&process, &parsed, Some(sent_at));
    let framed = is_head || is_framed(&head);
    // A process that has replaced the one that was chosen may have another version.
    let is_same = node.process_of(&choice.backend) == process;
    let software = software.filter(|_| is_same);
    let upstream = AttemptAnswer { head, parsed, software, body, connection, load, framed };
    classify(node, choice, upstream, reused, wait.read_by(node.now())).await
}

/// Why the chosen back end must not receive the request any more, if so.
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

/// Returns the permit of an attempt of which no byte was sent.
fn release_permit(in_flight: &InFlight) {
    if let Some(permit) = in_flight.take().and_then(|attempt| attempt.permit) {
        permit.release();
    }
}

/// This node did not send the request, which says nothing about the back end's health.
fn not_sent(node: &Rc<Node>, choice: &Choice, why: &str) -> AttemptFailure {
    node.record_health(&choice.backend, HealthEvent::Inconclusive, false);
    AttemptFailure { end: AttemptEnd::NotSent, ..AttemptFailure::unclear(why.into()) }
}

pub(crate) async fn connect(
    node: &Rc<Node>,
    choice: &Choice,
    deadline: Timestamp,
) -> Result<Connection, AttemptFailure> {
    node.metrics.count(Counter::Connections);
    let now = node.now();
    let timeout = node.connect_timeout().min(deadline.saturating_since(now));
    let process = node.process_of(&choice.backend);
    let result = Connection::open_from(node.settings().source_address, choice.address, timeout, now).await;
    node.record_connect(&process, now, &result);
    result.map_err(|error| {
        node.record_unreached(&choice.backend, now);
        if error.is_refusal() {
            node.record_ended(&process);
        }
        connection_failure(node, choice, &error, false)
    })
}

fn connection_failure(
    node: &Rc<Node>,
    choice: &Choice,
    error: &ConnectionError,
    reused: bool,
) -> AttemptFailure {
    let end = if error.is_before_sending() { AttemptEnd::NotSent } else { AttemptEnd::Unclear };
    // A pooled connection that the peer closed says nothing about the back end's health.
    if error.is_refusal() {
        node.record_health(&choice.backend, HealthEvent::Unreachable, false);
    } else if !matches!(error, ConnectionError::NotSent) {
        node.record_health(&choice.backend, HealthEvent::Failed, !reused && end == AttemptEnd::NotSent);
    }
    let connection_lost = matches!(error, ConnectionError::Broken(_));
    let (refused, oversized) = (error.is_refusal(), error.is_oversized());
    let failure = AttemptFailure::unclear(error.to_string());
    AttemptFailure { end, reused, connection_lost, refused, oversized, ..failure }
}

/// Turns refusals, foreign answers and server errors into failures.
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
        node.record_health(backend, event, false);
        let result = node.clock.timeout_at(deadline, read_full_answer(node, upstream)).await;
        let detail = format!("status {status}");
        return match result {
            Some(Ok(answer)) => {
                let answer = Some(answer);
                Err(AttemptFailure {
                    end: AttemptEnd::FailedAnswer,
                    answer,
                    reused,
                    ..AttemptFailure::unclear(detail)
                })
            }
            Some(Err(error)) => {
                let failure = AttemptFailure::incomplete(&error, format!("{detail}, incomplete body"));
                Err(AttemptFailure { reused, ..failure })
            }
            None => Err(AttemptFailure {
                reused,
                ..AttemptFailure::unclear(format!("{detail}, body incomplete in time"))
            }),
        };
    }
    node.record_health(backend, HealthEvent::Succeeded, false);
    Ok(upstream)
}

fn record_refusal(node: &Rc<Node>, choice: &Choice, parsed: &AnswerHead) -> AttemptEnd {
    node.record_health(&choice.backend, HealthEvent::Inconclusive, false);
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
        node.record_backend_refusal(&choice.backend);
        node.record_rejection(&choice.backend);
        node.record_engine_refusal(node.recorded_engine(choice).as_ref());
    }
    AttemptEnd::NotRun
}

/// Reads an answer to its end and returns the connection to the pool.
pub(crate) async fn read_full_answer(
    node: &Rc<Node>,
    upstream: AttemptAnswer,
) -> Result<Response<Bytes>, AnswerError> {
    let AttemptAnswer { head, body, connection, mut load, .. } = upstream;
    let body = node.answer_memory.read(body).await?;
    load.record_first_chunk();
    node.return_connection(&load.backend, connection);
    Ok(Response::from_parts(head, body))
}

/// Removes hop-by-hop headers.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(name.as_str());
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// The peer's idle timeout, if its `Keep-Alive` header gives one.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
