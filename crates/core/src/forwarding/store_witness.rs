//! Whether the store has kept what was written to it: a record of a node that has watched it for long enough.
//!
//! The record names the era of the store, which rises when it is restored from a copy, and has a lease that is not
//! renewed, so that it goes with other leases if the store loses them.

use std::time::Duration;

use paddlemount_protocol::{era::StoreEra, time::Timestamp};

/// The lease of the record.
pub const WITNESS_TTL: Duration = Duration::from_secs(600);
/// How often the leader writes it anew.
const WITNESS_INTERVAL: Duration = Duration::from_secs(240);
/// How long after a failed attempt it tries again.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// What this process has seen of the store.
#[derive(Clone, Debug)]
pub struct StoreWitness {
    /// How long the store has to be watched.
    period: Duration,
    /// The store's era, and since when nothing of it can have been lost; `None` for always.
    watched: Option<(StoreEra, Option<Timestamp>)>,
    is_first_start: bool,
    next_at: Timestamp,
}

impl StoreWitness {
    /// The state of a process that has just started. On the first start of all nodes there was nothing to lose.
    pub const fn new(period: Duration, is_first_start: bool) -> Self {
        Self { period, watched: None, is_first_start, next_at: Timestamp::ZERO }
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

    /// The era to record now, in a process that leads.
    pub fn take_due(&mut self, now: Timestamp) -> Option<StoreEra> {
        let (era, since) = self.watched?;
        let is_kept = since.is_none_or(|since| now.saturating_since(since) >= self.period);
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
