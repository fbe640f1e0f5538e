//! What a process's reserve of retries begins with ([`super::retry_reserve`]).
//!
//! The store grants a part of the reserve to a starting process of a node, once in two windows. A store that has lost
//! earlier grants, as one that was restored from a copy, would grant it again and again. So a process asks only if a
//! record says that the store has lost nothing for two windows ([`super::store_witness`]); any grant that was lost
//! before is outside all windows of this process by then. The first process of all has none before it, and needs no
//! such record.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::budget::STEPS;

/// How long a grant excludes others, for budgets over this window. Budgets count in steps, of which the first and the
/// last one reach beyond the window.
pub fn grant_period(window: Duration) -> Duration {
    (window + window / STEPS) * 2
}

/// What the store answers to a process that asks for its part of the reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveAnswer {
    Granted,
    /// An earlier process was granted it less than two windows ago.
    Held,
    /// No record says that the store has lost nothing for two windows.
    Unwitnessed,
    /// Nobody knows whether it was granted.
    Unanswered,
    /// The store did nothing.
    Refused,
}

/// What the reserve of a process begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// Nothing.
    Empty,
    /// What the first process of all begins with.
    First,
    /// What the store grants to one process of a node in two windows.
    Granted,
}

/// What the reserve of this process begins with.
#[derive(Clone, Debug)]
pub struct ReserveGrant {
    started: Timestamp,
    window: Duration,
    is_first_start: bool,
    answer: Option<ReserveAnswer>,
}

impl ReserveGrant {
    /// The state of a process that has just started, for budgets over this window.
    pub const fn new(started: Timestamp, window: Duration, is_first_start: bool) -> Self {
        Self { started, window, is_first_start, answer: None }
    }

    /// Whether to ask the store. Once the process has run for a window, it has gained as much.
    pub fn is_wanted(&self, now: Timestamp) -> bool {
        let is_open = matches!(self.answer, None | Some(ReserveAnswer::Refused));
        is_open && now.saturating_since(self.started) < self.window
    }

    /// Whether the store has to be witnessed before it is asked.
    pub const fn needs_witness(&self) -> bool {
        !self.is_first_start
    }

    /// Records an answer of the store.
    pub const fn record(&mut self, answer: ReserveAnswer) {
        self.answer = Some(answer);
    }

    /// The last answer of the store.
    pub const fn answer(&self) -> Option<ReserveAnswer> {
        self.answer
    }

    /// What the reserve begins with.
    pub fn beginning(&self) -> Beginning {
        match self.answer {
            Some(ReserveAnswer::Granted) if self.is_first_start => Beginning::First,
            Some(ReserveAnswer::Granted) => Beginning::Granted,
            _ => Beginning::Empty,
        }
    }
}
