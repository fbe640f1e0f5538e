//! Applies what is observed of back ends: entries, answers, and addresses taken over by others.

use paddlemount_core::{
    forwarding::{
        backends::{BackendEntry, BackendId, BackendState, EntryChange},
        choice::Choice,
        replacement::{AppliedEntry, EntrySource, Replacement},
    },
    health::HealthEvent,
};
use paddlemount_protocol::identity::{
    Incarnation, ModelId, PoolId, Revision, SoftwareVersion, WeightsVersion,
};

use crate::{journal::Event, node::Node, node_state::NodeState};

impl Node {
    pub(crate) fn apply_backend(&self, entry: BackendEntry, revision: Revision, source: EntrySource) {
        let mut state = self.state.borrow_mut();
        let id = entry.id.clone();
        let AppliedEntry { change, replaced } = state.backends.apply_entry(entry, source);
        self.observe_software(&mut state, &id);
        if change == EntryChange::Leaving {
            // It was not leaving yet when the registry was last confirmed.
            let confirmed = self.now() - state.freshness.age(self.now()).unwrap_or_default();
            state.leaving_since.entry(id.clone()).or_insert(confirmed);
        }
        if change == EntryChange::Restarted {
            // The known process has ended, with its connections and its cache.
            state.forget(&id, self.now());
            self.pool.borrow_mut().close(&id);
        }
        self.track_health(&mut state, &id);
        self.track_reactivated(&mut state);
        for replacement in &replaced {
            self.drop_replaced(&mut state, replacement, "entry");
        }
        self.log_backend(&state, &id, change, revision);
    }

    /// Handles an answer that named another back end in place of the chosen one.
    pub fn misdirected(&self, choice: &Choice, by: &BackendId) {
        let mut state = self.state.borrow_mut();
        if state.backends.observe_misdirected(&choice.backend, choice.address, by) {
            let replacement = Replacement { backend: choice.backend.clone(), by: by.clone() };
            self.drop_replaced(&mut state, &replacement, "answer");
        }
        // That back end may have been considered replaced itself.
        self.track_health(&mut state, by);
        self.track_reactivated(&mut state);
    }

    /// Tracks the health of back ends that are in use again after a replacement.
    pub(crate) fn track_reactivated(&self, state: &mut NodeState) {
        for id in state.backends.take_reactivated() {
            self.track_health(state, &id);
        }
    }

    /// Starts to track the health of a back end. Replaced ones do not count as part of their pool.
    fn track_health(&self, state: &mut NodeState, id: &BackendId) {
        let Some(known) = state.backends.get(id) else { return };
        if known.state != BackendState::Replaced {
            let pool = PoolId::from(known.entry.service.as_str());
            let seen = HealthEvent::Observed { pool: &pool, incarnation: Incarnation(1) };
            state.health.apply(id, seen, self.now());
        }
    }

    /// Drops the state of a back end whose address belongs to another process.
    fn drop_replaced(&self, state: &mut NodeState, replacement: &Replacement, shown_by: &'static str) {
        state.forget(&replacement.backend, self.now());
        self.pool.borrow_mut().close(&replacement.backend);
        self.journal.log(&Event::BackendReplaced {
            backend: replacement.backend.as_str(),
            by: replacement.by.as_str(),
            shown_by,
        });
    }

    /// Handles the removal of a back end's entry from the registry.
    pub fn remove_backend(&self, id: &BackendId, revision: Revision) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let service = state.backends.get(id).map(|backend| backend.entry.service.clone());
        self.observe_software(&mut state, id);
        let change = state.backends.remove(id, now);
        self.track_reactivated(&mut state);
        if let (EntryChange::Removed, Some(service)) = (change, service) {
            state.forget(id, now);
            self.pool.borrow_mut().close(id);
            let event = Event::BackendChanged {
                backend: id.as_str(),
                service: service.as_str(),
                change: "removed",
                weights: None,
                software: None,
                revision: revision.0,
            };
            self.journal.log(&event);
        } else {
            self.log_backend(&state, id, change, revision);
        }
    }

    fn log_backend(&self, state: &NodeState, id: &BackendId, change: EntryChange, revision: Revision) {
        let change = match change {
            EntryChange::Appeared => "appeared",
            EntryChange::Leaving => "leaving",
            EntryChange::Updated => "updated",
            EntryChange::Suspect => "doubted",
            EntryChange::Restarted => "started_again",
            EntryChange::Removed | EntryChange::None => return,
        };
        // Additions are logged by the nodes that query the store; hundreds of others would log the same.
        if matches!(change, "appeared" | "updated") && self.receives_relays() {
            return;
        }
        let Some(backend) = state.backends.get(id) else { return };
        self.journal.log(&Event::BackendChanged {
            backend: id.as_str(),
            service: backend.entry.service.as_str(),
            change,
            weights: backend.entry.weights.values().next().map(|version| version.0),
            software: backend.entry.software.as_ref().map(SoftwareVersion::as_str),
            revision: revision.0,
        });
    }

    /// Records the version that a back end runs on, as shown by an answer, a report or a refusal.
    pub fn observe_weights(&self, id: &BackendId, model: &ModelId, version: WeightsVersion) {
        // The recorded cache is kept: its scopes include the version, so older ones are not looked up, and
        // other nodes may already have reported segments of the newer one.
        self.state.borrow_mut().backends.observe_weights(id, model, version);
    }
}
