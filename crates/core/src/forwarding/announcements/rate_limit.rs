//! The rate limit that one process of a back end has advertised, and this node's share of it.
//!
//! The root of the tree of nodes cuts the limit into slots, and each node divides the slots that it was
//! granted further. A node sends by its own slots: a token bucket that starts empty and holds one token per
//! slot. There is one slot more than requests per second, which bounds what all buckets hold together.
//!
//! A grant is valid for a short time. Without one a node keeps to an even share of the limit; the root leaves
//! room for nodes that do not report to it.

use std::time::Duration;

use paddlemount_protocol::{
    fleet::{BackendProcess, LimitGossip, LimitGrant},
    identity::NodeId,
    time::Timestamp,
};

use super::{
    arrivals::Arrivals,
    division::{Division, Member},
};
use crate::limits::bucket::TokenBucket;

/// Minimum rate in requests per second: only an answer shows that a limit has ended.
const MIN_RATE: f64 = 0.1;
/// Maximum number of slots per back end: a division hashes each slot for each member.
const MAX_SLOTS: u32 = 64;
/// Minimum age difference of an update that repeats the known limit. Larger than the jitter of messages
/// between nodes, so that an update that returns through other nodes does not count as new.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(100);
/// The minimum factor by which a changed limit counts as another one: some back ends vary theirs with each
/// answer.
const NOTABLE_CHANGE: f64 = 1.25;
/// How long a node gossips that a limit has ended.
const TOMBSTONE_GOSSIP: Duration = Duration::from_secs(10);
/// How long after the last answer that advertised a limit a node sends a request to probe it.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// How long a process may send nothing while this node keeps sending at its full rate. What a silent process has not
/// read arrives at once when it goes on, next to what is sent then.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(1);
/// How many requests of this node may arrive within one window, beside a full bucket, as a time at its full rate. It is
/// longer than the window, since back ends tolerate half as many again.
const MAX_ARRIVAL_TIME: Duration = Duration::from_millis(4_500);
/// Minimum time until a process that has sent nothing since gets one request more, to find out whether it has gone on.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(1);
/// The same in multiples of the time between two requests of this node.
const PROBE_DELAY_INTERVALS: f64 = 4.0;
/// How many times that delay doubles, at most.
const MAX_PROBE_DOUBLINGS: u32 = 3;
/// Maximum pause that makes up for requests sent beyond a limit before it was known.
pub const MAX_INITIAL_PAUSE: Duration = Duration::from_secs(4);

/// A node's position in the tree, which determines its share of limits.
#[derive(Clone, Debug, PartialEq)]
pub struct TreePosition {
    pub node: NodeId,
    /// The share of all nodes that this node and its descendants make up, where it has no parent.
    pub root_share: Option<f64>,
    /// The number of all nodes.
    pub nodes: u32,
    /// This node and its children.
    pub members: Vec<Member>,
}

impl Default for TreePosition {
    fn default() -> Self {
        Self { node: NodeId::from(""), root_share: None, nodes: 1, members: Vec::new() }
    }
}

/// A limit that a back end has advertised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advertised {
    /// The requests per second that it accepts from all nodes together; none where it has no limit any more.
    pub per_second: Option<f64>,
    /// When a node observed it.
    pub at: Timestamp,
}

impl Advertised {
    /// The limit in a message that another node wrote at `written_at` or shortly after.
    pub fn from_gossip(gossip: &LimitGossip, written_at: Timestamp) -> Option<Self> {
        let is_valid = gossip.per_second.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let at = written_at - Duration::from_millis(gossip.age_ms);
        is_valid.then_some(Self { per_second: gossip.per_second, at })
    }

    /// Whether this is newer than `known`.
    fn supersedes(self, known: Self) -> bool {
        let min_difference =
            if self.per_second == known.per_second { MIN_AGE_DIFFERENCE } else { Duration::ZERO };
        self.at > known.at + min_difference
    }
}

/// What an update changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The back end is limited from now on, to so many requests per second from all nodes together.
    Began(f64),
    /// The limit differs notably from the last reported one.
    Changed(f64),
    /// The back end is no longer limited.
    Ended,
}

/// Whether a limit differs enough from another one to be reported.
fn is_other_rate(before: f64, rate: f64) -> bool {
    rate > before * NOTABLE_CHANGE || rate < before / NOTABLE_CHANGE
}

/// The slots that the parent granted to this node and its descendants.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    slots: u32,
    slot_per_second: f64,
    /// The limit that it is a share of; `None` if the parent knew none.
    limit: Option<f64>,
    until: Timestamp,
}

/// The limit of one process, as this node applies it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RateLimit {
    advertised: Advertised,
    /// The limit of the last change that was reported.
    last_reported: Option<f64>,
    /// What the parent has last sent; none where it sent nothing about this process.
    known_to_parent: Option<Advertised>,
    grant: Option<Grant>,
    /// None where this node has no slots to divide.
    divided: Option<Divided>,
    /// When requests may be sent again.
    paused_until: Timestamp,
    own_slots: u32,
    bucket: TokenBucket,
    /// Requests of this node since any node last heard the process.
    unread: u32,
    arrivals: Arrivals,
    /// When one more may be sent although it may read all of them at once.
    probe_at: Timestamp,
}

