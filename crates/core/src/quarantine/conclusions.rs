//! Conclusions of the node that receives the reports of all nodes: what is quarantined from now on.

use paddlemount_protocol::{
    identity::NodeId,
    quarantine::{QuarantinedRequest, RequestFingerprint},
    time::Timestamp,
};

use super::{CRASH_THRESHOLD, Crash, INQUIRY_TIME, MIN_CRASH_AGE, Quarantine, evict_excess};

impl Quarantine {
    /// Draws conclusions and returns the requests to quarantine from now on. Call several times per second
    /// at a node that receives the reports of all nodes: with partial reports, a common cause may go
    /// unnoticed.
    pub fn conclude(&mut self, found_by: &NodeId, now: Timestamp) -> Vec<QuarantinedRequest> {
        let mut quarantined = self.conclude_segments(found_by, now);
        for fingerprint in std::mem::take(&mut self.to_review) {
            self.recount(fingerprint, now);
            let Some(suspicion) = self.suspicions.get(&fingerprint) else { continue };
            if suspicion.counted < CRASH_THRESHOLD || self.counted.contains_key(&fingerprint) {
                continue;
            }
            // Engines that ended together with the latest may not be reported yet.
            let is_settled = |crash: &Crash| now.saturating_since(crash.ended) >= MIN_CRASH_AGE;
            let settled =
                suspicion.count_successive(|crash| is_settled(crash) && self.ends.counts_against(crash));
            if settled + 1 < CRASH_THRESHOLD || !suspicion.was_inquired_for(now, INQUIRY_TIME) {
                self.to_review.insert(fingerprint);
                continue;
            }
            quarantined.extend(suspicion.as_quarantined(found_by));
            self.counted.insert(fingerprint, now);
            evict_excess(&mut self.counted);
        }
        for request in &quarantined {
            request.engines.iter().for_each(|engine| self.ends.attribute(engine, request.fingerprint));
        }
        // Conclusions already in the store are not written again.
        quarantined.retain(|request| !self.stored.contains_key(&request.fingerprint));
        quarantined
    }

    /// Quarantines segments that crash engines.
    fn conclude_segments(&mut self, found_by: &NodeId, now: Timestamp) -> Vec<QuarantinedRequest> {
        let mut found = self.segments.conclude(&mut self.ends, now);
        found.retain(|segment| !self.counted.contains_key(&segment.fingerprint));
        let mut quarantined = Vec::new();
        for segment in found {
            for superseded in &segment.supersedes {
                self.segments.supersede(superseded, now);
                self.counted.remove(superseded);
                self.released.push(*superseded);
            }
            self.counted.insert(segment.fingerprint, now);
            evict_excess(&mut self.counted);
            quarantined.push(QuarantinedRequest {
                fingerprint: segment.fingerprint,
                route: segment.route,
                tenant: None,
                engines: segment.engines,
                found_by: found_by.clone(),
            });
        }
        quarantined
    }

    /// Returns the segments that conclusions have released since the last call, as another one is the cause.
    pub fn take_released(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.released)
    }
}
