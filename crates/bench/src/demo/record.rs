//! What the callers experienced.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_standins::booking::model::BookingAnswer;
use tokio::time::Instant;

use super::caller::{ChatAnswer, Ending};

/// The end of a question to a model.
#[derive(Clone, Debug)]
pub struct ChatEnd {
    /// When the caller sent it, from the start of the traffic.
    pub sent: Duration,
    /// Whether the answer was streamed.
    pub streamed: bool,
    /// Whether the answer is the one that the request should have got.
    pub correct: bool,
    /// How it ended.
    pub ending: Ending<ChatAnswer>,
}

/// The end of a booking.
#[derive(Clone, Debug)]
pub struct BookingEnd {
    /// When the caller sent it, from the start of the traffic.
    pub sent: Duration,
    /// Its idempotency key.
    pub key: String,
    /// Whether the answer is the one that the request should have got.
    pub correct: bool,
    /// How it ended.
    pub ending: Ending<BookingAnswer>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub struct Note {
    /// When, from the start of the traffic.
    pub at: Duration,
    /// What, for people.
    pub what: String,
}

/// Everything that is known at the end.
#[derive(Debug, Default)]
pub struct Content {
    /// Questions.
    pub chats: Vec<ChatEnd>,
    /// Bookings.
    pub bookings: Vec<BookingEnd>,
    /// What happened, and when.
    pub notes: Vec<Note>,
    /// Whether all faults could be brought about and mended.
    pub fault_failed: bool,
}

/// What the callers experienced, while it happens.
pub struct Records {
    started_at: Instant,
    /// The length of the traffic.
    pub length: Duration,
    retains: bool,
    content: Mutex<Content>,
}

impl Records {
    /// Nothing so far.
    pub fn new(length: Duration) -> Self {
        Self { started_at: Instant::now(), length, retains: true, content: Mutex::default() }
    }

    /// Keeps nothing, for traffic without end.
    pub fn discarding() -> Self {
        Self { retains: false, ..Self::new(Duration::ZERO) }
    }

    /// Time since the start of the traffic.
    pub fn since_start(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// What is known.
    pub fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A question has ended.
    pub fn chat(&self, end: ChatEnd) {
        if self.retains {
            self.content().chats.push(end);
        }
    }

    /// A booking has ended.
    pub fn booking(&self, end: BookingEnd) {
        if self.retains {
            self.content().bookings.push(end);
        }
    }

    /// Something happened.
    pub fn note(&self, what: &str) {
        let note = Note { at: self.since_start(), what: what.to_owned() };
        self.content().notes.push(note);
    }

    /// A fault could not be brought about or mended: the demo has not shown what it should.
    pub fn fault_failed(&self, what: &str) {
        self.note(what);
        self.content().fault_failed = true;
    }
}
