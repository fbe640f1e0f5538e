//! A node's place in the tree of nodes.
//!
//! Each node finds its place by itself: it asks the root or a known ancestor to accept it, and follows
//! referrals ([`super::children::Children::admit`]). It knows the path from the root to its parent, so that
//! only the children of a node that fails look for another place, and they ask the next ancestor rather than
//! the root.
//!
//! A node detects a cycle when it finds itself on the path to its parent. Until then the ages of relayed
//! proofs only grow along the cycle, so that no outdated proof is accepted.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::Contact, identity::NodeId, time::Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// How long a node that did not answer, or refused, is not asked again.
const AVOID_PERIOD: Duration = Duration::from_secs(3);
/// The first pause after which its children ask the root again although it failed; it doubles up to [`AVOID_PERIOD`]. A
/// root that has just started anew knows no other node until they do.
const ROOT_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The maximum number of successive referrals before a node starts over; far above the depth of a large tree.
const MAX_REFERRALS: u32 = 12;
/// How long a node stays with ancestors without contact to the root. It covers the expiry of a lease, the
/// election of another leader, and the time in which the highest ancestor finds its place below the new one.
const ROOT_CONTACT_TIMEOUT: Duration = Duration::from_secs(6);
/// The maximum jitter by which nodes spread out when they leave: all descendants of a partitioned node may
/// leave at once.
const ROOT_CONTACT_JITTER_MS: u64 = 3_000;

/// What a node does next to find or keep its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// This node is the leader, or knows no node to ask.
    Wait,
    Join(Contact),
    Report(Contact),
}

#[derive(Clone, Copy, Debug)]
struct RootRetry {
    last: Timestamp,
    pause: Duration,
}

/// A node's place in the tree.
#[derive(Clone, Debug)]
pub struct Uplink {
    local: Contact,
    /// The path from the root to the parent, which comes last.
    ancestors: Vec<Contact>,
    /// Whether the last of `ancestors` has accepted this node.
    is_joined: bool,
    referred_to: Option<Contact>,
    referrals: u32,
    avoided: BTreeMap<NodeId, Timestamp>,
    /// When this node's parent, the root, was last asked since it failed.
    root_retry: Option<RootRetry>,
    /// When the root last reached this node through its ancestors; initially the time of joining.
    root_seen_at: Option<Timestamp>,
}

impl Uplink {
    /// A node without a place.
    pub const fn new(local: Contact) -> Self {
        Self {
            local,
            ancestors: Vec::new(),
            is_joined: false,
            referred_to: None,
            referrals: 0,
            avoided: BTreeMap::new(),
            root_retry: None,
            root_seen_at: None,
        }
    }

    /// The next step, where `root` is the known leader, if any; `is_leader` is set if this node leads.
    pub fn next_step(&mut self, root: Option<&Contact>, is_leader: bool, now: Timestamp) -> NextStep {
        self.avoided.retain(|_, at| now.saturating_since(*at) < AVOID_PERIOD);
        if is_leader {
            self.ancestors.clear();
            self.is_joined = false;
            self.referred_to = None;
            return NextStep::Wait;
        }
        if self.has_lost_root(root, now) {
            self.leave_parent(now);
        }
        if self.is_joined
            && let Some(parent) = self.ancestors.last()
        {
            return NextStep::Report(parent.clone());
        }
        if let Some(to) = self.referred_to.clone().filter(|to| self.can_ask(to)) {
            return NextStep::Join(to);
        }
        self.referrals = 0;
        let candidate = self.ancestors.iter().rev().chain(root).find(|contact| self.can_ask(contact));
        if let Some(contact) = candidate {
            return NextStep::Join(contact.clone());
        }
        match root.filter(|root| root.node != self.local.node && self.may_retry_root(now)) {
            Some(root) => NextStep::Join(root.clone()),
            None => NextStep::Wait,
        }
    }

    /// Whether a child of the root may ask it although it failed; if so, the next pause is longer.
    fn may_retry_root(&mut self, now: Timestamp) -> bool {
        let Some(retry) = &mut self.root_retry else { return false };
        if now.saturating_since(retry.last) < retry.pause {
            return false;
        }
        *retry = RootRetry { last: now, pause: (retry.pause * 2).min(AVOID_PERIOD) };
        true
    }

    /// Records that `parent` has accepted this node.
    pub fn joined(&mut self, parent: Contact, now: Timestamp) {
        self.truncate_ancestors(&parent.node);
        self.avoided.remove(&parent.node);
        self.root_retry = None;
        self.ancestors.push(parent);
        self.is_joined = true;
        self.referred_to = None;
        self.referrals = 0;
        self.root_seen_at = Some(now);
    }

