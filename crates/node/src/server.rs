//! One HTTP server: a listener with its worker threads.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
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

/// Bytes of a request's head at most.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Header fields of a request at most.
pub const MAX_HEAD_FIELDS: usize = 64;
/// Bytes of an answer that wait for a slow receiver, for each connection.
pub const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// A time that no process outlives.
const NEVER: Duration = Duration::from_secs(100 * 365 * 24 * 60 * 60);

/// What a server is told.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// What the listener is for, in thread names and messages.
    pub name: &'static str,
    /// Threads.
    pub workers: usize,
    /// Until a request's headers have arrived.
    pub head: Duration,
    /// How long callers may count on a connection that rests.
    pub keep_alive: Duration,
}

/// A server that runs on threads of its own.
pub struct RunningServer {
    address: SocketAddr,
    stop: Box<dyn Fn() + Send + Sync>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and waits until all threads of the server have ended.
    pub async fn stop(mut self) {
        (self.stop)();
        let Some(thread) = self.thread.take() else { return };
        let joined = tokio::task::spawn_blocking(move || thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("a server thread ended by a panic");
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
/// Where its threads cannot be started.
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
    let host = ServingHost::new(state, settings.keep_alive);
    let config = HttpServiceConfig::new()
        .request_head_timeout(settings.head)
        // When a connection that rests closes is decided with a look at what lies in it; the library would not look.
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

/// Binds an address.
///
/// # Errors
///
/// Says which address could not be bound, for what, and why.
pub fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    listen(address).map_err(|source| BindError { name, address, source })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Accepted connections inherit this. Without it, a small event that follows another waits for the
    // caller's delayed acknowledgement, some 40 ms.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// An address that could not be bound.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot listen for {name} on {address}: {source}; free the address or set another one (listen.{name})"
)]
pub struct BindError {
    /// What the listener is for.
    pub name: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// Why.
    pub source: io::Error,
}
