//! Fair queues of one pool, one for each rank of urgency.
//!
//! A more urgent rank goes first. A rank that is passed over still gets one in [`FLOOR_INTERVAL`] starts, so
//! that steady urgent load does not starve it. Requests that will be late are no rank in this sense: they start
//! only when none waits that can be in time.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    identity::{RequestId, TenantId},
    time::Timestamp,
};

use super::queue::{FairQueue, Position, Removed, Waiting};

/// Starts of more urgent ranks after which a waiting rank gets one: 5 % keep a class from starving, and delay
/// urgent requests by less than one request in twenty.
pub const FLOOR_INTERVAL: u32 = 20;

/// The first rank of requests that will be late. They wait behind all that can be in time, in the order of
/// their original ranks.
pub const FIRST_LATE_RANK: u8 = 128;

/// The rank in which a request of `rank` waits once it will be late.
pub fn late_rank(rank: u8) -> u8 {
    rank.saturating_add(FIRST_LATE_RANK)
}

/// Whether requests of a rank will be late.
pub const fn is_late_rank(rank: u8) -> bool {
    rank >= FIRST_LATE_RANK
}

/// The queue of one rank.
#[derive(Clone, Debug, Default)]
struct RankQueue {
    queue: FairQueue,
    /// Starts of more urgent ranks since this rank last had one, while it had requests waiting.
    passed_over: u32,
}

/// The queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct RankedQueue {
    by_rank: BTreeMap<u8, RankQueue>,
}

impl RankedQueue {
    /// A queue without requests.
    pub const fn new() -> Self {
        Self { by_rank: BTreeMap::new() }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues().map(FairQueue::len).sum()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.queues().all(FairQueue::is_empty)
    }

    /// The number of waiting requests that are more urgent than `rank`.
    pub fn len_above(&self, rank: u8) -> usize {
        self.by_rank.range(..rank).map(|(_, entry)| entry.queue.len()).sum()
    }

    /// The queue of a rank, if it has ever had requests.
    pub fn rank(&self, rank: u8) -> Option<&FairQueue> {
        self.by_rank.get(&rank).map(|entry| &entry.queue)
    }

    /// The number of waiting requests of `tenant`.
    pub fn len_of(&self, tenant: &TenantId) -> usize {
        self.queues().map(|queue| queue.len_of(tenant)).sum()
    }

    /// The tenants with waiting requests as name, weight and number of requests, once for each rank.
    pub fn backlogs(&self) -> impl Iterator<Item = (&TenantId, u32, usize)> {
        self.queues().flat_map(FairQueue::backlogs)
    }

    /// Adds a request.
    pub fn push(&mut self, tenant: &TenantId, weight: u32, request: Waiting) {
        self.by_rank.entry(request.rank).or_default().queue.push(tenant, weight, request);
    }

    /// Removes and returns the next request among the tenants for which `may_run` holds.
    pub fn pop(&mut self, may_run: impl Fn(&TenantId, u32) -> bool) -> Option<(TenantId, Waiting)> {
        let is_due = |entry: &RankQueue| entry.passed_over >= FLOOR_INTERVAL && !entry.queue.is_empty();
        let due = self.by_rank.iter().filter(|(_, entry)| is_due(entry)).map(|(rank, _)| *rank);
        let order: Vec<u8> = due.chain(self.by_rank.keys().copied()).collect();
        for rank in order {
            let Some(entry) = self.by_rank.get_mut(&rank) else { continue };
            if let Some(next) = entry.queue.pop(&may_run) {
                entry.passed_over = 0;
                self.pass_over(rank);
                return Some(next);
            }
        }
        None
    }

    /// Removes an abandoned request.
    pub fn remove(&mut self, ticket: &RequestId) -> Option<Removed> {
        self.queues_mut().find_map(|queue| queue.remove(ticket))
    }

    /// Makes room for a request of `tenant`: removes the newest request of the least urgent rank below
    /// `rank`, or else of the same rank as [`FairQueue::evict_for`] does.
    pub fn evict_for(&mut self, rank: u8, tenant: &TenantId, weight: u32) -> Option<Waiting> {
        let less_urgent = rank.checked_add(1)?;
        let below = self.by_rank.range_mut(less_urgent..).rev();
        let mut evicted = below.map(|(_, entry)| &mut entry.queue);
        if let Some(evicted) = evicted.find_map(FairQueue::evict_fullest) {
            return Some(evicted);
        }
        self.by_rank.get_mut(&rank)?.queue.evict_for(tenant, weight)
    }

    /// Removes all requests that can no longer start in time, each with its tenant and the tenant's weight.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Removed> {
        self.queues_mut().flat_map(|queue| queue.expire(now)).collect()
    }

    /// The waiting requests, each with its place in its tenant's order within its rank.
    pub fn positions(&self) -> impl Iterator<Item = Position<'_>> {
        self.queues().flat_map(FairQueue::positions)
    }

    /// Returns when the next request expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.queues().filter_map(FairQueue::next_expiry).min()
    }

    /// The most urgent rank that has requests waiting.
    pub fn first_rank(&self) -> Option<u8> {
        self.by_rank.iter().find(|(_, entry)| !entry.queue.is_empty()).map(|(rank, _)| *rank)
    }

    /// Counts a start of `rank` for the less urgent ranks that have requests waiting.
    fn pass_over(&mut self, rank: u8) {
        for (other, entry) in self.by_rank.iter_mut().filter(|(other, _)| **other > rank) {
            let waits = !entry.queue.is_empty();
            let counts = waits && !is_late_rank(*other);
            entry.passed_over = if counts { entry.passed_over.saturating_add(1) } else { 0 };
        }
    }

    fn queues(&self) -> impl Iterator<Item = &FairQueue> {
        self.by_rank.values().map(|entry| &entry.queue)
    }

    fn queues_mut(&mut self) -> impl Iterator<Item = &mut FairQueue> {
        self.by_rank.values_mut().map(|entry| &mut entry.queue)
    }
}
