//! All nodes of the fleet, and which of them remember a stream.
//!
//! Each node reports the nodes of its subtree to its parent where their hash has changed, and fetches the list of all
//! nodes from it likewise. Lists may differ for a moment: rendezvous hashing then moves few streams, and a reader asks
//! more nodes than a writer tells.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    fleet::{Member, StreamKey},
    identity::{NodeId, ZoneId},
    time::Timestamp,
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Nodes that are told of a stream.
pub const REPLICAS: usize = 3;
/// Nodes that are asked for a stream, as the list of the node that told them may differ.
pub const ASKED: usize = 6;

/// How long a node that is no longer listed still counts: a root that has just started lists the others only as they
/// report to it.
const UNLISTED_TIME: Duration = Duration::from_secs(10);

/// The nodes that one node counts with: those that are listed now, and those that were until a short time ago.
#[derive(Clone, Debug, Default)]
pub struct KnownMembers {
    listed: Membership,
    unlisted: BTreeMap<NodeId, (Member, Timestamp)>,
    all: Membership,
}

impl KnownMembers {
    /// The nodes that are listed.
    pub const fn listed(&self) -> &Membership {
        &self.listed
    }

    /// All nodes that count.
    pub const fn all(&self) -> &Membership {
        &self.all
    }

    /// Replaces the list.
    pub fn set_listed(&mut self, listed: Membership, now: Timestamp) {
        if listed.hash() != self.listed.hash() {
            for member in &self.listed.members {
                self.unlisted.insert(member.node.clone(), (member.clone(), now));
            }
            self.listed = listed;
        }
        self.tick(now);
    }

    /// Drops nodes that were not listed for long.
    pub fn tick(&mut self, now: Timestamp) {
        self.unlisted.retain(|_, (_, listed_at)| now.saturating_since(*listed_at) < UNLISTED_TIME);
        let unlisted = self.unlisted.values().map(|(member, _)| member);
        let unlisted = unlisted.filter(|member| !self.listed.contains(&member.node));
        self.all = Membership::new(self.listed.members.iter().chain(unlisted).cloned().collect());
    }
}

/// The known nodes of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// Ordered by name.
    members: Vec<Member>,
    hash: u64,
}

impl Membership {
    /// These nodes.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort();
        members.dedup_by(|left, right| left.node == right.node);
        let hash = hash_of(&members);
        Self { members, hash }
    }

    /// The nodes, ordered by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    fn contains(&self, node: &NodeId) -> bool {
        self.members.binary_search_by(|member| member.node.cmp(node)).is_ok()
    }

    /// A hash by which two nodes compare their lists; not 0.
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// The nodes other than `local` and those in `avoided`, in the order in which they remember a stream: of the nodes
    /// ranked first, those in zones that are not among the earlier ones come first.
    pub fn ranked(&self, key: StreamKey, local: &NodeId, avoided: &BTreeSet<NodeId>) -> Vec<&Member> {
        let others =
            self.members.iter().filter(|member| member.node != *local && !avoided.contains(&member.node));
        let mut ranked: Vec<&Member> = others.collect();
        ranked.sort_by_cached_key(|member| Reverse(rank(member, key)));
        spread_over_zones(ranked)
    }
}

fn rank(member: &Member, key: StreamKey) -> u64 {
    xxh3_64_with_seed(member.node.as_str().as_bytes(), (key.0 ^ (key.0 >> 64)) as u64)
}

/// Moves the first node of each zone to the front.
fn spread_over_zones(ranked: Vec<&Member>) -> Vec<&Member> {
    let mut zones: BTreeSet<&ZoneId> = BTreeSet::new();
    let (first, rest): (Vec<&Member>, Vec<&Member>) =
        ranked.into_iter().partition(|member| zones.insert(&member.zone));
    first.into_iter().chain(rest).collect()
}

fn hash_of(members: &[Member]) -> u64 {
    let mut hash = Xxh3::new();
    for member in members {
        hash.update(member.node.as_str().as_bytes());
        hash.update(member.zone.as_str().as_bytes());
        hash.update(member.address.to_string().as_bytes());
    }
    hash.digest().max(1)
}
