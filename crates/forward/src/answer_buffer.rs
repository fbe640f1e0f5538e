//! Keeps complete answers in memory until their callers have taken them, within a bound for each and one for all of
//! them.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::received_body::ReceivedBody;

/// The bytes that all answers to requests may have together beyond [`EXEMPT_BYTES`] each, and each of them alone, so that
/// a few without end do not exhaust the memory of a small machine.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Answers to requests have this part of the machine's memory at most.
const ANSWER_MEMORY_PARTS: usize = 6;
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
    used: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl AnswerMemory {
    /// The memory for answers to requests on a machine with so many bytes of memory.
    pub fn for_requests(machine_bytes: usize) -> Self {
        let max_bytes = MAX_ANSWER_BYTES.min(machine_bytes / ANSWER_MEMORY_PARTS);
        Self { used: Arc::default(), max_bytes }
    }

    /// The memory for answers to calls.
    pub fn for_calls() -> Self {
        Self { used: Arc::default(), max_bytes: MAX_CALL_BYTES }
    }

    /// An empty answer.
    pub fn begin(&self) -> AnswerBuffer {
        AnswerBuffer { bytes: BytesMut::new(), share: AnswerShare { counted: 0, memory: self.clone() } }
    }

    /// The bytes that count.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
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
    share: AnswerShare,
}

impl AnswerBuffer {
    /// Appends bytes. Returns `false` if they would exceed a bound.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        let fits = self.share.grow_to(self.bytes.len() + data.len());
        if fits {
            self.bytes.extend_from_slice(data);
        }
        fits
    }

    /// The complete answer. It counts until all clones of it have been dropped, which is when its caller has taken it.
    pub fn finish(self) -> Bytes {
        Bytes::from_owner(HeldAnswer { bytes: self.bytes, _share: self.share })
    }
}

/// What one answer has of the memory, until dropped.
#[derive(Debug)]
struct AnswerShare {
    counted: usize,
    memory: AnswerMemory,
}

impl AnswerShare {
    /// Returns `false` if an answer of this length would exceed a bound.
    fn grow_to(&mut self, length: usize) -> bool {
        let counted = length.saturating_sub(EXEMPT_BYTES);
        let used = self.memory.used() - self.counted + counted;
        if length.max(used) > self.memory.max_bytes {
            return false;
        }
        self.memory.used.store(used, Ordering::Relaxed);
        self.counted = counted;
        true
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

struct HeldAnswer {
    bytes: BytesMut,
    _share: AnswerShare,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
