//! Requests that a node forwards for another one, and which nodes do so.

use serde::{Deserialize, Serialize};

use super::Member;
use crate::identity::ServiceId;

/// A node that forwards requests of other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intermediary {
    #[serde(rename = "m")]
    pub member: Member,
    /// Services of which it reaches no back end.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unreached: Vec<ServiceId>,
    /// Milliseconds since the node stated this, when the message was written.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether it continues streams only at the software version that the request names.
    #[serde(rename = "s", default, skip_serializing_if = "super::is_false")]
    pub checks_software: bool,
}

/// Prefix of the path of a request that the sender forwards for a caller of its own. The rest of the path, the method,
/// the headers and the body are the caller's.
pub const FORWARD_PATH: &str = "/fleet/forward";
/// Path at which a node answers as long as its process runs.
pub const ALIVE_PATH: &str = "/fleet/alive";
/// Header of a forwarded request: the service that the sender has picked.
pub const SERVICE_HEADER: &str = "paddlemount-service";
/// Header of such a request: the milliseconds that are left for it.
pub const TIME_LEFT_HEADER: &str = "paddlemount-time-left-ms";
/// Header of such a request: the number of back ends that it may be sent to.
pub const ATTEMPTS_HEADER: &str = "paddlemount-attempts";
/// Header of such a request whose sender, or a node that was asked before, has credited it to its retry budget. Builds
/// without this header credit each request that they take over.
pub const CREDITED_HEADER: &str = "paddlemount-credited";
/// Header of the answer to such a request, with a [`ForwardOutcome`].
pub const OUTCOME_HEADER: &str = "paddlemount-outcome";

/// What became of a request that a node forwarded for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// A back end has answered; the answer follows.
    Answered,
    /// The request was refused for reasons that hold at any node. It has not run.
    Refused,
    /// This node cannot serve it, but another one may. It has not run.
    Unavailable,
    /// A back end may have run it, and there is no answer.
    Failed,
}

impl ForwardOutcome {
    /// The value of [`OUTCOME_HEADER`].
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Unavailable => "unavailable",
            Self::Failed => "failed",
        }
    }

    /// Parses a value of [`OUTCOME_HEADER`]. Unknown outcomes of later versions count as failures, which promise
    /// nothing.
    pub fn parse(text: &str) -> Self {
        let known = [Self::Answered, Self::Refused, Self::Unavailable];
        known.into_iter().find(|outcome| outcome.as_str() == text).unwrap_or(Self::Failed)
    }
}
