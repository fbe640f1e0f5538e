//! Notices back ends that ended together with one that crashed, but ran nothing for this node: their idle connections
//! were closed at the same time, and no new one opens.

use std::{net::SocketAddr, rc::Rc};

use futures_util::future::join_all;
use paddlemount_core::{forwarding::backends::BackendId, quarantine::SIMULTANEITY_WINDOW};
use paddlemount_protocol::time::Timestamp;

use crate::{node::Node, quarantine::probe_idle};

/// The maximum number of back ends that are probed for one crash; far more than show a common cause.
const MAX_PROBED: usize = 8;

/// A back end whose idle connections were closed.
struct Closed {
    backend: BackendId,
    address: SocketAddr,
    at: Timestamp,
}

/// Reports the back ends that ended at about the same time as one that crashed.
pub(crate) async fn look_around(node: Rc<Node>, crashed: Timestamp) {
    let until = crashed + SIMULTANEITY_WINDOW;
    tokio::time::sleep(until.saturating_since(node.now())).await;
    let closed = closed_between(&node, crashed - SIMULTANEITY_WINDOW, until);
    let probes = closed
        .into_iter()
        .map(|closed| probe_idle(Rc::clone(&node), closed.backend, closed.address, closed.at));
    join_all(probes).await;
}

/// The listed back ends that closed idle connections and are not known to have ended.
fn closed_between(node: &Node, from: Timestamp, until: Timestamp) -> Vec<Closed> {
    let state = node.state.borrow();
    let closings = node.pool.borrow().closed_in(from..=until);
    let unknown = closings.into_iter().filter(|(backend, _)| !state.quarantine.has_ended(backend));
    let listed = unknown.filter_map(|(backend, at)| {
        let address = state.backends.get(&backend)?.entry.address;
        Some(Closed { backend, address, at })
    });
    listed.take(MAX_PROBED).collect()
}
