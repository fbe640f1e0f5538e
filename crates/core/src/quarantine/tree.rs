//! Exchange between nodes: crashes and completions go up the tree, conclusions go down.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_protocol::{
    quarantine::{IdleEnd, QuarantineDigest, RequestFingerprint, RunCompleted, RunCrash, RunReport},
    time::Timestamp,
};

use super::{
    Crash, Event, INQUIRY_THRESHOLD, Quarantine, segments::MAX_ASKED_SEGMENTS, suspicion::Suspicion,
};

/// How long a conclusion is sent down the tree although the store has it, as other nodes read the store a
/// little later.
const STORED_TTL: Duration = Duration::from_secs(10);
/// Maximum number of events in one report to the parent, of about 150 bytes each and 50 for each segment.
pub const MAX_REPORTED_EVENTS: usize = 128;
/// Maximum number of suspected, and of quarantined requests in one digest, of about 50 bytes each.
const MAX_DIGEST_REQUESTS: usize = 32;

/// A report for another node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportBatch {
    pub report: RunReport,
    /// The sequence number of the last event in it.
    pub last_event: u64,
}

impl Quarantine {
    /// Applies another node's report and returns the requests that it releases from quarantine.
    pub fn receive_report(&mut self, report: RunReport, now: Timestamp) -> Vec<RequestFingerprint> {
        let mut released = Vec::new();
        let ago = |milliseconds: u64| now - Duration::from_millis(milliseconds);
        for entry in report.crashes {
            let crash = Crash {
                fingerprint: entry.fingerprint,
                engine: entry.engine,
                route: entry.route,
                tenant: entry.tenant,
                began: ago(entry.began_ms_ago),
                ended: ago(entry.ended_ms_ago),
                segments: entry.segments,
            };
            self.record_crash(crash, now);
        }
        for entry in report.idle_ends {
            self.record_idle_end(entry.engine, ago(entry.ended_ms_ago), now);
        }
        for entry in report.completed {
            let is_over = self.apply_completion(entry.fingerprint, ago(entry.ended_ms_ago), now);
            released.extend(is_over.then_some(entry.fingerprint));
        }
        released
    }

    /// Returns a report of up to `max` events that follow event `after`.
    pub fn report(&self, after: u64, max: usize, now: Timestamp) -> ReportBatch {
        let first = self.last_event - self.events.len() as u64;
        let skipped = after.saturating_sub(first) as usize;
        let ago = |at: Timestamp| now.saturating_since(at).as_millis() as u64;
        let mut report = RunReport::default();
        let events: Vec<&Event> = self.events.iter().skip(skipped).take(max).collect();
        let last_event = after.clamp(first, self.last_event) + events.len() as u64;
        for event in events {
            match event {
                Event::Crash(crash) => report.crashes.push(RunCrash {
                    fingerprint: crash.fingerprint,
                    engine: crash.engine.clone(),
                    route: crash.route.clone(),
                    tenant: crash.tenant.clone(),
                    began_ms_ago: ago(crash.began),
                    ended_ms_ago: ago(crash.ended),
                    segments: crash.segments.clone(),
                }),
                Event::Completed { fingerprint, at } => {
                    report.completed.push(RunCompleted { fingerprint: *fingerprint, ended_ms_ago: ago(*at) });
                }
                Event::IdleEnd { engine, at } => {
                    report.idle_ends.push(IdleEnd { engine: engine.clone(), ended_ms_ago: ago(*at) });
                }
            }
        }
        ReportBatch { report, last_event }
    }

    /// Returns the digest for the children.
    pub fn digest(&self, now: Timestamp) -> QuarantineDigest {
        let suspected =
            |(_, suspicion): &(&RequestFingerprint, &Suspicion)| suspicion.counted >= INQUIRY_THRESHOLD;
        let own = self.suspicions.iter().filter(suspected).map(|(fingerprint, _)| *fingerprint);
        let segments = self.segments.asked_about(now);
        let suspects: BTreeSet<RequestFingerprint> =
            own.chain(segments).chain(self.parent_suspects.iter().copied()).collect();
        let is_sent = |(fingerprint, since): &(&RequestFingerprint, &Timestamp)| {
            !self.stored.contains_key(*fingerprint) || now.saturating_since(**since) < STORED_TTL
        };
        let quarantined = self
            .counted
            .iter()
            .chain(&self.parent_quarantined)
            .filter(is_sent)
            .map(|(fingerprint, _)| *fingerprint);
        let quarantined: BTreeSet<RequestFingerprint> = quarantined.collect();
        let (segments, requests): (Vec<_>, Vec<_>) =
            suspects.into_iter().partition(|suspect| suspect.segment().is_some());
        let requests = requests.into_iter().take(MAX_DIGEST_REQUESTS);
        QuarantineDigest {
            suspects: requests.chain(segments.into_iter().take(MAX_ASKED_SEGMENTS)).collect(),
            quarantined: quarantined.into_iter().take(MAX_DIGEST_REQUESTS).collect(),
            segment_crashes: self.segments.crashes_to_tell(now),
        }
    }

    /// Applies the parent's digest and returns the requests that it newly quarantines here.
    pub fn receive_digest(&mut self, digest: QuarantineDigest, now: Timestamp) -> Vec<RequestFingerprint> {
        self.digest_received_at = Some(now);
        self.parent_suspects = digest.suspects.into_iter().collect();
        self.segments.inherit(digest.segment_crashes, now);
        let before = std::mem::take(&mut self.parent_quarantined);
        let mut new = Vec::new();
        for fingerprint in digest.quarantined {
            if !before.contains_key(&fingerprint) && !self.is_known(&fingerprint) {
                new.push(fingerprint);
            }
            let since = before.get(&fingerprint).copied().unwrap_or(now);
            self.parent_quarantined.insert(fingerprint, since);
        }
        // Requests suspected elsewhere may have completed here.
        let to_check: Vec<RequestFingerprint> =
            self.parent_suspects.iter().copied().chain(self.parent_quarantined.keys().copied()).collect();
        for fingerprint in to_check {
            if let Some(at) = self.last_completion(&fingerprint) {
                self.apply_completion(fingerprint, at, now);
            }
        }
        new
    }
}
