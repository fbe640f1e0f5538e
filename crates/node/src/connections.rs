//! Callers' connections under the server library: when they close is decided as for all other callers' connections, by
//! `core::forwarding::caller_connection`, with a look at what lies in them.
//!
//! The library takes each connection through a service for TLS, where [`TakeConnection`] puts [`CallerBytes`] in the place
//! of the plain socket, and knows nothing of it when it calls the application. [`WithinConnection`] therefore keeps the
//! connection with the task that serves it, where [`TellKeepAlive`] finds it for each request.

use std::{
    cell::OnceCell,
    future::poll_fn,
    io::{self, ErrorKind},
    net::{Shutdown, SocketAddr},
    pin::{Pin, pin},
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use paddlemount_clock::SteadyClock;
use paddlemount_core::forwarding::caller_connection::StopStage;
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

/// Bytes that are read at once.
const READ_BYTES: usize = 4 << 10;
/// The header by which callers are told how long they may count on a connection that rests.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Connections on which bytes came after they had closed.
const CLOSED_UNREAD: &str = "paddlemount_connections_closed_unread_total";

type Socket = CallerSocket<ServingHost>;

tokio::task_local! {
    /// The connection that the present task serves, once it is taken.
    static CONNECTION: OnceCell<Rc<Socket>>;
}

/// What connections of one server ask of the node.
#[derive(Clone)]
pub struct ServingHost {
    clock: Clock,
    keep_alive: Duration,
    active: Arc<ActiveRequests>,
    metrics: Arc<NodeMetrics>,
}

impl ServingHost {
    /// For connections on which callers may count for `keep_alive` while they rest.
    pub fn new(state: &NodeState, keep_alive: Duration) -> Self {
        let (active, metrics) = (Arc::clone(&state.active), Arc::clone(&state.metrics));
        Self { clock: state.clock, keep_alive, active, metrics }
    }
}

impl ConnectionHost for ServingHost {
    fn clock(&self) -> SteadyClock {
        self.clock.steady()
    }

    fn idle_timeout(&self) -> Duration {
        self.keep_alive
    }

    fn is_stopping(&self) -> bool {
        self.active.is_draining()
    }

    fn report_closed_unread(&self, closed: &ClosedUnread) {
        self.metrics.counter(CLOSED_UNREAD, &[]).increment(1);
        let ClosedUnread { bytes, open_ms, stopping } = *closed;
        log::info!(
            "{bytes} bytes crossed the close of a connection, open {open_ms} ms, stopping: {stopping}"
        );
    }
}

/// Takes accepted connections over, in the place of TLS.
#[derive(Clone)]
pub struct TakeConnection {
    host: ServingHost,
}

impl TakeConnection {
    /// Takes connections for `host`.
    pub const fn new(host: ServingHost) -> Self {
        Self { host }
    }
}

impl Service for TakeConnection {
    type Response = Taker;
    type Error = std::convert::Infallible;

    async fn call(&self, (): ()) -> Result<Self::Response, Self::Error> {
        Ok(Taker { host: Rc::new(self.host.clone()) })
    }
}

/// Takes connections on one worker thread.
pub struct Taker {
    host: Rc<ServingHost>,
}

impl Service<TcpStream> for Taker {
    type Response = CallerBytes;
    type Error = ();

    async fn call(&self, stream: TcpStream) -> Result<CallerBytes, ()> {
        let stream = stream.into_std().and_then(tokio::net::TcpStream::from_std);
        let stream = stream.map_err(|error| log::error!("a connection could not be taken: {error}"))?;
        let socket = CallerSocket::new(stream, Rc::clone(&self.host));
        // Each task serves one connection, and takes it once.
        let _ = CONNECTION.try_with(|connection| connection.set(Rc::clone(&socket)));
        Ok(CallerBytes { socket, stage: self.host.active.stage() })
    }
}

/// What a connection was waited for.
enum Come {
    /// The runtime tells of bytes, or of the caller's end.
    Readable,
    /// The system tells of bytes that the runtime has not told of.
    Found,
    /// The connection is to close.
    Closes,
}

/// A caller's connection as bytes for the server library.
pub struct CallerBytes {
    socket: Rc<Socket>,
    stage: watch::Receiver<StopStage>,
}

impl CallerBytes {
    /// Reads what has come into `bytes`; nothing where the connection is to close.
    async fn read_some(&self, bytes: &mut [u8]) -> io::Result<usize> {
        loop {
            let come = self.come().await?;
            let read = match come {
                Come::Readable => self.socket.try_read(&mut &mut *bytes),
                Come::Found => self.socket.read_now(bytes),
                Come::Closes => return Ok(0),
            };
            match read {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Waits until bytes can be read, or the connection is to close.
    ///
    /// The library asks once more when its bound for a head has passed, and gives the request up where nothing can be read.
    /// The runtime may not have heard yet of what has come, as after time in which the process did not run, so amid a head
    /// and from the second time on the system is asked too.
    async fn come(&self) -> io::Result<Come> {
        let mut readable = pin!(self.socket.readable());
        let mut closes = pin!(self.socket.until_close(self.stage.clone()));
        let mut asks_system = self.socket.state().has_partial_head;
        poll_fn(|context| {
            if let Poll::Ready(result) = readable.as_mut().poll(context) {
                return Poll::Ready(result.map(|()| Come::Readable));
            }
            if asks_system && self.socket.is_readable() {
                return Poll::Ready(Ok(Come::Found));
            }
            asks_system = true;
            closes.as_mut().poll(context).map(|_| Ok(Come::Closes))
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

impl AsyncBufRead for CallerBytes {
    async fn read<B: BoundedBufMut>(&self, mut buffer: B) -> (io::Result<usize>, B) {
        let mut bytes = [0; READ_BYTES];
        let room = (buffer.bytes_total() - buffer.bytes_init()).min(READ_BYTES);
        let read = self.read_some(&mut bytes[..room]).await;
        if let Ok(count) = read {
            buffer.put_slice(&bytes[..count]);
        }
        (read, buffer)
    }
}

impl AsyncBufWrite for CallerBytes {
    async fn write<B: BoundedBuf>(&self, buffer: B) -> (io::Result<usize>, B) {
        let written = self.write_some(buffer.chunk()).await;
        (written, buffer)
    }

    async fn shutdown(self, _: Shutdown) -> io::Result<()> {
        self.socket.close_gracefully().await;
        Ok(())
    }
}

/// Keeps a connection with the task that serves it.
#[derive(Clone, Copy, Debug)]
pub struct WithinConnection;

impl<S, E> Service<Result<S, E>> for WithinConnection {
    type Response = WithinConnectionService<S>;
    type Error = E;

    async fn call(&self, service: Result<S, E>) -> Result<Self::Response, E> {
        service.map(WithinConnectionService)
    }
}

/// Serves connections on one worker thread.
pub struct WithinConnectionService<S>(S);

impl<S: Service<(TcpStream, SocketAddr)>> Service<(TcpStream, SocketAddr)> for WithinConnectionService<S> {
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, connection: (TcpStream, SocketAddr)) -> Result<S::Response, S::Error> {
        CONNECTION.scope(OnceCell::new(), self.0.call(connection)).await
    }
}

impl<S: ReadyService> ReadyService for WithinConnectionService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.0.ready().await
    }
}

/// Holds a connection open while a request on it is served, and tells callers how long they may count on it after.
#[derive(Clone, Copy, Debug)]
pub struct TellKeepAlive;

impl<S, E> Service<Result<S, E>> for TellKeepAlive {
    type Response = TellKeepAliveService<S>;
    type Error = E;

    async fn call(&self, service: Result<S, E>) -> Result<Self::Response, E> {
        service.map(TellKeepAliveService)
    }
}

/// Serves requests on one worker thread.
pub struct TellKeepAliveService<S>(S);

impl<S, B> Service<WebRequest> for TellKeepAliveService<S>
where
    S: Service<WebRequest, Response = WebResponse<B>>,
{
    type Response = WebResponse<HeldBody<B>>;
    type Error = S::Error;

    async fn call(&self, request: WebRequest) -> Result<Self::Response, S::Error> {
        let socket = CONNECTION.try_with(|connection| connection.get().cloned()).ok().flatten();
        let served = socket.as_ref().map(Socket::begin);
        let mut answer = self.0.call(request).await?;
        if let Some(value) = socket.and_then(|socket| keep_alive(socket.host())) {
            answer.headers_mut().insert(KEEP_ALIVE, value);
        }
        Ok(answer.map(|body| HeldBody { body: Box::pin(body), _served: served }))
    }
}

impl<S: ReadyService> ReadyService for TellKeepAliveService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.0.ready().await
    }
}

/// In whole seconds; nothing where that would be none.
fn keep_alive(host: &ServingHost) -> Option<HeaderValue> {
    let seconds = host.idle_timeout().as_secs();
    if seconds == 0 || host.is_stopping() {
        return None;
    }
    HeaderValue::from_str(&format!("timeout={seconds}")).ok()
}

/// A body that holds its connection for served until it is dropped.
pub struct HeldBody<B> {
    body: Pin<Box<B>>,
    _served: Option<ActiveRequest<ServingHost>>,
}

impl<B: Body<Data = Bytes>> Body for HeldBody<B> {
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
