//! The process: start, signals, reload of settings, planned stop.

use std::{io, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use paddlemount_core::forwarding::{caller_connection::StopStage, planned_stop::PlannedStop};
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

use crate::{
    cache_feed,
    callers::Callers,
    clock, ingress,
    journal::{Event, Journal},
    leadership,
    node::Node,
    path_probes, peers,
    ports::Platform,
    quarantine, retry_reserve, room,
    settings::{ForwardSettings, SettingsError},
    store_feed, streams, target_record,
};

/// The interval of checks of the settings file, of readiness and of expired state.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval of checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last log lines to be written.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(120);

/// Why the process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address is not available, or signals cannot be handled.
    #[error("cannot start: {what}: {source}")]
    System { what: &'static str, source: io::Error },
}

fn system(what: &'static str) -> impl Fn(io::Error) -> StartError {
    move |source| StartError::System { what, source }
}

/// Runs a forwarding node until it receives a signal to stop.
pub fn run(path: PathBuf, platform: Box<dyn Platform>) -> Result<(), StartError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(system("runtime"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_node(path, platform))
}

async fn run_node(path: PathBuf, platform: Box<dyn Platform>) -> Result<(), StartError> {
    // Installed first, because a signal without a handler ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(system("signals"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(system("signals"))?;
    let hangup = signal(SignalKind::hangup()).map_err(system("signals"))?;
    let settings = ForwardSettings::read(&path)?;
    let clock = clock::start();
    let journal = Journal::to_standard_output(settings.node.as_str(), clock);
    let listen = settings.listen;
    let callers = ingress::listen_for_callers(listen.callers).map_err(system("caller address"))?;
    let readiness = ingress::listen_for_callers(listen.readiness).map_err(system("readiness address"))?;
    let metrics =
        listen.metrics.map(ingress::listen_for_callers).transpose().map_err(system("metrics address"))?;
    let peers = listen.peers.map(ingress::listen).transpose().map_err(system("peer address"))?;
    let peers_address =
        peers.as_ref().map(TcpListener::local_addr).transpose().map_err(system("addresses"))?;
    let advertised = peers_address.map(|address| listen.peers_advertised.unwrap_or(address));
    let node = Rc::new(Node::new(settings, platform, clock, journal, advertised));
    let (stage, stage_receiver) = watch::channel(StopStage::Serving);
    let caller_server = Callers::new(Rc::clone(&node), stage_receiver);
    let addresses =
        Addresses::of(&callers, &readiness, metrics.as_ref(), peers_address).map_err(system("addresses"))?;
    log_start(&node, addresses);
    tokio::task::spawn_local(store_feed::run(Rc::clone(&node)));
    if let Some(peers) = peers {
        tokio::task::spawn_local(peers::server::serve(Rc::clone(&node), peers));
        tokio::task::spawn_local(peers::client::report(Rc::clone(&node)));
    }
    tokio::task::spawn_local(cache_feed::run(Rc::clone(&node)));
    tokio::task::spawn_local(quarantine::run(Rc::clone(&node)));
    tokio::task::spawn_local(target_record::run(Rc::clone(&node)));
    tokio::task::spawn_local(retry_reserve::run(Rc::clone(&node)));
    tokio::task::spawn_local(room::run(Rc::clone(&node)));
    tokio::task::spawn_local(path_probes::run(Rc::clone(&node)));
    tokio::task::spawn_local(streams::run(Rc::clone(&node)));
    tokio::task::spawn_local(housekeeping(Rc::clone(&node), path, hangup));
    let leadership_task = tokio::task::spawn_local(leadership::run(Rc::clone(&node)));
    tokio::task::spawn_local(caller_server.clone().serve(callers));
    let readiness_node = Rc::clone(&node);
    tokio::task::spawn_local(ingress::serve_simple(readiness, move || {
        ingress::readiness_answer(&readiness_node)
    }));
    if let Some(metrics) = metrics {
        let metrics_node = Rc::clone(&node);
        tokio::task::spawn_local(ingress::serve_simple(metrics, move || {
            ingress::metrics_answer(&metrics_node)
        }));
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&node, &stage, &caller_server).await;
    // The lease has been released by then if the store answers.
    leadership_task.abort();
    Ok(())
}

/// The addresses on which the process listens, with the ports that the system assigned.
struct Addresses {
    callers: String,
    readiness: String,
    metrics: Option<String>,
    peers: Option<String>,
}

impl Addresses {
    fn of(
        callers: &TcpListener,
        readiness: &TcpListener,
        metrics: Option<&TcpListener>,
        peers: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let metrics = metrics.map(TcpListener::local_addr).transpose()?;
        Ok(Self {
            callers: callers.local_addr()?.to_string(),
            readiness: readiness.local_addr()?.to_string(),
            metrics: metrics.map(|address| address.to_string()),
            peers: peers.map(|address| address.to_string()),
        })
    }
}

fn log_start(node: &Node, addresses: Addresses) {
    node.journal.log(&Event::Started {
        zone: node.settings().zone.as_str(),
        callers: addresses.callers,
        readiness: addresses.readiness,
        metrics: addresses.metrics,
        peers: addresses.peers,
        software: env!("CARGO_PKG_VERSION"),
    });
}

/// Stops the node: withdraws readiness, accepts connections until callers have moved to other nodes, and
/// gives running requests the grace period.
async fn stop(node: &Rc<Node>, stage: &watch::Sender<StopStage>, callers: &Callers) {
    let began = node.now();
    let planned = PlannedStop::with_grace_period(began, node.settings().bounds.grace());
    node.planned_stop.set(Some(planned));
    node.journal.log(&Event::Stopping { running: node.running.get() });
    stage.send_replace(StopStage::Draining);
    node.clock.sleep_until(planned.accepts_until).await;
    stage.send_replace(StopStage::Closing);
    node.journal.log(&Event::CallersClosing { open: callers.open(), running: node.running.get() });
    while !(callers.are_drained() && node.taken_over.get() == 0) && node.now() < planned.ends_at {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let after_ms = node.now().saturating_since(began).as_millis() as u64;
    node.journal.log(&Event::Stopped { running: node.running.get(), after_ms });
    // Requests that are cut off still log their lines.
    node.grace_elapsed.set(true);
    stage.send_replace(StopStage::Ended);
    tokio::time::sleep(LOG_FLUSH_TIME).await;
}

/// Watches the settings file, logs changes of readiness, and removes expired state.
async fn housekeeping(node: Rc<Node>, path: PathBuf, mut hangup: Signal) {
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    let mut ready = None;
    loop {
        let forced = tokio::select! {
            () = tokio::time::sleep(HOUSEKEEPING_INTERVAL) => false,
            _ = hangup.recv() => true,
        };
        reload(&node, &path, &mut text, forced);
        node.sweep();
        let readiness = node.readiness();
        if ready != Some(readiness) {
            ready = Some(readiness);
            let age = node.state.borrow().freshness.age(node.now());
            node.journal.log(&Event::ReadinessChanged {
                ready: readiness.is_ok(),
                why: readiness.err().unwrap_or("ready"),
                age_ms: age.map(|age| age.as_millis() as u64),
            });
        }
    }
}

/// Reloads the settings. If they are invalid, the previous ones stay in force.
fn reload(node: &Node, path: &std::path::Path, text: &mut String, forced: bool) {
    let read = std::fs::read_to_string(path);
    let changed = read.as_ref().is_ok_and(|new| new != text);
    if !changed && !forced {
        return;
    }
    let parsed = match &read {
        Ok(new) => ForwardSettings::parse(new).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    if let Ok(new) = read {
        *text = new;
    }
    match parsed {
        Ok(settings) => {
            node.state.borrow_mut().quotas.set_bounds(settings.bounds.quotas());
            node.request_bodies.set_rooms(settings.limits.rooms());
            *node.settings.borrow_mut() = Rc::new(settings);
            node.journal.log(&Event::SettingsReloaded { changed });
        }
        Err(problem) => node.journal.log(&Event::SettingsRejected { problem }),
    }
}
