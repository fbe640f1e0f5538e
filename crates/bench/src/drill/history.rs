//! The history of a run: what the invariant checks need, and a trace for people.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    configuration::ChangeOutcome,
    identity::{ChangeId, EngineId, RequestId, Revision},
    refusal::{Outcome, Refusal},
    time::Timestamp,
};

/// An invariant of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// No cached state of a dead engine, another tenant or older weights is used.
    CacheBoundary,
    /// Every streamed answer arrives complete and in order.
    WholeStream,
    /// A restarted node serves without delay.
    ServesAfterRestart,
    /// Each caller gets the complete answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that must not be retried runs at most once.
    AtMostOnce,
    /// A draining back end gets no new work.
    LeavingGetsNothing,
    /// A planned stop cuts off no request.
    StopCutsNothing,
    /// An accepted configuration is in force everywhere in time and never reverts.
    ConfigurationStays,
}

impl Invariant {
    /// All invariants.
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

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub invariant: Invariant,
    pub at: Timestamp,
    /// A description for people.
    pub description: String,
    /// Requests, keys, engines and nodes whose events explain the violation.
    pub subjects: Vec<String>,
}

/// One event of the trace.
#[derive(Clone, Debug)]
pub struct TraceEntry {
    pub at: Timestamp,
    /// The request, key, engine, node or change concerned.
    pub subject: String,
    pub description: String,
}

/// A model request as its caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub node: usize,
    pub sent_at: Timestamp,
    /// Expected number of tokens.
    pub tokens: u32,
    /// Texts received, in order.
    pub received: Vec<String>,
    /// None while it runs.
    pub ending: Option<AnswerEnding>,
    /// Whether refusing it violates [`Invariant::ServesAfterRestart`].
    pub must_be_served: bool,
    /// Whether an engine ever began to run it.
    pub ran: bool,
}

/// The end of a model request.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEnding {
    /// The stream ended with its end marker.
    Finished,
    Refused(Refusal),
    NodeCrashed,
    /// A planned stop cut it off.
    CutByStop,
}

/// A booking as its caller sees it, over all attempts.
#[derive(Clone, Debug, Default)]
pub struct Booking {
    pub answers: Vec<String>,
    /// Outcomes by attempt; none while an attempt is open.
    pub endings: Vec<Option<Outcome>>,
    /// Runs by booking instance and time.
    pub runs: Vec<(usize, Timestamp)>,
    /// Times at which it was refused as not run.
    pub not_run_at: Vec<Timestamp>,
}

/// A change that an operator submitted.
#[derive(Clone, Debug)]
pub struct RequestedChange {
    pub node: usize,
    pub at: Timestamp,
    /// Time and outcome.
    pub ended: Option<(Timestamp, ChangeOutcome)>,
}

/// Everything that the invariant checks need.
#[derive(Default)]
pub struct History {
    /// Model requests.
    pub answers: BTreeMap<RequestId, Answer>,
    /// Bookings by key.
    pub bookings: BTreeMap<String, Booking>,
    pub changes: BTreeMap<ChangeId, RequestedChange>,
    /// When the machine list first showed an engine as draining.
    pub draining_since: BTreeMap<EngineId, Timestamp>,
    /// When a revision was first reported as accepted.
    pub accepted_at: BTreeMap<Revision, Timestamp>,
    pub violations: Vec<Violation>,
    pub trace: Vec<TraceEntry>,
}

impl History {
    /// Adds an event to the trace.
    pub fn record(&mut self, at: Timestamp, subject: impl Into<String>, description: impl Into<String>) {
        self.trace.push(TraceEntry { at, subject: subject.into(), description: description.into() });
    }

    /// Adds a violation.
    pub fn record_violation(
        &mut self,
        invariant: Invariant,
        at: Timestamp,
        description: impl Into<String>,
        subjects: &[&str],
    ) {
        let subjects = subjects.iter().map(|subject| (*subject).to_owned()).collect();
        self.violations.push(Violation { invariant, at, description: description.into(), subjects });
    }

    /// The trace up to a violation: events of its subjects, and all faults.
    pub fn explain(&self, violation: &Violation) -> Vec<String> {
        let relevant = |entry: &&TraceEntry| {
            let about = violation.subjects.contains(&entry.subject);
            entry.at <= violation.at && (about || entry.subject == FAULT)
        };
        let line = |entry: &TraceEntry| {
            format!("{:>9.3} s  {:<10} {}", entry.at.0 as f64 / 1e6, entry.subject, entry.description)
        };
        self.trace.iter().filter(relevant).map(line).collect()
    }
}

/// The subject of injected faults in the trace.
pub const FAULT: &str = "fault";
