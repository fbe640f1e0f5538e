//! The cost of sending a request to one engine.

use paddlemount_protocol::{prefix::BLOCK_TOKENS, time::Timestamp};

use super::{
    Router,
    cached_prefixes::CachedPrefix,
    engines::{EngineView, WaitBasis},
    preferred_engines::Place,
    types::{Candidate, RouteRequest},
};
use crate::cache_index::{PrefixMatch, Slot};

/// Weight of recomputation that holds even where a pool asks for tail time alone: prefill that could
/// have been saved delays others on the same engine.
const LEAST_COPY_WEIGHT: f64 = 0.6;
const MOST_COPY_WEIGHT: f64 = 8.0;
/// Share of the prefill that is charged for an engine outside the agreed place.
const OUTSIDE_PLACE: f64 = 0.2;
/// The same where not all feeds are read: what engines hold is then known from own answers alone, so the place that
/// all nodes agree on is the better guess.
const OUTSIDE_PLACE_UNREAD: f64 = 2.0;
/// Share of the prefill that is charged for each rank within the agreed place.
const PER_RANK: f64 = 0.003;
/// The request and its first token each travel the distance once.
const TRIPS: f64 = 2.0;

/// What one choice has found out before it weighs engines.
pub(super) struct Weighing<'a> {
    pub(super) request: &'a RouteRequest<'a>,
    pub(super) place: Place,
    pub(super) matches: Vec<PrefixMatch>,
    pub(super) kept: Option<CachedPrefix<'a>>,
    /// Prompt tokens that the best holder is expected to have.
    pub(super) best_held_tokens: f64,
    /// Engines that hold the shared part already.
    pub(super) copies: usize,
    /// Whether some engine's feed is not read by this node.
    pub(super) has_unread_feeds: bool,
    pub(super) now: Timestamp,
}

impl Weighing<'_> {
    fn rank(&self, slot: Slot) -> Option<usize> {
        self.place.ranked.iter().position(|ranked| *ranked == slot)
    }

    fn matched(&self, slot: Slot) -> Option<&PrefixMatch> {
        self.matches.iter().find(|matched| matched.slot == slot)
    }

    /// Whether one more copy at an engine of this rank is justified by the request rate.
    fn copy_is_wanted(&self, rank: Option<usize>) -> bool {
        self.copies < self.place.copies && rank.is_some_and(|rank| rank < self.place.wanted)
    }
}

/// Weight of recomputing what another engine holds, against time to first token.
fn copy_weight(reuse_weight: f64) -> f64 {
    let reuse_weight = reuse_weight.clamp(0.0, 1.0);
    (LEAST_COPY_WEIGHT + reuse_weight / (1.0 - reuse_weight).max(f64::EPSILON)).min(MOST_COPY_WEIGHT)
}

/// Tokens expected in the cache, never the whole prompt.
pub(super) fn expected_tokens(matched: &PrefixMatch, prompt_tokens: u32) -> f64 {
    (matched.expected_blocks * f64::from(BLOCK_TOKENS)).min(f64::from(prompt_tokens))
}

impl Router {
    pub(super) fn weigh(&self, weighing: &Weighing<'_>, slot: Slot, view: &EngineView) -> Candidate {
        let request = weighing.request;
        let mechanisms = &self.settings.mechanisms;
        let matched = weighing.matched(slot);
        let cached = matched.map_or(0.0, |matched| expected_tokens(matched, request.prompt_tokens));
        let missing = f64::from(request.prompt_tokens) - cached;
        let (prefill_ms, import_ms) = self.fill(weighing, view, missing);
        let rank = weighing.rank(slot);
        let wanted = mechanisms.replicate_hot_prefixes && weighing.copy_is_wanted(rank);
        let lost = (weighing.best_held_tokens - cached).max(0.0);
        let copy_ms = if wanted { 0.0 } else { copy_weight(request.reuse_weight) * view.prefill_ms(lost) };
        let affinity_ms = self.affinity_ms(weighing, rank, view, missing);
        let basis = WaitBasis {
            own_in_flight: mechanisms.own_in_flight,
            other_nodes: self.nodes - 1,
            answer_ms: self.answer_ms,
        };
        let wait_ms = view.wait_ms(weighing.now, basis);
        let distance_ms = TRIPS * self.distance_ms(&view.status.zone);
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
            believed_blocks: matched.map_or(0, |matched| matched.depth),
            confidence: matched.map_or(0.0, |matched| matched.confidence),
            belief_age_ms: matched.map_or(0, |matched| matched.age_micros / 1_000),
            cost: wait_ms + prefill_ms + import_ms + distance_ms + copy_ms + affinity_ms,
            load_age_ms: view.load_age_micros(weighing.now) / 1_000,
        }
    }

    /// Prefill and import in milliseconds, whichever way is faster.
    fn fill(&self, weighing: &Weighing<'_>, view: &EngineView, missing: f64) -> (f64, f64) {
        let prefill_ms = view.prefill_ms(missing);
        let Some(kept) = &weighing.kept else { return (prefill_ms, 0.0) };
        let after_import =
            f64::from(weighing.request.prompt_tokens) - f64::from(kept.blocks as u32 * BLOCK_TOKENS);
        let import_ms = kept.bytes / self.settings.import_bytes_per_second * 1e3;
        let rest_ms = view.prefill_ms(after_import.max(0.0).min(missing));
        if import_ms + rest_ms < prefill_ms { (rest_ms, import_ms) } else { (prefill_ms, 0.0) }
    }

    fn affinity_ms(
        &self,
        weighing: &Weighing<'_>,
        rank: Option<usize>,
        view: &EngineView,
        missing: f64,
    ) -> f64 {
        if !self.settings.mechanisms.preferred_engines {
            return 0.0;
        }
        let outside = if weighing.has_unread_feeds { OUTSIDE_PLACE_UNREAD } else { OUTSIDE_PLACE };
        let share = match rank {
            Some(rank) if rank < weighing.place.wanted => PER_RANK * rank as f64,
            Some(rank) => outside + PER_RANK * rank as f64,
            None => 2.0 * outside,
        };
        share * view.prefill_ms(missing)
    }
}
