//! What happened in a drill, as the judge and a person need it.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    configuration::ChangeOutcome,
    identity::{ChangeId, EngineId, RequestId, Revision},
    refusal::{Outcome, Refusal},
    time::Timestamp,
};

/// What must always hold, in the order of the users' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// No cached state of a dead engine, another tenant or older weights is used.
    CacheBoundary,
    /// Every streamed answer arrives complete and in order.
    WholeStream,
    /// A restarted node serves at once.
    ServesAfterRestart,
    /// Each caller gets the whole answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new work.
    LeavingGetsNothing,
    /// A planned stop cuts off no request.
    StopCutsNothing,
    /// An accepted configuration is in force everywhere in time and never reverts.
    ConfigurationStays,
}

impl Invariant {
    /// All promises.
    pub const ALL: [Self; 9] = [
        Self::CacheBoundary,
        Self::WholeStream,
        Self::ServesAfterRestart,
        Self::OwnAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingGetsNothing,
        Self::StopCutsNothing,
        Self::ConfigurationStays,
    ];
}

/// A promise that was seen to break.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub invariant: Invariant,
    /// When it was seen.
    pub at: Timestamp,
    /// What was seen, for people.
    pub what: String,
    /// Names of things whose events explain it: requests, keys, engines, nodes.
    pub subjects: Vec<String>,
}

/// One event of a run.
#[derive(Clone, Debug)]
pub struct TraceEntry {
    /// When.
    pub at: Timestamp,
    /// What it is about: a request, key, engine, node or change.
    pub subject: String,
    /// What happened.
    pub what: String,
}

/// A model request as its caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The node that it was sent to.
    pub node: usize,
    /// When.
    pub sent_at: Timestamp,
    /// Tokens that it should get.
    pub tokens: u32,
    /// Texts received, in order.
    pub received: Vec<String>,
    /// How it ended; none while it runs.
    pub ending: Option<AnswerEnding>,
    /// Whether the node must serve it whatever happens, as it has just been restarted.
    pub must_be_served: bool,
    /// Whether an engine ever began to run it.
    pub ran: bool,
}

/// How a model request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEnding {
    /// The end of the stream was marked.
    Finished,
    /// Refused.
    Refused(Refusal),
    /// The node crashed.
    NodeCrashed,
    /// The node ended as planned and cut it off.
    CutByStop,
}

/// A booking as its caller sees it, over all of its tries.
#[derive(Clone, Debug, Default)]
pub struct Booking {
    /// Answers that the caller got.
    pub answers: Vec<String>,
    /// Endings of its tries.
    pub endings: Vec<Option<Outcome>>,
    /// Runs at back ends: instance and time.
    pub runs: Vec<(usize, Timestamp)>,
    /// "Not run" was said at these times.
    pub not_run_at: Vec<Timestamp>,
}

/// A change that an operator asked for.
#[derive(Clone, Debug)]
pub struct RequestedChange {
    /// The node.
    pub node: usize,
    /// When.
    pub at: Timestamp,
    /// How it ended, and when.
    pub ended: Option<(Timestamp, ChangeOutcome)>,
}

/// Everything that the judge needs.
#[derive(Default)]
pub struct History {
    /// Model requests.
    pub answers: BTreeMap<RequestId, Answer>,
    /// Bookings by key.
    pub bookings: BTreeMap<String, Booking>,
    /// Changes.
    pub changes: BTreeMap<ChangeId, RequestedChange>,
    /// When an engine's leaving was published.
    pub leaving_since: BTreeMap<EngineId, Timestamp>,
    /// When an operator was told that a revision is accepted.
    pub accepted_at: BTreeMap<Revision, Timestamp>,
    /// Violations seen as they happened.
    pub violations: Vec<Violation>,
    /// All events.
    pub trace: Vec<TraceEntry>,
}

impl History {
    /// Notes an event.
    pub fn record(&mut self, at: Timestamp, subject: impl Into<String>, what: impl Into<String>) {
        self.trace.push(TraceEntry { at, subject: subject.into(), what: what.into() });
    }

    /// Notes a broken promise.
    pub fn record_violation(
        &mut self,
        invariant: Invariant,
        at: Timestamp,
        what: impl Into<String>,
        subjects: &[&str],
    ) {
        let subjects = subjects.iter().map(|subject| (*subject).to_owned()).collect();
        self.violations.push(Violation { invariant, at, what: what.into(), subjects });
    }

    /// The events that explain a violation: those of its subjects and all faults, up to its time.
    pub fn explain(&self, violation: &Violation) -> Vec<String> {
        let relevant = |entry: &&TraceEntry| {
            let about = violation.subjects.contains(&entry.subject);
            entry.at <= violation.at && (about || entry.subject == FAULT)
        };
        let line = |entry: &TraceEntry| {
            format!("{:>9.3} s  {:<10} {}", entry.at.0 as f64 / 1e6, entry.subject, entry.what)
        };
        self.trace.iter().filter(relevant).map(line).collect()
    }
}

/// The subject of events that the drill itself causes.
pub const FAULT: &str = "fault";