    /// Records a referral to another node.
    pub fn referred(&mut self, to: Contact) {
        self.is_joined = false;
        self.referrals += 1;
        self.referred_to = (self.referrals <= MAX_REFERRALS).then_some(to);
    }

    /// Records that a node did not answer, or refused this one: it is left, and avoided for a while.
    pub fn failed(&mut self, node: &NodeId, now: Timestamp) {
        self.avoided.insert(node.clone(), now);
        if self.ancestors.last().is_some_and(|parent| parent.node == *node) {
            self.ancestors.pop();
            self.is_joined = false;
            if self.ancestors.is_empty() {
                self.root_retry = Some(RootRetry { last: now, pause: ROOT_RETRY_PAUSE });
            }
        }
        if self.referred_to.as_ref().is_some_and(|to| to.node == *node) {
            self.referred_to = None;
        }
    }

    /// Records that a node has become the leader, so that it runs and may be asked.
    pub fn leads(&mut self, node: &NodeId) {
        self.avoided.remove(node);
    }

    /// Records the path from the root to the parent, as sent by the parent, and how long ago the parent had
    /// contact to the root. Returns false and leaves the parent if this node itself is on the path.
    pub fn update_path(&mut self, path: Vec<Contact>, root_age: Option<Duration>, now: Timestamp) -> bool {
        if path.iter().any(|contact| contact.node == self.local.node) {
            self.leave_parent(now);
            return false;
        }
        if let Some(age) = root_age {
            self.root_seen_at = self.root_seen_at.max(Some(now - age));
        }
        if path.last() == self.ancestors.last() {
            self.ancestors = path;
        }
        true
    }

    /// The path from the root to this node, which comes last, to be sent to the children.
    pub fn path(&self) -> Vec<Contact> {
        let ancestors = self.ancestors.iter().filter(|_| self.is_joined);
        ancestors.chain([&self.local]).cloned().collect()
    }

    /// Whether `node` is this node or one of its ancestors.
    pub fn is_self_or_ancestor(&self, node: &NodeId) -> bool {
        self.local.node == *node
            || (self.is_joined && self.ancestors.iter().any(|contact| contact.node == *node))
    }

    /// The node that this one reports to.
    pub fn parent(&self) -> Option<&Contact> {
        self.ancestors.last().filter(|_| self.is_joined)
    }

    /// The number of ancestors.
    pub fn depth(&self) -> usize {
        if self.is_joined { self.ancestors.len() } else { 0 }
    }

    /// How long ago the root last reached this node through its ancestors.
    pub fn root_age(&self, is_leader: bool, now: Timestamp) -> Option<Duration> {
        if is_leader {
            return Some(Duration::ZERO);
        }
        self.root_seen_at.map(|at| now.saturating_since(at))
    }

    /// The nodes that are currently not asked.
    pub fn avoided(&self) -> Vec<NodeId> {
        self.avoided.keys().cloned().collect()
    }

    /// Whether the ancestors have had no contact to the root for too long, although a leader is known.
    fn has_lost_root(&self, root: Option<&Contact>, now: Timestamp) -> bool {
        let Some(root) = root.filter(|root| self.is_joined && !self.avoided.contains_key(&root.node)) else {
            return false;
        };
        let jitter = xxh3_64(self.local.node.as_str().as_bytes()) % ROOT_CONTACT_JITTER_MS;
        let timeout = ROOT_CONTACT_TIMEOUT + Duration::from_millis(jitter);
        let is_expired = self.root_seen_at.is_none_or(|at| now.saturating_since(at) >= timeout);
        is_expired && self.ancestors.last().is_none_or(|parent| parent.node != root.node)
    }

    /// Leaves the parent and forgets all ancestors.
    fn leave_parent(&mut self, now: Timestamp) {
        if let Some(parent) = self.ancestors.last() {
            self.avoided.insert(parent.node.clone(), now);
        }
        self.ancestors.clear();
        self.is_joined = false;
        self.root_seen_at = None;
    }

    fn can_ask(&self, contact: &Contact) -> bool {
        contact.node != self.local.node && !self.avoided.contains_key(&contact.node)
    }

    /// Drops `parent` and everything below it from the known path.
    fn truncate_ancestors(&mut self, parent: &NodeId) {
        if let Some(position) = self.ancestors.iter().position(|contact| contact.node == *parent) {
            self.ancestors.truncate(position);
        }
    }
}
