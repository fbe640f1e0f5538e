//! Detects attempts that crashed their back end, and gossips the crashes among nodes.
//!
//! Each node decides from the crashes that any node has observed: they are piggybacked on probes, and each
//! node passes on what it receives. A restarted node catches up within a few probes. [`Quarantine`] decides
//! which requests to hold.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_core::{
    peers::PeerEvent,
    quarantine::{Crash, Origin, Quarantine},
};
use paddlemount_protocol::{
    engine::EngineStatus,
    identity::{EngineId, Incarnation, TenantId},
    peer::membership::{PiggybackItem, Topic},
    quarantine::{RequestFingerprint, RunReport},
    time::Timestamp,
};
use tokio::{io::AsyncReadExt, net::TcpStream};

use crate::{client::ClientError, state::NodeState};

/// Timeout for a live back end to accept a connection or answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// A new connection must stay open this long: a proxy that accepts connections for a back end that has ended
/// closes them at once.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);
/// Interval between two evaluations and reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Evaluations lag by this much, so that gossip about crashes and completions has arrived: it travels on
/// probes, about one a second to each of a few nodes.
const GOSSIP_DELAY: Duration = Duration::from_secs(2);
/// Events per piggybacked item, whose size is bounded.
const EVENTS_PER_ITEM: usize = 1;

/// Tracks requests that are suspected of crashing back ends, shared by all threads.
#[derive(Debug, Default)]
pub struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
}

/// An attempt that failed and may have crashed its back end.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    pub fingerprint: RequestFingerprint,
    /// The model or service, as shown to operators.
    pub route: String,
    pub tenant: TenantId,
    /// The incarnation of the back end that ran it.
    pub engine: EngineId,
    pub began: Timestamp,
}

/// The fingerprint of a request, equal for each retry by the caller.
pub fn fingerprint(path: &str, tenant: &TenantId, body: &[u8]) -> RequestFingerprint {
    Origin { method: "POST", host: "", path, caller: tenant.as_str() }.fingerprint(body)
}

/// An identifier of one incarnation of an engine.
pub fn incarnation_id(engine: &EngineId, incarnation: Incarnation) -> EngineId {
    EngineId::from(format!("{engine}@{}", incarnation.0))
}

impl SharedQuarantine {
    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long a request is still held; none if it is not held.
    pub fn remaining_hold(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Option<Duration> {
        let held = self.lock().quarantined(fingerprint, now)?;
        Some(held.until.saturating_since(now))
    }

    /// Records that an attempt completed.
    pub fn record_completion(&self, fingerprint: RequestFingerprint, now: Timestamp) {
        if self.lock().record_completion(fingerprint, now) {
            log::info!("request {fingerprint} is no longer held back: an attempt completed");
        }
    }

    /// Receives another node's report.
    pub fn receive_item(&self, item: &PiggybackItem, now: Timestamp) {
        match serde_json::from_value::<RunReport>(item.body.clone()) {
            Ok(report) => {
                for fingerprint in self.lock().receive_report(report, now) {
                    log::info!(
                        "request {fingerprint} is no longer held back: an attempt completed at another node"
                    );
                }
            }
            Err(error) => log::debug!("cannot parse a crash report: {error}"),
        }
    }
}

/// How to check whether a back end has crashed.
#[derive(Clone, Copy, Debug)]
pub enum LivenessCheck {
    /// Checks whether the engine at this address still reports this incarnation.
    Engine(SocketAddr, Incarnation),
    /// Checks whether a service instance accepts connections.
    Instance(SocketAddr),
}

impl LivenessCheck {
    async fn has_ended(self, state: &NodeState) -> bool {
        match self {
            Self::Engine(address, incarnation) => {
                let status = state.client.get_json::<EngineStatus>(address, "/status", CHECK_TIMEOUT).await;
                match status {
                    Ok(status) => status.incarnation != incarnation,
                    Err(error) => matches!(error, ClientError::Connect { .. }),
                }
            }
            Self::Instance(address) => !accepts_connections(address).await,
        }
    }
}

/// Whether a connection can be opened and stays open.
async fn accepts_connections(address: SocketAddr) -> bool {
    let Ok(Ok(mut stream)) = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    let mut byte = [0];
    // The server sends nothing before a request, so an end or an error means that nobody serves the
    // connection.
    tokio::time::timeout(MIN_OPEN_TIME, stream.read(&mut byte)).await.is_err()
}

/// Checks in the background whether a failed or unresponsive attempt crashed its back end, and records it if
/// so.
pub fn detect_crash(state: &Arc<NodeState>, attempt: BrokenAttempt, check: LivenessCheck) {
    let (state, ended) = (Arc::clone(state), state.clock.now());
    tokio::spawn(async move {
        if !check.has_ended(&state).await {
            return;
        }
        log::warn!(
            "back end {} ended under request {} of {} for {}",
            attempt.engine,
            attempt.fingerprint,
            attempt.tenant,
            attempt.route
        );
        state.metrics.counter("paddlemount_runs_crashed_total", &[]).increment(1);
        let BrokenAttempt { fingerprint, route, tenant, engine, began } = attempt;
        let crash =
            Crash { fingerprint, engine, route, tenant: Some(tenant), began, ended, segments: Vec::new() };
        state.quarantine.lock().record_crash(crash, state.clock.now());
    });
}

/// Evaluates which requests to hold, and offers reports to peers; never returns.
pub async fn run(state: Arc<NodeState>) {
    let mut reported = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = state.clock.now();
        conclude(&state, now);
        let report = {
            let quarantine = state.quarantine.lock();
            let report = quarantine.report(reported, EVENTS_PER_ITEM, now);
            // Starts over after the last event, for nodes that have restarted since.
            reported = if report.report == RunReport::default() { 0 } else { report.last_event };
            report.report
        };
        if report != RunReport::default()
            && let Ok(body) = serde_json::to_value(report)
        {
            state.peers.handle_event(&state, PeerEvent::Offer(PiggybackItem { topic: Topic::Crashes, body }));
        }
    }
}

/// Evaluates which requests to hold, logs the changes and updates the metrics.
fn conclude(state: &NodeState, now: Timestamp) {
    let (held, ended, counts) = {
        let mut quarantine = state.quarantine.lock();
        let held = quarantine.conclude(&state.settings.node, now - GOSSIP_DELAY);
        let ended = quarantine.sweep(now);
        let oldest =
            quarantine.oldest_quarantined().map_or(Duration::ZERO, |since| now.saturating_since(since));
        (held, ended, (quarantine.count_quarantined(), quarantine.count_suspected(), oldest))
    };
    for request in held {
        let engines: Vec<&str> = request.engines.iter().map(EngineId::as_str).collect();
        let tenant = request.tenant.as_ref().map_or("", |tenant| tenant.as_str());
        log::warn!(
            "request {} of {tenant} for {} is held back: back ends ended under it: {}",
            request.fingerprint,
            request.route,
            engines.join(", ")
        );
    }
    for fingerprint in ended {
        log::info!("request {fingerprint} is no longer held back: the hold expired");
    }
    let gauge = |name, value: f64| state.metrics.gauge(name, &[]).set(value);
    gauge("paddlemount_held_requests", counts.0 as f64);
    gauge("paddlemount_suspected_requests", counts.1 as f64);
    gauge("paddlemount_oldest_hold_seconds", counts.2.as_secs_f64());
}
