//! Recent changes of the metadata store, recorded for the child nodes.
//!
//! Each node knows the complete store up to a revision. The log records which entries changed at which
//! revision, not their contents: a child that knows an earlier revision receives the current state of the
//! entries that have changed since, so that several changes of one entry cost as much as one. A child that is
//! behind the start of the log requests a snapshot.

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

/// The maximum number of changes in the log. Replacing the back ends of a large pool causes about two hundred
/// changes a second, so the log covers 20 s of it; a node that was told nothing for longer takes a snapshot. A change
/// takes about 40 bytes.
const MAX_CHANGES: usize = 4_096;

/// The key of an entry in the metadata store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKey {
    /// The operator's document.
    Document,
    /// The number of nodes, as recorded by a root.
    FleetSize,
    Leader,
    /// The target version of a model's weights.
    TargetWeights(ModelId),
    /// A request that is quarantined, or was.
    Quarantined(RequestFingerprint),
    Backend(BackendId),
}

/// The time from which a relayed proof counts, on the receiver's clock: the time at which the receiver sent
/// its report, minus the age of the proof at the sender when it answered. The answer is written after the
/// report is sent, so the result is never too late, whatever the latency in either direction.
pub fn relayed_proof_time(report_sent_at: Timestamp, age: Duration) -> Timestamp {
    report_sent_at - age
}

/// Whether an update relayed for a receiver that had reported revision `reported` may still be applied now
/// that it knows `known`. If the store itself has sent something meanwhile, the relayed update may be older.
pub fn is_still_applicable(reported: Option<Revision>, known: Option<Revision>) -> bool {
    reported.is_some() && reported == known
}

/// Whether a snapshot of revision `offered` may be applied where `known` is known. An older one, such as that
/// of a node that is cut off from the store, would revert known entries.
pub fn is_newer(offered: Revision, known: Option<Revision>) -> bool {
    known.is_none_or(|known| known < offered)
}

/// The entries that have changed, ordered by revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChangeLog {
    changes: VecDeque<(Revision, EntryKey)>,
    /// The revision from which on the log is complete; `None` before the first complete listing.
    complete_from: Option<Revision>,
}

impl ChangeLog {
    /// Starts an empty log at `revision`, the first one that is known completely.
    pub fn reset(&mut self, revision: Revision) {
        self.changes.clear();
        self.complete_from = Some(revision);
    }

    /// Records that an entry changed at `revision` at the latest. Revisions never decrease.
    pub fn record(&mut self, key: EntryKey, revision: Revision) {
        self.changes.push_back((revision, key));
        if self.changes.len() > MAX_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.complete_from = self.complete_from.max(Some(dropped));
        }
    }

    /// The entries that have changed after `known` up to `newest`; `None` if the log is not complete for that
    /// range.
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
