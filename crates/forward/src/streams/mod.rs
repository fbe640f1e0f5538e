//! Streams in progress, and which software version began each of them.
//!
//! | module | content |
//! |---|---|
//! | `origin` | which version a caller's take-up is bound to |
//! | `replication` | tells other nodes which version began a stream |
//! | `lookup` | asks other nodes |
//! | `relayed_software` | the versions of relayed registry entries |
//! | `messages` | answers other nodes' messages on streams |

mod lookup;
pub(crate) mod messages;
mod origin;
pub(crate) mod relayed_software;
mod replication;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use paddlemount_core::forwarding::{
    backends::BackendId,
    software::{SoftwareHistory, stream_lifetime},
};
use paddlemount_protocol::{
    fleet::{StreamKey, StreamOrigin, StreamRecord},
    identity::{ServiceId, SoftwareVersion},
    time::Timestamp,
};

pub use origin::TakeUp;
pub(crate) use replication::Replication;

use crate::{metrics::Gauge, node::Node, node_state::NodeState};

/// The longest timeout that is assumed while the routes are not known.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// How often it is checked whether the proof that a service has one version still holds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its start a node expects the history of versions from its neighbours: until their view of the
/// registry, which may be a second old, reaches its own.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(1_500);
const HISTORY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The streams that this node relays, and its work of telling others.
#[derive(Debug, Default)]
pub struct Streams {
    running: BTreeMap<StreamKey, Running>,
    pub(crate) replication: Replication,
}

/// A stream that this node relays.
#[derive(Debug)]
struct Running {
    origin: StreamOrigin,
    /// Whether other nodes were told where it began.
    is_told: bool,
}

/// A stream whose first event has come; counts as running until this is dropped.
pub struct RunningStream {
    node: Rc<Node>,
    key: StreamKey,
}

impl RunningStream {
    /// Records where a stream began, here and, unless the history of versions proves it, at other nodes.
    pub(crate) fn begin(node: &Rc<Node>, key: StreamKey, origin: StreamOrigin) -> Self {
        let now = node.now();
        let lifetime = node.stream_lifetime();
        node.state.borrow_mut().stream_records.put(key, origin.clone(), lifetime, now);
        let is_to_be_told = node.only_software(&origin.service).is_none();
        let is_told = is_to_be_told && node.tell_others(&[StreamRecord { key, origin: origin.clone() }]);
        node.streams.borrow_mut().running.insert(key, Running { origin, is_told });
        Self { node: Rc::clone(node), key }
    }

    /// Forgets the stream, which nobody takes up any more.
    pub(crate) fn complete(&self) {
        self.node.state.borrow_mut().stream_records.remove(self.key);
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.node.streams.borrow_mut().running.remove(&self.key);
    }
}

impl Node {
    /// How long after its first event a stream may be taken up again.
    pub(crate) fn stream_lifetime(&self) -> Duration {
        let state = self.state.borrow();
        let longest = state.table.as_ref().map_or(DEFAULT_TIMEOUT, |table| table.longest_stream_timeout());
        stream_lifetime(longest)
    }

    /// The version at which any stream of the service must have begun that can still be taken up, if that is proven.
    pub(crate) fn only_software(&self, service: &ServiceId) -> Option<SoftwareVersion> {
        let lifetime = self.stream_lifetime();
        let now = self.now();
        let state = self.state.borrow();
        let age = state.freshness.age(now);
        state.software.only_version(service, age, lifetime, now).cloned()
    }

    /// Waits until a node that has just started has the history of versions from its neighbours.
    pub(crate) async fn wait_for_software_history(&self) {
        while self.expects_software_history() {
            tokio::time::sleep(HISTORY_CHECK_INTERVAL).await;
        }
    }

    fn expects_software_history(&self) -> bool {
        let has_just_started = self.now().saturating_since(self.started) < HISTORY_TIMEOUT;
        has_just_started
            && self.peers.is_some()
            && !self.parent_lacks_history.get()
            && self.wants_software_history()
    }

    /// The software version of a back end, as registered.
    pub(crate) fn software_of(&self, backend: &BackendId) -> Option<SoftwareVersion> {
        self.state.borrow().backends.get(backend)?.entry.software.clone()
    }

    /// Tells other nodes of running streams whose service had only one version when they began, or that began while
    /// no other node was known.
    fn tell_running_streams(self: &Rc<Self>) {
        let untold: Vec<StreamRecord> = self
            .streams
            .borrow()
            .running
            .iter()
            .filter(|(_, running)| !running.is_told)
            .filter(|(_, running)| self.only_software(&running.origin.service).is_none())
            .map(|(key, running)| StreamRecord { key: *key, origin: running.origin.clone() })
            .collect();
        if untold.is_empty() || !self.tell_others(&untold) {
            return;
        }
        let mut streams = self.streams.borrow_mut();
        for record in &untold {
            if let Some(running) = streams.running.get_mut(&record.key) {
                running.is_told = true;
            }
        }
    }

    /// Records that a back end is listed with its software version, which may be new.
    pub(crate) fn observe_software(&self, state: &mut NodeState, backend: &BackendId) {
        let NodeState { software, backends, .. } = state;
        let Some(entry) = backends.get(backend).map(|known| &known.entry) else { return };
        if software.observe(&entry.service, entry.software.as_ref(), self.now()) {
            self.origins_untold.notify_one();
        }
        if !entry.leaving {
            software.record_ready(&entry.service, entry.software.as_ref(), self.now());
        }
    }

    fn count_members(&self) -> usize {
        let Some(peers) = &self.peers else { return 0 };
        peers.borrow().fleet.members().all().members().len()
    }

    /// Looks through the registry for the history of versions, and drops what has expired.
    pub(crate) fn sweep_streams(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.observe_all_software(now);
        state.software.sweep(now);
        state.stream_records.sweep(now);
        drop(state);
        self.streams.borrow_mut().replication.sweep(now);
    }

    /// The numbers of records, of nodes that may remember streams, and of software versions of the service with the
    /// most.
    pub(crate) fn stream_gauges(&self) -> [Gauge; 3] {
        let state = self.state.borrow();
        let gauge = |name, value: usize| Gauge { name, value: value as f64 };
        [
            gauge("paddlemount_forward_members", self.count_members()),
            gauge("paddlemount_forward_stream_records", state.stream_records.len()),
            gauge("paddlemount_forward_software_versions", state.software.count_serving(self.now())),
        ]
    }
}

/// Tells other nodes of running streams once they have to know, for the lifetime of the process.
pub async fn run(node: Rc<Node>) {
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, node.origins_untold.notified()).await;
        node.tell_running_streams();
    }
}

impl NodeState {
    fn observe_all_software(&mut self, now: Timestamp) {
        let Self { software, backends, .. } = self;
        for backend in backends.iter() {
            let (service, version) = (&backend.entry.service, backend.entry.software.as_ref());
            software.observe(service, version, now);
            if !backend.entry.leaving {
                software.record_ready(service, version, now);
            }
        }
    }
}

/// The history at the start of a process.
pub(crate) fn initial_history(first_start: bool) -> SoftwareHistory {
    if first_start { SoftwareHistory::of_first_start() } else { SoftwareHistory::default() }
}
