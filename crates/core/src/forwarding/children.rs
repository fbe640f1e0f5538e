//! The nodes that report to one node, and whom it takes in.
//!
//! What a node spends on those below it is bounded by its own machine, whatever the size of the fleet: it takes in a fixed
//! number ([`fan_in`]) and refers others to a node below it that has room. Strong machines are moved up and small ones
//! down, so that the tree is shallow: fifty machines that carry twenty others each stand before a thousand in four levels.
//! A zone is entered once where it has room: what crosses zones is paid for.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::{Contact, EngineWork, JoinRequest, Member, Report},
    identity::NodeId,
    time::Timestamp,
};

/// How long a node that says nothing still counts: it may act on a count of nodes that it has heard.
const SILENT: Duration = Duration::from_secs(8);
/// How long what a node has told is used, and its place is kept for it. Reports come five times a second.
const FRESH: Duration = Duration::from_millis(1_500);
/// Nodes that one node takes in for each whole processor that it has. A report and its answer take some 0.3 ms of one, five
/// times a second: a tenth of what a small machine has.
const PER_PROCESSOR: f64 = 50.0;
/// Nodes that one node takes in for each Mbit/s of its link: an answer of some 6 KB, five times a second, for each.
const PER_MBPS: f64 = 0.6;
/// Bounds of the number of nodes that one node takes in. More than the least would do no more than fill it: the levels of
/// the tree grow with the logarithm of its size.
const FAN_IN_BOUNDS: (f64, f64) = (3.0, 20.0);

/// How many nodes a machine takes in that has this share of a processor, and a link of so many Mbit/s.
pub fn fan_in(processor_share: f64, link_mbps: f64) -> usize {
    let fits = (processor_share * PER_PROCESSOR).min(link_mbps * PER_MBPS);
    fits.clamp(FAN_IN_BOUNDS.0, FAN_IN_BOUNDS.1) as usize
}

/// What a node that reports has told.
#[derive(Clone, Debug)]
struct Child {
    member: Member,
    /// It and the nodes below it.
    heard: u32,
    /// How many more nodes it and those below it can take in, less those that were referred to it since it said so: where
    /// more come at once than there was room, below 0.
    room: i64,
    /// What it and those below it have under way, by engine.
    work: Vec<EngineWork>,
    /// Requests a second that callers ask of it and those below it.
    asked: f64,
    at: Timestamp,
    /// The stronger node that has taken its place: it is to report there.
    refer: Option<Contact>,
}

impl Child {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.saturating_since(self.at) < FRESH
    }
}

/// What becomes of a node that asks to be taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It reports here.
    Accepted,
    /// It is to ask another node.
    Referred(Contact),
}

/// The nodes that report to one node.
#[derive(Clone, Debug)]
pub struct Children {
    me: Member,
    fan_in: usize,
    by_node: BTreeMap<NodeId, Child>,
}

impl Children {
    /// Nobody reports yet to `me`, which takes in `fan_in` nodes.
    pub const fn new(me: Member, fan_in: usize) -> Self {
        Self { me, fan_in, by_node: BTreeMap::new() }
    }

