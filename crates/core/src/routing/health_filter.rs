//! Leaves engines out of choices that have failed lately, and lets returning ones in slowly.

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
    /// The health of engines as this node has experienced it.
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Draws from an event what it says about an engine's health; called before the event's other effects.
    pub(super) fn learn_health(&mut self, event: &RouterEvent<'_>, now: Timestamp) {
        match event {
            RouterEvent::Status(status) => {
                let seen = HealthEvent::Observed { pool: &status.pool, incarnation: status.incarnation };
                self.health.apply(&status.engine, seen, now);
            }
            RouterEvent::Dispatched { engine, .. } => self.health.apply(engine, HealthEvent::Dispatched, now),
            RouterEvent::FirstToken { attempt } => {
                self.learn_attempt_health(attempt, HealthEvent::Succeeded, now);
            }
            RouterEvent::Ended { attempt, ending } => {
                let health = match ending {
                    AttemptEnding::Completed => HealthEvent::Succeeded,
                    AttemptEnding::Failed => HealthEvent::Failed,
                    AttemptEnding::Refused | AttemptEnding::Cancelled => HealthEvent::Inconclusive,
                };
                self.learn_attempt_health(attempt, health, now);
            }
            RouterEvent::Removed { engine } => self.health.apply(engine, HealthEvent::Removed, now),
            _ => {}
        }
    }

    fn learn_attempt_health(&mut self, attempt: &AttemptId, event: HealthEvent<'_>, now: Timestamp) {
        let Some(slot) = self.attempts.get_mut(attempt).map(|attempt| attempt.slot) else { return };
        let Some(view) = self.engines.get(slot) else { return };
        self.health.apply(&view.status.engine, event, now);
    }

    /// Leaves out candidates that health does not admit. Where it admits none, all stay: a try may yet succeed.
    pub(super) fn keep_healthy(
        &self,
        request: &RouteRequest<'_>,
        weighed: Vec<(Candidate, Slot)>,
        now: Timestamp,
    ) -> Vec<(Candidate, Slot)> {
        if !self.settings.mechanisms.health {
            return weighed;
        }
        let admits = |candidate: &Candidate| {
            let draw = draw(request, &candidate.engine);
            self.health.availability(&candidate.engine, draw, now).admits()
        };
        if weighed.iter().any(|(candidate, _)| admits(candidate)) {
            weighed.into_iter().filter(|(candidate, _)| admits(candidate)).collect()
        } else {
            weighed
        }
    }
}

/// A number from 0.0 to 1.0 that is fixed by request and engine.
fn draw(request: &RouteRequest<'_>, engine: &EngineId) -> f64 {
    let seed = xxh3_64_with_seed(engine.as_str().as_bytes(), 0);
    xxh3_64_with_seed(request.request.as_str().as_bytes(), seed) as f64 / u64::MAX as f64
}
