//! Callers' connections: taken, served, and closed only where nothing of a request is on them.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use paddlemount_protocol::time::Timestamp;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    answers::{AnswerBody, held_while_sent},
    caller_stream::CallerSocket,
    exchange,
    journal::Event,
    node::Node,
};

/// The pause after a connection could not be taken, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The least buffer that a head is read into, in bytes.
const LEAST_BUFFER: usize = 16 << 10;
/// How much longer than callers are told a connection that rests stays open.
const IDLE_SLACK: Duration = Duration::from_secs(5);
/// How long a connection must have been without a byte before a planned stop closes it. A caller that has just had an
/// answer, or has just connected, sends its next request within a few round trips.
const QUIET: Duration = Duration::from_millis(200);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Callers are served.
    Serving,
    /// Callers are served, and told to come on another connection next time.
    Leaving,
    /// No new connection is taken. What runs is served to its end; connections that rest are closed.
    Closing,
    /// The grace period is over: what still runs is cut off.
    Over,
}

/// Takes callers' connections, serves them, and counts those that are open.
#[derive(Clone)]
pub struct Callers {
    node: Rc<Node>,
    stage: watch::Receiver<StopStage>,
    open: Rc<Cell<usize>>,
    /// Whether connections may still be taken, be it only from the queue of a listener that is about to close.
    taking: Rc<Cell<bool>>,
}

impl Callers {
    /// Callers of `node`, whose planned stop `stage` tells of.
    pub fn new(node: Rc<Node>, stage: watch::Receiver<StopStage>) -> Self {
        Self { node, stage, open: Rc::default(), taking: Rc::new(Cell::new(true)) }
    }

    /// Whether no connection is open and none will be taken any more.
    pub fn are_gone(&self) -> bool {
        !self.taking.get() && self.open.get() == 0
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes callers until the stop has come to [`StopStage::Closing`], and those that had come by then.
    pub async fn serve(self, listener: TcpListener) {
        let mut closing = self.stage.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|stage| *stage >= StopStage::Closing) => break,
            };
            match accepted {
                Ok((stream, _)) => self.take(stream),
                Err(error) => {
                    self.node.journal.tell(&Event::CallerNotTaken { problem: error.to_string() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        if let Err(error) = self.take_waiting(listener) {
            self.node.journal.tell(&Event::CallerNotTaken { problem: error.to_string() });
        }
        self.taking.set(false);
    }

    /// Takes what waits in the listener's queue before it closes: the system would reset those connections, with
    /// requests that may have lain there for as long as this process did not run.
    fn take_waiting(&self, listener: TcpListener) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        // The first error is that nothing waits any more.
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true)?;
            self.take(TcpStream::from_std(stream)?);
        }
        Ok(())
    }

    fn take(&self, stream: TcpStream) {
        let callers = self.clone();
        self.open.set(self.open.get() + 1);
        tokio::task::spawn_local(async move {
            let open = Rc::clone(&callers.open);
            callers.serve_connection(stream).await;
            open.set(open.get() - 1);
        });
    }

    async fn serve_connection(mut self, stream: TcpStream) {
        let socket = CallerSocket::new(stream, Rc::clone(&self.node));
        self.serve_requests(&socket).await;
        tokio::select! {
            () = socket.close_gently() => {}
            _ = self.stage.wait_for(|stage| *stage == StopStage::Over) => {}
        }
    }

    /// Serves requests until the caller has left, or the connection has rested for long enough to be closed.
    async fn serve_requests(&mut self, socket: &Rc<CallerSocket>) {
        let (node, used, stage) = (Rc::clone(&self.node), Rc::clone(socket), self.stage.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            serve_request(Rc::clone(&node), Rc::clone(&used), stage.clone(), request)
        });
        let mut connection = std::pin::pin!(
            http1::Builder::new()
                .max_buf_size((self.header_bytes() * 2).max(LEAST_BUFFER))
                .serve_connection(TokioIo::new(socket.stream()), service)
        );
        // What has arrived is read before it is asked whether the connection may close. How a connection ends is told by
        // the requests on it.
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = self.until_rested(socket) => {}
        }
        if socket.is_amid_head() {
            // The library would wait for the rest of the head.
            return;
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection => {}
            _ = self.stage.wait_for(|stage| *stage == StopStage::Over) => {}
        }
    }

    /// Waits until a connection may close: it rests, and has for as long as callers may count on, or, in a planned stop,
    /// for [`QUIET`].
    async fn until_rested(&self, socket: &CallerSocket) {
        let mut stage = self.stage.clone();
        loop {
            let (present, now) = (*stage.borrow_and_update(), self.node.now());
            if present == StopStage::Over {
                return;
            }
            let rests_until = self.rests_until(socket, present);
            let is_over = rests_until.is_some_and(|until| until <= now);
            // A head that never ends keeps a connection no longer than none at all; a stop waits for its rest.
            let is_amid_head = present == StopStage::Closing && socket.is_amid_head();
            if is_over && !is_amid_head && !socket.is_readable() {
                return;
            }
            let look_again = rests_until.map(|until| until.max(now + QUIET));
            tokio::select! {
                _ = stage.changed() => {}
                () = socket.freed.notified() => {}
                () = self.wait_until(look_again) => {}
            }
        }
    }

    /// Until when a connection rests before it may close; nothing while a request is served on it.
    fn rests_until(&self, socket: &CallerSocket, stage: StopStage) -> Option<Timestamp> {
        if socket.is_served() {
            return None;
        }
        Some(match stage {
            StopStage::Serving | StopStage::Leaving => socket.free_since() + self.idle_timeout() + IDLE_SLACK,
            StopStage::Closing | StopStage::Over => socket.used_at() + QUIET,
        })
    }

    async fn wait_until(&self, at: Option<Timestamp>) {
        match at {
            // One timer a connection, and no look at the clock between: a connection that rests longer since the machine
            // was suspended harms nobody, and a node has thousands of them.
            Some(at) => tokio::time::sleep(at.saturating_since(self.node.now())).await,
            None => std::future::pending().await,
        }
    }

    /// How long callers may count on a connection that rests, by the configuration now in force: a caller goes by the
    /// newest one, not by the one under which its connection opened.
    fn idle_timeout(&self) -> Duration {
        let beliefs = self.node.beliefs.borrow();
        beliefs.table.as_ref().map(|table| table.limits()).unwrap_or_default().idle_timeout
    }

    fn header_bytes(&self) -> usize {
        let beliefs = self.node.beliefs.borrow();
        beliefs.table.as_ref().map(|table| table.limits()).unwrap_or_default().header_bytes
    }
}

async fn serve_request(
    node: Rc<Node>,
    socket: Rc<CallerSocket>,
    stage: watch::Receiver<StopStage>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let served = socket.begin();
    let mut answer = exchange::serve(node, request).await;
    if *stage.borrow() != StopStage::Serving {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(held_while_sent(answer, served))
}
