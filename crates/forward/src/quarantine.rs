//! Finds out which broken runs were crashes, and maintains the resulting quarantine.
//!
//! A connection may break during a run for many reasons, so the back end is probed: it has crashed if no new
//! connection opens and stays open. How its runs then count is decided by [`Quarantine`].
//!
//! [`Quarantine`]: paddlemount_core::quarantine::Quarantine

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use paddlemount_core::{
    forwarding::backends::BackendId,
    health::HealthEvent,
    quarantine::{Crash, QUARANTINE_DURATION, QuarantineSource},
};
use paddlemount_protocol::{
    quarantine::{QuarantineDigest, QuarantinedRequest, RequestFingerprint, RunReport},
    time::Timestamp,
};
use tokio::sync::Notify;

use crate::{
    connection::Connection,
    idle_ends,
    journal::Event,
    metrics::Counter,
    node::Node,
    ports::{StoreAnswer, StoreCall},
    quarantine_line::{QuarantineLine, segment_text},
    store_feed::{StoreError, call_store},
};

/// How long a running back end may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a probe's connection must stay open. A proxy that accepts connections for a crashed back end
/// closes them at once.
const PROBE_TIME: Duration = Duration::from_millis(100);
/// Why a completed run releases what was quarantined.
const RUN_ENDED: &str = "a run came to its end";
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The maximum number of queued changes to the store; beyond it, the oldest are dropped. The nodes still
/// share them with each other.
const MAX_PENDING: usize = 64;

/// A change of the quarantined requests in the metadata store.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    Quarantine(QuarantinedRequest),
    Release(RequestFingerprint),
}

/// Pending work: probes and changes to the store.
#[derive(Debug, Default)]
pub struct PendingWork {
    /// Broken runs, by the back ends that are being probed; none where only idle connections were closed.
    probing: RefCell<BTreeMap<BackendId, Vec<Crash>>>,
    changes: RefCell<VecDeque<Change>>,
    changed: Notify,
}

impl Node {
    /// Handles a connection to a back end that broke during a run.
    pub fn report_broken_run(self: &Rc<Self>, crash: Crash, address: SocketAddr) {
        let mut probing = self.quarantine_work.probing.borrow_mut();
        if let Some(crashes) = probing.get_mut(&crash.engine) {
            crashes.push(crash);
            return;
        }
        let backend = crash.engine.clone();
        probing.insert(backend.clone(), vec![crash]);
        tokio::task::spawn_local(probe(Rc::clone(self), backend, address));
    }

    /// Records a completed run.
    pub fn run_completed(&self, fingerprint: RequestFingerprint) {
        if self.state.borrow_mut().quarantine.record_completion(fingerprint, self.now()) {
            self.release(fingerprint, RUN_ENDED);
        }
    }

    /// Records that the segments of a prompt do not crash engines.
    pub fn segments_served(&self, segments: impl Iterator<Item = RequestFingerprint>) {
        let released = self.state.borrow_mut().quarantine.record_segment_completions(segments, self.now());
        released.into_iter().for_each(|segment| self.release(segment, RUN_ENDED));
    }

    /// Grants a trial run with a quarantined segment, if this node draws the conclusions.
    pub(crate) fn grant_trial_run(&self, segment: RequestFingerprint) -> bool {
        let is_granted =
            self.token().is_some() && self.state.borrow_mut().quarantine.grant_trial_run(segment, self.now());
        if is_granted {
            self.journal.log(&Event::TrialRun { fingerprint: segment.to_string() });
        }
        is_granted
    }

    fn release(&self, fingerprint: RequestFingerprint, why: &'static str) {
        self.log_release(&fingerprint, why);
        self.change(Change::Release(fingerprint));
    }

    /// Handles a report of runs from a child.
    pub fn receive_run_report(&self, report: RunReport) {
        let completed: Vec<RequestFingerprint> =
            report.completed.iter().map(|completed| completed.fingerprint).collect();
        let released = self.state.borrow_mut().quarantine.receive_report(report, self.now());
        released.into_iter().for_each(|fingerprint| self.release(fingerprint, RUN_ENDED));
        if self.token().is_some() {
            self.conclude_quarantine();
        }
        for fingerprint in completed {
            self.metrics.count(Counter::RunsCleared);
            self.journal.log(&Event::RunCleared { fingerprint: fingerprint.to_string() });
        }
    }

