//! Chooses the back end of a request.
//!
//! For prompts the measure is work in tokens: what a back end has yet to read, plus what it would have to read for
//! this request. A part that another back end keeps is imported at a small part of that work, so load is balanced
//! first and affinity only breaks near ties. A part that nobody keeps is read once: all nodes send requests for it to
//! the same back end (rendezvous hashing), without a word between them, until the feeds tell that it is kept.
//!
//! For other services the measure is the number of requests at the back end, weighed by how long it takes.

use std::{cmp::Reverse, net::SocketAddr};

use paddlemount_protocol::{
    fleet::KeptNews,
    identity::{TenantId, WeightsVersion, ZoneId},
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    backends::BackendId,
    load::{BackendLoad, Loads},
    prefixes::{KeptPart, Prefixes, ScopeHash},
    prompt::{CacheScope, PartId, Prompt},
};

/// The cost of importing a token, in thousandths of the cost of reading it.
const IMPORT_PER_MILLE: u64 = 80;
/// The same where few back ends are weighed: with many engines what counts is that each part lies at few of them, as
/// copies displace parts that will be asked for again.
const IMPORT_AWAY_PER_MILLE: u64 = 350;
/// The fixed cost of an import, in tokens read.
const IMPORT_FIXED_TOKENS: u64 = 60;
/// Tokens of a part below which an import doesn't pay: engines keep parts by blocks of this size.
const IMPORT_MINIMUM_TOKENS: u32 = 16;
/// The cost of reading a part elsewhere than at its home, in multiples of reading it there: it may be read twice.
const READ_TWICE: u64 = 4;
/// Back ends that are homes of a part, where few others are weighed.
const HOMES: usize = 1;
/// The cost of a request that is being answered, in tokens read.
const RUNNING_TOKENS: u64 = 40;
/// The cost of each request that would have to wait for a slot, in tokens read.
const QUEUED_TOKENS: u64 = 2_000;
/// The cost of a back end in another zone, in requests, for services without prompts.
const OTHER_ZONE_REQUESTS: f64 = 1.5;
/// The cost of a back end that is rather left to prompts of the other length, in tokens.
const AVOIDED_TOKENS: u64 = 2_000;
/// The cost of a back end whose weights are older than the preferred version, in tokens.
const OUTDATED_TOKENS: u64 = 6_000;
/// The same for prompts, in tokens.
const OTHER_ZONE_TOKENS: u64 = 120;

/// A back end that may get the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its identity.
    pub id: &'a BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// The version of the asked model's weights, where the request has a prompt.
    pub weights: Option<WeightsVersion>,
    /// Requests that it works on at once; further ones wait.
    pub slots: u32,
    /// Whether it may be chosen; others only keep parts.
    pub eligible: bool,
    /// Whether requests of this kind rather go to others.
    pub avoided: bool,
    /// Whether its weights are older than the version that requests rather begin on.
    pub outdated: bool,
}

/// A store of kept parts.
#[derive(Clone, Debug)]
pub struct Store<'a> {
    /// The name under which its feed is known.
    pub id: &'a BackendId,
    /// Its address.
    pub address: SocketAddr,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Its prompt, if it has one.
    pub prompt: Option<&'a Prompt>,
    /// The tenant whose cached parts are kept apart, if it is one.
    pub isolated: Option<&'a TenantId>,
    /// The node's own zone.
    pub zone: &'a ZoneId,
    /// A number drawn for the request; breaks ties.
    pub draw: u64,
    /// The store of kept parts, if there is one.
    pub store: Option<&'a Store<'a>>,
    /// How many back ends are weighed, drawn for the request, beside the homes of its parts; all where none is given.
    /// Where many nodes choose with the same late knowledge, each must weigh others, or all choose the same one.
    pub considered: Option<usize>,
    /// Whether the run's memory is to be copied to another back end as it grows.
    pub copied: bool,
}

/// The chosen back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The back end.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// The scope of cached parts, where the request has a prompt.
    pub scope: Option<CacheScope>,
    /// Whom to import the prefix from.
    pub import_from: Option<SocketAddr>,
    /// Whom to hand the parts to that nobody kept yet.
    pub save_to: Option<SocketAddr>,
    /// The back end that gets a copy of the run's memory as it grows.
    pub copy_to: Option<CopyHolder>,
    /// Tokens that the back end is expected to read, imports weighed.
    pub expected_tokens: u64,
    /// Tokens of the prefix that it is believed to keep.
    pub held_tokens: u32,
    /// Tokens of the prefix that nobody is believed to keep.
    pub cold_tokens: u32,
    /// The last shared part of the prompt.
    pub subject: Option<PartId>,
    /// Whether the back end is where such a part is read first.
    pub at_home: bool,
    /// The cost by which it was chosen.
    pub cost: u64,
    /// The number of eligible candidates.
    pub eligible: usize,
}

