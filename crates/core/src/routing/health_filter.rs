//! Health-based filtering of candidates: failing engines are excluded, returning ones get a rising share.

use paddlemount_protocol::{
    identity::{AttemptId, EngineId},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Router,
    types::{AttemptEnding, Candidate, RouteRequest, RouterEvent},
};
use crate::{
    cache_index::Slot,
    health::{Health, HealthEvent},
};

impl Router {
    /// The health of engines as observed by this node.
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Updates engine health from a router event. Must run before the event's other effects.
    pub(super) fn observe_health(&mut self, event: &RouterEvent<'_>, now: Timestamp) {
        match event {
            RouterEvent::Status(status) => {
                let observed = HealthEvent::Observed { pool: &status.pool, incarnation: status.incarnation };
                self.health.apply(&status.engine, observed, now);
            }
            RouterEvent::Dispatched { engine, .. } => self.health.apply(engine, HealthEvent::Dispatched, now),
            RouterEvent::FirstToken { attempt } => {
                self.observe_attempt_health(attempt, HealthEvent::Succeeded, now);
            }
            RouterEvent::Ended { attempt, ending } => {
                let health = match ending {
                    AttemptEnding::Completed => HealthEvent::Succeeded,
                    AttemptEnding::Failed => HealthEvent::Failed,
                    AttemptEnding::Refused | AttemptEnding::Cancelled => HealthEvent::Inconclusive,
                };
                self.observe_attempt_health(attempt, health, now);
            }
            RouterEvent::Removed { engine } => self.health.apply(engine, HealthEvent::Removed, now),
            _ => {}
        }
    }

    fn observe_attempt_health(&mut self, attempt: &AttemptId, event: HealthEvent<'_>, now: Timestamp) {
        let Some(slot) = self.attempts.get_mut(attempt).map(|attempt| attempt.slot) else { return };
        let Some(view) = self.engines.get(slot) else { return };
        self.health.apply(&view.status.engine, event, now);
    }

    /// Removes candidates that health does not admit, unless it admits none.
    pub(super) fn retain_admitted(
        &self,
        request: &RouteRequest<'_>,
        scored: Vec<(Candidate, Slot)>,
        now: Timestamp,
    ) -> Vec<(Candidate, Slot)> {
        if !self.settings.mechanisms.health {
            return scored;
        }
        let admits = |candidate: &Candidate| {
            let draw = draw(request, &candidate.engine);
            self.health.availability(&candidate.engine, draw, now).admits()
        };
        if scored.iter().any(|(candidate, _)| admits(candidate)) {
            scored.into_iter().filter(|(candidate, _)| admits(candidate)).collect()
        } else {
            scored
        }
    }
}

/// A number from 0.0 to 1.0 derived from request and engine.
fn draw(request: &RouteRequest<'_>, engine: &EngineId) -> f64 {
    let seed = xxh3_64_with_seed(engine.as_str().as_bytes(), 0);
    xxh3_64_with_seed(request.request.as_str().as_bytes(), seed) as f64 / u64::MAX as f64
}
