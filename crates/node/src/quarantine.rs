//! Finds out which broken tries were crashes, and spreads them among nodes.
//!
//! Each node counts by itself, by what it and all others have seen: crashes ride on probes between nodes, and whoever
//! hears of one passes it on. A node that starts anew hears of them within some probes. What is counted, and what
//! follows, is decided by [`Quarantine`].

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

/// How long a back end that lives may need to take a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a new connection must stay open: one to something that only takes connections for a back end which has
/// ended is closed at once.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);
/// The pause between two rounds of news and conclusions.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How far back conclusions are drawn: news of crashes, and answers to them, ride on probes, one a second to each node of a
/// few.
const GOSSIP_DELAY: Duration = Duration::from_secs(2);
/// News in one item, which is small.
const EVENTS_PER_ITEM: usize = 1;

/// What a node knows of requests under which back ends end.
#[derive(Debug, Default)]
pub struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
}

/// One try that may have ended with its back end.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// What the caller asks for.
    pub fingerprint: RequestFingerprint,
    /// The model or the service, for operators.
    pub route: String,
    /// The tenant.
    pub tenant: TenantId,
    /// The life of the back end that ran it.
    pub engine: EngineId,
    /// When it was sent.
    pub began: Timestamp,
}

/// What a caller asks for, the same each time it comes back.
pub fn fingerprint(path: &str, tenant: &TenantId, body: &[u8]) -> RequestFingerprint {
    Origin { method: "POST", host: "", path, caller: tenant.as_str() }.fingerprint(body)
}

/// One life of an engine, by a name of its own.
pub fn incarnation_id(engine: &EngineId, incarnation: Incarnation) -> EngineId {
    EngineId::from(format!("{engine}@{}", incarnation.0))
}

impl SharedQuarantine {
    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long a request is still held back; nothing where it is not.
    pub fn remaining_hold(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Option<Duration> {
        let held = self.lock().held(fingerprint, now)?;
        Some(held.until.saturating_since(now))
    }

    /// A try came to its end.
    pub fn record_completion(&self, fingerprint: RequestFingerprint, now: Timestamp) {
        if self.lock().record_completion(fingerprint, now) {
            log::info!("request {fingerprint} is no longer held back: a try of it came to its end");
        }
    }

    /// Takes in another node's news.
    pub fn receive_item(&self, item: &PiggybackItem, now: Timestamp) {
        match serde_json::from_value::<RunReport>(item.body.clone()) {
            Ok(report) => {
                for fingerprint in self.lock().receive_report(report, now) {
                    log::info!(
                        "request {fingerprint} is no longer held back: a try of it came to its end elsewhere"
                    );
                }
            }
            Err(error) => log::debug!("unreadable news of crashes: {error}"),
        }
    }
}

/// How a back end is looked at.
#[derive(Clone, Copy, Debug)]
pub enum LivenessCheck {
    /// An engine says which life it is in.
    Engine(SocketAddr, Incarnation),
    /// An instance of another service takes connections, or does not.
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
            Self::Instance(address) => !takes_connections(address).await,
        }
    }
}

/// Whether a connection comes up and stays open.
async fn takes_connections(address: SocketAddr) -> bool {
    let Ok(Ok(mut stream)) = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    let mut byte = [0];
    // Nothing is to be read before something was asked: an end, or an error, means that nobody is there.
    tokio::time::timeout(MIN_OPEN_TIME, stream.read(&mut byte)).await.is_err()
}

/// A try broke off, or nothing was heard of it any more: what it did to its back end is looked at.
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
        let crash = Crash { fingerprint, engine, route, tenant: Some(tenant), began, ended };
        state.quarantine.lock().record_crash(crash, state.clock.now());
    });
}

/// Concludes what is to be held back and lets news ride on probes; never returns.
pub async fn run(state: Arc<NodeState>) {
    let mut reported = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = state.clock.now();
        conclude(&state, now);
        let report = {
            let quarantine = state.quarantine.lock();
            let report = quarantine.report(reported, EVENTS_PER_ITEM, now);
            // Behind the last one it begins anew: a node that starts has heard none of them.
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

fn conclude(state: &NodeState, now: Timestamp) {
    let (held, ended, counts) = {
        let mut quarantine = state.quarantine.lock();
        let held = quarantine.conclude(&state.settings.node, now - GOSSIP_DELAY);
        let ended = quarantine.sweep(now);
        let oldest = quarantine.oldest_held().map_or(Duration::ZERO, |since| now.saturating_since(since));
        (held, ended, (quarantine.count_held(), quarantine.count_suspected(), oldest))
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
        log::info!("request {fingerprint} is no longer held back: its time is over");
    }
    let gauge = |name, value: f64| state.metrics.gauge(name, &[]).set(value);
    gauge("paddlemount_held_requests", counts.0 as f64);
    gauge("paddlemount_suspected_requests", counts.1 as f64);
    gauge("paddlemount_oldest_hold_seconds", counts.2.as_secs_f64());
}