    /// Forgets nodes that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_node.retain(|_, child| now.saturating_since(child.at) < SILENT);
    }

    /// Takes a node in, or refers it.
    pub fn admit(&mut self, request: &JoinRequest, now: Timestamp) -> Admission {
        let joiner = &request.sender;
        let stays = |child: &Child| child.refer.is_none() && child.is_fresh(now);
        if self.by_node.get(&joiner.node).is_some_and(stays) {
            return self.accept(request, now);
        }
        let fits = |child: &Child| child.room > 0 && !request.avoids.contains(&child.member.node);
        let entrance = self.best(now, |child| {
            fits(child) && child.member.zone == joiner.zone && child.member.capacity >= joiner.capacity
        });
        if let Some(entrance) = entrance.filter(|_| joiner.zone != self.me.zone) {
            return self.refer(entrance);
        }
        if self.present(now) < self.fan_in {
            return self.accept(request, now);
        }
        if let Some(weakest) = self.weakest_below(joiner.capacity, now) {
            self.displace(&weakest, joiner.contact());
            return self.accept(request, now);
        }
        // Where none is known to have room the one that was referred the fewest takes it in further down.
        let answers = |child: &Child| !request.avoids.contains(&child.member.node);
        let of_zone = |child: &Child| child.member.zone == joiner.zone;
        let next = self
            .best(now, |child| of_zone(child) && fits(child))
            .or_else(|| self.best(now, |child| of_zone(child) && answers(child)))
            .or_else(|| self.best(now, fits))
            .or_else(|| self.best(now, answers));
        match next {
            Some(next) => self.refer(next),
            // One too many here is better than a node without any.
            None => self.accept(request, now),
        }
    }

    /// A node has reported. Nothing is taken of a node that was not taken in, or whose place was taken.
    pub fn record_report(&mut self, report: &Report, now: Timestamp) -> bool {
        let Some(child) = self.by_node.get_mut(&report.sender.node) else { return false };
        child.member = report.sender.clone();
        child.heard = report.heard.max(1);
        child.room = report.room.into();
        child.work.clone_from(&report.work);
        child.work.sort_by(|left, right| left.engine.cmp(&right.engine));
        child.asked = report.asked;
        child.at = now;
        true
    }

    /// Where a node that reports here is to report from now on, if not here; it is forgotten with that. One that is stronger
    /// than this node goes one step up, to `parent`: it takes the place of a weaker one there, until all that stand above
    /// a node are at least as strong.
    pub fn take_referral(&mut self, node: &NodeId, parent: Option<&Contact>) -> Option<Contact> {
        let child = self.by_node.get(node)?;
        let rises = child.member.capacity > self.me.capacity;
        let to = child.refer.clone().or_else(|| parent.filter(|_| rises).cloned())?;
        self.by_node.remove(node);
        Some(to)
    }

    /// The node itself and those below it that were heard lately.
    pub fn subtree_size(&self) -> u32 {
        self.by_node.values().fold(1, |sum, child| sum.saturating_add(child.heard))
    }

    /// How many more nodes this one and those below it can take in.
    pub fn room(&self, now: Timestamp) -> u32 {
        let own = self.fan_in.saturating_sub(self.present(now)) as u32;
        let below = self.fresh(now).map(|child| u32::try_from(child.room).unwrap_or(0));
        below.fold(own, u32::saturating_add)
    }

    /// The number of nodes that report here.
    pub fn len(&self) -> usize {
        self.by_node.len()
    }

    /// Whether no node reports here.
    pub fn is_empty(&self) -> bool {
        self.by_node.is_empty()
    }

    /// When a node last reported.
    pub fn last_report(&self) -> Option<Timestamp> {
        self.by_node.values().map(|child| child.at).max()
    }

    /// What the nodes that report here have under way, one list for each, as far as it is recent.
    pub fn work(&self, now: Timestamp) -> impl Iterator<Item = &[EngineWork]> {
        self.fresh(now).map(|child| child.work.as_slice())
    }

    /// What one of them has under way, as far as it is recent; ordered by engine.
    pub fn work_of(&self, node: &NodeId, now: Timestamp) -> &[EngineWork] {
        let child = self.by_node.get(node).filter(|child| child.is_fresh(now));
        child.map_or(&[], |child| child.work.as_slice())
    }

    /// The nodes that report here, with the requests a second that callers ask of them and those below them.
    pub fn offered_load(&self, now: Timestamp) -> impl Iterator<Item = (&NodeId, f64)> {
        self.fresh(now).map(|child| (&child.member.node, child.asked))
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Child> {
        self.by_node.values().filter(move |child| child.is_fresh(now))
    }

    /// The nodes that report here and stay.
    fn present(&self, now: Timestamp) -> usize {
        self.fresh(now).filter(|child| child.refer.is_none()).count()
    }

    fn accept(&mut self, request: &JoinRequest, now: Timestamp) -> Admission {
        let member = request.sender.clone();
        let known = self.by_node.remove(&member.node);
        let (work, asked) = known.map(|child| (child.work, child.asked)).unwrap_or_default();
        let heard = request.heard.max(1);
        let child = Child { member, heard, room: request.room.into(), work, asked, at: now, refer: None };
        self.by_node.insert(request.sender.node.clone(), child);
        Admission::Accepted
    }

    /// The strongest node among those that fit, and the one with the most room where several are as strong: small machines
    /// stand between only where no strong one has room.
    fn best(&self, now: Timestamp, fits: impl Fn(&Child) -> bool) -> Option<Contact> {
        let fresh = self.fresh(now).filter(|child| child.refer.is_none() && fits(child));
        let best = fresh.max_by_key(|child| (child.member.capacity, child.room, Reverse(&child.member.node)));
        best.map(|child| child.member.contact())
    }

    /// The weakest node that reports here, where it is weaker than one of `capacity`.
    fn weakest_below(&self, capacity: u32, now: Timestamp) -> Option<NodeId> {
        let staying = self.fresh(now).filter(|child| child.refer.is_none());
        let weakest = staying.min_by_key(|child| (child.member.capacity, child.heard, &child.member.node))?;
        (weakest.member.capacity < capacity).then(|| weakest.member.node.clone())
    }

    fn displace(&mut self, node: &NodeId, to: Contact) {
        if let Some(child) = self.by_node.get_mut(node) {
            child.refer = Some(to);
        }
    }

    fn refer(&mut self, to: Contact) -> Admission {
        if let Some(child) = self.by_node.get_mut(&to.node) {
            child.room -= 1;
        }
        Admission::Referred(to)
    }
}
