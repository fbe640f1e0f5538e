//! Which engine of a pool loads which version next, and which version a request uses meanwhile.

use paddlemount_protocol::{
    configuration::Pool,
    engine::{EngineRole, EngineStatus, OrderCommand},
    identity::{EngineId, FencingToken, PoolId, RequestId, WeightsVersion},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{EngineView, PlacementAction, Placer};

impl Placer {
    /// The engine of `pool` that should load weights next, if any.
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
        // Engines that serve nothing of use come first: loading them takes nothing away.
        if let Some((engine, _)) = engines().find(|(_, view)| idle(view) && !view.is_useful(settings)) {
            return load(engine, settings.weights);
        }
        let next = settings.rollout?;
        if !self.may_take_one_more(pool, settings, next, now) {
            return None;
        }
        let (engine, _) =
            engines().find(|(_, view)| idle(view) && view.serves(&settings.model, settings.weights))?;
        load(engine, next)
    }

    /// Whether another engine may leave the old version: half of the pool keeps serving (a pool of one
    /// cannot), and the first engine
    /// with the new version has served for the time of the canary_period.
    fn may_take_one_more(
        &self,
        pool: &PoolId,
        settings: &Pool,
        next: WeightsVersion,
        now: Timestamp,
    ) -> bool {
        let engines: Vec<&EngineView> =
            self.engines.values().filter(|view| view.status.pool == *pool).collect();
        let serving =
            engines.iter().filter(|view| view.is_useful(settings) && !view.is_ordered_to_load()).count();
        let left = serving.saturating_sub(1);
        let is_only_one = engines.len() == 1;
        if left * 2 < engines.len() && !is_only_one {
            return false;
        }
        let started = |view: &&&EngineView| view.serves(&settings.model, next) || view.is_ordered_to_load();
        if engines.iter().filter(started).count() == 0 {
            return true;
        }
        let proven = |view: &&EngineView| {
            let since = view.serving_since.filter(|_| view.serves(&settings.model, next));
            since.is_some_and(|since| now >= since + self.settings.canary_period)
        };
        engines.iter().any(proven)
    }

    /// Pools whose engines all serve the new version.
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
    fn is_useful(&self, pool: &Pool) -> bool {
        let current = self.serves(&pool.model, pool.weights);
        current || pool.rollout.is_some_and(|weights| self.serves(&pool.model, weights))
    }
}

/// How many engines of a pool serve the old and the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Engines with the pool's version.
    pub current: u32,
    /// Engines with the version that is rolled out.
    pub next: u32,
}

/// Counts the engines that can take a request of `pool`, by version.
pub fn version_counts<'a>(
    name: &PoolId,
    pool: &Pool,
    engines: impl IntoIterator<Item = &'a EngineStatus>,
) -> VersionCounts {
    let mut share = VersionCounts::default();
    for status in engines {
        let usable = status.pool == *name && !status.draining && status.role == EngineRole::Serving;
        let Some(loaded) = status.loaded.as_ref().filter(|loaded| usable && loaded.model == pool.model)
        else {
            continue;
        };
        share.current += u32::from(loaded.weights == pool.weights);
        share.next += u32::from(Some(loaded.weights) == pool.rollout);
    }
    share
}

/// The version to try where no engine takes the request under `chosen`. Only for a request of whose answer the
/// caller has nothing yet: an answer is never continued under other weights.
pub fn fallback_version(pool: &Pool, chosen: WeightsVersion) -> Option<WeightsVersion> {
    let next = pool.rollout?;
    Some(if chosen == next { pool.weights } else { next })
}

/// The version that a new request uses: the new one for a share of requests equal to its share of engines.
pub fn choose_version(pool: &Pool, share: VersionCounts, request: &RequestId) -> WeightsVersion {
    let Some(next) = pool.rollout else { return pool.weights };
    let engines = u64::from(share.current) + u64::from(share.next);
    if engines == 0 || share.next == 0 {
        return pool.weights;
    }
    let draw = xxh3_64(request.as_str().as_bytes()) % engines;
    if draw < u64::from(share.next) { next } else { pool.weights }
}
