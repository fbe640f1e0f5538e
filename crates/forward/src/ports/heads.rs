//! Typed heads of requests and answers.

use std::{net::SocketAddr, time::Duration};

use http::HeaderName;
use paddlemount_core::forwarding::{
    backends::BackendId,
    document::{Tenant, TokenUsage},
    prompt::{CacheScope, Prompt},
};
use paddlemount_protocol::identity::WeightsVersion;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's id of the request.
    pub id: Option<String>,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The tokens that the request uses, as far as it states them.
    pub usage: TokenUsage,
    /// The description of its prompt.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The caller's id of the attempt that brought the stream's first event, if it names one.
    pub resumes: Option<String>,
}

/// The routing decision for a request that is sent to a back end.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    pub backend: &'a BackendId,
    /// How long the back end may take.
    pub deadline: Duration,
    pub tenant: Option<&'a Tenant>,
    /// The request's rank at an engine; 0 is the highest.
    pub rank: u8,
    /// The scope of cached segments.
    pub scope: Option<&'a CacheScope>,
    /// The back end to import the prefix from.
    pub import_from: Option<SocketAddr>,
    /// The cache store to save shared segments to.
    pub save_to: Option<SocketAddr>,
    /// The back end to copy the run's memory to while it grows.
    pub copy_to: Option<SocketAddr>,
    /// The run to continue from its copied memory.
    pub continues: Option<&'a CopiedRun>,
    /// The last event that the caller has, if the node itself resumes a stream.
    pub resume_after: Option<u64>,
}

/// A run whose memory was copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopiedRun {
    /// The address of the back end that ran it.
    pub address: SocketAddr,
    /// The caller's id of its request.
    pub request_id: String,
}

/// What the head of a back end's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether a back end has signed it.
    pub signed: bool,
    /// Whether the back end states that it did not run the request.
    pub not_run: bool,
    /// Whether the request reached another back end, or one with other weights.
    pub misdirected: bool,
    /// The back end that answered, if stated.
    pub backend: Option<BackendId>,
    /// The version of the weights it runs on.
    pub weights: Option<WeightsVersion>,
    /// Whether the body has an encoding that was not requested.
    pub encoded: bool,
    /// Whether the back end states that it is leaving.
    pub leaving: bool,
    /// How long the back end wants no requests, if it refuses this one and says so.
    pub back_off: Option<RequestedBackOff>,
    /// The requests per second that the back end accepts from all nodes together, if stated.
    pub limit: Option<AdvertisedLimit>,
    /// The rejections a second for want of room that the back end bears from all nodes together, if it states to be
    /// brittle.
    pub bearable_rejections: Option<AdvertisedLimit>,
    /// Headers that the adapter does not know.
    pub unknown: Vec<HeaderName>,
}

/// The back-off that a back end asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedBackOff {
    /// A time that counts from its answer.
    For(Duration),
    /// A value that could not be parsed.
    Unreadable(String),
}

/// A rate that a back end advertises.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedLimit {
    /// A number per second, finite and at least 0.
    PerSecond(f64),
    /// A value that could not be parsed.
    Unreadable(String),
}
