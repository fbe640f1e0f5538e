//! The nodes that report to this one, and the decision which nodes to accept.
//!
//! A node accepts a bounded number of children ([`fan_in`]), whatever the size of the fleet, and refers
//! others to a child that has room. Strong machines move up and weak ones down, which keeps the tree shallow:
//! with fifty machines that accept twenty children each, a tree of a thousand nodes has four levels. Nodes of
//! another zone are gathered below one child of that zone where it has room, since traffic between zones
//! costs money.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::{Contact, EngineWork, JoinRequest, Member, Report},
    identity::NodeId,
    time::Timestamp,
};

use super::membership::Membership;

/// How long an unresponsive child still counts: it may act on a node count that it has received.
const CHILD_TTL: Duration = Duration::from_secs(8);
/// How long a report is used, and how long the place of its sender is reserved. Reports come five times a
/// second.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Children per processor. A report and its answer take about 0.3 ms of processor time, five times a second: the
/// children of a small machine take a tenth of what it has.
const CHILDREN_PER_PROCESSOR: f64 = 50.0;
/// Children per Mbit/s of the link. An answer has about 6 KB, five times a second.
const CHILDREN_PER_MBPS: f64 = 0.6;
/// Bounds of the number of children. The depth of the tree grows with the logarithm of its size, so more than
/// twenty would hardly make it shallower.
const FAN_IN_BOUNDS: (f64, f64) = (3.0, 20.0);

/// The number of children that a machine with this share of a processor and this link accepts.
pub fn fan_in(processor_share: f64, link_mbps: f64) -> usize {
    let supported = (processor_share * CHILDREN_PER_PROCESSOR).min(link_mbps * CHILDREN_PER_MBPS);
    supported.clamp(FAN_IN_BOUNDS.0, FAN_IN_BOUNDS.1) as usize
}

/// The last report of a child.
#[derive(Clone, Debug)]
struct Child {
    member: Member,
    /// The child and its descendants.
    subtree_size: u32,
    /// How many more nodes the child and its descendants can accept, minus the nodes referred to it since its
    /// report; negative if more were referred than it had room for.
    join_capacity: i64,
    /// Requests in flight at the child and its descendants, by engine.
    work: Vec<EngineWork>,
    /// Requests a second that callers send to the child and its descendants.
    offered_load: f64,
    reported_at: Timestamp,
    /// The nodes of the child's subtree, with the hash that they were reported with.
    members: Membership,
    /// The stronger node that has taken the child's place, to which the child is referred.
    referred_to: Option<Contact>,
}

impl Child {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.saturating_since(self.reported_at) < REPORT_TTL
    }
}

