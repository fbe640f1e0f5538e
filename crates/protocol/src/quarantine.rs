//! What nodes tell each other of requests under which engines have ended.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::identity::{EngineId, NodeId, TenantId};

/// Hexadecimal digits of a fingerprint's origin.
const ORIGIN_DIGITS: usize = 16;
/// Hexadecimal digits of its content.
const CONTENT_DIGITS: usize = 32;

/// What a caller asks for, the same for each time it asks: the identity of a try is not part of it.
///
/// As text it is two hexadecimal numbers with a dash between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestFingerprint {
    /// A hash of method, host, path and caller, which is cheap to compute for any request.
    pub origin: u64,
    /// A hash of the same and the body.
    pub content: u128,
}

/// A text that is no fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a request fingerprint")]
pub struct FingerprintFormatError(pub String);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:0origin$x}-{:0content$x}",
            self.origin,
            self.content,
            origin = ORIGIN_DIGITS,
            content = CONTENT_DIGITS
        )
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || FingerprintFormatError(text.to_owned());
        let (origin, content) = text.split_once('-').ok_or_else(wrong)?;
        if origin.len() != ORIGIN_DIGITS || content.len() != CONTENT_DIGITS {
            return Err(wrong());
        }
        let origin = u64::from_str_radix(origin, 16).map_err(|_| wrong())?;
        let content = u128::from_str_radix(content, 16).map_err(|_| wrong())?;
        Ok(Self { origin, content })
    }
}

impl TryFrom<String> for RequestFingerprint {
    type Error = FingerprintFormatError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestFingerprint> for String {
    fn from(fingerprint: RequestFingerprint) -> Self {
        fingerprint.to_string()
    }
}

/// An engine, or an instance of another service, that ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCrash {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: RequestFingerprint,
    /// The start of the process that ended.
    #[serde(rename = "e")]
    pub engine: EngineId,
    /// The name of the request's route, for operators.
    #[serde(rename = "r")]
    pub route: String,
    /// Its tenant, for operators.
    #[serde(rename = "t")]
    pub tenant: Option<TenantId>,
    /// How long ago the request was sent there, in milliseconds, when this was written.
    #[serde(rename = "b")]
    pub began_ms_ago: u64,
    /// How long ago the run broke off, in milliseconds, when this was written.
    #[serde(rename = "a")]
    pub ended_ms_ago: u64,
}

/// A run of a request that others suspect came to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCompleted {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: RequestFingerprint,
    /// How long ago, in milliseconds, when this was written.
    #[serde(rename = "a")]
    pub ended_ms_ago: u64,
}

/// What a node tells the node above it of runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Runs under which engines ended.
    #[serde(default)]
    pub crashes: Vec<RunCrash>,
    /// Runs of suspected requests that came to their end.
    #[serde(default)]
    pub completed: Vec<RunCompleted>,
}

/// What a node is told from above of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDigest {
    /// Requests under which engines have ended again: a run of them that comes to its end is to be reported.
    #[serde(default)]
    pub suspects: Vec<RequestFingerprint>,
    /// Requests that no engine gets, as far as the metadata store may not have told of them yet.
    #[serde(rename = "held", default)]
    pub quarantined: Vec<RequestFingerprint>,
}

/// A request that no engine gets any more, as it is kept for all nodes and for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The name of its route.
    pub route: String,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// The engines that ended under it.
    pub engines: Vec<EngineId>,
    /// The node that concluded it.
    pub found_by: NodeId,
}
