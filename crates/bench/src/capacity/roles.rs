//! Measurements, one function per role.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use paddlemount_core::{
    claims::{ClaimReplica, ClaimSettings},
    configuration::apply::{digest, evaluate, replay},
    routing::{RouteRequest, Router, RouterEvent, RouterSettings},
};
use paddlemount_protocol::{
    configuration::RevisedConfiguration,
    engine::{
        CacheChange, CacheEvent, CacheEventBatch, EngineRole, EngineSpeed, EngineStatus, LoadReport,
        LoadedModel, Priority,
    },
    identity::{
        AttemptId, EngineId, EventSequence, FencingToken, IdempotencyKey, Incarnation, ModelId, PoolId,
        RequestId, TenantId, WeightsVersion, ZoneId,
    },
    peer::{
        claims::{ClaimKey, ClaimMessage, Fingerprint, PlacementEpoch},
        encoded_bytes,
    },
    prefix::{BlockHash, CacheScope},
    time::Timestamp,
};

use super::{BUDGET_BYTES_PER_SECOND, BUDGET_MEMORY_BYTES, BUDGET_PROCESSOR_PERCENT, Slope};
use crate::hollow::{
    cluster::ClusterSettings,
    measure::{change_request, document, measure_changes, measure_steady, start_settled_cluster},
};

/// Sizes of the target installation.
pub mod target {
    /// Members of one region: 350 nodes in 5 regions.
    pub const REGION_MEMBERS: f64 = 70.0;
    /// Regions of the installation.
    pub const REGIONS: f64 = 5.0;
    /// Tenants of the installation.
    pub const TENANTS: f64 = 430.0;
    /// Configuration changes per day.
    pub const CHANGES_PER_DAY: f64 = 840.0;
    /// Engines of one pool: 1,100 for 14 models.
    pub const POOL_ENGINES: f64 = 1_100.0 / 14.0;
    /// Requests per second at one node: 12,000 at 350 nodes.
    pub const REQUESTS_PER_SECOND: f64 = 12_000.0 / 350.0;
    /// Cache events per second at one node if each feed has one reader: 760,000 at 350 nodes.
    pub const EVENTS_PER_SECOND: f64 = 760_000.0 / 350.0;
}

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Tenants and models of hollow nodes unless varied.
const TENANTS: usize = 430;
const MODELS: usize = 14;

/// Extent of the measurements.
#[derive(Clone, Copy, Debug)]
pub struct Effort {
    /// Virtual time of each hollow cluster.
    pub steady: Duration,
    pub repetitions: u32,
}

impl Effort {
    /// A quick run of under a minute.
    pub const QUICK: Self = Self { steady: Duration::from_secs(60), repetitions: 20 };
    /// A full run.
    pub const FULL: Self = Self { steady: Duration::from_secs(600), repetitions: 100 };
}

/// Measures all roles.
pub fn measure(effort: Effort) -> Vec<Slope> {
    let mut slopes = member(effort);
    slopes.push(representative(effort));
    slopes.push(changes(effort));
    slopes.extend(configuration(effort));
    slopes.push(data_path(effort));
    slopes.extend(feed_owner(effort));
    slopes.extend(claim_replica(effort));
    slopes
}

