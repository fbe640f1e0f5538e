//! An HTTP server: a listener with its worker threads.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
use paddlemount_core::forwarding::caller_connection::ConnectionTimeouts;
use paddlemount_forward::ingress::RECEIVE_BUFFER_BYTES;
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_io::net::TcpStream;
use xitca_server::Builder;
use xitca_web::{
    body::Body,
    http::{WebRequest, WebResponse},
    service::{Service, ServiceExt, ready::ReadyService},
};

use crate::{
    connections::{AcceptConnection, ConnectionScope, KeepAliveHeader, ServingHost},
    state::NodeState,
};

/// Limit on the size of a request head.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Limit on the number of header fields.
pub const MAX_HEAD_FIELDS: usize = 64;
/// Bytes of an answer buffered for a slow receiver, per connection.
pub const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Effectively disables a timeout.
const NEVER: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// The settings of one server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Used in thread names and messages.
    pub name: &'static str,
    pub workers: usize,
    /// Timeout for the request head.
    pub head: Duration,
    /// How long an idle connection stays open.
    pub keep_alive: Duration,
}

/// A running server with its own threads.
pub struct RunningServer {
    address: SocketAddr,
    stop: Box<dyn Fn() + Send + Sync>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and waits for all threads to end.
    pub async fn stop(mut self) {
        (self.stop)();
        let Some(thread) = self.thread.take() else { return };
        let joined = tokio::task::spawn_blocking(move || thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("a server thread panicked");
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        (self.stop)();
    }
}

/// Starts a server for `app` on `listener`.
///
/// # Errors
///
/// Fails if the threads cannot be started.
pub fn start<S, B>(
    state: &Arc<NodeState>,
    settings: ServerSettings,
    listener: TcpListener,
    app: S,
) -> io::Result<RunningServer>
where
    S: Service + Send + Sync + 'static,
    S::Response: ReadyService + Service<WebRequest, Response = WebResponse<B>> + 'static,
    S::Error: std::fmt::Debug,
    <S::Response as Service<WebRequest>>::Error: std::fmt::Debug,
    B: Body<Data = Bytes> + 'static,
    B::Error: std::fmt::Debug + 'static,
{
    let address = listener.local_addr()?;
    // The library ends a slow head itself, with an answer.
    let timeouts = ConnectionTimeouts { idle: settings.keep_alive, head: NEVER };
    let host = ServingHost::new(state, timeouts);
    let config = HttpServiceConfig::new()
        .request_head_timeout(settings.head)
        // `CallerIo` closes idle connections after checking for unread bytes, which the library would not do.
        .keep_alive_timeout(NEVER)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .max_request_headers::<MAX_HEAD_FIELDS>();
    let http = HttpServiceBuilder::h1().config(config).with_tls(AcceptConnection::new(host));
    let service = app.enclosed(KeepAliveHeader).enclosed(http).enclosed(ConnectionScope);
    let mut running = Builder::new()
        .worker_threads(settings.workers)
        .disable_signal()
        .listen::<_, _, _, (TcpStream, SocketAddr)>(settings.name, listener, service)
        .build();
    let handle = running.handle()?;
    let thread = std::thread::Builder::new().name(format!("{}-server", settings.name)).spawn(move || {
        if let Err(error) = running.wait() {
            log::error!("the server for {} ended: {error}", settings.name);
        }
    })?;
    Ok(RunningServer { address, stop: Box::new(move || handle.stop(false)), thread: Some(thread) })
}

/// Binds a listener.
///
/// # Errors
///
/// Names the address, its purpose and the cause.
pub fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    listen(address).map_err(|source| BindError { name, address, source })
}

/// Binds the listener of callers, whose connections have small receive buffers.
///
/// # Errors
///
/// As for [`bind`].
pub fn bind_for_callers(address: SocketAddr) -> Result<TcpListener, BindError> {
    let listener = bind("callers", address)?;
    // Accepted connections inherit it. A system without the option still serves.
    let _ = socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize);
    Ok(listener)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Accepted connections inherit this. Without it, a small event after another one waits for the caller's
    // delayed acknowledgement, about 40 ms.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// An address that could not be bound.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen for {name} on {address}: {source}; free the address or set another one (listen.{name})"
)]
pub struct BindError {
    pub name: &'static str,
    pub address: SocketAddr,
    pub source: io::Error,
}
