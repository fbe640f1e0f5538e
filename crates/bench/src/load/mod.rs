//! Load over TCP at a fixed rate, through nodes and direct to an engine in the same run.
//!
//! The load is open-loop: requests are sent at their planned times whether or not earlier ones have
//! been answered, and times count from the planned time, so that a slow server does not delay the
//! requests by which it is measured. Every answer is compared with what its request must get.
//!
//! | module | job |
//! |---|---|
//! | [`command`] | the command `paddlemount load` |
//! | [`hold`] | many open streams, and the memory that each takes at a node |
//! | [`report`] | the report of a run |
//! | `client` | one request over TCP |
//! | `process` | memory and processor time of a process |
//! | `prompts` | prompts with long shared prefixes |

mod client;
pub mod command;
pub mod hold;
mod process;
mod prompts;
pub mod report;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use paddlemount_protocol::identity::{ModelId, TenantId, WeightsVersion};
use serde::{Deserialize, Serialize};
use tokio::{
    runtime::{Builder, Handle, Runtime},
    sync::mpsc,
};

use self::{
    client::{LoadClient, Sample, Target},
    process::ProcessId,
    prompts::Prompts,
    report::{LoadReport, ReportBuilder},
};

/// Time to wait for the last answers, beyond the deadline.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The requests of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workload {
    /// The tenant of `key`; its name determines the expected answers.
    pub tenant: TenantId,
    #[serde(skip)]
    pub key: String,
    pub model: ModelId,
    pub weights: WeightsVersion,
    /// Number of distinct prefixes that prompts share.
    pub openings: u32,
    pub opening_bytes: usize,
    /// Bytes of each prompt that are unique.
    pub own_bytes: usize,
    pub max_tokens: u32,
    pub deadline_ms: u64,
    pub seed: u64,
}

impl Workload {
    /// A workload for one tenant with default sizes.
    pub fn new(tenant: TenantId, key: String, model: ModelId, weights: WeightsVersion) -> Self {
        Self {
            tenant,
            key,
            model,
            weights,
            openings: 4,
            opening_bytes: 16 * 1024,
            own_bytes: 400,
            max_tokens: 32,
            deadline_ms: 30_000,
            seed: 1,
        }
    }
}

/// Settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// Addresses for callers; used in turn.
    pub nodes: Vec<SocketAddr>,
    /// An engine that gets the same number of requests directly, for comparison.
    pub engine: Option<SocketAddr>,
    pub workload: Workload,
    /// Request rate through the nodes, and again directly to the engine.
    pub requests_per_second: f64,
    pub duration: Duration,
    /// Requests planned in this initial time are not counted.
    pub warm_up: Duration,
    /// Process ids of the nodes, for their processor time.
    pub node_processes: Vec<u32>,
    pub threads: usize,
}

/// An error that prevents a run.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{0}")]
    Settings(&'static str),
    #[error("cannot start the load generator: {0}")]
    Start(#[source] std::io::Error),
    #[error("cannot read the status of the engine at {address}: {reason}")]
    Engine { address: SocketAddr, reason: String },
    #[error("cannot read memory or processor time of process {process}: {source}")]
    Process { process: u32, source: std::io::Error },
    #[error("{failed} of {streams} streams did not stay open; the first: {reason}")]
    Hold {
        streams: usize,
        failed: usize,
        /// The cause for the first of them.
        reason: String,
    },
}

/// Makes a run and returns its report.
pub fn run(settings: &LoadSettings) -> Result<LoadReport, LoadError> {
    check_settings(settings)?;
    let runtime = runtime(settings.threads)?;
    let clients = Arc::new(LoadClient::new(&settings.workload));
    let engine = settings.engine.map(|address| runtime.block_on(clients.engine(address))).transpose()?;
    let prompts = Arc::new(Prompts::new(&settings.workload));
    let mut targets: Vec<Vec<Target>> = vec![settings.nodes.iter().copied().map(Target::Node).collect()];
    targets.extend(engine.map(|engine| vec![Target::Engine(engine)]));
    let (samples, collected) = mpsc::unbounded_channel();
    let sender = Sender { handle: runtime.handle().clone(), clients, prompts, samples };
    let collector = runtime.spawn(collect(collected));
    let processes: Vec<ProcessId> = settings.node_processes.iter().copied().map(ProcessId).collect();
    let before = process::processor_time(&processes)?;
    let started = Instant::now();
    send_all(settings, &sender, &targets, started);
    let sending_time = started.elapsed();
    drop(sender);
    let timeout = Duration::from_millis(settings.workload.deadline_ms) + DRAIN_TIMEOUT;
    let collected = runtime.block_on(async { tokio::time::timeout(timeout, collector).await });
    let after = process::processor_time(&processes)?;
    let Ok(Ok(samples)) = collected else { return Err(LoadError::Settings("answers did not end in time")) };
    let mut builder = ReportBuilder::new(settings.warm_up);
    samples.iter().for_each(|sample| builder.add(sample));
    Ok(builder.finish(settings, sending_time, after.saturating_sub(before)))
}

fn check_settings(settings: &LoadSettings) -> Result<(), LoadError> {
    if settings.nodes.is_empty() {
        return Err(LoadError::Settings("at least one node is needed"));
    }
    let rate = settings.requests_per_second;
    if !rate.is_finite() || rate <= 0.0 {
        return Err(LoadError::Settings("the rate must be above 0"));
    }
    if settings.warm_up >= settings.duration {
        return Err(LoadError::Settings("the warm-up must be shorter than the run"));
    }
    Ok(())
}

fn runtime(threads: usize) -> Result<Runtime, LoadError> {
    Builder::new_multi_thread().worker_threads(threads.max(1)).enable_all().build().map_err(LoadError::Start)
}

struct Sender {
    handle: Handle,
    clients: Arc<LoadClient>,
    prompts: Arc<Prompts>,
    samples: mpsc::UnboundedSender<Sample>,
}

/// Sends every request at its planned time. The calling thread paces, since its sleep is finer than the
/// runtime's timer.
fn send_all(settings: &LoadSettings, sender: &Sender, targets: &[Vec<Target>], started: Instant) {
    let total = (settings.duration.as_secs_f64() * settings.requests_per_second) as u64;
    let interval = 1.0 / settings.requests_per_second;
    for number in 0..total {
        for (kind, choices) in targets.iter().enumerate() {
            // Requests to the engine alternate with those to the nodes.
            let offset = kind as f64 / targets.len() as f64;
            let planned = started + Duration::from_secs_f64((number as f64 + offset) * interval);
            std::thread::sleep(planned.saturating_duration_since(Instant::now()));
            let target = choices[number as usize % choices.len()].clone();
            sender.send(target, number * targets.len() as u64 + kind as u64, planned, started);
        }
    }
}

impl Sender {
    fn send(&self, target: Target, number: u64, planned: Instant, started: Instant) {
        let (clients, prompts, samples) = (self.clients.clone(), self.prompts.clone(), self.samples.clone());
        self.handle.spawn(async move {
            let prompt = prompts.prompt(number);
            let sample = clients.request(target, prompt, planned, planned - started).await;
            // The receiver is gone only if the run has timed out.
            let _ = samples.send(sample);
        });
    }
}

async fn collect(mut samples: mpsc::UnboundedReceiver<Sample>) -> Vec<Sample> {
    let mut collected = Vec::new();
    while let Some(sample) = samples.recv().await {
        collected.push(sample);
    }
    collected
}