/// A back end that holds a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyHolder {
    /// The back end.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
}

/// Chooses back ends, and remembers what that needs.
#[derive(Debug, Default)]
pub struct Chooser {
    /// Work under way.
    pub loads: Loads,
    /// Parts kept.
    pub prefixes: Prefixes,
}

/// What all candidates with the same weights have in common.
struct Group<'a> {
    weights: WeightsVersion,
    scope: CacheScope,
    hash: ScopeHash,
    homes: Vec<&'a BackendId>,
    cold_tokens: u32,
}

impl Chooser {
    /// A back end is gone with all that it kept.
    pub fn forget(&mut self, backend: &BackendId) {
        self.loads.forget(backend);
        self.prefixes.forget(backend);
    }

    /// What is under way at a back end.
    pub fn load(&self, backend: &BackendId) -> BackendLoad {
        self.loads.of(backend)
    }

    /// A back end has read the shared parts of a prompt. Gives what is news for other nodes.
    pub fn learned(
        &mut self,
        backend: &BackendId,
        scope: &CacheScope,
        prompt: &Prompt,
        now: Timestamp,
    ) -> Vec<KeptNews> {
        let news = |part: KeptPart| KeptNews {
            engine: backend.clone(),
            scope: part.scope.0,
            part: part.part.0,
            tokens: part.tokens,
        };
        self.prefixes.read(backend, scope.into(), prompt.shared(), now).into_iter().map(news).collect()
    }

    /// Another node has learned what a back end keeps.
    pub fn heard(&mut self, news: &KeptNews, now: Timestamp) {
        let kept = KeptPart { scope: ScopeHash(news.scope), part: PartId(news.part), tokens: news.tokens };
        self.prefixes.set(&news.engine, &kept, now);
    }

    /// A feed told what a back end keeps.
    pub fn told(&mut self, backend: &BackendId, kept: &[KeptPart], now: Timestamp) {
        for part in kept {
            self.prefixes.set(backend, part, now);
        }
    }

