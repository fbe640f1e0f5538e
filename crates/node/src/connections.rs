//! Adapts callers' connections to the server library. `core::forwarding::caller_connection` decides when they
//! close, so that no request that has arrived unread is lost.
//!
//! The library passes each connection through its TLS service, where [`AcceptConnection`] replaces the plain
//! socket by [`CallerIo`], but does not hand it to the application. [`ConnectionScope`] therefore keeps the
//! connection in a task-local, where [`KeepAliveHeader`] finds it for each request.

use std::{
    cell::OnceCell,
    future::poll_fn,
    io::{self, ErrorKind},
    net::{Shutdown, SocketAddr},
    pin::{Pin, pin},
    rc::Rc,
    sync::{Arc, atomic::AtomicUsize},
    task::{Context, Poll},
};

use bytes::Bytes;
use paddlemount_clock::SteadyClock;
use paddlemount_core::forwarding::caller_connection::{ConnectionTimeouts, StopStage};
use paddlemount_forward::caller_stream::{ActiveRequest, CallerSocket, ClosedUnread, ConnectionHost};
use tokio::sync::watch;
use xitca_io::{
    io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut},
    net::TcpStream,
};
use xitca_web::{
    body::{Body, Frame, SizeHint},
    http::{HeaderName, HeaderValue, WebRequest, WebResponse},
    service::{Service, ready::ReadyService},
};

use crate::{active::ActiveRequests, clock::Clock, metrics::NodeMetrics, state::NodeState};

const READ_BUFFER_BYTES: usize = 4 << 10;
/// Advertises to callers how long an idle connection stays open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Counts connections on which bytes arrived after they had closed.
const CLOSED_UNREAD: &str = "paddlemount_connections_closed_unread_total";

type Socket = CallerSocket<ServingHost>;

tokio::task_local! {
    /// The connection that the current task serves, once accepted.
    static CONNECTION: OnceCell<Rc<Socket>>;
}

/// The host of the connections of one server.
#[derive(Clone)]
pub struct ServingHost {
    clock: Clock,
    timeouts: ConnectionTimeouts,
    active: Arc<ActiveRequests>,
    metrics: Arc<NodeMetrics>,
    lingering: Arc<AtomicUsize>,
}

impl ServingHost {
    /// Creates the host of connections with these timeouts.
    pub fn new(state: &NodeState, timeouts: ConnectionTimeouts) -> Self {
        let (active, metrics) = (Arc::clone(&state.active), Arc::clone(&state.metrics));
        Self { clock: state.clock, timeouts, active, metrics, lingering: Arc::default() }
    }
}

impl ConnectionHost for ServingHost {
    fn clock(&self) -> SteadyClock {
        self.clock.steady()
    }

    fn timeouts(&self) -> ConnectionTimeouts {
        self.timeouts
    }

    fn is_stopping(&self) -> bool {
        self.active.is_draining()
    }

    fn lingering(&self) -> &AtomicUsize {
        &self.lingering
    }

    fn report_closed_unread(&self, closed: &ClosedUnread) {
        self.metrics.counter(CLOSED_UNREAD, &[]).increment(1);
        let ClosedUnread { bytes, open_ms, stopping } = *closed;
        log::info!(
            "{bytes} bytes arrived on a connection after its close; open {open_ms} ms, stopping: {stopping}"
        );
    }
}

/// Wraps accepted connections, in the place of TLS.
#[derive(Clone)]
pub struct AcceptConnection {
    host: ServingHost,
}

impl AcceptConnection {
    /// Wraps connections for `host`.
    pub const fn new(host: ServingHost) -> Self {
        Self { host }
    }
}

impl Service for AcceptConnection {
    type Response = AcceptConnectionService;
    type Error = std::convert::Infallible;

    async fn call(&self, (): ()) -> Result<Self::Response, Self::Error> {
        Ok(AcceptConnectionService { host: Rc::new(self.host.clone()) })
    }
}

/// Wraps connections on one worker thread.
pub struct AcceptConnectionService {
    host: Rc<ServingHost>,
}

impl Service<TcpStream> for AcceptConnectionService {
    type Response = CallerIo;
    type Error = ();

    async fn call(&self, stream: TcpStream) -> Result<CallerIo, ()> {
        let stream = stream.into_std().and_then(tokio::net::TcpStream::from_std);
        let stream =
            stream.map_err(|error| log::error!("cannot register an accepted connection: {error}"))?;
        let socket = CallerSocket::new(stream, Rc::clone(&self.host));
        // Each task serves one connection and accepts it once.
        let _ = CONNECTION.try_with(|connection| connection.set(Rc::clone(&socket)));
        Ok(CallerIo { socket, stage: self.host.active.stage() })
    }
}

/// Why a wait on a connection ended.
enum Readiness {
    /// The runtime reports bytes or the end of the stream.
    Readable,
    /// The socket holds bytes that the runtime has not reported yet.
    ReadableNow,
    Closing,
}

/// A caller's connection as the server library reads and writes it.
pub struct CallerIo {
    socket: Rc<Socket>,
    stage: watch::Receiver<StopStage>,
}

