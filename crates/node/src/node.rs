//! Starts a node, stops it gracefully, or kills it.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{task::JoinSet, time::Instant};

use crate::{
    admin, caller, drivers, peers,
    server::{self, BindError, RunningServer, ServerSettings},
    settings::NodeSettings,
    state::NodeState,
};

/// Worker threads of the peer server, and of the administration server.
const INTERNAL_WORKERS: usize = 1;
/// How long a stopping node stays idle after its last request before its servers close. Until then late
/// requests get a refusal, and buffered answers are flushed.
const LINGER_IDLE_TIME: Duration = Duration::from_millis(250);
const LINGER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A poll that is delayed by more than this shows that the process got no processor time.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// Bounds lingering while callers keep sending requests.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);

/// Entry point for starting a node.
pub struct Node;

/// Why a node could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    #[error("cannot start a server: {0}")]
    Server(#[from] io::Error),
}

/// A running node, with its servers and background tasks.
pub struct RunningNode {
    state: Arc<NodeState>,
    tasks: JoinSet<()>,
    callers: RunningServer,
    peers: RunningServer,
    admin: RunningServer,
}

impl Node {
    /// Starts a node. Must be called within a tokio runtime, on which the background tasks then run.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or threads cannot be started.
    pub fn start(settings: NodeSettings) -> Result<RunningNode, StartError> {
        let listen = settings.listen;
        let callers = server::bind_for_callers(listen.callers)?;
        let peers = server::bind("peers", listen.peers)?;
        let admin = server::bind("admin", listen.admin)?;
        let timeouts = settings.timeouts;
        let server_settings = |name, workers| ServerSettings {
            name,
            workers,
            head: timeouts.head,
            keep_alive: timeouts.keep_alive,
        };
        let workers = settings.workers;
        // Peers are given the bound address, which differs from the configured one for port 0.
        let mut settings = settings;
        settings.listen.peers = peers.local_addr()?;
        let state = Arc::new(NodeState::new(settings));
        let callers = caller::start(&state, callers, server_settings("callers", workers))?;
        let peers = peers::start(&state, peers, server_settings("peers", INTERNAL_WORKERS))?;
        let admin = admin::start(&state, admin, server_settings("admin", INTERNAL_WORKERS))?;
        let tasks = drivers::spawn(&state);
        Ok(RunningNode { state, tasks, callers, peers, admin })
    }
}

impl RunningNode {
    /// The address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address that other nodes connect to.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// The address of the administration interface, health checks and metrics.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The node's state.
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Stops gracefully: refuses new requests and returns once all requests have ended.
    pub async fn stop(self) {
        self.state.active.start_draining();
        peers::announce_leaving(&self.state).await;
        self.state.active.wait_until_idle().await;
        self.linger().await;
        self.end().await;
    }

    /// Waits until no request has arrived for [`LINGER_IDLE_TIME`]. Time in which the process was stalled
    /// does not count: requests may lie unread in sockets, and closing the servers would reset their
    /// connections.
    async fn linger(&self) {
        let began = Instant::now();
        let (mut idle_since, mut last_poll) = (began, began);
        let mut arrivals = self.state.active.arrivals();
        while idle_since.elapsed() < LINGER_IDLE_TIME && began.elapsed() < MAX_LINGER_TIME {
            tokio::time::sleep(LINGER_POLL_INTERVAL).await;
            let current = self.state.active.arrivals();
            if current != arrivals || last_poll.elapsed() > STALL_THRESHOLD {
                idle_since = Instant::now();
            }
            (arrivals, last_poll) = (current, Instant::now());
        }
    }

    /// Stops at once, without draining.
    pub async fn kill(self) {
        self.end().await;
    }

    async fn end(mut self) {
        self.tasks.shutdown().await;
        tokio::join!(self.callers.stop(), self.peers.stop(), self.admin.stop());
    }
}
