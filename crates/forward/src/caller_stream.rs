//! A caller's connection as bytes, with what is told of it when it closes.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use paddlemount_protocol::time::Timestamp;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{journal::Event, metrics::Counter, node::Node};

/// The most unread bytes that are counted when a connection closes.
const MOST_COUNTED: usize = 4 << 10;

/// A caller's connection. Dropping it closes the socket; where bytes wait in it that nobody has read, that resets the
/// connection, and the caller of what they ask for gets no answer. Such closes are told.
pub struct CallerStream {
    stream: TcpStream,
    node: Rc<Node>,
    opened_at: Timestamp,
}

impl CallerStream {
    /// Takes an accepted connection over.
    pub fn new(stream: TcpStream, node: Rc<Node>) -> Self {
        // Without it small events wait for acknowledgements: slower, not wrong.
        let _ = stream.set_nodelay(true);
        let opened_at = node.now();
        Self { stream, node, opened_at }
    }

    /// Bytes that have arrived and were not read, up to [`MOST_COUNTED`].
    fn unread(&self) -> usize {
        let mut bytes = [MaybeUninit::uninit(); MOST_COUNTED];
        // The socket does not block: without bytes this is an error, after the caller's close it is 0.
        socket2::SockRef::from(&self.stream).peek(&mut bytes).unwrap_or(0)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let bytes = self.unread();
        if bytes == 0 {
            return;
        }
        self.node.metrics.count(Counter::ClosedUnread);
        let open_ms = self.node.now().saturating_since(self.opened_at).as_millis() as u64;
        let stopping = self.node.stopping.get();
        self.node.journal.tell(&Event::ClosedUnread { bytes, open_ms, stopping });
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
