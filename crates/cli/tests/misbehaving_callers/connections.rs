//! Connections that carry no request.

use paddlemount_platform_standin::{Cluster, cluster::KEY};
use tokio::net::TcpStream;

use crate::{alone, footprint::FootprintSampler, start_with_limits};

/// Connections that callers open and send nothing on.
const CONNECTIONS: usize = 300;
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
