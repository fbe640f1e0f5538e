//! A caller's connection as a byte stream, and its observed state.

use std::{
    cell::Cell,
    io::{self, ErrorKind, IoSlice},
    mem::MaybeUninit,
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    sync::atomic::{AtomicUsize, Ordering},
    task::{Context, Poll},
    time::Duration,
};

use bytes::BufMut;
use paddlemount_clock::SteadyClock;
use paddlemount_core::forwarding::{
    caller_connection::{ConnectionState, ConnectionTimeouts},
    read_allowance::ReadAllowance,
};
use paddlemount_protocol::time::Timestamp;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use crate::received_body::allowance_exceeded;

/// How long the node keeps reading after it has shut down its side, unless the caller closes first.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same during a planned stop, which it delays: long enough for bytes that cross the close.
const LINGER_TIMEOUT_AT_STOP: Duration = Duration::from_millis(100);
const LINGER_READ_BYTES: usize = 4 << 10;
/// The bytes that a closed connection is read at most: what callers have in flight while an answer reaches them.
const MAX_LINGER_BYTES: usize = 64 << 10;
/// The same for all connections that linger at once, which share it evenly.
const MAX_LINGER_BYTES_OF_ALL: usize = 512 << 10;

/// The bytes of answers that the kernel takes beyond those that are on their way to a caller. They count as memory of the
/// machine; by default the kernel takes megabytes for a caller that reads nothing.
const UNSENT_BYTES: u32 = 16 << 10;

/// What a caller's connection needs from the process that serves it.
pub trait ConnectionHost {
    /// The clock that measures idle time.
    fn clock(&self) -> SteadyClock;

    /// The timeouts that are currently configured.
    fn timeouts(&self) -> ConnectionTimeouts;

    /// Whether the process is stopping.
    fn is_stopping(&self) -> bool;

    /// The number of closed connections that are still read.
    fn lingering(&self) -> &AtomicUsize;

    /// Reports that bytes arrived after the connection had closed and were not read.
    fn report_closed_unread(&self, closed: &ClosedUnread);
}

/// A connection on which bytes arrived after it had closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedUnread {
    pub bytes: usize,
    /// How long the connection had been open, in milliseconds.
    pub open_ms: u64,
    pub stopping: bool,
}

/// A caller's connection, shared by the code that serves it and the code that decides when it closes.
pub struct CallerSocket<H> {
    stream: TcpStream,
    host: Rc<H>,
    opened_at: Timestamp,
    /// Whether no complete head has arrived yet.
    is_new: Cell<bool>,
    /// Requests in progress, from a complete head to the end of the answer's body.
    active: Cell<usize>,
    /// Bytes received since the last complete head. If no request is active, a value above 0 means a partial
    /// head.
    unparsed_bytes: Cell<usize>,
    /// When the first of these bytes arrived.
    head_began_at: Cell<Timestamp>,
    /// Whether the close of the connection has been decided again since then.
    is_head_timed: Cell<bool>,
    /// How much may be read as a byte stream.
    allowance: Rc<Cell<ReadAllowance>>,
    /// When the last byte arrived, or the last answer ended.
    last_activity: Cell<Timestamp>,
    /// When the connection opened, or the last answer on it ended.
    idle_since: Cell<Timestamp>,
    /// Whether another connection needs its place.
    is_reclaimed: Cell<bool>,
    /// Since when nothing of an answer could be written; `None` while nothing waits.
    write_blocked_since: Cell<Option<Timestamp>>,
    /// Notified when it has to be decided again whether the connection closes: an answer has ended or waits for its
    /// caller, a head has begun and is not complete, or another connection needs the place.
    pub state_changed: Notify,
}

