//! Remembers when runs last completed at this node: what is suspected elsewhere may succeed here.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{quarantine::RequestFingerprint, time::Timestamp};

/// Completions within this time of the last remembered one are left out.
const DEDUP_WINDOW: Duration = Duration::from_millis(50);

/// Times of the last completed run by request or segment.
#[derive(Clone, Debug)]
pub(super) struct Completions {
    /// Maximum number of remembered completions.
    capacity: usize,
    /// How long completions are remembered.
    ttl: Duration,
    last: BTreeMap<RequestFingerprint, Timestamp>,
    order: VecDeque<(Timestamp, RequestFingerprint)>,
}

impl Completions {
    /// Remembers up to `capacity` completions for `ttl`.
    pub const fn new(capacity: usize, ttl: Duration) -> Self {
        Self { capacity, ttl, last: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Records a completed run.
    pub fn record(&mut self, fingerprint: RequestFingerprint, at: Timestamp) {
        let known = self.last.get(&fingerprint);
        if known.is_some_and(|known| at < *known + DEDUP_WINDOW) {
            return;
        }
        self.last.insert(fingerprint, at);
        self.order.push_back((at, fingerprint));
        while self.order.len() > self.capacity
            || self.order.front().is_some_and(|(old, _)| *old + self.ttl < at)
        {
            self.forget_first();
        }
    }

    /// Returns when such a run last completed, if that is remembered.
    pub fn last(&self, fingerprint: &RequestFingerprint) -> Option<Timestamp> {
        self.last.get(fingerprint).copied()
    }

    fn forget_first(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else { return };
        if self.last.get(&fingerprint) == Some(&at) {
            self.last.remove(&fingerprint);
        }
    }
}
