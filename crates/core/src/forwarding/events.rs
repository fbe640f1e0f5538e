//! Splits a stream of server-sent events into whole events.
//!
//! A back end may break off in the middle of an event. Only whole events are passed on, so that a resumed stream
//! continues behind the last whole one and no event is joined from two runs.

use bytes::{Bytes, BytesMut};

/// The field that holds an event's identity.
const ID_FIELD: &[u8] = b"id:";

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes of `pending` in which no event's end was found.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter of a stream that continues behind the event `last_id`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The identity of the last whole event that was given out.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes bytes in and gives out all events that are now whole. Events whose identity is not above the last one
    /// given out are left out: a resumed stream may repeat them.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.pending.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.pending.split_to(end);
            self.searched = 0;
            if self.is_new(&event) {
                if complete.is_empty() {
                    complete = event;
                } else {
                    complete.unsplit(event);
                }
            }
        }
        complete.freeze()
    }

    /// The rest behind the last whole event, at the proper end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The end of the first event: behind the blank line that ends it.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.pending[..];
        let mut index = self.searched.saturating_sub(2);
        while index + 1 < bytes.len() {
            if bytes[index] == b'\n' {
                if bytes[index + 1] == b'\n' {
                    return Some(index + 2);
                }
                if bytes[index + 1] == b'\r' && bytes.get(index + 2) == Some(&b'\n') {
                    return Some(index + 3);
                }
            }
            index += 1;
        }
        self.searched = bytes.len();
        None
    }

    fn is_new(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else { return true };
        if self.last_id.is_some_and(|last| id <= last) {
            return false;
        }
        self.last_id = Some(id);
        true
    }
}

/// The identity of an event, where it has a whole number for one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    text.trim().parse().ok()
}
