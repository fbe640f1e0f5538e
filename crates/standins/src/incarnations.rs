//! Tracks the latest incarnation of each engine, and whether it has ended.

use std::collections::BTreeMap;

use paddlemount_protocol::identity::{EngineId, Incarnation};
use serde::Serialize;

/// The latest known incarnation of each engine. Cached state computed by an earlier one is not used.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LatestIncarnations {
    latest: BTreeMap<EngineId, IncarnationState>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct IncarnationState {
    incarnation: Incarnation,
    ended: bool,
}

impl LatestIncarnations {
    /// Records that an incarnation exists or existed, which implies that earlier ones have ended.
    pub fn observe(&mut self, engine: &EngineId, incarnation: Incarnation) {
        self.advance(engine, IncarnationState { incarnation, ended: false });
    }

    /// Records that an incarnation and all earlier ones have ended.
    pub fn end(&mut self, engine: &EngineId, incarnation: Incarnation) {
        self.advance(engine, IncarnationState { incarnation, ended: true });
    }

    fn advance(&mut self, engine: &EngineId, state: IncarnationState) {
        let latest = self.latest.entry(engine.clone()).or_insert(state);
        if latest.incarnation < state.incarnation {
            *latest = state;
        } else if latest.incarnation == state.incarnation {
            latest.ended |= state.ended;
        }
    }

    /// Returns whether an incarnation is not known to have ended.
    pub fn is_live(&self, engine: &EngineId, incarnation: Incarnation) -> bool {
        self.latest.get(engine).is_none_or(|latest| {
            incarnation > latest.incarnation || (incarnation == latest.incarnation && !latest.ended)
        })
    }

    /// Like [`Self::is_live`], but also records an incarnation that is accepted.
    pub fn accepts(&mut self, engine: &EngineId, incarnation: Incarnation) -> bool {
        let live = self.is_live(engine, incarnation);
        if live {
            self.observe(engine, incarnation);
        }
        live
    }
}
