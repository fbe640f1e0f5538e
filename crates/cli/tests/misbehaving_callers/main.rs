//! Crowds of callers outside the limits against a single process. Each test runs alone: it takes [`alone`] first.

mod bodies;
mod connections;
mod crowd;
mod footprint;
#[path = "../forward/router.rs"]
#[allow(dead_code, reason = "these tests use a part of it")]
mod router;
mod serve;
#[path = "../support/mod.rs"]
mod support;

use support::program;
use tokio::sync::{Mutex, MutexGuard};

/// Waits until no other test of this file runs.
async fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}
