//! Nodes that are killed, frozen and stopped while callers outside the limits upload to them.

// A longer run with another seed:
// PADDLEMOUNT_SOAK_ROUNDS=40 PADDLEMOUNT_SOAK_SEED=7 cargo test -p paddlemount-cli --test misbehaving_callers nodes_hold

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use paddlemount_platform_standin::{Cluster, cluster::KEY};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    alone,
    bodies::{DESCRIPTORS, MAX_BODY_BYTES, MEMORY_MB, uploads},
    crowd::{CALLERS, Crowd},
    footprint::{FootprintSampler, connections_at},
    router::{Router, from_environment},
    start_with_limits,
};

const NODES: usize = 3;
const SEED: u64 = 1;
/// Disturbances of a run.
const ROUNDS: u64 = 8;
/// How long a crowd stays after its upload.
const STAY: Duration = Duration::from_millis(300);

/// A node with what is observed of its process.
struct ObservedNode {
    router: Router,
    sampler: FootprintSampler,
}

impl ObservedNode {
    async fn start(cluster: &Cluster) -> Self {
        let limits = format!("memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
        let router = start_with_limits(cluster, &limits).await;
        let sampler = FootprintSampler::start(router.process_id(), router.callers);
        Self { router, sampler }
    }

    /// Checks the process while it still runs.
    fn check(self) -> Router {
        assert!(!self.router.has_exited(), "the node has ended: {:#?}", self.router.lines());
        let footprint = self.sampler.finish();
        assert!(footprint.memory_bytes() < MEMORY_MB << 20, "memory: {footprint:?}");
        assert!(footprint.descriptors < DESCRIPTORS, "descriptors: {footprint:?}");
        self.router
    }
}

/// Uploads to random nodes until the end.
async fn upload(addresses: Arc<Mutex<Vec<SocketAddr>>>, is_over: Arc<AtomicBool>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let uploads = uploads();
    while !is_over.load(Ordering::Relaxed) {
        let address = {
            let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
            addresses[random.random_range(0..addresses.len())]
        };
        let crowd = Crowd::upload(address, CALLERS, &uploads[random.random_range(0..uploads.len())]).await;
        tokio::time::sleep(STAY).await;
        drop(crowd);
    }
}

/// Kills, freezes or stops a node; one that has ended is replaced.
async fn disturb(cluster: &Cluster, node: ObservedNode, random: &mut StdRng) -> ObservedNode {
    match random.random_range(0..3_u8) {
        0 => node.check().kill(),
        1 => {
            node.router.freeze();
            tokio::time::sleep(Duration::from_millis(random.random_range(200..1_500))).await;
            node.router.thaw();
            return node;
        }
        _ => {
            let mut router = node.check();
            router.terminate();
            assert!(router.wait_for_exit().await, "a planned stop beside a crowd fails");
        }
    }
    ObservedNode::start(cluster).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_hold_beside_uploads_while_they_are_killed_frozen_and_stopped() {
    let _alone = alone().await;
    let seed = from_environment("PADDLEMOUNT_SOAK_SEED").unwrap_or(SEED);
    let rounds = from_environment("PADDLEMOUNT_SOAK_ROUNDS").unwrap_or(ROUNDS);
    let mut random = StdRng::seed_from_u64(seed);
    let cluster = Cluster::start().await.expect("the cluster starts");
    cluster.configure_bodies(1, &[KEY], MAX_BODY_BYTES);
    let mut nodes = Vec::new();
    for _ in 0..NODES {
        nodes.push(ObservedNode::start(&cluster).await);
    }
    let address_list = |nodes: &[ObservedNode]| nodes.iter().map(|node| node.router.callers).collect();
    let addresses: Arc<Mutex<Vec<SocketAddr>>> = Arc::new(Mutex::new(address_list(&nodes)));
    let is_over = Arc::new(AtomicBool::new(false));
    let uploading = tokio::spawn(upload(Arc::clone(&addresses), Arc::clone(&is_over), seed));
    for _ in 0..rounds {
        let node = nodes.remove(random.random_range(0..nodes.len()));
        nodes.push(disturb(&cluster, node, &mut random).await);
        *addresses.lock().unwrap_or_else(PoisonError::into_inner) = address_list(&nodes);
        tokio::time::sleep(Duration::from_millis(random.random_range(200..900))).await;
    }
    is_over.store(true, Ordering::Relaxed);
    uploading.await.expect("the uploads do not panic");
    for (number, node) in nodes.into_iter().enumerate() {
        let callers = node.router.callers;
        node.router.wait_until("left by the crowd", async || connections_at(callers) == 0).await;
        let answer = node.router.send("/hold/1", &format!("ordinary-{number}")).await.expect("an answer");
        assert_eq!(answer.status, 200, "seed {seed}: {}", answer.body);
        node.check();
    }
}
