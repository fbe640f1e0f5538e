//! Holds a lease of the configuration store.
//!
//! The holder renews the lease well within its TTL. The process may be paused at any point without noticing,
//! so its own clock only avoids useless work and never provides safety. Safety comes from the
//! [`FencingToken`]: the store grants a higher one with each change of holder, and receivers of orders reject
//! a token lower than the highest they have seen.

use std::time::Duration;

use paddlemount_protocol::{
    identity::{FencingToken, NodeId},
    platform::{LeaseAcquire, LeaseRenew, LeaseResult},
    time::Timestamp,
};

/// Number of renewals within the TTL of a lease.
const RENEWALS_PER_TTL: u32 = 3;

/// Settings of a [`LeaseHolder`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    pub name: String,
    pub holder: NodeId,
    /// The TTL of the lease without renewal.
    pub ttl: Duration,
}

/// A request to the store. Each is answered by [`LeaseEvent::Answered`] or [`LeaseEvent::Failed`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseRequest {
    Acquire(LeaseAcquire),
    Renew(LeaseRenew),
    Release(LeaseRenew),
}

/// An input to [`LeaseHolder::handle`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    Tick,
    Answered(LeaseResult),
    /// The store could not be reached, refused due to its load, or its reply was lost.
    Failed,
    /// A receiver of orders has seen a higher token: another node holds the lease.
    Fenced,
    /// Release the lease.
    Stop,
}

/// One node's state machine for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    held: Option<Held>,
    requested_at: Option<Timestamp>,
    next_at: Timestamp,
    stopped: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    token: FencingToken,
    until: Timestamp,
}

impl LeaseHolder {
    /// Creates the state of a node that does not hold the lease.
    pub const fn new(settings: LeaseSettings, now: Timestamp) -> Self {
        Self { settings, held: None, requested_at: None, next_at: now, stopped: false }
    }

    /// Returns the token for orders, while this node believes that it holds the lease. The belief may be
    /// wrong.
    pub fn token(&self, now: Timestamp) -> Option<FencingToken> {
        self.held.filter(|held| now < held.until).map(|held| held.token)
    }

    /// Returns until when this node believes that it holds the lease.
    pub fn held_until(&self) -> Option<Timestamp> {
        self.held.map(|held| held.until)
    }

    /// Returns when the next [`LeaseEvent::Tick`] is due.
    pub const fn next_wakeup(&self) -> Timestamp {
        self.next_at
    }

    /// Handles `event` and returns the resulting request.
    pub fn handle(&mut self, event: LeaseEvent, now: Timestamp) -> Option<LeaseRequest> {
        match event {
            LeaseEvent::Tick => self.tick(now),
            LeaseEvent::Answered(result) => {
                self.answered(&result, now);
                None
            }
            LeaseEvent::Failed => {
                self.requested_at = None;
                self.next_at = now + self.renewal_interval();
                None
            }
            LeaseEvent::Fenced => {
                self.held = None;
                None
            }
            LeaseEvent::Stop => self.stop(),
        }
    }

    fn renewal_interval(&self) -> Duration {
        self.settings.ttl / RENEWALS_PER_TTL
    }

    fn tick(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        if self.stopped || now < self.next_at || self.requested_at.is_some() {
            return None;
        }
        self.requested_at = Some(now);
        self.next_at = now + self.renewal_interval();
        match self.token(now) {
            Some(token) => Some(LeaseRequest::Renew(self.renewal(token))),
            None => {
                self.held = None;
                Some(LeaseRequest::Acquire(LeaseAcquire {
                    name: self.settings.name.clone(),
                    holder: self.settings.holder.clone(),
                    ttl_ms: self.ttl_ms(),
                }))
            }
        }
    }

    /// The TTL is counted from the request, not from the answer.
    fn answered(&mut self, result: &LeaseResult, now: Timestamp) {
        let Some(requested_at) = self.requested_at.take() else { return };
        match result {
            LeaseResult::Held { token, ttl_ms } => {
                let until = requested_at + Duration::from_millis(*ttl_ms);
                self.held = Some(Held { token: *token, until });
            }
            LeaseResult::HeldByOther { remaining_ms, .. } => {
                self.held = None;
                let remaining = Duration::from_millis(*remaining_ms);
                self.next_at = now + remaining.clamp(Duration::from_millis(1), self.renewal_interval());
            }
            LeaseResult::NotHeld => {
                self.held = None;
                self.next_at = now;
            }
        }
    }

    fn stop(&mut self) -> Option<LeaseRequest> {
        self.stopped = true;
        let held = self.held.take()?;
        Some(LeaseRequest::Release(self.renewal(held.token)))
    }

    fn renewal(&self, token: FencingToken) -> LeaseRenew {
        LeaseRenew {
            name: self.settings.name.clone(),
            holder: self.settings.holder.clone(),
            token,
            ttl_ms: self.ttl_ms(),
        }
    }

    fn ttl_ms(&self) -> u64 {
        u64::try_from(self.settings.ttl.as_millis()).unwrap_or(u64::MAX)
    }
}
