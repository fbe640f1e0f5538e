//! Weighs the back ends of a prompt, by work in tokens.

use std::cmp::Reverse;

use paddlemount_protocol::identity::WeightsVersion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Candidate, Choice, Chooser, Placement, sources::IMPORT_MINIMUM_TOKENS, tie};
use crate::forwarding::{
    backends::BackendId,
    prefixes::ScopeHash,
    prompt::{CacheScope, Prompt},
};

/// The cost of importing a token, in thousandths of the cost of reading it.
const IMPORT_PER_MILLE: u64 = 80;
/// The same where few back ends are weighed: with many engines what counts is that each part lies at few of them, as
/// copies displace parts that will be asked for again.
const IMPORT_AWAY_PER_MILLE: u64 = 350;
/// The fixed cost of an import, in tokens read.
const IMPORT_FIXED_TOKENS: u64 = 60;
/// The cost of reading a part elsewhere than at its home, in multiples of reading it there: it may be read twice.
const READ_TWICE: u64 = 4;
/// Back ends that are homes of a part, where few others are weighed.
const HOMES: usize = 1;
/// The cost of a request that is being answered, in tokens read.
const RUNNING_TOKENS: u64 = 40;
/// The cost of each request that would have to wait for a slot, in tokens read.
const QUEUED_TOKENS: u64 = 2_000;
/// The cost of a back end that is rather left to prompts of the other length, in tokens. Of few back ends a side has one
/// or two, which cannot carry its bursts alone.
const AVOIDED_TOKENS: u64 = 2_000;
/// The same where few of many back ends are weighed: a side has dozens.
const AVOIDED_OF_MANY_TOKENS: u64 = 16_000;
/// The cost of a back end whose weights are older than the preferred version, in tokens.
const OUTDATED_TOKENS: u64 = 6_000;
/// The cost of a back end in another zone, in tokens read.
const OTHER_ZONE_TOKENS: u64 = 120;

/// What all candidates with the same weights have in common.
pub(super) struct Group<'a> {
    pub(super) weights: WeightsVersion,
    pub(super) scope: CacheScope,
    pub(super) hash: ScopeHash,
    pub(super) homes: Vec<&'a BackendId>,
    pub(super) cold_tokens: u32,
}

impl Chooser {
    /// Chooses for a request with a prompt.
    pub(super) fn choose_for_prompt(
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
            let avoided = match placement.considered {
                _ if !candidate.avoided => 0,
                None => AVOIDED_TOKENS,
                Some(_) => AVOIDED_OF_MANY_TOKENS,
            };
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
        let store = placement.store;
        Choice {
            backend: candidate.id.clone(),
            address: candidate.address,
            scope: Some(group.scope.clone()),
            // Feeds are late: the store may keep what is not known to be kept yet, and a miss costs next to nothing.
            import_from: source
                .map(|(address, _)| address)
                .or(store.filter(|_| held < shared_tokens).map(|store| store.address)),
            save_to: store.filter(|_| group.cold_tokens > 0).cloned(),
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
