//! Rollout of a version over a pool's engines, and the version that a request uses meanwhile.

use paddlemount_protocol::{
    configuration::Pool,
    engine::{EngineRole, EngineStatus, OrderCommand},
    identity::{EngineId, FencingToken, PoolId, RequestId, WeightsVersion},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{EngineView, PlacementAction, Placer};

impl Placer {
    /// Returns the engine of `pool` that should load weights next, with the order.
    pub(super) fn next_load(
        &self,
        pool: &PoolId,
        token: FencingToken,
        now: Timestamp,
    ) -> Option<(EngineId, OrderCommand)> {
        let settings = self.pools.get(pool)?;
        let idle =
            |view: &EngineView| view.order.is_none() && !view.status.loading && view.status.fence >= token;
        let engines = || self.engines.iter().filter(|(_, view)| view.status.pool == *pool);
        let load = |engine: &EngineId, weights| {
            let command = OrderCommand::LoadModel { model: settings.model.clone(), weights };
            Some((engine.clone(), command))
        };
        // Engines that serve neither version are loaded first, as that removes no capacity.
        if let Some((engine, _)) = engines().find(|(_, view)| idle(view) && !view.serves_pool(settings)) {
            return load(engine, settings.weights);
        }
        let next = settings.rollout?;
        if !self.may_upgrade_one_more(pool, settings, next, now) {
            return None;
        }
        let (engine, _) =
            engines().find(|(_, view)| idle(view) && view.serves(&settings.model, settings.weights))?;
        load(engine, next)
    }

    /// Whether another engine may leave the old version: half of the pool keeps serving, unless it has only
    /// one engine, and the first engine with the new version has served for the canary period.
    fn may_upgrade_one_more(
        &self,
        pool: &PoolId,
        settings: &Pool,
        next: WeightsVersion,
        now: Timestamp,
    ) -> bool {
        let engines: Vec<&EngineView> =
            self.engines.values().filter(|view| view.status.pool == *pool).collect();
        let serving =
            engines.iter().filter(|view| view.serves_pool(settings) && !view.is_ordered_to_load()).count();
        let remaining = serving.saturating_sub(1);
        let is_only_one = engines.len() == 1;
        if remaining * 2 < engines.len() && !is_only_one {
            return false;
        }
        let started = |view: &&&EngineView| view.serves(&settings.model, next) || view.is_ordered_to_load();
        if engines.iter().filter(started).count() == 0 {
            return true;
        }
        let passed_canary = |view: &&EngineView| {
            let since = view.serving_since.filter(|_| view.serves(&settings.model, next));
            since.is_some_and(|since| now >= since + self.settings.canary_period)
        };
        engines.iter().any(passed_canary)
    }

    /// Returns the pools whose engines all serve the new version.
    pub(super) fn complete_rollouts(&self) -> Vec<PlacementAction> {
        let complete = |(pool, settings): (&PoolId, &Pool)| {
            let weights = settings.rollout?;
            let mut engines = self.engines.values().filter(|view| view.status.pool == *pool).peekable();
            engines.peek()?;
            let done = engines.all(|view| view.serves(&settings.model, weights));
            done.then(|| PlacementAction::CompleteRollout { pool: pool.clone(), weights })
        };
        self.pools.iter().filter_map(complete).collect()
    }
}

impl EngineView {
    fn serves_pool(&self, pool: &Pool) -> bool {
        let current = self.serves(&pool.model, pool.weights);
        current || pool.rollout.is_some_and(|weights| self.serves(&pool.model, weights))
    }
}

/// Number of engines of a pool by version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Engines with the pool's current version.
    pub current: u32,
    /// Engines with the version that is being rolled out.
    pub next: u32,
}

/// Counts the engines that can serve requests of `pool`, by version.
pub fn version_counts<'a>(
    name: &PoolId,
    pool: &Pool,
    engines: impl IntoIterator<Item = &'a EngineStatus>,
) -> VersionCounts {
    let mut counts = VersionCounts::default();
    for status in engines {
        let usable = status.pool == *name && !status.draining && status.role == EngineRole::Serving;
        let Some(loaded) = status.loaded.as_ref().filter(|loaded| usable && loaded.model == pool.model)
        else {
            continue;
        };
        counts.current += u32::from(loaded.weights == pool.weights);
        counts.next += u32::from(Some(loaded.weights) == pool.rollout);
    }
    counts
}

/// Returns the version to retry with if no engine takes the request at `chosen`. Must only be used before any
/// token was emitted, because an answer is never continued with other weights.
pub fn fallback_version(pool: &Pool, chosen: WeightsVersion) -> Option<WeightsVersion> {
    let next = pool.rollout?;
    Some(if chosen == next { pool.weights } else { next })
}

/// Returns the version for a new request: the new one for a share of requests equal to its share of engines.
pub fn choose_version(pool: &Pool, counts: VersionCounts, request: &RequestId) -> WeightsVersion {
    let Some(next) = pool.rollout else { return pool.weights };
    let engines = u64::from(counts.current) + u64::from(counts.next);
    if engines == 0 || counts.next == 0 {
        return pool.weights;
    }
    let draw = xxh3_64(request.as_str().as_bytes()) % engines;
    if draw < u64::from(counts.next) { next } else { pool.weights }
}
