//! What has lately changed in the metadata store, remembered for the nodes below.
//!
//! Each node knows all of the store up to a revision. It remembers which subjects have changed at which revision, not how:
//! a node below that knows all up to some revision is told the present state of the subjects that have changed since. So
//! many changes of one subject cost as much as one, and a listing of the whole store is told as what it changed. Where the
//! log does not reach back far enough, a snapshot of all is asked for.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{
    identity::{ModelId, Revision},
    quarantine::RequestFingerprint,
    time::Timestamp,
};

use super::backends::BackendId;

/// Changes that are remembered. Where the back ends of a large pool are replaced some two hundred a second change, so that
/// these reach back 20 s: a node that has been told nothing for so long takes a snapshot. Each takes some 40 bytes.
const MAX_CHANGES: usize = 4_096;

/// What a fact of the store is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKey {
    /// The operator's document.
    Document,
    /// The number of nodes, as a root has recorded it.
    FleetSize,
    /// Who leads.
    Leader,
    /// The named version of a model's weights.
    TargetWeights(ModelId),
    /// A request that is held back, or is no longer.
    Quarantined(RequestFingerprint),
    /// A back end.
    Backend(BackendId),
}

/// The moment that a relayed proof counts from, on the reader's clock: when the reader's report was sent, less the age
/// that the proof had at the other node when it answered. The answer was written later than the report was sent, so
/// that the moment is never too late, however long either was under way.
pub fn relayed_proof_time(report_sent_at: Timestamp, age: Duration) -> Timestamp {
    report_sent_at - age
}

/// Whether what was passed on for a reader that knew `reported` may be taken in where it now knows `known`. Where the
/// store has told it something meanwhile, what was passed on may be older.
pub fn is_still_applicable(reported: Option<Revision>, known: Option<Revision>) -> bool {
    reported.is_some() && reported == known
}

/// Whether a snapshot of revision `offered` is taken in where `known` is known. An older one takes back what is known, also
/// where the store has forgotten what followed that: a node that was cut off from the store once gave such a one.
pub fn is_newer(offered: Revision, known: Option<Revision>) -> bool {
    known.is_none_or(|known| known < offered)
}

/// The subjects that have changed, in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChangeLog {
    changes: VecDeque<(Revision, EntryKey)>,
    /// The revision from which on all changes are remembered; none before all is known for the first time.
    complete_from: Option<Revision>,
}

impl ChangeLog {
    /// All is known up to `revision` for the first time; what changed before is not.
    pub fn reset(&mut self, revision: Revision) {
        self.changes.clear();
        self.complete_from = Some(revision);
    }

    /// A subject has changed, at `revision` at the latest. Revisions never fall.
    pub fn record(&mut self, key: EntryKey, revision: Revision) {
        self.changes.push_back((revision, key));
        if self.changes.len() > MAX_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.complete_from = self.complete_from.max(Some(dropped));
        }
    }

    /// The subjects that have changed between `known` and `newest`; nothing where not all of them are remembered.
    pub fn since(&self, known: Revision, newest: Revision) -> Option<BTreeSet<&EntryKey>> {
        if known == newest {
            return Some(BTreeSet::new());
        }
        let reaches = self.complete_from.is_some_and(|from| from <= known);
        if !reaches || known > newest {
            return None;
        }
        let newer = self.changes.iter().rev().take_while(|(revision, _)| *revision > known);
        Some(newer.map(|(_, key)| key).collect())
    }
}
