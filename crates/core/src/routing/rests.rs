//! What engines say of themselves when they refuse: for how long they want nothing, and that they leave.

use std::time::Duration;

use paddlemount_protocol::{engine::EngineRefusal, identity::EngineId, time::Timestamp};

use super::{Router, types::RouteRequest};

impl Router {
    /// An engine refused a try.
    pub(super) fn apply_refused(&mut self, _engine: &EngineId, _refusal: &EngineRefusal, _now: Timestamp) {}

    /// How long it takes until the first engine may be sent `request` that could serve it, where all of them rest; engines that
    /// have been tried for it count as any other.
    pub fn least_rest(&self, _request: &RouteRequest<'_>, _now: Timestamp) -> Option<Duration> {
        None
    }
}
