//! Callers that request large answers and read nothing of them.

use std::time::Duration;

use paddlemount_platform_standin::{
    Behaviour, Cluster,
    cluster::{HOST, KEY},
    runner::LARGE_ANSWER_BYTES,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
};

use crate::{
    alone,
    footprint::{FootprintSampler, connections_at},
    start_with_limits,
};

/// Callers that read nothing. Their answers together exceed the memory twice.
const READERS: usize = 16;
/// The machine's memory in the node's settings, in MiB.
const MEMORY_MB: u64 = 64;
/// The receive buffer of each caller, in bytes.
const CALLER_BUFFER_BYTES: u32 = 4 << 10;
/// The time between two callers, so that a node has one answer after the other.
const PAUSE: Duration = Duration::from_millis(150);

/// An idle timeout that outlasts the test.
const LONG_IDLE_MS: u64 = 600_000;

async fn request_large_answer(address: std::net::SocketAddr, caller: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES).expect("a small buffer");
    let mut stream = socket.connect(address).await.expect("a connection");
    let head = format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{}: reader-{caller}\r\n\
         {}: 9000\r\nContent-Length: 0\r\n\r\n",
        Cluster::REQUEST_ID,
        Cluster::DEADLINE,
    );
    stream.write_all(head.as_bytes()).await.expect("it is open");
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
        readers.push(request_large_answer(router.callers, caller).await);
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
    let reader = request_large_answer(router.callers, 0).await;
    router.wait_until("rid of the reader", async || connections_at(router.callers) == 0).await;
    drop(reader);
}
