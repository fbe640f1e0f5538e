//! Keeps complete answers in memory, within a bound for each and one for all of them.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::received_body::ReceivedBody;

/// The bytes that all answers to requests may have together beyond [`EXEMPT_BYTES`] each, and each of them alone, so that
/// a few without end do not exhaust the memory of a small machine.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The same for answers to calls.
const MAX_CALL_BYTES: usize = 8 << 20;
/// The bytes of each answer that do not count, so that a short answer is read beside large ones.
const EXEMPT_BYTES: usize = 64 << 10;

/// Why an answer was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    #[error("the answer is too large")]
    TooLarge,
    /// Nothing but its end says that it is whole, and nothing of a body came before.
    #[error("the connection ended after the head of an answer without a length")]
    NoBody,
    /// Nothing but its end says that it is whole, and the back end listens no more.
    #[error("the back end ended with its answer, which has no length")]
    EndedUnframed,
}

/// The bytes that some answers have in memory together beyond those that do not count.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    used: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl AnswerMemory {
    /// The memory for answers to requests.
    pub fn for_requests() -> Self {
        Self { used: Rc::default(), max_bytes: MAX_ANSWER_BYTES }
    }

    /// The memory for answers to calls.
    pub fn for_calls() -> Self {
        Self { used: Rc::default(), max_bytes: MAX_CALL_BYTES }
    }

    /// An empty answer.
    pub fn begin(&self) -> AnswerBuffer {
        AnswerBuffer { bytes: BytesMut::new(), counted: 0, memory: self.clone() }
    }

    /// The bytes that count.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Reads a body to its end.
    pub(crate) async fn read(&self, mut body: ReceivedBody) -> Result<Bytes, AnswerError> {
        let mut buffer = self.begin();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if !buffer.push(&data) {
                return Err(AnswerError::TooLarge);
            }
        }
        Ok(buffer.finish())
    }
}

/// An answer that is being read.
#[derive(Debug)]
pub struct AnswerBuffer {
    bytes: BytesMut,
    counted: usize,
    memory: AnswerMemory,
}

impl AnswerBuffer {
    /// Appends bytes. Returns `false` if they would exceed a bound.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        let counted = length.saturating_sub(EXEMPT_BYTES);
        let used = self.memory.used.get() - self.counted + counted;
        if length.max(used) > self.memory.max_bytes {
            return false;
        }
        self.memory.used.set(used);
        self.counted = counted;
        self.bytes.extend_from_slice(data);
        true
    }

    /// The complete answer. It no longer counts, as it is passed on at once.
    pub fn finish(mut self) -> Bytes {
        self.bytes.split().freeze()
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.counted);
    }
}
