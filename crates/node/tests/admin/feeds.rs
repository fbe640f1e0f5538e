//! Cache index of nodes that learn prefixes only from engines' feeds.

use std::time::Instant;

use paddlemount_core::routing::RouteRequest;
use paddlemount_protocol::{
    caller::{ChatMessage, prompt_text},
    engine::Priority,
    identity::WeightsVersion,
    prefix::{BLOCK_BYTES, BlockHash, CacheScope, hash_blocks},
};

use crate::support::{Cluster, MODEL, POOL, TENANT, TIMEOUT};

/// The cached tokens that `node` expects the best engine to have of `blocks`.
fn expected_tokens(cluster: &Cluster, node: usize, scope: CacheScope, blocks: &[BlockHash]) -> u32 {
    let request = RouteRequest {
        request: &"preview".into(),
        tenant: &TENANT.into(),
        pool: &POOL.into(),
        model: &MODEL.into(),
        weights: WeightsVersion(7),
        adapter: None,
        scope,
        blocks,
        prompt_tokens: blocks.len() as u32 * 64,
        max_tokens: 1,
        priority: Priority::Normal,
        reuse_weight: 0.5,
        excluded: &[],
    };
    let state = cluster.nodes[node].state();
    let decision = state.with_router(|router| router.preview(&request, state.clock.now()));
    decision.candidates.iter().map(|candidate| candidate.expected_cached_tokens).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prefixes_cached_by_other_nodes_are_learned_from_feeds() {
    let cluster = Cluster::start(2, 2).await;
    let terms = "Terms of hire, clause by clause. ".repeat(64);
    assert_eq!(cluster.prompt(0, &terms).await.1, 200);
    let scope = CacheScope::new(&TENANT.into(), &MODEL.into(), WeightsVersion(7), None);
    let message = ChatMessage { role: "user".into(), content: terms.clone() };
    let blocks = hash_blocks(scope, prompt_text(&[message]).as_bytes());
    assert!(blocks.len() >= terms.len() / BLOCK_BYTES);
    let started = Instant::now();
    while expected_tokens(&cluster, 1, scope, &blocks) == 0 {
        assert!(started.elapsed() < TIMEOUT, "the second node did not learn the cached prefixes");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let other = CacheScope::new(&"benoni".into(), &MODEL.into(), WeightsVersion(7), None);
    let elsewhere = hash_blocks(other, terms.as_bytes());
    assert_eq!(expected_tokens(&cluster, 1, other, &elsewhere), 0);
    cluster.stop().await;
}
