//! `paddlemount serve`: runs a router node.

use lexopt::prelude::*;
use paddlemount_node::{node::Node, settings::NodeSettings};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{CommandError, address, print_ready, read_settings};
use crate::logging;

/// Runs a router node until a signal stops it.
pub fn run(arguments: lexopt::Parser) -> Result<(), CommandError> {
    let settings = read_arguments(arguments)?;
    logging::start(settings.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .map_err(|error| CommandError::Start(format!("cannot start threads: {error}")))?;
    runtime.block_on(serve(settings))
}

fn read_arguments(mut arguments: lexopt::Parser) -> Result<NodeSettings, CommandError> {
    let mut path = None;
    let (mut node, mut region, mut zone) = (None, None, None);
    let (mut callers, mut peers, mut admin) = (None, None, None);
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("settings") => path = Some(arguments.value()?),
            Long("node") => node = Some(arguments.value()?.string()?),
            Long("region") => region = Some(arguments.value()?.string()?),
            Long("zone") => zone = Some(arguments.value()?.string()?),
            Long("callers") => callers = Some(address(&mut arguments, "callers")?),
            Long("peers") => peers = Some(address(&mut arguments, "peers")?),
            Long("admin") => admin = Some(address(&mut arguments, "admin")?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (path, text) = read_settings(path)?;
    let mut settings =
        NodeSettings::parse(&text).map_err(|errors| CommandError::Settings { path, errors })?;
    settings.node = node.map_or(settings.node, Into::into);
    settings.region = region.map_or(settings.region, Into::into);
    settings.zone = zone.map_or(settings.zone, Into::into);
    settings.listen.callers = callers.unwrap_or(settings.listen.callers);
    settings.listen.peers = peers.unwrap_or(settings.listen.peers);
    settings.listen.admin = admin.unwrap_or(settings.listen.admin);
    Ok(settings)
}

async fn serve(settings: NodeSettings) -> Result<(), CommandError> {
    let name = settings.node.clone();
    let signal_error =
        |error: std::io::Error| CommandError::Start(format!("cannot wait for signals: {error}"));
    let mut signals = Signals::listen().map_err(signal_error)?;
    let node = Node::start(settings).map_err(|error| CommandError::Start(error.to_string()))?;
    print_ready(&serde_json::json!({
        "ready": "node",
        "node": name,
        "callers": node.address(),
        "peers": node.peer_address(),
        "admin": node.admin_address(),
    }));
    signals.stop_requested().await;
    log::info!(requests = node.state().active.count(); "stopping; waiting for open requests");
    tokio::select! {
        () = node.stop() => log::info!("stopped"),
        () = signals.forced_stop_requested() => log::warn!("interrupted while stopping; exiting at once"),
    }
    Ok(())
}

/// The signals that a node handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers; without them the default action of each signal would end the process at once.
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal that requests a graceful shutdown.
    async fn stop_requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => log_reload_unsupported(),
            }
        }
    }

    /// Waits for an interrupt, which ends open requests at once. A repeated SIGTERM does not, since a
    /// platform may send it more than once.
    async fn forced_stop_requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.interrupt.recv() => return,
                _ = self.terminate.recv() => log::info!("already stopping; waiting for open requests"),
                _ = self.hangup.recv() => log_reload_unsupported(),
            }
        }
    }
}

fn log_reload_unsupported() {
    log::info!("settings are read only at startup; changes of the file take effect after a restart");
}
