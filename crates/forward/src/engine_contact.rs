//! Watches the requests that wait for engines, and leaves engines that have gone silent.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::Choice,
    silence::{Contact, SilenceChange, WaitId},
};
use paddlemount_protocol::{fleet::BackendProcess, time::Timestamp};

use crate::{
    attempts::RunKind,
    connection::{Connection, ConnectionError},
    journal::Event,
    metrics::Counter,
    node::Node,
    node_state::NodeState,
    response_wait::Waited,
};

/// The minimum time in which the first byte of an answer is usual: engines queue short requests for as long.
const MIN_USUAL_FIRST_BYTE: Duration = Duration::from_millis(500);
/// The usual time in multiples of the engine's slowest recent answer.
const SLOWEST_FACTOR: u32 = 2;
/// The usual gap of a stream whose route states no target.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// A request that waits for an engine, until it is dropped.
pub struct EngineContact {
    node: Rc<Node>,
    process: BackendProcess,
    address: SocketAddr,
    wait: WaitId,
    /// Whether other nodes learn of the engine's contacts.
    is_shared: bool,
}

impl EngineContact {
    /// Watches a request that is sent now, if silent engines are left.
    pub(crate) fn begin(node: &Rc<Node>, choice: &Choice) -> Option<Self> {
        if !node.leaves_silent_engines() {
            return None;
        }
        let process = node.process_of(&choice.backend);
        let now = node.now();
        let mut state = node.state.borrow_mut();
        let loads = &state.chooser.loads;
        let slowest = (loads.of(&choice.backend).slowest(now) * SLOWEST_FACTOR).max(loads.slowest(now));
        let wait = state.silences.begin_wait(&process, slowest.max(MIN_USUAL_FIRST_BYTE), now);
        drop(state);
        let is_shared = node.recorded_engine(choice).is_some();
        Some(Self { node: Rc::clone(node), process, address: choice.address, wait, is_shared })
    }

    /// Records that bytes arrived before the first event.
    pub(crate) fn record_head(&self) {
        self.record_byte(None);
    }

    /// Records that an event arrived, in a stream with this target gap.
    pub(crate) fn record_event(&self, target_gap: Option<Duration>) {
        self.record_byte(Some(target_gap.unwrap_or(DEFAULT_GAP)));
    }

    fn record_byte(&self, target_gap: Option<Duration>) {
        let now = self.node.now();
        self.node.state.borrow_mut().silences.record_byte(&self.process, self.wait, target_gap, now);
        if self.is_shared {
            self.node.share_contact(&self.process);
        }
        self.node.log_silences();
    }

    fn next_look(&self) -> Timestamp {
        self.node.state.borrow().silences.next_look(&self.process, self.wait, self.node.now())
    }

    /// Whether the engine has gone silent; tries a connection if that helps to tell.
    fn should_leave(&self) -> bool {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        // Engines that load weights may pause their runs.
        if state.may_pause(&self.process.id, now) {
            return false;
        }
        let leaves = state.silences.should_leave(&self.process, self.wait, now);
        let checks = !leaves && state.silences.begin_check(&self.process, self.wait, now);
        drop(state);
        if checks {
            let (node, process, address) = (Rc::clone(&self.node), self.process.clone(), self.address);
            tokio::task::spawn_local(async move { node.check_reachable(process, address).await });
        }
        self.node.log_silences();
        leaves
    }
}

impl Drop for EngineContact {
    fn drop(&mut self) {
        self.node.state.borrow_mut().silences.end_wait(&self.process, self.wait);
    }
}

impl Node {
    /// Whether requests and streams leave silent engines.
    pub(crate) fn leaves_silent_engines(&self) -> bool {
        self.settings.borrow().load.leave_silent
    }

    /// Takes an idle connection. None is taken for a request that must not run twice if back ends of the service
    /// may be unreachable and this one has not been heard lately: written to a connection whose peer is gone, it
    /// would be lost.
    pub(crate) fn take_idle_connection(&self, choice: &Choice, run: RunKind) -> Option<Connection> {
        let now = self.now();
        let connection = self.pool.borrow_mut().take(&choice.backend, now)?;
        if run == RunKind::Repeatable || !self.leaves_silent_engines() {
            return Some(connection);
        }
        let process = self.process_of(&choice.backend);
        if self.state.borrow().may_be_dead(&process, now) {
            self.metrics.count(Counter::ConnectionsRenewed);
            return None;
        }
        Some(connection)
    }

