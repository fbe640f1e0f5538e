//! Handles a metadata store that was restored from a backup.
//!
//! The restore loses everything written since the backup, including leases, and revisions are assigned
//! again. A node detects it by the era in any answer. Protective state is kept: versions of the document and
//! of weights only increase, and quarantined requests stay quarantined. The leader's lease is no longer
//! certain, so it stands down; the next leader waits until the lease of a leader that has not noticed the
//! restore is over, and writes the quarantined requests again. Knowledge of an older era is continued by a
//! listing, never by the same revision number.

use std::time::Duration;

use paddlemount_protocol::{era::StoreEra, time::Timestamp};

use crate::{journal::Event, metrics::Counter, node::Node, quarantine::Change};

/// How long after a restore a listing may lack entries that nodes are writing again.
const SETTLING_TIME: Duration = Duration::from_secs(10);

impl Node {
    /// Handles the era in an answer of the store. An older era belongs to a delayed answer and is ignored.
    pub(crate) fn observe_era(&self, era: Option<StoreEra>) {
        let Some(era) = era else { return };
        let known = self.state.borrow().revision;
        let before = self.store_era.get().or(known.map(|known| known.era()));
        if before.is_some_and(|before| era <= before) {
            return;
        }
        self.store_era.set(Some(era));
        let Some(before) = before else { return };
        let now = self.now();
        self.restored_at.set(Some(now));
        {
            let mut state = self.state.borrow_mut();
            // Entries that the backup lacks are written again within seconds.
            state.backends.registry.failed();
            state.leader = None;
            state.leader_checked = false;
        }
        self.metrics.count(Counter::StoreRestores);
        let revision = known.map(|known| known.number());
        self.journal.log(&Event::StoreRestored { era: era.0, before: before.0, revision });
        self.order_ended.notify_one();
    }

    /// Whether the store was restored recently.
    pub(crate) fn was_restored_recently(&self) -> bool {
        let settling = |at: Timestamp| self.now().saturating_since(at) < SETTLING_TIME;
        self.restored_at.get().is_some_and(settling)
    }

    /// Writes all quarantined requests again, which a restored store may lack. Existing ones stay unchanged.
    pub(crate) fn rewrite_quarantine(&self) {
        let requests: Vec<_> = self.state.borrow().quarantined_requests.values().cloned().collect();
        requests.into_iter().for_each(|request| self.change(Change::Quarantine(request)));
    }
}