impl<H: ConnectionHost> CallerSocket<H> {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, host: Rc<H>) -> Rc<Self> {
        // A failure only makes small events slower.
        let _ = stream.set_nodelay(true);
        // A system without the option still serves.
        let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES);
        let now = host.clock().now();
        Rc::new(Self {
            stream,
            host,
            opened_at: now,
            is_new: Cell::new(true),
            active: Cell::new(0),
            unparsed_bytes: Cell::new(0),
            head_began_at: Cell::new(now),
            is_head_timed: Cell::new(false),
            allowance: Rc::default(),
            last_activity: Cell::new(now),
            idle_since: Cell::new(now),
            is_reclaimed: Cell::new(false),
            write_blocked_since: Cell::new(None),
            state_changed: Notify::new(),
        })
    }

    /// The connection as a byte stream for the HTTP library, which buffers at most `buffer_bytes`. Whoever reads the
    /// body of a request must record what is delivered in its allowance.
    pub fn stream(self: &Rc<Self>, buffer_bytes: usize) -> CallerStream<H> {
        self.allowance.set(ReadAllowance::with_buffer(buffer_bytes));
        CallerStream(Rc::clone(self))
    }

    /// How much of the current request may be read as a byte stream.
    pub fn allowance(&self) -> Rc<Cell<ReadAllowance>> {
        Rc::clone(&self.allowance)
    }

    /// Records that a complete head has arrived. The guard marks the request as active until it is dropped.
    pub fn begin(self: &Rc<Self>) -> ActiveRequest<H> {
        self.unparsed_bytes.set(0);
        self.is_head_timed.set(false);
        self.is_new.set(false);
        self.is_reclaimed.set(false);
        self.allowance.set(self.allowance.get().renewed());
        self.active.set(self.active.get() + 1);
        ActiveRequest(Rc::clone(self))
    }

    /// The observed state of the connection, without a look for unread bytes in the socket.
    pub fn state(&self) -> ConnectionState {
        let is_serving = self.active.get() > 0;
        ConnectionState {
            is_new: self.is_new.get(),
            is_serving,
            has_partial_head: !is_serving && self.unparsed_bytes.get() > 0,
            head_began_at: self.head_began_at.get(),
            is_readable: false,
            is_reclaimed: self.is_reclaimed.get(),
            write_blocked_since: self.write_blocked_since.get(),
            last_activity: self.last_activity.get(),
            idle_since: self.idle_since.get(),
        }
    }

    /// Asks the connection to close, if it still carries no request, because another one needs its place.
    pub fn reclaim(&self) {
        self.is_reclaimed.set(true);
        self.state_changed.notify_one();
    }

    /// Whether the socket has unread bytes. Asks the kernel, because the runtime's readiness may lag behind.
    pub fn is_readable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(socket2::SockRef::from(&self.stream).peek(&mut byte), Ok(count) if count > 0)
    }

    /// Shuts down the node's side and reads on until the caller closes its own. Closing at once would reset
    /// the connection if bytes are unread or in flight, and the reset can overtake the end of an answer. A caller that
    /// sends on is not read without a bound: its connection then waits unread for the same time.
    pub async fn close_gracefully(&self) {
        // The caller may have closed already.
        let _ = self.shut_down();
        // A connection that closes for another one has just been found without unread bytes.
        if self.is_reclaimed.get() {
            return;
        }
        let linger = if self.host.is_stopping() { LINGER_TIMEOUT_AT_STOP } else { LINGER_TIMEOUT };
        let unread = Cell::new(0);
        let lingering = Lingering::begin(self.host.lingering());
        self.host.clock().timeout(linger, self.read_to_end(&unread, &lingering)).await;
        let bytes = unread.get();
        if bytes > 0 {
            let open_ms = self.now().saturating_since(self.opened_at).as_millis() as u64;
            let stopping = self.host.is_stopping();
            self.host.report_closed_unread(&ClosedUnread { bytes, open_ms, stopping });
        }
    }

    /// The process that serves the connection.
    pub fn host(&self) -> &H {
        &self.host
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.host.clock().now()
    }

    /// Waits until bytes can be read.
    ///
    /// # Errors
    ///
    /// If the runtime has shut down.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Waits until bytes can be written.
    ///
    /// # Errors
    ///
    /// If the runtime has shut down.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Reads available bytes as part of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::WouldBlock`] if there are none; other kinds if the connection is broken.
    pub fn try_read(&self, buffer: &mut impl BufMut) -> io::Result<usize> {
        let count = self.stream.try_read_buf(buffer)?;
        self.record_read(count);
        Ok(count)
    }

    /// Like [`try_read`](Self::try_read), but asks the kernel directly, because the runtime's readiness may
    /// lag behind.
    ///
    /// # Errors
    ///
    /// As for [`try_read`](Self::try_read).
    pub fn read_now(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let count = io::Read::read(&mut &*socket2::SockRef::from(&self.stream), bytes)?;
        self.record_read(count);
        Ok(count)
    }

    fn record_read(&self, count: usize) {
        if self.unparsed_bytes.get() == 0 {
            self.head_began_at.set(self.now());
        }
        self.unparsed_bytes.set(self.unparsed_bytes.get() + count);
        self.last_activity.set(self.now());
    }

    /// Records that more bytes are waited for. If they are the rest of a head, its timeout begins.
    fn record_read_wait(&self) {
        let is_partial = self.active.get() == 0 && self.unparsed_bytes.get() > 0;
        if is_partial && !self.is_head_timed.replace(true) {
            self.state_changed.notify_one();
        }
    }

    /// Records that an answer waits until the caller takes some of it.
    fn record_write_wait(&self) {
        if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(self.now()));
            self.state_changed.notify_one();
        }
    }

    /// Writes as much as the socket accepts.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::WouldBlock`] if it accepts nothing; other kinds if the connection is broken.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_write(bytes)
    }

    fn shut_down(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).shutdown(Shutdown::Write)
    }

    /// Reads until the caller closes or the connection breaks, and counts the bytes. Does not return once no more may be
    /// read.
    async fn read_to_end(&self, count: &Cell<usize>, lingering: &Lingering<'_>) {
        let mut bytes = [0; LINGER_READ_BYTES];
        while self.stream.readable().await.is_ok() {
            if count.get() >= lingering.max_bytes() {
                return std::future::pending().await;
            }
            match self.stream.try_read(&mut bytes) {
                Ok(0) => break,
                Ok(read) => count.set(count.get() + read),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }
}

/// A closed connection that is still read, until dropped.
struct Lingering<'a>(&'a AtomicUsize);

