//! Which lives of engines are known to have ended.

use std::collections::BTreeMap;

use paddlemount_protocol::identity::{EngineId, Incarnation};
use serde::Serialize;

/// The latest known life of each engine. Cached state that an earlier life computed is not used.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LatestIncarnations {
    latest: BTreeMap<EngineId, Life>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Life {
    incarnation: Incarnation,
    ended: bool,
}

impl LatestIncarnations {
    /// Notes that a life exists or existed; earlier lives of the engine have then ended.
    pub fn observe(&mut self, engine: &EngineId, incarnation: Incarnation) {
        self.raise(engine, Life { incarnation, ended: false });
    }

    /// Notes that a life, and all before it, have ended.
    pub fn end(&mut self, engine: &EngineId, incarnation: Incarnation) {
        self.raise(engine, Life { incarnation, ended: true });
    }

    fn raise(&mut self, engine: &EngineId, life: Life) {
        let latest = self.latest.entry(engine.clone()).or_insert(life);
        if latest.incarnation < life.incarnation {
            *latest = life;
        } else if latest.incarnation == life.incarnation {
            latest.ended |= life.ended;
        }
    }

    /// Whether a life is not known to have ended.
    pub fn is_live(&self, engine: &EngineId, incarnation: Incarnation) -> bool {
        self.latest.get(engine).is_none_or(|latest| {
            incarnation > latest.incarnation || (incarnation == latest.incarnation && !latest.ended)
        })
    }

    /// As [`Self::is_live`]; a life that is accepted is noted as well.
    pub fn accepts(&mut self, engine: &EngineId, incarnation: Incarnation) -> bool {
        let live = self.is_live(engine, incarnation);
        if live {
            self.observe(engine, incarnation);
        }
        live
    }
}
