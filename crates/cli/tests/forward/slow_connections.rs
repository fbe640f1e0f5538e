//! Retries while single connections stall: their requests are read late, and the same servers answer others meanwhile.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY};

use crate::{
    fixed_rate::{FIXED_RATE, Fleet},
    limit_check,
};

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
/// A longer delay, and when all nodes are killed within it.
const LONG_DELAY: Duration = Duration::from_secs(9);
const KILL_DELAY: Duration = Duration::from_secs(3);
/// The limit that each server advertises, in requests per second.
const LIMIT: f64 = 8.0;
/// Time until all nodes know the limit.
const LIMIT_START: Duration = Duration::from_secs(4);
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
    let during = WARM_UP + (DELAY + TIME_BETWEEN) * TIMES as u32;
    let (calls, ()) = tokio::join!(
        fleet.send_at_rate("/quote/1", began, PAUSE, during),
        stall_again_and_again(&cluster.bookings, began + WARM_UP)
    );
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_retries(&cluster.bookings, &calls, began);
}

/// What a killed node has sent arrives beside the retries of its next process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_of_killed_nodes_that_arrive_late_stay_within_the_retry_budget() {
    let _turn = FIXED_RATE.lock().await;
    let cluster = Cluster::start_with_bookings(SERVERS).await.expect("the cluster starts");
    cluster.configure_attempts(1, &[KEY], ATTEMPTS);
    let fleet = Fleet::start_with_slack(&cluster, NODES, SLACK).await;
    let began = Instant::now();
    let stall = async {
        tokio::time::sleep_until((began + WARM_UP).into()).await;
        stall_until(&cluster.bookings, began + WARM_UP + LONG_DELAY, 0).await;
    };
    let kill = async {
        tokio::time::sleep_until((began + WARM_UP + KILL_DELAY).into()).await;
        fleet.restart_all().await;
    };
    let (calls, (), ()) =
        tokio::join!(fleet.send_at_rate("/quote/1", began, PAUSE, WARM_UP + LONG_DELAY), stall, kill);
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.check_retries(&cluster.bookings, &calls, began);
}

/// Requests that wait on connections of their own count against the limit of a server that answers others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrive_late_on_stalled_connections_stay_within_a_limit() {
    let _turn = FIXED_RATE.lock().await;
    let cluster = Cluster::start_with_bookings(SERVERS).await.expect("the cluster starts");
    cluster.configure_attempts(1, &[KEY], ATTEMPTS);
    let fleet = Fleet::start_with_slack(&cluster, NODES, SLACK).await;
    cluster.bookings.iter().for_each(|server| server.advertise_limit(&LIMIT.to_string()));
    let began = Instant::now();
    let during = LIMIT_START + (DELAY + TIME_BETWEEN) * TIMES as u32;
    let (calls, ()) = tokio::join!(
        fleet.send_at_rate("/quote/1", began, PAUSE, during),
        stall_again_and_again(&cluster.bookings, began + LIMIT_START)
    );
    tokio::time::sleep(SETTLE_TIME).await;
    let served = calls.iter().filter(|call| call.is_served()).count();
    println!("{served} of {} served", calls.len());
    for server in &cluster.bookings {
        limit_check::check_fullest_window(server, LIMIT, began + LIMIT_START);
    }
}

/// Stalls a share of the connections of all servers from `at` on, several times.
async fn stall_again_and_again(servers: &[Runner], at: Instant) {
    tokio::time::sleep_until(at.into()).await;
    for time in 0..TIMES {
        // All that is read late in one time is read at its end.
        let until = Instant::now() + DELAY;
        stall_until(servers, until, time as u64).await;
        tokio::time::sleep(TIME_BETWEEN).await;
    }
}

/// Stalls a share of the connections of all servers until a moment.
async fn stall_until(servers: &[Runner], until: Instant, seed: u64) {
    for (number, server) in servers.iter().enumerate() {
        server.stall_connections(SHARE, until, seed * servers.len() as u64 + number as u64);
    }
    tokio::time::sleep_until(until.into()).await;
}
