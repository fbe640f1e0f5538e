//! What may follow the end of a try.
//!
//! The one question that everything hangs on: may the back end have run the request? Before the first byte was
//! handed to a connection it has not. After that only the back end's own word that it did not run it counts;
//! silence, a reset or a strange answer leave it open.

use super::document::RouteKind;

/// How a try ended without an answer that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing was sent: no connection came up, or it was closed before the first byte.
    NotSent,
    /// The back end said that it did not run the request.
    NotRun,
    /// Another process has the address, and did not run the request.
    Misdirected,
    /// The request was sent, and the back end may have run it.
    Unclear,
    /// The back end answered whole, with a failure of its own.
    FailedAnswer,
    /// It broke off, and another back end holds a copy of the run's memory: going on there is the same run.
    Copied,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Another back end may be asked; after [`AttemptEnd::Copied`] only the one that holds the copy.
    Retry,
    /// The answer of the back end is passed on.
    PassOn,
    /// The caller is told that the request did not run and may come back.
    Refuse,
    /// The caller is told that the request may have run.
    Fail,
}

/// What a request has behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Back ends that were sent the request.
    pub sent: u32,
    /// Processes that said that they are not the back end which the request was meant for.
    pub misdirected: u32,
    /// Connections that did not come up.
    pub not_sent: u32,
    /// Whether an earlier try may have run.
    pub may_have_run: bool,
}

/// Connections that may fail to come up in one request before it is given up.
const MOST_NOT_SENT: u32 = 4;
/// Back ends that may say "not run" in one request, beyond which it is given up. A refused send isn't a run, so the
/// route's own bound does not count it; the retry budget does.
const MOST_REFUSED: u32 = 4;
/// Wrong addresses that one request may meet, beyond which it is given up: each is an arrival at a service that may be
/// allowed few, and where one address has been taken over many may be.
const MOST_MISDIRECTED: u32 = 2;

/// Decides what follows `end`. `time_left` tells whether another try could still be answered in time; `budget`
/// is asked only where everything else allows another try that counts as a repeat.
pub fn next_action(
    kind: RouteKind,
    attempts: u32,
    end: AttemptEnd,
    spent: AttemptHistory,
    time_left: bool,
    mut budget: impl FnMut() -> bool,
) -> NextAction {
    let action_without_retry = action_without_retry(kind, spent);
    if !time_left {
        return if end == AttemptEnd::FailedAnswer { NextAction::PassOn } else { action_without_retry };
    }
    match end {
        AttemptEnd::NotSent if spent.not_sent < MOST_NOT_SENT => NextAction::Retry,
        AttemptEnd::NotSent => action_without_retry,
        AttemptEnd::NotRun if spent.sent < MOST_REFUSED.max(attempts) && budget() => NextAction::Retry,
        AttemptEnd::NotRun => action_without_retry,
        AttemptEnd::Misdirected if spent.misdirected < MOST_MISDIRECTED && budget() => NextAction::Retry,
        AttemptEnd::Misdirected => action_without_retry,
        AttemptEnd::Unclear if kind.is_idempotent() && spent.sent < attempts && budget() => NextAction::Retry,
        AttemptEnd::Unclear => NextAction::Fail,
        AttemptEnd::FailedAnswer if kind == RouteKind::Repeatable && spent.sent < attempts && budget() => {
            NextAction::Retry
        }
        AttemptEnd::FailedAnswer => NextAction::PassOn,
        AttemptEnd::Copied if budget() => NextAction::Retry,
        AttemptEnd::Copied => NextAction::Fail,
    }
}

/// How a request ends that is given up: only one that cannot have run, or may run again, is refused.
pub const fn action_without_retry(kind: RouteKind, spent: AttemptHistory) -> NextAction {
    if spent.may_have_run && !kind.is_idempotent() { NextAction::Fail } else { NextAction::Refuse }
}
