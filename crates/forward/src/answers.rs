//! The node's own answers.
//!
//! 503 promises that the request has not run and never will, and says when to come back. 502 and 504 promise nothing.

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
use paddlemount_core::{forwarding::rollout::TYPICAL_LOAD_TIME, quarantine::HOLD_DURATION};
use serde::Serialize;

use crate::relay::RelayError;

/// The body of any answer.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = RelayError>>>;

/// Why the node itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration may be out of date: keys cannot be trusted, or a route may be new.
    ConfigurationTooOld,
    /// No route fits.
    NoRoute,
    /// The route needs a key, and none that is known came.
    UnknownKey,
    /// The tenant's quota is used up.
    QuotaExceeded,
    /// The tenant's quota counts tokens, and the request says in no readable form how many it uses.
    UsageMalformed,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// The caller broke off before its request was whole.
    RequestBroken,
    /// No back end may get the request.
    NoBackend,
    /// All back ends have older weights than a request may begin on.
    OlderWeights,
    /// All back ends that could serve the request have asked for a time without any.
    BackendsRest,
    /// All back ends that could serve the request are limited, and the limits are used up.
    BackendsLimited,
    /// No back end took the request.
    NotTaken,
    /// The node is about to end, and answers of this route take longer than it has left.
    Stopping,
    /// Back ends ended under the same request again and again: none gets it any more.
    HeldBack,
    /// The time was up before a back end got the request.
    TimeUpBeforeSending,
    /// The time was up while a back end had the request.
    TimeUp,
    /// The back end may have run the request, and its answer is lost.
    AnswerLost,
}

impl Reason {
    /// The status that goes with it.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::ConfigurationTooOld
            | Self::NoBackend
            | Self::OlderWeights
            | Self::BackendsRest
            | Self::BackendsLimited
            | Self::NotTaken
            | Self::Stopping
            | Self::HeldBack
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

    /// When a caller that is refused may come back.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            // The least of their times, where that is known.
            Self::NoConfiguration | Self::NoBackend | Self::BackendsRest | Self::BackendsLimited => {
                Some(Duration::from_millis(400))
            }
            // One of them may have been given the named weights by then.
            Self::OlderWeights => Some(TYPICAL_LOAD_TIME),
            Self::ConfigurationTooOld => Some(Duration::from_millis(300)),
            Self::NotTaken | Self::QuotaExceeded => Some(Duration::from_millis(150)),
            // Another node serves the caller at once.
            Self::TimeUpBeforeSending | Self::Stopping => Some(Duration::from_millis(50)),
            Self::HeldBack => Some(HOLD_DURATION),
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
            Self::RequestBroken => "the request is not whole",
            Self::NoBackend => "no back end may get the request; it was not run",
            Self::OlderWeights => "no back end has the named weights yet; the request was not run",
            Self::BackendsRest => "all back ends want no requests for a while; the request was not run",
            Self::BackendsLimited => {
                "all back ends take fewer requests than are asked for; the request was not run"
            }
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

/// A request that is not served, and when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back; none where coming back is of no use.
    pub retry_after: Option<Duration>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { reason, retry_after: reason.retry_after() }
    }
}

/// The node's own answer to a request that it does not serve.
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
    answer
}

/// A body that is there whole.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Box::pin(Full::new(bytes).map_err(|never: Infallible| match never {}))
}

/// An answer that keeps `guard` until its body has been handed over to its end, or is dropped.
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