/// The slots that this node has divided.
#[derive(Clone, Debug, PartialEq)]
struct Divided {
    slots: u32,
    slot_per_second: f64,
    among: Division,
}

impl RateLimit {
    pub(super) fn new(advertised: Advertised, now: Timestamp) -> Self {
        let bucket = TokenBucket::empty(0.0, 0.0, now);
        Self {
            advertised,
            last_reported: advertised.per_second,
            known_to_parent: None,
            grant: None,
            divided: None,
            paused_until: now,
            own_slots: 0,
            bucket,
            unread: 0,
            arrivals: Arrivals::default(),
            probe_at: now,
        }
    }

    pub(super) const fn per_second(&self) -> Option<f64> {
        self.advertised.per_second
    }

    /// Applies an update unless it is stale. Returns a change to report.
    pub(super) fn update(&mut self, advertised: Advertised) -> Option<LimitChange> {
        let is_still_unlimited = advertised.per_second.is_none() && self.advertised.per_second.is_none();
        if is_still_unlimited || !advertised.supersedes(self.advertised) {
            return None;
        }
        self.advertised = advertised;
        self.record_heard();
        let before = self.last_reported;
        let change = match (before, advertised.per_second) {
            (None, Some(rate)) => LimitChange::Began(rate),
            (Some(before), Some(rate)) if is_other_rate(before, rate) => LimitChange::Changed(rate),
            (Some(_), None) => LimitChange::Ended,
            (Some(_), Some(_)) | (None, None) => return None,
        };
        self.last_reported = advertised.per_second;
        Some(change)
    }

    /// Starts to enforce the limit, with a pause that makes up for the excess of `sent_per_second` of all
    /// nodes.
    pub(super) fn begin(&mut self, sent_per_second: f64, now: Timestamp) {
        let rate = self.rate();
        let beyond = (sent_per_second - rate).max(0.0) / rate;
        let pause = MAX_INITIAL_PAUSE.mul_f64(beyond.min(1.0));
        self.bucket = TokenBucket::empty(0.0, 0.0, now);
        self.paused_until = now;
        self.pause_until(now + pause);
    }

    /// Allows no requests before `at`.
    pub(super) fn pause_until(&mut self, at: Timestamp) {
        if at > self.paused_until + MIN_AGE_DIFFERENCE {
            self.paused_until = at;
            self.bucket = TokenBucket::empty(self.bucket.rate(), f64::from(self.own_slots), at);
        }
    }

    /// Records what the parent sent about this process: the limit that it knows, and a grant.
    pub(super) fn apply_grant(&mut self, reported: Advertised, grant: &LimitGrant, until: Timestamp) {
        self.known_to_parent = Some(reported);
        let is_valid = grant.slot_per_second.is_finite() && grant.slot_per_second >= 0.0;
        let slots = grant.slots.filter(|_| is_valid).map(|slots| slots.min(MAX_SLOTS));
        self.grant = slots.map(|slots| Grant {
            slots,
            slot_per_second: grant.slot_per_second,
            limit: reported.per_second,
            until,
        });
    }

    /// The parent has sent nothing about this process.
    pub(super) const fn forget_parent_knowledge(&mut self) {
        self.known_to_parent = None;
    }

    /// Divides the slots of this node and sets the rate of its own bucket. `members_changed` invalidates an
    /// earlier division.
    pub(super) fn divide(
        &mut self,
        process: &BackendProcess,
        position: &TreePosition,
        members_changed: bool,
        now: Timestamp,
    ) {
        let known = self.divided.take().filter(|_| !members_changed);
        let granted = self.granted(now).or_else(|| self.root_grant(position, now));
        self.divided = granted.map(|Grant { slots, slot_per_second, .. }| {
            let among = match known {
                Some(known) if known.slots == slots => known.among,
                _ => Division::of(process, slots, &position.members),
            };
            Divided { slots, slot_per_second, among }
        });
        let (slots, slot_per_second) = match &self.divided {
            Some(divided) => (divided.among.of_node(&position.node), divided.slot_per_second),
            None => (1, self.rate() / f64::from(position.nodes.max(1))),
        };
        self.own_slots = slots;
        self.bucket.set(f64::from(slots) * slot_per_second, slots.into(), now);
    }

    /// The grant in force. This node may have observed a lower limit than the one that the grant is a share of, while
    /// the parent or the root is out of reach.
    fn granted(&self, now: Timestamp) -> Option<Grant> {
        let grant = self.grant.filter(|grant| now < grant.until)?;
        let reduction = grant.limit.map_or(1.0, |limit| (self.rate() / limit.max(MIN_RATE)).min(1.0));
        Some(Grant { slot_per_second: grant.slot_per_second * reduction, ..grant })
    }

