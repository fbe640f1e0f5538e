//! The rate limit that one process of a back end has advertised, and this node's part of it.
//!
//! The head of the tree of nodes cuts the limit into slots, and each node divides what it was granted further. A node sends by its own
//! slots: a token bucket that begins empty and holds one token for each. There are as many slots as the limit allows requests in a
//! second, and one more, so that what all buckets hold at once stays within what may come in some seconds.
//!
//! A grant lasts for a short time. Without one a node that heads nobody goes on with the rate that would be its part if all nodes shared
//! alike; the head's rate leaves room for those that it does not hear.

use std::time::Duration;

use paddlemount_protocol::{
    fleet::{BackendProcess, LimitGrant, LimitNews},
    identity::NodeId,
    time::Timestamp,
};

use super::division::{Division, Member};
use crate::limits::bucket::TokenBucket;

/// Requests a second that a back end gets at least that takes fewer: an answer has to tell when its limit ends.
const LEAST_PER_SECOND: f64 = 0.1;
/// Slots of one back end at most: each costs a hash for each node that reports.
const MOST_SLOTS: u32 = 64;
/// How much newer a statement must be that repeats what is known. The times of messages between nodes vary by less, and a
/// statement that came back through other nodes must not seem new.
const NEWER_BY: Duration = Duration::from_millis(100);
/// The factor by which a limit must change to count as another one: some name one anew with each answer.
const NOTABLE: f64 = 1.25;
/// How long other nodes are told that a limit has ended.
const END_TOLD_FOR: Duration = Duration::from_secs(10);
/// What was sent beyond the limit in this time before it was first heard is made up for, by a pause of this length at most.
pub const MADE_UP_FOR: Duration = Duration::from_secs(4);

/// A node's place in the tree, for its part of limits.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlace {
    /// The node.
    pub node: NodeId,
    /// The part of all nodes that it speaks for with those below it, where nobody stands above it.
    pub headed_part: Option<f64>,
    /// The number of nodes.
    pub nodes: u32,
    /// The node itself and those that report to it.
    pub members: Vec<Member>,
}

impl Default for FleetPlace {
    fn default() -> Self {
        Self { node: NodeId::from(""), headed_part: None, nodes: 1, members: Vec::new() }
    }
}

/// What a back end has said of its limit, and when that was heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// Requests a second that it takes from all nodes together; none where it names no limit any more.
    pub per_second: Option<f64>,
    /// When it was heard, by any node.
    pub at: Timestamp,
}

impl Stated {
    /// What another node told in a message that was written at `written_at`, or shortly after.
    pub fn told(news: &LimitNews, written_at: Timestamp) -> Option<Self> {
        let is_sound = news.per_second.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let at = written_at - Duration::from_millis(news.age_ms);
        is_sound.then_some(Self { per_second: news.per_second, at })
    }