    /// Chooses among `candidates`.
    pub fn choose(&self, placement: Placement<'_>, candidates: &[Candidate<'_>]) -> Option<Choice> {
        match placement.prompt {
            Some(prompt) => self.choose_for_prompt(placement, prompt, candidates),
            None => self.choose_by_requests(placement, candidates),
        }
    }

    fn choose_by_requests(&self, placement: Placement<'_>, candidates: &[Candidate<'_>]) -> Option<Choice> {
        let usual_ms = self.loads.usual_ms(candidates.iter().map(|candidate| candidate.id));
        let cost = |candidate: &Candidate<'_>| {
            let requests = f64::from(self.loads.requests_of_all(candidate.id)) + 1.0;
            let distance = if candidate.zone == placement.zone { 0.0 } else { OTHER_ZONE_REQUESTS };
            ((requests * self.loads.slowness(candidate.id, usual_ms) + distance) * 1_000.0) as u64
        };
        let eligible = candidates.iter().filter(|candidate| candidate.eligible);
        let count = eligible.clone().count();
        let best = eligible.min_by_key(|candidate| (cost(candidate), tie(candidate.id, placement.draw)))?;
        Some(Choice {
            backend: best.id.clone(),
            address: best.address,
            scope: None,
            import_from: None,
            save_to: None,
            copy_to: None,
            expected_tokens: 0,
            held_tokens: 0,
            cold_tokens: 0,
            subject: None,
            at_home: false,
            cost: cost(best),
            eligible: count,
        })
    }

    fn choose_for_prompt(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        candidates: &[Candidate<'_>],
    ) -> Option<Choice> {
        let usual_ms = self.loads.usual_ms(candidates.iter().map(|candidate| candidate.id));
        let eligible = candidates.iter().filter(|candidate| candidate.eligible).count();
        let mut groups: Vec<Group<'_>> = Vec::new();
        let mut best: Option<(u64, u64, Choice)> = None;
        let drawn_below = drawn_below(placement, candidates);
        for candidate in candidates.iter().filter(|candidate| candidate.eligible) {
            let Some(weights) = candidate.weights else { continue };
            let known = groups.iter().position(|group| group.weights == weights);
            let index = known.unwrap_or_else(|| {
                groups.push(self.group(placement, prompt, weights, candidates));
                groups.len() - 1
            });
            let group = &groups[index];
            let tie = tie(candidate.id, placement.draw);
            if drawn_below.is_some_and(|below| tie > below) && !group.homes.contains(&candidate.id) {
                continue;
            }
            let mut choice = self.weigh(candidate, group, placement, prompt, candidates);
            let waiting = self.waiting_tokens(candidate.id) + self.queue_tokens(candidate);
            let distance = if candidate.zone == placement.zone { 0 } else { OTHER_ZONE_TOKENS };
            let work = (waiting + choice.cost) as f64 * self.loads.slowness(candidate.id, usual_ms);
            let avoided = if candidate.avoided { AVOIDED_TOKENS } else { 0 };
            let outdated = if candidate.outdated { OUTDATED_TOKENS } else { 0 };
            choice.cost = work as u64 + distance + avoided + outdated;
            choice.eligible = eligible;
            if best.as_ref().is_none_or(|(cost, order, _)| (choice.cost, tie) < (*cost, *order)) {
                best = Some((choice.cost, tie, choice));
            }
        }
        let (_, _, mut choice) = best?;
        if choice.import_from.is_none() {
            choice.import_from = self.source_in_reserve(&choice, placement, prompt, candidates);
        }
        if placement.copied {
            choice.copy_to = self.copy_holder(&choice, placement, candidates);
        }
        Some(choice)
    }

    /// The work under way at a back end, in tokens, as far as it is known.
    fn waiting_tokens(&self, id: &BackendId) -> u64 {
        let own = self.load(id);
        let own_tokens = own.unread_tokens + u64::from(own.requests) * RUNNING_TOKENS;
        // What others tell is some hundred milliseconds old: about half of what was to be read has been.
        let others = self.loads.of_others(id);
        let other_tokens =
            others.map_or(0, |work| work.unread_tokens / 2 + u64::from(work.requests) * RUNNING_TOKENS);
        own_tokens + other_tokens
    }

    /// The wait for a slot at a back end whose slots are taken, in tokens.
    fn queue_tokens(&self, candidate: &Candidate<'_>) -> u64 {
        let requests = self.loads.requests_of_all(candidate.id) + 1;
        u64::from(requests.saturating_sub(candidate.slots.max(1))) * QUEUED_TOKENS
    }

    /// Who gets a copy: the back end with the least under way among those with the same weights.
    fn copy_holder(
        &self,
        choice: &Choice,
        placement: Placement<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<CopyHolder> {
        let weights = choice.scope.as_ref().map(|scope| scope.weights);
        let others = candidates
            .iter()
            .filter(|other| other.eligible && *other.id != choice.backend && other.weights == weights);
        let order = |other: &&Candidate<'_>| {
            let requests = self.load(other.id).requests;
            (other.avoided, other.zone != placement.zone, requests, tie(other.id, placement.draw))
        };
        others.min_by_key(order).map(|other| CopyHolder { backend: other.id.clone(), address: other.address })
    }

    fn group<'a>(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        weights: WeightsVersion,
        candidates: &[Candidate<'a>],
    ) -> Group<'a> {
        let scope = CacheScope { model: prompt.model.clone(), weights, tenant: placement.isolated.cloned() };
        let hash = ScopeHash::from(&scope);
        let shared = prompt.shared();
        let cold = self.prefixes.first_cold(hash, shared);
        let cold_tokens = cold.map_or(0, |cold| {
            shared.iter().skip_while(|part| part.id != cold.id).map(|part| part.tokens).sum()
        });
        let rank =
            |candidate: &Candidate<'a>, seed| xxh3_64_with_seed(candidate.id.as_str().as_bytes(), seed);
        // Where all back ends are weighed, a part is read at one place until it is known to be kept. Where few are
        // drawn, the homes of a request's last shared part are weighed beside them, also when it is kept already.
        let (subject, homes) = match placement.considered {
            None => (cold, 1),
            Some(_) => (shared.last(), HOMES),
        };
        let homes = subject.map_or_else(Vec::new, |part| {
            let same = candidates
                .iter()
                .filter(|candidate| candidate.eligible && candidate.weights == Some(weights));
            let mut ranked: Vec<&Candidate<'a>> = same.collect();
            ranked.sort_by_key(|candidate| (candidate.avoided, Reverse(rank(candidate, part.id.0))));
            ranked.into_iter().take(homes).map(|candidate| candidate.id).collect()
        });
        Group { weights, scope, hash, homes, cold_tokens }
    }

    /// What the request would cost at `candidate` itself, and where its prefix would come from.
    fn weigh(
        &self,
        candidate: &Candidate<'_>,
        group: &Group<'_>,
        placement: Placement<'_>,
        prompt: &Prompt,
        candidates: &[Candidate<'_>],
    ) -> Choice {
        let shared = prompt.shared();
        let shared_tokens = prompt.shared_tokens();
        let own = u64::from(prompt.prompt_tokens.saturating_sub(shared_tokens));
        let held = self.prefixes.kept(candidate.id, group.hash, shared);
        let source = (held + IMPORT_MINIMUM_TOKENS <= shared_tokens)
            .then(|| self.source(candidate, group, placement, prompt, candidates))
            .flatten()
            .filter(|(_, kept)| *kept >= held + IMPORT_MINIMUM_TOKENS);
        let imported = source.map_or(0, |(_, kept)| u64::from(kept - held));
        let read = u64::from(shared_tokens - held) - imported;
        let is_home = group.homes.is_empty() || group.homes.contains(&candidate.id);
        let factor = if is_home { 1 } else { READ_TWICE };
        let per_mille = match placement.considered {
            Some(_) if !group.homes.contains(&candidate.id) => IMPORT_AWAY_PER_MILLE,
            _ => IMPORT_PER_MILLE,
        };
        let import_cost = source.map_or(0, |_| IMPORT_FIXED_TOKENS + imported * per_mille / 1_000);
        let store = placement.store.map(|store| store.address);
        Choice {
            backend: candidate.id.clone(),
            address: candidate.address,
            scope: Some(group.scope.clone()),
            // Feeds are late: the store may keep what is not known to be kept yet, and a miss costs next to nothing.
            import_from: source.map(|(address, _)| address).or(store.filter(|_| held < shared_tokens)),
            save_to: store.filter(|_| group.cold_tokens > 0),
            copy_to: None,
            expected_tokens: own + read + import_cost,
            held_tokens: held,
            cold_tokens: group.cold_tokens,
            subject: shared.last().map(|part| part.id),
            at_home: group.homes.contains(&candidate.id),
            cost: own + read * factor + import_cost,
            eligible: 0,
        }
    }

    /// Whom to name where the back end is believed to keep the whole prefix itself: that may be wrong, and where it is
    /// right nothing is moved.
    fn source_in_reserve(
        &self,
        choice: &Choice,
        placement: Placement<'_>,
        prompt: &Prompt,
        candidates: &[Candidate<'_>],
    ) -> Option<SocketAddr> {
        let scope = choice.scope.as_ref()?;
        if choice.held_tokens < IMPORT_MINIMUM_TOKENS {
            return None;
        }
        let hash = ScopeHash::from(scope);
        let keeps = |other: &&Candidate<'_>| {
            *other.id != choice.backend
                && other.weights == Some(scope.weights)
                && self.prefixes.kept(other.id, hash, prompt.shared()) >= choice.held_tokens
        };
        let other = candidates
            .iter()
            .filter(keeps)
            .min_by_key(|other| (other.zone != placement.zone, tie(other.id, placement.draw)));
        other.map(|other| other.address).or(placement.store.map(|store| store.address))
    }

    /// Who keeps most of the prefix under the same weights: another back end, else the store.
    fn source(
        &self,
        candidate: &Candidate<'_>,
        group: &Group<'_>,
        placement: Placement<'_>,
        prompt: &Prompt,
        candidates: &[Candidate<'_>],
    ) -> Option<(SocketAddr, u32)> {
        let kept = |id: &BackendId| self.prefixes.kept(id, group.hash, prompt.shared());
        let others =
            candidates.iter().filter(|other| other.id != candidate.id && other.weights == candidate.weights);
        let best = others
            .map(|other| (other, kept(other.id)))
            .max_by_key(|(other, kept)| {
                (*kept, other.eligible, other.zone == candidate.zone, Reverse(self.load(other.id).requests))
            })
            .map(|(other, kept)| (other.address, kept));
        let stored = placement.store.map(|store| (store.address, kept(store.id)));
        match (best, stored) {
            (Some(best), Some(stored)) if stored.1 > best.1 => Some(stored),
            (None, stored) => stored,
            (best, _) => best,
        }
    }
}

/// The greatest draw of the back ends that are weighed for a request; nothing where all are.
fn drawn_below(placement: Placement<'_>, candidates: &[Candidate<'_>]) -> Option<u64> {
    let considered = placement.considered?;
    let eligible = candidates.iter().filter(|candidate| candidate.eligible);
    let mut draws: Vec<u64> = eligible.map(|candidate| tie(candidate.id, placement.draw)).collect();
    if draws.len() <= considered {
        return None;
    }
    let (_, last, _) = draws.select_nth_unstable(considered.saturating_sub(1));
    Some(*last)
}

fn tie(backend: &BackendId, draw: u64) -> u64 {
    xxh3_64_with_seed(backend.as_str().as_bytes(), draw)
}
