//! Whether the store has kept what was written to it: a record of a node that has watched it for long enough.
//!
//! The record names the era of the store, which rises when it is restored from a copy, and has a lease that is not
//! renewed, so that it goes with other leases if the store loses them. It is written by a leader that has held its own
//! lease for as long, which shows that no lease was lost meanwhile.

use std::time::Duration;

use paddlemount_protocol::{era::StoreEra, identity::FencingToken, time::Timestamp};

/// The lease of the record.
pub const WITNESS_TTL: Duration = Duration::from_secs(600);
/// How often the leader writes it anew.
const WITNESS_INTERVAL: Duration = Duration::from_secs(240);
/// How long after a failed attempt it tries again.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// A leader that was seen.
#[derive(Clone, Copy, Debug)]
struct Leader {
    token: FencingToken,
    /// Whether it is this process.
    leads: bool,
    /// Since when its lease is known; `None` for the first leader of all.
    since: Option<Timestamp>,
}

/// What this process has seen of the store.
#[derive(Clone, Debug)]
pub struct StoreWitness {
    /// How long the store has to be watched.
    period: Duration,
    /// The store's era, and since when nothing of it can have been lost; `None` for always.
    watched: Option<(StoreEra, Option<Timestamp>)>,
    leader: Option<Leader>,
    is_first_start: bool,
    next_at: Timestamp,
}

impl StoreWitness {
    /// The state of a process that has just started. On the first start of all nodes there was nothing to lose.
    pub const fn new(period: Duration, is_first_start: bool) -> Self {
        Self { period, watched: None, leader: None, is_first_start, next_at: Timestamp::ZERO }
    }

    /// Records the era of the store, if its state is known, and whether it has just been restored.
    pub fn observe(&mut self, era: Option<StoreEra>, is_restored: bool, now: Timestamp) {
        let Some(era) = era else { return };
        let is_same = self.watched.is_some_and(|(known, _)| known == era) && !is_restored;
        if is_same {
            return;
        }
        let since = (self.watched.is_some() || is_restored || !self.is_first_start).then_some(now);
        self.watched = Some((era, since));
        self.next_at = now;
    }

    /// Records who leads: `leads` tells whether it is this process. What is written under leases may be lost wherever the
    /// leader's lease was.
    pub fn observe_leader(&mut self, token: FencingToken, leads: bool, now: Timestamp) {
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) {
            // The next process of a leader may take its lease over.
            leader.leads = leads;
            return;
        }
        let is_first_of_all = self.leader.is_none() && self.is_first_start;
        self.leader = Some(Leader { token, leads, since: (!is_first_of_all).then_some(now) });
    }

    /// The era to record now, in a process that leads.
    pub fn take_due(&mut self, now: Timestamp) -> Option<StoreEra> {
        let (era, watched_since) = self.watched?;
        let leader = self.leader.filter(|leader| leader.leads)?;
        let is_long_ago = |since: Timestamp| now.saturating_since(since) >= self.period;
        let is_kept = watched_since.is_none_or(is_long_ago) && leader.since.is_none_or(is_long_ago);
        if !is_kept || now < self.next_at {
            return None;
        }
        self.next_at = now + WITNESS_INTERVAL;
        Some(era)
    }

    /// Records that the record was not written.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.next_at = now + RETRY_INTERVAL;
    }
}
