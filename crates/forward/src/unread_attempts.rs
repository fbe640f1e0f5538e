//! Watches the connections of attempts that were given up, for a sign that the back end has read the request.
//!
//! The node shuts down its side, which the back end sees as the close that cancels the attempt, and waits for bytes or
//! the end of the other side.

use std::{cell::RefCell, io::ErrorKind, net::Shutdown, rc::Rc};

use paddlemount_core::forwarding::late_arrivals::{MAX_UNREAD_TIME, RetriedRequest};
use paddlemount_protocol::fleet::BackendProcess;
use tokio::net::TcpStream;

use crate::{limits::LimitPermit, node::Node};

/// The maximum number of connections that are kept open to be watched, as each has a file descriptor.
const MAX_WATCHED: usize = 256;

/// An attempt that its back end may not have read.
pub struct UnreadAttempt {
    pub(crate) process: BackendProcess,
    /// The socket, unless it has failed.
    pub(crate) socket: Option<Rc<TcpStream>>,
    /// The permit of the back end's limit, if it has one.
    pub(crate) permit: Option<LimitPermit>,
}

/// The attempt that waits for an answer, from when it is sent. It outlives the future that waits.
pub type InFlight = Rc<RefCell<Option<UnreadAttempt>>>;

impl Node {
    /// Records that an attempt was given up, and watches whether it is read later, if its request was retried or its back
    /// end is limited.
    pub(crate) fn watch_unread(self: &Rc<Self>, request: Option<RetriedRequest>, attempt: UnreadAttempt) {
        if let Some(request) = request {
            let now = self.now();
            self.state.borrow_mut().late_arrivals.record_unread(request, now);
        }
        if request.is_none() && attempt.permit.is_none() {
            return;
        }
        let UnreadAttempt { process, socket, permit } = attempt;
        let Some(socket) = socket.filter(|_| self.watched.get() < MAX_WATCHED) else {
            return self.record_unobserved(request, &process);
        };
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let _watched = Watched::begin(&node);
            let _held_until_read = permit;
            match node.clock.timeout(MAX_UNREAD_TIME, until_read(&socket)).await {
                Some(true) => node.record_read(request),
                Some(false) => node.record_unobserved(request, &process),
                None => {}
            }
        });
    }

    fn record_read(&self, request: Option<RetriedRequest>) {
        let now = self.now();
        if let Some(request) = request {
            self.state.borrow_mut().late_arrivals.record_read(request, now);
        }
    }

    fn record_unobserved(&self, request: Option<RetriedRequest>, process: &BackendProcess) {
        if let Some(request) = request {
            self.state.borrow_mut().late_arrivals.record_unobserved(request, process);
        }
    }
}

/// Counts a watched connection until it is dropped.
struct Watched(Rc<Node>);

impl Watched {
    fn begin(node: &Rc<Node>) -> Self {
        node.watched.set(node.watched.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.0.watched.set(self.0.watched.get().saturating_sub(1));
    }
}

/// Waits until the peer sends something or closes. Returns `false` if it is out of reach.
async fn until_read(socket: &TcpStream) -> bool {
    // The peer may have closed already.
    let _ = socket2::SockRef::from(socket).shutdown(Shutdown::Write);
    let mut byte = [0];
    while socket.readable().await.is_ok() {
        match socket.try_read(&mut byte) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return error.kind() != ErrorKind::TimedOut,
            Ok(_) => return true,
        }
    }
    false
}
