//! Start, planned stop and sudden end of a node.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{task::JoinSet, time::Instant};

use crate::{
    admin, caller, drivers, peers,
    server::{self, BindError, RunningServer, ServerSettings},
    settings::NodeSettings,
    state::NodeState,
};

/// Threads that serve nodes, and threads that serve operators.
const INTERNAL_WORKERS: usize = 1;
/// Time without a request between the end of the last one and the end of the servers. Late requests are told until then
/// that the node stops, and answers leave the servers' buffers.
const LINGER_IDLE_TIME: Duration = Duration::from_millis(250);
/// How often that time is looked at.
const LINGER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A look that comes later than this after the one before shows that the process got no processor time.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// The longest time to linger, where callers go on coming.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);

/// Starts nodes.
pub struct Node;

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// Threads could not be started.
    #[error("cannot start a server: {0}")]
    Server(#[from] io::Error),
}

/// A node that runs in this process.
pub struct RunningNode {
    state: Arc<NodeState>,
    tasks: JoinSet<()>,
    callers: RunningServer,
    peers: RunningServer,
    admin: RunningServer,
}

impl Node {
    /// Starts a node. Must be called within a tokio runtime, which then runs its background tasks.
    ///
    /// # Errors
    ///
    /// Where an address is in use or threads cannot be started.
    pub fn start(settings: NodeSettings) -> Result<RunningNode, StartError> {
        let listen = settings.listen;
        let callers = server::bind("callers", listen.callers)?;
        let peers = server::bind("peers", listen.peers)?;
        let admin = server::bind("admin", listen.admin)?;
        let timeouts = settings.timeouts;
        let bounds = |name, workers| ServerSettings {
            name,
            workers,
            head: timeouts.head,
            keep_alive: timeouts.keep_alive,
        };
        let workers = settings.workers;
        // Other nodes are told the address that was bound, also where any free port was asked for.
        let mut settings = settings;
        settings.listen.peers = peers.local_addr()?;
        let state = Arc::new(NodeState::new(settings));
        let callers = caller::start(&state, callers, bounds("callers", workers))?;
        let peers = peers::start(&state, peers, bounds("peers", INTERNAL_WORKERS))?;
        let admin = admin::start(&state, admin, bounds("admin", INTERNAL_WORKERS))?;
        let tasks = drivers::spawn(&state);
        Ok(RunningNode { state, tasks, callers, peers, admin })
    }
}

impl RunningNode {
    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where other nodes connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Where operators, health checks and metrics connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The node's state.
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Stops as planned: takes no new work, ends when all requests have ended.
    pub async fn stop(self) {
        self.state.active.start_draining();
        peers::announce_leaving(&self.state).await;
        self.state.active.wait_until_idle().await;
        self.linger().await;
        self.end().await;
    }

    /// Waits until no request has come for [`LINGER_IDLE_TIME`]. Time in which the process did not run does not count: what came
    /// meanwhile lies in sockets, and the end of the servers would reset it.
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

    /// Ends at once, as a crash would.
    pub async fn kill(self) {
        self.end().await;
    }

    async fn end(mut self) {
        self.tasks.shutdown().await;
        tokio::join!(self.callers.stop(), self.peers.stop(), self.admin.stop());
    }
}
