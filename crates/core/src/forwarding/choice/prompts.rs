//! Weighs the back ends of a prompt, by work in tokens.

use paddlemount_protocol::identity::WeightsVersion;

use super::{
    Candidate, Choice, Chooser, Placement,
    candidate_pool::{self, CandidatePool},
    sources::{Holder, MIN_IMPORT_TOKENS},
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
const IMPORT_NOT_PREFERRED_PER_MILLE: u64 = 350;
/// The fixed cost of an import, in tokens read.
const IMPORT_FIXED_TOKENS: u64 = 60;
/// The cost of reading a part elsewhere than at its home, in multiples of reading it there: it may be read twice.
const DUPLICATE_PREFILL_FACTOR: u64 = 4;
/// The cost of a request that is being answered, in tokens read.
const RUNNING_REQUEST_TOKENS: u64 = 40;
/// The cost of each request that would have to wait for a slot, in tokens read.
const QUEUED_REQUEST_TOKENS: u64 = 2_000;
/// The cost of a back end whose weights are older than the preferred version, in tokens.
const OUTDATED_TOKENS: u64 = 6_000;
/// The cost of a back end in another zone, in tokens read.
const OTHER_ZONE_TOKENS: u64 = 120;

/// What all candidates with the same weights have in common.
pub(super) struct WeightsGroup<'a> {
    pub(super) weights: WeightsVersion,
    pub(super) scope: CacheScope,
    pub(super) hash: ScopeHash,
    /// Where the part in question is read first.
    pub(super) preferred: Option<Candidate<'a>>,
    pub(super) uncached_tokens: u32,
    /// Who keeps some of the prefix under these weights.
    pub(super) holders: Vec<Holder<'a>>,
}

impl WeightsGroup<'_> {
    fn is_preferred(&self, id: &BackendId) -> bool {
        self.preferred.as_ref().is_some_and(|preferred| preferred.id == id)
    }
}

impl Chooser {
    /// Chooses for a request with a prompt.
    pub(super) fn choose_for_prompt(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        pool: &dyn CandidatePool,
    ) -> Option<Choice> {
        let mut candidates = candidate_pool::sample(pool, placement);
        candidates.retain(|candidate| candidate.eligible && candidate.weights.is_some());
        let median_ms = self.loads.median_ms(candidates.iter().map(|candidate| candidate.id));
        let mut groups: Vec<WeightsGroup<'_>> = Vec::new();
        for weights in candidates.iter().filter_map(|candidate| candidate.weights) {
            if groups.iter().all(|group| group.weights != weights) {
                groups.push(self.group(placement, prompt, weights, pool));
            }
        }
        for preferred in groups.iter().filter_map(|group| group.preferred.as_ref()) {
            if candidates.iter().all(|candidate| candidate.id != preferred.id) {
                candidates.push(preferred.clone());
            }
        }
        let mut best: Option<(u64, u64, Choice)> = None;
        for candidate in &candidates {
            let group = groups.iter().find(|group| Some(group.weights) == candidate.weights);
            let Some(group) = group else { continue };
            let tie = tie(candidate.id, placement.seed);
            let mut choice = self.evaluate(candidate, group, placement, prompt);
            choice.cost = self.total_cost(candidate, choice.cost, placement, median_ms);
            choice.eligible = candidates.len();
            if best.as_ref().is_none_or(|(cost, order, _)| (choice.cost, tie) < (*cost, *order)) {
                best = Some((choice.cost, tie, choice));
            }
        }
        let (_, _, mut choice) = best?;
        if choice.import_from.is_none() {
            let weights = choice.scope.as_ref().map(|scope| scope.weights);
            let group = groups.iter().find(|group| Some(group.weights) == weights)?;
            choice.import_from = Self::fallback_source(&choice, placement, group);
        }
        if placement.replicate {
            choice.copy_to = self.copy_holder(&choice, placement, &candidates);
        }
        Some(choice)
    }

    /// The cost of a request at a back end where it reads `read` tokens: with what it waits for, the way, and what speaks
    /// against the back end.
    fn total_cost(
        &self,
        candidate: &Candidate<'_>,
        prefill: u64,
        placement: Placement<'_>,
        median_ms: f64,
    ) -> u64 {
        let pending = self.pending_tokens(candidate.id) + self.queue_tokens(candidate);
        let distance = if candidate.zone == placement.zone { 0 } else { OTHER_ZONE_TOKENS };
        // Prompts reach every back end by what it keeps: one of which nothing new is known has no need to go first.
        let slowness = self.loads.slowness(candidate.id, median_ms, TYPICAL_SLOWNESS, placement.now);
        let work = (pending + prefill) as f64 * slowness;
        let outdated = if candidate.outdated { OUTDATED_TOKENS } else { 0 };
        work as u64 + distance + outdated
    }

