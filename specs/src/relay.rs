//! The store's answers passed on between nodes: what a node knows was the newest at the moment that its proof names.
//!
//! The store changes at any time. The root watches it, a node below reports to the root and may watch the store as
//! well. Each call and each answer takes any time, or is lost; standing still is the same as being late.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_core::forwarding::{
    change_log::{ChangeLog, EntryKey, is_still_applicable, relayed_proof_time},
    freshness::Freshness,
};
use paddlemount_protocol::{identity::Revision, time::Timestamp};

use crate::search::{Specification, Step};

/// What is deliberately wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    /// Nothing.
    None,
    /// The proof counts from when the digest arrived.
    CountsFromArrival,
    /// A digest is taken in whatever the store has told the node meanwhile.
    TakesAnyDigest,
    /// A snapshot counts from when it arrived.
    SnapshotCountsFromArrival,
}

/// Bounds of the search, and what is broken.
#[derive(Clone, Copy, Debug)]
pub struct RelaySpecification {
    /// What is deliberately wrong.
    pub fault: RelayFault,
    /// The last second of the model's clock.
    pub last_second: u64,
    /// Changes in the store.
    pub changes: usize,
    /// How often the leaf starts anew, knowing nothing until it is given a snapshot.
    pub restarts: usize,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    revision: Revision,
    freshness: Freshness,
    watching: Option<Watch>,
}

/// A call to the store, and its answer once it is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Watch {
    sent_at: u64,
    after: Revision,
    told: Option<Revision>,
}

/// A report on its way to the root.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Report {
    sent_at: u64,
    /// What the sender knows; nothing where it asks for a snapshot.
    known: Option<Revision>,
}

/// A digest on its way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Digest {
    report: Report,
    age_seconds: u64,
    upto: Revision,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayState {
    second: u64,
    /// When each change of the store was made.
    changed_at: Vec<u64>,
    root: Node,
    leaf: Node,
    log: ChangeLog,
    restarts: usize,
    reports: BTreeSet<Report>,
    digests: BTreeSet<Digest>,
}

const FIRST: Revision = Revision(1);
/// What a node knows that has just started.
const UNKNOWN: Revision = Revision(0);
/// Reports and digests under way at once.
const MOST_UNDER_WAY: usize = 2;

fn at(second: u64) -> Timestamp {
    Timestamp::from_millis(1_000 * (second + 100))
}

impl RelayState {
    fn newest(&self) -> Revision {
        Revision(FIRST.0 + self.changed_at.len() as u64)
    }

    /// Whether a node's knowledge was the newest until the moment that its proof names.
    fn is_proved(&self, node: &Node) -> bool {
        // A node without proof claims nothing, and serves nobody.
        let Some(age) = node.freshness.age(at(self.second)) else { return true };
        let next_change = self.changed_at.get((node.revision.0 - FIRST.0) as usize);
        let Some(changed_at) = next_change else { return true };
        at(self.second).saturating_since(at(*changed_at)) <= age
    }

    fn watch(&self, who: &'static str, node: impl Fn(&mut Self) -> &mut Node) -> Vec<Step<Self>> {
        let mut next = self.clone();
        let (second, newest) = (self.second, self.newest());
        let watcher = node(&mut next);
        let label = match watcher.watching {
            None => {
                watcher.watching = Some(Watch { sent_at: second, after: watcher.revision, told: None });
                format!("the {who} asks the store")
            }
            Some(Watch { sent_at, after, told: None }) => {
                watcher.watching = Some(Watch { sent_at, after, told: Some(newest) });
                format!("the store answers the {who} with revision {newest}")
            }
            Some(Watch { sent_at, after, told: Some(upto) }) => {
                watcher.watching = None;
                if after == watcher.revision {
                    watcher.revision = upto;
                    watcher.freshness.prove(at(sent_at));
                    next.remember(who, after, upto);
                }
                format!("the {who} takes revision {upto}")
            }
        };
        vec![Step { label, state: next }]
    }

    fn remember(&mut self, who: &str, after: Revision, upto: Revision) {
        if who == "root" && upto > after {
            self.log.record(EntryKey::Document, upto);
        }
    }

    fn report(&self) -> Option<Step<Self>> {
        if self.reports.len() + self.digests.len() >= MOST_UNDER_WAY {
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
        // Whoever knows nothing is given a snapshot.
        let can_tell = |known| self.log.since(known, self.root.revision).is_some();
        if let Some(age) = age.filter(|_| report.known.is_none_or(can_tell)) {
            next.digests.insert(Digest { report, age_seconds: age.as_secs(), upto: self.root.revision });
        }
        Step { label: format!("the root answers {report:?}"), state: next }
    }
}

impl RelaySpecification {
    /// Bounds under which the search takes seconds.
    pub const fn with_fault(fault: RelayFault) -> Self {
        Self { fault, last_second: 2, changes: 2, restarts: 0 }
    }

    /// The same with a leaf that starts anew once; fewer changes keep the search short.
    pub const fn with_restart(fault: RelayFault) -> Self {
        Self { fault, last_second: 2, changes: 1, restarts: 1 }
    }

    /// The leaf starts anew and knows nothing; what was under way to it is lost.
    fn restart(state: &RelayState) -> Step<RelayState> {
        let mut next = state.clone();
        next.restarts += 1;
        next.leaf = Node { revision: UNKNOWN, ..Node::default() };
        next.reports.clear();
        next.digests.clear();
        Step { label: "the leaf starts anew".to_owned(), state: next }
    }

    fn take(&self, state: &RelayState, digest: Digest) -> Step<RelayState> {
        let mut next = state.clone();
        next.digests.remove(&digest);
        let asked_for = match digest.report.known {
            Some(known) => is_still_applicable(Some(known), Some(state.leaf.revision)),
            // A snapshot is taken in where nothing newer is known.
            None => digest.upto > state.leaf.revision,
        };
        if asked_for || self.fault == RelayFault::TakesAnyDigest {
            let counted_from = match self.fault {
                RelayFault::CountsFromArrival => state.second,
                RelayFault::SnapshotCountsFromArrival if digest.report.known.is_none() => state.second,
                RelayFault::None | RelayFault::TakesAnyDigest | RelayFault::SnapshotCountsFromArrival => {
                    digest.report.sent_at
                }
            };
            let proved = relayed_proof_time(at(counted_from), Duration::from_secs(digest.age_seconds));
            next.leaf.revision = digest.upto;
            next.leaf.freshness.prove(proved);
        }
        Step { label: format!("the leaf takes {digest:?}"), state: next }
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
        steps.extend(state.digests.iter().map(|digest| self.take(state, *digest)));
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
        (!proved).then_some("what a node knows was the newest at the moment that its proof names")
    }
}
