//! What one forwarding node knows of the others, and whom it reports to.
//!
//! The holder of the lease on orders is the root; each zone but the root's has one node that stands between. Reports
//! add up on the way to the root, and what comes back is the sum of all others. All of it may be late or missing: it
//! makes choices better, and nothing depends on it for correctness.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    fleet::{EngineWork, Member},
    identity::{EngineId, NodeId},
    time::Timestamp,
};
use xxhash_rust::xxh3::Xxh3;

/// How long a node that says nothing still counts.
const SILENT: Duration = Duration::from_secs(8);
/// How long a node that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(3);
/// How long a root that had heard others waits for reports before it takes itself for cut off.
const DESERTED: Duration = Duration::from_millis(2_500);
/// How long what came from above is used.
const FRESH: Duration = Duration::from_millis(1_500);
/// How long a root must have heard reports before its count of the nodes is good.
const COUNTING: Duration = Duration::from_secs(2);
/// How long a count is remembered: nodes that restart count twice meanwhile.
const REMEMBERED: Duration = Duration::from_secs(12);
/// Requests at an engine below which others need not hear of them.
const FEWEST_TOLD: u32 = 2;
/// Engines of whose work others hear, the busiest first. One that is not told seems idle: where a pool has more engines
/// with work, all nodes would choose those that just miss the list.
const MOST_TOLD: usize = 128;

/// What a node below has reported.
#[derive(Clone, Debug)]
struct Below {
    members: Vec<Member>,
    work: Vec<EngineWork>,
    at: Timestamp,
}

/// What was told from above.
#[derive(Clone, Debug)]
struct Above {
    work: Vec<EngineWork>,
    at: Timestamp,
}

/// What one node knows of the others.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Member,
    below: BTreeMap<NodeId, Below>,
    above: Option<Above>,
    members: Vec<Member>,
    counts: Vec<(Timestamp, u32)>,
    root_since: Option<Timestamp>,
    passed_over: BTreeMap<NodeId, Timestamp>,
}

impl Fleet {
    /// A node that knows nobody else.
    pub const fn new(me: Member) -> Self {
        Self {
            me,
            below: BTreeMap::new(),
            above: None,
            members: Vec::new(),
            counts: Vec::new(),
            root_since: None,
            passed_over: BTreeMap::new(),
        }
    }

    /// This node itself.
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Notes whether this node is the root, and forgets nodes that have been silent for too long.
    pub fn tick(&mut self, is_root: bool, now: Timestamp) {
        self.root_since = is_root.then(|| self.root_since.unwrap_or(now));
        self.below.retain(|_, below| now.saturating_since(below.at) < SILENT);
        self.passed_over.retain(|_, at| now.saturating_since(*at) < PASSED_OVER);
        self.counts.retain(|(at, _)| now.saturating_since(*at) < REMEMBERED);
        // A root that has just begun has heard few of the others: what it knew of them before is better.
        if is_root && self.counts_well(now) {
            self.members = self.subtree_members();
            self.remember_count(self.members.len() as u32, now);
        }
    }

    /// A node below has reported itself, those below it, and what they have under way.
    pub fn reported(&mut self, sender: Member, below: Vec<Member>, work: Vec<EngineWork>, now: Timestamp) {
        let mut members = below;
        let node = sender.node.clone();
        members.push(sender);
        self.below.insert(node, Below { members, work, at: now });
    }

    /// The node above has told what all others have under way, how many nodes there are, and which.
    pub fn told(
        &mut self,
        work: Vec<EngineWork>,
        nodes: Option<u32>,
        members: Option<Vec<Member>>,
        now: Timestamp,
    ) {
        self.above = Some(Above { work, at: now });
        if let Some(members) = members {
            self.members = members;
        }
        if let Some(nodes) = nodes {
            self.remember_count(nodes, now);
        }
    }

    /// A node did not answer: for a while it isn't reported to.
    pub fn failed(&mut self, node: &NodeId, now: Timestamp) {
        self.passed_over.insert(node.clone(), now);
    }

    /// The number of nodes that may act, where it is known: the greatest of the last seconds.
    pub fn count(&self, now: Timestamp) -> Option<u32> {
        let recent = self.counts.iter().filter(|(at, _)| now.saturating_since(*at) < REMEMBERED);
        recent.map(|(_, count)| *count).max()
    }

    /// The nodes as last heard of, in order.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The nodes below this one.
    pub fn members_below(&self) -> Vec<Member> {
        self.below.values().flat_map(|below| below.members.iter().cloned()).collect()
    }

    /// The number of nodes that report to this one.
    pub fn reporting(&self) -> usize {
        self.below.len()
    }

    /// Whether other nodes report to this one.
    pub fn is_reported_to(&self) -> bool {
        !self.below.is_empty()
    }

