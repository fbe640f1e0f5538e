//! The cost of each back end for a prompt, as work in tokens.

use std::time::Duration;

use paddlemount_protocol::identity::WeightsVersion;

use super::{
    Candidate, Choice, Chooser, Placement,
    candidate_pool::{self, CandidatePool},
    sources::{Holder, MIN_IMPORT_TOKENS},
    tie,
};
use crate::forwarding::{
    backends::BackendId,
    forecast::{EngineWorkload, RequestWork},
    load::TYPICAL_SLOWNESS,
    performance::EngineProfile,
    prefixes::ScopeHash,
    prompt::{CacheScope, Prompt},
    transfers::{RequestTransfers, Verdict, Weighed},
};

/// The cost of importing a token, in thousandths of the cost of prefilling it.
const IMPORT_PER_MILLE: u64 = 80;
/// The same for back ends other than the preferred one, if only a sample is evaluated: with many engines,
/// additional copies of a segment evict others that are still in use.
const IMPORT_NOT_PREFERRED_PER_MILLE: u64 = 350;
/// The fixed cost of an import, in prefilled tokens.
const IMPORT_FIXED_TOKENS: u64 = 60;
/// The factor on the cost of prefilling an uncached segment elsewhere than at the preferred engine, since it
/// may then be prefilled twice.
const DUPLICATE_PREFILL_FACTOR: u64 = 4;
/// The cost of a request that is being answered, in prefilled tokens.
const RUNNING_REQUEST_TOKENS: u64 = 40;
/// The cost of each request that has to wait for a slot, in prefilled tokens.
const QUEUED_REQUEST_TOKENS: u64 = 2_000;
/// The cost of a back end whose weights are older than the preferred version, in tokens.
const OUTDATED_TOKENS: u64 = 6_000;
/// The cost of a back end in another zone, in prefilled tokens.
const OTHER_ZONE_TOKENS: u64 = 120;

/// The properties shared by all candidates with the same weights.
pub(super) struct WeightsGroup<'a> {
    pub(super) weights: WeightsVersion,
    pub(super) scope: CacheScope,
    pub(super) hash: ScopeHash,
    /// The back end that prefills the decisive segment first.
    pub(super) preferred: Option<Candidate<'a>>,
    pub(super) uncached_tokens: u32,
    /// Back ends with some of the prefix cached under these weights.
    pub(super) holders: Vec<Holder<'a>>,
}

impl WeightsGroup<'_> {
    fn is_preferred(&self, id: &BackendId) -> bool {
        self.preferred.as_ref().is_some_and(|preferred| preferred.id == id)
    }
}

