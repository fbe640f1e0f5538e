//! Selection of candidates and the final choice among them.

use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, rngs::SmallRng};

use super::{
    FeedState, Router,
    preferred_engines::{self, Member, PreferredEngines},
    scoring::{ScoringContext, expected_tokens},
    types::{Candidate, ChoiceReason, Decision, RouteRequest},
};
use crate::cache_index::{PrefixMatch, Search, Slot};

/// Pools up to this size have all their engines scored.
const MAX_FULL_SCAN: usize = 32;
/// Maximum number of prefix holders scored in larger pools.
const MAX_HOLDERS: usize = 16;
/// Engines sampled at random in larger pools, so that an idle one is found even if the cache index is stale.
const RANDOM_CANDIDATES: usize = 6;
/// Costs within this share of the lowest one count as equal.
const NEAR_EQUAL_SHARE: f64 = 0.2;
/// Costs within this many milliseconds of the lowest one count as equal.
const NEAR_EQUAL_MS: f64 = 8.0;
/// A candidate with at least this share of the best holder's tokens counts as holding the longest prefix.
const LONGEST_PREFIX_SHARE: f64 = 0.95;

impl Router {
    /// Chooses an engine for `request`.
    pub fn choose(&mut self, request: &RouteRequest<'_>, now: Timestamp) -> Decision {
        let mut random = self.random.clone();
        let decision = self.decide(request, now, &mut random);
        self.random = random;
        decision
    }

    /// Returns what [`choose`](Self::choose) would return, without changing any state.
    pub fn preview(&self, request: &RouteRequest<'_>, now: Timestamp) -> Decision {
        self.decide(request, now, &mut self.random.clone())
    }

    fn decide(&self, request: &RouteRequest<'_>, now: Timestamp, random: &mut SmallRng) -> Decision {
        let members = self.engines.members(request.pool);
        let preferred = self.preferred_engines(request, members, now);
        let context = self.prepare(request, preferred, members.len(), now);
        let slots = candidate_slots(members, &context, random);
        let mut scored: Vec<(Candidate, Slot)> = Vec::with_capacity(slots.len());
        for slot in slots {
            let Some(view) = self.engines.get(slot) else { continue };
            if view.is_eligible(request, now) {
                scored.push((self.score(&context, slot, view), slot));
            }
        }
        let mut scored = self.retain_admitted(request, scored, now);
        scored.sort_by(|left, right| left.0.cost.total_cmp(&right.0.cost));
        self.build_decision(&context, scored, random)
    }

    fn preferred_engines(
        &self,
        request: &RouteRequest<'_>,
        members: &[Member],
        now: Timestamp,
    ) -> PreferredEngines {
        if !self.settings.mechanisms.preferred_engines {
            return PreferredEngines { ranked: Vec::new(), primary: 1, copies: 1, shared_blocks: 0 };
        }
        preferred_engines::select(members, request.blocks, &self.popularity, self.total.at(now), now)
    }

