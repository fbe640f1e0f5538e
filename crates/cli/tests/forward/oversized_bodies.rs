//! Bodies that are known to be too large at their head.

use paddlemount_platform_standin::{
    Cluster, Runner,
    cluster::{HOST, KEY},
};

use crate::{
    raw_caller::{Ending, RawCaller},
    router::Router,
};

/// A length over any limit.
const EXCESSIVE_LENGTH: usize = 1_000_000_000_000;

async fn status_of_announcement(further_header: &str) -> u16 {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure(1, &[KEY]);
    let router = Router::start(&cluster).await;
    let mut caller = RawCaller::connect(router.callers).await;
    let head = format!(
        "POST /hold/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n{}: a1\r\n{}: 9000\r\n\
         Content-Length: {EXCESSIVE_LENGTH}\r\n{further_header}\r\n",
        Cluster::REQUEST_ID,
        Cluster::DEADLINE,
    );
    caller.write(head.as_bytes()).await;
    let Ending::Complete { status, .. } = caller.ending().await else { panic!("no answer") };
    assert_eq!(cluster.bookings.iter().flat_map(Runner::seen).count(), 0, "a back end has the request");
    status
}

#[tokio::test]
async fn a_length_over_the_limit_is_refused_without_its_body() {
    assert_eq!(status_of_announcement("").await, 413);
}

#[tokio::test]
async fn a_length_over_the_limit_is_not_asked_to_continue() {
    assert_eq!(status_of_announcement("Expect: 100-continue\r\n").await, 413);
}
