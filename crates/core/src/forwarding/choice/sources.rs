//! Whom to import a prefix from, and who gets a copy of a run.

use std::{cmp::Reverse, net::SocketAddr};

use super::{Candidate, Choice, Chooser, CopyHolder, Placement, prompts::Group, tie};
use crate::forwarding::{backends::BackendId, prefixes::ScopeHash, prompt::Prompt};

/// Tokens of a part below which an import doesn't pay: engines keep parts by blocks of this size.
pub(super) const IMPORT_MINIMUM_TOKENS: u32 = 16;

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
            (other.avoided, other.zone != placement.zone, requests, tie(other.id, placement.draw))
        };
        others.min_by_key(order).map(|other| CopyHolder { backend: other.id.clone(), address: other.address })
    }

    /// Whom to name where the back end is believed to keep the whole prefix itself: that may be wrong, and where it is
    /// right nothing is moved. Where nodes are many, what a node believes of engines is old, and the store drops parts
    /// much later than engines do; few nodes know the engines, whose links are more than the store's.
    pub(super) fn source_in_reserve(
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
        if let Some(store) = placement.store.filter(|_| placement.considered.is_some()) {
            return Some(store.address);
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

    /// Who keeps most of the prefix under the same weights: another back end or the store. Where nodes are many the store
    /// comes first, as in [`Self::source_in_reserve`].
    pub(super) fn source(
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
        let stored = placement.store.map(|store| (store.address, kept(&store.id)));
        match (best, stored) {
            (Some(best), Some(stored)) if stored.1 > best.1 => Some(stored),
            (Some(best), Some(stored)) if stored.1 == best.1 && placement.considered.is_some() => {
                Some(stored)
            }
            (None, stored) => stored,
            (best, _) => best,
        }
    }
}
