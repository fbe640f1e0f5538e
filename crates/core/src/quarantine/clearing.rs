//! Completed runs, which clear requests and segments of earlier crashes.

use std::time::Duration;

use paddlemount_protocol::{quarantine::RequestFingerprint, time::Timestamp};

use super::{COMPLETION_DEDUP_WINDOW, CRASH_THRESHOLD, Event, Quarantine};

/// A completed run with a segment that ended at most this long before a crash clears the segment of it.
const RECENTLY_SERVED: Duration = Duration::from_secs(2);

impl Quarantine {
    /// Records that runs with these segments, at this node, completed or went on for so long that the segments
    /// do not crash engines. Returns the segments whose quarantine that ends.
    pub fn record_segment_completions(
        &mut self,
        segments: impl Iterator<Item = RequestFingerprint>,
        now: Timestamp,
    ) -> Vec<RequestFingerprint> {
        let mut released = Vec::new();
        for segment in segments {
            self.segment_completions.record(segment, now);
            if self.apply_completion(segment, now, now) {
                released.push(segment);
            }
        }
        released
    }

    /// Returns when a run of this request, or with this segment, last completed at this node.
    pub(super) fn last_completion(&self, fingerprint: &RequestFingerprint) -> Option<Timestamp> {
        let completions = match fingerprint.segment() {
            Some(_) => &self.segment_completions,
            None => &self.completions,
        };
        completions.last(fingerprint)
    }

    /// The segments of a run that a crash at `now` speaks against: this node can tell what they do, and completed no run
    /// with them lately.
    pub fn suspects(
        &self,
        segments: impl Iterator<Item = RequestFingerprint>,
        now: Timestamp,
    ) -> Vec<RequestFingerprint> {
        let is_suspect = |segment: &RequestFingerprint| {
            self.is_distinguishable(segment, now) && !self.was_served(segment, now - RECENTLY_SERVED)
        };
        segments.filter(is_suspect).collect()
    }

    /// Whether a run with this segment completed at this node at `since` or later.
    fn was_served(&self, segment: &RequestFingerprint, since: Timestamp) -> bool {
        self.segment_completions.last(segment).is_some_and(|at| at >= since)
    }

    /// Records a run completed at this node. Returns whether that ends a quarantine.
    pub fn record_completion(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> bool {
        self.completions.record(fingerprint, now);
        self.apply_completion(fingerprint, now, now)
    }

    /// Records a run completed at `at`, here or elsewhere: earlier crashes had another cause. Returns whether
    /// that ends a quarantine.
    pub(super) fn apply_completion(
        &mut self,
        fingerprint: RequestFingerprint,
        at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if fingerprint.segment().is_some() {
            return self.apply_segment_completion(fingerprint, at);
        }
        let Some(suspicion) = self.suspicions.get_mut(&fingerprint) else {
            self.report_completion(fingerprint, at);
            return self.end_quarantine(&fingerprint, at);
        };
        if !suspicion.add_completion(at) {
            return false;
        }
        self.log(Event::Completed { fingerprint, at });
        self.recount(fingerprint, now);
        let is_cleared =
            self.suspicions.get(&fingerprint).is_some_and(|suspicion| suspicion.counted < CRASH_THRESHOLD);
        is_cleared && self.end_quarantine(&fingerprint, at)
    }

    fn apply_segment_completion(&mut self, segment: RequestFingerprint, at: Timestamp) -> bool {
        self.segments.clear(&segment, at);
        self.report_completion(segment, at);
        !self.segments.is_suspected(&segment) && self.end_quarantine(&segment, at)
    }

    /// Ends a quarantine after a run that completed at `at`, whoever counted the crashes: a node that has learned of it
    /// from the store alone, as after a restart of all, may be the only one left that can. Returns whether there was one.
    fn end_quarantine(&mut self, fingerprint: &RequestFingerprint, at: Timestamp) -> bool {
        let was_counted = self.counted.remove(fingerprint).is_some();
        let completed_since = self.stored.get(fingerprint).is_some_and(|since| at >= *since);
        if was_counted || completed_since {
            self.stored.remove(fingerprint);
        }
        was_counted || completed_since
    }

    /// Reports a completed run of a request that other nodes suspect or quarantine, once per
    /// completion.
    fn report_completion(&mut self, fingerprint: RequestFingerprint, at: Timestamp) {
        let suspected = self.parent_suspects.contains(&fingerprint) || self.is_known(&fingerprint);
        let is_reported = self
            .reported_completions
            .get(&fingerprint)
            .is_some_and(|known| at < *known + COMPLETION_DEDUP_WINDOW);
        if suspected && !is_reported {
            self.reported_completions.insert(fingerprint, at);
            self.log(Event::Completed { fingerprint, at });
        }
    }
}
