//! Trial runs: one request with a quarantined segment may run after a while, so that a segment which was caught in
//! other crashes is not held back for the whole time.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{quarantine::RequestFingerprint, time::Timestamp};

/// Time from a quarantine to the first trial run, and between two: engines that ended have started again by then.
const TRIAL_INTERVAL: Duration = Duration::from_secs(6);
/// Maximum number of trial runs whose outcome stays unknown.
const MAX_TRIALS: u32 = 3;

/// The trial runs of one segment.
#[derive(Clone, Copy, Debug)]
struct Trials {
    granted: u32,
    last: Timestamp,
    /// Whether an engine ended under one.
    has_crashed: bool,
}

/// The trial runs that this node has granted.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialRuns {
    by_segment: BTreeMap<RequestFingerprint, Trials>,
}

impl TrialRuns {
    /// Whether a request may run although the segment is quarantined `since`. Grants at most one at a time, and none
    /// after a crash.
    pub fn grant(&mut self, segment: RequestFingerprint, since: Timestamp, now: Timestamp) -> bool {
        let trials =
            self.by_segment.entry(segment).or_insert(Trials { granted: 0, last: since, has_crashed: false });
        let is_due = now.saturating_since(trials.last) >= TRIAL_INTERVAL;
        if trials.has_crashed || trials.granted >= MAX_TRIALS || !is_due {
            return false;
        }
        trials.granted += 1;
        trials.last = now;
        true
    }

    /// Records a crash under a run with the segment that began at `began`.
    pub fn record_crash(&mut self, segment: &RequestFingerprint, began: Timestamp) {
        if let Some(trials) = self.by_segment.get_mut(segment) {
            trials.has_crashed |= trials.granted > 0 && began >= trials.last;
        }
    }

    /// Forgets the trials of segments that are no longer quarantined.
    pub fn retain(&mut self, is_quarantined: impl Fn(&RequestFingerprint) -> bool) {
        self.by_segment.retain(|segment, _| is_quarantined(segment));
    }
}
