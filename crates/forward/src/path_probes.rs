//! Finds out whether this node reaches the back ends of its services, by probes of back ends that carry no request.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::join_all;
use paddlemount_core::forwarding::{
    backends::{BackendId, BackendState},
    reachability::{PathChange, Probes},
};
use paddlemount_protocol::{identity::ServiceId, time::Timestamp};

use crate::{
    connection::Connection,
    journal::Event,
    metrics::{Counter, Gauge},
    node::Node,
    node_state::NodeState,
};

/// How often it is decided whether to probe.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the connection of a probe must stay open: a cut path may reset connections that were accepted.
const PROBE_TIME: Duration = Duration::from_millis(50);
/// Random draws for each back end to be probed, before a service counts as having no other.
const DRAWS_PER_PROBE: usize = 8;

/// Probes back ends for the lifetime of the process.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        for (service, targets) in node.begin_due_probes() {
            tokio::task::spawn_local(probe(Rc::clone(&node), service, targets));
        }
    }
}

async fn probe(node: Rc<Node>, service: ServiceId, targets: Vec<(BackendId, SocketAddr)>) {
    join_all(targets.iter().map(|(backend, address)| probe_one(&node, &service, backend, *address))).await;
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let NodeState { backends, reachability, .. } = &mut *state;
    let count = backends.pool(&service).map_or(0, |pool| pool.len());
    let in_use =
        |id: &BackendId| backends.get(id).is_some_and(|backend| backend.state == BackendState::Ready);
    let change = reachability.end_probes(&service, count, in_use, now);
    drop(state);
    node.apply_path_change(&service, change);
}

/// Opens a connection and keeps it for the next request if the back end does.
async fn probe_one(node: &Node, service: &ServiceId, backend: &BackendId, address: SocketAddr) {
    let began = node.now();
    node.metrics.count(Counter::Connections);
    let source = node.settings().source_address;
    let opened = Connection::open_from(source, address, node.connect_timeout(), began).await;
    if opened.is_ok() {
        tokio::time::sleep(PROBE_TIME).await;
    }
    let now = node.now();
    match opened {
        Ok(connection) if connection.is_ready() => {
            node.return_connection(backend, connection);
            let change = node.state.borrow_mut().reachability.record_accepted(service, backend, now);
            node.apply_path_change(service, change);
        }
        _ => node.state.borrow_mut().reachability.record_failed(service, backend, began, now),
    }
}

impl Node {
    /// Starts the rounds of probes that are due, and returns the back ends to probe by service.
    fn begin_due_probes(&self) -> Vec<(ServiceId, Vec<(BackendId, SocketAddr)>)> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let services: Vec<ServiceId> = state
            .table
            .iter()
            .flat_map(|table| table.services())
            .map(|(service, _)| service.clone())
            .collect();
        let mut rounds = Vec::new();
        for service in services {
            let Some(probes) = state.reachability.probes_due(&service, now) else { continue };
            let targets = state.probe_targets(&service, probes, now);
            state.reachability.begin_probes(&service, now);
            rounds.push((service, targets));
        }
        rounds
    }

    /// Records bytes of a back end on a connection that was opened at `opened_at`.
    pub(crate) fn record_bytes(&self, service: &ServiceId, backend: &BackendId, connection: &Connection) {
        let opened_at = connection.opened_at;
        let change =
            self.state.borrow_mut().reachability.record_bytes(service, backend, opened_at, self.now());
        self.apply_path_change(service, change);
    }

    /// Records that a connection to a back end, begun at `began`, came to nothing.
    pub(crate) fn record_unreached(&self, backend: &BackendId, began: Timestamp) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let service = state.backends.get(backend).map(|backend| backend.entry.service.clone());
        if let Some(service) = service {
            state.reachability.record_failed(&service, backend, began, now);
        }
    }

    fn apply_path_change(&self, service: &ServiceId, change: Option<PathChange>) {
        let Some(change) = change else { return };
        let service = service.as_str();
        self.journal.log(&match change {
            PathChange::Lost { failed } => Event::ServicePathLost { service, failed },
            PathChange::Regained { after } => {
                Event::ServicePathRegained { service, after_ms: after.as_millis() as u64 }
            }
        });
        self.path_changed.notify_waiters();
    }

    /// Whether this node reaches no back end of the service.
    pub(crate) fn is_path_lost(&self, service: &ServiceId) -> bool {
        self.state.borrow().reachability.is_lost(service)
    }

    /// The number of services of which no back end is reached.
    pub(crate) fn path_gauge(&self) -> Gauge {
        let lost = self.state.borrow().reachability.lost().count();
        Gauge { name: "paddlemount_forward_services_unreached", value: lost as f64 }
    }
}

impl NodeState {
    fn probe_targets(
        &self,
        service: &ServiceId,
        probes: Probes,
        now: Timestamp,
    ) -> Vec<(BackendId, SocketAddr)> {
        let backends = match probes {
            Probes::Quiet(backend) => vec![backend],
            Probes::Any(count) => self.draw_backends(service, count, now),
        };
        let address = |id: &BackendId| Some(self.backends.get(id)?.entry.address);
        backends.into_iter().filter_map(|id| Some((id.clone(), address(&id)?))).collect()
    }

    /// Back ends drawn at random, preferably ones that have not failed lately.
    fn draw_backends(&self, service: &ServiceId, count: usize, now: Timestamp) -> Vec<BackendId> {
        let Some(pool) = self.backends.pool(service).filter(|pool| !pool.is_empty()) else {
            return Vec::new();
        };
        let mut drawn: Vec<&BackendId> = Vec::new();
        for _ in 0..count * DRAWS_PER_PROBE {
            let ranked = pool.get(rand::random_range(0..pool.len()));
            if let Some(ranked) = ranked.filter(|ranked| !drawn.contains(&&ranked.id)) {
                drawn.push(&ranked.id);
            }
        }
        drawn.sort_by_key(|backend| self.reachability.has_failed(service, backend, now));
        drawn.into_iter().take(count).cloned().collect()
    }
}
