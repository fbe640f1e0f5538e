//! The back ends among which a choice is made.
//!
//! A pool may have thousands of back ends of which a request evaluates a few, so candidates are described
//! only on demand.

use paddlemount_protocol::identity::WeightsVersion;

use super::{Candidate, Placement};
use crate::forwarding::{
    backends::BackendId,
    ranks::{rank, rank_for},
};

/// The number of top-ranked back ends considered as the preferred one of a segment, since the first may be
/// ineligible.
const MAX_PREFERRED_CANDIDATES: usize = 16;
/// Strides tried if the seeded stride is not coprime to the pool size, and so would not visit every back end:
/// three primes, and one that always works.
const STRIDES: [usize; 4] = [7_919, 104_729, 15_485_863, 1];

/// The back ends of a pool, described on demand.
pub trait CandidatePool {
    /// The number of back ends.
    fn len(&self) -> usize;

    /// Whether the pool is empty.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The rank of the back end at `index`.
    fn rank(&self, index: usize) -> u64;

    /// The back end at `index`.
    fn candidate(&self, index: usize) -> Option<Candidate<'_>>;

    /// The back end with this identity, if it belongs to the pool.
    fn find(&self, id: &BackendId) -> Option<Candidate<'_>>;
}

impl CandidatePool for Vec<Candidate<'_>> {
    fn len(&self) -> usize {
        Self::len(self)
    }

    fn rank(&self, index: usize) -> u64 {
        self.get(index).map_or(0, |candidate| rank(candidate.id))
    }

    fn candidate(&self, index: usize) -> Option<Candidate<'_>> {
        self.get(index).cloned()
    }

    fn find(&self, id: &BackendId) -> Option<Candidate<'_>> {
        self.iter().find(|candidate| candidate.id == id).cloned()
    }
}

/// The back ends that a request evaluates: all of them, or a sample of eligible ones of the requested size.
pub(super) fn sample<'a>(pool: &'a dyn CandidatePool, placement: Placement<'_>) -> Vec<Candidate<'a>> {
    let count = pool.len();
    match placement.sample_size {
        Some(sample_size) if sample_size < count => draw_sample(pool, placement.seed, sample_size),
        _ => (0..count).filter_map(|index| pool.candidate(index)).collect(),
    }
}

/// Draws a sample of eligible back ends, by a stride that visits each back end once.
fn draw_sample(pool: &dyn CandidatePool, seed: u64, sample_size: usize) -> Vec<Candidate<'_>> {
    let count = pool.len();
    let start = (rank_for(seed, 0) % count as u64) as usize;
    let seeded_stride = (rank_for(seed, 1) % count as u64) as usize;
    let strides = std::iter::once(seeded_stride.max(1)).chain(STRIDES);
    let stride = strides.map(|stride| stride % count).find(|stride| coprime(*stride, count)).unwrap_or(1);
    let order = (0..count).map(|step| (start + step * stride) % count);
    order
        .filter_map(|index| pool.candidate(index))
        .filter(|candidate| candidate.eligible)
        .take(sample_size)
        .collect()
}

const fn coprime(mut left: usize, mut right: usize) -> bool {
    while right != 0 {
        (left, right) = (right, left % right);
    }
    left == 1
}

/// The preferred back end for a segment: the highest ranked eligible one with these weights. All nodes
/// compute the same one from the same list (rendezvous hashing).
pub(super) fn preferred(
    pool: &dyn CandidatePool,
    key: u64,
    weights: WeightsVersion,
) -> Option<Candidate<'_>> {
    let mut top: Vec<(u64, usize)> = Vec::with_capacity(MAX_PREFERRED_CANDIDATES + 1);
    for index in 0..pool.len() {
        let entry = (rank_for(pool.rank(index), key), index);
        if top.len() == MAX_PREFERRED_CANDIDATES && top.last().is_some_and(|last| *last >= entry) {
            continue;
        }
        let place = top.partition_point(|known| *known > entry);
        top.insert(place, entry);
        top.truncate(MAX_PREFERRED_CANDIDATES);
    }
    top.into_iter()
        .filter_map(|(_, index)| pool.candidate(index))
        .find(|candidate| candidate.eligible && candidate.weights == Some(weights))
}