    /// Applies the parent's quarantine.
    pub fn apply_quarantine_digest(&self, digest: QuarantineDigest) {
        let added = self.state.borrow_mut().quarantine.receive_digest(digest, self.now());
        for fingerprint in added {
            self.log_quarantine(&QuarantineLine::from(fingerprint), QuarantineSource::Parent);
        }
    }

    /// Applies the quarantine of a request from the metadata store.
    pub fn apply_stored_quarantine(&self, request: &QuarantinedRequest) {
        let is_new = self.state.borrow_mut().quarantine.add_stored(request.fingerprint, self.now());
        if is_new {
            self.log_quarantine(&QuarantineLine::from(request), QuarantineSource::Stored);
        }
    }

    /// Applies a release from the metadata store.
    pub fn apply_stored_release(&self, fingerprint: &RequestFingerprint) {
        let was_quarantined = self.state.borrow_mut().quarantine.remove_stored(fingerprint, self.now());
        if was_quarantined {
            self.log_release(fingerprint, "the store holds it no longer");
        }
    }

    /// Releases all stored requests that a listing of the metadata store does not contain.
    pub fn apply_listed_quarantine(&self, present: &[RequestFingerprint]) {
        let known: Vec<RequestFingerprint> =
            self.state.borrow().quarantine.stored_requests().copied().collect();
        for fingerprint in known.iter().filter(|fingerprint| !present.contains(fingerprint)) {
            self.apply_stored_release(fingerprint);
        }
    }

    /// Removes expired crashes and quarantines.
    pub fn sweep_quarantine(&self) {
        let ended = self.state.borrow_mut().quarantine.sweep(self.now());
        for fingerprint in ended {
            self.state.borrow_mut().quarantined_requests.remove(&fingerprint);
            self.log_release(&fingerprint, "its time is over");
        }
    }

    /// Handles a back end that was found to have ended.
    fn backend_crashed(self: &Rc<Self>, backend: &BackendId, broken_runs: Vec<Crash>) {
        self.record_health(backend, HealthEvent::Failed, true);
        self.pool.borrow_mut().close(backend);
        let first_end = broken_runs.iter().map(|crash| crash.ended).min();
        broken_runs.into_iter().for_each(|crash| self.record_crash(crash));
        if let Some(ended) = first_end {
            tokio::task::spawn_local(idle_ends::look_around(Rc::clone(self), ended));
        }
    }

    fn record_crash(&self, crash: Crash) {
        self.metrics.count(Counter::RunsCrashed);
        self.journal.log(&Event::RunCrashed {
            fingerprint: crash.fingerprint.to_string(),
            route: &crash.route,
            tenant: crash.tenant.as_ref().map(|tenant| tenant.as_str()),
            backend: crash.engine.as_str(),
            ran_ms: crash.ended.saturating_since(crash.began).as_millis() as u64,
            segments: crash.segments.iter().filter_map(segment_text).collect(),
        });
        self.state.borrow_mut().quarantine.record_crash(crash, self.now());
        if self.token().is_some() {
            self.conclude_quarantine();
        }
    }

    /// Quarantines requests if this node receives the crashes of all nodes.
    pub(crate) fn conclude_quarantine(&self) {
        let node = self.settings().node.clone();
        let quarantined = self.state.borrow_mut().quarantine.conclude(&node, self.now());
        let released = self.state.borrow_mut().quarantine.take_released();
        released
            .into_iter()
            .for_each(|segment| self.release(segment, "another segment crashes the back ends"));
        for request in quarantined {
            self.log_quarantine(&QuarantineLine::from(&request), QuarantineSource::Counted);
            // The store may be restored from a backup without the request before it has confirmed it.
            self.state.borrow_mut().quarantined_requests.insert(request.fingerprint, request.clone());
            self.change(Change::Quarantine(request));
        }
    }

    pub(crate) fn change(&self, change: Change) {
        let mut changes = self.quarantine_work.changes.borrow_mut();
        if changes.len() >= MAX_PENDING {
            changes.pop_front();
        }
        changes.push_back(change);
        self.quarantine_work.changed.notify_one();
    }

    fn log_quarantine(&self, line: &QuarantineLine, by: QuarantineSource) {
        self.metrics.count(Counter::RequestsHeld);
        self.journal.log(&Event::RequestHeld {
            held: line,
            known_by: label(by),
            for_s: QUARANTINE_DURATION.as_secs(),
        });
    }

    fn log_release(&self, fingerprint: &RequestFingerprint, why: &'static str) {
        self.journal.log(&Event::RequestReleased { fingerprint: fingerprint.to_string(), why });
    }

