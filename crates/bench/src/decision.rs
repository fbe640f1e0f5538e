//! Benchmark of one routing decision on one core, and of the memory of the cache index.
//!
//! The router is filled to its bound with prompts from a tree of nested prefixes, so that holders, heat and
//! eviction ages are those of a node that has run for long. Only [`Router::choose`] and, separately, the
//! update from one request are timed.

use std::{hint::black_box, time::Instant};

use paddlemount_core::routing::{
    AttemptEnding, Candidate, RouteRequest, Router, RouterEvent, RouterSettings,
};
use paddlemount_protocol::{
    engine::{EngineRole, EngineSpeed, EngineStatus, LoadReport, LoadedModel, Priority},
    identity::{
        AttemptId, EngineId, EventSequence, FencingToken, Incarnation, ModelId, PoolId, RequestId, TenantId,
        WeightsVersion, ZoneId,
    },
    prefix::{BLOCK_TOKENS, BlockHash, CacheScope},
    time::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

/// Settings of the benchmark.
#[derive(Clone, Debug)]
pub struct DecisionBenchSettings {
    /// Pool sizes, one measurement each.
    pub runners: Vec<usize>,
    /// Timed decisions per measurement.
    pub decisions: usize,
    /// Maximum number of records in the cache index.
    pub cache_index_records: usize,
    pub seed: u64,
}

impl Default for DecisionBenchSettings {
    fn default() -> Self {
        Self {
            runners: vec![12, 110, 350, 1_100],
            decisions: 20_000,
            cache_index_records: paddlemount_core::routing::DEFAULT_CACHE_INDEX_RECORDS,
            seed: 1,
        }
    }
}

/// The result for one pool size.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionBenchResult {
    /// Engines in the pool.
    pub runners: usize,
    pub decisions: usize,
    /// Mean number of candidate engines per decision.
    pub mean_candidates: f64,
    /// Mean number of blocks per prompt.
    pub mean_blocks: f64,
    pub choose_us: TimePercentiles,
    /// Time to apply the events of one request: dispatch, start, first token, end.
    #[serde(rename = "learn_us")]
    pub apply_us: TimePercentiles,
    /// Records in the cache index.
    #[serde(rename = "belief_records")]
    pub cache_index_records: usize,
    /// Size of the records as the index reports it.
    #[serde(rename = "belief_bytes")]
    pub cache_index_bytes: usize,
    pub bytes_per_record: f64,
    /// Growth of resident memory per record while the router was filled; none if the system does not report
    /// it. Only in the first measurement, since later ones reuse memory.
    pub resident_bytes_per_record: Option<f64>,
}

/// Percentiles in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TimePercentiles {
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

const TENANTS: usize = 430;
const RULES_PER_TENANT: u64 = 4;
const CONTRACTS_PER_RULE: u64 = 10;
const PREAMBLE_BLOCKS: usize = 20;
const RULE_BLOCKS: usize = 30;
const CONTRACT_BLOCKS: usize = 50;
const UNIQUE_BLOCKS: usize = 8;
const WEIGHTS: WeightsVersion = WeightsVersion(1);
/// Interval of requests at one node: 12,000 a second over 350 nodes.
const REQUEST_MICROS: u64 = 29_000;
/// Interval of the engines' load reports.
const REPORT_MICROS: u64 = 500_000;

/// Runs one measurement per pool size.
pub fn run(settings: &DecisionBenchSettings) -> Vec<DecisionBenchResult> {
    let measure = |(index, runners): (usize, &usize)| {
        let before = resident_bytes();
        let mut bench = Bench::new(*runners, settings);
        bench.fill();
        let resident_growth =
            resident_bytes().zip(before).map(|(after, before)| after.saturating_sub(before));
        bench.measure(settings.decisions, resident_growth.filter(|_| index == 0))
    };
    settings.runners.iter().enumerate().map(measure).collect()
}

