//! One node's view of the members of its region.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    identity::{NodeId, ZoneId},
    peer::{
        encoded_bytes,
        membership::{MAX_REPRESENTATIVES, MemberRecord, MemberState, RegionSummary, Representative},
    },
};
use rand::{rngs::SmallRng, seq::IndexedRandom};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The member records of a region, including the node's own.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: NodeId,
    members: BTreeMap<NodeId, MemberRecord>,
    digest: u64,
    representatives: Vec<NodeId>,
}

/// Returns the rendezvous hashing weight of `member` for `subject`; the members with the greatest weights are
/// chosen.
pub fn rendezvous_weight(subject: &str, member: &NodeId) -> u64 {
    xxh3_64_with_seed(member.as_str().as_bytes(), xxh3_64(subject.as_bytes()))
}

const fn is_live(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Suspect)
}

impl MemberTable {
    /// Creates a table that contains only the node itself.
    pub(super) fn new(own: MemberRecord) -> Self {
        let name = own.node.clone();
        let digest = fingerprint(&own);
        let members = BTreeMap::from([(name.clone(), own)]);
        let mut table = Self { own: name, members, digest, representatives: Vec::new() };
        table.choose_representatives();
        table
    }

    /// Returns the node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.members[&self.own]
    }

    /// Returns a member's record.
    pub fn get(&self, node: &NodeId) -> Option<&MemberRecord> {
        self.members.get(node)
    }

    /// Returns the number of records in any state, including the node's own.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Always false, as the table contains the node's own record.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns all records.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Returns the members that are alive or suspected, including the node itself.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|record| is_live(record.state))
    }

    /// Returns the members that have not left. Majorities are counted among these, so that a partitioned node
    /// that believes others to be dead still counts them.
    pub fn known(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|record| record.state != MemberState::Left)
    }

    /// Returns the `count` live members of `zone` with the greatest rendezvous weights for `subject`.
    pub fn chosen_in_zone(&self, zone: &ZoneId, subject: &str, count: usize) -> Vec<&MemberRecord> {
        let live = self.live().filter(|record| record.zone == *zone);
        let mut weighted: Vec<_> =
            live.map(|record| (rendezvous_weight(subject, &record.node), record)).collect();
        weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        weighted.into_iter().take(count).map(|(_, record)| record).collect()
    }

    /// Returns the members that represent the region towards other regions.
    pub fn representatives(&self) -> impl Iterator<Item = &MemberRecord> {
        self.representatives.iter().filter_map(|node| self.members.get(node))
    }

    /// Returns a hash over the live members; equal tables have equal digests.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the region's summary, with age 0.
    pub fn summary(&self) -> RegionSummary {
        RegionSummary {
            region: self.own().region.clone(),
            alive: count(self.live().count()),
            known: count(self.known().count()),
            age_ms: 0,
            representatives: self.representatives().map(representative).collect(),
        }
    }

    /// Returns the records whose names follow `after` that fit into `bytes`, and whether more follow.
    pub(super) fn page(&self, after: Option<&NodeId>, bytes: usize) -> (Vec<MemberRecord>, bool) {
        let mut used = 0;
        let mut page = Vec::new();
        for record in self.members.values().filter(|record| after.is_none_or(|after| record.node > *after)) {
            used += encoded_bytes(record) + 1;
            if used > bytes && !page.is_empty() {
                return (page, true);
            }
            page.push(record.clone());
        }
        (page, false)
    }

    /// Returns up to `count` random live members, except the node itself and `except`.
    pub(super) fn pick_alive(
        &self,
        count: usize,
        except: &[&NodeId],
        random: &mut SmallRng,
    ) -> Vec<MemberRecord> {
        let others: Vec<&MemberRecord> =
            self.live().filter(|record| record.node != self.own && !except.contains(&&record.node)).collect();
        others.sample(random, count).map(|record| (*record).clone()).collect()
    }

    /// Stores a record that takes precedence over the known one. Returns whether it did.
    pub(super) fn merge(&mut self, record: &MemberRecord) -> bool {
        let known = self.members.get(&record.node);
        if known.is_some_and(|known| known.precedence() >= record.precedence()) {
            return false;
        }
        self.replace(record.clone());
        true
    }

    /// Raises the node's own refutation above `refutation`.
    pub(super) fn refute(&mut self, refutation: u32) {
        let own = self.own();
        let state = if own.state == MemberState::Left { MemberState::Left } else { MemberState::Alive };
        let refuted = MemberRecord { refutation: refutation.saturating_add(1), state, ..own.clone() };
        self.replace(refuted);
    }

    pub(super) fn leave(&mut self) {
        let left = MemberRecord { state: MemberState::Left, ..self.own().clone() };
        self.replace(left);
    }

    /// Removes a record.
    pub(super) fn forget(&mut self, node: &NodeId) {
        if let Some(record) = self.members.remove(node) {
            self.digest ^= fingerprint(&record);
        }
        self.choose_representatives();
    }

    fn replace(&mut self, record: MemberRecord) {
        self.digest ^= fingerprint(&record);
        let previous = self.members.insert(record.node.clone(), record);
        self.digest ^= previous.as_ref().map_or(0, fingerprint);
        self.choose_representatives();
    }

    fn choose_representatives(&mut self) {
        let region = self.own().region.clone();
        let mut weighted: Vec<(u64, NodeId)> = self
            .members
            .values()
            .filter(|record| record.state == MemberState::Alive)
            .map(|record| (rendezvous_weight(region.as_str(), &record.node), record.node.clone()))
            .collect();
        weighted.sort_unstable_by(|left, right| right.cmp(left));
        self.representatives = weighted.into_iter().take(MAX_REPRESENTATIVES).map(|(_, node)| node).collect();
    }
}

/// Returns the short form of a record for summaries.
pub(super) fn representative(record: &MemberRecord) -> Representative {
    Representative { node: record.node.clone(), address: record.address }
}

fn count(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

/// Hashes a record; zero for members that are not live, so that nodes that forgot them at different times
/// agree.
fn fingerprint(record: &MemberRecord) -> u64 {
    if !is_live(record.state) {
        return 0;
    }
    let version = record.incarnation.0.rotate_left(20) ^ u64::from(record.refutation);
    xxh3_64_with_seed(record.node.as_str().as_bytes(), version)
}
