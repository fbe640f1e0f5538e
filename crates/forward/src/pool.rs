//! Idle connections to back ends, by the back end's identity.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::forwarding::backends::BackendId;
use paddlemount_protocol::time::Timestamp;

use crate::connection::Connection;

/// The longest rest after which a connection is used again, where its peer names no time.
const MAX_BACK_OFF: Duration = Duration::from_secs(8);
/// How much earlier than its peer a connection is given up, so that no request crosses the peer's close.
const REST_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for one back end.
const MOST_IDLE: usize = 24;
/// How long connections of a back end aren't used again after it sent bytes that nobody asked for.
const DISTRUST: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Kept {
    idle: Vec<Connection>,
    distrusted_until: Timestamp,
}

/// Idle connections.
#[derive(Debug, Default)]
pub struct Pool {
    by_backend: BTreeMap<BackendId, Kept>,
}

impl Pool {
    /// Takes the connection that was used last, if one is fit for use.
    pub fn take(&mut self, backend: &BackendId, now: Timestamp) -> Option<Connection> {
        let kept = self.by_backend.get_mut(backend)?;
        kept.idle.retain(|connection| is_eligible(connection, now));
        kept.idle.pop()
    }

    /// Gives a connection back whose last answer was read to its end.
    pub fn put(&mut self, backend: &BackendId, mut connection: Connection, now: Timestamp) {
        let kept = self.by_backend.entry(backend.clone()).or_default();
        if now < kept.distrusted_until || kept.idle.len() >= MOST_IDLE {
            return;
        }
        connection.used_at = now;
        kept.idle.push(connection);
    }

    /// A back end has sent bytes that belong to no request: its connections are closed, and for a while none is reused.
    pub fn distrust(&mut self, backend: &BackendId, now: Timestamp) {
        let kept = self.by_backend.entry(backend.clone()).or_default();
        kept.idle.clear();
        kept.distrusted_until = now + DISTRUST;
    }

    /// Closes the connections to a back end.
    pub fn close(&mut self, backend: &BackendId) {
        self.by_backend.remove(backend);
    }

    /// Closes connections that are no longer fit for use.
    pub fn sweep(&mut self, now: Timestamp) {
        for kept in self.by_backend.values_mut() {
            kept.idle.retain(|connection| is_eligible(connection, now));
        }
        self.by_backend.retain(|_, kept| !kept.idle.is_empty() || now < kept.distrusted_until);
    }

    /// The number of idle connections.
    pub fn idle(&self) -> usize {
        self.by_backend.values().map(|kept| kept.idle.len()).sum()
    }
}

fn is_eligible(connection: &Connection, now: Timestamp) -> bool {
    let longest = connection.keep_alive.map_or(MAX_BACK_OFF, |time| time.saturating_sub(REST_MARGIN));
    connection.is_ready() && now.saturating_since(connection.used_at) < longest
}
