//! Cost of sending a request to an engine.

use paddlemount_protocol::{prefix::BLOCK_TOKENS, time::Timestamp};

use super::{
    Router,
    cached_prefixes::CachedPrefix,
    engines::{EngineView, WaitInputs},
    preferred_engines::PreferredEngines,
    types::{Candidate, RouteRequest},
};
use crate::cache_index::{PrefixMatch, Slot};

/// Minimum weight of recomputation, even for pools that only optimize tail latency, because recomputed
/// prefill delays other requests on the engine.
const MIN_COPY_WEIGHT: f64 = 0.6;
const MAX_COPY_WEIGHT: f64 = 8.0;
/// Penalty for an engine that is not preferred, as a share of the prefill.
const NON_PREFERRED_PENALTY: f64 = 0.2;
/// The same penalty while not all feeds are read. The cache index is then less reliable than the preferred
/// engines that all nodes agree on.
const NON_PREFERRED_PENALTY_UNREAD: f64 = 2.0;
/// Penalty per rank among the preferred engines, as a share of the prefill.
const RANK_PENALTY: f64 = 0.003;
/// The request and its first token each travel the distance once.
const ONE_WAY_TRIPS: f64 = 2.0;

/// Data shared by the scoring of all candidates for one request.
pub(super) struct ScoringContext<'a> {
    pub(super) request: &'a RouteRequest<'a>,
    pub(super) preferred: PreferredEngines,
    pub(super) matches: Vec<PrefixMatch>,
    pub(super) cached_prefix: Option<CachedPrefix<'a>>,
    /// Prompt tokens expected in the cache of the best holder.
    pub(super) best_cached_tokens: f64,
    /// Engines that already hold the shared prefix.
    pub(super) copies: usize,
    /// Whether this node does not read the feed of some engine.
    pub(super) has_unread_feeds: bool,
    pub(super) now: Timestamp,
}

impl ScoringContext<'_> {
    fn rank(&self, slot: Slot) -> Option<usize> {
        self.preferred.ranked.iter().position(|ranked| *ranked == slot)
    }

    fn prefix_match(&self, slot: Slot) -> Option<&PrefixMatch> {
        self.matches.iter().find(|matched| matched.slot == slot)
    }

    /// Whether the request rate justifies another copy at an engine of this rank.
    fn copy_is_justified(&self, rank: Option<usize>) -> bool {
        self.copies < self.preferred.copies && rank.is_some_and(|rank| rank < self.preferred.primary)
    }
}

/// Weight of recomputing what another engine holds, relative to time to first token.
fn copy_weight(reuse_weight: f64) -> f64 {
    let reuse_weight = reuse_weight.clamp(0.0, 1.0);
    (MIN_COPY_WEIGHT + reuse_weight / (1.0 - reuse_weight).max(f64::EPSILON)).min(MAX_COPY_WEIGHT)
}

/// Tokens expected in the cache, at most the whole prompt.
pub(super) fn expected_tokens(matched: &PrefixMatch, prompt_tokens: u32) -> f64 {
    (matched.expected_blocks * f64::from(BLOCK_TOKENS)).min(f64::from(prompt_tokens))
}

impl Router {
    pub(super) fn score(&self, context: &ScoringContext<'_>, slot: Slot, view: &EngineView) -> Candidate {
        let request = context.request;
        let mechanisms = &self.settings.mechanisms;
        let matched = context.prefix_match(slot);
        let cached = matched.map_or(0.0, |matched| expected_tokens(matched, request.prompt_tokens));
        let missing = f64::from(request.prompt_tokens) - cached;
        let (prefill_ms, import_ms) = self.prefill_or_import(context, view, missing);
        let rank = context.rank(slot);
        let copy_is_free = mechanisms.replicate_hot_prefixes && context.copy_is_justified(rank);
        let recomputed = (context.best_cached_tokens - cached).max(0.0);
        let copy_ms =
            if copy_is_free { 0.0 } else { copy_weight(request.reuse_weight) * view.prefill_ms(recomputed) };
        let affinity_ms = self.affinity_ms(context, rank, view, missing);
        let inputs = WaitInputs {
            own_in_flight: mechanisms.own_in_flight,
            other_nodes: self.nodes - 1,
            answer_ms: self.answer_ms,
        };
        let wait_ms = view.wait_ms(context.now, inputs);
        let distance_ms = ONE_WAY_TRIPS * self.distance_ms(&view.status.zone);
        Candidate {
            engine: view.status.engine.clone(),
            expected_cached_tokens: cached as u32,
            wait_ms,
            prefill_ms,
            distance_ms,
            import_ms,
            copy_ms,
            affinity_ms,
            affinity_rank: rank.map(|rank| rank as u32),
            matched_blocks: matched.map_or(0, |matched| matched.depth),
            confidence: matched.map_or(0.0, |matched| matched.confidence),
            match_age_ms: matched.map_or(0, |matched| matched.age_micros / 1_000),
            cost: wait_ms + prefill_ms + import_ms + distance_ms + copy_ms + affinity_ms,
            load_age_ms: view.load_age_micros(context.now) / 1_000,
        }
    }

    /// Predicted milliseconds of prefill and import, with the import only if it is faster.
    fn prefill_or_import(&self, context: &ScoringContext<'_>, view: &EngineView, missing: f64) -> (f64, f64) {
        let prefill_ms = view.prefill_ms(missing);
        let Some(cached_prefix) = &context.cached_prefix else { return (prefill_ms, 0.0) };
        let after_import =
            f64::from(context.request.prompt_tokens) - f64::from(cached_prefix.blocks as u32 * BLOCK_TOKENS);
        let import_ms = cached_prefix.bytes / self.settings.import_bytes_per_second * 1e3;
        let remaining_prefill_ms = view.prefill_ms(after_import.max(0.0).min(missing));
        if import_ms + remaining_prefill_ms < prefill_ms {
            (remaining_prefill_ms, import_ms)
        } else {
            (prefill_ms, 0.0)
        }
    }

    fn affinity_ms(
        &self,
        context: &ScoringContext<'_>,
        rank: Option<usize>,
        view: &EngineView,
        missing: f64,
    ) -> f64 {
        if !self.settings.mechanisms.preferred_engines {
            return 0.0;
        }
        let outside =
            if context.has_unread_feeds { NON_PREFERRED_PENALTY_UNREAD } else { NON_PREFERRED_PENALTY };
        let share = match rank {
            Some(rank) if rank < context.preferred.primary => RANK_PENALTY * rank as f64,
            Some(rank) => outside + RANK_PENALTY * rank as f64,
            None => 2.0 * outside,
        };
        share * view.prefill_ms(missing)
    }
}
