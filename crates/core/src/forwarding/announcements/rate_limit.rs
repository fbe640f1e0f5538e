//! The rate limit that one process of a back end has advertised, and this node's part of it.
//!
//! The root of the tree of nodes cuts the limit into slots, and each node divides what it was granted further. A node sends by its own
//! slots: a token bucket that begins empty and holds one token for each. There are as many slots as the limit allows requests in a
//! second, and one more, so that what all buckets hold at once stays within what may come in some seconds.
//!
//! A grant lasts for a short time. Without one a node goes on with an even part of the limit; the root's rate leaves room for nodes
//! that it does not hear.

use std::time::Duration;

use paddlemount_protocol::{
    fleet::{BackendProcess, LimitGossip, LimitGrant},
    identity::NodeId,
    time::Timestamp,
};

use super::division::{Division, Member};
use crate::limits::bucket::TokenBucket;

/// Requests a second that a back end gets at least that takes fewer: an answer has to tell when its limit ends.
const MIN_RATE: f64 = 0.1;
/// Slots of one back end at most: each costs a hash for each node that reports.
const MAX_SLOTS: u32 = 64;
/// How much newer a statement must be that repeats what is known. The times of messages between nodes vary by less, and a
/// statement that came back through other nodes must not seem new.
const NEWER_BY: Duration = Duration::from_millis(100);
/// The factor by which a limit must change to count as another one: some name one anew with each answer.
const NOTABLE_CHANGE: f64 = 1.25;
/// How long other nodes are told that a limit has ended.
const TOMBSTONE_GOSSIP: Duration = Duration::from_secs(10);
/// How long a limit holds without an answer that names it before a request is sent to learn whether it still does.
const PROBED_AFTER: Duration = Duration::from_secs(5);
/// What was sent beyond the limit in this time before it was first heard is made up for, by a pause of this length at most.
pub const MAX_INITIAL_PAUSE: Duration = Duration::from_secs(4);

/// A node's place in the tree, for its part of limits.
#[derive(Clone, Debug, PartialEq)]
pub struct TreePosition {
    /// The node.
    pub node: NodeId,
    /// The part of all nodes that it speaks for with those below it, where nobody stands above it.
    pub root_share: Option<f64>,
    /// The number of nodes.
    pub nodes: u32,
    /// The node itself and those that report to it.
    pub members: Vec<Member>,
}

impl Default for TreePosition {
    fn default() -> Self {
        Self { node: NodeId::from(""), root_share: None, nodes: 1, members: Vec::new() }
    }
}

/// What a back end has said of its limit, and when that was heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advertised {
    /// Requests a second that it takes from all nodes together; none where it names no limit any more.
    pub per_second: Option<f64>,
    /// When it was heard, by any node.
    pub at: Timestamp,
}

impl Advertised {
    /// What another node told in a message that was written at `written_at`, or shortly after.
    pub fn from_gossip(news: &LimitGossip, written_at: Timestamp) -> Option<Self> {
        let is_sound = news.per_second.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let at = written_at - Duration::from_millis(news.age_ms);
        is_sound.then_some(Self { per_second: news.per_second, at })
    }

    /// Whether this says more than `known`.
    fn supersedes(self, known: Self) -> bool {
        let least = if self.per_second == known.per_second { NEWER_BY } else { Duration::ZERO };
        self.at > known.at + least
    }
}

/// What a statement changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The back end is limited from now on, to so many requests a second from all nodes together.
    Began(f64),
    /// Its limit is notably another one.
    Changed(f64),
    /// It is limited no longer.
    Ended,
}

/// Whether a limit differs so much from another one that it is worth a line.
fn is_other_rate(before: f64, rate: f64) -> bool {
    rate > before * NOTABLE_CHANGE || rate < before / NOTABLE_CHANGE
}

/// Slots that were granted to a node and those below it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Grant {
    slots: u32,
    slot_per_second: f64,
    until: Timestamp,
}

/// The limit of one process, at one node.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RateLimit {
    advertised: Advertised,
    /// The limit of the last change that was given out.
    last_reported: Option<f64>,
    /// What the node above has told last; none where it told nothing of this process.
    known_to_parent: Option<Advertised>,
    grant: Option<Grant>,
    /// How this node's slots are divided; none where it has nothing to divide.
    divided: Option<Divided>,
    /// From when on requests are sent by the limit.
    opens_at: Timestamp,
    own_slots: u32,
    own: TokenBucket,
}

/// Slots as this node has divided them.
#[derive(Clone, Debug, PartialEq)]
struct Divided {
    slots: u32,
    slot_per_second: f64,
    among: Division,
}

impl RateLimit {
    pub(super) fn new(advertised: Advertised, now: Timestamp) -> Self {
        let own = TokenBucket::empty(0.0, 0.0, now);
        Self {
            advertised,
            last_reported: advertised.per_second,
            known_to_parent: None,
            grant: None,
            divided: None,
            opens_at: now,
            own_slots: 0,
            own,
        }
    }

    pub(super) const fn per_second(&self) -> Option<f64> {
        self.advertised.per_second
    }

