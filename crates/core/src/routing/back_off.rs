//! Back-off times and draining state that engines report in refusals.
//!
//! A refusal applies to every request of this node until the back-off time is over, a status that was
//! measured later shows that the engine accepts work, or the engine's next incarnation starts.

use std::time::Duration;

use paddlemount_protocol::{
    engine::EngineRefusal, identity::EngineId, refusal::RefusalCode, time::Timestamp,
};

use super::{Router, engines::EngineView, types::RouteRequest};
use crate::back_off::MAX_BACK_OFF;

impl EngineView {
    /// Applies a refusal by the current incarnation. Returns whether the engine stops accepting work with it.
    fn refused(&mut self, refusal: &EngineRefusal, now: Timestamp) -> bool {
        if refusal.incarnation != self.status.incarnation {
            return false;
        }
        let limits_requests = matches!(refusal.code, RefusalCode::Overloaded | RefusalCode::Unavailable);
        let requested = refusal.retry_after_ms.filter(|_| limits_requests).map(Duration::from_millis);
        if let Some(requested) = requested {
            // A shorter time may answer an earlier request and must not cut the back-off short.
            self.backed_off_until = self.backed_off_until.max(now + requested.min(MAX_BACK_OFF));
        }
        let starts_draining = refusal.code == RefusalCode::Draining && self.drained_as_of.is_none();
        if starts_draining {
            self.drained_as_of = Some(self.status.load.measured_at);
        }
        starts_draining
    }

    /// Whether the engine is within its back-off time.
    pub(super) fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backed_off_until
    }
}

impl Router {
    /// Applies an engine's refusal of an attempt.
    pub(super) fn apply_refused(&mut self, engine: &EngineId, refusal: &EngineRefusal, now: Timestamp) {
        let view = self.engines.by_id_mut(engine).map(|(_, view)| view);
        if view.is_some_and(|view| view.refused(refusal, now)) {
            self.engines.index_pools();
        }
    }

    /// Returns the remaining back-off time of an engine, or `None` if it has none.
    pub fn remaining_back_off(&self, engine: &EngineId, now: Timestamp) -> Option<Duration> {
        let view = self.engines.slot(engine).and_then(|slot| self.engines.get(slot))?;
        view.is_backing_off(now).then(|| view.backed_off_until.saturating_since(now))
    }

    /// Returns the shortest remaining back-off time among the engines that could serve `request`, or `None`
    /// unless all of them are backing off. Engines excluded after earlier attempts count as well.
    pub fn min_back_off(&self, request: &RouteRequest<'_>, now: Timestamp) -> Option<Duration> {
        let members = self.engines.members(request.pool).iter();
        let candidates =
            members.filter_map(|(slot, _)| self.engines.get(*slot)).filter(|view| view.can_serve(request));
        let mut min: Option<Timestamp> = None;
        for view in candidates {
            if !view.is_backing_off(now) {
                return None;
            }
            min = Some(min.map_or(view.backed_off_until, |min| min.min(view.backed_off_until)));
        }
        min.map(|until| until.saturating_since(now))
    }
}
