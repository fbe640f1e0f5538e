//! Runs stand-ins as servers.

use std::{
    fmt, io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use xitca_web::{
    HttpServer,
    body::{Body, RequestBody},
    bytes::Bytes,
    http::{Request, RequestExt, Response},
    service::{Service, ready::ReadyService},
};

use crate::{
    booking, cache_store, configuration_store, engine, http::Activity, machine_list,
    settings::StandinSettings, weight_store,
};

/// Idle time after which a connection is closed; longer than the idle timeout of clients.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Upper bound of the time for which a graceful shutdown waits for requests in flight.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a graceful shutdown checks for requests in flight.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for the last bytes of responses to leave the process.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Reports why a stand-in did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listener could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        source: io::Error,
    },
    /// The server or one of its threads could not be started.
    #[error("cannot start the server: {0}")]
    Server(#[from] io::Error),
}

/// A stand-in that serves on its own threads and stops when dropped.
pub struct RunningStandin {
    address: SocketAddr,
    activity: Arc<Activity>,
    stop_server: Box<dyn Fn() + Send + Sync>,
    server: Option<JoinHandle<io::Result<()>>>,
    _driver: Option<Box<dyn Send + Sync>>,
}

impl fmt::Debug for RunningStandin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RunningStandin").field("address", &self.address).finish_non_exhaustive()
    }
}

impl RunningStandin {
    /// The address of the listener, with the port chosen by the system if the settings say 0.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.activity.in_flight()
    }

    /// Shuts down gracefully: refuses new requests and waits up to 30 s for those in flight.
    pub fn stop(mut self) {
        self.activity.set_stopping();
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while self.activity.in_flight() > 0 && Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        thread::sleep(FLUSH_DELAY);
        self.end();
    }

    /// Simulates a crash: closes the listener and all connections at once.
    pub fn kill(mut self) {
        self.end();
    }

    /// Serves until `stopped` returns, then shuts down gracefully.
    pub fn run_until(self, stopped: impl FnOnce()) {
        stopped();
        self.stop();
    }

    /// Serves until the server stops by itself.
    pub fn run_until_stopped(mut self) {
        self.join();
    }

    fn end(&mut self) {
        (self.stop_server)();
        self.join();
    }

    fn join(&mut self) {
        let Some(server) = self.server.take() else { return };
        match server.join() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!("stand-in at {} ended: {error}", self.address),
            Err(_) => log::error!("the server thread of the stand-in at {} panicked", self.address),
        }
    }
}

impl Drop for RunningStandin {
    fn drop(&mut self) {
        if self.server.is_some() {
            self.end();
        }
    }
}

/// Starts the stand-in that `settings` describe.
pub fn start(settings: StandinSettings) -> Result<RunningStandin, StartError> {
    match settings {
        StandinSettings::Engine(settings) => engine::server::start(settings),
        StandinSettings::ConfigurationStore(settings) => configuration_store::server::start(settings),
        StandinSettings::WeightStore(settings) => weight_store::server::start(settings),
        StandinSettings::CacheStore(settings) => cache_store::server::start(settings),
        StandinSettings::Booking(settings) => booking::server::start(settings),
        StandinSettings::MachineList(settings) => machine_list::server::start(settings),
    }
}

/// Binds a listener.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).map_err(|source| StartError::Listen { address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Accepted connections inherit this option, which keeps small frames from waiting for acknowledgements.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Runs `server` on `listener`; `driver` is dropped with the server.
pub(crate) fn launch<S, ResB>(
    server: HttpServer<S>,
    listener: TcpListener,
    threads: usize,
    activity: Arc<Activity>,
    driver: Option<Box<dyn Send + Sync>>,
) -> Result<RunningStandin, StartError>
where
    S: Service + Send + Sync + 'static,
    S::Response:
        ReadyService + Service<Request<RequestExt<RequestBody>>, Response = Response<ResB>> + 'static,
    S::Error: fmt::Debug,
    <S::Response as Service<Request<RequestExt<RequestBody>>>>::Error: fmt::Debug,
    ResB: Body<Data = Bytes> + 'static,
    ResB::Error: fmt::Debug + 'static,
{
    let address = listener.local_addr()?;
    let mut running = server
        .server_threads(1)
        .worker_threads(threads.max(1))
        .worker_max_blocking_threads(1)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .disable_signal()
        .listen(listener)?
        .run();
    let handle = running.handle()?;
    let server = thread::Builder::new().name("standin-server".to_owned()).spawn(move || running.wait())?;
    Ok(RunningStandin {
        address,
        activity,
        stop_server: Box::new(move || handle.stop(false)),
        server: Some(server),
        _driver: driver,
    })
}
