//! Overload protection of a node and its engines: rate limits, admission control and the retry budget.
//!
//! [`Overload`] drives [`Limits`], [`Admission`] and [`RetryBudget`] of `paddlemount-core`. A request holds a
//! [`Permit`] while it runs; dropping it releases the request's slot, however the request ends.

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
const ITEM_OVERHEAD_BYTES: usize = 40;

/// The result of a request's wait for admission.
type AdmissionResult = Result<Grant, Refusal>;

/// The terms on which a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
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

/// The rate limits, admission control and retry budget of one node.
pub struct Overload {
    inner: Mutex<Inner>,
    /// Notified when the driver may have to act earlier than planned.
    changed: Notify,
}

impl Overload {
    /// Creates the state without quotas or pools.
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

    /// Applies a status report of an engine.
    pub fn apply_status(&self, status: &EngineStatus, now: Timestamp) {
        let inner = &mut *self.lock();
        if inner.capacity.update(status) {
            inner.apply_capacity(now);
        }
    }

    /// Removes engines that no longer exist.
    pub fn remove_engines(&self, engines: &[EngineId], now: Timestamp) {
        let inner = &mut *self.lock();
        engines.iter().for_each(|engine| inner.capacity.remove(engine));
        inner.apply_capacity(now);
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&self) {
        self.lock().retries.request();
    }

    /// Whether the retry budget allows another attempt after `attempts`.
    pub fn may_retry(&self, attempts: u32) -> bool {
        self.lock().retries.retry(attempts) == RetryDecision::Granted
    }

    /// The counts of the retry budget.
    pub fn retry_counts(&self) -> RetryCounts {
        self.lock().retries.counts()
    }

    /// The admission state of a pool at this node.
    pub fn pool_view(&self, pool: &PoolId) -> Option<PoolView> {
        self.lock().admission.view(pool)
    }

    /// A tenant's quota and this node's share of it.
    pub fn limit_view(&self, tenant: &TenantId) -> Option<LimitView> {
        self.lock().limits.view(tenant)
    }

    /// The usage reports to piggyback on the next probe, in at most `max_bytes`.
    pub fn quota_item(&self, max_bytes: usize, now: Timestamp) -> Option<PiggybackItem> {
        let digests = self.lock().limits.digests(max_bytes.saturating_sub(ITEM_OVERHEAD_BYTES), now);
        let body = serde_json::to_value(digests).ok()?;
        Some(PiggybackItem { topic: Topic::Quotas, body })
    }

    /// Receives another node's usage reports.
    pub fn receive_quota_item(&self, item: &PiggybackItem, now: Timestamp) {
        match serde_json::from_value::<Vec<QuotaDigest>>(item.body.clone()) {
            Ok(digests) => self.lock().limits.receive(&digests, now),
            Err(error) => log::debug!("cannot parse a quota report: {error}"),
        }
    }
}

impl Inner {
    fn apply(&mut self, event: AdmissionEvent, now: Timestamp) {
        for action in self.admission.apply(event, now) {
            let (ticket, result) = match action {
                AdmissionAction::Run { ticket, waited, priority } => (ticket, Ok(Grant { priority, waited })),
                AdmissionAction::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // If the receiver is gone, dropping the permit cancels the request in the admission queue.
                let _ = waiting.send(result);
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

/// Shared by requests, whose permits release their slots on drop.
pub type SharedOverload = Arc<Overload>;
