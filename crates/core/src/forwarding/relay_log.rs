//! Answers of the metadata store, remembered for the nodes below.
//!
//! The answers to one watch after the other tell all changes without a gap. A node below that knows all up to some
//! revision gets the answers from there on. Where they are not remembered any more, or are too large to be passed on,
//! it asks the store itself.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::{fleet::RelayedAnswer, identity::Revision, time::Timestamp};

/// Answers remembered.
const MOST_ANSWERS: usize = 64;
/// Bytes of answers that are remembered.
const MOST_BYTES: usize = 256 << 10;
/// Bytes of answers that are passed on at once: a tenth of a second on a link of 10 Mbit/s, and several documents of some
/// hundred tenants. A reader that lacks more asks the store, which hundreds of nodes would do at the same moment.
const MOST_BYTES_AT_ONCE: usize = 128 << 10;

/// The moment that a relayed proof counts from, on the reader's clock: when the reader's report was sent, less the age
/// that the proof had at the other node when it answered. The answer was written later than the report was sent, so
/// that the moment is never too late, however long either was under way.
pub fn relayed_proof(report_sent_at: Timestamp, age: Duration) -> Timestamp {
    report_sent_at - age
}

/// Whether what was passed on for a reader that knew `reported` may be taken in where it now knows `known`. Where the
/// store has told it something meanwhile, what was passed on may be older.
pub fn is_still_asked_for(reported: Option<Revision>, known: Option<Revision>) -> bool {
    reported.is_some() && reported == known
}

/// Remembered answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RelayLog {
    answers: VecDeque<RelayedAnswer>,
    bytes: usize,
}

impl RelayLog {
    /// An answer came. One that doesn't follow the last begins the log anew.
    pub fn push(&mut self, answer: RelayedAnswer) {
        if self.answers.back().is_some_and(|last| last.upto != answer.after) {
            self.clear();
        }
        if answer.upto <= answer.after {
            return;
        }
        self.bytes += answer.body.len();
        self.answers.push_back(answer);
        while self.answers.len() > MOST_ANSWERS || self.bytes > MOST_BYTES {
            let Some(oldest) = self.answers.pop_front() else { break };
            self.bytes -= oldest.body.len();
        }
    }

    /// Everything was listed anew.
    pub fn clear(&mut self) {
        self.answers.clear();
        self.bytes = 0;
    }

    /// The answers that lead from `known` to `newest`; nothing where they are not all remembered.
    pub fn since(&self, known: Revision, newest: Revision) -> Option<Vec<RelayedAnswer>> {
        if known == newest {
            return Some(Vec::new());
        }
        let first = self.answers.iter().position(|answer| answer.upto > known)?;
        let reaches = self.answers.back().is_some_and(|last| last.upto >= newest);
        let follows = self.answers[first].after <= known;
        let missing = self.answers.iter().skip(first);
        let bytes: usize = missing.clone().map(|answer| answer.body.len()).sum();
        (reaches && follows && bytes <= MOST_BYTES_AT_ONCE).then(|| missing.cloned().collect())
    }
}
