//! Admission control: decides which requests run now, which wait and which are refused immediately.
//!
//! Each pool has a limit on requests in flight, adaptive ([`concurrency`]) or given, and a short queue in order
//! of urgency ([`ranked`]), then fair between tenants ([`queue`]). A request is refused as not run, with a retry hint, as soon as it cannot start in time: on
//! arrival if the predicted wait is too long, or while it waits.

pub mod concurrency;
mod limit;
mod pool;
pub mod queue;
pub mod ranked;
pub mod share;

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    engine::Priority,
    identity::{PoolId, RequestId, TenantId},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use concurrency::{ConcurrencyLimit, ConcurrencySettings};
use limit::PoolLimit;
use pool::{PoolState, Running};
use queue::{LateStart, Removed, Waiting};

/// Settings of [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of requests that wait for one pool.
    pub queue_length: usize,
    /// Maximum time that a request waits at this node.
    pub max_wait: Duration,
    /// Fraction of the limit reserved for tenants below their fair share, from 0.0 to 1.0.
    pub reserved_fraction: f64,
    pub concurrency: ConcurrencySettings,
    /// Whether waiting requests are refused as soon as they are predicted to start too late, instead of when
    /// it is too late.
    pub refuse_early: bool,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_length: 256,
            max_wait: Duration::from_secs(2),
            reserved_fraction: 0.1,
            concurrency: ConcurrencySettings::default(),
            refuse_early: false,
        }
    }
}

/// A request to be admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    pub ticket: RequestId,
    pub pool: PoolId,
    pub tenant: TenantId,
    /// The tenant's weight in a contended pool, relative to others.
    pub weight: u32,
    /// Its urgency among all tenants' requests, 0 being the highest.
    pub rank: u8,
    /// Its priority among the tenant's requests.
    pub priority: Priority,
    /// Batch slots that it holds while it runs, at least 1.
    pub slots: u32,
    /// Estimated cost in milliseconds of one batch slot.
    pub cost: u32,
    /// Predicted time from dispatch to the first token at the best engine.
    pub predicted_start: Duration,
    /// Deadline for the first token, if the caller set one.
    pub deadline: Option<Timestamp>,
    /// Its place among the tenant's requests of equal rank and priority, the earliest first; `None` for the
    /// order of arrival.
    pub due: Option<Timestamp>,
    /// When it may start late, behind all requests that can be in time; `None` if it is refused instead.
    pub late: Option<LateStart>,
}

/// An input to [`Admission::apply`].
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// A pool was added or its size changed.
    Pool {
        pool: PoolId,
        /// Batch slots of its usable engines.
        slots: u32,
        /// Nodes that send requests to it.
        nodes: u32,
    },
    /// A pool was added, or the slots that this node's requests may hold in it changed.
    Limit {
        pool: PoolId,
        slots: u32,
    },
    /// A request arrived.
    Submit(AdmissionRequest),
    FirstToken {
        ticket: RequestId,
        /// Queueing time at the engine: time to the first token without prefill and network delay.
        queueing: Duration,
    },
    /// A running request ended, with any outcome.
    Ended {
        ticket: RequestId,
    },
    /// The caller of a waiting or running request disconnected.
    Cancelled {
        ticket: RequestId,
    },
    Tick,
}

/// An output of [`Admission::apply`].
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionAction {
    /// Send the request to an engine; [`AdmissionEvent::Ended`] must follow.
    Run {
        ticket: RequestId,
        waited: Duration,
        /// The priority to send it with: the requested one, or low if the tenant is far above its even share,
        /// so that the request also queues behind others at the engines.
        priority: Priority,
    },
    /// Refuse the request now.
    Refuse {
        ticket: RequestId,
        /// The refusal; its outcome is "not run".
        refusal: Refusal,
    },
}

/// The state of a pool, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolView {
    /// Maximum batch slots that this node's requests may hold.
    pub limit: u32,
    /// Batch slots that they hold.
    pub in_flight: u32,
    pub waiting: usize,
    /// Batch slots that they release per second while the limit is used up.
    pub slots_per_second: f64,
}

/// Admission control of one node over all pools.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    pools: BTreeMap<PoolId, PoolState>,
    running: BTreeMap<RequestId, Running>,
}

impl Admission {
    /// Creates admission control without pools.
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self { settings, pools: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// Applies an event and returns the resulting actions in order.
    pub fn apply(&mut self, event: AdmissionEvent, now: Timestamp) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Pool { pool, slots, nodes } => {
                self.set_pool(pool, slots, nodes, now, &mut actions)
            }
            AdmissionEvent::Limit { pool, slots } => self.set_limit(pool, slots, now, &mut actions),
            AdmissionEvent::Submit(request) => self.submit(request, now, &mut actions),
            AdmissionEvent::FirstToken { ticket, queueing } => {
                self.first_token(&ticket, queueing, now, &mut actions)
            }
            AdmissionEvent::Ended { ticket } => self.ended(&ticket, now, &mut actions),
            AdmissionEvent::Cancelled { ticket } => self.cancelled(&ticket, now, &mut actions),
            AdmissionEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns when the next [`AdmissionEvent::Tick`] is due at the latest.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let expiries = self.pools.values().filter_map(|state| state.queue.next_expiry());
        expiries.min().map(|expiry| expiry + Duration::from_micros(1))
    }

    /// Returns a pool's current state.
    pub fn view(&self, pool: &PoolId) -> Option<PoolView> {
        let state = self.pools.get(pool)?;
        Some(PoolView {
            limit: state.limit.slots(),
            in_flight: state.in_flight,
            waiting: state.queue.len(),
            slots_per_second: state.slots_per_second(),
        })
    }