    fn prepare<'a>(
        &'a self,
        request: &'a RouteRequest<'a>,
        preferred: PreferredEngines,
        members: usize,
        now: Timestamp,
    ) -> ScoringContext<'a> {
        let search =
            if members <= MAX_FULL_SCAN { Search::exhaustive(members) } else { Search::strided(MAX_HOLDERS) };
        let eviction = self.settings.mechanisms.expected_eviction;
        let survival =
            |slot, age_micros| self.engines.get(slot).map_or(0.0, |view| view.survival(age_micros, eviction));
        let matches = self.cache_index.matches(request.blocks, search, now, survival);
        let best_cached_tokens =
            matches.iter().map(|matched| expected_tokens(matched, request.prompt_tokens)).fold(0.0, f64::max);
        let import = self.settings.mechanisms.import;
        let current = |engine: &_, incarnation| self.is_current(engine, incarnation);
        let cached_prefix = if import { self.cached_prefixes.longest(request, current) } else { None };
        let copies = copies_of_shared(&matches, preferred.shared_blocks);
        let has_unread_feeds = self.engines.views().any(|view| view.feed.state() == FeedState::NotRead);
        ScoringContext {
            request,
            preferred,
            matches,
            cached_prefix,
            best_cached_tokens,
            copies,
            has_unread_feeds,
            now,
        }
    }

    fn build_decision(
        &self,
        context: &ScoringContext<'_>,
        mut scored: Vec<(Candidate, Slot)>,
        random: &mut SmallRng,
    ) -> Decision {
        let picked = self.pick_near_equal(&scored, random);
        let chosen = scored.get(picked).map(|(candidate, slot)| (candidate.clone(), *slot));
        if picked > 0 {
            scored[..=picked].rotate_right(1);
        }
        let candidates: Vec<Candidate> = scored.into_iter().map(|(candidate, _)| candidate).collect();
        let reason = chosen.as_ref().map_or(ChoiceReason::NoEngineAvailable, |(candidate, _)| {
            if picked > 0 { ChoiceReason::NearEqual } else { reason(context, candidate) }
        });
        let import = chosen.as_ref().filter(|(candidate, _)| candidate.import_ms > 0.0);
        let import =
            import.and_then(|_| context.cached_prefix.map(|cached_prefix| cached_prefix.to_transfer()));
        let view = chosen.and_then(|(_, slot)| self.engines.get(slot));
        Decision {
            chosen: view.map(|view| view.precondition(context.request)),
            candidates,
            reason,
            import,
            shared_blocks: context.preferred.shared_blocks as u32,
            wanted_copies: context.preferred.copies as u32,
        }
    }

    /// Picks two random candidates of nearly equal cost and returns the one with fewer requests in flight
    /// from this node.
    fn pick_near_equal(&self, scored: &[(Candidate, Slot)], random: &mut SmallRng) -> usize {
        let Some((best, _)) = scored.first() else { return 0 };
        if !self.settings.mechanisms.near_equals {
            return 0;
        }
        let limit = best.cost + NEAR_EQUAL_MS.max(best.cost * NEAR_EQUAL_SHARE);
        let near = scored.iter().take_while(|(candidate, _)| candidate.cost <= limit).count();
        if near < 2 {
            return 0;
        }
        let first = random.random_range(0..near);
        let second = (first + random.random_range(1..near)) % near;
        let in_flight = |index: usize| self.engines.get(scored[index].1).map_or(0, |view| view.in_flight);
        if in_flight(second) < in_flight(first) { second } else { first }
    }
}

fn copies_of_shared(matches: &[PrefixMatch], shared_blocks: usize) -> usize {
    let enough = LONGEST_PREFIX_SHARE * shared_blocks as f64;
    matches.iter().filter(|matched| matched.expected_blocks >= enough).count()
}

fn candidate_slots(members: &[Member], context: &ScoringContext<'_>, random: &mut SmallRng) -> Vec<Slot> {
    if members.len() <= MAX_FULL_SCAN {
        return members.iter().map(|(slot, _)| *slot).collect();
    }
    let mut slots: Vec<Slot> = context.matches.iter().map(|matched| matched.slot).collect();
    slots.extend(&context.preferred.ranked);
    slots.extend((0..RANDOM_CANDIDATES).map(|_| members[random.random_range(0..members.len())].0));
    slots.sort_unstable();
    slots.dedup();
    slots
}

fn reason(context: &ScoringContext<'_>, chosen: &Candidate) -> ChoiceReason {
    let best_cached = context.best_cached_tokens;
    let cached = f64::from(chosen.expected_cached_tokens);
    let is_preferred = chosen.affinity_rank.is_some_and(|rank| (rank as usize) < context.preferred.primary);
    if best_cached < 1.0 {
        return if is_preferred { ChoiceReason::PreferredEngine } else { ChoiceReason::LowestCost };
    }
    if cached >= LONGEST_PREFIX_SHARE * best_cached {
        return ChoiceReason::LongestPrefix;
    }
    if is_preferred && chosen.copy_ms == 0.0 { ChoiceReason::HotCopy } else { ChoiceReason::HoldersBusy }
}
