//! Whom a node reports to.
//!
//! The nodes form a tree. Each node finds its place by itself: it asks the root, or an ancestor that it was told of, to be
//! taken in, and goes where it is referred to ([`super::fleet::Fleet::admit`]). It knows the way from the root to the node
//! that it reports to, so that it can go one step up where that one is gone: when a node that stands between ends, only
//! those that reported to it look for another place, and they ask the node above it, not the root.
//!
//! A tree that closes on itself is noticed by the first node that finds itself on the way to the node it reports to. Until
//! then nothing is told that is not so: ages of proofs only grow on their way round.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::Contact, identity::NodeId, time::Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// How long a node that did not answer, or refused, is not asked.
const AVOID_PERIOD: Duration = Duration::from_secs(3);
/// How often a node is referred on before it begins anew: the tree of a thousand nodes has four levels.
const MAX_REFERRALS: u32 = 12;
/// How long the nodes above may have heard nothing of a root before a node leaves them: a lease of 3 s runs out, another
/// node leads, and the first of the nodes above has found its place below that one, with all that report to it.
const ROOT_CONTACT_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest time by which nodes spread out when they leave: all below a node that is cut off may leave it.
const ROOT_CONTACT_JITTER_MS: u64 = 3_000;

/// What a node does next about its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing: it leads, or knows nobody to ask.
    Wait,
    /// It asks to be taken in.
    Join(Contact),
    /// It reports.
    Report(Contact),
}

/// A node's place in the tree.
#[derive(Clone, Debug)]
pub struct Uplink {
    local: Contact,
    /// The way from the root to the node that is reported to, which comes last.
    ancestors: Vec<Contact>,
    /// Whether the last of `above` has taken this node in.
    is_joined: bool,
    referred_to: Option<Contact>,
    referrals: u32,
    avoided: BTreeMap<NodeId, Timestamp>,
    /// When the root was last heard, over the nodes between; a new place counts as if it had been.
    root_seen_at: Option<Timestamp>,
}

impl Uplink {
    /// A node that has no place yet.
    pub const fn new(local: Contact) -> Self {
        Self {
            local,
            ancestors: Vec::new(),
            is_joined: false,
            referred_to: None,
            referrals: 0,
            avoided: BTreeMap::new(),
            root_seen_at: None,
        }
    }

    /// What to do next, where `root` leads as far as is known; `leads` tells that this node itself does.
    pub fn next_step(&mut self, root: Option<&Contact>, leads: bool, now: Timestamp) -> NextStep {
        self.avoided.retain(|_, at| now.saturating_since(*at) < AVOID_PERIOD);
        if leads {
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
        candidate.map_or(NextStep::Wait, |contact| NextStep::Join(contact.clone()))
    }

    /// `parent` has taken this node in.
    pub fn joined(&mut self, parent: Contact, now: Timestamp) {
        self.truncate_ancestors(&parent.node);
        self.ancestors.push(parent);
        self.is_joined = true;
        self.referred_to = None;
        self.referrals = 0;
        self.root_seen_at = Some(now);
    }

    /// This node was told to ask `to` instead.
    pub fn referred(&mut self, to: Contact) {
        self.is_joined = false;
        self.referrals += 1;
        self.referred_to = (self.referrals <= MAX_REFERRALS).then_some(to);
    }

    /// A node did not answer, or refused this node: it is left, and for a while not asked.
    pub fn failed(&mut self, node: &NodeId, now: Timestamp) {
        self.avoided.insert(node.clone(), now);
        if self.ancestors.last().is_some_and(|parent| parent.node == *node) {
            self.ancestors.pop();
            self.is_joined = false;
        }
        if self.referred_to.as_ref().is_some_and(|to| to.node == *node) {
            self.referred_to = None;
        }
    }

    /// The node that is reported to has told the way from the root to itself, and how long ago it heard of the root.
    /// Whether the way is one: where it leads over this node, that one is left.
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

    /// The way from the root to this node, which comes last: the nodes below are told.
    pub fn path(&self) -> Vec<Contact> {
        let ancestors = self.ancestors.iter().filter(|_| self.is_joined);
        ancestors.chain([&self.local]).cloned().collect()
    }

    /// Whether the node `node` stands above this one, or is this one.
    pub fn is_self_or_ancestor(&self, node: &NodeId) -> bool {
        self.local.node == *node
            || (self.is_joined && self.ancestors.iter().any(|contact| contact.node == *node))
    }

    /// The node that is reported to.
    pub fn parent(&self) -> Option<&Contact> {
        self.ancestors.last().filter(|_| self.is_joined)
    }

    /// How many nodes stand above this one.
    pub fn depth(&self) -> usize {
        if self.is_joined { self.ancestors.len() } else { 0 }
    }

    /// How long ago the root was heard of, over the nodes between.
    pub fn root_age(&self, leads: bool, now: Timestamp) -> Option<Duration> {
        if leads {
            return Some(Duration::ZERO);
        }
        self.root_seen_at.map(|at| now.saturating_since(at))
    }

    /// Nodes that are not asked for the moment.
    pub fn avoided(&self) -> Vec<NodeId> {
        self.avoided.keys().cloned().collect()
    }

    /// Whether the nodes above have been without the root for long, though another node leads.
    fn has_lost_root(&self, root: Option<&Contact>, now: Timestamp) -> bool {
        let Some(root) = root.filter(|root| self.is_joined && !self.avoided.contains_key(&root.node)) else {
            return false;
        };
        let jitter = xxh3_64(self.local.node.as_str().as_bytes()) % ROOT_CONTACT_JITTER_MS;
        let timeout = ROOT_CONTACT_TIMEOUT + Duration::from_millis(jitter);
        let is_expired = self.root_seen_at.is_none_or(|at| now.saturating_since(at) >= timeout);
        is_expired && self.ancestors.last().is_none_or(|parent| parent.node != root.node)
    }

    /// Leaves the node that is reported to, and all above it: they do not lead to the root.
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

    /// Keeps what stands above a node that takes this one in, as far as it is known.
    fn truncate_ancestors(&mut self, parent: &NodeId) {
        if let Some(position) = self.ancestors.iter().position(|contact| contact.node == *parent) {
            self.ancestors.truncate(position);
        }
    }
}
