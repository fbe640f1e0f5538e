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
const PASSED_OVER: Duration = Duration::from_secs(3);
/// How often a node is referred on before it begins anew: the tree of a thousand nodes has four levels.
const MOST_REFERRALS: u32 = 12;
/// How long the nodes above may have heard nothing of a root before a node leaves them: a lease of 3 s runs out, another
/// node leads, and the first of the nodes above has found its place below that one, with all that report to it.
const UPROOTED: Duration = Duration::from_secs(6);
/// The longest time by which nodes spread out when they leave: all below a node that is cut off may leave it.
const UPROOTED_SPREAD_MS: u64 = 3_000;

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
    me: Contact,
    /// The way from the root to the node that is reported to, which comes last.
    above: Vec<Contact>,
    /// Whether the last of `above` has taken this node in.
    is_joined: bool,
    referred_to: Option<Contact>,
    referrals: u32,
    passed_over: BTreeMap<NodeId, Timestamp>,
    /// When the root was last heard, over the nodes between; a new place counts as if it had been.
    rooted_at: Option<Timestamp>,
}

impl Uplink {
    /// A node that has no place yet.
    pub const fn new(me: Contact) -> Self {
        Self {
            me,
            above: Vec::new(),
            is_joined: false,
            referred_to: None,
            referrals: 0,
            passed_over: BTreeMap::new(),
            rooted_at: None,
        }
    }

    /// What to do next, where `root` leads as far as is known; `leads` tells that this node itself does.
    pub fn next_step(&mut self, root: Option<&Contact>, leads: bool, now: Timestamp) -> NextStep {
        self.passed_over.retain(|_, at| now.saturating_since(*at) < PASSED_OVER);
        if leads {
            self.above.clear();
            self.is_joined = false;
            self.referred_to = None;
            return NextStep::Wait;
        }
        if self.is_uprooted(root, now) {
            self.leave(now);
        }
        if self.is_joined
            && let Some(parent) = self.above.last()
        {
            return NextStep::Report(parent.clone());
        }
        if let Some(to) = self.referred_to.clone().filter(|to| self.may_ask(to)) {
            return NextStep::Join(to);
        }
        self.referrals = 0;
        let candidate = self.above.iter().rev().chain(root).find(|contact| self.may_ask(contact));
        candidate.map_or(NextStep::Wait, |contact| NextStep::Join(contact.clone()))
    }

    /// `parent` has taken this node in.
    pub fn joined(&mut self, parent: Contact, now: Timestamp) {
        self.cut_above(&parent.node);
        self.above.push(parent);
        self.is_joined = true;
        self.referred_to = None;
        self.referrals = 0;
        self.rooted_at = Some(now);
    }

    /// This node was told to ask `to` instead.
    pub fn referred(&mut self, to: Contact) {
        self.is_joined = false;
        self.referrals += 1;
        self.referred_to = (self.referrals <= MOST_REFERRALS).then_some(to);
    }

    /// A node did not answer, or refused this node: it is left, and for a while not asked.
    pub fn failed(&mut self, node: &NodeId, now: Timestamp) {
        self.passed_over.insert(node.clone(), now);
        if self.above.last().is_some_and(|parent| parent.node == *node) {
            self.above.pop();
            self.is_joined = false;
        }
        if self.referred_to.as_ref().is_some_and(|to| to.node == *node) {
            self.referred_to = None;
        }
    }

    /// The node that is reported to has told the way from the root to itself, and how long ago it heard of the root.
    /// Whether the way is one: where it leads over this node, that one is left.
    pub fn update_path(
        &mut self,
        path: Vec<Contact>,
        rooted_before: Option<Duration>,
        now: Timestamp,
    ) -> bool {
        if path.iter().any(|contact| contact.node == self.me.node) {
            self.leave(now);
            return false;
        }
        if let Some(age) = rooted_before {
            self.rooted_at = self.rooted_at.max(Some(now - age));
        }
        if path.last() == self.above.last() {
            self.above = path;
        }
        true
    }

    /// The way from the root to this node, which comes last: the nodes below are told.
    pub fn path(&self) -> Vec<Contact> {
        let above = self.above.iter().filter(|_| self.is_joined);
        above.chain([&self.me]).cloned().collect()
    }

    /// Whether the node `node` stands above this one, or is this one.
    pub fn is_self_or_ancestor(&self, node: &NodeId) -> bool {
        self.me.node == *node || (self.is_joined && self.above.iter().any(|contact| contact.node == *node))
    }

    /// The node that is reported to.
    pub fn parent(&self) -> Option<&Contact> {
        self.above.last().filter(|_| self.is_joined)
    }

    /// How many nodes stand above this one.
    pub fn depth(&self) -> usize {
        if self.is_joined { self.above.len() } else { 0 }
    }

    /// How long ago the root was heard of, over the nodes between.
    pub fn root_age(&self, leads: bool, now: Timestamp) -> Option<Duration> {
        if leads {
            return Some(Duration::ZERO);
        }
        self.rooted_at.map(|at| now.saturating_since(at))
    }

    /// Nodes that are not asked for the moment.
    pub fn avoided(&self) -> Vec<NodeId> {
        self.passed_over.keys().cloned().collect()
    }

    /// Whether the nodes above have been without the root for long, though another node leads.
    fn is_uprooted(&self, root: Option<&Contact>, now: Timestamp) -> bool {
        let Some(root) = root.filter(|root| self.is_joined && !self.passed_over.contains_key(&root.node))
        else {
            return false;
        };
        let spread = xxh3_64(self.me.node.as_str().as_bytes()) % UPROOTED_SPREAD_MS;
        let patience = UPROOTED + Duration::from_millis(spread);
        let lost = self.rooted_at.is_none_or(|at| now.saturating_since(at) >= patience);
        lost && self.above.last().is_none_or(|parent| parent.node != root.node)
    }

    /// Leaves the node that is reported to, and all above it: they do not lead to the root.
    fn leave(&mut self, now: Timestamp) {
        if let Some(parent) = self.above.last() {
            self.passed_over.insert(parent.node.clone(), now);
        }
        self.above.clear();
        self.is_joined = false;
        self.rooted_at = None;
    }

    fn may_ask(&self, contact: &Contact) -> bool {
        contact.node != self.me.node && !self.passed_over.contains_key(&contact.node)
    }

    /// Keeps what stands above a node that takes this one in, as far as it is known.
    fn cut_above(&mut self, parent: &NodeId) {
        if let Some(place) = self.above.iter().position(|contact| contact.node == *parent) {
            self.above.truncate(place);
        }
    }
}