    /// The work under way at a back end, in tokens, as far as it is known.
    fn pending_tokens(&self, id: &BackendId) -> u64 {
        let local = self.load(id);
        let local_tokens = local.unread_tokens + u64::from(local.requests) * RUNNING_REQUEST_TOKENS;
        // What others tell is some hundred milliseconds old: about half of what was to be read has been.
        let others = self.loads.of_others(id);
        let other_tokens = others
            .map_or(0, |work| work.unread_tokens / 2 + u64::from(work.requests) * RUNNING_REQUEST_TOKENS);
        local_tokens + other_tokens
    }

    /// The wait for a slot at a back end whose slots are taken, in tokens.
    fn queue_tokens(&self, candidate: &Candidate<'_>) -> u64 {
        let requests = self.loads.total_requests(candidate.id) + 1;
        u64::from(requests.saturating_sub(candidate.slots.max(1))) * QUEUED_REQUEST_TOKENS
    }

    fn group<'a>(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        weights: WeightsVersion,
        pool: &'a dyn CandidatePool,
    ) -> WeightsGroup<'a> {
        let scope = CacheScope { model: prompt.model.clone(), weights, tenant: placement.isolated.cloned() };
        let hash = ScopeHash::from(&scope);
        let shared = prompt.shared();
        let uncached = self.prefixes.first_uncached(hash, shared);
        let uncached_tokens = uncached.map_or(0, |uncached| {
            shared.iter().skip_while(|segment| segment.id != uncached.id).map(|segment| segment.tokens).sum()
        });
        // Where all back ends are weighed, a part is read at one place until it is known to be kept. Where few are
        // drawn, the home of a request's last shared part is weighed beside them, also when it is kept already.
        let affinity = match placement.sample_size {
            None => uncached,
            Some(_) => shared.last(),
        };
        let preferred = affinity.and_then(|segment| candidate_pool::preferred(pool, segment.id.0, weights));
        let holders = self.holders(hash, weights, shared, pool);
        WeightsGroup { weights, scope, hash, preferred, uncached_tokens, holders }
    }

    /// What the request would cost at `candidate` itself, and where its prefix would come from.
    fn evaluate(
        &self,
        candidate: &Candidate<'_>,
        group: &WeightsGroup<'_>,
        placement: Placement<'_>,
        prompt: &Prompt,
    ) -> Choice {
        let shared = prompt.shared();
        let shared_tokens = prompt.shared_tokens();
        let unshared = u64::from(prompt.prompt_tokens.saturating_sub(shared_tokens));
        let cached = self.prefixes.cached_tokens(candidate.id, group.hash, shared);
        let source = (cached + MIN_IMPORT_TOKENS <= shared_tokens)
            .then(|| self.source(candidate, group, placement, prompt))
            .flatten()
            .filter(|source| source.cached_tokens >= cached + MIN_IMPORT_TOKENS);
        let imported_tokens = source.map_or(0, |source| u64::from(source.cached_tokens - cached));
        let prefill = u64::from(shared_tokens - cached) - imported_tokens;
        let is_preferred = group.preferred.is_none() || group.is_preferred(candidate.id);
        let factor = if is_preferred { 1 } else { DUPLICATE_PREFILL_FACTOR };
        let per_mille = match placement.sample_size {
            Some(_) if !group.is_preferred(candidate.id) => IMPORT_NOT_PREFERRED_PER_MILLE,
            _ => IMPORT_PER_MILLE,
        };
        let import_cost = source.map_or(0, |_| IMPORT_FIXED_TOKENS + imported_tokens * per_mille / 1_000);
        let store = placement.store;
        Choice {
            backend: candidate.id.clone(),
            address: candidate.address,
            scope: Some(group.scope.clone()),
            // Feeds are late: the store may keep what is not known to be kept yet, and a miss costs next to nothing.
            import_from: source
                .map(|source| source.address)
                .or(store.filter(|_| cached < shared_tokens).map(|store| store.address)),
            import_source: source.map(|source| source.kind),
            save_to: store.filter(|_| group.uncached_tokens > 0).cloned(),
            copy_to: None,
            expected_tokens: unshared + prefill + import_cost,
            cached_tokens: cached,
            uncached_tokens: group.uncached_tokens,
            last_shared_segment: shared.last().map(|segment| segment.id),
            is_preferred: group.is_preferred(candidate.id),
            cost: unshared + prefill * factor + import_cost,
            eligible: 0,
        }
    }
}
