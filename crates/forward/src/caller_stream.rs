//! A caller's connection as bytes, and what has been seen on it.

use std::{
    cell::Cell,
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use paddlemount_core::forwarding::caller_connection::Seen;
use paddlemount_protocol::time::Timestamp;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use crate::{journal::Event, metrics::Counter, node::Node};

/// How long the node reads on after it has closed its side of a connection, unless the caller closes before.
const LINGER: Duration = Duration::from_millis(500);
/// The same in a planned stop, which it prolongs: long enough for what crosses the close on its way.
const LINGER_AT_STOP: Duration = Duration::from_millis(100);
/// Bytes that are read at once while lingering.
const LINGER_READ: usize = 4 << 10;

/// A caller's connection, shared by what serves it and what decides when it closes.
pub struct CallerSocket {
    stream: TcpStream,
    node: Rc<Node>,
    opened_at: Timestamp,
    /// Requests that are being served: from a whole head to the end of the answer's body.
    served: Cell<usize>,
    /// Bytes that came since the last whole head; above 0 without a request being served, a head is on its way.
    unparsed: Cell<usize>,
    /// When the last byte came, or the last answer ended.
    used_at: Cell<Timestamp>,
    /// When the connection opened, or the last answer on it ended.
    free_since: Cell<Timestamp>,
    /// Told when an answer has ended.
    pub freed: Notify,
}

impl CallerSocket {
    /// Takes an accepted connection over.
    pub fn new(stream: TcpStream, node: Rc<Node>) -> Rc<Self> {
        // Without it small events wait for acknowledgements: slower, not wrong.
        let _ = stream.set_nodelay(true);
        let now = node.now();
        Rc::new(Self {
            stream,
            node,
            opened_at: now,
            served: Cell::new(0),
            unparsed: Cell::new(0),
            used_at: Cell::new(now),
            free_since: Cell::new(now),
            freed: Notify::new(),
        })
    }

    /// The connection as a stream of bytes for the HTTP library.
    pub fn stream(self: &Rc<Self>) -> CallerStream {
        CallerStream(Rc::clone(self))
    }

    /// A whole head is here. What is given holds the connection for served until it is dropped.
    pub fn begin(self: &Rc<Self>) -> Served {
        self.unparsed.set(0);
        self.served.set(self.served.get() + 1);
        Served(Rc::clone(self))
    }

    /// What this process has seen on it; what lies unread in the socket is not looked at.
    pub fn seen(&self) -> Seen {
        let is_served = self.served.get() > 0;
        Seen {
            is_served,
            is_amid_head: !is_served && self.unparsed.get() > 0,
            is_readable: false,
            used_at: self.used_at.get(),
            free_since: self.free_since.get(),
        }
    }

    /// Whether bytes lie unread in the socket, by the system's own word: what the runtime knows may be older.
    pub fn is_readable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(socket2::SockRef::from(&self.stream).peek(&mut byte), Ok(count) if count > 0)
    }

    /// Closes the node's side and reads on until the caller has closed its own. Closing at once would reset the connection
    /// where bytes are unread or still on their way, and the reset overtakes the end of an answer.
    pub async fn close_gently(&self) {
        // The caller may have closed already.
        let _ = self.shut_down();
        let linger = if self.node.is_stopping() { LINGER_AT_STOP } else { LINGER };
        let crossed = Cell::new(0);
        self.node.clock.within_time(linger, self.read_to_end(&crossed)).await;
        let bytes = crossed.get();
        if bytes > 0 {
            self.node.metrics.count(Counter::ClosedUnread);
            let open_ms = self.node.now().saturating_since(self.opened_at).as_millis() as u64;
            let stopping = self.node.is_stopping();
            self.node.journal.tell(&Event::ClosedUnread { bytes, open_ms, stopping });
        }
    }

    fn shut_down(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).shutdown(Shutdown::Write)
    }

    /// Reads until the caller has closed or the connection has broken, and counts what comes.
    async fn read_to_end(&self, count: &Cell<usize>) {
        let mut bytes = [0; LINGER_READ];
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => break,
                Ok(read) => count.set(count.get() + read),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // A broken connection has nothing left to tell.
                Err(_) => break,
            }
        }
    }
}

/// A request that is being served on a connection.
pub struct Served(Rc<CallerSocket>);

impl Drop for Served {
    fn drop(&mut self) {
        let socket = &self.0;
        let now = socket.node.now();
        socket.served.set(socket.served.get().saturating_sub(1));
        // The rest of the body belongs to the request that has been served.
        socket.unparsed.set(0);
        socket.used_at.set(now);
        socket.free_since.set(now);
        socket.freed.notify_one();
    }
}

/// A caller's connection as a stream of bytes.
pub struct CallerStream(Rc<CallerSocket>);

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        loop {
            ready!(socket.stream.poll_read_ready(context))?;
            match socket.stream.try_read_buf(buffer) {
                Ok(count) => {
                    socket.unparsed.set(socket.unparsed.get() + count);
                    socket.used_at.set(socket.node.now());
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl CallerStream {
    /// Writes once the socket takes bytes.
    fn poll_once_writable(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(context))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_once_writable(context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.shut_down())
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_once_writable(context, |stream| stream.try_write_vectored(slices))
    }
}
