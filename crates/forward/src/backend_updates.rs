//! What a node takes in of back ends: entries, what answers show, and addresses that others have.

use paddlemount_core::{
    forwarding::{
        backends::{BackendEntry, BackendId, BackendState, EntryChange},
        choice::Choice,
        replacement::{AppliedEntry, EntrySource, Replacement},
    },
    health::HealthEvent,
};
use paddlemount_protocol::identity::{Incarnation, ModelId, PoolId, Revision, WeightsVersion};

use crate::{journal::Event, node::Node, node_state::NodeState};

impl Node {
    pub(crate) fn apply_backend(&self, entry: BackendEntry, revision: Revision, source: EntrySource) {
        let mut state = self.state.borrow_mut();
        let id = entry.id.clone();
        let AppliedEntry { change, replaced } = state.backends.apply_entry(entry, source);
        if change == EntryChange::Restarted {
            // The process that was known has ended, with its connections and all that it kept.
            state.forget(&id);
            self.pool.borrow_mut().close(&id);
        }
        self.track_health(&mut state, &id);
        self.track_reactivated(&mut state);
        for replacement in &replaced {
            self.drop_replaced(&mut state, replacement, "entry");
        }
        self.log_backend(&state, &id, change, revision);
    }

    /// The answer to a try named another back end in place of the one that was chosen.
    pub fn misdirected(&self, choice: &Choice, by: &BackendId) {
        let mut state = self.state.borrow_mut();
        if state.backends.observe_misdirected(&choice.backend, choice.address, by) {
            let replacement = Replacement { backend: choice.backend.clone(), by: by.clone() };
            self.drop_replaced(&mut state, &replacement, "answer");
        }
        // It may have been taken to be replaced itself.
        self.track_health(&mut state, by);
        self.track_reactivated(&mut state);
    }

    /// Follows the health of back ends again that have their address back.
    pub(crate) fn track_reactivated(&self, state: &mut NodeState) {
        for id in state.backends.take_reactivated() {
            self.track_health(state, &id);
        }
    }

    /// Follows the health of a back end from now on. Those that were replaced count for no share of their pool.
    fn track_health(&self, state: &mut NodeState, id: &BackendId) {
        let Some(known) = state.backends.get(id) else { return };
        if known.state != BackendState::Replaced {
            let pool = PoolId::from(known.entry.service.as_str());
            let seen = HealthEvent::Observed { pool: &pool, incarnation: Incarnation(1) };
            state.health.apply(id, seen, self.now());
        }
    }

    /// Lets go of a back end whose address another process has.
    fn drop_replaced(&self, state: &mut NodeState, replacement: &Replacement, shown_by: &'static str) {
        state.forget(&replacement.backend);
        self.pool.borrow_mut().close(&replacement.backend);
        self.journal.log(&Event::BackendReplaced {
            backend: replacement.backend.as_str(),
            by: replacement.by.as_str(),
            shown_by,
        });
    }

    /// The registry holds no entry of a back end any more.
    pub fn remove_backend(&self, id: &BackendId, revision: Revision) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let service = state.backends.get(id).map(|backend| backend.entry.service.clone());
        let change = state.backends.remove(id, now);
        self.track_reactivated(&mut state);
        if let (EntryChange::Removed, Some(service)) = (change, service) {
            state.forget(id);
            self.pool.borrow_mut().close(id);
            let event = Event::BackendChanged {
                backend: id.as_str(),
                service: service.as_str(),
                change: "removed",
                weights: None,
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
        // What only adds to a back end is told by the nodes that ask the store for others: hundreds would tell the same.
        if matches!(change, "appeared" | "updated") && self.receives_relays() {
            return;
        }
        let Some(backend) = state.backends.get(id) else { return };
        self.journal.log(&Event::BackendChanged {
            backend: id.as_str(),
            service: backend.entry.service.as_str(),
            change,
            weights: backend.entry.weights.values().next().map(|version| version.0),
            revision: revision.0,
        });
    }

    /// An answer, a report or a refusal showed the version that a back end runs on.
    pub fn observe_weights(&self, id: &BackendId, model: &ModelId, version: WeightsVersion) {
        // What is believed of its cache stays: the scope of cached parts names the version, so that nothing of the older
        // one is asked for, and what other nodes have told of the newer one may have come first.
        self.state.borrow_mut().backends.observe_weights(id, model, version);
    }
}
