//! A metadata store that has come back from an older copy.
//!
//! What nodes wrote there since the copy was made is gone, leases too, and revisions are given out again. A node hears of it from
//! whatever answer says it first. What protects stays as it is known: versions of the document and of weights only rise, and
//! requests that were held back stay held. Whoever leads has no certain lease any more and stands down; the next leader waits until
//! the lease of one that has not heard of it is over, and writes again what is held back. What was known under revisions of before
//! is continued by a listing, never by the same number.

use std::time::Duration;

use paddlemount_protocol::{era::StoreEra, time::Timestamp};

use crate::{journal::Event, metrics::Counter, node::Node, quarantine::Change};

/// How long after the store's return a listing may lack what nodes write again.
const SETTLING_TIME: Duration = Duration::from_secs(10);

impl Node {
    /// An answer of the store told its era, where it tells any. One of before is late, and no news.
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
            // Entries that the copy lacks are written again within seconds.
            state.backends.registry.failed();
            state.leader = None;
            state.leader_checked = false;
        }
        self.metrics.count(Counter::StoreRestores);
        let revision = known.map(|known| known.number());
        self.journal.log(&Event::StoreRestored { era: era.0, before: before.0, revision });
        self.order_ended.notify_one();
    }

    /// Whether the store came back from a copy a short while ago.
    pub(crate) fn is_restored_lately(&self) -> bool {
        let settling = |at: Timestamp| self.now().saturating_since(at) < SETTLING_TIME;
        self.restored_at.get().is_some_and(settling)
    }

    /// Writes again what is held back, where a copy of the store may lack it. What is there already stays as it is.
    pub(crate) fn rewrite_holds(&self) {
        let held: Vec<_> = self.state.borrow().held.values().cloned().collect();
        held.into_iter().for_each(|request| self.change(Change::Hold(request)));
    }
}
