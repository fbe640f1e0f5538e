//! How long ago nothing newer than this node's revision had been accepted.
//!
//! Two things show it: a read of the store, by this node or by one that passed the time of its read on; or
//! a majority of the region's members that held nothing newer, as a change is accepted only when a majority
//! of each region holds it. Times are counted from before the question was sent, so that no clock of
//! another machine and no delay can make them too young.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    identity::NodeId,
    peer::{
        configuration::{HEARD_MEMBERS, HEARD_STEP_MS, Heard, HeardMember},
        membership::MemberState,
    },
    time::Timestamp,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::MemberTable;

/// After this time without confirmation a node takes no new work. Less than the 9 s in which a change is
/// to be in force everywhere.
pub const STALE_AFTER: Duration = Duration::from_secs(8);

/// Peers that a restarted node learns its revision from before its own word counts in a majority.
pub const REQUIRED_SOURCES: usize = 3;

/// Confirmations told beyond half of the members.
const SPARE_CONFIRMATIONS: usize = 9;

/// What a node knows of the freshness of its revision.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    store: Option<Timestamp>,
    heard: BTreeMap<u16, Timestamp>,
    sources: BTreeSet<NodeId>,
    counts: bool,
}

/// The short hash by which a member is named among confirmations.
///
/// Two members of the same hash count as one, which can only make a majority harder to reach.
pub fn short_hash(node: &NodeId) -> u16 {
    let [low, high, ..] = xxh3_64(node.as_str().as_bytes()).to_le_bytes();
    u16::from_le_bytes([low, high])
}

impl Freshness {
    /// A read of the store that was sent at `at` showed nothing newer.
    pub fn confirm_by_store(&mut self, at: Timestamp) {
        self.store = self.store.max(Some(at));
        self.counts = true;
    }

    /// Peer `from` held nothing newer when it answered a question sent at `asked_at`, and had heard the same
    /// of the members in `heard`.
    pub fn confirm_by_peer(&mut self, from: &NodeId, heard: &Heard, asked_at: Timestamp) {
        for entry in &heard.0 {
            let age = Duration::from_millis(u64::from(entry.age_steps) * HEARD_STEP_MS);
            let latest = self.heard.entry(entry.member).or_insert(Timestamp::ZERO);
            *latest = (*latest).max(asked_at - age);
        }
        if !self.counts {
            self.sources.insert(from.clone());
        }
    }

    /// A read of the store confirmed the revision, `age` before the answer to a question sent at `asked_at`.
    pub fn confirm_by_peer_store_read(&mut self, age: Duration, asked_at: Timestamp) {
        self.store = self.store.max(Some(asked_at - age));
    }

    /// Lets this node's own word count once it has its revision from enough peers of `table`.
    pub fn count_self(&mut self, table: &MemberTable) {
        let others = table.live().filter(|record| record.state == MemberState::Alive).count() - 1;
        if self.sources.len() >= others.clamp(1, REQUIRED_SOURCES) || others == 0 {
            self.counts = true;
            self.sources.clear();
        }
    }

    /// When a read of the store last confirmed the revision.
    pub const fn store_confirmed_at(&self) -> Option<Timestamp> {
        self.store
    }

    /// When nothing newer had been accepted, for all that this node knows at `now`; none before it knows.
    ///
    /// A majority is counted among the known members of `table`, of which there are `base` at least.
    pub fn confirmed_at(&self, table: &MemberTable, base: usize, now: Timestamp) -> Option<Timestamp> {
        self.store.max(self.majority_at(table, base, now))
    }

    fn majority_at(&self, table: &MemberTable, base: usize, now: Timestamp) -> Option<Timestamp> {
        let own = &table.own().node;
        let mut hashes = BTreeSet::new();
        let mut times: Vec<Timestamp> = Vec::new();
        for record in table.known().filter(|record| hashes.insert(short_hash(&record.node))) {
            if record.node == *own {
                times.extend(self.counts.then_some(now));
            } else {
                times.extend(self.heard.get(&short_hash(&record.node)));
            }
        }
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(base / 2).copied()
    }

    /// What to tell a peer at `now`: the youngest confirmations, this node's own first, a few more than a
    /// majority of `base` members needs.
    pub fn advertise(&self, own: &NodeId, base: usize, now: Timestamp) -> Heard {
        let count = (base / 2 + SPARE_CONFIRMATIONS).min(HEARD_MEMBERS);
        let mut known: Vec<(Timestamp, u16)> = self.heard.iter().map(|(member, at)| (*at, *member)).collect();
        let own = short_hash(own);
        known.retain(|(_, member)| *member != own);
        known.extend(self.counts.then_some((now, own)));
        known.sort_unstable_by(|left, right| right.cmp(left));
        let entries = known.into_iter().take(count);
        Heard(entries.filter_map(|(at, member)| entry(member, at, now)).collect())
    }

    /// Drops confirmations too old to matter.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.heard.retain(|_, at| now.saturating_since(*at) < STALE_AFTER * 2);
    }
}

fn entry(member: u16, at: Timestamp, now: Timestamp) -> Option<HeardMember> {
    let age_ms = u64::try_from(now.saturating_since(at).as_micros().div_ceil(1_000)).ok()?;
    let age_steps = u8::try_from(age_ms.div_ceil(HEARD_STEP_MS)).ok()?;
    Some(HeardMember { member, age_steps })
}
