//! Relaying of the store's state between nodes: a node's state was the latest one at the time of its proof.
//!
//! The store changes at any time. The root watches it; a leaf reports to the root and may also watch the
//! store. Calls and answers are delayed or lost; a pause of a node equals a delay.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_core::forwarding::{
    change_log::{ChangeLog, EntryKey, is_still_applicable, relayed_proof_time},
    freshness::Freshness,
};
use paddlemount_protocol::{identity::Revision, time::Timestamp};

use crate::search::{Specification, Step};

/// A deliberate fault that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    None,
    /// The proof's age counts from the arrival of the digest.
    CountsFromArrival,
    /// A digest is applied even if the node's revision has changed since its report.
    AppliesAnyDigest,
    /// The age of a snapshot counts from its arrival.
    SnapshotCountsFromArrival,
}

/// The bounds of the search, and the fault.
#[derive(Clone, Copy, Debug)]
pub struct RelaySpecification {
    pub fault: RelayFault,
    /// The last second of the model's clock.
    pub last_second: u64,
    /// The maximum number of changes in the store.
    pub changes: usize,
    /// The maximum number of restarts of the leaf, which then has no state until it receives a snapshot.
    pub restarts: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    revision: Revision,
    freshness: Freshness,
    watching: Option<Watch>,
}

/// A call to the store, and its answer once available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Watch {
    sent_at: u64,
    after: Revision,
    answer: Option<Revision>,
}

/// A report in flight to the root.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Report {
    sent_at: u64,
    /// The sender's revision; `None` requests a snapshot.
    known: Option<Revision>,
}

/// A digest in flight to the leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Digest {
    report: Report,
    age_seconds: u64,
    up_to: Revision,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayState {
    second: u64,
    /// The second of each change in the store.
    changed_at: Vec<u64>,
    root: Node,
    leaf: Node,
    log: ChangeLog,
    restarts: usize,
    reports: BTreeSet<Report>,
    digests: BTreeSet<Digest>,
}

const FIRST: Revision = Revision(1);
/// The revision of a node without state.
const UNKNOWN: Revision = Revision(0);
/// The maximum number of reports and digests in flight.
const MAX_IN_FLIGHT: usize = 2;

fn at(second: u64) -> Timestamp {
    Timestamp::from_millis(1_000 * (second + 100))
}

impl RelayState {
    fn latest(&self) -> Revision {
        Revision(FIRST.0 + self.changed_at.len() as u64)
    }

    /// Whether a node's revision was the latest one at the time of its proof.
    fn is_proved(&self, node: &Node) -> bool {
        // A node without a proof does not serve requests.
        let Some(age) = node.freshness.age(at(self.second)) else { return true };
        let next_change = self.changed_at.get((node.revision.0 - FIRST.0) as usize);
        let Some(changed_at) = next_change else { return true };
        at(self.second).saturating_since(at(*changed_at)) <= age
    }

    fn watch(&self, name: &'static str, node: impl Fn(&mut Self) -> &mut Node) -> Vec<Step<Self>> {
        let mut next = self.clone();
        let (second, latest) = (self.second, self.latest());
        let watcher = node(&mut next);
        let label = match watcher.watching {
            None => {
                watcher.watching = Some(Watch { sent_at: second, after: watcher.revision, answer: None });
                format!("the {name} calls the store")
            }
            Some(Watch { sent_at, after, answer: None }) => {
                watcher.watching = Some(Watch { sent_at, after, answer: Some(latest) });
                format!("the store answers the {name} with revision {latest}")
            }
            Some(Watch { sent_at, after, answer: Some(up_to) }) => {
                watcher.watching = None;
                if after == watcher.revision {
                    watcher.revision = up_to;
                    watcher.freshness.prove(at(sent_at));
                    next.record(name, after, up_to);
                }
                format!("the {name} receives revision {up_to}")
            }
        };
        vec![Step { label, state: next }]
    }

    fn record(&mut self, name: &str, after: Revision, up_to: Revision) {
        if name == "root" && up_to > after {
            self.log.record(EntryKey::Document, up_to);
        }
    }

    fn report(&self) -> Option<Step<Self>> {
        if self.reports.len() + self.digests.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let mut next = self.clone();
        let known = Some(self.leaf.revision).filter(|revision| *revision != UNKNOWN);
        let report = Report { sent_at: self.second, known };
        next.reports.insert(report).then(|| Step { label: "the leaf reports".to_owned(), state: next })
    }

