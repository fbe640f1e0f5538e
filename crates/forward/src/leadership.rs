//! Acquires and renews the lease under which orders are given to engines.
//!
//! A node requests the lease only if the store has reported that nobody holds it. The fencing token is the
//! store's revision of the change that made the node leader. The lease's time to live counts from when its
//! grant or renewal was sent.

use std::{rc::Rc, time::Duration};

use paddlemount_core::lease::{LeaseEvent, LeaseHolder, LeaseRequest, LeaseSettings};
use paddlemount_protocol::{identity::FencingToken, platform::LeaseResult, time::Timestamp};

use crate::{
    journal::Event,
    node::Node,
    node_state::Leader,
    orders,
    ports::{StoreAnswer, StoreCall, StoreLease},
    store_feed::{StoreError, call_store, find_leader},
};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The name under which the lease holder tracks the lease.
const LEASE_NAME: &str = "weights-orders";
/// How much earlier than its lease ends a holder stops acting.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(150);
/// How much longer a small machine waits, so that it leads only if no other one can.
const SMALL_NODE_DELAY: Duration = Duration::from_millis(1_500);
/// How long a partitioned node leaves the lease to others.
const YIELD_PERIOD: Duration = Duration::from_secs(10);
/// The maximum jitter of requests for a free lease: most other nodes should see the first holder before they
/// request it.
const ACQUIRE_JITTER: Duration = Duration::from_millis(200);
/// The same for small machines, of which there may be hundreds.
const SMALL_NODE_JITTER: Duration = Duration::from_millis(1_000);

/// Takes part in the leadership for the lifetime of the process.
pub async fn run(node: Rc<Node>) {
    let settings = node.settings();
    let ttl = Duration::from_millis(settings.bounds.lease_ms.max(settings.store.min_lease_ms));
    let lease_settings = LeaseSettings { name: LEASE_NAME.into(), holder: settings.node.clone(), ttl };
    let holder = LeaseHolder::new(lease_settings, node.now());
    let mut leadership = Leadership {
        node,
        holder,
        ttl,
        lease: None,
        free_since: None,
        yielded_at: None,
        restored_at: None,
        led_at_restore: false,
    };
    while !leadership.node.is_stopping() {
        leadership.step().await;
        // An order that has ended may allow another one at once.
        let _ = tokio::time::timeout(POLL_INTERVAL, leadership.node.order_ended.notified()).await;
    }
    leadership.stop().await;
}

struct Leadership {
    node: Rc<Node>,
    holder: LeaseHolder,
    ttl: Duration,
    lease: Option<StoreLease>,
    free_since: Option<Timestamp>,
    /// When this node last left the lease to others.
    yielded_at: Option<Timestamp>,
    /// The latest restore of the store that was handled.
    restored_at: Option<Timestamp>,
    /// Whether this node led at that time.
    led_at_restore: bool,
}

impl Leadership {
    async fn step(&mut self) {
        let now = self.node.now();
        if self.restored_at != self.node.restored_at.get() {
            self.stand_down_for_restore(now).await;
            return;
        }
        if self.holder.token(now).is_none() && !self.may_acquire(now) {
            self.publish(now);
            return;
        }
        if self.is_partitioned(now) {
            self.yield_lease("no other node reports here", now).await;
            return;
        }
        if self.node.token().is_some() && self.node.lacks_path_for_orders() {
            self.yield_lease("engines to be updated are reached only by other nodes", now).await;
            return;
        }
        if self.holder.token(now).is_none() && self.has_new_leader().await {
            return;
        }
        if let Some(request) = self.holder.handle(LeaseEvent::Tick, now) {
            let event = self.perform(request).await;
            self.holder.handle(event, self.node.now());
        }
        let now = self.node.now();
        self.publish(now);
        if self.node.token().is_some() {
            orders::start_updates(&self.node);
        }
    }

    /// Whether this node leads but no longer receives reports from nodes that reported before.
    fn is_partitioned(&self, now: Timestamp) -> bool {
        let peers = self.node.peers.as_ref();
        self.node.token().is_some() && peers.is_some_and(|peers| peers.borrow().fleet.is_partitioned(now))
    }

    /// Releases the lease to nodes that can do what this one cannot.
    async fn yield_lease(&mut self, why: &'static str, now: Timestamp) {
        self.yielded_at = Some(now);
        self.stand_down(why, now).await;
    }

    /// Stands down after the store was restored: it may lack this node's lease and grant it to another node.
    async fn stand_down_for_restore(&mut self, now: Timestamp) {
        self.restored_at = self.node.restored_at.get();
        self.led_at_restore = self.holder.token(now).is_some();
        if self.led_at_restore {
            self.stand_down("the store came back from a copy", now).await;
        }
    }

    async fn stand_down(&mut self, why: &'static str, now: Timestamp) {
        if let Some((token, _)) = self.node.leading.take() {
            self.node.journal.log(&Event::LeadershipLost { token: token.0, why });
        }
        if let Some(request) = self.holder.handle(LeaseEvent::Stop, now) {
            let event = self.perform(request).await;
            self.holder.handle(event, self.node.now());
        }
        let settings = LeaseSettings {
            name: LEASE_NAME.into(),
            holder: self.node.settings().node.clone(),
            ttl: self.ttl,
        };
        self.holder = LeaseHolder::new(settings, self.node.now());
    }

    /// The token of an earlier process of this node if that process is the recorded leader. It has ended, so
    /// its lease need not expire first.
    fn own_token(&self) -> Option<FencingToken> {
        let peers = self.node.peers.as_ref().map(|peers| peers.borrow().fleet.local_member().address);
        let node = self.node.settings().node.clone();
        self.node.state.borrow().leader.as_ref().and_then(|leader| leader.token_of(&node, peers))
    }

