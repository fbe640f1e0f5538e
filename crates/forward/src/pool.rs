//! Idle connections to back ends, by the back end's id.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

use paddlemount_core::forwarding::backends::BackendId;
use paddlemount_protocol::time::Timestamp;

use crate::connection::Connection;

/// The maximum idle time of a reused connection, unless the peer states its own.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// How much earlier than its peer the node closes a connection, so that no request races with the peer's
/// close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
const MAX_IDLE_CONNECTIONS: usize = 24;
/// The maximum number of remembered closings.
const MAX_CLOSINGS: usize = 256;
/// How long connections to a back end are not reused after it sent unsolicited bytes.
const DISTRUST_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct BackendConnections {
    idle: Vec<Connection>,
    distrusted_until: Timestamp,
}

/// Idle connections to back ends.
#[derive(Debug, Default)]
pub struct Pool {
    by_backend: BTreeMap<BackendId, BackendConnections>,
    /// The last idle connections that their peers closed.
    closings: VecDeque<Closing>,
}

/// An idle connection that its peer closed.
#[derive(Clone, Debug)]
struct Closing {
    backend: BackendId,
    at: Timestamp,
}

impl Pool {
    /// Takes the most recently used connection, if one is usable.
    pub fn take(&mut self, backend: &BackendId, now: Timestamp) -> Option<Connection> {
        let connections = self.by_backend.get_mut(backend)?;
        note_closings(&mut self.closings, backend, &connections.idle);
        connections.idle.retain(|connection| is_usable(connection, now));
        connections.idle.pop()
    }

    /// Returns a connection whose last answer was read to its end; closes it if `max_idle` are idle already.
    pub fn put(
        &mut self,
        backend: &BackendId,
        mut connection: Connection,
        max_idle: Option<usize>,
        now: Timestamp,
    ) {
        let connections = self.by_backend.entry(backend.clone()).or_default();
        let max_idle = max_idle.map_or(MAX_IDLE_CONNECTIONS, |max| max.min(MAX_IDLE_CONNECTIONS));
        if now < connections.distrusted_until || connections.idle.len() >= max_idle {
            return;
        }
        connection.used_at = now;
        connections.idle.push(connection);
    }

    /// Closes the connections to a back end that sent unsolicited bytes, and reuses none for a while.
    pub fn distrust(&mut self, backend: &BackendId, now: Timestamp) {
        let connections = self.by_backend.entry(backend.clone()).or_default();
        connections.idle.clear();
        connections.distrusted_until = now + DISTRUST_TIME;
    }

    /// Closes the connections to a back end.
    pub fn close(&mut self, backend: &BackendId) {
        if let Some(connections) = self.by_backend.remove(backend) {
            note_closings(&mut self.closings, backend, &connections.idle);
        }
    }

    /// Closes connections to a back end that were not used since `since`, down to `keep` idle ones.
    pub fn trim(&mut self, backend: &BackendId, keep: usize, since: Timestamp) {
        let Some(connections) = self.by_backend.get_mut(backend) else { return };
        // The least recently used ones come first.
        let excess = connections.idle.len().saturating_sub(keep);
        let unused = connections.idle.iter().take(excess).take_while(|idle| idle.used_at < since).count();
        connections.idle.drain(..unused);
    }

    /// The back ends with idle connections.
    pub fn backends(&self) -> impl Iterator<Item = &BackendId> {
        self.by_backend.keys()
    }

    /// Closes connections that are no longer usable.
    pub fn sweep(&mut self, now: Timestamp) {
        for (backend, connections) in &mut self.by_backend {
            note_closings(&mut self.closings, backend, &connections.idle);
            connections.idle.retain(|connection| is_usable(connection, now));
        }
        self.by_backend
            .retain(|_, connections| !connections.idle.is_empty() || now < connections.distrusted_until);
    }

    /// The back ends that closed an idle connection in `period`, with the first time of each.
    pub fn closed_in(&self, period: RangeInclusive<Timestamp>) -> BTreeMap<BackendId, Timestamp> {
        let mut closings = self.closings.clone();
        for (backend, connections) in &self.by_backend {
            note_closings(&mut closings, backend, &connections.idle);
        }
        let mut first = BTreeMap::new();
        for closing in closings.into_iter().filter(|closing| period.contains(&closing.at)) {
            let at = first.entry(closing.backend).or_insert(closing.at);
            *at = closing.at.min(*at);
        }
        first
    }

    /// The back ends with a usable idle connection.
    pub fn backends_with_idle(&self, now: Timestamp) -> impl Iterator<Item = &BackendId> {
        let is_idle = move |connections: &BackendConnections| {
            connections.idle.iter().any(|connection| is_usable(connection, now))
        };
        self.by_backend
            .iter()
            .filter(move |(_, connections)| is_idle(connections))
            .map(|(backend, _)| backend)
    }

    /// The number of idle connections.
    pub fn idle(&self) -> usize {
        self.by_backend.values().map(|connections| connections.idle.len()).sum()
    }
}

fn note_closings(closings: &mut VecDeque<Closing>, backend: &BackendId, idle: &[Connection]) {
    let closed = idle.iter().filter_map(Connection::closed_at).min();
    let Some(at) = closed else { return };
    closings.push_back(Closing { backend: backend.clone(), at });
    if closings.len() > MAX_CLOSINGS {
        closings.pop_front();
    }
}

fn is_usable(connection: &Connection, now: Timestamp) -> bool {
    let max_idle = connection.keep_alive.map_or(MAX_IDLE_TIME, |time| time.saturating_sub(KEEP_ALIVE_MARGIN));
    connection.is_ready() && now.saturating_since(connection.used_at) < max_idle
}
