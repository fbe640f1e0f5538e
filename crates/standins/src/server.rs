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

/// Idle time after which a kept-alive connection is closed; longer than clients keep theirs.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How long a planned stop waits for requests in flight.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// How often a planned stop looks whether requests are still in flight.
const STOP_POLL: Duration = Duration::from_millis(5);

/// Time for the last bytes of the last answers to leave the process.
const LAST_WRITES: Duration = Duration::from_millis(20);

/// Why a stand-in did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Threads or the server could not be started.
    #[error("cannot start the server: {0}")]
    Server(#[from] io::Error),
}

/// A stand-in that serves on its own threads.
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
    /// The address that it listens on, with the port that the system chose where the settings say 0.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that are being served.
    pub fn in_flight(&self) -> usize {
        self.activity.in_flight()
    }

    /// A planned stop: refuses new requests, waits for those in flight (30 s at most), then ends.
    pub fn stop(mut self) {
        self.activity.set_stopping();
        let limit = Instant::now() + STOP_LIMIT;
        while self.activity.in_flight() > 0 && Instant::now() < limit {
            thread::sleep(STOP_POLL);
        }
        thread::sleep(LAST_WRITES);
        self.end();
    }

    /// A crash: closes the listener and all connections at once.
    pub fn kill(mut self) {
        self.end();
    }

    /// Serves until `stopped` returns, then makes a planned stop.
    pub fn run_until(self, stopped: impl FnOnce()) {
        stopped();
        self.stop();
    }

    /// Serves until the server ends by itself.
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

/// A socket that is bound and listens.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).map_err(|source| StartError::Listen { address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Accepted connections inherit this; small frames must not wait for acknowledgements.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Serves `server` on `listener`; `driver` lives as long as the server.
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
        .keep_alive_timeout(KEEP_ALIVE)
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