    /// The digest of a list of members.
    pub fn members_digest(members: &[Member]) -> u64 {
        let mut hash = Xxh3::new();
        for member in members {
            hash.update(member.node.as_str().as_bytes());
            hash.update(member.address.to_string().as_bytes());
        }
        hash.digest()
    }

    /// Whom this node reports to: the root itself in the root's zone, elsewhere the strongest node of the zone, which
    /// reports to the root. Where nobody is known to lead, or the root did not answer lately, the strongest node of
    /// the zone asks the store for all others of the zone. Nobody, where this node is the root or that node.
    pub fn parent(&self, root: Option<(&NodeId, SocketAddr)>, now: Timestamp) -> Option<Member> {
        let first_of_zone = || self.first_of_zone(now).filter(|first| first.node != self.me.node).cloned();
        let Some((root, address)) = root else { return first_of_zone() };
        if *root == self.me.node {
            return None;
        }
        let zone_of_root = self.members.iter().find(|member| member.node == *root).map(|member| &member.zone);
        let elsewhere = zone_of_root.is_some_and(|zone| *zone != self.me.zone);
        if elsewhere && let Some(between) = first_of_zone() {
            return Some(between);
        }
        if self.is_passed_over(root, now) {
            return first_of_zone();
        }
        let zone = zone_of_root.unwrap_or(&self.me.zone).clone();
        Some(Member { node: root.clone(), zone, address, capacity: 0 })
    }

    /// What all nodes have under way except `child` and those below it.
    pub fn work_beside(&self, child: &NodeId, own: &[EngineWork], now: Timestamp) -> Vec<EngineWork> {
        let above = self.above.as_ref().filter(|above| now.saturating_since(above.at) < FRESH);
        let above = above.filter(|_| self.root_since.is_none()).into_iter().flat_map(|above| &above.work);
        let recent = |below: &&Below| now.saturating_since(below.at) < FRESH;
        let others = self.below.iter().filter(|(node, _)| *node != child).map(|(_, below)| below);
        let below = others.filter(recent).flat_map(|below| &below.work);
        let mut sum = summed(own.iter().chain(above).chain(below));
        sum.retain(|work| work.requests >= FEWEST_TOLD);
        sum.sort_by_key(|work| Reverse((work.requests, work.unread_tokens)));
        sum.truncate(MOST_TOLD);
        sum
    }

    /// What this node and those below it have under way.
    pub fn work_below(&self, own: &[EngineWork], now: Timestamp) -> Vec<EngineWork> {
        let recent = self.below.values().filter(|below| now.saturating_since(below.at) < FRESH);
        summed(own.iter().chain(recent.flat_map(|below| &below.work)))
    }

    /// Whether this node is the root, had heard of others, and has heard none of them for a while: it may be cut off
    /// from them, though the store still hears it.
    pub fn is_deserted(&self, now: Timestamp) -> bool {
        let long_enough = self.root_since.is_some_and(|since| now.saturating_since(since) >= DESERTED);
        let newest = self.below.values().map(|below| below.at).max();
        long_enough && newest.is_some_and(|at| now.saturating_since(at) >= DESERTED)
    }

    /// What all other nodes have under way.
    pub fn work_of_others(&self, now: Timestamp) -> Vec<EngineWork> {
        self.work_beside(&self.me.node, &[], now)
    }

    fn first_of_zone(&self, now: Timestamp) -> Option<&Member> {
        let of_zone = self.members.iter().filter(|member| member.zone == self.me.zone);
        of_zone
            .filter(|member| !self.is_passed_over(&member.node, now))
            .min_by_key(|member| (Reverse(member.capacity), &member.node))
    }

    fn is_passed_over(&self, node: &NodeId, now: Timestamp) -> bool {
        self.passed_over.get(node).is_some_and(|at| now.saturating_since(*at) < PASSED_OVER)
    }

    fn subtree_members(&self) -> Vec<Member> {
        let mut members = self.members_below();
        members.push(self.me.clone());
        members.sort();
        members.dedup_by(|left, right| left.node == right.node);
        members
    }

    fn counts_well(&self, now: Timestamp) -> bool {
        self.root_since.is_some_and(|since| now.saturating_since(since) >= COUNTING)
    }

    fn remember_count(&mut self, count: u32, now: Timestamp) {
        match self.counts.last_mut() {
            Some((at, last)) if *last == count => *at = now,
            _ => self.counts.push((now, count)),
        }
    }
}

fn summed<'a>(work: impl Iterator<Item = &'a EngineWork>) -> Vec<EngineWork> {
    let mut by_engine: BTreeMap<&EngineId, EngineWork> = BTreeMap::new();
    for part in work {
        let none = EngineWork { engine: part.engine.clone(), requests: 0, unread_tokens: 0 };
        let sum = by_engine.entry(&part.engine).or_insert(none);
        sum.requests += part.requests;
        sum.unread_tokens += part.unread_tokens;
    }
    by_engine.into_values().collect()
}
