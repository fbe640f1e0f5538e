//! Names of non-standard HTTP headers.

/// The request's id, in every response to a caller.
pub const REQUEST_ID: &str = "x-request-id";
/// A caller's key for an operation that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether a request may be retried. Defaults to `false` for services and `true` for models.
pub const REPEATABLE: &str = "x-paddlemount-repeatable";
/// The caller's deadline, in milliseconds from the arrival of the request.
pub const DEADLINE_MS: &str = "x-paddlemount-deadline-ms";
/// The caller's priority: `low`, `normal` or `high`.
pub const PRIORITY: &str = "x-paddlemount-priority";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// The node that sends a peer message.
pub const PEER_NODE: &str = "x-paddlemount-node";
/// Keyed hash of a peer message's method, path, time and body, in hexadecimal.
pub const PEER_SIGNATURE: &str = "x-paddlemount-signature";
/// The sender's time in microseconds, covered by [`PEER_SIGNATURE`].
pub const PEER_TIME: &str = "x-paddlemount-time";
