//! The open connections of callers, and which of them closes when another one needs its place.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use paddlemount_core::forwarding::caller_connection::is_reclaimable;
use tokio::sync::Notify;

use crate::caller_stream::{CallerSocket, ConnectionHost};

/// How often it is checked whether a connection has become idle while there is no place for another one.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(20);

/// The open connections of callers.
pub(crate) struct OpenConnections<H> {
    sockets: RefCell<BTreeMap<u64, Rc<CallerSocket<H>>>>,
    last_number: Cell<u64>,
    ended: Notify,
    reclaimed: Cell<u64>,
}

impl<H> Default for OpenConnections<H> {
    fn default() -> Self {
        Self {
            sockets: RefCell::default(),
            last_number: Cell::new(0),
            ended: Notify::new(),
            reclaimed: Cell::new(0),
        }
    }
}

impl<H: ConnectionHost> OpenConnections<H> {
    /// Adds a connection, which is removed when the guard is dropped.
    pub(crate) fn add(self: &Rc<Self>, socket: Rc<CallerSocket<H>>) -> OpenConnection<H> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.sockets.borrow_mut().insert(number, socket);
        OpenConnection { connections: Rc::clone(self), number }
    }

    /// The number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.sockets.borrow().len()
    }

    /// The number of connections that were asked to close for others.
    pub(crate) const fn reclaimed(&self) -> u64 {
        self.reclaimed.get()
    }

    /// Waits until fewer than `max` connections are open. While there are more, the one that carries no request and
    /// has rested for longest is closed.
    pub(crate) async fn wait_for_place(&self, max: usize) {
        while self.count() >= max {
            if let Some(idle) = self.longest_idle() {
                idle.reclaim();
                self.reclaimed.set(self.reclaimed.get() + 1);
            }
            tokio::select! {
                () = self.ended.notified() => {}
                () = tokio::time::sleep(RECLAIM_INTERVAL) => {}
            }
        }
    }

    fn longest_idle(&self) -> Option<Rc<CallerSocket<H>>> {
        let sockets = self.sockets.borrow();
        let reclaimable = |socket: &&Rc<CallerSocket<H>>| {
            let state = socket.state();
            is_reclaimable(state, socket.now()) && !state.is_reclaimed && !socket.is_readable()
        };
        sockets.values().filter(reclaimable).min_by_key(|socket| socket.state().idle_since).cloned()
    }
}

/// An open connection, until dropped.
pub(crate) struct OpenConnection<H: ConnectionHost> {
    connections: Rc<OpenConnections<H>>,
    number: u64,
}

impl<H: ConnectionHost> Drop for OpenConnection<H> {
    fn drop(&mut self) {
        self.connections.sockets.borrow_mut().remove(&self.number);
        self.connections.ended.notify_one();
    }
}
