//! Finds hot prefixes that are about to be lost, and keeps their export within a bandwidth.

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

/// Holders of a prefix that are looked at.
const MOST_HOLDERS: usize = 64;
/// Prefixes watched at most.
const MOST_WATCHED: usize = 64;
/// Decayed requests from which on a prefix is worth keeping.
const HOT_COUNT: f64 = 4.0;
/// Exports are arranged this long before the expected eviction.
const AHEAD_MICROS: u64 = 1_000_000;
/// An engine that holds the prefix with more certainty than this for [`AHEAD_MICROS`] need not export it.
const SAFE: f64 = 0.5;
/// The same prefix is not asked for again for this long.
const REPEAT_MICROS: u64 = 5_000_000;
/// Unused bandwidth that may be saved up, in seconds.
const BURST_SECONDS: f64 = 1.0;

struct Watched {
    scope: CacheScope,
    model: ModelId,
    weights: paddlemount_protocol::identity::WeightsVersion,
    adapter: Option<AdapterId>,
    blocks: Vec<BlockHash>,
    asked_at: Option<Timestamp>,
}

/// Hot prefixes with all that an export request needs.
#[derive(Default)]
pub(super) struct ExportWatch {
    by_last_block: BTreeMap<BlockHash, Watched>,
    budget_bytes: f64,
    refilled_at: Timestamp,
}

impl ExportWatch {
    /// Watches the deepest hot part of a request's prompt.
    pub(super) fn record(
        &mut self,
        request: &RouteRequest<'_>,
        popularity: &PrefixPopularity,
        now: Timestamp,
    ) {
        let hot = level_depths(request.blocks.len())
            .take_while(|depth| popularity.count(request.blocks[depth - 1], now) >= HOT_COUNT)
            .last();
        let Some(depth) = hot else { return };
        let last = request.blocks[depth - 1];
        if self.by_last_block.contains_key(&last) {
            return;
        }
        if self.by_last_block.len() >= MOST_WATCHED {
            self.drop_coldest(popularity, now);
        }
        let watched = Watched {
            scope: request.scope,
            model: request.model.clone(),
            weights: request.weights,
            adapter: request.adapter.cloned(),
            blocks: request.blocks[..depth].to_vec(),
            asked_at: None,
        };
        self.by_last_block.insert(last, watched);
    }

    fn drop_coldest(&mut self, popularity: &PrefixPopularity, now: Timestamp) {
        let coldest = self
            .by_last_block
            .keys()
            .min_by(|left, right| popularity.count(**left, now).total_cmp(&popularity.count(**right, now)))
            .copied();
        if let Some(last) = coldest {
            self.by_last_block.remove(&last);
        }
    }

    fn refill(&mut self, bytes_per_second: f64, now: Timestamp) {
        let seconds = now.saturating_since(self.refilled_at).as_secs_f64();
        let most = bytes_per_second * BURST_SECONDS;
        self.budget_bytes = (self.budget_bytes + seconds * bytes_per_second).min(most);
        self.refilled_at = now;
    }
}

impl Router {
    /// Prefixes that are still in demand and about to be lost, within the bandwidth for exports.
    ///
    /// The caller asks the engines for them and puts the answers into the kept-cache store; the answer
    /// comes back as [`RouterEvent::PrefixStored`](super::RouterEvent::PrefixStored).
    pub fn exports(&mut self, now: Timestamp) -> Vec<ExportHint> {
        self.export_watch.refill(self.settings.export_bytes_per_second, now);
        if !self.settings.mechanisms.import {
            return Vec::new();
        }
        let mut watch = std::mem::take(&mut self.export_watch);
        let popularity = &self.popularity;
        watch.by_last_block.retain(|last, _| popularity.count(*last, now) >= HOT_COUNT);
        let mut hints = Vec::new();
        for (last, watched) in &mut watch.by_last_block {
            let recent = watched.asked_at.is_some_and(|asked| now < asked + micros(REPEAT_MICROS));
            if recent || self.kept.holds(*last) {
                continue;
            }
            let bytes = self.kept.block_bytes() * watched.blocks.len() as f64;
            if bytes > watch.budget_bytes {
                continue;
            }
            if let Some(hint) = self.export_of(watched, bytes as u64, now) {
                watch.budget_bytes -= bytes;
                watched.asked_at = Some(now);
                hints.push(hint);
            }
        }
        self.export_watch = watch;
        hints
    }

    /// Names the holder to ask, if no engine will surely hold the prefix for a while yet.
    fn export_of(&self, watched: &Watched, bytes: u64, now: Timestamp) -> Option<ExportHint> {
        let later = now + micros(AHEAD_MICROS);
        let eviction = self.settings.mechanisms.expected_eviction;
        let matches = self.cache_index.matches(&watched.blocks, Search::all(MOST_HOLDERS), now, |_, _| 1.0);
        let depth = watched.blocks.len() as u32;
        let holders: Vec<_> = matches.iter().filter(|matched| matched.depth == depth).collect();
        let survival = |slot, age_micros| {
            self.engines.get(slot).map_or(0.0, |view| view.eviction_survival(age_micros, eviction))
        };
        let ahead = later.0 - now.0;
        if holders.iter().any(|matched| survival(matched.slot, matched.age_micros + ahead) > SAFE) {
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
