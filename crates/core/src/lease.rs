//! Holding a lease of the configuration store.
//!
//! The holder renews the lease well within its life. It may be paused for any time, at any point, without
//! noticing; its own clock therefore only saves useless work and never makes anything safe. What makes
//! orders safe is the [`FencingToken`]: the store grants a higher one with each change of holder, and
//! whoever obeys orders refuses a token lower than the highest it has seen.

use std::time::Duration;

use paddlemount_protocol::{
    identity::{FencingToken, NodeId},
    platform::{LeaseAcquire, LeaseRenew, LeaseResult},
    time::Timestamp,
};

/// Renewals are sent this many times in the life of a lease.
const RENEWALS_IN_LIFE: u32 = 3;

/// Settings of a [`LeaseHolder`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// The lease's name.
    pub name: String,
    /// This node.
    pub holder: NodeId,
    /// The life of the lease without renewal.
    pub ttl: Duration,
}

/// A request to the store. Each is answered by [`LeaseEvent::Answered`] or [`LeaseEvent::Failed`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseRequest {
    /// Acquire the lease.
    Acquire(LeaseAcquire),
    /// Renew it.
    Renew(LeaseRenew),
    /// Give it up.
    Release(LeaseRenew),
}

/// Something that happens to a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// The store answered.
    Answered(LeaseResult),
    /// The store could not be reached, refused for its load, or its reply was lost.
    Failed,
    /// Someone who obeys orders has seen a higher token: another node holds the lease.
    Fenced,
    /// Give the lease up.
    Stop,
}

/// One node's part in a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    held: Option<Held>,
    asked_at: Option<Timestamp>,
    next_at: Timestamp,
    stopped: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    token: FencingToken,
    until: Timestamp,
}

impl LeaseHolder {
    /// A node that does not hold the lease.
    pub const fn new(settings: LeaseSettings, now: Timestamp) -> Self {
        Self { settings, held: None, asked_at: None, next_at: now, stopped: false }
    }

    /// The token for orders, while this node has reason to believe that it holds the lease. It may be wrong.
    pub fn token(&self, now: Timestamp) -> Option<FencingToken> {
        self.held.filter(|held| now < held.until).map(|held| held.token)
    }

    /// Until when this node has reason to believe that it holds the lease.
    pub fn held_until(&self) -> Option<Timestamp> {
        self.held.map(|held| held.until)
    }

    /// When to report the next [`LeaseEvent::Tick`].
    pub const fn next_wakeup(&self) -> Timestamp {
        self.next_at
    }

    /// Takes in what happened.
    pub fn handle(&mut self, event: LeaseEvent, now: Timestamp) -> Option<LeaseRequest> {
        match event {
            LeaseEvent::Tick => self.tick(now),
            LeaseEvent::Answered(result) => {
                self.answered(&result, now);
                None
            }
            LeaseEvent::Failed => {
                self.asked_at = None;
                self.next_at = now + self.pause();
                None
            }
            LeaseEvent::Fenced => {
                self.held = None;
                None
            }
            LeaseEvent::Stop => self.stop(),
        }
    }

    fn pause(&self) -> Duration {
        self.settings.ttl / RENEWALS_IN_LIFE
    }

    fn tick(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        if self.stopped || now < self.next_at || self.asked_at.is_some() {
            return None;
        }
        self.asked_at = Some(now);
        self.next_at = now + self.pause();
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

    /// The lease's life is counted from when it was asked for, not from when the answer came.
    fn answered(&mut self, result: &LeaseResult, now: Timestamp) {
        let Some(asked_at) = self.asked_at.take() else { return };
        match result {
            LeaseResult::Held { token, ttl_ms } => {
                let until = asked_at + Duration::from_millis(*ttl_ms);
                self.held = Some(Held { token: *token, until });
            }
            LeaseResult::HeldByOther { remaining_ms, .. } => {
                self.held = None;
                let remaining = Duration::from_millis(*remaining_ms);
                self.next_at = now + remaining.clamp(Duration::from_millis(1), self.pause());
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
