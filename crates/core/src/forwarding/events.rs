//! Splits a stream of server-sent events into complete events.
//!
//! A back end may fail in the middle of an event. Only complete events are forwarded, so that a resumed
//! stream continues after the last complete one, and no event is joined from two runs.

use bytes::{Bytes, BytesMut};

/// The largest event with the comments before it, in bytes: one holds a few tokens and what belongs to them.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// The field that holds an event's identity.
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// The number of bytes of `pending` already searched for the end of an event.
    searched: usize,
    /// The bytes of comments since the last event.
    comment_bytes: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that resumes after the event `last_id`.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// The identity of the last complete event returned.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Appends bytes and returns all events that are now complete. Events whose identity is not above the
    /// last returned one are dropped: a resumed stream may repeat them.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.pending.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.pending.split_to(end);
            self.searched = 0;
            self.comment_bytes = if is_comment(&event) { self.comment_bytes + event.len() } else { 0 };
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

    /// The remaining bytes after the last complete event, at the regular end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.searched = 0;
        self.comment_bytes = 0;
        self.pending.split().freeze()
    }

    /// Whether the incomplete event has more bytes than an event and the comments before it may have.
    pub fn exceeds_limit(&self) -> bool {
        self.comment_bytes + self.pending.len() > MAX_EVENT_BYTES
    }

    /// Whether an incomplete event is buffered: more than blank lines.
    pub fn has_partial_event(&self) -> bool {
        self.pending.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// The end of the first event, after its terminating blank line.
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

/// Whether a block has no field, but comments or blank lines.
fn is_comment(block: &[u8]) -> bool {
    block.split(|byte| *byte == b'\n').all(|line| matches!(line, [] | b"\r" | [b':', ..]))
}

/// The identity of an event, if it is an integer.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    text.trim().parse().ok()
}
