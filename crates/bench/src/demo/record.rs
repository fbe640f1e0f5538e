//! Records of the requests of a demo.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_standins::booking::model::BookingAnswer;
use tokio::time::Instant;

use super::caller::{ChatAnswer, Ending};

/// The end of a model request.
#[derive(Clone, Debug)]
pub struct ChatRecord {
    /// Time since the start of the traffic.
    pub sent: Duration,
    pub streamed: bool,
    /// Whether the answer is the expected one.
    pub correct: bool,
    pub ending: Ending<ChatAnswer>,
}

/// The end of a booking.
#[derive(Clone, Debug)]
pub struct BookingRecord {
    /// Time since the start of the traffic.
    pub sent: Duration,
    /// The idempotency key.
    pub key: String,
    /// Whether the answer is the expected one.
    pub correct: bool,
    pub ending: Ending<BookingAnswer>,
}

/// An event of the demo.
#[derive(Clone, Debug)]
pub struct Note {
    /// Time since the start of the traffic.
    pub at: Duration,
    /// A description for people.
    pub description: String,
}

/// All records of a demo.
#[derive(Debug, Default)]
pub struct Content {
    pub chats: Vec<ChatRecord>,
    pub bookings: Vec<BookingRecord>,
    pub notes: Vec<Note>,
    /// Whether a fault could not be injected or repaired.
    pub fault_failed: bool,
}

/// Collects the records of a demo.
pub struct Records {
    started_at: Instant,
    pub length: Duration,
    retains: bool,
    content: Mutex<Content>,
}

impl Records {
    /// Empty records.
    pub fn new(length: Duration) -> Self {
        Self { started_at: Instant::now(), length, retains: true, content: Mutex::default() }
    }

    /// Discards the ends of requests, for traffic without end.
    pub fn discarding() -> Self {
        Self { retains: false, ..Self::new(Duration::ZERO) }
    }

    /// Time since the start of the traffic.
    pub fn since_start(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The records so far.
    pub fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the end of a model request.
    pub fn chat(&self, end: ChatRecord) {
        if self.retains {
            self.content().chats.push(end);
        }
    }

    /// Records the end of a booking.
    pub fn booking(&self, end: BookingRecord) {
        if self.retains {
            self.content().bookings.push(end);
        }
    }

    /// Records an event.
    pub fn note(&self, description: &str) {
        let note = Note { at: self.since_start(), description: description.to_owned() };
        self.content().notes.push(note);
    }

    /// Records that a fault could not be injected or repaired, which fails the demo.
    pub fn fault_failed(&self, description: &str) {
        self.note(description);
        self.content().fault_failed = true;
    }
}
