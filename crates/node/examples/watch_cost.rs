//! Measures the effect of watchers on request latency.
//!
//! Runs one node, four engines and four sequential callers in this process, alternating between no watcher
//! and ten. Prints the time from a request's arrival until it was sent to an engine, in microseconds, from
//! the decision records.

#[path = "../tests/admin/support.rs"]
#[allow(dead_code)]
mod support;

use std::{sync::Arc, time::Duration};

use paddlemount_core::decisions::DecisionRing;
use paddlemount_protocol::time::Timestamp;
use support::Cluster;

const PERIODS: usize = 20;
const PERIOD: Duration = Duration::from_secs(2);
const CALLERS: usize = 4;
const WATCHERS: [&str; 10] = [
    "watch decisions",
    "watch decisions where chosen = true",
    "watch requests",
    "watch requests where total > 1s",
    "watch routing",
    "watch limits",
    "watch retries",
    "watch engines",
    "watch prefixes",
    "watch nodes",
];

#[tokio::main]
async fn main() {
    let cluster = Arc::new(Cluster::start(4, 1).await);
    for caller in 0..CALLERS {
        tokio::spawn(call(Arc::clone(&cluster), caller));
    }
    let (mut without, mut with) = (Vec::new(), Vec::new());
    for period in 0..PERIODS {
        let is_watched = period % 2 == 1;
        let watchers = if is_watched { watch_all(&cluster).await } else { Vec::new() };
        let started = cluster.nodes[0].state().clock.now();
        tokio::time::sleep(PERIOD).await;
        let measured = times_since(&cluster, started);
        if is_watched {
            with.extend(measured)
        } else {
            without.extend(measured)
        }
        watchers.into_iter().for_each(|watcher| watcher.abort());
    }
    report("no watcher", &mut without);
    report("10 watchers", &mut with);
    std::process::exit(0);
}

async fn call(cluster: Arc<Cluster>, caller: usize) {
    for number in 0.. {
        let terms = "Standing hire terms, clause by clause. ".repeat(40 + caller);
        cluster.prompt(0, &format!("{terms} {number}")).await;
    }
}

async fn watch_all(cluster: &Arc<Cluster>) -> Vec<tokio::task::JoinHandle<()>> {
    let mut watchers = Vec::new();
    for statement in WATCHERS {
        let mut watch = cluster.watch(0, statement).await;
        watchers.push(tokio::spawn(async move { while watch.line().await.is_some() {} }));
    }
    watchers
}

fn times_since(cluster: &Cluster, started: Timestamp) -> Vec<u64> {
    let records = cluster.nodes[0].state().observations.decisions(DecisionRing::newest_first);
    let recent = records.iter().filter(|record| record.at >= started);
    recent.filter_map(|record| record.timings.queued_us).collect()
}

fn report(name: &str, times: &mut [u64]) {
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() * percent).div_ceil(100).max(1) - 1];
    let (count, p50, p99) = (times.len(), percentile(50), percentile(99));
    println!("{name}: {count} requests, p50 {p50} us, p95 {} us, p99 {p99} us", percentile(95));
}
