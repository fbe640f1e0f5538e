//! What the baseline policies know of engines: the last status of each, and the node's own requests.

use std::collections::BTreeMap;

use paddlemount_core::routing::{RouteRequest, RouterEvent};
use paddlemount_protocol::{
    engine::{EngineStatus, LoadReport, Precondition},
    identity::{AttemptId, EngineId},
    time::Timestamp,
};

/// An engine as a baseline policy sees it.
pub struct EngineState {
    status: EngineStatus,
    draining: bool,
    sent_at: BTreeMap<AttemptId, Timestamp>,
}

impl EngineState {
    /// Its name.
    pub const fn engine(&self) -> &EngineId {
        &self.status.engine
    }

    /// Requests at the engine by its last report, plus those that this node sent since.
    pub fn requests(&self) -> u32 {
        let report = &self.status.load;
        let since = self.sent_at.values().filter(|sent| **sent > report.measured_at).count();
        report.running + report.waiting + since as u32
    }

    /// The precondition for a request to this engine.
    pub fn precondition(&self, request: &RouteRequest<'_>) -> Precondition {
        Precondition {
            engine: self.status.engine.clone(),
            incarnation: self.status.incarnation,
            model: request.model.clone(),
            weights: request.weights,
            adapter: request.adapter.cloned(),
        }
    }

    fn serves(&self, request: &RouteRequest<'_>) -> bool {
        let status = &self.status;
        let Some(loaded) = &status.loaded else { return false };
        !self.draining
            && !status.draining
            && status.pool == *request.pool
            && loaded.model == *request.model
            && loaded.weights == request.weights
            && !request.excluded.contains(&status.engine)
    }

    fn update_load(&mut self, report: LoadReport) {
        if report.measured_at >= self.status.load.measured_at {
            self.status.load = report;
        }
    }
}

/// All engines that a node knows.
#[derive(Default)]
pub struct EngineTable {
    engines: BTreeMap<EngineId, EngineState>,
}

impl EngineTable {
    /// Applies an event; cache contents are ignored.
    pub fn observe(&mut self, event: &RouterEvent<'_>, now: Timestamp) {
        match event {
            RouterEvent::Status(status) => self.update_status(status),
            RouterEvent::Load { engine, report } => {
                self.with(engine, |engine_state| engine_state.update_load(*report))
            }
            RouterEvent::Dispatched { attempt, engine, .. } => self.with(engine, |engine_state| {
                engine_state.sent_at.insert((*attempt).clone(), now);
            }),
            RouterEvent::Ended { attempt, .. } => {
                for engine_state in self.engines.values_mut() {
                    engine_state.sent_at.remove(*attempt);
                }
            }
            RouterEvent::Draining { engine, draining } => {
                self.with(engine, |engine_state| engine_state.draining = *draining);
            }
            RouterEvent::Removed { engine } => {
                self.engines.remove(*engine);
            }
            _ => {}
        }
    }

    /// Engines that can serve a request, ordered by name.
    pub fn serving<'a>(&'a self, request: &'a RouteRequest<'_>) -> impl Iterator<Item = &'a EngineState> {
        self.engines.values().filter(|engine_state| engine_state.serves(request))
    }

    fn update_status(&mut self, status: &EngineStatus) {
        let engine_state = self.engines.entry(status.engine.clone()).or_insert_with(|| EngineState {
            status: status.clone(),
            draining: false,
            sent_at: BTreeMap::new(),
        });
        engine_state.status = status.clone();
    }

    fn with(&mut self, engine: &EngineId, change: impl FnOnce(&mut EngineState)) {
        if let Some(engine_state) = self.engines.get_mut(engine) {
            change(engine_state);
        }
    }
}
