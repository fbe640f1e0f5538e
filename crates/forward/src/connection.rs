//! One HTTP/1.1 connection to a back end or to the platform.
//!
//! A connection carries one request at a time. Dropping it closes the socket at once, unless others hold it, which
//! cancels the attempt: the back end sees the close and stops its work.

use std::{
    cell::Cell,
    error::Error,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use paddlemount_core::forwarding::read_allowance::{MAX_BUFFERED_BYTES, ReadAllowance};
use paddlemount_protocol::time::Timestamp;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

use crate::{
    received_body::{ReceivedBody, is_oversized},
    shared_stream::SharedStream,
};

/// How long sent bytes may stay unacknowledged before the connection breaks. Where it is supported, this also ends
/// keep-alive probing, whatever the number of probes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// The idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// The time between probes: a peer that is silent for 1.5 s at any moment still answers one of them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Unanswered probes that break the connection, at the same moment as [`UNACKNOWLEDGED_TIMEOUT`].
const KEEPALIVE_PROBES: u32 = 4;

/// Why a request got no answer on a connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The connection was not established in time.
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("closed before the request was written")]
    NotSent,
    /// The connection broke, or the peer's bytes are not valid HTTP.
    #[error("broken: {0}")]
    Broken(hyper::Error),
}

impl ConnectionError {
    /// Whether it is certain that no byte of the request was written.
    pub const fn is_before_sending(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }

    /// Whether the peer has acknowledged nothing for too long, which does not show what it has received.
    pub fn is_timeout(&self) -> bool {
        let Self::Broken(error) = self else { return false };
        let source = error.source().and_then(|source| source.downcast_ref::<std::io::Error>());
        source.is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut)
    }

    /// Whether more bytes arrived that are no data than are read.
    pub fn is_oversized(&self) -> bool {
        matches!(self, Self::Broken(error) if is_oversized(error))
    }

    /// Whether the peer refused the connection because nothing listens there.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    pub opened_at: Timestamp,
    pub used_at: Timestamp,
    /// The peer's idle timeout, if it gave one.
    pub keep_alive: Option<Duration>,
    closed_after: Rc<Cell<Option<Duration>>>,
    socket: Rc<TcpStream>,
    /// How much of the current answer may be read.
    allowance: Rc<Cell<ReadAllowance>>,
}

impl Connection {
    /// Opens a connection, or fails after `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        now: Timestamp,
    ) -> Result<Self, ConnectionError> {
        Self::open_from(None, address, timeout, now).await
    }

    /// Like [`Self::open`], from the local address `source` if one is given.
    pub async fn open_from(
        source: Option<IpAddr>,
        address: SocketAddr,
        timeout: Duration,
        now: Timestamp,
    ) -> Result<Self, ConnectionError> {
        let stream = tokio::time::timeout(timeout, connect(source, address))
            .await
            .map_err(|_| ConnectionError::ConnectTimeout)?
            .map_err(ConnectionError::Connect)?;
        set_socket_options(&stream);
        let socket = Rc::new(stream);
        let allowance = Rc::default();
        let shared = SharedStream { socket: Rc::clone(&socket), allowance: Rc::clone(&allowance) };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(shared))
            .await
            .map_err(ConnectionError::Broken)?;
        let closed_after = Rc::new(Cell::new(None));
        let (opened, closing) = (Instant::now(), Rc::clone(&closed_after));
        let task = tokio::task::spawn_local(async move {
            // The error also reaches the task that waits for the answer.
            let _ = connection.await;
            closing.set(Some(opened.elapsed()));
        });
        Ok(Self {
            sender,
            task,
            opened_at: now,
            used_at: now,
            keep_alive: None,
            closed_after,
            socket,
            allowance,
        })
    }

    /// When the peer closed the connection, or it broke; `None` while it is open.
    pub fn closed_at(&self) -> Option<Timestamp> {
        self.closed_after.get().map(|after| self.opened_at + after)
    }

    /// The socket, for those who watch it after the connection was given up.
    pub(crate) fn socket(&self) -> Rc<TcpStream> {
        Rc::clone(&self.socket)
    }

    /// Whether the next request may be written.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Waits until the connection is free after an answer was read to its end.
    pub async fn becomes_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, ConnectionError> {
        self.allowance.set(self.allowance.get().renewed());
        let sent = self.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ConnectionError::NotSent,
            None => ConnectionError::Broken(error.into_error()),
        })?;
        Ok(answer.map(|body| ReceivedBody::new(body, Rc::clone(&self.allowance))))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Sets the options that detect an unresponsive peer. A system without one of them still serves.
fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
