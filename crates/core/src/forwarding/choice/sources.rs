//! The source to import a prefix from, and the back end that receives a copy of a run.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use paddlemount_protocol::identity::{WeightsVersion, ZoneId};

use super::{
    Candidate, CandidatePool, Choice, Chooser, CopyHolder, Placement, SourceKind, prompts::WeightsGroup, tie,
};
use crate::forwarding::{
    prefixes::ScopeHash,
    prompt::{Prompt, Segment},
    transfers::{TransferRates, Weighed},
};

/// The minimum number of tokens to import: engines cache segments in blocks of this size.
pub(super) const MIN_IMPORT_TOKENS: u32 = 16;

/// The maximum number of back ends considered as sources: the first segments of many prompts are cached
/// nearly everywhere.
const MAX_HOLDERS: usize = 64;

/// A back end with some of a prefix cached.
pub(super) struct Holder<'a> {
    pub(super) candidate: Candidate<'a>,
    /// Tokens of the prefix that it has cached.
    pub(super) cached_tokens: u32,
    /// This node's requests in flight there.
    pub(super) requests: u32,
}

/// A source that a prefix may be imported from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    pub(super) address: SocketAddr,
    /// Tokens of the prefix that it has cached.
    pub(super) cached_tokens: u32,
    pub(super) kind: SourceKind,
    pub(super) transfer: Weighed,
}

impl Chooser {
    /// The back end that receives a copy: the one with the fewest requests among those with the same weights and
    /// software.
    pub(super) fn copy_holder(
        &self,
        choice: &Choice,
        placement: Placement<'_>,
        candidates: &[Candidate<'_>],
    ) -> (Option<CopyHolder>, Weighed) {
        let weights = choice.scope.as_ref().map(|scope| scope.weights);
        let chosen = candidates.iter().find(|candidate| *candidate.id == choice.backend);
        let software = chosen.and_then(|chosen| chosen.software);
        let others = candidates
            .iter()
            .filter(|other| other.eligible && *other.id != choice.backend && other.weights == weights)
            .filter(|other| other.software == software);
        let order = |other: &&Candidate<'_>| {
            let requests = self.load(other.id).requests;
            (other.zone != placement.zone, requests, tie(other.id, placement.seed))
        };
        let Some(other) = others.min_by_key(order) else { return (None, Weighed::default()) };
        let weighed = match (placement.transfers, placement.prompt) {
            (Some(rates), Some(prompt)) => {
                let crosses_zones = chosen.is_some_and(|chosen| chosen.zone != other.zone);
                let queued = self.links.queued([choice.address, other.address], placement.now);
                rates.copy(prompt, crosses_zones, queued)
            }
            _ => Weighed::default(),
        };
        let holder = CopyHolder { backend: other.id.clone(), address: other.address };
        (weighed.verdict.is_allowed().then_some(holder), weighed)
    }

