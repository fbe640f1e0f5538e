//! Random requests of a scenario: tenants, prefixes and arrival times.

use std::{sync::Arc, time::Duration};

use paddlemount_protocol::{
    identity::{ModelId, TenantId, WeightsVersion},
    prefix::{BLOCK_TOKENS, BlockHash, CacheScope},
    time::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use rand_distr::{Distribution, Exp};

use crate::{
    scenario::{PrefixLevel, Scenario},
    simulation::derived_seed,
};

/// The model that all engines serve.
pub const MODEL: &str = "model";

/// The weights version that all engines serve.
pub const WEIGHTS: WeightsVersion = WeightsVersion(1);

/// The rate at the start of the ramp-up, relative to the full rate.
const MIN_RATE: f64 = 0.1;

/// One request of the workload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadRequest {
    pub sent_at: Timestamp,
    /// Index into [`Workload::tenants`].
    pub tenant: usize,
    /// Hashes of the prompt's blocks.
    pub blocks: Arc<[BlockHash]>,
    /// How many of the blocks other requests may share.
    pub shared_blocks: usize,
    pub prompt_tokens: u32,
    pub answer_tokens: u32,
}

/// One tenant of the workload.
#[derive(Clone, Debug)]
pub struct WorkloadTenant {
    pub tenant: TenantId,
    /// Scope of its cached state.
    pub scope: CacheScope,
    /// Index of its group in the scenario.
    pub group: usize,
    root: Siblings,
}

#[derive(Clone, Debug, Default)]
struct Siblings {
    members: Vec<TreeNode>,
    /// Member indices by descending popularity.
    ranks: Vec<usize>,
}

#[derive(Clone, Debug)]
struct TreeNode {
    /// Hashes from the start of the prompt to the end of this node's own blocks.
    chain: Vec<BlockHash>,
    children: Siblings,
}

/// Generates requests in order of time.
pub struct Workload {
    pub tenants: Vec<WorkloadTenant>,
    levels: Vec<PrefixLevel>,
    zipf_skew: f64,
    unique_blocks: [u32; 2],
    max_tokens: u32,
    traffic: Vec<f64>,
    interarrival_times: Exp<f64>,
    ramp_up_s: f64,
    answer_lengths: Exp<f64>,
    random: StdRng,
    shift_random: StdRng,
    shift_period: Option<Duration>,
    next_shift: Option<Timestamp>,
    clock: Timestamp,
    generated_requests: u64,
}

