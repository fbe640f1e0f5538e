//! Start-time fair queueing between tenants, with priorities within a tenant.
//!
//! A tenant's virtual start advances by `cost / weight` with each request that it dispatches; the tenant with
//! the lowest virtual start goes next. While two tenants both have requests waiting, their service per unit
//! of weight differs by at most the sum of their largest cost per unit of weight. A tenant gets no credit for
//! idle time.
//!
//! Priorities order the requests of one tenant only: otherwise a tenant that marks all requests as high would
//! take the shares of others. Low priority also applies between tenants, as it only yields.

use std::collections::{BTreeMap, VecDeque};

use paddlemount_protocol::{
    engine::Priority,
    identity::{RequestId, TenantId},
    time::Timestamp,
};

/// Virtual time per unit of cost for a tenant of weight 1.
const VIRTUAL_SCALE: u64 = 1_000;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    pub ticket: RequestId,
    /// Its urgency among all tenants' requests, 0 being the highest.
    pub rank: u8,
    /// Its priority among the tenant's requests.
    pub priority: Priority,
    /// Batch slots that it holds while it runs.
    pub slots: u32,
    /// Its place among the tenant's requests of equal priority, the earliest first.
    pub due: Timestamp,
    /// Estimated cost in milliseconds of one batch slot.
    pub cost: u32,
    pub arrived: Timestamp,
    /// Time after which it is refused.
    pub latest_start: Timestamp,
    /// Whether `latest_start` derives from the caller's deadline instead of the maximum wait.
    pub by_deadline: bool,
    /// When it may still start late; `None` if it is refused instead.
    pub late: Option<LateStart>,
}

/// The time in which a request may start although its first event will be late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateStart {
    /// Before this the request is refused instead, as its caller can still come back in time.
    pub from: Timestamp,
    /// After this the request is refused.
    pub until: Timestamp,
}

impl LateStart {
    /// Whether a request that cannot start in time goes on waiting at `now`.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.from <= now && now <= self.until
    }
}

/// A request outside the queue: not yet in it, or taken out without starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removed {
    pub tenant: TenantId,
    pub weight: u32,
    pub request: Waiting,
}

/// A waiting request and its place.
#[derive(Clone, Copy, Debug)]
pub struct Position<'a> {
    pub tenant: &'a TenantId,
    pub weight: u32,
    pub request: &'a Waiting,
    /// Requests of the tenant that run before it.
    pub ahead: usize,
}

#[derive(Clone, Debug)]
struct TenantQueue {
    weight: u32,
    virtual_start: u64,
    /// Indexed by priority, the lowest first.
    waiting: [VecDeque<Waiting>; 3],
}

impl TenantQueue {
    fn new(weight: u32, virtual_start: u64) -> Self {
        Self { weight: weight.max(1), virtual_start, waiting: Default::default() }
    }

    fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    fn only_low(&self) -> bool {
        self.waiting[1].is_empty() && self.waiting[2].is_empty()
    }
}

/// The waiting requests of a tenant per unit of its weight.
fn load(waiting: usize, weight: u32) -> f64 {
    waiting as f64 / f64::from(weight.max(1))
}

const fn class(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
    }
}

