//! Whom to import a prefix from, and who gets a copy of a run.

use std::{cmp::Reverse, net::SocketAddr};

use paddlemount_protocol::identity::WeightsVersion;

use super::{
    Candidate, CandidatePool, Choice, Chooser, CopyHolder, Placement, SourceKind, prompts::WeightsGroup, tie,
};
use crate::forwarding::{
    prefixes::ScopeHash,
    prompt::{Prompt, Segment},
};

/// Tokens of a part below which an import doesn't pay: engines keep parts by blocks of this size.
pub(super) const MIN_IMPORT_TOKENS: u32 = 16;

/// Back ends that are looked at as sources of a prefix: the first parts of many prompts are kept nearly everywhere.
const MAX_HOLDERS: usize = 64;

/// A back end that keeps some of a prefix.
pub(super) struct Holder<'a> {
    /// The back end.
    pub(super) candidate: Candidate<'a>,
    /// Tokens of the prefix that it keeps.
    pub(super) cached_tokens: u32,
    /// Requests of this node under way there.
    pub(super) requests: u32,
}

/// Whom a prefix may be imported from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Tokens of the prefix that it keeps.
    pub(super) cached_tokens: u32,
    /// What it is.
    pub(super) kind: SourceKind,
}

impl Chooser {
    /// Who gets a copy: the back end with the least under way among those with the same weights.
    pub(super) fn copy_holder(
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
            (other.zone != placement.zone, requests, tie(other.id, placement.seed))
        };
        others.min_by_key(order).map(|other| CopyHolder { backend: other.id.clone(), address: other.address })
    }

    /// Who keeps some of a prefix under these weights, in the order of their identities.
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

    /// Whom to name where the back end is believed to keep the whole prefix itself: that may be wrong, and where it is
    /// right nothing is moved. Where nodes are many, what a node believes of engines is old, and the store drops parts
    /// much later than engines do; few nodes know the engines, whose links are more than the store's.
    pub(super) fn fallback_source(
        choice: &Choice,
        placement: Placement<'_>,
        group: &WeightsGroup<'_>,
    ) -> Option<SocketAddr> {
        if choice.cached_tokens < MIN_IMPORT_TOKENS {
            return None;
        }
        if let Some(store) = placement.store.filter(|_| placement.sample_size.is_some()) {
            return Some(store.address);
        }
        let has_prefix = |other: &&Holder<'_>| {
            *other.candidate.id != choice.backend && other.cached_tokens >= choice.cached_tokens
        };
        let other = group
            .holders
            .iter()
            .filter(has_prefix)
            .map(|holder| &holder.candidate)
            .min_by_key(|other| (other.zone != placement.zone, tie(other.id, placement.seed)));
        other.map(|other| other.address).or(placement.store.map(|store| store.address))
    }

    /// Who keeps most of the prefix under the same weights: another back end or the store. Where nodes are many the store
    /// comes first, as in [`Self::source_in_reserve`], unless answers that wait for stores begin later.
    pub(super) fn source(
        &self,
        candidate: &Candidate<'_>,
        group: &WeightsGroup<'_>,
        placement: Placement<'_>,
        prompt: &Prompt,
    ) -> Option<Source> {
        let others = group.holders.iter().filter(|other| other.candidate.id != candidate.id);
        let best = others
            .max_by_key(|other| {
                let same_zone = other.candidate.zone == candidate.zone;
                (other.cached_tokens, other.candidate.eligible, same_zone, Reverse(other.requests))
            })
            .map(|other| Source {
                address: other.candidate.address,
                cached_tokens: other.cached_tokens,
                kind: SourceKind::Engine,
            });
        let from_store = placement.store.map(|store| Source {
            address: store.address,
            cached_tokens: self.prefixes.cached_tokens(&store.id, group.hash, prompt.shared()),
            kind: SourceKind::Store,
        });
        let prefers_store =
            placement.sample_size.is_some() && self.source_times.prefers_store(placement.seed);
        match (best, from_store) {
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
        }
    }
}
