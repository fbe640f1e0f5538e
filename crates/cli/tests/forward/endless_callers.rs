//! Sound callers beside callers whose requests never end.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::{
    Cluster,
    cluster::{HOST, KEY},
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::router::Router;

/// Concurrent callers whose requests never end.
const CALLERS: usize = 20;
/// Concurrent sound callers.
const SOUND_CALLERS: usize = 8;
/// The time that a sound caller waits between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(100);
/// How long callers are observed.
const OBSERVED: Duration = Duration::from_secs(6);
/// The least share of sound requests that is served beside the others, in percent of those at another node.
const MIN_SERVED_PERCENT: usize = 95;
/// Bytes of each write.
const WRITE_BYTES: usize = 64 << 10;

/// The number of sound requests that a node has served until `until`.
async fn observe(router: &Router, until: Instant) -> usize {
    let caller = async |caller: usize| {
        let mut served = 0;
        while Instant::now() < until {
            let answer = router.send("/hold/1", &format!("sound-{caller}-{served}")).await;
            served += usize::from(answer.is_some_and(|answer| answer.status == 200));
            tokio::time::sleep(PAUSE).await;
        }
        served
    };
    futures_util::future::join_all((0..SOUND_CALLERS).map(caller)).await.into_iter().sum()
}

/// Sends requests whose first chunk has a size with zeros in front without end, until `until`.
async fn call_without_end(router: &Router, until: Instant) {
    let head = format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{}: 9000\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        Cluster::DEADLINE,
    );
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(router.callers).await else { continue };
        let mut written = stream.write_all(head.as_bytes()).await;
        while written.is_ok() && Instant::now() < until {
            let write = stream.write_all(&[b'0'; WRITE_BYTES]);
            written = tokio::time::timeout(PAUSE, write).await.unwrap_or(Ok(()));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_are_served_beside_callers_with_a_chunk_size_without_end() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let node = Router::start(&cluster).await;
    let other_node = Router::start_at(cluster.store_address, "node-2").await;
    other_node
        .wait_until("ready", async || other_node.fetch_readiness().await.is_some_and(|status| status == 200))
        .await;
    let until = Instant::now() + OBSERVED;
    let endless = (0..CALLERS).map(|_| call_without_end(&node, until));
    let (beside, alone, _) = tokio::join!(
        observe(&node, until),
        observe(&other_node, until),
        futures_util::future::join_all(endless)
    );
    println!("served {beside} beside and {alone} at another node");
    assert!(beside * 100 >= alone * MIN_SERVED_PERCENT, "served {beside} beside and {alone} at another node");
}