impl<'a> Lingering<'a> {
    fn begin(lingering: &'a AtomicUsize) -> Self {
        lingering.fetch_add(1, Ordering::Relaxed);
        Self(lingering)
    }

    /// The bytes that each of the connections may be read.
    fn max_bytes(&self) -> usize {
        let share = MAX_LINGER_BYTES_OF_ALL / self.0.load(Ordering::Relaxed).max(1);
        share.clamp(LINGER_READ_BYTES, MAX_LINGER_BYTES)
    }
}

impl Drop for Lingering<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Marks a request as active on its connection until dropped.
pub struct ActiveRequest<H: ConnectionHost>(Rc<CallerSocket<H>>);

impl<H: ConnectionHost> Drop for ActiveRequest<H> {
    fn drop(&mut self) {
        let socket = &self.0;
        let now = socket.now();
        socket.active.set(socket.active.get().saturating_sub(1));
        // Any unread rest of the body belongs to the request that has ended.
        socket.unparsed_bytes.set(0);
        socket.last_activity.set(now);
        socket.idle_since.set(now);
        socket.state_changed.notify_one();
    }
}

/// A caller's connection as a byte stream.
pub struct CallerStream<H>(Rc<CallerSocket<H>>);

impl<H: ConnectionHost> AsyncRead for CallerStream<H> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        if !socket.allowance.get().may_read() {
            return Poll::Ready(Err(allowance_exceeded()));
        }
        loop {
            let Poll::Ready(readiness) = socket.stream.poll_read_ready(context) else {
                socket.record_read_wait();
                return Poll::Pending;
            };
            readiness?;
            match socket.try_read(buffer) {
                Ok(bytes) => {
                    socket.allowance.set(socket.allowance.get().after_read(bytes));
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl<H: ConnectionHost> CallerStream<H> {
    /// Writes as soon as the socket accepts bytes.
    fn poll_once_writable(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(readiness) = self.0.stream.poll_write_ready(context) else {
                self.0.record_write_wait();
                return Poll::Pending;
            };
            readiness?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => {
                    self.0.write_blocked_since.set(None);
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl<H: ConnectionHost> AsyncWrite for CallerStream<H> {
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
