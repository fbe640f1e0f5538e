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

use crate::{beliefs::Beliefs, journal::Event, node::Node};

impl Node {
    pub(crate) fn learn_backend(&self, entry: BackendEntry, revision: Revision, heard: EntrySource) {
        let mut beliefs = self.beliefs.borrow_mut();
        let id = entry.id.clone();
        let AppliedEntry { change, replaced } = beliefs.backends.apply_entry(entry, heard);
        if change == EntryChange::Restarted {
            // The process that was known has ended, with its connections and all that it kept.
            beliefs.forget(&id);
            self.pool.borrow_mut().close(&id);
        }
        self.note_seen(&mut beliefs, &id);
        self.note_reopened(&mut beliefs);
        for replacement in &replaced {
            self.leave_replaced(&mut beliefs, replacement, "entry");
        }
        self.tell_backend(&beliefs, &id, change, revision);
    }

    /// The answer to a try named another back end in place of the one that was chosen.
    pub fn misdirected(&self, choice: &Choice, by: &BackendId) {
        let mut beliefs = self.beliefs.borrow_mut();
        if beliefs.backends.observe_misdirected(&choice.backend, choice.address, by) {
            let replacement = Replacement { backend: choice.backend.clone(), by: by.clone() };
            self.leave_replaced(&mut beliefs, &replacement, "answer");
        }
        // It may have been taken to be replaced itself.
        self.note_seen(&mut beliefs, by);
        self.note_reopened(&mut beliefs);
    }

    /// Follows the health of back ends again that have their address back.
    pub(crate) fn note_reopened(&self, beliefs: &mut Beliefs) {
        for id in beliefs.backends.take_reactivated() {
            self.note_seen(beliefs, &id);
        }
    }

    /// Follows the health of a back end from now on. Those that were replaced count for no share of their pool.
    fn note_seen(&self, beliefs: &mut Beliefs, id: &BackendId) {
        let Some(known) = beliefs.backends.get(id) else { return };
        if known.state != BackendState::Replaced {
            let pool = PoolId::from(known.entry.service.as_str());
            let seen = HealthEvent::Observed { pool: &pool, incarnation: Incarnation(1) };
            beliefs.health.apply(id, seen, self.now());
        }
    }

    /// Lets go of a back end whose address another process has.
    fn leave_replaced(&self, beliefs: &mut Beliefs, replacement: &Replacement, shown_by: &'static str) {
        beliefs.forget(&replacement.backend);
        self.pool.borrow_mut().close(&replacement.backend);
        self.journal.tell(&Event::BackendReplaced {
            backend: replacement.backend.as_str(),
            by: replacement.by.as_str(),
            shown_by,
        });
    }

    /// The registry holds no entry of a back end any more.
    pub fn lose_backend(&self, id: &BackendId, revision: Revision) {
        let now = self.now();
        let mut beliefs = self.beliefs.borrow_mut();
        let service = beliefs.backends.get(id).map(|backend| backend.entry.service.clone());
        let change = beliefs.backends.remove(id, now);
        self.note_reopened(&mut beliefs);
        if let (EntryChange::Removed, Some(service)) = (change, service) {
            beliefs.forget(id);
            self.pool.borrow_mut().close(id);
            let event = Event::BackendChanged {
                backend: id.as_str(),
                service: service.as_str(),
                change: "removed",
                weights: None,
                revision: revision.0,
            };
            self.journal.tell(&event);
        } else {
            self.tell_backend(&beliefs, id, change, revision);
        }
    }

    fn tell_backend(&self, beliefs: &Beliefs, id: &BackendId, change: EntryChange, revision: Revision) {
        let change = match change {
            EntryChange::Appeared => "appeared",
            EntryChange::Leaving => "leaving",
            EntryChange::Updated => "updated",
            EntryChange::Suspect => "doubted",
            EntryChange::Restarted => "started_again",
            EntryChange::Removed | EntryChange::None => return,
        };
        // What only adds to a back end is told by the nodes that ask the store for others: hundreds would tell the same.
        if matches!(change, "appeared" | "updated") && self.is_told_by_others() {
            return;
        }
        let Some(backend) = beliefs.backends.get(id) else { return };
        self.journal.tell(&Event::BackendChanged {
            backend: id.as_str(),
            service: backend.entry.service.as_str(),
            change,
            weights: backend.entry.weights.values().next().map(|version| version.0),
            revision: revision.0,
        });
    }

    /// An answer, a report or a refusal showed the version that a back end runs on.
    pub fn saw_weights(&self, id: &BackendId, model: &ModelId, version: WeightsVersion) {
        // What is believed of its cache stays: the scope of cached parts names the version, so that nothing of the older
        // one is asked for, and what other nodes have told of the newer one may have come first.
        self.beliefs.borrow_mut().backends.observe_weights(id, model, version);
    }
}
