//! From candidates to a decision.

use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, rngs::SmallRng};

use super::{
    FeedState, Router,
    preferred_engines::{self, Member, Place},
    scoring::{Weighing, expected_tokens},
    types::{Candidate, ChoiceReason, Decision, RouteRequest},
};
use crate::cache_index::{PrefixMatch, Search, Slot};

/// Pools up to this size are weighed whole.
const WEIGH_ALL: usize = 32;
/// Holders weighed in larger pools.
const MOST_HOLDERS: usize = 16;
/// Engines drawn at random in larger pools, so that a free one is found even where cache_index is stale.
const DRAWN: usize = 6;
/// Costs within this share of the lowest one count as equal.
const NEAR_SHARE: f64 = 0.2;
/// Costs within this many milliseconds of the lowest one count as equal.
const NEAR_MS: f64 = 8.0;
/// A candidate with this share of the best holder's tokens holds the longest prefix.
const LONGEST_SHARE: f64 = 0.95;

impl Router {
    /// Chooses an engine for `request`.
    pub fn choose(&mut self, request: &RouteRequest<'_>, now: Timestamp) -> Decision {
        let mut random = self.random.clone();
        let decision = self.decide(request, now, &mut random);
        self.random = random;
        decision
    }

    /// What [`choose`](Self::choose) would answer, without any effect.
    pub fn preview(&self, request: &RouteRequest<'_>, now: Timestamp) -> Decision {
        self.decide(request, now, &mut self.random.clone())
    }

    fn decide(&self, request: &RouteRequest<'_>, now: Timestamp, random: &mut SmallRng) -> Decision {
        let members = self.engines.members(request.pool);
        let place = self.place(request, members, now);
        let weighing = self.prepare(request, place, members.len(), now);
        let slots = candidate_slots(members, &weighing, random);
        let mut weighed: Vec<(Candidate, Slot)> = Vec::with_capacity(slots.len());
        for slot in slots {
            let Some(view) = self.engines.get(slot) else { continue };
            if view.serves(request, now) {
                weighed.push((self.weigh(&weighing, slot, view), slot));
            }
        }
        let mut weighed = self.keep_healthy(request, weighed, now);
        weighed.sort_by(|left, right| left.0.cost.total_cmp(&right.0.cost));
        self.conclude(&weighing, weighed, random)
    }

    fn place(&self, request: &RouteRequest<'_>, members: &[Member], now: Timestamp) -> Place {
        if !self.settings.mechanisms.preferred_engines {
            return Place { ranked: Vec::new(), wanted: 1, copies: 1, shared_blocks: 0 };
        }
        preferred_engines::place(members, request.blocks, &self.popularity, self.total.at(now), now)
    }

    fn prepare<'a>(
        &'a self,
        request: &'a RouteRequest<'a>,
        place: Place,
        members: usize,
        now: Timestamp,
    ) -> Weighing<'a> {
        let search = if members <= WEIGH_ALL { Search::all(members) } else { Search::some(MOST_HOLDERS) };
        let eviction = self.settings.mechanisms.expected_eviction;
        let survival =
            |slot, age_micros| self.engines.get(slot).map_or(0.0, |view| view.survival(age_micros, eviction));
        let matches = self.cache_index.matches(request.blocks, search, now, survival);
        let best_held_tokens =
            matches.iter().map(|held| expected_tokens(held, request.prompt_tokens)).fold(0.0, f64::max);
        let import = self.settings.mechanisms.import;
        let alive = |engine: &_, incarnation| self.is_alive(engine, incarnation);
        let kept = if import { self.kept.longest(request, alive) } else { None };
        let copies = copies_of_shared(&matches, place.shared_blocks);
        let has_unread_feeds = self.engines.views().any(|view| view.feed.state() == FeedState::NotRead);
        Weighing { request, place, matches, kept, best_held_tokens, copies, has_unread_feeds, now }
    }

    fn conclude(
        &self,
        weighing: &Weighing<'_>,
        mut weighed: Vec<(Candidate, Slot)>,
        random: &mut SmallRng,
    ) -> Decision {
        let drawn = self.draw(&weighed, random);
        let chosen = weighed.get(drawn).map(|(candidate, slot)| (candidate.clone(), *slot));
        if drawn > 0 {
            weighed[..=drawn].rotate_right(1);
        }
        let candidates: Vec<Candidate> = weighed.into_iter().map(|(candidate, _)| candidate).collect();
        let reason = chosen.as_ref().map_or(ChoiceReason::NoEngineAvailable, |(candidate, _)| {
            if drawn > 0 { ChoiceReason::NearEqual } else { reason(weighing, candidate) }
        });
        let import = chosen.as_ref().filter(|(candidate, _)| candidate.import_ms > 0.0);
        let import = import.and_then(|_| weighing.kept.map(|kept| kept.to_transfer()));
        let view = chosen.and_then(|(_, slot)| self.engines.get(slot));
        Decision {
            chosen: view.map(|view| view.precondition(weighing.request)),
            candidates,
            reason,
            import,
            shared_blocks: weighing.place.shared_blocks as u32,
            wanted_copies: weighing.place.copies as u32,
        }
    }

    /// Draws two of the candidates that cost nearly the same and takes the one that this node uses less.
    fn draw(&self, weighed: &[(Candidate, Slot)], random: &mut SmallRng) -> usize {
        let Some((best, _)) = weighed.first() else { return 0 };
        if !self.settings.mechanisms.near_equals {
            return 0;
        }
        let limit = best.cost + NEAR_MS.max(best.cost * NEAR_SHARE);
        let near = weighed.iter().take_while(|(candidate, _)| candidate.cost <= limit).count();
        if near < 2 {
            return 0;
        }
        let first = random.random_range(0..near);
        let second = (first + random.random_range(1..near)) % near;
        let in_flight = |index: usize| self.engines.get(weighed[index].1).map_or(0, |view| view.in_flight);
        if in_flight(second) < in_flight(first) { second } else { first }
    }
}

fn copies_of_shared(matches: &[PrefixMatch], shared_blocks: usize) -> usize {
    let enough = LONGEST_SHARE * shared_blocks as f64;
    matches.iter().filter(|matched| matched.expected_blocks >= enough).count()
}

fn candidate_slots(members: &[Member], weighing: &Weighing<'_>, random: &mut SmallRng) -> Vec<Slot> {
    if members.len() <= WEIGH_ALL {
        return members.iter().map(|(slot, _)| *slot).collect();
    }
    let mut slots: Vec<Slot> = weighing.matches.iter().map(|matched| matched.slot).collect();
    slots.extend(&weighing.place.ranked);
    slots.extend((0..DRAWN).map(|_| members[random.random_range(0..members.len())].0));
    slots.sort_unstable();
    slots.dedup();
    slots
}

fn reason(weighing: &Weighing<'_>, chosen: &Candidate) -> ChoiceReason {
    let best_held = weighing.best_held_tokens;
    let cached = f64::from(chosen.expected_cached_tokens);
    let in_place = chosen.affinity_rank.is_some_and(|rank| (rank as usize) < weighing.place.wanted);
    if best_held < 1.0 {
        return if in_place { ChoiceReason::PreferredEngine } else { ChoiceReason::LowestCost };
    }
    if cached >= LONGEST_SHARE * best_held {
        return ChoiceReason::LongestPrefix;
    }
    if in_place && chosen.copy_ms == 0.0 { ChoiceReason::HotCopy } else { ChoiceReason::HoldersBusy }
}
