//! What one forwarding node knows of the others: how many they are, and what they have under way.
//!
//! The holder of the lease on orders is the root of a tree ([`super::uplink`], [`super::children`]). Reports add up on the
//! way to the root, and what comes back is the sum of all others. All of it may be late or missing: it makes choices
//! better, and nothing depends on it for correctness.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::{EngineWork, JoinRequest, Member},
    identity::{EngineId, NodeId},
    time::Timestamp,
};

use super::{children::Children, uplink::Uplink};

/// How long a root that had heard others waits for reports before it takes itself for cut off.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long what came from above is used.
const UPDATE_TTL: Duration = Duration::from_millis(1_500);
/// How long a root must have heard reports before its count of the nodes is good.
const COUNT_DELAY: Duration = Duration::from_secs(2);
/// How long a count is remembered: nodes that restart count twice meanwhile.
const COUNT_TTL: Duration = Duration::from_secs(12);
/// Requests at an engine below which others need not hear of them.
const MIN_ADVERTISED_REQUESTS: u32 = 2;
/// Engines of whose work others hear, the busiest first. One that is not told seems idle: where a pool has more engines
/// with work, all nodes would choose those that just miss the list.
const MAX_ADVERTISED_ENGINES: usize = 128;

/// What was told from above.
#[derive(Clone, Debug)]
struct ParentUpdate {
    work: Vec<EngineWork>,
    received_at: Timestamp,
}

/// What one node knows of the others.
#[derive(Clone, Debug)]
pub struct Fleet {
    local: Member,
    /// The nodes that report to this one.
    pub children: Children,
    /// Whom this one reports to.
    pub uplink: Uplink,
    parent_update: Option<ParentUpdate>,
    counts: Vec<(Timestamp, u32)>,
    root_since: Option<Timestamp>,
}

impl Fleet {
    /// A node that knows nobody else, and takes in `fan_in` others.
    pub fn new(local: Member, fan_in: usize) -> Self {
        Self {
            children: Children::new(local.clone(), fan_in),
            uplink: Uplink::new(local.contact()),
            local,
            parent_update: None,
            counts: Vec::new(),
            root_since: None,
        }
    }

    /// This node itself.
    pub const fn local_member(&self) -> &Member {
        &self.local
    }

    /// Notes whether this node is the root, and forgets nodes that have been silent for too long.
    pub fn tick(&mut self, is_root: bool, now: Timestamp) {
        self.root_since = is_root.then(|| self.root_since.unwrap_or(now));
        self.children.expire(now);
        self.counts.retain(|(counted_at, _)| now.saturating_since(*counted_at) < COUNT_TTL);
        // A root that has just begun has heard few of the others: what it knew of them before is better.
        if is_root && self.can_count(now) {
            self.record_count(self.children.subtree_size(), now);
        }
    }

    /// The node above has told what all others have under way, and how many nodes there are.
    pub fn record_update(&mut self, work: Vec<EngineWork>, nodes: Option<u32>, now: Timestamp) {
        self.parent_update = Some(ParentUpdate { work, received_at: now });
        if let Some(nodes) = nodes {
            self.record_count(nodes, now);
        }
    }

    /// How this node asks another one to take it in.
    pub fn join_request(&self, now: Timestamp) -> JoinRequest {
        JoinRequest {
            sender: self.local.clone(),
            heard: self.children.subtree_size(),
            room: self.children.room(now),
            avoids: self.uplink.avoided(),
        }
    }

    /// The number of nodes that may act, where it is known: the greatest of the last seconds.
    pub fn node_count(&self, now: Timestamp) -> Option<u32> {
        let recent =
            self.counts.iter().filter(|(counted_at, _)| now.saturating_since(*counted_at) < COUNT_TTL);
        recent.map(|(_, count)| *count).max()
    }

    /// What all nodes have under way except `child` and those below it, where this node has `own`.
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
                sum.unread_tokens = sum.unread_tokens.saturating_sub(work.unread_tokens);
            }
        }
        busiest(all.into_values())
    }

    /// What this node and those below it have under way.
    pub fn subtree_work(&self, local_work: &[EngineWork], now: Timestamp) -> Vec<EngineWork> {
        let mut sum = BTreeMap::new();
        add(&mut sum, local_work);
        self.children.work(now).for_each(|work| add(&mut sum, work));
        sum.into_values().collect()
    }

    /// What all other nodes have under way.
    pub fn work_of_others(&self, now: Timestamp) -> Vec<EngineWork> {
        busiest(self.total_work(&[], now).into_values())
    }

    /// Whether this node is the root, had heard of others, and has heard none of them for a while: it may be cut off
    /// from them, though the store still hears it.
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

/// The busiest engines, as others hear of them.
fn busiest(work: impl Iterator<Item = EngineWork>) -> Vec<EngineWork> {
    let mut advertised: Vec<EngineWork> =
        work.filter(|work| work.requests >= MIN_ADVERTISED_REQUESTS).collect();
    advertised.sort_by_key(|work| Reverse((work.requests, work.unread_tokens)));
    advertised.truncate(MAX_ADVERTISED_ENGINES);
    advertised
}

fn add(sum: &mut BTreeMap<EngineId, EngineWork>, work: &[EngineWork]) {
    for entry in work {
        match sum.get_mut(&entry.engine) {
            Some(total) => {
                total.requests = total.requests.saturating_add(entry.requests);
                total.unread_tokens = total.unread_tokens.saturating_add(entry.unread_tokens);
            }
            None => {
                sum.insert(entry.engine.clone(), entry.clone());
            }
        }
    }
}
