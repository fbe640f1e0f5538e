//! Watches the connections of attempts that were given up, for a sign that the back end has read the request.
//!
//! The node shuts down its side, which the back end sees as the close that cancels the attempt, and waits for bytes or
//! the end of the other side.

use std::{cell::RefCell, io::ErrorKind, net::Shutdown, rc::Rc};

use paddlemount_core::forwarding::late_arrivals::{MAX_UNREAD_TIME, RetriedRequest};
use paddlemount_protocol::fleet::BackendProcess;
use tokio::net::TcpStream;

use crate::node::Node;

/// The maximum number of connections that are kept open to be watched, as each has a file descriptor.
const MAX_WATCHED: usize = 256;

/// An attempt that its back end may not have read.
#[derive(Clone, Debug)]
pub struct UnreadAttempt {
    pub(crate) process: BackendProcess,
    /// The socket, unless it has failed.
    pub(crate) socket: Option<Rc<TcpStream>>,
}

/// The attempt that waits for an answer, from when it is sent. It outlives the future that waits.
pub type InFlight = Rc<RefCell<Option<UnreadAttempt>>>;

impl Node {
    /// Records that an attempt of a retried request was given up, and watches whether it is read later.
    pub(crate) fn watch_unread(self: &Rc<Self>, request: RetriedRequest, attempt: UnreadAttempt) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.late_arrivals.record_unread(request, now);
        let Some(socket) = attempt.socket.filter(|_| self.watched.get() < MAX_WATCHED) else {
            state.late_arrivals.record_unobserved(request, &attempt.process);
            return;
        };
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let _watched = Watched::begin(&node);
            let is_read = node.clock.timeout(MAX_UNREAD_TIME, until_read(&socket)).await;
            let now = node.now();
            let late_arrivals = &mut node.state.borrow_mut().late_arrivals;
            match is_read {
                Some(true) => late_arrivals.record_read(request, now),
                Some(false) => late_arrivals.record_unobserved(request, &attempt.process),
                None => {}
            }
        });
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
