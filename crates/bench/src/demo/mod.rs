//! The demo: the platform, engines, booking runners and three nodes in one process over loopback TCP, with
//! faults under mixed traffic.
//!
//! Every answer is compared with the expected one, and the ledgers of the booking service are checked at the
//! end.

pub mod caller;
mod cluster;
mod faults;
pub mod record;
mod report;
mod traffic;

use std::{
    ffi::OsString,
    io::{self, Write},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use lexopt::Arg;

pub use cluster::{Cluster, ClusterError, OPERATOR, OPERATOR_KEY};
use record::Records;
pub use report::Summary;

/// Usage text.
const USAGE: &str = "\
paddlemount demo: three nodes, twelve model runners and the platform in one process

  paddlemount demo [--hold] [--seconds N]

--hold       stay up afterwards under light traffic, until interrupted
--seconds N  length of the traffic (default 20)

The last line is one JSON object. The exit code is 0 only where every request got its whole, right answer, once.
";

/// Request rate while the demo is held.
const HOLD_REQUESTS_PER_SECOND: f64 = 4.0;

/// Settings of a demo.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemoSettings {
    pub length: Duration,
    pub requests_per_second: f64,
    pub bookings_per_second: f64,
    pub seed: u64,
    /// Whether the cluster stays up afterwards.
    pub hold: bool,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(20),
            requests_per_second: 24.0,
            bookings_per_second: 6.0,
            seed: 1,
            hold: false,
        }
    }
}

/// An error of the demo.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    #[error("{0}; see paddlemount demo --help")]
    Arguments(#[from] lexopt::Error),
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Runs `paddlemount demo` with the arguments after `demo`.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let outcome = parse_arguments(arguments).and_then(|settings| match settings {
        Some(settings) => run_demo(&settings),
        None => print(USAGE).map(|()| true),
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("paddlemount demo: {error}");
            ExitCode::from(2)
        }
    }
}

fn parse_arguments(arguments: impl IntoIterator<Item = OsString>) -> Result<Option<DemoSettings>, DemoError> {
    use lexopt::ValueExt;
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut settings = DemoSettings::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("hold") => settings.hold = true,
            Arg::Long("seconds") => settings.length = Duration::from_secs(parser.value()?.parse()?),
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(settings))
}

fn print(text: &str) -> Result<(), DemoError> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()?;
    Ok(())
}

fn run_demo(settings: &DemoSettings) -> Result<bool, DemoError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    runtime.block_on(async {
        let cluster = Arc::new(Cluster::start().await?);
        print(&cluster.banner())?;
        let summary = run(&cluster, settings).await;
        print(&summary.table())?;
        if settings.hold {
            hold(&cluster, settings).await?;
        }
        print(&format!("{}\n", summary.json()))?;
        cluster.stop().await;
        Ok(summary.passed())
    })
}

/// Sends the traffic and injects the faults.
pub async fn run(cluster: &Arc<Cluster>, settings: &DemoSettings) -> Summary {
    let records = Arc::new(Records::new(settings.length));
    let faults = tokio::spawn(faults::run(Arc::clone(cluster), Arc::clone(&records), settings.length));
    traffic::run(cluster, settings, &records).await;
    if let Err(error) = faults.await {
        log::error!("the fault task failed: {error}");
        records.note("the faults did not run");
    }
    let ledgers = cluster.ledgers().await;
    Summary::new(&records, ledgers.as_deref())
}

async fn hold(cluster: &Arc<Cluster>, settings: &DemoSettings) -> Result<(), DemoError> {
    print(&cluster.banner())?;
    print("\nThe cluster stays up under light traffic. Interrupt it (Ctrl-C) to end.\n")?;
    let light = DemoSettings {
        length: Duration::from_secs(365 * 86_400),
        requests_per_second: HOLD_REQUESTS_PER_SECOND,
        bookings_per_second: 1.0,
        ..*settings
    };
    let records = Arc::new(Records::discarding());
    tokio::select! {
        () = traffic::run(cluster, &light, &records) => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
