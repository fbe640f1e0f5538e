//! The connection to the engine that runs an attempt.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use paddlemount_core::request::RequestEvent;
use paddlemount_protocol::{
    engine::{EngineRefusal, Frame},
    identity::{AttemptId, Incarnation},
    refusal::{Outcome, Refusal},
};

use crate::client::{ClientError, HttpClient};

const MAX_FRAME_BYTES: usize = 64 << 10;
/// Has no effect in practice, as the timers of the request's state machine fire much earlier.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(3_600);

type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response<Incoming>, ClientError>> + Send>>;

/// The connection of a request to an engine, if any.
pub enum Connection {
    /// No connection is open.
    None,
    /// Waiting for the response head.
    Connecting {
        attempt: AttemptId,
        /// Whether the attempt was sent before, on another connection.
        resumed: bool,
        head: ResponseFuture,
    },
    /// Reading frames of the response body.
    Streaming {
        attempt: AttemptId,
        body: Incoming,
        /// Bytes read that do not form a complete line yet.
        buffer: BytesMut,
    },
}

impl Connection {
    /// Sends a new attempt.
    pub fn generate(
        client: &HttpClient,
        address: SocketAddr,
        attempt: AttemptId,
        request: Request<Full<Bytes>>,
    ) -> Self {
        Self::Connecting { attempt, resumed: false, head: open(client, address, request) }
    }

    /// Requests the remainder of an attempt's answer.
    pub fn resume(
        client: &HttpClient,
        address: SocketAddr,
        attempt: AttemptId,
        request: Request<Full<Bytes>>,
    ) -> Self {
        Self::Connecting { attempt, resumed: true, head: open(client, address, request) }
    }

    /// The next event of the connection; pending forever if there is none.
    pub async fn next_event(&mut self) -> RequestEvent {
        loop {
            match self {
                Self::None => std::future::pending::<()>().await,
                Self::Connecting { attempt, resumed, head } => match head.await {
                    Ok(response) => {
                        let attempt = attempt.clone();
                        let body = response.into_body();
                        *self = Self::Streaming { attempt, body, buffer: BytesMut::new() };
                    }
                    Err(error) => {
                        let event = failure(attempt.clone(), *resumed, &error);
                        *self = Self::None;
                        return event;
                    }
                },
                Self::Streaming { attempt, body, buffer } => {
                    let event = read_frame(attempt, body, buffer).await;
                    if !matches!(event, RequestEvent::Frame(_)) {
                        *self = Self::None;
                    }
                    return event;
                }
            }
        }
    }
}

fn open(client: &HttpClient, address: SocketAddr, request: Request<Full<Bytes>>) -> ResponseFuture {
    let client = client.clone();
    Box::pin(async move { client.open(address, request, RESPONSE_HEAD_TIMEOUT).await })
}

/// Reads the next frame. Cancel safe: bytes read stay in the buffer until their line is complete.
async fn read_frame(attempt: &AttemptId, body: &mut Incoming, buffer: &mut BytesMut) -> RequestEvent {
    loop {
        if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            return match serde_json::from_slice::<Frame>(&line) {
                Ok(frame) => RequestEvent::Frame(frame),
                Err(error) => {
                    log::warn!("cannot parse a frame of {attempt}: {error}");
                    RequestEvent::ConnectionLost { attempt: attempt.clone(), resumable: true }
                }
            };
        }
        if buffer.len() > MAX_FRAME_BYTES {
            log::warn!("a frame of {attempt} is longer than {MAX_FRAME_BYTES} bytes");
            return RequestEvent::ConnectionLost { attempt: attempt.clone(), resumable: false };
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
            Some(Err(_)) | None => {
                return RequestEvent::ConnectionLost { attempt: attempt.clone(), resumable: true };
            }
        }
    }
}

fn failure(attempt: AttemptId, resumed: bool, error: &ClientError) -> RequestEvent {
    log::debug!("attempt {attempt} failed: {error}");
    match error {
        ClientError::Connect { .. } => RequestEvent::NotSent { attempt },
        ClientError::Status { body, .. } if !resumed => match refusal_of(body) {
            Some(refusal) => RequestEvent::Refused { attempt, refusal },
            None => RequestEvent::ConnectionLost { attempt, resumable: false },
        },
        ClientError::Status { .. } => RequestEvent::ConnectionLost { attempt, resumable: false },
        ClientError::Broken { .. } | ClientError::Timeout { .. } | ClientError::Unreadable { .. } => {
            RequestEvent::ConnectionLost { attempt, resumable: true }
        }
    }
}

/// The incarnation in a refusal whose sender did not state one.
pub const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);

/// The refusal in the body of an engine's answer. Any other body proves nothing about the attempt.
fn refusal_of(body: &[u8]) -> Option<EngineRefusal> {
    if let Ok(refusal) = serde_json::from_slice::<EngineRefusal>(body) {
        return Some(refusal);
    }
    let refusal: Refusal = serde_json::from_slice(body).ok()?;
    (refusal.outcome == Outcome::NotRun).then_some(EngineRefusal {
        code: refusal.code,
        incarnation: UNKNOWN_INCARNATION,
        loaded: None,
        message: refusal.message,
        retry_after_ms: refusal.retry_after_ms,
    })
}