/// The answer to a join request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The node reports here.
    Accepted,
    /// The node has to ask this one instead.
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
    /// The children of `local`, which accepts `fan_in` of them; none at first.
    pub const fn new(local: Member, fan_in: usize) -> Self {
        Self { local, fan_in, by_node: BTreeMap::new() }
    }

    /// Removes children that have been unresponsive for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_node.retain(|_, child| now.saturating_since(child.reported_at) < CHILD_TTL);
    }

    /// Accepts a node, or refers it to another one.
    pub fn admit(&mut self, request: &JoinRequest, now: Timestamp) -> Admission {
        let joiner = &request.sender;
        let is_staying = |child: &Child| child.referred_to.is_none() && child.is_fresh(now);
        if self.by_node.get(&joiner.node).is_some_and(is_staying) {
            return self.accept(request, now);
        }
        let has_room =
            |child: &Child| child.join_capacity > 0 && !request.unresponsive.contains(&child.member.node);
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
        // If no child is known to have room, the least loaded by referrals accepts the node further down.
        let is_reachable = |child: &Child| !request.unresponsive.contains(&child.member.node);
        let in_zone = |child: &Child| child.member.zone == joiner.zone;
        let next = self
            .best_child(now, |child| in_zone(child) && has_room(child))
            .or_else(|| self.best_child(now, |child| in_zone(child) && is_reachable(child)))
            .or_else(|| self.best_child(now, has_room))
            .or_else(|| self.best_child(now, is_reachable));
        match next {
            Some(next) => self.refer(next),
            // Exceeding the fan-in by one is better than leaving a node without a parent.
            None => self.accept(request, now),
        }
    }

    /// Records a report. Returns false for a sender that is not a child, or no longer.
    pub fn record_report(&mut self, report: &Report, now: Timestamp) -> bool {
        let Some(child) = self.by_node.get_mut(&report.sender.node) else { return false };
        child.member = report.sender.clone();
        child.subtree_size = report.reporting_nodes.max(1);
        child.join_capacity = report.join_capacity.into();
        child.work.clone_from(&report.work);
        child.work.sort_by(|left, right| left.engine.cmp(&right.engine));
        child.offered_load = report.offered_load;
        child.reported_at = now;
        if let Some(members) = &report.members {
            child.members = Membership::new(members.clone());
        }
        true
    }

    /// Whether the nodes of a child's subtree are others than those that it last reported.
    pub fn lacks_members(&self, node: &NodeId, hash: u64) -> bool {
        self.by_node.get(node).is_some_and(|child| hash != 0 && child.members.hash() != hash)
    }

    /// The nodes of this subtree.
    pub fn subtree_members(&self) -> Vec<Member> {
        let below = self
            .by_node
            .values()
            .flat_map(|child| std::iter::once(&child.member).chain(child.members.members()));
        std::iter::once(&self.local).chain(below).cloned().collect()
    }

    /// Where a child has to report from now on, if not here; the child is then removed. A child that is
    /// stronger than this node moves up to `parent` and may displace a weaker child there, until all
    /// ancestors of a node are at least as strong as it.
    pub fn take_referral(&mut self, node: &NodeId, parent: Option<&Contact>) -> Option<Contact> {
        let child = self.by_node.get(node)?;
        let is_promoted = child.member.capacity > self.local.capacity;
        let to = child.referred_to.clone().or_else(|| parent.filter(|_| is_promoted).cloned())?;
        self.by_node.remove(node);
        Some(to)
    }

    /// The number of nodes in this subtree, including this node.
    pub fn subtree_size(&self) -> u32 {
        self.by_node.values().fold(1, |sum, child| sum.saturating_add(child.subtree_size))
    }

    /// How many more nodes this subtree can accept.
    pub fn join_capacity(&self, now: Timestamp) -> u32 {
        let own = self.fan_in.saturating_sub(self.staying_count(now)) as u32;
        let child_capacities = self.fresh(now).map(|child| u32::try_from(child.join_capacity).unwrap_or(0));
        child_capacities.fold(own, u32::saturating_add)
    }

    /// The number of children.
    pub fn len(&self) -> usize {
        self.by_node.len()
    }

    /// Whether there are no children.
    pub fn is_empty(&self) -> bool {
        self.by_node.is_empty()
    }

    /// The time of the latest report of any child.
    pub fn last_report(&self) -> Option<Timestamp> {
        self.by_node.values().map(|child| child.reported_at).max()
    }

    /// The requests in flight at each child's subtree, from reports that have not expired.
    pub fn work(&self, now: Timestamp) -> impl Iterator<Item = &[EngineWork]> {
        self.fresh(now).map(|child| child.work.as_slice())
    }

    /// The requests in flight at one child's subtree, ordered by engine; empty if its report has expired.
    pub fn work_of(&self, node: &NodeId, now: Timestamp) -> &[EngineWork] {
        let child = self.by_node.get(node).filter(|child| child.is_fresh(now));
        child.map_or(&[], |child| child.work.as_slice())
    }

    /// The children, each with the requests a second that callers send to its subtree.
    pub fn offered_load(&self, now: Timestamp) -> impl Iterator<Item = (&NodeId, f64)> {
        self.fresh(now).map(|child| (&child.member.node, child.offered_load))
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Child> {
        self.by_node.values().filter(move |child| child.is_fresh(now))
    }

    /// The number of children that are not referred elsewhere.
    fn staying_count(&self, now: Timestamp) -> usize {
        self.fresh(now).filter(|child| child.referred_to.is_none()).count()
    }

    fn accept(&mut self, request: &JoinRequest, now: Timestamp) -> Admission {
        let member = request.sender.clone();
        let known = self.by_node.remove(&member.node);
        let known = known.map(|child| (child.work, child.offered_load, child.members));
        let (work, offered_load, members) = known.unwrap_or_default();
        let subtree_size = request.reporting_nodes.max(1);
        let child = Child {
            member,
            subtree_size,
            join_capacity: request.join_capacity.into(),
            work,
            offered_load,
            reported_at: now,
            members,
            referred_to: None,
        };
        self.by_node.insert(request.sender.node.clone(), child);
        Admission::Accepted
    }

    /// The strongest matching child, and among equally strong ones the one with the most room: weak machines
    /// become inner nodes only if no strong one has room.
    fn best_child(&self, now: Timestamp, matches: impl Fn(&Child) -> bool) -> Option<Contact> {
        let fresh = self.fresh(now).filter(|child| child.referred_to.is_none() && matches(child));
        let best = fresh
            .max_by_key(|child| (child.member.capacity, child.join_capacity, Reverse(&child.member.node)));
        best.map(|child| child.member.contact())
    }

    /// The weakest child, if it is weaker than `capacity`.
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
            child.join_capacity -= 1;
        }
        Admission::Referred(to)
    }
}
