//! The back ends among which a choice is made, looked at one by one as the choice needs them.
//!
//! A pool may have thousands of back ends of which a request weighs a few: only these are described.

use paddlemount_protocol::identity::WeightsVersion;

use super::{Candidate, Placement};
use crate::forwarding::{
    backends::BackendId,
    ranks::{rank, rank_for},
};

/// The highest ranked back ends that are looked at for the home of a part: the others may be unfit.
const MAX_PREFERRED_CANDIDATES: usize = 16;
/// Strides by which back ends are drawn where the stride drawn for a request shares a divisor with their number, so that it
/// would not meet each of them: three primes, and one that always does.
const STRIDES: [usize; 4] = [7_919, 104_729, 15_485_863, 1];

/// The back ends of a pool.
pub trait CandidatePool {
    /// The number of back ends.
    fn len(&self) -> usize;

    /// Whether there is none.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The rank of one of them, by its number.
    fn rank(&self, index: usize) -> u64;

    /// One of them, described.
    fn candidate(&self, index: usize) -> Option<Candidate<'_>>;

    /// The one with this identity, described, if it is among them.
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

/// The back ends that a request weighs: all, or as many fit ones as its placement says, drawn for the request.
pub(super) fn sample<'a>(pool: &'a dyn CandidatePool, placement: Placement<'_>) -> Vec<Candidate<'a>> {
    let count = pool.len();
    match placement.sample_size {
        Some(sample_size) if sample_size < count => draw_sample(pool, placement.seed, sample_size),
        _ => (0..count).filter_map(|index| pool.candidate(index)).collect(),
    }
}

/// Draws fit back ends: steps through all from a drawn one on, by a stride that meets each once.
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

/// The back end where a part is read first: the highest ranked for it among the fit ones with these weights. All nodes
/// find the same one from the same list (rendezvous hashing).
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