    /// How long a request stays quarantined; `None` if it is not.
    pub fn quarantined_for(&self, fingerprint: &RequestFingerprint) -> Option<Duration> {
        let now = self.now();
        let status = self.state.borrow().quarantine.quarantined(fingerprint, now)?;
        Some(status.until.saturating_since(now))
    }

    /// How long the longest quarantine has lasted.
    pub(crate) fn oldest_quarantine(&self, now: Timestamp) -> Duration {
        let oldest = self.state.borrow().quarantine.oldest_quarantined();
        oldest.map_or(Duration::ZERO, |since| now.saturating_since(since))
    }
}

/// Probes a back end. If it still accepts connections, the runs broke for another reason.
async fn probe(node: Rc<Node>, backend: BackendId, address: SocketAddr) {
    let connection = open_probe(&node, address).await;
    let broken_runs = node.quarantine_work.probing.borrow_mut().remove(&backend).unwrap_or_default();
    match connection {
        Some(connection) => node.return_connection(&backend, connection),
        None => node.backend_crashed(&backend, broken_runs),
    }
}

/// Probes a back end that closed its idle connections at `closed`.
pub(crate) async fn probe_idle(node: Rc<Node>, backend: BackendId, address: SocketAddr, closed: Timestamp) {
    if node.quarantine_work.probing.borrow().contains_key(&backend) {
        return;
    }
    node.quarantine_work.probing.borrow_mut().insert(backend.clone(), Vec::new());
    let connection = open_probe(&node, address).await;
    let broken_runs = node.quarantine_work.probing.borrow_mut().remove(&backend).unwrap_or_default();
    match connection {
        Some(connection) => node.return_connection(&backend, connection),
        None if broken_runs.is_empty() => {
            node.state.borrow_mut().quarantine.record_idle_end(backend, closed, node.now());
        }
        None => node.backend_crashed(&backend, broken_runs),
    }
}

/// Opens a connection and returns it if it stays open.
async fn open_probe(node: &Node, address: SocketAddr) -> Option<Connection> {
    let connection =
        Connection::open_from(node.settings().source_address, address, CONNECT_TIMEOUT, node.now())
            .await
            .ok()?;
    tokio::time::sleep(PROBE_TIME).await;
    connection.is_ready().then_some(connection)
}

/// Writes changes to the metadata store for the lifetime of the process.
pub async fn run(node: Rc<Node>) {
    loop {
        let next = node.quarantine_work.changes.borrow_mut().pop_front();
        let Some(change) = next else {
            node.quarantine_work.changed.notified().await;
            continue;
        };
        if let Err(error) = write(&node, &change).await {
            node.journal.log(&Event::QuarantineNotWritten { problem: error.to_string() });
            tokio::time::sleep(RETRY_PAUSE).await;
            if is_wanted(&node, &change) {
                node.quarantine_work.changes.borrow_mut().push_front(change);
            }
        }
    }
}

/// Whether a failed change should still be made.
fn is_wanted(node: &Node, change: &Change) -> bool {
    match change {
        Change::Quarantine(request) => node.quarantined_for(&request.fingerprint).is_some(),
        // Another node may still report the quarantine that this ends.
        Change::Release(_) => true,
    }
}

async fn write(node: &Node, change: &Change) -> Result<(), StoreError> {
    let request = match change {
        Change::Quarantine(request) => request.clone(),
        Change::Release(fingerprint) => {
            call_store(node, &StoreCall::Release(*fingerprint), CALL_TIMEOUT).await?;
            return Ok(());
        }
    };
    let granted = call_store(node, &StoreCall::Grant { ttl: QUARANTINE_DURATION }, CALL_TIMEOUT).await?;
    let StoreAnswer::Lease { lease, .. } = granted else { return Err(StoreError::Unexpected) };
    let call = StoreCall::Quarantine { request: Box::new(request), lease };
    // Without an answer the request may have been stored, so its lease is left alone: ending it would release
    // the request at all nodes.
    match call_store(node, &call, CALL_TIMEOUT).await? {
        StoreAnswer::Done { .. } => Ok(()),
        // The request is stored already, so this lease has nothing bound to it.
        StoreAnswer::Conflict => call_store(node, &StoreCall::End(lease), CALL_TIMEOUT).await.map(|_| ()),
        _ => Err(StoreError::Unexpected),
    }
}

const fn label(by: QuarantineSource) -> &'static str {
    match by {
        QuarantineSource::Counted => "counted here",
        QuarantineSource::Stored => "the store",
        QuarantineSource::Parent => "the node above",
    }
}
