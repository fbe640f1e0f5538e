//! What one forwarding node knows of the others: how many they are, and their requests in flight.
//!
//! The leader is the root of a tree ([`super::uplink`], [`super::children`]). Reports are summed up on their
//! way to the root, and each node receives the sum of all others in return. This information may be late or
//! missing: it improves choices, and nothing depends on it for correctness.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::{EngineWork, JoinRequest, Member},
    identity::{EngineId, NodeId},
    time::Timestamp,
};

use super::{
    children::Children,
    membership::{KnownMembers, Membership},
    uplink::Uplink,
};

/// How long a root that had children waits for reports before it considers itself partitioned.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an update of the parent is used.
const UPDATE_TTL: Duration = Duration::from_millis(1_500);
/// How long a node must have been the root before its count of the nodes is valid.
const COUNT_DELAY: Duration = Duration::from_secs(2);
/// How long a count is remembered. Nodes that restart are counted twice in this time.
const COUNT_TTL: Duration = Duration::from_secs(12);
/// The number of requests at an engine from which on its work is advertised to other nodes.
const MIN_ADVERTISED_REQUESTS: u32 = 2;
/// The maximum number of engines whose work is advertised, the busiest first. An engine that is left out
/// appears idle, so this must exceed the number of busy engines in a pool.
const MAX_ADVERTISED_ENGINES: usize = 128;

/// The last update of the parent.
#[derive(Clone, Debug)]
struct ParentUpdate {
    work: Vec<EngineWork>,
    received_at: Timestamp,
}

/// What one node knows of the others.
#[derive(Clone, Debug)]
pub struct Fleet {
    local: Member,
    pub children: Children,
    pub uplink: Uplink,
    parent_update: Option<ParentUpdate>,
    /// The nodes of this subtree.
    subtree: Membership,
    /// All nodes, as the parent last listed them, or this subtree at the root and until a parent has.
    members: KnownMembers,
    /// Whether a parent has listed all nodes since this one started.
    is_listed_by_parent: bool,
    counts: Vec<(Timestamp, u32)>,
    root_since: Option<Timestamp>,
}

impl Fleet {
    /// A node that knows no others and accepts `fan_in` children.
    pub fn new(local: Member, fan_in: usize) -> Self {
        Self {
            children: Children::new(local.clone(), fan_in),
            uplink: Uplink::new(local.contact()),
            subtree: Membership::new(vec![local.clone()]),
            members: KnownMembers::default(),
            is_listed_by_parent: false,
            local,
            parent_update: None,
            counts: Vec::new(),
            root_since: None,
        }
    }

    /// This node's own entry.
    pub const fn local_member(&self) -> &Member {
        &self.local
    }

    /// Updates the role of this node, and removes expired children and counts.
    pub fn tick(&mut self, is_root: bool, now: Timestamp) {
        self.root_since = is_root.then(|| self.root_since.unwrap_or(now));
        self.children.expire(now);
        self.list_subtree(is_root, now);
        self.members.tick(now);
        self.counts.retain(|(counted_at, _)| now.saturating_since(*counted_at) < COUNT_TTL);
        // A new root has few reports yet: the count that it received before is better.
        if is_root && self.can_count(now) {
            self.record_count(self.children.subtree_size(), now);
        }
    }

    /// Looks through the nodes of the subtree, and counts with them if no other node lists all. Returns whether this
    /// changes which nodes count.
    pub fn list_subtree(&mut self, is_root: bool, now: Timestamp) -> bool {
        self.subtree = Membership::new(self.children.subtree_members());
        if !is_root && self.is_listed_by_parent {
            return false;
        }
        let before = self.members.all().hash();
        self.members.set_listed(self.subtree.clone(), now);
        self.members.all().hash() != before
    }

    /// Records an update of the parent: the requests in flight at all other nodes, and the number of nodes.
    pub fn record_update(&mut self, work: Vec<EngineWork>, nodes: Option<u32>, now: Timestamp) {
        self.parent_update = Some(ParentUpdate { work, received_at: now });
        if let Some(nodes) = nodes {
            self.record_count(nodes, now);
        }
    }

    /// The request by which this node asks another one to accept it as a child.
    pub fn join_request(&self, now: Timestamp) -> JoinRequest {
        JoinRequest {
            sender: self.local.clone(),
            reporting_nodes: self.children.subtree_size(),
            join_capacity: self.children.join_capacity(now),
            unresponsive: self.uplink.avoided(),
        }
    }

