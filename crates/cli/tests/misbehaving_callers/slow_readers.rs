//! Callers that request answers and read nothing of them.

use std::{net::SocketAddr, time::Duration};

use paddlemount_platform_standin::{
    Behaviour, Cluster,
    cluster::{HOST, KEY},
    runner::LARGE_ANSWER_BYTES,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use crate::{
    alone,
    crowd::CALLERS,
    footprint::{FootprintSampler, connections_at},
    start_with_limits,
};

/// Callers that read nothing. Their answers together exceed the memory twice.
const READERS: usize = 16;
/// The machine's memory in the node's settings, in MiB.
const MEMORY_MB: u64 = 64;
/// The receive buffer of each caller, in bytes.
const CALLER_BUFFER_BYTES: u32 = 4 << 10;
/// After this time a caller sends no more.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// The time between two callers, so that a node has one answer after the other.
const PAUSE: Duration = Duration::from_millis(150);

/// The bytes of a small answer: within what each of them may have beside large ones.
const SMALL_ANSWER_BYTES: usize = 60 << 10;
/// Requests that a caller sends at once on its connection. Small answers to all of them exceed the memory twice.
const PIPELINED: usize = 64;

/// An idle timeout that outlasts the test.
const LONG_IDLE_MS: u64 = 600_000;
/// Callers of the larger crowd.
const MANY_CALLERS: usize = 400;
/// The descriptors in the node's settings.
const DESCRIPTORS: u64 = 1_024;
/// How long the node goes on serving the readers.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Sends so many requests at once, and reads nothing.
async fn request_answers(address: SocketAddr, caller: usize, requests: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES).expect("a small buffer");
    let mut stream = socket.connect(address).await.expect("a connection");
    let head = |request| {
        format!(
            "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
             {}: reader-{caller}-{request}\r\n{}: 9000\r\nContent-Length: 0\r\n\r\n",
            Cluster::REQUEST_ID,
            Cluster::DEADLINE,
        )
    };
    let heads: String = (0..requests).map(head).collect();
    // A caller that is not read any more stays connected all the same.
    let _ = timeout(SEND_TIMEOUT, stream.write_all(heads.as_bytes())).await;
    stream
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_callers_that_read_no_answer() {
    let _alone = alone().await;
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = start_with_limits(&cluster, &format!("memory_mb = {MEMORY_MB}\n")).await;
    let sampler = FootprintSampler::start(router.process_id(), router.callers);
    cluster.bookings.iter().for_each(|runner| runner.script(&[Behaviour::Large; READERS]));
    let mut readers = Vec::new();
    for caller in 0..READERS {
        readers.push(request_answers(router.callers, caller, 1).await);
        tokio::time::sleep(PAUSE).await;
    }
    cluster.bookings.iter().for_each(|runner| runner.script(&[]));
    let answer = router.send("/hold/1", "ordinary").await.expect("an answer");
    assert!(answer.complete && (answer.status == 200), "beside the readers: {}", answer.status);
    let footprint = sampler.finish();
    println!("{footprint:?}");
    assert!(!router.has_exited(), "the node has ended: {:#?}", router.lines());
    assert!(footprint.memory_bytes() < MEMORY_MB << 20, "memory: {footprint:?} of {LARGE_ANSWER_BYTES} each");
    // They read nothing, and stay.
    router.wait_until("rid of the readers", async || connections_at(router.callers) <= 1).await;
    drop(readers);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_read_no_answer_are_left_though_idle_connections_stay() {
    let _alone = alone().await;
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_idle(1, &[KEY], LONG_IDLE_MS);
    let router = start_with_limits(&cluster, &format!("memory_mb = {MEMORY_MB}\n")).await;
    cluster.bookings.iter().for_each(|runner| runner.script(&[Behaviour::Large]));
    let reader = request_answers(router.callers, 0, 1).await;
    router.wait_until("rid of the reader", async || connections_at(router.callers) == 0).await;
    drop(reader);
}

/// Starts so many readers of small answers, with a pause between two of them, and checks that the node lives within its
/// memory and serves an ordinary caller.
async fn check_node_beside_small_answers(readers: usize, pause: Duration) {
    let _alone = alone().await;
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let limits = format!("memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
    let router = start_with_limits(&cluster, &limits).await;
    let sampler = FootprintSampler::start(router.process_id(), router.callers);
    let answers = vec![Behaviour::Sized(SMALL_ANSWER_BYTES); readers * PIPELINED];
    cluster.bookings.iter().for_each(|runner| runner.script(&answers));
    let mut connections = Vec::new();
    for reader in 0..readers {
        connections.push(request_answers(router.callers, reader, PIPELINED).await);
        tokio::time::sleep(pause).await;
    }
    tokio::time::sleep(SETTLING_TIME).await;
    cluster.bookings.iter().for_each(|runner| runner.script(&[]));
    let answer = router.send("/hold/1", "ordinary").await.expect("an answer");
    assert!(answer.complete && (answer.status == 200), "beside the readers: {}", answer.status);
    let footprint = sampler.finish();
    println!("{footprint:?}");
    assert!(!router.has_exited(), "the node has ended: {:#?}", router.lines());
    assert!(footprint.memory_bytes() < MEMORY_MB << 20, "memory: {footprint:?}");
    drop(connections);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_callers_that_read_no_small_answers() {
    check_node_beside_small_answers(CALLERS, PAUSE).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_holds_beside_many_callers_that_read_no_small_answers() {
    check_node_beside_small_answers(MANY_CALLERS, Duration::ZERO).await;
}
