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

/// How long a node that says nothing still counts: it may act on a count of nodes that it has subtree_size.
const CHILD_TTL: Duration = Duration::from_secs(8);
/// How long what a node has told is used, and its place is kept for it. Reports come five times a second.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Nodes that one node takes in for each whole processor that it has. A report and its answer take some 0.3 ms of one, five
/// times a second: a tenth of what a small machine has.
const CHILDREN_PER_PROCESSOR: f64 = 50.0;
/// Nodes that one node takes in for each Mbit/s of its link: an answer of some 6 KB, five times a second, for each.
const CHILDREN_PER_MBPS: f64 = 0.6;
/// Bounds of the number of nodes that one node takes in. More than the least would do no more than fill it: the levels of
/// the tree grow with the logarithm of its size.
const FAN_IN_BOUNDS: (f64, f64) = (3.0, 20.0);

/// How many nodes a machine takes in that has this share of a processor, and a link of so many Mbit/s.
pub fn fan_in(processor_share: f64, link_mbps: f64) -> usize {
    let supported = (processor_share * CHILDREN_PER_PROCESSOR).min(link_mbps * CHILDREN_PER_MBPS);
    supported.clamp(FAN_IN_BOUNDS.0, FAN_IN_BOUNDS.1) as usize
}

/// What a node that reports has told.
#[derive(Clone, Debug)]
struct Child {
    member: Member,
    /// It and the nodes below it.
    subtree_size: u32,
    /// How many more nodes it and those below it can take in, less those that were referred to it since it said so: where
    /// more come at once than there was room, below 0.
    room: i64,
    /// What it and those below it have under way, by engine.
    work: Vec<EngineWork>,
    /// Requests a second that callers ask of it and those below it.
    offered_load: f64,
    reported_at: Timestamp,
    /// The stronger node that has taken its place: it is to report there.
    referred_to: Option<Contact>,
}

impl Child {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.saturating_since(self.reported_at) < REPORT_TTL
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
    local: Member,
    fan_in: usize,
    by_node: BTreeMap<NodeId, Child>,
}

impl Children {
    /// Nobody reports yet to `me`, which takes in `fan_in` nodes.
    pub const fn new(local: Member, fan_in: usize) -> Self {
        Self { local, fan_in, by_node: BTreeMap::new() }
    }

