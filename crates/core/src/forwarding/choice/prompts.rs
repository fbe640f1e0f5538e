//! Weighs the back ends of a prompt, by work in tokens.

use paddlemount_protocol::identity::WeightsVersion;

use super::{
    Candidate, Choice, Chooser, Placement,
    candidate_pool::{self, CandidatePool},
    sources::{Holder, IMPORT_MINIMUM_TOKENS},
    tie,
};
use crate::forwarding::{
    backends::BackendId,
    load::TYPICAL_SLOWNESS,
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
/// The cost of a request that is being answered, in tokens read.
const RUNNING_TOKENS: u64 = 40;
/// The cost of each request that would have to wait for a slot, in tokens read.
const QUEUED_TOKENS: u64 = 2_000;
/// The cost of a back end whose weights are older than the preferred version, in tokens.
const OUTDATED_TOKENS: u64 = 6_000;
/// The cost of a back end in another zone, in tokens read.
const OTHER_ZONE_TOKENS: u64 = 120;

/// What all candidates with the same weights have in common.
pub(super) struct Group<'a> {
    pub(super) weights: WeightsVersion,
    pub(super) scope: CacheScope,
    pub(super) hash: ScopeHash,
    /// Where the part in question is read first.
    pub(super) home: Option<Candidate<'a>>,
    pub(super) cold_tokens: u32,
    /// Who keeps some of the prefix under these weights.
    pub(super) holders: Vec<Holder<'a>>,
}

impl Group<'_> {
    fn is_home(&self, id: &BackendId) -> bool {
        self.home.as_ref().is_some_and(|home| home.id == id)
    }
}

impl Chooser {
    /// Chooses for a request with a prompt.
    pub(super) fn choose_for_prompt(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        field: &dyn CandidatePool,
    ) -> Option<Choice> {
        let mut candidates = candidate_pool::weighed(field, placement);
        candidates.retain(|candidate| candidate.eligible && candidate.weights.is_some());
        let usual_ms = self.loads.median_ms(candidates.iter().map(|candidate| candidate.id));
        let mut groups: Vec<Group<'_>> = Vec::new();
        for weights in candidates.iter().filter_map(|candidate| candidate.weights) {
            if groups.iter().all(|group| group.weights != weights) {
                groups.push(self.group(placement, prompt, weights, field));
            }
        }
        for home in groups.iter().filter_map(|group| group.home.as_ref()) {
            if candidates.iter().all(|candidate| candidate.id != home.id) {
                candidates.push(home.clone());
            }
        }
        let mut best: Option<(u64, u64, Choice)> = None;
        for candidate in &candidates {
            let group = groups.iter().find(|group| Some(group.weights) == candidate.weights);
            let Some(group) = group else { continue };
            let tie = tie(candidate.id, placement.seed);
            let mut choice = self.weigh(candidate, group, placement, prompt);
            choice.cost = self.whole_cost(candidate, choice.cost, placement, usual_ms);
            choice.eligible = candidates.len();
            if best.as_ref().is_none_or(|(cost, order, _)| (choice.cost, tie) < (*cost, *order)) {
                best = Some((choice.cost, tie, choice));
            }
        }
        let (_, _, mut choice) = best?;
        if choice.import_from.is_none() {
            let weights = choice.scope.as_ref().map(|scope| scope.weights);
            let group = groups.iter().find(|group| Some(group.weights) == weights)?;
            choice.import_from = Self::source_in_reserve(&choice, placement, group);
        }
        if placement.replicate {
            choice.copy_to = self.copy_holder(&choice, placement, &candidates);
        }
        Some(choice)
    }

    /// The cost of a request at a back end where it reads `read` tokens: with what it waits for, the way, and what speaks
    /// against the back end.
    fn whole_cost(
        &self,
        candidate: &Candidate<'_>,
        read: u64,
        placement: Placement<'_>,
        usual_ms: f64,
    ) -> u64 {
        let waiting = self.waiting_tokens(candidate.id) + self.queue_tokens(candidate);
        let distance = if candidate.zone == placement.zone { 0 } else { OTHER_ZONE_TOKENS };
        // Prompts reach every back end by what it keeps: one of which nothing new is known has no need to go first.
        let slowness = self.loads.slowness(candidate.id, usual_ms, TYPICAL_SLOWNESS, placement.now);
        let work = (waiting + read) as f64 * slowness;
        let outdated = if candidate.outdated { OUTDATED_TOKENS } else { 0 };
        work as u64 + distance + outdated
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
        let requests = self.loads.total_requests(candidate.id) + 1;
        u64::from(requests.saturating_sub(candidate.slots.max(1))) * QUEUED_TOKENS
    }

    fn group<'a>(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        weights: WeightsVersion,
        field: &'a dyn CandidatePool,
    ) -> Group<'a> {
        let scope = CacheScope { model: prompt.model.clone(), weights, tenant: placement.isolated.cloned() };
        let hash = ScopeHash::from(&scope);
        let shared = prompt.shared();
        let cold = self.prefixes.first_uncached(hash, shared);
        let cold_tokens = cold.map_or(0, |cold| {
            shared.iter().skip_while(|part| part.id != cold.id).map(|part| part.tokens).sum()
        });
        // Where all back ends are weighed, a part is read at one place until it is known to be kept. Where few are
        // drawn, the home of a request's last shared part is weighed beside them, also when it is kept already.
        let subject = match placement.sample_size {
            None => cold,
            Some(_) => shared.last(),
        };
        let home = subject.and_then(|part| candidate_pool::home(field, part.id.0, weights));
        let holders = self.holders(hash, weights, shared, field);
        Group { weights, scope, hash, home, cold_tokens, holders }
    }

    /// What the request would cost at `candidate` itself, and where its prefix would come from.
    fn weigh(
        &self,
        candidate: &Candidate<'_>,
        group: &Group<'_>,
        placement: Placement<'_>,
        prompt: &Prompt,
    ) -> Choice {
        let shared = prompt.shared();
        let shared_tokens = prompt.shared_tokens();
        let own = u64::from(prompt.prompt_tokens.saturating_sub(shared_tokens));
        let held = self.prefixes.cached_tokens(candidate.id, group.hash, shared);
        let source = (held + IMPORT_MINIMUM_TOKENS <= shared_tokens)
            .then(|| self.source(candidate, group, placement, prompt))
            .flatten()
            .filter(|source| source.kept >= held + IMPORT_MINIMUM_TOKENS);
        let imported = source.map_or(0, |source| u64::from(source.kept - held));
        let read = u64::from(shared_tokens - held) - imported;
        let is_home = group.home.is_none() || group.is_home(candidate.id);
        let factor = if is_home { 1 } else { READ_TWICE };
        let per_mille = match placement.sample_size {
            Some(_) if !group.is_home(candidate.id) => IMPORT_AWAY_PER_MILLE,
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
                .map(|source| source.address)
                .or(store.filter(|_| held < shared_tokens).map(|store| store.address)),
            import_source: source.map(|source| source.kind),
            save_to: store.filter(|_| group.cold_tokens > 0).cloned(),
            copy_to: None,
            expected_tokens: own + read + import_cost,
            cached_tokens: held,
            uncached_tokens: group.cold_tokens,
            last_shared_segment: shared.last().map(|part| part.id),
            is_preferred: group.is_home(candidate.id),
            cost: own + read * factor + import_cost,
            eligible: 0,
        }
    }
}
