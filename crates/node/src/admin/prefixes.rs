//! The most requested prefixes at this node, for operators.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use paddlemount_core::{
    popularity::{DecayedCount, level_depths},
    routing::RouteRequest,
};
use paddlemount_language::{schema::Noun, source::Row, value::Value};
use paddlemount_protocol::{
    engine::Priority,
    identity::{ModelId, PoolId, RequestId, TenantId, WeightsVersion},
    prefix::{BLOCK_TOKENS, BlockHash, CacheScope},
    time::Timestamp,
};

use super::rows::NodeSource;
use crate::exchange::ExchangeSpec;

/// Prefixes that are counted; the least requested one is evicted first.
const MAX_PREFIXES: usize = 512;
/// Blocks of a prefix that are counted. With [`MAX_PREFIXES`], at most 2 MiB of hashes.
const MAX_DEPTH: usize = 256;
/// A prefix is shown only if it is requested this many times as often as each longer one.
const MIN_RATIO_TO_LONGER: f64 = 1.1;

#[derive(Clone)]
struct CountedPrefix {
    tenant: TenantId,
    pool: PoolId,
    model: ModelId,
    weights: WeightsVersion,
    scope: CacheScope,
    blocks: Arc<[BlockHash]>,
    depth: usize,
    count: DecayedCount,
}

/// Counts requests by prefix.
#[derive(Default)]
pub struct PrefixCounts {
    counted: Mutex<BTreeMap<BlockHash, CountedPrefix>>,
}

impl PrefixCounts {
    /// Counts a request.
    pub fn record(&self, spec: &ExchangeSpec, now: Timestamp) {
        let blocks = &spec.blocks[..spec.blocks.len().min(MAX_DEPTH)];
        let shared: Arc<[BlockHash]> = Arc::from(blocks);
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        for depth in level_depths(blocks.len()) {
            let entry = counted.entry(blocks[depth - 1]).or_insert_with(|| CountedPrefix {
                tenant: spec.tenant.clone(),
                pool: spec.pool.clone(),
                model: spec.model.clone(),
                weights: spec.weights,
                scope: spec.scope,
                blocks: Arc::clone(&shared),
                depth,
                count: DecayedCount::default(),
            });
            entry.count.add(1.0, now);
        }
        while counted.len() > MAX_PREFIXES {
            let least_requested =
                counted.iter().min_by(|left, right| left.1.count.at(now).total_cmp(&right.1.count.at(now)));
            let Some(least_requested) = least_requested.map(|(block, _)| *block) else { return };
            counted.remove(&least_requested);
        }
    }

    /// The counted prefixes that are not merely the beginning of a longer one.
    fn distinct(&self, now: Timestamp) -> Vec<CountedPrefix> {
        let counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut longer: BTreeMap<BlockHash, f64> = BTreeMap::new();
        for prefix in counted.values() {
            let shorter = level_depths(prefix.depth - 1).last();
            if let Some(block) = shorter.map(|depth| prefix.blocks[depth - 1]) {
                let max_rate = longer.entry(block).or_default();
                *max_rate = max_rate.max(prefix.count.at(now));
            }
        }
        let is_distinct = |prefix: &CountedPrefix| {
            let max_rate = longer.get(&prefix.blocks[prefix.depth - 1]).copied().unwrap_or_default();
            prefix.count.at(now) > max_rate * MIN_RATIO_TO_LONGER
        };
        counted.into_values().filter(|prefix| is_distinct(prefix)).collect()
    }
}

impl NodeSource<'_> {
    /// One row for each prefix, with the engines that are expected to cache all of it.
    pub(super) fn prefix_rows(&self) -> Vec<Row> {
        let now = self.state.clock.now();
        let prefixes = self.state.observations.prefixes.distinct(now);
        prefixes.iter().map(|prefix| self.prefix_row(prefix, now)).collect()
    }

    fn prefix_row(&self, prefix: &CountedPrefix, now: Timestamp) -> Row {
        let blocks = &prefix.blocks[..prefix.depth];
        let tokens = u32::try_from(blocks.len()).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS);
        let request = RequestId::from("preview");
        let route_request = RouteRequest {
            request: &request,
            tenant: &prefix.tenant,
            pool: &prefix.pool,
            model: &prefix.model,
            weights: prefix.weights,
            adapter: None,
            scope: prefix.scope,
            blocks,
            prompt_tokens: tokens,
            max_tokens: 1,
            priority: Priority::Normal,
            reuse_weight: 0.0,
            excluded: &[],
        };
        let decision = self.state.with_router(|router| router.preview(&route_request, now));
        let caches_all = |matched: u32| usize::try_from(matched).is_ok_and(|matched| matched >= blocks.len());
        let holders = decision.candidates.iter().filter(|candidate| caches_all(candidate.matched_blocks));
        let mut holders: Vec<String> = holders.map(|candidate| candidate.engine.to_string()).collect();
        holders.sort();
        self.own_row(Noun::Prefixes)
            .with("prefix", blocks.last().map(ToString::to_string))
            .with("pool", prefix.pool.as_str())
            .with("tenant", prefix.tenant.as_str())
            .with("tokens", tokens)
            .with("heat", prefix.count.rate(now))
            .with("copies", holders.len())
            .with("target", decision.wanted_copies)
            .with("holders", Value::List(holders))
    }
}