    /// How long a new connection may take.
    pub(crate) fn connect_timeout(&self) -> Duration {
        self.state.borrow().connect_times.timeout()
    }

    /// Records how a new connection went, as evidence of whether the engine is there.
    pub(crate) fn record_connect(
        &self,
        process: &BackendProcess,
        began: Timestamp,
        result: &Result<Connection, ConnectionError>,
    ) {
        if !self.leaves_silent_engines() {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match result {
            Ok(_) => {
                state.connect_times.record(now.saturating_since(began));
                state.silences.record_reachable(process, now);
            }
            Err(ConnectionError::ConnectTimeout) => {
                state.silences.record_unanswered_connect(process, now);
                state.record_doubt(process, now);
            }
            Err(_) => state.silences.record_reachable(process, now),
        }
    }

    /// Tries a connection to an engine that is overdue. An accepted one is kept for the next request.
    async fn check_reachable(&self, process: BackendProcess, address: SocketAddr) {
        let began = self.now();
        self.metrics.count(Counter::Connections);
        let result =
            Connection::open_from(self.settings().source_address, address, self.connect_timeout(), began)
                .await;
        self.record_connect(&process, began, &result);
        if let Ok(connection) = result {
            self.return_connection(&process.id, connection);
        }
    }

    /// Waits like [`Node::wait`], and ends when the engine of `contact` has gone silent.
    pub(crate) async fn wait_for_engine<T>(
        &self,
        contact: Option<&EngineContact>,
        starting_at: Option<&Choice>,
        until: Timestamp,
        awaited: impl Future<Output = T>,
    ) -> Waited<T> {
        let Some(contact) = contact else { return self.wait(starting_at, until, awaited).await };
        let mut awaited = std::pin::pin!(awaited);
        loop {
            let look_at = contact.next_look().min(until);
            match self.wait(starting_at, look_at, awaited.as_mut()).await {
                Waited::TimeUp if self.now() < until => {}
                result => return result,
            }
            if contact.should_leave() {
                return Waited::Silent;
            }
        }
    }

    fn log_silences(&self) {
        let changes = self.state.borrow_mut().silences.take_changes();
        for change in changes {
            self.log_silence(&change);
        }
    }

    fn log_silence(&self, change: &SilenceChange) {
        if change.is_silent {
            let now = self.now();
            self.state.borrow_mut().record_doubt(&change.process, now);
            self.pool.borrow_mut().close(&change.process.id);
        }
        let counter = if change.is_silent { Counter::EnginesSilent } else { Counter::EnginesHeardAgain };
        self.metrics.count(counter);
        self.journal.log(&Event::EngineSilence {
            backend: change.process.id.as_str(),
            is_silent: change.is_silent,
            quiet_ms: change.quiet.as_millis() as u64,
            waiting: change.waiting,
            unanswered_connects: change.unanswered_connects,
            reported: change.reported,
        });
    }
}

impl NodeState {
    /// Whether a back end leaves requests unanswered, by this node's evidence and what other nodes report.
    pub(crate) fn is_unresponsive(&self, id: &BackendId, now: Timestamp) -> bool {
        let process = self.backends.process_of(id);
        self.chooser.loads.is_suspect(id, now) || self.silences.contact(&process, now) != Contact::Responsive
    }

    /// Whether a pooled connection to a back end may have lost its peer.
    fn may_be_dead(&self, process: &BackendProcess, now: Timestamp) -> bool {
        let service = self.backends.get(&process.id).map(|backend| &backend.entry.service);
        service.is_none_or(|service| self.doubts.contains(service, now))
            && !self.silences.is_fresh(process, now)
    }

    /// Records evidence of `at` that a back end cannot be reached.
    pub(crate) fn record_doubt(&mut self, process: &BackendProcess, at: Timestamp) {
        if let Some(backend) = self.backends.get(&process.id) {
            self.doubts.record(&backend.entry.service, at);
        }
    }

    /// Whether an engine may pause its runs because it loads weights.
    pub(crate) fn may_pause(&self, id: &BackendId, now: Timestamp) -> bool {
        self.backends.get(id).is_some_and(|backend| backend.is_loading(now))
    }
}
