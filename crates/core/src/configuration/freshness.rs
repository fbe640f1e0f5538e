//! Tracks when this node's revision was last confirmed to be the newest.
//!
//! A confirmation is either a read of the store, by this node or by a peer that reported the time of its
//! read; or a majority of the region's members that apply nothing newer, as a change is accepted only when a
//! majority of each region applies it. Times are counted from before the request was sent, so that neither
//! another machine's clock nor a delay can make a confirmation too young.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    identity::NodeId,
    peer::{
        configuration::{
            CONFIRMATION_AGE_STEP_MS, MAX_CONFIRMATIONS, MemberConfirmation, MemberConfirmations,
        },
        membership::MemberState,
    },
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::MemberTable;

/// Time without confirmation after which a node accepts no new work. Must be below the 9 s in which a change
/// is to be in force everywhere.
pub const STALE_AFTER: Duration = Duration::from_secs(8);

/// Number of peers that a restarted node must receive its revision from before it counts in a majority
/// itself.
pub const REQUIRED_SOURCES: usize = 3;

/// Number of confirmations sent beyond half of the members.
const SPARE_CONFIRMATIONS: usize = 9;

/// The confirmations of a node's revision.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    store: Option<Timestamp>,
    members: BTreeMap<u16, Timestamp>,
    sources: BTreeSet<NodeId>,
    counts_self: bool,
}

/// Returns the short hash that identifies a member among confirmations.
///
/// Two members with the same hash count as one, which can only make a majority harder to reach.
pub fn short_hash(node: &NodeId) -> u16 {
    let [low, high, ..] = xxh3_64(node.as_str().as_bytes()).to_le_bytes();
    u16::from_le_bytes([low, high])
}

impl Freshness {
    /// Records that a read of the store sent at `at` showed nothing newer.
    pub fn confirm_by_store(&mut self, at: Timestamp) {
        self.store = self.store.max(Some(at));
        self.counts_self = true;
    }

    /// Records that peer `from` applied nothing newer when it answered a request sent at `requested_at`, and
    /// that it relayed `confirmations`.
    pub fn confirm_by_peer(
        &mut self,
        from: &NodeId,
        confirmations: &MemberConfirmations,
        requested_at: Timestamp,
    ) {
        for entry in &confirmations.0 {
            let age = Duration::from_millis(u64::from(entry.age_steps) * CONFIRMATION_AGE_STEP_MS);
            let latest = self.members.entry(entry.member).or_insert(Timestamp::ZERO);
            *latest = (*latest).max(requested_at - age);
        }
        if !self.counts_self {
            self.sources.insert(from.clone());
        }
    }

    /// Records that a peer's read of the store confirmed the revision `age` before the peer answered a
    /// request sent at `requested_at`.
    pub fn confirm_by_peer_store_read(&mut self, age: Duration, requested_at: Timestamp) {
        self.store = self.store.max(Some(requested_at - age));
    }

    /// Lets this node count in majorities once it has its revision from enough peers of `table`.
    pub fn count_self(&mut self, table: &MemberTable) {
        let others = table.live().filter(|record| record.state == MemberState::Alive).count() - 1;
        if self.sources.len() >= others.clamp(1, REQUIRED_SOURCES) || others == 0 {
            self.counts_self = true;
            self.sources.clear();
        }
    }

    /// Returns when a read of the store last confirmed the revision.
    pub const fn store_confirmed_at(&self) -> Option<Timestamp> {
        self.store
    }

    /// Returns the latest time at which nothing newer is known to have been accepted, or `None` without
    /// confirmation.
    ///
    /// A majority is counted among the known members of `table`, of which there are at least `base`.
    pub fn confirmed_at(&self, table: &MemberTable, base: usize, now: Timestamp) -> Option<Timestamp> {
        self.store.max(self.majority_at(table, base, now))
    }

    fn majority_at(&self, table: &MemberTable, base: usize, now: Timestamp) -> Option<Timestamp> {
        let own = &table.own().node;
        let mut hashes = BTreeSet::new();
        let mut times: Vec<Timestamp> = Vec::new();
        for record in table.known().filter(|record| hashes.insert(short_hash(&record.node))) {
            if record.node == *own {
                times.extend(self.counts_self.then_some(now));
            } else {
                times.extend(self.members.get(&short_hash(&record.node)));
            }
        }
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(base / 2).copied()
    }

    /// Returns the confirmations for a peer: the youngest ones, this node's own first, a few more than a
    /// majority of `base` members needs.
    pub fn advertise(&self, own: &NodeId, base: usize, now: Timestamp) -> MemberConfirmations {
        let count = (base / 2 + SPARE_CONFIRMATIONS).min(MAX_CONFIRMATIONS);
        let mut known: Vec<(Timestamp, u16)> =
            self.members.iter().map(|(member, at)| (*at, *member)).collect();
        let own = short_hash(own);
        known.retain(|(_, member)| *member != own);
        known.extend(self.counts_self.then_some((now, own)));
        known.sort_unstable_by(|left, right| right.cmp(left));
        let entries = known.into_iter().take(count);
        MemberConfirmations(entries.filter_map(|(at, member)| entry(member, at, now)).collect())
    }

    /// Drops confirmations that are too old to be used.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.members.retain(|_, at| now.saturating_since(*at) < STALE_AFTER * 2);
    }
}

fn entry(member: u16, at: Timestamp, now: Timestamp) -> Option<MemberConfirmation> {
    let age_ms = u64::try_from(now.saturating_since(at).as_micros().div_ceil(1_000)).ok()?;
    let age_steps = u8::try_from(age_ms.div_ceil(CONFIRMATION_AGE_STEP_MS)).ok()?;
    Some(MemberConfirmation { member, age_steps })
}
