//! What keeps a node and its engines from being overrun: tenants' limits, admission and the retry budget.
//!
//! [`Overload`] drives [`Limits`], [`Admission`] and [`RetryBudget`] of `paddlemount-core`. A request holds a [`Permit`] while it
//! runs; dropping it, in whatever way the request ends, gives its place back.

mod capacity;
mod driver;
mod permit;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_core::{
    admission::{Admission, AdmissionAction, AdmissionEvent, PoolView},
    limits::{LimitSettings, LimitView, Limits},
    retry::{RetryBudget, RetryCounts, RetryDecision},
};
use paddlemount_protocol::{
    engine::{EngineStatus, Priority},
    identity::{EngineId, Incarnation, NodeId, PoolId, RequestId, TenantId},
    peer::membership::{PiggybackItem, Topic},
    quota::QuotaDigest,
    refusal::Refusal,
    time::Timestamp,
};
use tokio::sync::{Notify, oneshot};

use crate::settings::OverloadSettings;
use capacity::Capacity;
pub use driver::run;
pub use permit::{Denied, Permit, enter, enter_service};

/// Bytes of JSON around the digests of a [`PiggybackItem`].
const ITEM_OVERHEAD: usize = 40;

/// How the wait of a request ended.
type AdmissionResult = Result<Start, Refusal>;

/// A request that runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    priority: Priority,
    waited: Duration,
}

struct Inner {
    limits: Limits,
    admission: Admission,
    retries: RetryBudget,
    capacity: Capacity,
    waiting: BTreeMap<RequestId, oneshot::Sender<AdmissionResult>>,
}

/// The limits, admission and retry budget of one node.
pub struct Overload {
    inner: Mutex<Inner>,
    /// Told when the driver may have to act earlier than planned.
    changed: Notify,
}

impl Overload {
    /// Nothing is known yet: neither quotas nor pools.
    pub fn new(settings: &OverloadSettings, node: NodeId, incarnation: Incarnation, now: Timestamp) -> Self {
        let inner = Inner {
            limits: Limits::new(LimitSettings::default(), node, incarnation, now),
            admission: Admission::new(settings.admission),
            retries: RetryBudget::new(settings.retries),
            capacity: Capacity::default(),
            waiting: BTreeMap::new(),
        };
        Self { inner: Mutex::new(inner), changed: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in an engine's own account of itself.
    pub fn apply_status(&self, status: &EngineStatus, now: Timestamp) {
        let inner = &mut *self.lock();
        if inner.capacity.update(status) {
            inner.apply_capacity(now);
        }
    }

    /// Forgets engines that no longer exist.
    pub fn remove_engines(&self, engines: &[EngineId], now: Timestamp) {
        let inner = &mut *self.lock();
        engines.iter().for_each(|engine| inner.capacity.remove(engine));
        inner.apply_capacity(now);
    }

    /// A request gets its first try.
    pub fn count_request(&self) {
        self.lock().retries.request();
    }

    /// Whether a request that was tried `attempts` times may be tried again.
    pub fn may_retry(&self, attempts: u32) -> bool {
        self.lock().retries.retry(attempts) == RetryDecision::Granted
    }

    /// What the retry budget has seen.
    pub fn retry_counts(&self) -> RetryCounts {
        self.lock().retries.counts()
    }

    /// A pool's requests at this node.
    pub fn pool_view(&self, pool: &PoolId) -> Option<PoolView> {
        self.lock().admission.view(pool)
    }

    /// A tenant's quota and this node's share of it.
    pub fn limit_view(&self, tenant: &TenantId) -> Option<LimitView> {
        self.lock().limits.view(tenant)
    }

    /// Reports of tenants' use, to ride on the next probe.
    pub fn quota_item(&self, bytes: usize, now: Timestamp) -> Option<PiggybackItem> {
        let digests = self.lock().limits.digests(bytes.saturating_sub(ITEM_OVERHEAD), now);
        let body = serde_json::to_value(digests).ok()?;
        Some(PiggybackItem { topic: Topic::Quotas, body })
    }

    /// Takes in another node's reports.
    pub fn receive_quota_item(&self, item: &PiggybackItem, now: Timestamp) {
        match serde_json::from_value::<Vec<QuotaDigest>>(item.body.clone()) {
            Ok(digests) => self.lock().limits.receive(&digests, now),
            Err(error) => log::debug!("unreadable quota report: {error}"),
        }
    }
}

impl Inner {
    fn apply(&mut self, event: AdmissionEvent, now: Timestamp) {
        for action in self.admission.apply(event, now) {
            let (ticket, verdict) = match action {
                AdmissionAction::Run { ticket, waited, priority } => (ticket, Ok(Start { priority, waited })),
                AdmissionAction::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // Where nobody waits any more, the permit's drop has told admission so, or will.
                let _ = waiting.send(verdict);
            }
        }
    }

    fn apply_capacity(&mut self, now: Timestamp) {
        for (pool, slots) in self.capacity.slots() {
            let nodes = self.capacity.nodes();
            self.apply(AdmissionEvent::Pool { pool, slots, nodes }, now);
        }
    }
}

/// Shared by requests, which give their places back when they end.
pub type SharedOverload = Arc<Overload>;
