//! Connections that carry no request.

use paddlemount_platform_standin::{Cluster, cluster::KEY};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    alone,
    footprint::{FootprintSampler, connections_at},
    start_with_limits,
};

/// Connections that callers open and send nothing on.
const CONNECTIONS: usize = 300;
/// Connections that carry a part of a head.
const PARTIAL_HEADS: usize = 48;
/// An idle timeout that outlasts the test.
const LONG_IDLE_MS: u64 = 600_000;
/// The descriptors in the node's settings.
const DESCRIPTORS: u64 = 128;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn descriptors_hold_beside_connections_that_send_nothing() {
    let _alone = alone().await;
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = start_with_limits(&cluster, &format!("descriptors = {DESCRIPTORS}\n")).await;
    let sampler = FootprintSampler::start(router.process_id(), router.callers);
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.extend(TcpStream::connect(router.callers).await.ok());
    }
    let answer = router.send("/hold/1", "ordinary").await.expect("an answer");
    assert_eq!(answer.status, 200, "beside the connections: {}", answer.body);
    assert!(router.fetch_readiness().await.is_some_and(|status| status == 200));
    assert!(!router.has_exited(), "the node has ended: {:#?}", router.lines());
    let footprint = sampler.finish();
    assert!(footprint.descriptors < DESCRIPTORS, "{footprint:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_with_a_part_of_a_head_end_though_idle_ones_stay() {
    let _alone = alone().await;
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_idle(1, &[KEY], LONG_IDLE_MS);
    let router = start_with_limits(&cluster, "").await;
    let idle = TcpStream::connect(router.callers).await.expect("a connection");
    let mut connections = Vec::new();
    for _ in 0..PARTIAL_HEADS {
        let mut stream = TcpStream::connect(router.callers).await.expect("a connection");
        stream.write_all(b"POST /hold/1 HTTP/1.1\r\nHost: ").await.expect("it is open");
        connections.push(stream);
    }
    router.wait_until("left by partial heads", async || connections_at(router.callers) == 1).await;
    drop(idle);
    let answer = router.send("/hold/1", "ordinary").await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
}
