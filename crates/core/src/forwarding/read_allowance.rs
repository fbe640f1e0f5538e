//! How much of an answer or a request is read beyond its data.
//!
//! A head, interim answers and the framing of a body may have any length, and a faulty peer sends them without end.
//! What has been read of a connection and not been delivered as data is bounded by the bytes that may be buffered and
//! some more for what is not data. The bound also limits what one connection is read before others get their turn.

/// Bytes of an answer that are buffered at most before they are delivered.
pub const MAX_BUFFERED_BYTES: usize = 16 << 10;
/// Buffers of bytes that may have been read and not been delivered as data: one buffer, one piece of data on its way to
/// its reader, and as much for heads and framing.
const MAX_UNDELIVERED_BUFFERS: usize = 3;
/// Bytes of framing that each piece of data may have.
const FRAMING_BYTES: usize = 64;

/// The bytes that may still be read of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadAllowance {
    buffer_bytes: usize,
    undelivered: usize,
}

impl Default for ReadAllowance {
    fn default() -> Self {
        Self::with_buffer(MAX_BUFFERED_BYTES)
    }
}

impl ReadAllowance {
    /// The allowance of a connection that buffers at most `bytes`.
    pub const fn with_buffer(bytes: usize) -> Self {
        Self { buffer_bytes: bytes, undelivered: 0 }
    }

    /// The allowance for the next answer or request on the same connection.
    #[must_use]
    pub const fn renewed(self) -> Self {
        Self::with_buffer(self.buffer_bytes)
    }

    /// Whether more bytes may be read.
    pub const fn may_read(self) -> bool {
        self.undelivered < MAX_UNDELIVERED_BUFFERS * self.buffer_bytes
    }

    /// Records bytes that were read.
    #[must_use]
    pub const fn after_read(self, bytes: usize) -> Self {
        Self { undelivered: self.undelivered.saturating_add(bytes), ..self }
    }

    /// Records a piece of data that was delivered.
    #[must_use]
    pub const fn after_delivery(self, bytes: usize) -> Self {
        let paid = bytes.saturating_add(FRAMING_BYTES);
        Self { undelivered: self.undelivered.saturating_sub(paid), ..self }
    }
}
