//! Accepts and serves callers' connections, and closes them only while they carry no request.

use std::{
    cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, sync::atomic::AtomicUsize, time::Duration,
};

use http::{HeaderName, HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use paddlemount_clock::SteadyClock;
use paddlemount_core::forwarding::{
    caller_connection::{ConnectionTimeouts, StopStage},
    planned_stop::PlannedStop,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    answers::{AnswerBody, with_guard},
    caller_close::CloseMode,
    caller_stream::{CallerSocket, ClosedUnread, ConnectionHost},
    exchange,
    journal::Event,
    metrics::Counter,
    node::Node,
    received_body::ReceivedBody,
};

/// The delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The minimum read buffer of a connection, in bytes.
const MIN_READ_BUFFER: usize = 16 << 10;
/// The header that advertises the idle timeout to callers.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Accepts and serves callers' connections.
#[derive(Clone)]
pub struct Callers {
    node: Rc<Node>,
    stage: watch::Receiver<StopStage>,
    /// Whether connections are still accepted, if only from the queue of a listener that is about to close.
    accepting: Rc<Cell<bool>>,
}

impl Callers {
    /// Serves callers of `node`; `stage` is the stage of its planned stop.
    pub fn new(node: Rc<Node>, stage: watch::Receiver<StopStage>) -> Self {
        Self { node, stage, accepting: Rc::new(Cell::new(true)) }
    }

    /// Whether no connection is open and none will be accepted.
    pub fn are_drained(&self) -> bool {
        !self.accepting.get() && self.node.open_connections.count() == 0
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.node.open_connections.count()
    }

    /// Accepts connections until the stop reaches [`StopStage::Closing`], then those still in the listener's
    /// queue.
    pub async fn serve(self, listener: TcpListener) {
        let mut closing = self.stage.clone();
        loop {
            let accepted = tokio::select! {
                accepted = self.accept(&listener) => accepted,
                _ = closing.wait_for(|stage| *stage >= StopStage::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(error) => {
                    self.node.journal.log(&Event::CallerNotTaken { problem: error.to_string() });
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        if let Err(error) = self.accept_queued(listener) {
            self.node.journal.log(&Event::CallerNotTaken { problem: error.to_string() });
        }
        self.accepting.set(false);
    }

    async fn accept(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
        let max_connections = self.node.settings().limits.max_caller_connections();
        self.node.open_connections.wait_for_place(max_connections).await;
        listener.accept().await
    }

    /// Accepts the connections in the listener's queue before it closes, because the kernel would reset them
    /// together with requests that may already be waiting in them.
    fn accept_queued(&self, listener: TcpListener) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        // The first error means that the queue is empty.
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true)?;
            self.spawn_connection(TcpStream::from_std(stream)?);
        }
        Ok(())
    }

    fn spawn_connection(&self, stream: TcpStream) {
        let callers = self.clone();
        let socket = CallerSocket::new(stream, Rc::clone(&self.node));
        let open = self.node.open_connections.add(Rc::clone(&socket));
        tokio::task::spawn_local(async move {
            callers.serve_connection(socket).await;
            drop(open);
        });
    }

    async fn serve_connection(mut self, socket: Rc<CallerSocket<Node>>) {
        if self.has_first_byte(&socket).await {
            self.serve_requests(&socket).await;
        }
        tokio::select! {
            () = socket.close_gracefully() => {}
            _ = self.stage.wait_for(|stage| *stage == StopStage::Ended) => {}
        }
    }

    /// Waits for the first byte, so that a connection without any costs no buffers. Returns `false` if the connection is
    /// to close before.
    async fn has_first_byte(&self, socket: &CallerSocket<Node>) -> bool {
        tokio::select! {
            biased;
            _ = socket.readable() => true,
            _ = socket.until_close(self.stage.clone()) => false,
        }
    }

    /// Serves requests until the caller closes the connection or it has been idle for long enough to be
    /// closed.
    async fn serve_requests(&mut self, socket: &Rc<CallerSocket<Node>>) {
        let (node, service_socket, stage) = (Rc::clone(&self.node), Rc::clone(socket), self.stage.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            // An idle connection has no memory for a request.
            Box::pin(serve_request(Rc::clone(&node), Rc::clone(&service_socket), stage.clone(), request))
        });
        let buffer_bytes = (self.header_bytes() * 2).max(MIN_READ_BUFFER);
        let mut connection = std::pin::pin!(
            http1::Builder::new()
                .max_buf_size(buffer_bytes)
                .serve_connection(TokioIo::new(socket.stream(buffer_bytes)), service)
        );
        // Received bytes are read before the connection may close. Its end is logged by the requests on it.
        let close_mode = tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            close_mode = socket.until_close(self.stage.clone()) => close_mode,
        };
        if close_mode == CloseMode::Immediate {
            return;
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection => {}
            _ = self.stage.wait_for(|stage| *stage == StopStage::Ended) => {}
        }
    }

    fn header_bytes(&self) -> usize {
        let state = self.node.state.borrow();
        state.table.as_ref().map(|table| table.limits()).unwrap_or_default().header_bytes
    }
}

impl ConnectionHost for Node {
    fn clock(&self) -> SteadyClock {
        self.clock
    }

    /// The timeouts of the current configuration, which callers go by, even if the connection was opened under an older
    /// one.
    fn timeouts(&self) -> ConnectionTimeouts {
        let state = self.state.borrow();
        let limits = state.table.as_ref().map(|table| table.limits()).unwrap_or_default();
        ConnectionTimeouts { idle: limits.idle_timeout, head: limits.header_timeout }
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping()
    }

    fn lingering(&self) -> &AtomicUsize {
        &self.lingering
    }

    fn report_closed_unread(&self, closed: &ClosedUnread) {
        let ClosedUnread { bytes, open_ms, stopping } = *closed;
        self.metrics.count(Counter::ClosedUnread);
        self.journal.log(&Event::ClosedUnread { bytes, open_ms, stopping });
    }
}

async fn serve_request(
    node: Rc<Node>,
    socket: Rc<CallerSocket<Node>>,
    stage: watch::Receiver<StopStage>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let active_request = socket.begin();
    let drain_period = PlannedStop::drain_period(node.settings().bounds.grace());
    let keep_alive = PlannedStop::keep_alive_seconds(drain_period);
    let request = request.map(|body| ReceivedBody::new(body, socket.allowance()));
    let mut answer = exchange::serve(node, request, None).await;
    if *stage.borrow() != StopStage::Serving {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else if let Some(seconds) = keep_alive {
        // Lets callers avoid connections that a planned stop is about to close.
        let value = HeaderValue::from_str(&format!("timeout={seconds}"));
        answer.headers_mut().insert(KEEP_ALIVE, value.unwrap_or(HeaderValue::from_static("timeout=1")));
    }
    Ok(with_guard(answer, active_request))
}
