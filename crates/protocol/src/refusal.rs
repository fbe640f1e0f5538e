//! Outcomes and refusals, common to all interfaces.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about the effect of a request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request completed and its full response is known.
    Completed,
    /// The request did not run anywhere and may be retried.
    NotRun,
    /// The request may have run, partly or completely.
    Unknown,
}

/// Why a request was refused. The text form of each code is stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body, a header or the path could not be parsed.
    InvalidRequest,
    /// The API key is missing or unknown.
    Unauthenticated,
    /// The API key's role does not permit this.
    Forbidden,
    /// No such model, service, route or object.
    NotFound,
    /// Header, body or prompt exceeds its limit.
    TooLarge,
    /// The tenant's quota is exhausted for now.
    QuotaExceeded,
    /// Queues are full, or the deadline cannot be met.
    Overloaded,
    /// The caller's deadline has passed.
    DeadlineExceeded,
    /// No back end can serve the request now.
    Unavailable,
    /// The receiver is draining and takes no new work.
    Draining,
    /// The receiver's incarnation, model, weights version or adapter is not the requested one.
    PreconditionFailed,
    /// The fencing token is lower than one already seen.
    Fenced,
    /// The change was based on an older revision.
    Conflict,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// The idempotency key is older than the records that would show its use.
    KeyTooOld,
    /// Another request with the same idempotency key is running.
    InProgress,
    /// The back end failed after it may have begun to run the request.
    BackendFailed,
    /// An internal invariant was violated.
    Internal,
}

impl RefusalCode {
    /// The HTTP status for this code.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::TooLarge => 413,
            Self::QuotaExceeded => 429,
            Self::Overloaded | Self::Unavailable | Self::Draining => 503,
            Self::DeadlineExceeded => 504,
            Self::PreconditionFailed | Self::Fenced => 412,
            Self::Conflict | Self::InProgress => 409,
            Self::KeyReused | Self::KeyTooOld => 422,
            Self::BackendFailed => 502,
            Self::Internal => 500,
        }
    }
}

/// A refusal, serialised as JSON in the response body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    pub code: RefusalCode,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Human-readable: what is wrong, where, and what to do about it.
    pub message: String,
    /// Earliest time to retry, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that has not run anywhere.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(code, Outcome::NotRun, message)
    }

    /// A refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(code, Outcome::Unknown, message)
    }

    fn new(code: RefusalCode, outcome: Outcome, message: impl Into<String>) -> Self {
        Self { code, outcome, message: message.into(), retry_after_ms: None }
    }

    /// Adds the earliest time to retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }
}
