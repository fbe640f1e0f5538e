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

use bytes::BufMut;
use paddlemount_clock::SteadyClock;
use paddlemount_core::forwarding::caller_connection::ConnectionState;
use paddlemount_protocol::time::Timestamp;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

/// How long the node reads on after it has closed its side of a connection, unless the caller closes before.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same in a planned stop, which it prolongs: long enough for what crosses the close on its way.
const LINGER_TIMEOUT_AT_STOP: Duration = Duration::from_millis(100);
/// Bytes that are read at once while lingering.
const LINGER_READ_BYTES: usize = 4 << 10;

/// What a caller's connection asks of the process that serves it.
pub trait ConnectionHost {
    /// The clock by which connections count their rest.
    fn clock(&self) -> SteadyClock;

    /// How long callers may count on a connection that rests, by what is in force now.
    fn idle_timeout(&self) -> Duration;

    /// Whether the process was told to stop.
    fn is_stopping(&self) -> bool;

    /// Bytes came after a connection had closed, and were not read.
    fn report_closed_unread(&self, closed: &ClosedUnread);
}

/// A connection on which bytes came after it had closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedUnread {
    /// Bytes that came.
    pub bytes: usize,
    /// How long the connection had been open, in milliseconds.
    pub open_ms: u64,
    /// Whether the process was stopping.
    pub stopping: bool,
}

/// A caller's connection, shared by what serves it and what decides when it closes.
pub struct CallerSocket<H> {
    stream: TcpStream,
    host: Rc<H>,
    opened_at: Timestamp,
    /// Requests that are being active: from a whole head to the end of the answer's body.
    active: Cell<usize>,
    /// Bytes that came since the last whole head; above 0 without a request being active, a head is on its way.
    unparsed_bytes: Cell<usize>,
    /// When the last byte came, or the last answer ended.
    last_activity: Cell<Timestamp>,
    /// When the connection opened, or the last answer on it ended.
    idle_since: Cell<Timestamp>,
    /// Told when an answer has ended.
    pub request_ended: Notify,
}

impl<H: ConnectionHost> CallerSocket<H> {
    /// Takes an accepted connection over.
    pub fn new(stream: TcpStream, host: Rc<H>) -> Rc<Self> {
        // Without it small events wait for acknowledgements: slower, not wrong.
        let _ = stream.set_nodelay(true);
        let now = host.clock().now();
        Rc::new(Self {
            stream,
            host,
            opened_at: now,
            active: Cell::new(0),
            unparsed_bytes: Cell::new(0),
            last_activity: Cell::new(now),
            idle_since: Cell::new(now),
            request_ended: Notify::new(),
        })
    }

    /// The connection as a stream of bytes for the HTTP library.
    pub fn stream(self: &Rc<Self>) -> CallerStream<H> {
        CallerStream(Rc::clone(self))
    }

    /// A whole head is here. What is given holds the connection for active until it is dropped.
    pub fn begin(self: &Rc<Self>) -> ActiveRequest<H> {
        self.unparsed_bytes.set(0);
        self.active.set(self.active.get() + 1);
        ActiveRequest(Rc::clone(self))
    }

    /// What this process has seen on it; what lies unread in the socket is not looked at.
    pub fn state(&self) -> ConnectionState {
        let is_serving = self.active.get() > 0;
        ConnectionState {
            is_serving,
            has_partial_head: !is_serving && self.unparsed_bytes.get() > 0,
            is_readable: false,
            last_activity: self.last_activity.get(),
            idle_since: self.idle_since.get(),
        }
    }

    /// Whether bytes lie unread in the socket, by the system's own word: what the runtime knows may be older.
    pub fn is_readable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(socket2::SockRef::from(&self.stream).peek(&mut byte), Ok(count) if count > 0)
    }

    /// CloseMode the node's side and reads on until the caller has closed its own. Closing at once would reset the connection
    /// where bytes are unread or still on their way, and the reset overtakes the end of an answer.
    pub async fn close_gracefully(&self) {
        // The caller may have closed already.
        let _ = self.shut_down();
        let linger = if self.host.is_stopping() { LINGER_TIMEOUT_AT_STOP } else { LINGER_TIMEOUT };
        let crossed = Cell::new(0);
        self.host.clock().timeout(linger, self.read_to_end(&crossed)).await;
        let bytes = crossed.get();
        if bytes > 0 {
            let open_ms = self.now().saturating_since(self.opened_at).as_millis() as u64;
            let stopping = self.host.is_stopping();
            self.host.report_closed_unread(&ClosedUnread { bytes, open_ms, stopping });
        }
    }

    /// What serves the connection.
    pub fn host(&self) -> &H {
        &self.host
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        self.host.clock().now()
    }

    /// Waits until bytes can be read.
    ///
    /// # Errors
    ///
    /// Where the runtime ends.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Waits until bytes can be written.
    ///
    /// # Errors
    ///
    /// Where the runtime ends.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Reads what has come, as bytes of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::WouldBlock`] where nothing has; others where the connection has broken.
    pub fn try_read(&self, buffer: &mut impl BufMut) -> io::Result<usize> {
        let count = self.stream.try_read_buf(buffer)?;
        self.note_read(count);
        Ok(count)
    }

    /// The same, by the system's own word: the runtime may not have heard yet of what has come.
    ///
    /// # Errors
    ///
    /// As for [`try_read`](Self::try_read).
    pub fn read_now(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let count = io::Read::read(&mut &*socket2::SockRef::from(&self.stream), bytes)?;
        self.note_read(count);
        Ok(count)
    }

    fn note_read(&self, count: usize) {
        self.unparsed_bytes.set(self.unparsed_bytes.get() + count);
        self.last_activity.set(self.now());
    }

    /// Writes as much as the socket takes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::WouldBlock`] where it takes nothing; others where the connection has broken.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_write(bytes)
    }

    fn shut_down(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).shutdown(Shutdown::Write)
    }

    /// Reads until the caller has closed or the connection has broken, and counts what comes.
    async fn read_to_end(&self, count: &Cell<usize>) {
        let mut bytes = [0; LINGER_READ_BYTES];
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

/// A request that is being active on a connection.
pub struct ActiveRequest<H: ConnectionHost>(Rc<CallerSocket<H>>);

impl<H: ConnectionHost> Drop for ActiveRequest<H> {
    fn drop(&mut self) {
        let socket = &self.0;
        let now = socket.now();
        socket.active.set(socket.active.get().saturating_sub(1));
        // The rest of the body belongs to the request that has been active.
        socket.unparsed_bytes.set(0);
        socket.last_activity.set(now);
        socket.idle_since.set(now);
        socket.request_ended.notify_one();
    }
}

/// A caller's connection as a stream of bytes.
pub struct CallerStream<H>(Rc<CallerSocket<H>>);

impl<H: ConnectionHost> AsyncRead for CallerStream<H> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        loop {
            ready!(socket.stream.poll_read_ready(context))?;
            match socket.try_read(buffer) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl<H: ConnectionHost> CallerStream<H> {
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
