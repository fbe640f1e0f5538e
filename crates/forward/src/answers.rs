//! Responses that the node generates itself.
//!
//! 503 guarantees that the request has not run and will not run, and says when to retry. 502 and 504
//! guarantee nothing.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use paddlemount_core::{
    caller_memory::STALL_TIMEOUT, forwarding::rollout::TYPICAL_LOAD_TIME, quarantine::QUARANTINE_DURATION,
};
use serde::Serialize;

use crate::relay::RelayError;

/// The body of any response to a caller.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = RelayError>>>;

/// Why the node answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    NoConfiguration,
    /// The configuration may be outdated: keys cannot be trusted, or a route may be missing.
    ConfigurationTooOld,
    /// No route matches.
    NoRoute,
    /// The route needs a key, and the request carries no known one.
    UnknownKey,
    QuotaExceeded,
    /// The tenant's quota counts tokens, and the request does not state its tokens in a readable form.
    UsageMalformed,
    BodyTooLarge,
    /// This node has no memory for the body, or it gave way to the bodies of others.
    NoMemory,
    /// The caller's connection closed before the request was complete.
    RequestBroken,
    /// No back end is eligible.
    NoBackend,
    /// Neither this node nor another one reaches a back end of the service.
    Unreached,
    /// All back ends have older weights than a request may start on.
    OlderWeights,
    /// The stream cannot go on: no node remembers which software version began it.
    StreamUnknown,
    /// The nodes that may remember which software version began the stream do not answer.
    StreamUnanswered,
    /// The stream cannot go on: no back end has the software version that began it.
    SoftwareGone,
    /// All eligible back ends are in back-off.
    BackendsRest,
    /// All eligible back ends are limited, and the limits are used up.
    BackendsLimited,
    /// The engines have no room for the request early enough.
    NoRoomInTime,
    /// Too many requests wait for the engines.
    PoolFull,
    /// No back end accepted the request.
    NotTaken,
    /// The node is stopping, and answers of this route take longer than it has left.
    Stopping,
    /// The request is quarantined because back ends crashed repeatedly while running it.
    HeldBack,
    /// The deadline passed before a back end received the request.
    TimeUpBeforeSending,
    /// The deadline passed while a back end had the request.
    TimeUp,
    /// The back end may have run the request, and its answer is lost.
    AnswerLost,
}

impl Reason {
    /// The status code of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::ConfigurationTooOld
            | Self::NoBackend
            | Self::Unreached
            | Self::OlderWeights
            | Self::StreamUnknown
            | Self::StreamUnanswered
            | Self::SoftwareGone
            | Self::BackendsRest
            | Self::BackendsLimited
            | Self::NoRoomInTime
            | Self::PoolFull
            | Self::NotTaken
            | Self::Stopping
            | Self::HeldBack
            | Self::NoMemory
            | Self::TimeUpBeforeSending => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RequestBroken | Self::UsageMalformed => StatusCode::BAD_REQUEST,
            Self::TimeUp => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// How long a refused caller should wait before it retries; `None` if retrying is of no use.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            // Used only if the time when a back end becomes available is unknown.
            Self::NoConfiguration
            | Self::NoBackend
            | Self::Unreached
            | Self::BackendsRest
            | Self::BackendsLimited => Some(Duration::from_millis(400)),
            // By then an engine may have loaded the target version.
            Self::OlderWeights => Some(TYPICAL_LOAD_TIME),
            Self::ConfigurationTooOld => Some(Duration::from_millis(300)),
            // A node that has just started knows the others by then.
            Self::StreamUnanswered => Some(Duration::from_millis(300)),
            // Only a rollback would help, so the caller should rather start anew than press.
            Self::StreamUnknown | Self::SoftwareGone => Some(Duration::from_secs(1)),
            Self::NoRoomInTime | Self::PoolFull | Self::NotTaken | Self::QuotaExceeded => {
                Some(Duration::from_millis(150))
            }
            // Another node can serve the caller at once.
            Self::TimeUpBeforeSending | Self::Stopping => Some(Duration::from_millis(50)),
            Self::HeldBack => Some(QUARANTINE_DURATION),
            // By then a body that makes no progress has given way.
            Self::NoMemory => Some(STALL_TIMEOUT),
            _ => None,
        }
    }

    const fn text(self) -> &'static str {
        match self {
            Self::NoConfiguration => "this node knows no configuration yet; the request was not run",
            Self::ConfigurationTooOld => {
                "this node's configuration may be out of date; the request was not run"
            }
            Self::NoRoute => "no route fits the request",
            Self::UnknownKey => "the request carries no known key",
            Self::QuotaExceeded => "the tenant's quota is used up; the request was not run",
            Self::UsageMalformed => "the request does not say in a readable form how many tokens it uses",
            Self::BodyTooLarge => "the body is too large",
            Self::NoMemory => "this node has no memory for the body; the request was not run",
            Self::RequestBroken => "the request is not whole",
            Self::NoBackend => "no back end may get the request; it was not run",
            Self::Unreached => "no back end of the service can be reached; the request was not run",
            Self::OlderWeights => "no back end has the named weights yet; the request was not run",
            Self::StreamUnknown => "it is not known what began the stream; the request was not run",
            Self::StreamUnanswered => {
                "the nodes that know what began the stream do not answer; the request was not run"
            }
            Self::SoftwareGone => {
                "no back end has the software that began the stream any more; the request was not run"
            }
            Self::BackendsRest => "all back ends want no requests for a while; the request was not run",
            Self::BackendsLimited => {
                "all back ends take fewer requests than are asked for; the request was not run"
            }
            Self::NoRoomInTime => "the engines have no room in time; the request was not run",
            Self::PoolFull => "too many requests wait for the engines; the request was not run",
            Self::NotTaken => "no back end took the request; it was not run",
            Self::Stopping => "this node is stopping; the request was not run, another node serves it",
            Self::HeldBack => {
                "back ends ended under this request again and again; it was not run, and none gets it until then"
            }
            Self::TimeUpBeforeSending => "the time is up; the request was not run",
            Self::TimeUp => "the time is up; the request may have run",
            Self::AnswerLost => "the answer is lost; the request may have run",
        }
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: &'static str,
    reason: Reason,
}

/// A refused request, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub reason: Reason,
    /// How long to wait before a retry; `None` if retrying is of no use.
    pub retry_after: Option<Duration>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { reason, retry_after: reason.retry_after() }
    }
}

/// The error response for a request that is not served.
pub fn error_answer(refusal: impl Into<Refusal>) -> Response<AnswerBody> {
    let Refusal { reason, retry_after } = refusal.into();
    let body = serde_json::to_vec(&ErrorBody { error: reason.text(), reason }).unwrap_or_default();
    let mut answer = Response::new(full_body(Bytes::from(body)));
    *answer.status_mut() = reason.status();
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer.extensions_mut().insert(reason);
    answer
}

/// A body that is complete in memory.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Box::pin(Full::new(bytes).map_err(|never: Infallible| match never {}))
}

/// Attaches `guard` to a response; it is dropped with the body, at its end or before.
pub fn with_guard<T: Unpin + 'static>(answer: Response<AnswerBody>, guard: T) -> Response<AnswerBody> {
    answer.map(|body| Box::pin(GuardedBody { body, _guard: guard }) as AnswerBody)
}

struct GuardedBody<T> {
    body: AnswerBody,
    _guard: T,
}

impl<T: Unpin> Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