    /// The back ends with some of a prefix cached under these weights, ordered by identity.
    pub(super) fn holders<'a>(
        &self,
        hash: ScopeHash,
        weights: WeightsVersion,
        shared: &[Segment],
        pool: &'a dyn CandidatePool,
    ) -> Vec<Holder<'a>> {
        let ids = self.prefixes.holders(hash, shared, MAX_HOLDERS);
        let mut holders: Vec<Holder<'a>> = ids
            .into_iter()
            .filter_map(|id| pool.find(id))
            .filter(|candidate| candidate.weights == Some(weights))
            .map(|candidate| Holder {
                cached_tokens: self.prefixes.cached_tokens(candidate.id, hash, shared),
                requests: self.load(candidate.id).requests,
                candidate,
            })
            .collect();
        holders.sort_unstable_by(|left, right| left.candidate.id.cmp(right.candidate.id));
        holders
    }

    /// The source to import from in case a back end that is believed to have the prefix cached does not;
    /// if it does, nothing is transferred. With many nodes, this node's information on engines is
    /// outdated, while the store evicts segments much later than engines do, so the store is used. There is
    /// none if the engine prefills the prefix faster than it fetches it.
    pub(super) fn fallback_source(
        choice: &Choice,
        zone: &ZoneId,
        placement: Placement<'_>,
        group: &WeightsGroup<'_>,
    ) -> Option<SocketAddr> {
        if choice.cached_tokens < MIN_IMPORT_TOKENS {
            return None;
        }
        let rates = placement.transfers;
        let weighed = |weigh: &dyn Fn(&TransferRates<'_>) -> Weighed| {
            rates.as_ref().is_none_or(|rates| weigh(rates).verdict.is_allowed())
        };
        let pays_from_store = weighed(&|rates| rates.with_store(choice.cached_tokens, zone, Duration::ZERO));
        let store = placement.store.filter(|_| pays_from_store);
        if let Some(store) = store.filter(|_| placement.sample_size.is_some()) {
            return Some(store.address);
        }
        let has_prefix = |other: &&Holder<'_>| {
            let crosses_zones = other.candidate.zone != zone;
            *other.candidate.id != choice.backend
                && other.cached_tokens >= choice.cached_tokens
                && weighed(&|rates| {
                    rates.import_from_engine(choice.cached_tokens, crosses_zones, Duration::ZERO)
                })
        };
        let other = group
            .holders
            .iter()
            .filter(has_prefix)
            .map(|holder| &holder.candidate)
            .min_by_key(|other| (other.zone != placement.zone, tie(other.id, placement.seed)));
        other.map(|other| other.address).or(store.map(|store| store.address))
    }

    /// The back end or store with most of the prefix cached under the same weights. With many nodes, the
    /// store wins ties, as in [`Self::fallback_source`], unless answers from stores begin later. A source from
    /// which the transfer takes longer than prefilling is passed over; the second value says why, if none is
    /// left.
    pub(super) fn source(
        &self,
        candidate: &Candidate<'_>,
        cached: u32,
        group: &WeightsGroup<'_>,
        placement: Placement<'_>,
        prompt: &Prompt,
    ) -> (Option<Source>, Weighed) {
        let others = group.holders.iter().filter(|other| other.candidate.id != candidate.id);
        let best = others
            .max_by_key(|other| {
                let same_zone = other.candidate.zone == candidate.zone;
                (other.cached_tokens, other.candidate.eligible, same_zone, Reverse(other.requests))
            })
            .filter(|other| other.cached_tokens >= cached + MIN_IMPORT_TOKENS)
            .map(|other| Source {
                address: other.candidate.address,
                cached_tokens: other.cached_tokens,
                kind: SourceKind::Engine,
                transfer: self.weigh_import(candidate, other, cached, placement),
            });
        let from_store = placement.store.and_then(|store| {
            let stored = self.prefixes.cached_tokens(&store.id, group.hash, prompt.shared());
            (stored >= cached + MIN_IMPORT_TOKENS).then(|| Source {
                address: store.address,
                cached_tokens: stored,
                kind: SourceKind::Store,
                transfer: self.weigh_store(candidate, stored - cached, placement),
            })
        });
        let passed_over = best.or(from_store).map_or(Weighed::default(), |source| source.transfer);
        let pays = |source: &Source| source.transfer.verdict.is_allowed();
        let (best, from_store) = (best.filter(pays), from_store.filter(pays));
        let prefers_store =
            placement.sample_size.is_some() && self.source_times.prefers_store(placement.seed);
        let source = match (best, from_store) {
            (Some(best), Some(from_store)) if from_store.cached_tokens > best.cached_tokens => {
                Some(from_store)
            }
            (Some(best), Some(from_store))
                if from_store.cached_tokens == best.cached_tokens && prefers_store =>
            {
                Some(from_store)
            }
            (None, from_store) => from_store,
            (best, _) => best,
        };
        (source, source.map_or(passed_over, |source| source.transfer))
    }

    /// Weighs an import of what another back end has cached beyond `cached` tokens.
    fn weigh_import(
        &self,
        candidate: &Candidate<'_>,
        other: &Holder<'_>,
        cached: u32,
        placement: Placement<'_>,
    ) -> Weighed {
        let Some(rates) = placement.transfers else { return Weighed::default() };
        let queued = self.links.queued([candidate.address, other.candidate.address], placement.now);
        let crosses_zones = candidate.zone != other.candidate.zone;
        rates.import_from_engine(other.cached_tokens.saturating_sub(cached), crosses_zones, queued)
    }
}
