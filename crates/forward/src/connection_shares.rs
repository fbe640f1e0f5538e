//! This node's share of the connections that a back end takes from all nodes.

use std::time::Duration;

use paddlemount_core::forwarding::{
    backends::BackendId,
    even_share::even_share,
    room::{self, ConnectionUse},
};
use paddlemount_protocol::{identity::ServiceId, time::Timestamp};

use crate::{
    connection::Connection,
    node::Node,
    node_state::{NodeCount, NodeState},
};

/// Minimum number of connections per back end while the nodes have not been counted.
const MIN_CONNECTIONS_UNCOUNTED: u32 = 6;
/// Time without use after which a connection beyond the callers' demand is closed.
const UNUSED_TIME: Duration = Duration::from_millis(500);

impl Node {
    /// Keeps a connection whose last answer was read to its end, within this node's even share: what was used
    /// beyond it is left to other nodes at once.
    pub(crate) fn return_connection(&self, backend: &BackendId, connection: Connection) {
        let max_idle = self.state.borrow().even_connections_to(backend, self.nodes());
        self.pool.borrow_mut().put(backend, connection, max_idle, self.now());
    }

    /// Closes idle connections that this node's callers do not need, for the nodes to which they have moved.
    pub(crate) fn trim_idle_connections(&self, now: Timestamp) {
        let state = self.state.borrow();
        let mut pool = self.pool.borrow_mut();
        let backends: Vec<BackendId> = pool.backends().cloned().collect();
        for backend in backends {
            if let Some(keep) = state.kept_idle(&backend) {
                pool.trim(&backend, keep, now - UNUSED_TIME);
            }
        }
    }
}

impl NodeState {
    /// Whether this node may use another connection to a back end.
    pub(crate) fn may_connect(
        &self,
        backend: &BackendId,
        service: &ServiceId,
        nodes: NodeCount,
        now: Timestamp,
    ) -> bool {
        let Some(limit) = self.max_connections(service) else { return true };
        let used = ConnectionUse {
            own: self.chooser.load(backend).requests,
            total: self.chooser.loads.total_requests(backend),
        };
        let even = self.even_connections(backend, limit, nodes);
        // The demand is looked up only where it matters, as this runs for each candidate of each request.
        let settled = (used.own >= even).then(|| self.demand.settled_share(service, now)).flatten();
        room::may_connect(limit, even, used, settled)
    }

    /// This node's even share of the connections to a back end; `None` if they are not limited.
    fn even_connections_to(&self, backend: &BackendId, nodes: NodeCount) -> Option<usize> {
        let limit = self.max_connections(&self.backends.get(backend)?.entry.service)?;
        Some(self.even_connections(backend, limit, nodes) as usize)
    }

    fn even_connections(&self, backend: &BackendId, limit: u32, nodes: NodeCount) -> u32 {
        match nodes.known() {
            Some(nodes) => even_share(limit, nodes, self.draw_for(backend)),
            None => (limit / nodes.upper_bound()).max(MIN_CONNECTIONS_UNCOUNTED),
        }
    }

    /// The maximum number of connections per back end of a service over all nodes, if limited.
    fn max_connections(&self, service: &ServiceId) -> Option<u32> {
        let service = self.table.as_ref()?.service(service)?;
        Some(service.max_connections).filter(|max| *max > 0)
    }

    /// The idle connections to keep to a back end; `None` if its connections are not limited, or the demand is
    /// unknown.
    fn kept_idle(&self, backend: &BackendId) -> Option<usize> {
        let service = &self.backends.get(backend)?.entry.service;
        let kept = room::kept_connections(self.max_connections(service)?, self.demand.share(service)?);
        let in_use = self.chooser.load(backend).requests as usize;
        Some(kept.saturating_sub(in_use))
    }
}