    /// Forgets nodes that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_node.retain(|_, child| now.saturating_since(child.reported_at) < CHILD_TTL);
    }

    /// Takes a node in, or refers it.
    pub fn admit(&mut self, request: &JoinRequest, now: Timestamp) -> Admission {
        let joiner = &request.sender;
        let stays = |child: &Child| child.referred_to.is_none() && child.is_fresh(now);
        if self.by_node.get(&joiner.node).is_some_and(stays) {
            return self.accept(request, now);
        }
        let has_room = |child: &Child| child.room > 0 && !request.avoids.contains(&child.member.node);
        let zone_entry = self.best_child(now, |child| {
            has_room(child) && child.member.zone == joiner.zone && child.member.capacity >= joiner.capacity
        });
        if let Some(zone_entry) = zone_entry.filter(|_| joiner.zone != self.local.zone) {
            return self.refer(zone_entry);
        }
        if self.staying_count(now) < self.fan_in {
            return self.accept(request, now);
        }
        if let Some(weakest) = self.weakest_child(joiner.capacity, now) {
            self.redirect(&weakest, joiner.contact());
            return self.accept(request, now);
        }
        // Where none is known to have room the one that was referred the fewest takes it in further down.
        let is_reachable = |child: &Child| !request.avoids.contains(&child.member.node);
        let in_zone = |child: &Child| child.member.zone == joiner.zone;
        let next = self
            .best_child(now, |child| in_zone(child) && has_room(child))
            .or_else(|| self.best_child(now, |child| in_zone(child) && is_reachable(child)))
            .or_else(|| self.best_child(now, has_room))
            .or_else(|| self.best_child(now, is_reachable));
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
        child.subtree_size = report.heard.max(1);
        child.room = report.room.into();
        child.work.clone_from(&report.work);
        child.work.sort_by(|left, right| left.engine.cmp(&right.engine));
        child.offered_load = report.asked;
        child.reported_at = now;
        true
    }

    /// Where a node that reports here is to report from now on, if not here; it is forgotten with that. One that is stronger
    /// than this node goes one step up, to `parent`: it takes the place of a weaker one there, until all that stand above
    /// a node are at least as strong.
    pub fn take_referral(&mut self, node: &NodeId, parent: Option<&Contact>) -> Option<Contact> {
        let child = self.by_node.get(node)?;
        let is_promoted = child.member.capacity > self.local.capacity;
        let to = child.referred_to.clone().or_else(|| parent.filter(|_| is_promoted).cloned())?;
        self.by_node.remove(node);
        Some(to)
    }

    /// The node itself and those below it that were subtree_size lately.
    pub fn subtree_size(&self) -> u32 {
        self.by_node.values().fold(1, |sum, child| sum.saturating_add(child.subtree_size))
    }

    /// How many more nodes this one and those below it can take in.
    pub fn room(&self, now: Timestamp) -> u32 {
        let own = self.fan_in.saturating_sub(self.staying_count(now)) as u32;
        let child_rooms = self.fresh(now).map(|child| u32::try_from(child.room).unwrap_or(0));
        child_rooms.fold(own, u32::saturating_add)
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
        self.by_node.values().map(|child| child.reported_at).max()
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
        self.fresh(now).map(|child| (&child.member.node, child.offered_load))
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Child> {
        self.by_node.values().filter(move |child| child.is_fresh(now))
    }

    /// The nodes that report here and stay.
    fn staying_count(&self, now: Timestamp) -> usize {
        self.fresh(now).filter(|child| child.referred_to.is_none()).count()
    }

    fn accept(&mut self, request: &JoinRequest, now: Timestamp) -> Admission {
        let member = request.sender.clone();
        let known = self.by_node.remove(&member.node);
        let (work, offered_load) = known.map(|child| (child.work, child.offered_load)).unwrap_or_default();
        let subtree_size = request.heard.max(1);
        let child = Child {
            member,
            subtree_size,
            room: request.room.into(),
            work,
            offered_load,
            reported_at: now,
            referred_to: None,
        };
        self.by_node.insert(request.sender.node.clone(), child);
        Admission::Accepted
    }

    /// The strongest node among those that fit, and the one with the most room where several are as strong: small machines
    /// stand between only where no strong one has room.
    fn best_child(&self, now: Timestamp, matches: impl Fn(&Child) -> bool) -> Option<Contact> {
        let fresh = self.fresh(now).filter(|child| child.referred_to.is_none() && matches(child));
        let best = fresh.max_by_key(|child| (child.member.capacity, child.room, Reverse(&child.member.node)));
        best.map(|child| child.member.contact())
    }

    /// The weakest node that reports here, where it is weaker than one of `capacity`.
    fn weakest_child(&self, capacity: u32, now: Timestamp) -> Option<NodeId> {
        let staying = self.fresh(now).filter(|child| child.referred_to.is_none());
        let weakest =
            staying.min_by_key(|child| (child.member.capacity, child.subtree_size, &child.member.node))?;
        (weakest.member.capacity < capacity).then(|| weakest.member.node.clone())
    }

    fn redirect(&mut self, node: &NodeId, to: Contact) {
        if let Some(child) = self.by_node.get_mut(node) {
            child.referred_to = Some(to);
        }
    }

    fn refer(&mut self, to: Contact) -> Admission {
        if let Some(child) = self.by_node.get_mut(&to.node) {
            child.room -= 1;
        }
        Admission::Referred(to)
    }
}