impl Workload {
    /// The workload of a scenario with a seed. All policies get the same requests under one seed.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut tree_random = StdRng::seed_from_u64(derived_seed(seed, "prefix tree"));
        let (tenants, traffic) = build_tenants(scenario, &mut tree_random);
        let shift_period = scenario.prefixes.shift_period_s.map(Duration::from_secs_f64);
        Self {
            tenants,
            levels: scenario.prefixes.levels.clone(),
            zipf_skew: scenario.prefixes.zipf_skew,
            unique_blocks: scenario.prefixes.own_blocks,
            max_tokens: scenario.answers.max_tokens,
            traffic,
            interarrival_times: exponential(1.0 / scenario.arrivals.requests_per_second),
            ramp_up_s: scenario.arrivals.ramp_up_s,
            answer_lengths: exponential(scenario.answers.mean_tokens),
            random: StdRng::seed_from_u64(derived_seed(seed, "requests")),
            shift_random: StdRng::seed_from_u64(derived_seed(seed, "shifts")),
            shift_period,
            next_shift: shift_period.map(|period| Timestamp::ZERO + period),
            clock: Timestamp::ZERO,
            generated_requests: 0,
        }
    }

    /// Redraws the popularity of all prefixes.
    pub fn shift(&mut self) {
        for tenant in &mut self.tenants {
            tenant.root.shuffle(&mut self.shift_random);
        }
    }

    /// Generates the next request, later than the previous one.
    pub fn next_request(&mut self) -> WorkloadRequest {
        let interarrival = self.interarrival_times.sample(&mut self.random) / self.rate_now();
        self.clock = self.clock + Duration::from_secs_f64(interarrival);
        self.shift_if_due();
        let tenant = weighted_index(&self.traffic, &mut self.random);
        let shared = self.sample_prefix(tenant);
        let shared_blocks = shared.len();
        let blocks = self.append_unique_blocks(shared, tenant);
        let prompt_tokens = blocks.len() as u32 * BLOCK_TOKENS;
        let length = self.answer_lengths.sample(&mut self.random).ceil() as u32;
        let answer_tokens = length.clamp(1, self.max_tokens);
        WorkloadRequest { sent_at: self.clock, tenant, blocks, shared_blocks, prompt_tokens, answer_tokens }
    }

    /// The current rate relative to the full rate.
    fn rate_now(&self) -> f64 {
        let passed = self.clock.saturating_since(Timestamp::ZERO).as_secs_f64();
        if passed < self.ramp_up_s { (passed / self.ramp_up_s).max(MIN_RATE) } else { 1.0 }
    }

    fn shift_if_due(&mut self) {
        let (Some(period), Some(at)) = (self.shift_period, self.next_shift) else { return };
        if self.clock >= at {
            self.next_shift = Some(at + period);
            self.shift();
        }
    }

    fn sample_prefix(&mut self, tenant: usize) -> Vec<BlockHash> {
        let mut siblings = &self.tenants[tenant].root;
        let mut chain: &[BlockHash] = &[];
        for level in &self.levels {
            let weights: Vec<f64> =
                (1..=siblings.members.len()).map(|rank| (rank as f64).powf(-self.zipf_skew)).collect();
            let rank = weighted_index(&weights, &mut self.random);
            let node = &siblings.members[siblings.ranks[rank]];
            chain = &node.chain;
            siblings = &node.children;
            if self.random.random_bool(level.ends_here) {
                break;
            }
        }
        chain.to_vec()
    }

    fn append_unique_blocks(&mut self, mut chain: Vec<BlockHash>, tenant: usize) -> Arc<[BlockHash]> {
        let [min, max] = self.unique_blocks;
        let count = self.random.random_range(min..=max);
        let scope = self.tenants[tenant].scope;
        for position in 0..count {
            let content = [self.generated_requests.to_le_bytes(), u64::from(position).to_le_bytes()].concat();
            chain.push(extend(chain.last().copied(), scope, &content));
        }
        self.generated_requests += 1;
        chain.into()
    }
}

impl Siblings {
    fn shuffle(&mut self, random: &mut StdRng) {
        self.ranks.shuffle(random);
        for member in &mut self.members {
            member.children.shuffle(random);
        }
    }
}

fn exponential(mean: f64) -> Exp<f64> {
    Exp::new(1.0 / mean).expect("a checked scenario has positive means")
}

fn weighted_index(weights: &[f64], random: &mut StdRng) -> usize {
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn extend(before: Option<BlockHash>, scope: CacheScope, content: &[u8]) -> BlockHash {
    match before {
        Some(before) => before.followed_by(content),
        None => BlockHash::first(scope, content),
    }
}

fn build_tenants(scenario: &Scenario, random: &mut StdRng) -> (Vec<WorkloadTenant>, Vec<f64>) {
    let mut tenants = Vec::new();
    let mut traffic = Vec::new();
    for (group, settings) in scenario.tenants.iter().enumerate() {
        for number in 0..settings.count {
            let name = if settings.count == 1 {
                settings.name.clone()
            } else {
                format!("{}-{number}", settings.name)
            };
            let tenant = TenantId::from(name);
            let scope = CacheScope::new(&tenant, &ModelId::from(MODEL), WEIGHTS, None);
            let root = build_subtree(&scenario.prefixes.levels, &[], scope, random);
            tenants.push(WorkloadTenant { tenant, scope, group, root });
            traffic.push(settings.traffic);
        }
    }
    (tenants, traffic)
}

fn build_subtree(
    levels: &[PrefixLevel],
    before: &[BlockHash],
    scope: CacheScope,
    random: &mut StdRng,
) -> Siblings {
    let Some((level, deeper)) = levels.split_first() else { return Siblings::default() };
    let mut members = Vec::with_capacity(level.fan_out);
    for _ in 0..level.fan_out {
        let mut chain = before.to_vec();
        let [min, max] = level.blocks;
        for _ in 0..random.random_range(min..=max) {
            let content = random.random::<u128>().to_le_bytes();
            chain.push(extend(chain.last().copied(), scope, &content));
        }
        let children = build_subtree(deeper, &chain, scope, random);
        members.push(TreeNode { chain, children });
    }
    let mut ranks: Vec<usize> = (0..members.len()).collect();
    ranks.shuffle(random);
    Siblings { members, ranks }
}
