//! Tenant quotas enforced jointly by several nodes.

use std::time::Instant;

use http::{StatusCode, header::RETRY_AFTER};
use paddlemount_platform_standin::{Cluster, Runner, cluster::KEY};

use crate::router::Router;

/// Tokens charged for a request whose answer reports no usage, as configured by the stand-in.
const TOKENS_PER_REQUEST: f64 = 200.0;
const TOKENS_PER_SECOND: u64 = 2_000;
/// The default quota window in seconds.
const WINDOW_S: f64 = 10.0;
const REQUESTS: usize = 400;

async fn fleet(cluster: &Cluster) -> Vec<Router> {
    let mut routers = Vec::new();
    for number in 0..3 {
        routers.push(Router::start_at(cluster.store_address, &format!("node-{number}")).await);
    }
    for router in &routers {
        router
            .wait_until("counted", async || {
                router.fetch_metrics().await.contains("paddlemount_forward_nodes 3")
            })
            .await;
    }
    routers
}

fn has_logged(router: &Router, matches: impl Fn(&String) -> bool) -> bool {
    router.lines().iter().any(matches)
}

#[tokio::test]
async fn a_tenant_beyond_its_quota_is_refused_at_all_nodes_and_what_is_refused_does_not_run() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_quota(1, &[KEY], TOKENS_PER_SECOND);
    let routers = fleet(&cluster).await;
    let runs = |id: &str| cluster.bookings.iter().map(|runner: &Runner| runner.runs(id)).sum::<usize>();
    let began = Instant::now();
    let (mut granted, mut refused) = (0.0, 0);
    for number in 0..REQUESTS {
        let id = format!("q{number}");
        let router = &routers[number % routers.len()];
        let response = router.send("/hold/1", &id).await.expect("an answer");
        match response.status {
            StatusCode::OK => granted += 1.0,
            StatusCode::TOO_MANY_REQUESTS => {
                refused += 1;
                assert_eq!(runs(&id), 0);
                let after: f64 =
                    response.headers[RETRY_AFTER].to_str().expect("text").parse().expect("seconds");
                assert!((0.1..=5.0).contains(&after), "{after}");
            }
            status => panic!("{status}: {}", response.body),
        }
    }
    // Each window that has started admits its rate and one burst.
    let windows = 1.0 + began.elapsed().as_secs_f64() / WINDOW_S;
    let max_tokens = windows * (WINDOW_S + 1.0) * TOKENS_PER_SECOND as f64;
    assert!(refused > 0, "the offered load exceeds the quota");
    assert!(granted > 0.0 && granted * TOKENS_PER_REQUEST <= max_tokens, "{granted} granted");
    let matches =
        |line: &String| line.contains("\"outcome\":\"over_quota\"") && line.contains("\"per_second\":");
    routers[0].wait_until("logged", async || has_logged(&routers[0], matches)).await;
}

#[tokio::test]
async fn a_removed_quota_refuses_nothing_any_more() {
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_quota(1, &[KEY], 1);
    let router = Router::start(&cluster).await;
    let refused = async || {
        let response = router.send("/chat/1", "r1").await;
        response.is_some_and(|response| response.status == StatusCode::TOO_MANY_REQUESTS)
    };
    router.wait_until("refused", refused).await;
    cluster.configure(2, &[KEY]);
    let applied = |line: &String| line.contains("configuration_applied") && line.contains("\"version\":2");
    router.wait_until("applied", async || has_logged(&router, applied)).await;
    for number in 0..20 {
        let response = router.send("/chat/1", &format!("s{number}")).await.expect("an answer");
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    }
}
