//! The back ends among which a choice is made.
//!
//! A pool may have thousands of back ends of which a request evaluates a few, so candidates are described
//! only on demand.

use paddlemount_protocol::identity::{WeightsVersion, ZoneId};

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

/// The number of back ends described for each one of a sample by zone: bounds the time of a choice where few
/// are eligible.
const MAX_DRAWS_PER_CANDIDATE: usize = 8;

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

/// Draws a sample of eligible back ends.
fn draw_sample(pool: &dyn CandidatePool, seed: u64, sample_size: usize) -> Vec<Candidate<'_>> {
    let drawn = drawn_order(pool.len(), seed).filter_map(|index| pool.candidate(index));
    drawn.filter(|candidate| candidate.eligible).take(sample_size).collect()
}

/// Draws up to `sample_size` eligible back ends in `zone`, and as many in others.
pub(super) fn draw_by_zone<'a>(
    pool: &'a dyn CandidatePool,
    seed: u64,
    sample_size: usize,
    zone: &ZoneId,
) -> Vec<Candidate<'a>> {
    let (mut own, mut others) = (Vec::new(), Vec::new());
    let drawn = drawn_order(pool.len(), seed).take(sample_size * MAX_DRAWS_PER_CANDIDATE);
    for candidate in drawn.filter_map(|index| pool.candidate(index)).filter(|candidate| candidate.eligible) {
        let list = if candidate.zone == zone { &mut own } else { &mut others };
        if list.len() < sample_size {
            list.push(candidate);
        }
        if own.len() == sample_size && others.len() == sample_size {
            break;
        }
    }
    own.extend(others);
    own
}

/// All indices of a pool in a drawn order, by a stride that visits each once.
fn drawn_order(count: usize, seed: u64) -> impl Iterator<Item = usize> {
    let size = count.max(1);
    let start = (rank_for(seed, 0) % size as u64) as usize;
    let seeded_stride = (rank_for(seed, 1) % size as u64) as usize;
    let strides = std::iter::once(seeded_stride.max(1)).chain(STRIDES);
    let stride = strides.map(|stride| stride % size).find(|stride| coprime(*stride, size)).unwrap_or(1);
    (0..count).map(move |step| (start + step * stride) % size)
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
    preferred_within(pool, key, weights, u64::MAX).next()
}

/// The preferred back ends for a segment among those of a rank up to `max_rank`, best first.
pub(super) fn preferred_within(
    pool: &dyn CandidatePool,
    key: u64,
    weights: WeightsVersion,
    max_rank: u64,
) -> impl Iterator<Item = Candidate<'_>> {
    let mut top: Vec<(u64, usize)> = Vec::with_capacity(MAX_PREFERRED_CANDIDATES + 1);
    for index in 0..pool.len() {
        let rank = pool.rank(index);
        let entry = (rank_for(rank, key), index);
        let is_worse = top.len() == MAX_PREFERRED_CANDIDATES && top.last().is_some_and(|last| *last >= entry);
        if rank > max_rank || is_worse {
            continue;
        }
        let place = top.partition_point(|known| *known > entry);
        top.insert(place, entry);
        top.truncate(MAX_PREFERRED_CANDIDATES);
    }
    top.into_iter()
        .filter_map(|(_, index)| pool.candidate(index))
        .filter(move |candidate| candidate.eligible && candidate.weights == Some(weights))
}
