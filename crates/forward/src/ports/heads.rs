//! Heads of requests and answers, in the product's terms.

use std::{net::SocketAddr, time::Duration};

use http::HeaderName;
use paddlemount_core::forwarding::{
    backends::BackendId,
    document::{Tenant, TokenUsage},
    prompt::{CacheScope, Prompt},
};
use paddlemount_protocol::identity::WeightsVersion;

/// What a caller's head says, in the product's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's identity for this try.
    pub id: Option<String>,
    /// The key that it carries.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The tokens that it uses, as far as it says.
    pub usage: TokenUsage,
    /// What it says of its prompt.
    pub prompt: Option<Prompt>,
    /// The last event that it has, of a stream that it resumes.
    pub last_event: Option<u64>,
}

/// What is decided about a request that goes to a back end.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The back end.
    pub backend: &'a BackendId,
    /// How long the back end may take.
    pub deadline: Duration,
    /// The tenant, if the request has one.
    pub tenant: Option<&'a Tenant>,
    /// Its rank at an engine, 0 being the highest.
    pub rank: u8,
    /// The scope of cached parts.
    pub scope: Option<&'a CacheScope>,
    /// Whom to import the prefix from.
    pub import_from: Option<SocketAddr>,
    /// Whom to hand the shared parts to.
    pub save_to: Option<SocketAddr>,
    /// Whom to copy the run's memory to as it grows.
    pub copy_to: Option<SocketAddr>,
    /// The run whose copied memory the request goes on from.
    pub continues: Option<&'a CopiedRun>,
    /// The last event that the caller has, where the node itself resumes a stream.
    pub resume_after: Option<u64>,
}

/// A run whose memory was copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopiedRun {
    /// The address of the back end that ran it.
    pub address: SocketAddr,
    /// The caller's identity for its try.
    pub request_id: String,
}

/// What the head of a back end's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether a back end has signed it.
    pub signed: bool,
    /// Whether the back end says that it did not run the request.
    pub not_run: bool,
    /// Whether another back end, or one with other weights, got the request.
    pub misdirected: bool,
    /// The back end that answered, where it says so.
    pub backend: Option<BackendId>,
    /// The version of the weights it runs on.
    pub weights: Option<WeightsVersion>,
    /// Whether the body is in an encoding that nobody asked for.
    pub encoded: bool,
    /// Whether the back end says that it is leaving.
    pub leaving: bool,
    /// For how long the back end wants no requests, where it refuses this one and says so.
    pub back_off: Option<RequestedBackOff>,
    /// The requests a second that the back end takes from all nodes together, where it names them.
    pub limit: Option<AdvertisedLimit>,
    /// Headers that the translation does not understand.
    pub unknown: Vec<HeaderName>,
}

/// For how long a back end wants no requests, as it says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedBackOff {
    /// So long from its answer on.
    For(Duration),
    /// What it says has no meaning.
    Unreadable(String),
}

/// The requests a second that a back end takes, as it says.
#[derive(Clone, Debug, PartialEq)]
pub enum AdvertisedLimit {
    /// So many, a finite number of at least 0.
    PerSecond(f64),
    /// What it says has no meaning.
    Unreadable(String),
}
