//! Selection of hot prefixes to export before they are evicted, within a bandwidth limit.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    engine::{ExportRequest, Precondition},
    identity::{AdapterId, ModelId},
    prefix::{BlockHash, CacheScope},
    time::Timestamp,
};

use super::{
    Router,
    types::{ExportHint, RouteRequest},
};
use crate::{
    cache_index::Search,
    popularity::{PrefixPopularity, level_depths},
};

/// Maximum number of holders considered for one prefix.
const MAX_HOLDERS: usize = 64;
/// Maximum number of prefixes watched.
const MAX_WATCHED: usize = 64;
/// Decayed request count from which a prefix counts as hot.
const MIN_HOT_COUNT: f64 = 4.0;
/// Exports are requested this long before the expected eviction.
const LEAD_TIME_MICROS: u64 = 1_000_000;
/// A prefix is not exported while an engine holds it with a higher probability than this.
const SAFE_SURVIVAL: f64 = 0.5;
/// Minimum time between two export requests for the same prefix.
const RETRY_INTERVAL_MICROS: u64 = 5_000_000;
/// Unused bandwidth accumulates for at most this long.
const BURST_SECONDS: f64 = 1.0;

struct WatchedPrefix {
    scope: CacheScope,
    model: ModelId,
    weights: paddlemount_protocol::identity::WeightsVersion,
    adapter: Option<AdapterId>,
    blocks: Vec<BlockHash>,
    requested_at: Option<Timestamp>,
}

/// Hot prefixes with the data of their export requests.
#[derive(Default)]
pub(super) struct ExportWatch {
    by_last_block: BTreeMap<BlockHash, WatchedPrefix>,
    budget_bytes: f64,
    refilled_at: Timestamp,
}

impl ExportWatch {
    /// Watches the longest hot prefix of a request's prompt.
    pub(super) fn record(
        &mut self,
        request: &RouteRequest<'_>,
        popularity: &PrefixPopularity,
        now: Timestamp,
    ) {
        let hot = level_depths(request.blocks.len())
            .take_while(|depth| popularity.count(request.blocks[depth - 1], now) >= MIN_HOT_COUNT)
            .last();
        let Some(depth) = hot else { return };
        let last = request.blocks[depth - 1];
        if self.by_last_block.contains_key(&last) {
            return;
        }
        if self.by_last_block.len() >= MAX_WATCHED {
            self.drop_least_popular(popularity, now);
        }
        let watched = WatchedPrefix {
            scope: request.scope,
            model: request.model.clone(),
            weights: request.weights,
            adapter: request.adapter.cloned(),
            blocks: request.blocks[..depth].to_vec(),
            requested_at: None,
        };
        self.by_last_block.insert(last, watched);
    }

    fn drop_least_popular(&mut self, popularity: &PrefixPopularity, now: Timestamp) {
        let least_popular = self
            .by_last_block
            .keys()
            .min_by(|left, right| popularity.count(**left, now).total_cmp(&popularity.count(**right, now)))
            .copied();
        if let Some(last) = least_popular {
            self.by_last_block.remove(&last);
        }
    }

    fn refill(&mut self, bytes_per_second: f64, now: Timestamp) {
        let seconds = now.saturating_since(self.refilled_at).as_secs_f64();
        let max_budget = bytes_per_second * BURST_SECONDS;
        self.budget_bytes = (self.budget_bytes + seconds * bytes_per_second).min(max_budget);
        self.refilled_at = now;
    }
}

impl Router {
    /// Returns hot prefixes that are about to be evicted, within the export bandwidth.
    ///
    /// The caller requests them from the engines and stores the replies in the cache store, which reports
    /// them back as [`RouterEvent::PrefixStored`](super::RouterEvent::PrefixStored).
    pub fn exports(&mut self, now: Timestamp) -> Vec<ExportHint> {
        self.export_watch.refill(self.settings.export_bytes_per_second, now);
        if !self.settings.mechanisms.import {
            return Vec::new();
        }
        let mut watch = std::mem::take(&mut self.export_watch);
        let popularity = &self.popularity;
        watch.by_last_block.retain(|last, _| popularity.count(*last, now) >= MIN_HOT_COUNT);
        let mut hints = Vec::new();
        for (last, watched) in &mut watch.by_last_block {
            let recent =
                watched.requested_at.is_some_and(|requested| now < requested + micros(RETRY_INTERVAL_MICROS));
            if recent || self.cached_prefixes.contains(*last) {
                continue;
            }
            let bytes = self.cached_prefixes.block_bytes() * watched.blocks.len() as f64;
            if bytes > watch.budget_bytes {
                continue;
            }
            if let Some(hint) = self.export_of(watched, bytes as u64, now) {
                watch.budget_bytes -= bytes;
                watched.requested_at = Some(now);
                hints.push(hint);
            }
        }
        self.export_watch = watch;
        hints
    }

    /// Returns an export request to the most recent holder, unless some engine is likely to hold the prefix
    /// for longer.
    fn export_of(&self, watched: &WatchedPrefix, bytes: u64, now: Timestamp) -> Option<ExportHint> {
        let later = now + micros(LEAD_TIME_MICROS);
        let eviction = self.settings.mechanisms.expected_eviction;
        let matches =
            self.cache_index.matches(&watched.blocks, Search::exhaustive(MAX_HOLDERS), now, |_, _| 1.0);
        let depth = watched.blocks.len() as u32;
        let holders: Vec<_> = matches.iter().filter(|matched| matched.depth == depth).collect();
        let survival = |slot, age_micros| {
            self.engines.get(slot).map_or(0.0, |view| view.eviction_survival(age_micros, eviction))
        };
        let lead_time = later.0 - now.0;
        if holders
            .iter()
            .any(|matched| survival(matched.slot, matched.age_micros + lead_time) > SAFE_SURVIVAL)
        {
            return None;
        }
        let best = holders.iter().min_by_key(|matched| matched.age_micros)?;
        let view = self.engines.get(best.slot)?;
        let precondition = Precondition {
            engine: view.status.engine.clone(),
            incarnation: view.status.incarnation,
            model: watched.model.clone(),
            weights: watched.weights,
            adapter: watched.adapter.clone(),
        };
        let request = ExportRequest { precondition, scope: watched.scope, blocks: watched.blocks.clone() };
        Some(ExportHint { engine: view.status.engine.clone(), request, bytes })
    }
}

const fn micros(micros: u64) -> std::time::Duration {
    std::time::Duration::from_micros(micros)
}