impl CallerIo {
    /// Reads into `bytes`; 0 if the connection is to close.
    async fn read_some(&self, bytes: &mut [u8]) -> io::Result<usize> {
        loop {
            let readiness = self.readiness().await?;
            let read = match readiness {
                Readiness::Readable => self.socket.try_read(&mut &mut *bytes),
                Readiness::ReadableNow => self.socket.read_now(bytes),
                Readiness::Closing => return Ok(0),
            };
            match read {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Waits until bytes can be read or the connection is to close.
    ///
    /// The library polls once more after its head timeout and abandons the request if nothing is readable.
    /// The runtime may not have reported received bytes yet, for instance after the process was stalled, so
    /// the socket itself is checked from the second poll on, and at once inside a partial head.
    async fn readiness(&self) -> io::Result<Readiness> {
        let mut readable = pin!(self.socket.readable());
        let mut closing = pin!(self.socket.until_close(self.stage.clone()));
        let mut check_socket = self.socket.state().has_partial_head;
        poll_fn(|context| {
            if let Poll::Ready(result) = readable.as_mut().poll(context) {
                return Poll::Ready(result.map(|()| Readiness::Readable));
            }
            if check_socket && self.socket.is_readable() {
                return Poll::Ready(Ok(Readiness::ReadableNow));
            }
            check_socket = true;
            closing.as_mut().poll(context).map(|_| Ok(Readiness::Closing))
        })
        .await
    }

    async fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match self.socket.try_write(bytes) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.socket.writable().await?,
                written => return written,
            }
        }
    }
}

impl AsyncBufRead for CallerIo {
    async fn read<B: BoundedBufMut>(&self, mut buffer: B) -> (io::Result<usize>, B) {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let capacity = (buffer.bytes_total() - buffer.bytes_init()).min(READ_BUFFER_BYTES);
        let read = self.read_some(&mut bytes[..capacity]).await;
        if let Ok(count) = read {
            buffer.put_slice(&bytes[..count]);
        }
        (read, buffer)
    }
}

impl AsyncBufWrite for CallerIo {
    async fn write<B: BoundedBuf>(&self, buffer: B) -> (io::Result<usize>, B) {
        let written = self.write_some(buffer.chunk()).await;
        (written, buffer)
    }

    async fn shutdown(self, _: Shutdown) -> io::Result<()> {
        self.socket.close_gracefully().await;
        Ok(())
    }
}

/// Keeps a connection in a task-local of the task that serves it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionScope;

impl<S, E> Service<Result<S, E>> for ConnectionScope {
    type Response = ConnectionScopeService<S>;
    type Error = E;

    async fn call(&self, service: Result<S, E>) -> Result<Self::Response, E> {
        service.map(ConnectionScopeService)
    }
}

/// Serves connections on one worker thread.
pub struct ConnectionScopeService<S>(S);

impl<S: Service<(TcpStream, SocketAddr)>> Service<(TcpStream, SocketAddr)> for ConnectionScopeService<S> {
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, connection: (TcpStream, SocketAddr)) -> Result<S::Response, S::Error> {
        CONNECTION.scope(OnceCell::new(), self.0.call(connection)).await
    }
}

impl<S: ReadyService> ReadyService for ConnectionScopeService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.0.ready().await
    }
}

/// Keeps a connection open while a request on it is served, and adds the `keep-alive` header.
#[derive(Clone, Copy, Debug)]
pub struct KeepAliveHeader;

impl<S, E> Service<Result<S, E>> for KeepAliveHeader {
    type Response = KeepAliveHeaderService<S>;
    type Error = E;

    async fn call(&self, service: Result<S, E>) -> Result<Self::Response, E> {
        service.map(KeepAliveHeaderService)
    }
}

/// Serves requests on one worker thread.
pub struct KeepAliveHeaderService<S>(S);

impl<S, B> Service<WebRequest> for KeepAliveHeaderService<S>
where
    S: Service<WebRequest, Response = WebResponse<B>>,
{
    type Response = WebResponse<GuardedBody<B>>;
    type Error = S::Error;

    async fn call(&self, request: WebRequest) -> Result<Self::Response, S::Error> {
        let socket = CONNECTION.try_with(|connection| connection.get().cloned()).ok().flatten();
        let served = socket.as_ref().map(Socket::begin);
        let mut answer = self.0.call(request).await?;
        if let Some(value) = socket.and_then(|socket| keep_alive(socket.host())) {
            answer.headers_mut().insert(KEEP_ALIVE, value);
        }
        Ok(answer.map(|body| GuardedBody { body: Box::pin(body), _served: served }))
    }
}

impl<S: ReadyService> ReadyService for KeepAliveHeaderService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.0.ready().await
    }
}

/// The header's value in whole seconds; none for less than one second or while the node stops.
fn keep_alive(host: &ServingHost) -> Option<HeaderValue> {
    let seconds = host.timeouts.idle.as_secs();
    if seconds == 0 || host.is_stopping() {
        return None;
    }
    HeaderValue::from_str(&format!("timeout={seconds}")).ok()
}

/// A body that marks its connection as busy until it is dropped.
pub struct GuardedBody<B> {
    body: Pin<Box<B>>,
    _served: Option<ActiveRequest<ServingHost>>,
}

impl<B: Body<Data = Bytes>> Body for GuardedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