    /// Takes a statement in, if it is news.
    pub(super) fn update(&mut self, advertised: Advertised) -> Option<LimitChange> {
        let ends_again = advertised.per_second.is_none() && self.advertised.per_second.is_none();
        if ends_again || !advertised.supersedes(self.advertised) {
            return None;
        }
        self.advertised = advertised;
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

    /// The limit begins to hold. What came beyond it before, where all nodes sent `sent_per_second`, is made up for by a pause.
    pub(super) fn begin(&mut self, sent_per_second: f64, now: Timestamp) {
        let rate = self.rate();
        let beyond = (sent_per_second - rate).max(0.0) / rate;
        let pause = MAX_INITIAL_PAUSE.mul_f64(beyond.min(1.0));
        self.own = TokenBucket::empty(0.0, 0.0, now);
        self.opens_at = now;
        self.open_at(now + pause);
    }

    /// Nothing more is to be sent before `at`.
    pub(super) fn open_at(&mut self, at: Timestamp) {
        if at > self.opens_at + NEWER_BY {
            self.opens_at = at;
            self.own = TokenBucket::empty(self.own.rate(), f64::from(self.own_slots), at);
        }
    }

    /// The node above has told what it knows of this process: its statement, and what it grants.
    pub(super) fn apply_grant(&mut self, told: Advertised, grant: &LimitGrant, until: Timestamp) {
        self.known_to_parent = Some(told);
        let is_sound = grant.slot_per_second.is_finite() && grant.slot_per_second >= 0.0;
        let slots = grant.slots.filter(|_| is_sound).map(|slots| slots.min(MAX_SLOTS));
        self.grant = slots.map(|slots| Grant { slots, slot_per_second: grant.slot_per_second, until });
    }

    /// The node above has told nothing of this process.
    pub(super) const fn forget_parent_knowledge(&mut self) {
        self.known_to_parent = None;
    }

    /// Divides what this node has, and fills its own bucket accordingly from now on. `members_changed` tells that an earlier division
    /// does not hold.
    pub(super) fn divide(
        &mut self,
        process: &BackendProcess,
        place: &TreePosition,
        members_changed: bool,
        now: Timestamp,
    ) {
        let known = self.divided.take().filter(|_| !members_changed);
        let granted = self.granted(now).or_else(|| self.as_root(place, now));
        self.divided = granted.map(|Grant { slots, slot_per_second, .. }| {
            let among = match known {
                Some(known) if known.slots == slots => known.among,
                _ => Division::of(process, slots, &place.members),
            };
            Divided { slots, slot_per_second, among }
        });
        let (slots, slot_per_second) = match &self.divided {
            Some(divided) => (divided.among.of_node(&place.node), divided.slot_per_second),
            None => (1, self.rate() / f64::from(place.nodes.max(1))),
        };
        self.own_slots = slots;
        self.own.set(f64::from(slots) * slot_per_second, slots.into(), now);
    }

    fn granted(&self, now: Timestamp) -> Option<Grant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// What the root of the tree divides.
    fn as_root(&self, place: &TreePosition, now: Timestamp) -> Option<Grant> {
        let rate = self.rate() * place.root_share?;
        let slots = (rate as u32).saturating_add(1).min(MAX_SLOTS);
        Some(Grant { slots, slot_per_second: rate / f64::from(slots), until: now })
    }

    /// Requests a second that all nodes send together.
    fn rate(&self) -> f64 {
        self.advertised.per_second.unwrap_or_default().max(MIN_RATE)
    }

    /// How long until this node may send a request; none where its part is nothing.
    pub(super) fn wait(&self, now: Timestamp) -> Option<Duration> {
        (self.own.rate() > 0.0).then(|| self.own.time_until(1.0, now))
    }

    /// Requests a second that this node may send.
    pub(super) const fn own_per_second(&self) -> f64 {
        self.own.rate()
    }

    /// The time between two requests of all nodes.
    pub(super) fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate())
    }

    /// Whether nobody has heard the limit for a while, and this node may send a request.
    pub(super) fn is_to_be_probed(&self, now: Timestamp) -> bool {
        let is_stale = now.saturating_since(self.advertised.at) >= PROBED_AFTER;
        is_stale && self.advertised.per_second.is_some() && self.wait(now) == Some(Duration::ZERO)
    }

    /// A request is being sent.
    pub(super) fn acquire(&mut self, now: Timestamp) {
        self.own.wait(1.0, now);
        self.own.take(1.0);
    }

    /// A request was not sent after all.
    pub(super) fn release(&mut self) {
        self.own.refund(1.0);
    }

    /// What the node above is to be told, where it has not heard it.
    pub(super) fn pending_gossip(&self, process: &BackendProcess, now: Timestamp) -> Option<LimitGossip> {
        let is_pending = match self.known_to_parent {
            Some(told) => self.advertised.supersedes(told),
            None => self.is_gossiped(now),
        };
        is_pending.then(|| self.to_gossip(process, now))
    }

    /// What a node below is told and granted, where it is to be told anything.
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
            news: self.to_gossip(process, now),
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
            opens_in_ms: self.opens_at.saturating_since(now).as_millis() as u64,
        }
    }
}