/// The queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// Tenants with waiting requests, and those whose virtual start is ahead of the virtual time.
    tenants: BTreeMap<TenantId, TenantQueue>,
    virtual_time: u64,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is waiting.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of `tenant`.
    pub fn len_of(&self, tenant: &TenantId) -> usize {
        self.tenants.get(tenant).map_or(0, TenantQueue::len)
    }

    /// Returns the tenants with waiting requests as name, weight and number of requests.
    pub fn backlogs(&self) -> impl Iterator<Item = (&TenantId, u32, usize)> {
        self.tenants
            .iter()
            .map(|(tenant, queue)| (tenant, queue.weight, queue.len()))
            .filter(|(_, _, waiting)| *waiting > 0)
    }

    /// Returns the weight of `tenant`, 1 if it is unknown.
    pub fn weight_of(&self, tenant: &TenantId) -> u32 {
        self.tenants.get(tenant).map_or(1, |queue| queue.weight)
    }

    /// Adds a request.
    pub fn push(&mut self, tenant: &TenantId, weight: u32, request: Waiting) {
        let virtual_time = self.virtual_time;
        let queue =
            self.tenants.entry(tenant.clone()).or_insert_with(|| TenantQueue::new(weight, virtual_time));
        if queue.len() == 0 {
            queue.virtual_start = queue.virtual_start.max(virtual_time);
        }
        queue.weight = weight.max(1);
        let class = &mut queue.waiting[class(request.priority)];
        let position = class.partition_point(|waiting| waiting.due <= request.due);
        class.insert(position, request);
        self.len += 1;
    }

    /// Removes and returns the next request among the tenants for which `may_run` holds.
    pub fn pop(&mut self, may_run: impl Fn(&TenantId, u32) -> bool) -> Option<(TenantId, Waiting)> {
        let candidates = self.tenants.iter().filter(|(_, queue)| queue.len() > 0);
        let allowed = candidates.filter(|(tenant, queue)| may_run(tenant, queue.weight));
        let next = allowed.min_by_key(|(_, queue)| (queue.only_low(), queue.virtual_start));
        let tenant = next.map(|(tenant, _)| tenant.clone())?;
        let queue = self.tenants.get_mut(&tenant)?;
        let request = queue.waiting.iter_mut().rev().find_map(VecDeque::pop_front)?;
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        queue.virtual_start += u64::from(request.cost.max(1)) * VIRTUAL_SCALE / u64::from(queue.weight);
        self.len -= 1;
        self.forget_idle();
        Some((tenant, request))
    }

    /// Removes an abandoned request.
    pub fn remove(&mut self, ticket: &RequestId) -> Option<Removed> {
        let removed = self.tenants.iter_mut().find_map(|(tenant, queue)| {
            let request = queue.waiting.iter_mut().find_map(|class| {
                let position = class.iter().position(|waiting| waiting.ticket == *ticket)?;
                class.remove(position)
            })?;
            Some(Removed { tenant: tenant.clone(), weight: queue.weight, request })
        });
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// Removes the newest request of the tenant with the most waiting requests per weight, if that is more
    /// than `tenant` would have with one more.
    pub fn evict_for(&mut self, tenant: &TenantId, weight: u32) -> Option<Waiting> {
        let (_, queue) = self.fullest()?;
        if load(queue.len(), queue.weight) <= load(self.len_of(tenant) + 1, weight) {
            return None;
        }
        self.evict_fullest()
    }

    /// Removes the newest request of the tenant with the most waiting requests per weight.
    pub fn evict_fullest(&mut self) -> Option<Waiting> {
        let victim = self.fullest()?.0.clone();
        let removed = self.tenants.get_mut(&victim)?.waiting.iter_mut().find_map(VecDeque::pop_back);
        self.len -= usize::from(removed.is_some());
        removed
    }

    fn fullest(&self) -> Option<(&TenantId, &TenantQueue)> {
        let waiting = self.tenants.iter().filter(|(_, queue)| queue.len() > 0);
        waiting.max_by(|(_, left), (_, right)| {
            load(left.len(), left.weight).total_cmp(&load(right.len(), right.weight))
        })
    }

    /// The waiting requests, each with its place in its tenant's order.
    pub fn positions(&self) -> impl Iterator<Item = Position<'_>> {
        self.tenants.iter().flat_map(|(tenant, queue)| {
            let ordered = queue.waiting.iter().rev().flatten().enumerate();
            let weight = queue.weight;
            ordered.map(move |(ahead, request)| Position { tenant, weight, request, ahead })
        })
    }

    /// Removes all requests that can no longer start in time.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Removed> {
        let mut expired = Vec::new();
        for (tenant, queue) in &mut self.tenants {
            let weight = queue.weight;
            for class in &mut queue.waiting {
                if class.iter().all(|waiting| waiting.latest_start >= now) {
                    continue;
                }
                let (late, in_time): (VecDeque<_>, _) =
                    class.drain(..).partition(|waiting: &Waiting| waiting.latest_start < now);
                *class = in_time;
                let removed = |request| Removed { tenant: tenant.clone(), weight, request };
                expired.extend(late.into_iter().map(removed));
            }
        }
        self.len -= expired.len();
        expired
    }

    /// Returns when the next request expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let queues = self.tenants.values().flat_map(|queue| &queue.waiting);
        queues.flatten().map(|waiting| waiting.latest_start).min()
    }

    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.tenants.retain(|_, queue| queue.len() > 0 || queue.virtual_start > virtual_time);
    }
}
