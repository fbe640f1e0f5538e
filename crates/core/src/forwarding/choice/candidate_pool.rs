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
const LOOKED_AT_FOR_A_HOME: usize = 16;
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
pub(super) fn weighed<'a>(field: &'a dyn CandidatePool, placement: Placement<'_>) -> Vec<Candidate<'a>> {
    let number = field.len();
    match placement.sample_size {
        Some(considered) if considered < number => drawn(field, placement.seed, considered),
        _ => (0..number).filter_map(|index| field.candidate(index)).collect(),
    }
}

/// Draws fit back ends: steps through all from a drawn one on, by a stride that meets each once.
fn drawn(field: &dyn CandidatePool, draw: u64, considered: usize) -> Vec<Candidate<'_>> {
    let number = field.len();
    let first = (rank_for(draw, 0) % number as u64) as usize;
    let drawn_stride = (rank_for(draw, 1) % number as u64) as usize;
    let strides = std::iter::once(drawn_stride.max(1)).chain(STRIDES);
    let stride = strides.map(|stride| stride % number).find(|stride| coprime(*stride, number)).unwrap_or(1);
    let order = (0..number).map(|step| (first + step * stride) % number);
    order
        .filter_map(|index| field.candidate(index))
        .filter(|candidate| candidate.eligible)
        .take(considered)
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
pub(super) fn home(
    field: &dyn CandidatePool,
    subject: u64,
    weights: WeightsVersion,
) -> Option<Candidate<'_>> {
    let mut first: Vec<(u64, usize)> = Vec::with_capacity(LOOKED_AT_FOR_A_HOME + 1);
    for index in 0..field.len() {
        let entry = (rank_for(field.rank(index), subject), index);
        if first.len() == LOOKED_AT_FOR_A_HOME && first.last().is_some_and(|last| *last >= entry) {
            continue;
        }
        let place = first.partition_point(|known| *known > entry);
        first.insert(place, entry);
        first.truncate(LOOKED_AT_FOR_A_HOME);
    }
    first
        .into_iter()
        .filter_map(|(_, index)| field.candidate(index))
        .find(|candidate| candidate.eligible && candidate.weights == Some(weights))
}