    fn set_pool(
        &mut self,
        pool: PoolId,
        slots: u32,
        nodes: u32,
        now: Timestamp,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let concurrency = self.settings.concurrency;
        let limit = || PoolLimit::Adaptive(ConcurrencyLimit::new(concurrency, slots, nodes, now));
        let state = self.pools.entry(pool.clone()).or_insert_with(|| PoolState::new(limit()));
        state.limit.set_pool_slots(slots);
        self.dispatch(&pool, now, actions);
    }

    fn set_limit(&mut self, pool: PoolId, slots: u32, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let limit = PoolLimit::Given(slots);
        match self.pools.get_mut(&pool) {
            Some(state) => state.limit = limit,
            None => {
                self.pools.insert(pool.clone(), PoolState::new(limit));
            }
        }
        self.dispatch(&pool, now, actions);
    }

    fn submit(&mut self, request: AdmissionRequest, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let Some(state) = self.pools.get_mut(&request.pool) else {
            let refusal = Refusal::not_run(RefusalCode::Unavailable, "no engine of the pool is known yet");
            let refusal = refusal.with_retry_after(Duration::from_secs(1));
            actions.push(AdmissionAction::Refuse { ticket: request.ticket, refusal });
            return;
        };
        let (latest_start, by_deadline) = latest_start(&request, self.settings.max_wait, now);
        let waiting = Waiting {
            ticket: request.ticket,
            rank: request.rank,
            priority: request.priority,
            slots: request.slots.max(1),
            due: request.due.unwrap_or(now),
            cost: request.cost,
            arrived: now,
            latest_start,
            by_deadline,
            late: request.late,
        };
        let arriving = Removed { tenant: request.tenant, weight: request.weight, request: waiting };
        let Removed { tenant, weight, request: waiting } = match state.place(arriving, now) {
            Ok(placed) => placed,
            Err(refused) => return actions.push(refuse_late(state, refused)),
        };
        if state.queue.len() >= self.settings.queue_length {
            let Some(victim) = state.queue.evict_for(waiting.rank, &tenant, weight) else {
                let refusal = state.refusal(false, "the queue is full");
                actions.push(AdmissionAction::Refuse { ticket: waiting.ticket, refusal });
                return;
            };
            let refusal = state.refusal(false, "the queue is full and the tenant holds the most of it");
            actions.push(AdmissionAction::Refuse { ticket: victim.ticket, refusal });
        }
        state.queue.push(&tenant, weight, waiting);
        self.dispatch(&request.pool, now, actions);
    }

    fn first_token(
        &mut self,
        ticket: &RequestId,
        queueing: Duration,
        now: Timestamp,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(running) = self.running.get(ticket) else { return };
        let pool = running.pool.clone();
        let Some(state) = self.pools.get_mut(&pool) else { return };
        state.limit.observe(running.since, queueing, now);
        self.dispatch(&pool, now, actions);
    }

    fn ended(&mut self, ticket: &RequestId, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let Some(running) = self.running.remove(ticket) else { return };
        let Some(state) = self.pools.get_mut(&running.pool) else { return };
        state.ended(&running, now);
        self.dispatch(&running.pool, now, actions);
    }

    fn cancelled(&mut self, ticket: &RequestId, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        if self.running.contains_key(ticket) {
            self.ended(ticket, now, actions);
            return;
        }
        for state in self.pools.values_mut() {
            if state.queue.remove(ticket).is_some() {
                return;
            }
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let pools: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pools {
            if self.settings.refuse_early {
                self.refuse_hopeless(&pool, now, actions);
            }
            self.dispatch(&pool, now, actions);
        }
    }

    fn refuse_hopeless(&mut self, pool: &PoolId, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        for late in state.remove_hopeless(now) {
            match state.place_late(late, now) {
                Ok(Removed { tenant, weight, request }) => state.queue.push(&tenant, weight, request),
                Err(refused) => actions.push(refuse_late(state, refused)),
            }
        }
    }

    /// Refuses expired requests, then runs requests up to the limit.
    fn dispatch(&mut self, pool: &PoolId, now: Timestamp, actions: &mut Vec<AdmissionAction>) {
        let Some(state) = self.pools.get_mut(pool) else { return };
        for late in state.queue.expire(now) {
            match state.place_late(late, now) {
                Ok(Removed { tenant, weight, request }) => state.queue.push(&tenant, weight, request),
                Err(refused) => actions.push(refuse_late(state, refused)),
            }
        }
        while let Some((tenant, waiting)) = state.next(self.settings.reserved_fraction) {
            let is_over_share = state.started(&tenant, &waiting, self.settings.reserved_fraction);
            let priority = if is_over_share { Priority::Low } else { waiting.priority };
            let running = Running { pool: pool.clone(), tenant, slots: waiting.slots, since: now };
            self.running.insert(waiting.ticket.clone(), running);
            let waited = now.saturating_since(waiting.arrived);
            actions.push(AdmissionAction::Run { ticket: waiting.ticket, waited, priority });
        }
        if !state.queue.is_empty() {
            state.limit.mark_reached();
        }
    }
}

fn refuse_late(state: &PoolState, refused: Waiting) -> AdmissionAction {
    let refusal = state.refusal(refused.by_deadline, "it could not begin in time");
    AdmissionAction::Refuse { ticket: refused.ticket, refusal }
}

fn latest_start(request: &AdmissionRequest, max_wait: Duration, now: Timestamp) -> (Timestamp, bool) {
    let by_wait = now + max_wait;
    match request.deadline.map(|deadline| deadline - request.predicted_start) {
        Some(by_deadline) if by_deadline < by_wait => (by_deadline, true),
        _ => (by_wait, false),
    }
}