/// A member of a region: bytes, processor time and memory over the members of the region.
fn member(effort: Effort) -> Vec<Slope> {
    let (mut bytes, mut processor, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    // Not dropped in the loop: the next cluster would reuse the freed memory.
    let mut clusters = Vec::new();
    for nodes in [10, 25, 50, 70, 100] {
        let before = resident_bytes();
        let settings = ClusterSettings { nodes, zones: 3, regions: 1, loss: 0.0, seed: 1 };
        let mut cluster = start_settled_cluster(settings, TENANTS, MODELS);
        let (cost, _) = measure_steady(&mut cluster, effort.steady);
        let size = nodes as f64;
        bytes.push((size, cost.peer_bytes_per_second));
        processor.push((size, cost.processor_percent));
        memory.push((size, resident_bytes().saturating_sub(before) as f64));
        clusters.push(cluster);
    }
    let members = "members of the region";
    let size = target::REGION_MEMBERS;
    vec![
        Slope::new("member", "bytes/s both ways", members, bytes, size, Some(BUDGET_BYTES_PER_SECOND)),
        Slope::new("member", "% of a core", members, processor, size, Some(BUDGET_PROCESSOR_PERCENT)),
        Slope::new("member", "bytes of memory of all hollow nodes", members, memory, size, None),
    ]
}

/// A representative of its region, as the node with the most traffic, over the number of regions.
fn representative(effort: Effort) -> Slope {
    let mut points = Vec::new();
    for regions in [2, 3, 4, 5] {
        let nodes = 70 * regions;
        let settings = ClusterSettings { nodes, zones: regions * 2, regions, loss: 0.0, seed: 1 };
        let mut cluster = start_settled_cluster(settings, 20, 2);
        let (cost, _) = measure_steady(&mut cluster, effort.steady.min(Duration::from_secs(120)));
        points.push((regions as f64, cost.greatest_peer_bytes_per_second));
    }
    let budget = Some(BUDGET_BYTES_PER_SECOND);
    Slope::new("representative", "bytes/s both ways", "regions of 70 nodes", points, target::REGIONS, budget)
}

/// Bytes of a member over the rate of configuration changes.
fn changes(effort: Effort) -> Slope {
    let minutes = effort.steady.as_secs_f64().max(60.0) / 60.0;
    let mut points = Vec::new();
    for count in [0_usize, 5, 10, 20, 40] {
        let settings = ClusterSettings { nodes: 20, zones: 3, regions: 1, loss: 0.0, seed: 1 };
        let mut cluster = start_settled_cluster(settings, TENANTS, MODELS);
        let began = cluster.now();
        measure_changes(&mut cluster, 0, count, Duration::from_millis(200));
        cluster.run_until(began + Duration::from_secs_f64(minutes * 60.0));
        let bytes: u64 = (0..cluster.len())
            .map(|index| cluster.usage(index))
            .map(|usage| usage.bytes_in + usage.bytes_out + usage.store_bytes)
            .sum();
        let seconds = cluster.now().saturating_since(began).as_secs_f64();
        let per_day = count as f64 / seconds * SECONDS_PER_DAY;
        points.push((per_day, bytes as f64 / cluster.len() as f64 / seconds));
    }
    let budget = Some(BUDGET_BYTES_PER_SECOND);
    let over = "changes a day";
    Slope::new("member", "bytes/s with changes, 20 members", over, points, target::CHANGES_PER_DAY, budget)
}

/// A node that follows the configuration: document size, and time to apply a change.
fn configuration(effort: Effort) -> Vec<Slope> {
    let (mut bytes, mut read_times, mut replay_times) = (Vec::new(), Vec::new(), Vec::new());
    for tenants in [50, 100, 200, 430, 860] {
        let size = tenants as f64;
        let mut before = document(tenants, MODELS);
        for number in 0..paddlemount_protocol::configuration::MAX_RECORDED_CHANGES {
            before = apply_change(&before, number);
        }
        let next = apply_change(&before, 1_000);
        let encoded = serde_json::to_vec(&next).unwrap_or_default();
        bytes.push((size, encoded.len() as f64));
        let parse =
            median_time(effort, || serde_json::from_slice::<RevisedConfiguration>(&encoded).map(|_| ()));
        read_times.push((size, parse.as_secs_f64() * 1e3));
        let record = next.configuration.changes.last().cloned();
        let step = median_time(effort, || {
            let mut configuration = before.configuration.clone();
            let replayed =
                record.iter().map(|record| replay(&mut configuration, record)).all(|done| done.is_ok());
            (replayed, digest(&configuration))
        });
        replay_times.push((size, step.as_secs_f64() * 1e3));
    }
    let role = "configuration watcher";
    let tenants = "tenants";
    vec![
        Slope::new(role, "bytes of the document", tenants, bytes, target::TENANTS, Some(BUDGET_MEMORY_BYTES)),
        Slope::new(role, "ms to read a whole document", tenants, read_times, target::TENANTS, None),
        Slope::new("member", "ms to take in one change", tenants, replay_times, target::TENANTS, None),
    ]
}

fn apply_change(before: &RevisedConfiguration, number: usize) -> RevisedConfiguration {
    let request = change_request(number);
    let configuration = evaluate(before, &request, Timestamp(1)).expect("the measured changes are valid");
    RevisedConfiguration { revision: before.revision.next(), configuration }
}

/// A node that routes requests: time of a decision over the engines of the pool.
fn data_path(effort: Effort) -> Slope {
    let mut points = Vec::new();
    for engines in [10, 20, 40, 80, 160] {
        let mut router = router(engines);
        let blocks: Vec<BlockHash> = (0..64).map(|block| BlockHash(0x1234_5678 + block)).collect();
        let mut number = 0;
        let each = median_time(effort, || {
            number += 1;
            decide(&mut router, &blocks, number)
        });
        points.push((engines as f64, each.as_secs_f64() * target::REQUESTS_PER_SECOND * 100.0));
    }
    let quantity = "% of a core at 34 requests/s, prompts of 64 blocks";
    let budget = Some(BUDGET_PROCESSOR_PERCENT);
    Slope::new("data path", quantity, "runners of the pool", points, target::POOL_ENGINES, budget)
}

fn engine(number: usize) -> EngineId {
    EngineId::from(format!("engine-{number:04}"))
}

fn router(engines: usize) -> Router {
    let mut router = Router::new(RouterSettings::new(ZoneId::from("zone"), 1));
    for number in 0..engines {
        let loaded = LoadedModel { model: "model".into(), weights: WeightsVersion(1), adapters: Vec::new() };
        let status = EngineStatus {
            engine: engine(number),
            incarnation: Incarnation(1),
            pool: "pool".into(),
            zone: "zone".into(),
            loaded: Some(loaded),
            loading: false,
            draining: false,
            role: EngineRole::Serving,
            load: LoadReport::default(),
            speed: EngineSpeed {
                prefill_tokens_per_second: 20_000.0,
                decode_step_ms: 10.0,
                batch_slots: 16,
                cache_blocks: 145_000,
            },
            last_event: EventSequence(0),
            fence: FencingToken(0),
        };
        router.apply(RouterEvent::Status(&status), Timestamp(1_000));
    }
    router
}

fn decide(router: &mut Router, blocks: &[BlockHash], number: u64) -> bool {
    let (request, tenant) = (RequestId::from(format!("request-{number}")), TenantId::from("tenant"));
    let (pool, model) = (PoolId::from("pool"), ModelId::from("model"));
    let route = RouteRequest {
        request: &request,
        tenant: &tenant,
        pool: &pool,
        model: &model,
        weights: WeightsVersion(1),
        adapter: None,
        scope: CacheScope::new(&tenant, &model, WeightsVersion(1), None),
        blocks,
        prompt_tokens: 4_096,
        max_tokens: 256,
        priority: Priority::Normal,
        reuse_weight: 0.5,
        excluded: &[],
    };
    router.choose(&route, Timestamp(1_000 + number)).chosen.is_some()
}

/// A node that reads engine feeds: processor time and bytes over events.
fn feed_owner(effort: Effort) -> Vec<Slope> {
    let (mut processor, mut bytes) = (Vec::new(), Vec::new());
    for events in [250, 500, 1_000, 2_000, 4_000] {
        let batch = feed_batch(events);
        let encoded = serde_json::to_vec(&batch).unwrap_or_default();
        let each = median_time(effort, || {
            let mut router = router(1);
            let read: Result<CacheEventBatch, _> = serde_json::from_slice(&encoded);
            if let Ok(batch) = &read {
                router.apply(RouterEvent::Feed { engine: &engine(0), batch }, Timestamp(2_000));
            }
            read.is_ok()
        });
        processor.push((events as f64, each.as_secs_f64() * 100.0));
        bytes.push((events as f64, encoded.len() as f64));
    }
    let (role, over, size) = ("feed owner", "events/s", target::EVENTS_PER_SECOND);
    let budget = Some(BUDGET_PROCESSOR_PERCENT);
    vec![
        Slope::new(role, "% of a core, one owner for each feed", over, processor, size, budget),
        Slope::new(
            role,
            "bytes/s in, one owner for each feed",
            over,
            bytes,
            size,
            Some(BUDGET_BYTES_PER_SECOND),
        ),
    ]
}

/// Events of one block each, every fourth an eviction.
fn feed_batch(events: usize) -> CacheEventBatch {
    let change = |number: u128| {
        let blocks = vec![BlockHash(number * 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)];
        if number % 4 == 3 { CacheChange::Removed { blocks } } else { CacheChange::Stored { blocks } }
    };
    let event = |number: usize| CacheEvent {
        sequence: EventSequence(number as u64 + 1),
        change: change(number as u128 + 1),
    };
    CacheEventBatch {
        incarnation: Incarnation(1),
        events: (0..events).map(event).collect(),
        last: EventSequence(events as u64),
    }
}

/// A claim replica: time and memory over the claims that it stores.
fn claim_replica(effort: Effort) -> Vec<Slope> {
    let (mut processor, mut memory, mut max_message_bytes) = (Vec::new(), Vec::new(), 0);
    for claims in [1_000, 2_000, 4_000, 8_000] {
        let messages: Vec<ClaimMessage> = (0..claims).map(claim).collect();
        max_message_bytes = messages.iter().map(encoded_bytes).max().unwrap_or(0);
        let mut usage = 0;
        let all = median_time(Effort { repetitions: effort.repetitions.min(10), ..effort }, || {
            let now = Timestamp::from_millis(1_000_000);
            let mut replica =
                ClaimReplica::with_floor(ClaimSettings::default(), PlacementEpoch(1), Timestamp(0));
            for message in &messages {
                black_box(replica.handle(message, now));
            }
            usage = replica.usage().bytes;
        });
        processor.push((claims as f64, all.as_secs_f64() * 1e3));
        memory.push((claims as f64, usage as f64));
    }
    log::debug!("largest claim message: {max_message_bytes} bytes");
    let (role, over) = ("claim replica", "claims remembered");
    // Assumes that a tenth of 34 requests/s carries a claim, with 5 replicas each and 10 minutes of
    // retention.
    let size = target::REQUESTS_PER_SECOND / 10.0 * 5.0 * 600.0;
    vec![
        Slope::new(role, "ms to grant all of them", over, processor, size, None),
        Slope::new(
            role,
            "bytes of memory, by its own account",
            over,
            memory,
            size,
            Some(BUDGET_MEMORY_BYTES),
        ),
    ]
}

fn claim(number: usize) -> ClaimMessage {
    let milliseconds = 1_000_000 - number as u64 % 1_000;
    let digits = format!("{milliseconds:012x}");
    let key = format!("{}-{}-7000-8000-{number:012x}", &digits[..8], &digits[8..]);
    ClaimMessage::Claim {
        epoch: PlacementEpoch(1),
        key: ClaimKey { tenant: TenantId::from("tenant"), key: IdempotencyKey::from(key) },
        owner: AttemptId::from(format!("attempt-{number}")),
        fingerprint: Fingerprint(number as u64),
        run_for_ms: 30_000,
    }
}

/// The median run time of `work`.
fn median_time<T>(effort: Effort, mut work: impl FnMut() -> T) -> Duration {
    let mut times: Vec<Duration> = (0..effort.repetitions)
        .map(|_| {
            let began = Instant::now();
            black_box(work());
            began.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Resident memory of this process; 0 if the system does not report it.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