struct Identities {
    tenant: TenantId,
    pool: PoolId,
    model: ModelId,
    request: RequestId,
}

struct Bench {
    router: Router,
    identities: Identities,
    runners: usize,
    random: SmallRng,
    now: Timestamp,
    requests: u64,
    last_report: Timestamp,
}

impl Bench {
    fn new(runners: usize, settings: &DecisionBenchSettings) -> Self {
        let mut router = Router::new(RouterSettings {
            cache_index_records: settings.cache_index_records,
            ..RouterSettings::new(ZoneId::from("zone-0"), settings.seed)
        });
        router.apply(RouterEvent::Nodes { count: 350 }, Timestamp::ZERO);
        let identities = Identities {
            tenant: TenantId::from("tenant"),
            pool: PoolId::from("pool"),
            model: ModelId::from("model"),
            request: RequestId::from("request"),
        };
        let random = SmallRng::seed_from_u64(settings.seed);
        let now = Timestamp(1_000_000);
        let mut bench =
            Self { router, identities, runners, random, now, requests: 0, last_report: Timestamp::ZERO };
        bench.report();
        bench
    }

    /// Applies a load report of every engine.
    fn report(&mut self) {
        self.last_report = self.now;
        for number in 0..self.runners {
            let status = self.status(number);
            self.router.apply(RouterEvent::Status(&status), self.now);
        }
    }

    fn status(&mut self, number: usize) -> EngineStatus {
        let load = LoadReport {
            measured_at: self.now,
            running: self.random.random_range(0..16),
            waiting: 0,
            queued_prefill_tokens: self.random.random_range(0..4_000),
            cached_blocks: 2_000,
        };
        EngineStatus {
            engine: EngineId::from(format!("engine-{number:04}")),
            incarnation: Incarnation(1),
            pool: self.identities.pool.clone(),
            zone: ZoneId::from(format!("zone-{}", number % 13)),
            loaded: Some(LoadedModel {
                model: self.identities.model.clone(),
                weights: WEIGHTS,
                adapters: Vec::new(),
            }),
            loading: false,
            draining: false,
            role: EngineRole::Serving,
            load,
            speed: EngineSpeed {
                prefill_tokens_per_second: 20_000.0,
                decode_step_ms: 12.0,
                batch_slots: 32,
                cache_blocks: 2_000,
            },
            last_event: EventSequence(0),
            fence: FencingToken(0),
        }
    }

    /// Block hashes of a random prompt: preamble, rules, contract and unique text, with skewed popularity.
    fn prompt(&mut self) -> Vec<BlockHash> {
        let tenant = self.skewed_index(TENANTS as u64);
        let rule = tenant * RULES_PER_TENANT + self.skewed_index(RULES_PER_TENANT);
        let contract = rule * CONTRACTS_PER_RULE + self.skewed_index(CONTRACTS_PER_RULE);
        let unique = self.random.random::<u64>();
        let mut blocks: Vec<BlockHash> = Vec::new();
        let segments = [
            (tenant, PREAMBLE_BLOCKS),
            (rule, RULE_BLOCKS),
            (contract, CONTRACT_BLOCKS),
            (unique, UNIQUE_BLOCKS),
        ];
        for (text, length) in segments {
            for _ in 0..length {
                let block = text.to_le_bytes();
                let hash = blocks.last().map_or_else(
                    || BlockHash::first(CacheScope(0), &block),
                    |before| before.followed_by(&block),
                );
                blocks.push(hash);
            }
        }
        blocks
    }

    fn skewed_index(&mut self, count: u64) -> u64 {
        let uniform: f64 = self.random.random();
        ((uniform * uniform * count as f64) as u64).min(count - 1)
    }

    /// Fills the cache index until it has evicted its oldest records once.
    fn fill(&mut self) {
        let mut before = 0;
        loop {
            for _ in 0..100 {
                let blocks = self.prompt();
                self.decide_and_apply(&blocks);
            }
            let records = self.router.cache_index_size().records;
            if records < before {
                return;
            }
            before = records;
        }
    }