    /// The nodes of this subtree.
    pub const fn subtree(&self) -> &Membership {
        &self.subtree
    }

    /// All known nodes.
    pub const fn members(&self) -> &KnownMembers {
        &self.members
    }

    /// Records the parent's list of all nodes.
    pub fn set_listed(&mut self, listed: Membership, now: Timestamp) {
        self.members.set_listed(listed, now);
        self.is_listed_by_parent = true;
    }

    /// The number of nodes, if known: the maximum of the recent counts.
    pub fn node_count(&self, now: Timestamp) -> Option<u32> {
        let recent =
            self.counts.iter().filter(|(counted_at, _)| now.saturating_since(*counted_at) < COUNT_TTL);
        recent.map(|(_, count)| *count).max()
    }

    /// The requests in flight at all nodes except the subtree of `child`, where this node has `local_work`.
    pub fn work_excluding(
        &self,
        child: &NodeId,
        local_work: &[EngineWork],
        now: Timestamp,
    ) -> Vec<EngineWork> {
        let mut all = self.total_work(local_work, now);
        for work in self.children.work_of(child, now) {
            if let Some(sum) = all.get_mut(&work.engine) {
                sum.requests = sum.requests.saturating_sub(work.requests);
                sum.pending_prefill_tokens =
                    sum.pending_prefill_tokens.saturating_sub(work.pending_prefill_tokens);
            }
        }
        busiest(all.into_values())
    }

    /// The requests in flight at this node's subtree.
    pub fn subtree_work(&self, local_work: &[EngineWork], now: Timestamp) -> Vec<EngineWork> {
        let mut sum = BTreeMap::new();
        add(&mut sum, local_work);
        self.children.work(now).for_each(|work| add(&mut sum, work));
        sum.into_values().collect()
    }

    /// The requests in flight at all other nodes.
    pub fn work_of_others(&self, now: Timestamp) -> Vec<EngineWork> {
        busiest(self.total_work(&[], now).into_values())
    }

    /// Whether this node is the root, has had reports, and has received none for some time: it may be cut off
    /// from the other nodes although it reaches the store.
    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        let is_established =
            self.root_since.is_some_and(|since| now.saturating_since(since) >= REPORT_TIMEOUT);
        let newest = self.children.last_report();
        is_established
            && newest.is_some_and(|received_at| now.saturating_since(received_at) >= REPORT_TIMEOUT)
    }

    fn total_work(&self, local_work: &[EngineWork], now: Timestamp) -> BTreeMap<EngineId, EngineWork> {
        let mut sum = BTreeMap::new();
        add(&mut sum, local_work);
        let parent_update = self
            .parent_update
            .as_ref()
            .filter(|update| now.saturating_since(update.received_at) < UPDATE_TTL);
        if let Some(parent_update) = parent_update.filter(|_| self.root_since.is_none()) {
            add(&mut sum, &parent_update.work);
        }
        self.children.work(now).for_each(|work| add(&mut sum, work));
        sum
    }

    fn can_count(&self, now: Timestamp) -> bool {
        self.root_since.is_some_and(|since| now.saturating_since(since) >= COUNT_DELAY)
    }

    fn record_count(&mut self, count: u32, now: Timestamp) {
        match self.counts.last_mut() {
            Some((counted_at, last)) if *last == count => *counted_at = now,
            _ => self.counts.push((now, count)),
        }
    }
}

/// The busiest engines, as advertised to other nodes.
fn busiest(work: impl Iterator<Item = EngineWork>) -> Vec<EngineWork> {
    let mut advertised: Vec<EngineWork> =
        work.filter(|work| work.requests >= MIN_ADVERTISED_REQUESTS).collect();
    advertised.sort_by_key(|work| Reverse((work.requests, work.pending_prefill_tokens)));
    advertised.truncate(MAX_ADVERTISED_ENGINES);
    advertised
}

fn add(sum: &mut BTreeMap<EngineId, EngineWork>, work: &[EngineWork]) {
    for entry in work {
        match sum.get_mut(&entry.engine) {
            Some(total) => {
                total.requests = total.requests.saturating_add(entry.requests);
                total.pending_prefill_tokens =
                    total.pending_prefill_tokens.saturating_add(entry.pending_prefill_tokens);
            }
            None => {
                sum.insert(entry.engine.clone(), entry.clone());
            }
        }
    }
}
