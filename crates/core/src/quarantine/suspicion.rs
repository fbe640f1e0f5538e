//! The evidence against one request: the engines that ended while they ran it.

use std::time::Duration;

use paddlemount_protocol::{
    identity::{EngineId, NodeId, TenantId},
    quarantine::{QuarantinedRequest, RequestFingerprint},
    time::Timestamp,
};

use super::{COMPLETION_DEDUP_WINDOW, MAX_CLOCK_SKEW};

/// Maximum number of crashes per request: the earliest, which have settled, and the latest.
const MAX_CRASHES: usize = 16;

/// An engine that ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    pub fingerprint: RequestFingerprint,
    /// The incarnation of the engine that ended.
    pub engine: EngineId,
    pub route: String,
    pub tenant: Option<TenantId>,
    /// When the request was sent to the engine.
    pub began: Timestamp,
    pub ended: Timestamp,
    /// Shared segments of the prompt that may have caused the crash, in their order.
    pub segments: Vec<RequestFingerprint>,
}

/// The evidence against one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspicion {
    /// One per engine, ordered by time.
    crashes: Vec<Crash>,
    /// When a run of the request last completed.
    completed: Option<Timestamp>,
    /// Crashes counted before an earlier quarantine, without details.
    carried: usize,
    /// When that quarantine ended.
    carried_at: Option<Timestamp>,
    /// The number of successive crashes at the last count.
    pub counted: usize,
    /// Since when `counted` suffices to ask all nodes for completed runs.
    inquired_since: Option<Timestamp>,
}

impl Suspicion {
    /// Adds a crash. Returns whether it is new.
    pub fn add_crash(&mut self, crash: Crash) -> bool {
        let known = self.crashes.iter().any(|known| known.engine == crash.engine);
        if known || self.completed.is_some_and(|completed| crash.ended <= completed) {
            return false;
        }
        let position = self.crashes.partition_point(|known| known.ended <= crash.ended);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(MAX_CRASHES / 2);
        }
        true
    }

    /// Records a completed run: earlier crashes had another cause. Returns whether it is new.
    pub fn add_completion(&mut self, at: Timestamp) -> bool {
        if self.completed.is_some_and(|known| at < known + COMPLETION_DEDUP_WINDOW) {
            return false;
        }
        self.completed = Some(at);
        self.carried = 0;
        self.crashes.retain(|crash| crash.ended > at);
        true
    }

    /// Resets the evidence after a quarantine: `carried` crashes still count.
    pub fn reset_after_quarantine(&mut self, carried: usize, at: Timestamp) {
        self.crashes.clear();
        self.carried = carried;
        self.carried_at = Some(at);
        self.counted = carried;
        self.inquired_since = Some(at);
    }

    /// Counts successive crashes, each under a run that began after the previous crash: concurrent runs at
    /// the first crash count once. `counts` filters out crashes that are no evidence against the request.
    pub fn count_successive(&self, counts: impl Fn(&Crash) -> bool) -> usize {
        let (mut count, mut last_end) = (0, Timestamp::ZERO);
        for crash in &self.crashes {
            if crash.began + MAX_CLOCK_SKEW >= last_end && counts(crash) {
                count += 1;
                last_end = crash.ended;
            }
        }
        count + self.carried
    }

    /// Sets the number of successive crashes; from `threshold` on all nodes are asked for completed runs.
    pub fn set_count(&mut self, count: usize, threshold: usize, now: Timestamp) {
        self.counted = count;
        self.inquired_since = (count >= threshold).then(|| self.inquired_since.unwrap_or(now));
    }

    /// Whether all nodes have been asked for at least `duration`.
    pub fn was_inquired_for(&self, now: Timestamp, duration: Duration) -> bool {
        self.inquired_since.is_some_and(|since| now.saturating_since(since) >= duration)
    }

    /// Whether a completed run cleared the request and there is no evidence since.
    pub fn was_cleared(&self) -> bool {
        self.completed.is_some() && self.crashes.is_empty() && self.carried == 0
    }

    /// Returns the time of the latest evidence.
    pub fn last_update(&self) -> Timestamp {
        let ended = self.crashes.last().map(|crash| crash.ended);
        ended.max(self.completed).max(self.carried_at).unwrap_or(Timestamp::ZERO)
    }

    /// Returns the quarantine record for the store.
    pub fn as_quarantined(&self, found_by: &NodeId) -> Option<QuarantinedRequest> {
        let last = self.crashes.last()?;
        Some(QuarantinedRequest {
            fingerprint: last.fingerprint,
            route: last.route.clone(),
            tenant: last.tenant.clone(),
            engines: self.crashes.iter().map(|crash| crash.engine.clone()).collect(),
            found_by: found_by.clone(),
        })
    }
}
