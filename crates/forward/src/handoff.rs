//! The messages by which a node hands a request on to another node, and takes one over.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, Uri, header, request, uri::PathAndQuery};
use http_body_util::Full;
use paddlemount_protocol::{
    fleet::{
        ATTEMPTS_HEADER, CREDITED_HEADER, FORWARD_PATH, ForwardOutcome, OUTCOME_HEADER, SERVICE_HEADER,
        SOFTWARE_HEADER, TIME_LEFT_HEADER,
    },
    identity::{ServiceId, SoftwareVersion},
};

use crate::{
    answers::{AnswerBody, Reason},
    attempts::strip_connection_headers,
    dispatch::Resume,
};

/// Sent by callers and nodes alike when a stream is resumed; a header of the event stream standard.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// What the sender of a request that was handed on says of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handoff {
    /// The service that the sender has picked among those of the route.
    pub service: ServiceId,
    pub time_left: Duration,
    /// The number of back ends that the request may be sent to.
    pub attempts: u32,
    /// Whether the request has been credited to a retry budget: it earns its share once.
    pub credited: bool,
    /// The software version that began the stream, if it has begun.
    pub software: Option<SoftwareVersion>,
}

impl Handoff {
    /// The message that hands on a caller's request.
    pub(crate) fn request(
        &self,
        caller: &request::Parts,
        body: &Bytes,
        resume: &Resume,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = caller.method.clone();
        let path = caller.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        if let Ok(uri) = format!("{FORWARD_PATH}{path}").parse() {
            *request.uri_mut() = uri;
        }
        let mut headers = caller.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(header::EXPECT);
        headers.insert(header::CONTENT_LENGTH, body.len().into());
        // A caller cannot state these.
        headers.remove(CREDITED_HEADER);
        headers.remove(SOFTWARE_HEADER);
        set(&mut headers, SERVICE_HEADER, self.service.as_str());
        set(&mut headers, TIME_LEFT_HEADER, &self.time_left.as_millis().to_string());
        set(&mut headers, ATTEMPTS_HEADER, &self.attempts.to_string());
        if self.credited {
            set(&mut headers, CREDITED_HEADER, "1");
        }
        if let Some(software) = &self.software {
            set(&mut headers, SOFTWARE_HEADER, software.as_str());
        }
        if let Some(after) = resume.after {
            headers.insert(LAST_EVENT_ID, after.into());
        }
        *request.headers_mut() = headers;
        request
    }

    /// Takes the message off a request, which is then the caller's; `None` if it is no such message.
    pub(crate) fn take<B>(request: &mut Request<B>) -> Option<Self> {
        let path = request.uri().path_and_query()?.as_str().strip_prefix(FORWARD_PATH)?;
        let uri: Uri = path.parse().ok()?;
        let headers = request.headers_mut();
        let mut take = |name: &'static str| headers.remove(name)?.to_str().ok().map(str::to_owned);
        let handoff = Self {
            service: ServiceId::from(take(SERVICE_HEADER)?),
            time_left: Duration::from_millis(take(TIME_LEFT_HEADER)?.parse().ok()?),
            attempts: take(ATTEMPTS_HEADER)?.parse().ok()?,
            credited: take(CREDITED_HEADER).is_some(),
            software: take(SOFTWARE_HEADER).map(SoftwareVersion::from),
        };
        *request.uri_mut() = uri;
        Some(handoff)
    }
}

/// States in an answer what became of a request that was handed on.
pub(crate) fn state_outcome(answer: &mut Response<AnswerBody>) {
    let outcome =
        answer.extensions().get::<Reason>().map_or(ForwardOutcome::Answered, |reason| outcome_of(*reason));
    answer.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    if let Some(software) = answer.extensions().get::<SoftwareVersion>().cloned() {
        set(answer.headers_mut(), SOFTWARE_HEADER, software.as_str());
    }
}

/// Takes the software version that began a stream off an answer.
pub(crate) fn take_software(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    let value = headers.remove(SOFTWARE_HEADER)?;
    value.to_str().ok().map(SoftwareVersion::from)
}

/// Takes that statement off an answer. An answer without one is not that of a node that takes requests over, and so
/// ran nothing.
pub(crate) fn take_outcome(headers: &mut HeaderMap) -> ForwardOutcome {
    let stated = headers.remove(OUTCOME_HEADER);
    stated.map_or(ForwardOutcome::Unavailable, |value| {
        ForwardOutcome::parse(value.to_str().unwrap_or_default())
    })
}

const fn outcome_of(reason: Reason) -> ForwardOutcome {
    match reason {
        // The configurations of two nodes may differ for a moment, and the sender has admitted the request.
        Reason::NoRoute
        | Reason::UnknownKey
        | Reason::NoConfiguration
        | Reason::ConfigurationTooOld
        | Reason::Stopping
        | Reason::NoMemory
        | Reason::StreamUnanswered
        | Reason::Unreached => ForwardOutcome::Unavailable,
        Reason::TimeUp | Reason::AnswerLost => ForwardOutcome::Failed,
        Reason::QuotaExceeded
        | Reason::UsageMalformed
        | Reason::BodyTooLarge
        | Reason::RequestBroken
        | Reason::NoBackend
        | Reason::OlderWeights
        | Reason::StreamUnknown
        | Reason::SoftwareGone
        | Reason::BackendsRest
        | Reason::BackendsLimited
        | Reason::NoRoomInTime
        | Reason::PoolFull
        | Reason::NotTaken
        | Reason::HeldBack
        | Reason::TimeUpBeforeSending => ForwardOutcome::Refused,
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