impl Chooser {
    /// Chooses a back end for a request with a prompt.
    pub(super) fn choose_for_prompt(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        pool: &dyn CandidatePool,
    ) -> Option<Choice> {
        if let Some(choice) =
            placement.timing.and_then(|timing| self.choose_by_time(placement, &timing, prompt, pool))
        {
            return Some(choice);
        }
        let mut candidates = candidate_pool::sample(pool, placement);
        candidates.retain(|candidate| candidate.eligible && candidate.weights.is_some());
        let median_ms = self.loads.median_ms(candidates.iter().map(|candidate| candidate.id));
        let groups = self.groups(placement, prompt, &candidates, pool);
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
            choice.workload = self.workload(candidate, placement);
            choice.work = RequestWork { prefill_tokens: choice.expected_tokens, transfer: Duration::ZERO };
            if best.as_ref().is_none_or(|(cost, order, _)| (choice.cost, tie) < (*cost, *order)) {
                best = Some((choice.cost, tie, choice));
            }
        }
        let (_, _, mut choice) = best?;
        self.add_sources(&mut choice, placement, &groups, &candidates);
        Some(choice)
    }

    /// The properties of the candidates' weights, once for each version.
    pub(super) fn groups<'a>(
        &self,
        placement: Placement<'_>,
        prompt: &Prompt,
        candidates: &[Candidate<'_>],
        pool: &'a dyn CandidatePool,
    ) -> Vec<WeightsGroup<'a>> {
        let mut groups: Vec<WeightsGroup<'a>> = Vec::new();
        for weights in candidates.iter().filter_map(|candidate| candidate.weights) {
            if groups.iter().all(|group| group.weights != weights) {
                groups.push(self.group(placement, prompt, weights, pool));
            }
        }
        groups
    }

    /// Completes a choice by the source of a prefix that may be missing, and the back end for a copy.
    pub(super) fn add_sources(
        &self,
        choice: &mut Choice,
        placement: Placement<'_>,
        groups: &[WeightsGroup<'_>],
        candidates: &[Candidate<'_>],
    ) {
        let weights = choice.scope.as_ref().map(|scope| scope.weights);
        let group = groups.iter().find(|group| Some(group.weights) == weights);
        if let (None, Some(group)) = (choice.import_from, group) {
            let chosen = candidates.iter().find(|candidate| *candidate.id == choice.backend);
            let zone = chosen.map_or(placement.zone, |candidate| candidate.zone);
            choice.import_from = Self::fallback_source(choice, zone, placement, group);
        }
        if placement.replicate {
            (choice.copy_to, choice.transfers.copy) = self.copy_holder(choice, placement, candidates);
        }
    }

    /// The total cost of a request that prefills `prefill` tokens at a back end: includes queued work,
    /// latency, distance and outdated weights.
    fn total_cost(
        &self,
        candidate: &Candidate<'_>,
        prefill: u64,
        placement: Placement<'_>,
        median_ms: f64,
    ) -> u64 {
        let pending = self.pending_tokens(candidate.id) + self.queue_tokens(candidate);
        let distance = if candidate.zone == placement.zone { 0 } else { OTHER_ZONE_TOKENS };
        // Unlike other requests, prompts reach every back end by its cached segments, so that one without
        // recent measurements needs no preference.
        let shared = candidate.profile.filter(EngineProfile::is_measured);
        let slowness = shared.map_or_else(
            || self.loads.slowness(candidate.id, median_ms, TYPICAL_SLOWNESS, placement.now),
            |profile| profile.slowness,
        );
        let work = (pending + prefill) as f64 * slowness;
        let outdated = if candidate.outdated { OUTDATED_TOKENS } else { 0 };
        work as u64 + distance + outdated
    }

    /// The known work in flight at a back end, in tokens.
    fn pending_tokens(&self, id: &BackendId) -> u64 {
        let local = self.load(id);
        let local_tokens = local.pending_prefill_tokens + u64::from(local.requests) * RUNNING_REQUEST_TOKENS;
        // The loads reported by other nodes are some hundred milliseconds old: about half of the tokens have
        // been prefilled since.
        let others = self.loads.of_others(id);
        let other_tokens = others.map_or(0, |work| {
            work.pending_prefill_tokens / 2 + u64::from(work.requests) * RUNNING_REQUEST_TOKENS
        });
        local_tokens + other_tokens
    }

    /// The cost of waiting for a slot, in tokens.
    fn queue_tokens(&self, candidate: &Candidate<'_>) -> u64 {
        let requests = self.loads.total_requests(candidate.id) + 1;
        u64::from(requests.saturating_sub(candidate.slots.max(1))) * QUEUED_REQUEST_TOKENS
    }

    pub(super) fn group<'a>(
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
        // If all back ends are evaluated, an uncached segment is prefilled at one place until it is known to
        // be cached. If they are sampled, the preferred engine of the last shared segment is always evaluated
        // too.
        let affinity = match placement.sample_size {
            None => uncached,
            Some(_) => shared.last(),
        };
        let preferred = affinity.and_then(|segment| candidate_pool::preferred(pool, segment.id.0, weights));
        let holders = self.holders(hash, weights, shared, pool);
        WeightsGroup { weights, scope, hash, preferred, uncached_tokens, holders }
    }

    /// The cost of the request at `candidate` alone, and the source of its prefix.
    pub(super) fn evaluate(
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
        let (source, import) = match cached + MIN_IMPORT_TOKENS <= shared_tokens {
            true => self.source(candidate, cached, group, placement, prompt),
            false => (None, Weighed::default()),
        };
        let imported_tokens = source.map_or(0, |source| u64::from(source.cached_tokens - cached));
        let prefill = u64::from(shared_tokens - cached) - imported_tokens;
        let is_preferred = group.preferred.is_none() || group.is_preferred(candidate.id);
        let factor = if is_preferred { 1 } else { DUPLICATE_PREFILL_FACTOR };
        let per_mille = match placement.sample_size {
            Some(_) if !group.is_preferred(candidate.id) => IMPORT_NOT_PREFERRED_PER_MILLE,
            _ => IMPORT_PER_MILLE,
        };
        let import_cost = source.map_or(0, |_| match placement.transfers {
            Some(rates) if import.verdict == Verdict::Pays => {
                let eviction = imported_tokens * (per_mille - IMPORT_PER_MILLE) / 1_000;
                rates.tokens_in(import.occupies) + eviction
            }
            _ => IMPORT_FIXED_TOKENS + imported_tokens * per_mille / 1_000,
        });
        let save = self.weigh_store(candidate, group.uncached_tokens, placement);
        let fetch = self.weigh_store(candidate, shared_tokens - cached, placement);
        let store = placement.store;
        Choice {
            is_continuation: false,
            intermediary: None,
            backend: candidate.id.clone(),
            address: candidate.address,
            scope: Some(group.scope.clone()),
            // Feeds lag: the store may hold segments not yet reported as cached, and a miss costs next to
            // nothing.
            import_from: source.map(|source| source.address).or(store
                .filter(|_| cached < shared_tokens && fetch.verdict.is_allowed())
                .map(|store| store.address)),
            import_source: source.map(|source| source.kind),
            save_to: store.filter(|_| group.uncached_tokens > 0 && save.verdict.is_allowed()).cloned(),
            copy_to: None,
            transfers: RequestTransfers { import, save, copy: Weighed::default() },
            expected_tokens: unshared + prefill + import_cost,
            cached_tokens: cached,
            uncached_tokens: group.uncached_tokens,
            last_shared_segment: shared.last().map(|segment| segment.id),
            is_preferred: group.is_preferred(candidate.id),
            cost: unshared + prefill * factor + import_cost,
            eligible: 0,
            workload: EngineWorkload::default(),
            work: RequestWork::default(),
            forecast: None,
        }
    }

    /// Weighs a transfer of `tokens` between a back end and the cache store of the request.
    pub(super) fn weigh_store(
        &self,
        candidate: &Candidate<'_>,
        tokens: u32,
        placement: Placement<'_>,
    ) -> Weighed {
        let (Some(rates), Some(store)) = (placement.transfers, placement.store) else {
            return Weighed::default();
        };
        if tokens == 0 {
            return Weighed::default();
        }
        let queued = self.links.queued([candidate.address, store.address], placement.now);
        rates.with_store(tokens, candidate.zone, queued)
    }
}