    fn decide_and_apply(&mut self, blocks: &[BlockHash]) -> (f64, f64, usize) {
        self.now.0 += REQUEST_MICROS;
        self.requests += 1;
        if self.now.0 - self.last_report.0 > REPORT_MICROS {
            self.report();
        }
        let Self { router, identities, now, requests, .. } = self;
        let request = route(identities, blocks);
        let began = Instant::now();
        let decision = black_box(router.choose(black_box(&request), *now));
        let choose = began.elapsed().as_secs_f64() * 1e6;
        let Some(chosen) = decision.chosen else { return (choose, 0.0, 0) };
        let cached = decision.candidates.first().map_or(0, |best: &Candidate| best.expected_cached_tokens);
        let attempt = AttemptId::from(requests.to_string());
        let began = Instant::now();
        apply_request_events(router, &request, &attempt, &chosen.engine, cached, *now);
        (choose, began.elapsed().as_secs_f64() * 1e6, decision.candidates.len())
    }

    fn measure(mut self, decisions: usize, resident_growth: Option<usize>) -> DecisionBenchResult {
        let filled = self.router.cache_index_size();
        let mut choose = Vec::with_capacity(decisions);
        let mut apply_times = Vec::with_capacity(decisions);
        let (mut candidates, mut blocks) = (0, 0);
        for _ in 0..decisions {
            let prompt = self.prompt();
            let (choose_us, apply_us, candidate_count) = self.decide_and_apply(&prompt);
            choose.push(choose_us);
            apply_times.push(apply_us);
            candidates += candidate_count;
            blocks += prompt.len();
        }
        let size = self.router.cache_index_size();
        DecisionBenchResult {
            runners: self.runners,
            decisions,
            mean_candidates: candidates as f64 / decisions as f64,
            mean_blocks: blocks as f64 / decisions as f64,
            choose_us: percentiles(choose),
            apply_us: percentiles(apply_times),
            cache_index_records: size.records,
            cache_index_bytes: size.approximate_bytes,
            bytes_per_record: size.approximate_bytes as f64 / size.records as f64,
            resident_bytes_per_record: resident_growth.map(|bytes| bytes as f64 / filled.records as f64),
        }
    }
}

fn route<'a>(identities: &'a Identities, blocks: &'a [BlockHash]) -> RouteRequest<'a> {
    RouteRequest {
        request: &identities.request,
        tenant: &identities.tenant,
        pool: &identities.pool,
        model: &identities.model,
        weights: WEIGHTS,
        adapter: None,
        scope: CacheScope(0),
        blocks,
        prompt_tokens: blocks.len() as u32 * BLOCK_TOKENS + BLOCK_TOKENS / 2,
        max_tokens: 200,
        priority: Priority::Normal,
        reuse_weight: 0.5,
        excluded: &[],
    }
}

fn apply_request_events(
    router: &mut Router,
    request: &RouteRequest<'_>,
    attempt: &AttemptId,
    engine: &EngineId,
    cached_tokens: u32,
    now: Timestamp,
) {
    router.apply(RouterEvent::Dispatched { attempt, engine, request }, now);
    let started = RouterEvent::Started { attempt, incarnation: Incarnation(1), cached_tokens };
    router.apply(started, now);
    router.apply(RouterEvent::FirstToken { attempt }, now);
    router.apply(RouterEvent::Ended { attempt, ending: AttemptEnding::Completed }, now);
}

fn percentiles(mut times: Vec<f64>) -> TimePercentiles {
    times.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = ((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1));
        times.get(index).copied().unwrap_or(0.0)
    };
    TimePercentiles { p50: at(0.5), p99: at(0.99), max: at(1.0) }
}

/// Resident memory of this process, if the system reports it.
fn resident_bytes() -> Option<usize> {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    statm.split_whitespace().nth(1)?.parse::<usize>().ok().map(|pages| pages * PAGE_BYTES)
}