    /// Whether nobody else leads according to the store, and this node's delay is over.
    fn may_acquire(&mut self, now: Timestamp) -> bool {
        let state = self.node.state.borrow();
        let (is_checked, has_leader) = (state.leader_checked, state.leader.is_some());
        drop(state);
        let is_free = is_checked && (!has_leader || self.own_token().is_some());
        if !is_free {
            self.free_since = None;
            return false;
        }
        let since = *self.free_since.get_or_insert(now);
        let is_small = self.node.settings().limits.is_small();
        let (delay, jitter) =
            if is_small { (SMALL_NODE_DELAY, SMALL_NODE_JITTER) } else { (Duration::ZERO, ACQUIRE_JITTER) };
        let has_yielded = self.yielded_at.is_some_and(|at| now.saturating_since(at) < YIELD_PERIOD);
        let delay = if has_yielded { delay + YIELD_PERIOD / 2 } else { delay };
        now.saturating_since(since) >= delay + jitter.mul_f64(rand::random::<f64>())
    }

    /// Whether another node has become leader meanwhile. This read is cheaper than a failed request for the
    /// lease.
    async fn has_new_leader(&self) -> bool {
        // A failed read is counted with the calls; the store's own condition decides about the lease.
        let _ = find_leader(&self.node).await;
        self.node.state.borrow().leader.is_some() && self.own_token().is_none()
    }

    async fn perform(&mut self, request: LeaseRequest) -> LeaseEvent {
        let result = match request {
            LeaseRequest::Acquire(_) => self.acquire().await,
            LeaseRequest::Renew(_) => self.renew().await,
            LeaseRequest::Release(_) => self.release().await,
        };
        result.map_or(LeaseEvent::Failed, LeaseEvent::Answered)
    }

    async fn acquire(&mut self) -> Result<LeaseResult, StoreError> {
        let granted = call_store(&self.node, &StoreCall::Grant { ttl: self.ttl }, CALL_TIMEOUT).await?;
        let StoreAnswer::Lease { lease, ttl } = granted else { return Err(StoreError::Unexpected) };
        let holder = self.node.settings().node.clone();
        let peers = self.node.peers.as_ref().map(|peers| peers.borrow().fleet.local_member().address);
        // Another node may have become leader meanwhile, and must not be replaced.
        let replaces = self.own_token();
        let call = StoreCall::Lead { replaces, holder: holder.clone(), peers, lease };
        let taken = call_store(&self.node, &call, CALL_TIMEOUT).await;
        match taken {
            Ok(StoreAnswer::Done { revision }) => {
                let token = FencingToken::from(revision);
                self.lease = Some(lease);
                self.node.state.borrow_mut().leader = Some(Leader { holder, token, peers });
                Ok(LeaseResult::Held { token, ttl_ms: ttl.as_millis() as u64 })
            }
            other => {
                // The call may have succeeded without an answer; ending the lease undoes it.
                let _ = call_store(&self.node, &StoreCall::End(lease), CALL_TIMEOUT).await;
                other?;
                Ok(LeaseResult::NotHeld)
            }
        }
    }

    async fn renew(&mut self) -> Result<LeaseResult, StoreError> {
        let Some(lease) = self.lease else { return Ok(LeaseResult::NotHeld) };
        let now = self.node.now();
        let Some(token) = self.holder.token(now) else { return Ok(LeaseResult::NotHeld) };
        match call_store(&self.node, &StoreCall::Renew(lease), CALL_TIMEOUT).await? {
            StoreAnswer::Lease { ttl, .. } => Ok(LeaseResult::Held { token, ttl_ms: ttl.as_millis() as u64 }),
            StoreAnswer::NoLease => Ok(LeaseResult::NotHeld),
            _ => Err(StoreError::Unexpected),
        }
    }

    async fn release(&mut self) -> Result<LeaseResult, StoreError> {
        if let Some(lease) = self.lease.take() {
            call_store(&self.node, &StoreCall::End(lease), CALL_TIMEOUT).await?;
        }
        Ok(LeaseResult::NotHeld)
    }

    /// Publishes until when this node certainly leads.
    fn publish(&mut self, now: Timestamp) {
        let before = self.node.leading.get();
        let token = self.holder.token(now + LEASE_SAFETY_MARGIN).filter(|_| !self.awaits_old_lease(now));
        let until = self.holder.held_until().map_or(now, |until| until - LEASE_SAFETY_MARGIN);
        self.node.leading.set(token.map(|token| (token, until)));
        match (before, token) {
            (None, Some(token)) => {
                self.node.journal.log(&Event::LeadershipGained { token: token.0 });
                if self.restored_at.is_some() {
                    self.node.rewrite_quarantine();
                }
            }
            (Some((token, _)), None) => {
                let event = Event::LeadershipLost { token: token.0, why: "lease not renewed in time" };
                self.node.journal.log(&event);
            }
            _ => {}
        }
    }

    /// Whether another node may still act as leader: one that has not noticed the restore trusts its lease to
    /// its end.
    fn awaits_old_lease(&self, now: Timestamp) -> bool {
        let lease_ends_at = self.restored_at.map(|at| at + self.ttl);
        !self.led_at_restore && lease_ends_at.is_some_and(|at| now < at)
    }

    async fn stop(&mut self) {
        if let Some((token, _)) = self.node.leading.take() {
            self.node.journal.log(&Event::LeadershipLost { token: token.0, why: "stopping" });
        }
        if let Some(request) = self.holder.handle(LeaseEvent::Stop, self.node.now()) {
            self.perform(request).await;
        }
    }
}
