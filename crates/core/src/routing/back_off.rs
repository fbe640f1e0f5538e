//! What engines say of themselves when they refuse: for how long they want nothing, and that they take no work.
//!
//! It holds for every request of this node, in every choice, until the rest is over, a later account of the engine says that it
//! takes work, or its next life begins: the engine knows best, and an account that was measured before is older.

use std::time::Duration;

use paddlemount_protocol::{
    engine::EngineRefusal, identity::EngineId, refusal::RefusalCode, time::Timestamp,
};

use super::{Router, engines::EngineView, types::RouteRequest};
use crate::back_off::MAX_BACK_OFF;

impl EngineView {
    /// Takes in a refusal of this life. Whether the engine takes no work from now on.
    fn refused(&mut self, refusal: &EngineRefusal, now: Timestamp) -> bool {
        if refusal.incarnation != self.status.incarnation {
            return false;
        }
        let of_requests = matches!(refusal.code, RefusalCode::Overloaded | RefusalCode::Unavailable);
        let asked = refusal.retry_after_ms.filter(|_| of_requests).map(Duration::from_millis);
        if let Some(asked) = asked {
            // A shorter time may be the answer to an earlier request, and ends nothing.
            self.backed_off_until = self.backed_off_until.max(now + asked.min(MAX_BACK_OFF));
        }
        let is_news = refusal.code == RefusalCode::Draining && self.refused_after.is_none();
        if is_news {
            self.refused_after = Some(self.status.load.measured_at);
        }
        is_news
    }

    /// Whether the engine wants no requests now.
    pub(super) fn rests(&self, now: Timestamp) -> bool {
        now < self.backed_off_until
    }
}

impl Router {
    /// An engine refused a try.
    pub(super) fn apply_refused(&mut self, engine: &EngineId, refusal: &EngineRefusal, now: Timestamp) {
        let view = self.engines.by_id_mut(engine).map(|(_, view)| view);
        if view.is_some_and(|view| view.refused(refusal, now)) {
            self.engines.index_pools();
        }
    }

    /// For how long an engine still wants no requests from this node.
    pub fn remaining_back_off(&self, engine: &EngineId, now: Timestamp) -> Option<Duration> {
        let view = self.engines.slot(engine).and_then(|slot| self.engines.get(slot))?;
        view.rests(now).then(|| view.backed_off_until.saturating_since(now))
    }

    /// How long it takes until the first engine may be sent `request` that could serve it, where all of them rest; engines that
    /// have been tried for it count as any other.
    pub fn min_back_off(&self, request: &RouteRequest<'_>, now: Timestamp) -> Option<Duration> {
        let members = self.engines.members(request.pool).iter();
        let could = members.filter_map(|(slot, _)| self.engines.get(*slot)).filter(|view| view.has(request));
        let mut least: Option<Timestamp> = None;
        for view in could {
            if !view.rests(now) {
                return None;
            }
            least = Some(least.map_or(view.backed_off_until, |least| least.min(view.backed_off_until)));
        }
        least.map(|until| until.saturating_since(now))
    }
}
