//! Holds many streams open at once, and measures the memory that each takes at a node.
//!
//! The engines must be slow enough for the streams to stay open: as many batch slots as streams, and a decode
//! step of some seconds.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::task::JoinSet;

use super::{
    LoadError, Workload,
    client::{Ending, LoadClient},
    process::ProcessId,
    prompts::Prompts,
    runtime,
};

/// Streams that are opened before the memory is first read, so that one-time allocations do not count.
const WARM_UP_STREAMS: usize = 50;

/// Maximum number of streams that are being opened concurrently.
const MAX_CONCURRENT_OPENS: usize = 64;

/// The time without a byte after which a stream counts as open.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// Time for a node to settle before its memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Settings of [`hold`].
#[derive(Clone, Debug, PartialEq)]
pub struct HoldSettings {
    pub node: SocketAddr,
    pub workload: Workload,
    pub streams: usize,
    pub hold: Duration,
    /// Process id of the node, whose memory is read.
    pub node_process: Option<u32>,
    pub threads: usize,
}

/// The result of [`hold`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HoldReport {
    /// Streams that were open at once, each with at least one byte received.
    pub streams: usize,
    pub opening_seconds: f64,
    /// Memory of the node, if its process was given.
    pub memory: Option<HoldMemory>,
}

/// Resident memory of a node, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HoldMemory {
    /// Before the streams were opened, after a warm-up.
    pub before: u64,
    pub open: u64,
    pub bytes_per_stream: f64,
}

/// Opens the streams, holds them and measures the node's memory.
pub fn hold(settings: &HoldSettings) -> Result<HoldReport, LoadError> {
    let runtime = runtime(settings.threads)?;
    let clients = Arc::new(LoadClient::new(&settings.workload));
    let prompts = Arc::new(Prompts::new(&settings.workload));
    let opener = StreamOpener { clients, prompts, node: settings.node };
    let process = settings.node_process.map(ProcessId);
    drop(runtime.block_on(opener.open_all(0, WARM_UP_STREAMS.min(settings.streams)))?);
    std::thread::sleep(SETTLE_TIME);
    let before = process.map(ProcessId::resident_bytes).transpose()?;
    let started = Instant::now();
    let open = runtime.block_on(opener.open_all(WARM_UP_STREAMS, settings.streams))?;
    let opening_seconds = started.elapsed().as_secs_f64();
    std::thread::sleep(settings.hold.max(SETTLE_TIME));
    let with_streams = process.map(ProcessId::resident_bytes).transpose()?;
    runtime.block_on(check_open(open))?;
    let memory = before.zip(with_streams).map(|(before, open)| HoldMemory {
        before,
        open,
        bytes_per_stream: (open as f64 - before as f64) / settings.streams.max(1) as f64,
    });
    Ok(HoldReport { streams: settings.streams, opening_seconds, memory })
}

#[derive(Clone)]
struct StreamOpener {
    clients: Arc<LoadClient>,
    prompts: Arc<Prompts>,
    node: SocketAddr,
}

impl StreamOpener {
    async fn open_all(&self, first: usize, count: usize) -> Result<Vec<Incoming>, LoadError> {
        let mut opening = JoinSet::new();
        let mut results = Vec::with_capacity(count);
        for number in first..first + count {
            if opening.len() >= MAX_CONCURRENT_OPENS {
                results.extend(opening.join_next().await);
            }
            let opener = self.clone();
            opening.spawn(async move { opener.open(number as u64).await });
        }
        results.extend(opening.join_all().await.into_iter().map(Ok));
        let (open, failed): (Vec<_>, Vec<_>) =
            results.into_iter().map(flatten).partition(|result| result.is_ok());
        let reason =
            failed.iter().find_map(|result| result.as_ref().err()).map(|ending| format!("{ending:?}"));
        match reason {
            Some(reason) => Err(LoadError::Hold { streams: count, failed: failed.len(), reason }),
            None => Ok(open.into_iter().flatten().collect()),
        }
    }

    /// Opens a stream and waits for its first bytes.
    async fn open(&self, number: u64) -> Result<Incoming, Ending> {
        let prompt = self.prompts.prompt(number);
        let mut body = self.clients.open_stream(self.node, &prompt).await?;
        match body.frame().await {
            Some(Ok(_)) => Ok(body),
            _ => Err(Ending::Incomplete),
        }
    }
}

fn flatten(result: Result<Result<Incoming, Ending>, tokio::task::JoinError>) -> Result<Incoming, Ending> {
    result.unwrap_or_else(|error| Err(Ending::Failed(error.to_string())))
}

/// Checks that no stream ended while it was held.
async fn check_open(bodies: Vec<Incoming>) -> Result<(), LoadError> {
    let streams = bodies.len();
    let checks: JoinSet<bool> = bodies.into_iter().map(is_open).collect();
    let failed = checks.join_all().await.into_iter().filter(|is_open| !is_open).count();
    if failed == 0 {
        return Ok(());
    }
    Err(LoadError::Hold { streams, failed, reason: "the stream ended while it was held".to_owned() })
}

/// Reads what has arrived of a stream, until nothing has come for a while. The task of its connection passes it on, which
/// may take some time.
async fn is_open(mut body: Incoming) -> bool {
    loop {
        match tokio::time::timeout(QUIET_TIME, body.frame()).await {
            Err(_) => return true,
            Ok(Some(Ok(_))) => {}
            Ok(Some(Err(_)) | None) => return false,
        }
    }
}