    /// The slots that the root of the tree divides.
    fn root_grant(&self, position: &TreePosition, now: Timestamp) -> Option<Grant> {
        let rate = self.rate() * position.root_share?;
        let slots = (rate as u32).saturating_add(1).min(MAX_SLOTS);
        Some(Grant { slots, slot_per_second: rate / f64::from(slots), limit: None, until: now })
    }

    /// The requests per second of all nodes together.
    fn rate(&self) -> f64 {
        self.advertised.per_second.unwrap_or_default().max(MIN_RATE)
    }

    /// The time until this node may send a request; none where it has no share.
    pub(super) fn wait(&self, now: Timestamp) -> Option<Duration> {
        let probe_wait = if self.unread < self.max_unread() {
            Duration::ZERO
        } else {
            self.probe_at.saturating_since(now)
        };
        let window_wait = self.arrivals.wait(self.max_arrivals(), now);
        if self.bucket.rate() <= 0.0 {
            return None;
        }
        Some(self.bucket.time_until(1.0, now).max(probe_wait).max(window_wait))
    }

    /// Records that the process has sent something, and so has read what arrived.
    pub(super) const fn record_heard(&mut self) {
        self.unread = 0;
    }

    /// Records that a request has arrived by now, or is lost.
    pub(super) fn record_arrived(&mut self, now: Timestamp) {
        self.arrivals.record_arrived(now);
    }

    /// The number of this node's requests that may still arrive.
    pub(super) const fn undated(&self) -> u32 {
        self.arrivals.undated()
    }

    /// The maximum number of this node's requests that may arrive within one window.
    fn max_arrivals(&self) -> usize {
        let at_full_rate = (self.bucket.rate() * MAX_ARRIVAL_TIME.as_secs_f64()) as usize;
        at_full_rate + self.own_slots as usize
    }

    /// The number of requests that the process may not have read, beyond which this node only probes it.
    fn max_unread(&self) -> u32 {
        ((self.bucket.rate() * MAX_UNREAD_TIME.as_secs_f64()) as u32).max(1)
    }

    fn probe_delay(&self) -> Duration {
        let interval = Duration::from_secs_f64(PROBE_DELAY_INTERVALS / self.bucket.rate().max(MIN_RATE));
        let probes = (self.unread - self.max_unread()).min(MAX_PROBE_DOUBLINGS);
        interval.max(MIN_PROBE_DELAY) * 2_u32.pow(probes)
    }

    /// The requests per second that this node may send.
    pub(super) const fn own_per_second(&self) -> f64 {
        self.bucket.rate()
    }

    /// The mean time between two requests of all nodes.
    pub(super) fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate())
    }

    /// Whether no node has observed the limit for a while and this node may send a request.
    pub(super) fn needs_probe(&self, now: Timestamp) -> bool {
        let is_stale = now.saturating_since(self.advertised.at) >= PROBE_INTERVAL;
        is_stale && self.advertised.per_second.is_some() && self.wait(now) == Some(Duration::ZERO)
    }

    /// Takes a token for a request, which may arrive at any time until [`Self::record_arrived`].
    pub(super) fn acquire(&mut self, now: Timestamp) {
        self.bucket.wait(1.0, now);
        self.bucket.take(1.0);
        self.unread = self.unread.saturating_add(1);
        self.arrivals.record_sent();
        if self.unread >= self.max_unread() {
            self.probe_at = now + self.probe_delay();
        }
    }

    /// Returns the token of a request that was not sent.
    pub(super) fn release(&mut self) {
        self.bucket.refund(1.0);
        self.unread = self.unread.saturating_sub(1);
        self.arrivals.record_not_sent();
    }

    /// The limit to send to the parent, unless the parent knows it.
    pub(super) fn pending_gossip(&self, process: &BackendProcess, now: Timestamp) -> Option<LimitGossip> {
        let is_pending = match self.known_to_parent {
            Some(reported) => self.advertised.supersedes(reported),
            None => self.is_gossiped(now),
        };
        is_pending.then(|| self.to_gossip(process, now))
    }

    /// The limit and grant to send to a child, if any.
    pub(super) fn grant_for(
        &self,
        process: &BackendProcess,
        node: &NodeId,
        now: Timestamp,
    ) -> Option<LimitGrant> {
        if !self.is_gossiped(now) {
            return None;
        }
        let divided = self.divided.as_ref().filter(|_| self.advertised.per_second.is_some());
        Some(LimitGrant {
            limit: self.to_gossip(process, now),
            slots: divided.map(|divided| divided.among.of_node(node)),
            slot_per_second: divided.map_or(0.0, |divided| divided.slot_per_second),
        })
    }

    fn is_gossiped(&self, now: Timestamp) -> bool {
        self.advertised.per_second.is_some() || now.saturating_since(self.advertised.at) < TOMBSTONE_GOSSIP
    }

    fn to_gossip(&self, process: &BackendProcess, now: Timestamp) -> LimitGossip {
        let age = now.saturating_since(self.advertised.at);
        LimitGossip {
            process: process.clone(),
            per_second: self.advertised.per_second,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            back_off_ms: self.paused_until.saturating_since(now).as_millis() as u64,
        }
    }
}
