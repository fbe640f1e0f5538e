//! Reports about requests that crash engines, exchanged between nodes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::identity::{EngineId, NodeId, TenantId};

/// Hexadecimal digits of [`RequestFingerprint::origin`].
const ORIGIN_DIGITS: usize = 16;
/// Hexadecimal digits of [`RequestFingerprint::content`].
const CONTENT_DIGITS: usize = 32;

/// Identifies what may crash engines: a request with all retries of it, or one segment in the prompts of
/// any requests for a model.
///
/// The text form is two hexadecimal numbers separated by a dash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestFingerprint {
    /// Hash of method, host, path and caller, or of a segment's model; cheap to compute for any request.
    pub origin: u64,
    /// Hash of the same and the body, at least 2^64; below that, the id of a segment.
    pub content: u128,
}

impl RequestFingerprint {
    /// The id of the segment that this identifies; `None` if it identifies a request.
    pub fn segment(&self) -> Option<u64> {
        u64::try_from(self.content).ok()
    }
}

/// The text cannot be parsed as a [`RequestFingerprint`].
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
        let invalid = || FingerprintFormatError(text.to_owned());
        let (origin, content) = text.split_once('-').ok_or_else(invalid)?;
        if origin.len() != ORIGIN_DIGITS || content.len() != CONTENT_DIGITS {
            return Err(invalid());
        }
        let origin = u64::from_str_radix(origin, 16).map_err(|_| invalid())?;
        let content = u128::from_str_radix(content, 16).map_err(|_| invalid())?;
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

/// An engine, or an instance of another service, that crashed while running a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCrash {
    #[serde(rename = "f")]
    pub fingerprint: RequestFingerprint,
    /// The process that crashed.
    #[serde(rename = "e")]
    pub engine: EngineId,
    /// Name of the request's route, for operators.
    #[serde(rename = "r")]
    pub route: String,
    /// The request's tenant, for operators.
    #[serde(rename = "t")]
    pub tenant: Option<TenantId>,
    /// Milliseconds from sending the request to writing this message.
    #[serde(rename = "b")]
    pub began_ms_ago: u64,
    /// Milliseconds from the crash to writing this message.
    #[serde(rename = "a")]
    pub ended_ms_ago: u64,
    /// Shared segments of the prompt that may have caused the crash, in their order.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<RequestFingerprint>,
}

/// A completed run of a suspected request, or of some request with a suspected segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCompleted {
    #[serde(rename = "f")]
    pub fingerprint: RequestFingerprint,
    /// Milliseconds from completion to writing this message.
    #[serde(rename = "a")]
    pub ended_ms_ago: u64,
}

/// An engine, or an instance of another service, that ended while the reporting node had no run there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleEnd {
    /// The process that ended.
    #[serde(rename = "e")]
    pub engine: EngineId,
    /// Milliseconds from the end to writing this message.
    #[serde(rename = "a")]
    pub ended_ms_ago: u64,
}

/// What a node reports to its parent about runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    #[serde(default)]
    pub crashes: Vec<RunCrash>,
    /// Completed runs of suspected requests.
    #[serde(default)]
    pub completed: Vec<RunCompleted>,
    /// Ends that show a common cause of crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idle_ends: Vec<IdleEnd>,
}

/// How many engines crashed under a segment that no node has served, as a root tells its children: they go on
/// counting where they lose it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentCrashes {
    #[serde(rename = "f")]
    pub segment: RequestFingerprint,
    #[serde(rename = "n")]
    pub engines: u32,
}

/// What a parent sends to its children about suspected requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDigest {
    /// Requests and segments under which more than one engine crashed. Nodes report completed runs of them.
    #[serde(default)]
    pub suspects: Vec<RequestFingerprint>,
    /// Quarantined requests and segments that the metadata store may not list yet.
    #[serde(rename = "held", default)]
    pub quarantined: Vec<RequestFingerprint>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub segment_crashes: Vec<SegmentCrashes>,
}

/// A request that is no longer sent to any engine, or a segment whose prompts are not, as stored for all nodes
/// and for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    pub fingerprint: RequestFingerprint,
    /// Name of the route of the last crash.
    pub route: String,
    /// The request's tenant; `None` for a segment, which any tenant may send.
    pub tenant: Option<TenantId>,
    pub engines: Vec<EngineId>,
    /// The node that quarantined the request.
    pub found_by: NodeId,
}
