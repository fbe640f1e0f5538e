//! Retries while single connections stall: their requests are read late, and the same servers answer others meanwhile.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY};

use crate::fixed_rate::{FIXED_RATE, Fleet};

const NODES: usize = 3;
/// Retries per window beside the earned ones.
const SLACK: u64 = 54;
const SERVERS: usize = 6;
const ATTEMPTS: u32 = 3;
/// Time between two requests of all callers.
const PAUSE: Duration = Duration::from_millis(20);
const WARM_UP: Duration = Duration::from_secs(10);
/// The share of requests that are read late.
const SHARE: f64 = 0.65;
/// How late they are read, and how often such a time comes.
const DELAY: Duration = Duration::from_secs(6);
const TIMES: usize = 3;
const TIME_BETWEEN: Duration = Duration::from_secs(3);
/// How long late requests may take to arrive.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// A server that answers others may still not have read a request that waits on a connection of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrive_late_on_stalled_connections_stay_within_the_retry_budget() {
    let _turn = FIXED_RATE.lock().await;
    let cluster = Cluster::start_with_bookings(SERVERS).await.expect("the cluster starts");
    cluster.configure_attempts(1, &[KEY], ATTEMPTS);
    let fleet = Fleet::start_with_slack(&cluster, NODES, SLACK).await;
    let began = Instant::now();
    let stalls = async {
        tokio::time::sleep_until((began + WARM_UP).into()).await;
        for time in 0..TIMES {
            // All that is read late in one time is read at its end.
            let until = Instant::now() + DELAY;
            stall_until(&cluster.bookings, until, time as u64).await;
            tokio::time::sleep(TIME_BETWEEN).await;
        }
    };
    let during = WARM_UP + (DELAY + TIME_BETWEEN) * TIMES as u32;
    let (calls, ()) = tokio::join!(fleet.send_at_rate("/quote/1", began, PAUSE, during), stalls);
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_retries(&cluster.bookings, &calls, began);
}

/// Stalls a share of the connections of all servers until a moment.
async fn stall_until(servers: &[Runner], until: Instant, seed: u64) {
    for (number, server) in servers.iter().enumerate() {
        server.stall_connections(SHARE, until, seed * servers.len() as u64 + number as u64);
    }
    tokio::time::sleep_until(until.into()).await;
}