    /// Whether this says more than `known`.
    fn is_news_after(self, known: Self) -> bool {
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
    rate > before * NOTABLE || rate < before / NOTABLE
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
    stated: Stated,
    /// The limit of the last change that was given out.
    noted: Option<f64>,
    /// What the node above has told last; none where it told nothing of this process.
    told_above: Option<Stated>,
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
    pub(super) fn new(stated: Stated, now: Timestamp) -> Self {
        let own = TokenBucket::empty(0.0, 0.0, now);
        Self {
            stated,
            noted: stated.per_second,
            told_above: None,
            grant: None,
            divided: None,
            opens_at: now,
            own_slots: 0,
            own,
        }
    }

    pub(super) const fn per_second(&self) -> Option<f64> {
        self.stated.per_second
    }

    /// Takes a statement in, if it is news.
    pub(super) fn state(&mut self, stated: Stated) -> Option<LimitChange> {
        let ends_again = stated.per_second.is_none() && self.stated.per_second.is_none();
        if ends_again || !stated.is_news_after(self.stated) {
            return None;
        }
        self.stated = stated;
        let before = self.noted;
        let change = match (before, stated.per_second) {
            (None, Some(rate)) => LimitChange::Began(rate),
            (Some(before), Some(rate)) if is_other_rate(before, rate) => LimitChange::Changed(rate),
            (Some(_), None) => LimitChange::Ended,
            (Some(_), Some(_)) | (None, None) => return None,
        };
        self.noted = stated.per_second;
        Some(change)
    }

    /// The limit begins to hold. What came beyond it before, where all nodes sent `sent_per_second`, is made up for by a pause.
    pub(super) fn begin(&mut self, sent_per_second: f64, now: Timestamp) {
        let rate = self.rate();
        let beyond = (sent_per_second - rate).max(0.0) / rate;
        let pause = MADE_UP_FOR.mul_f64(beyond.min(1.0));
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
    pub(super) fn take_grant(&mut self, told: Stated, grant: &LimitGrant, until: Timestamp) {
        self.told_above = Some(told);
        let is_sound = grant.slot_per_second.is_finite() && grant.slot_per_second >= 0.0;
        let slots = grant.slots.filter(|_| is_sound).map(|slots| slots.min(MOST_SLOTS));
        self.grant = slots.map(|slots| Grant { slots, slot_per_second: grant.slot_per_second, until });
    }

    /// The node above has told nothing of this process.
    pub(super) const fn untold_above(&mut self) {
        self.told_above = None;
    }

    /// Divides what this node has, and fills its own bucket accordingly from now on. `members_changed` tells that an earlier division
    /// does not hold.
    pub(super) fn divide(
        &mut self,
        process: &BackendProcess,
        place: &FleetPlace,
        members_changed: bool,
        now: Timestamp,
    ) {
        let known = self.divided.take().filter(|_| !members_changed);
        let granted = self.granted(now).or_else(|| self.headed(place, now));
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

    /// What the head of the tree divides.
    fn headed(&self, place: &FleetPlace, now: Timestamp) -> Option<Grant> {
        let rate = self.rate() * place.headed_part?;
        let slots = (rate as u32).saturating_add(1).min(MOST_SLOTS);
        Some(Grant { slots, slot_per_second: rate / f64::from(slots), until: now })
    }

    /// Requests a second that all nodes send together.
    fn rate(&self) -> f64 {
        self.stated.per_second.unwrap_or_default().max(LEAST_PER_SECOND)
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

    /// A request is being sent.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.own.wait(1.0, now);
        self.own.take(1.0);
    }

    /// A request was not sent after all.
    pub(super) fn give_back(&mut self) {
        self.own.refund(1.0);
    }

    /// What the node above is to be told, where it has not heard it.
    pub(super) fn news(&self, process: &BackendProcess, now: Timestamp) -> Option<LimitNews> {
        let is_news = match self.told_above {
            Some(told) => self.stated.is_news_after(told),
            None => self.is_told(now),
        };
        is_news.then(|| self.to_news(process, now))
    }

    /// What a node below is told and granted, where it is to be told anything.
    pub(super) fn grant_for(
        &self,
        process: &BackendProcess,
        node: &NodeId,
        now: Timestamp,
    ) -> Option<LimitGrant> {
        if !self.is_told(now) {
            return None;
        }
        let divided = self.divided.as_ref().filter(|_| self.stated.per_second.is_some());
        Some(LimitGrant {
            news: self.to_news(process, now),
            slots: divided.map(|divided| divided.among.of_node(node)),
            slot_per_second: divided.map_or(0.0, |divided| divided.slot_per_second),
        })
    }

    fn is_told(&self, now: Timestamp) -> bool {
        self.stated.per_second.is_some() || now.saturating_since(self.stated.at) < END_TOLD_FOR
    }

    fn to_news(&self, process: &BackendProcess, now: Timestamp) -> LimitNews {
        let age = now.saturating_since(self.stated.at);
        LimitNews {
            process: process.clone(),
            per_second: self.stated.per_second,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            opens_in_ms: self.opens_at.saturating_since(now).as_millis() as u64,
        }
    }
}
