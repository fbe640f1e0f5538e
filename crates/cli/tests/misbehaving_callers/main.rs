//! Crowds of callers outside the limits against a single process. Each test runs alone: it takes [`alone`] first.

mod bodies;
mod connections;
mod crowd;
mod footprint;
#[path = "../forward/router.rs"]
#[allow(dead_code, reason = "these tests use a part of it")]
mod router;
mod serve;
mod slow_readers;
mod soak;
#[path = "../support/mod.rs"]
mod support;

use paddlemount_platform_standin::Cluster;
use router::Router;
use support::program;
use tokio::sync::{Mutex, MutexGuard};

/// Waits until no other test of this file runs.
async fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}

/// Starts a forwarding node with a `[limits]` table, and waits until it is ready.
async fn start_with_limits(cluster: &Cluster, limits: &str) -> Router {
    let router = Router::start_with(&format!("{}[limits]\n{limits}", router::settings(cluster, 5_000))).await;
    router
        .wait_until("ready", async || router.fetch_readiness().await.is_some_and(|status| status == 200))
        .await;
    router
}