    fn answer(&self, report: Report) -> Step<Self> {
        let mut next = self.clone();
        next.reports.remove(&report);
        let age = self.root.freshness.age(at(self.second));
        // A node without state gets a snapshot.
        let reaches_back = |known| self.log.since(known, self.root.revision).is_some();
        if let Some(age) = age.filter(|_| report.known.is_none_or(reaches_back)) {
            next.digests.insert(Digest { report, age_seconds: age.as_secs(), up_to: self.root.revision });
        }
        Step { label: format!("the root answers {report:?}"), state: next }
    }
}

impl RelaySpecification {
    /// Bounds with which the search takes seconds.
    pub const fn with_fault(fault: RelayFault) -> Self {
        Self { fault, last_second: 2, changes: 2, restarts: 0 }
    }

    /// Bounds with one restart of the leaf, and fewer changes to limit the search.
    pub const fn with_restart(fault: RelayFault) -> Self {
        Self { fault, last_second: 2, changes: 1, restarts: 1 }
    }

    /// The leaf restarts without state; messages in flight are lost.
    fn restart(state: &RelayState) -> Step<RelayState> {
        let mut next = state.clone();
        next.restarts += 1;
        next.leaf = Node { revision: UNKNOWN, ..Node::default() };
        next.reports.clear();
        next.digests.clear();
        Step { label: "the leaf restarts".to_owned(), state: next }
    }

    fn receive(&self, state: &RelayState, digest: Digest) -> Step<RelayState> {
        let mut next = state.clone();
        next.digests.remove(&digest);
        let is_applicable = match digest.report.known {
            Some(known) => is_still_applicable(Some(known), Some(state.leaf.revision)),
            // A snapshot is applied unless the node knows a newer revision.
            None => digest.up_to > state.leaf.revision,
        };
        if is_applicable || self.fault == RelayFault::AppliesAnyDigest {
            let counted_from = match self.fault {
                RelayFault::CountsFromArrival => state.second,
                RelayFault::SnapshotCountsFromArrival if digest.report.known.is_none() => state.second,
                RelayFault::None | RelayFault::AppliesAnyDigest | RelayFault::SnapshotCountsFromArrival => {
                    digest.report.sent_at
                }
            };
            let proved = relayed_proof_time(at(counted_from), Duration::from_secs(digest.age_seconds));
            next.leaf.revision = digest.up_to;
            next.leaf.freshness.prove(proved);
        }
        Step { label: format!("the leaf receives {digest:?}"), state: next }
    }
}

impl Specification for RelaySpecification {
    type State = RelayState;

    fn initial(&self) -> RelayState {
        let mut log = ChangeLog::default();
        log.reset(FIRST);
        let mut node = Node { revision: FIRST, ..Node::default() };
        node.freshness.prove(at(0));
        RelayState {
            second: 0,
            changed_at: Vec::new(),
            root: node.clone(),
            leaf: node,
            log,
            restarts: 0,
            reports: BTreeSet::new(),
            digests: BTreeSet::new(),
        }
    }

    fn steps(&self, state: &RelayState) -> Vec<Step<RelayState>> {
        let mut steps = state.watch("root", |state| &mut state.root);
        steps.extend(state.watch("leaf", |state| &mut state.leaf));
        steps.extend(state.report());
        steps.extend(state.reports.iter().map(|report| state.answer(*report)));
        steps.extend(state.digests.iter().map(|digest| self.receive(state, *digest)));
        if state.changed_at.len() < self.changes {
            let mut next = state.clone();
            next.changed_at.push(state.second);
            steps.push(Step { label: "the store changes".to_owned(), state: next });
        }
        if state.restarts < self.restarts {
            steps.push(Self::restart(state));
        }
        if state.second < self.last_second {
            let mut next = state.clone();
            next.second += 1;
            steps.push(Step { label: "a second passes".to_owned(), state: next });
        }
        steps
    }

    fn violation(&self, state: &RelayState) -> Option<&'static str> {
        let proved = state.is_proved(&state.root) && state.is_proved(&state.leaf);
        (!proved).then_some("what a node knows was the latest state at the time of its proof")
    }
}
