//! What nodes tell each other: crashes and ends of runs up the tree, what is concluded of them down.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_protocol::{
    quarantine::{QuarantineDigest, RequestFingerprint, RunCompleted, RunCrash, RunReport},
    time::Timestamp,
};

use super::{Crash, News, Quarantine, SUSPICIOUS, suspicion::Suspicion};

/// How long a conclusion is told down the tree, also where the store has it: nodes hear from the store a little later.
const TOLD_AFTER: Duration = Duration::from_secs(10);
/// Crashes and ends in one report to the node above, of some 150 bytes each.
pub const MAX_REPORTED_EVENTS: usize = 48;
/// Requests in one digest, of some 50 bytes each.
const MOST_TOLD: usize = 32;

/// What a node tells above, and up to which of its news.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportBatch {
    /// The report.
    pub report: RunReport,
    /// The number of the last news in it.
    pub last_event: u64,
}

impl Quarantine {
    /// Takes in what another node tells; requests that are no longer held back for it.
    pub fn receive_report(&mut self, report: RunReport, now: Timestamp) -> Vec<RequestFingerprint> {
        let mut released = Vec::new();
        let ago = |milliseconds: u64| now - Duration::from_millis(milliseconds);
        for told in report.crashes {
            let crash = Crash {
                fingerprint: told.fingerprint,
                engine: told.engine,
                route: told.route,
                tenant: told.tenant,
                began: ago(told.began_ms_ago),
                ended: ago(told.ended_ms_ago),
            };
            self.crashed(crash, now);
        }
        for told in report.completed {
            let over = self.completion_told(told.fingerprint, ago(told.ended_ms_ago), now);
            released.extend(over.then_some(told.fingerprint));
        }
        released
    }

    /// What other nodes are told: `most` news, beginning behind the news `after`.
    pub fn report(&self, after: u64, most: usize, now: Timestamp) -> ReportBatch {
        let first = self.last - self.news.len() as u64;
        let skipped = after.saturating_sub(first) as usize;
        let ago = |at: Timestamp| now.saturating_since(at).as_millis() as u64;
        let mut report = RunReport::default();
        let news: Vec<&News> = self.news.iter().skip(skipped).take(most).collect();
        let last_event = after.clamp(first, self.last) + news.len() as u64;
        for one in news {
            match one {
                News::Crash(crash) => report.crashes.push(RunCrash {
                    fingerprint: crash.fingerprint,
                    engine: crash.engine.clone(),
                    route: crash.route.clone(),
                    tenant: crash.tenant.clone(),
                    began_ms_ago: ago(crash.began),
                    ended_ms_ago: ago(crash.ended),
                }),
                News::Completed { fingerprint, at } => {
                    report.completed.push(RunCompleted { fingerprint: *fingerprint, ended_ms_ago: ago(*at) });
                }
            }
        }
        ReportBatch { report, last_event }
    }

    /// What nodes below are told.
    pub fn digest(&self, now: Timestamp) -> QuarantineDigest {
        let suspected = |(_, suspicion): &(&RequestFingerprint, &Suspicion)| suspicion.counted >= SUSPICIOUS;
        let own = self.suspicions.iter().filter(suspected).map(|(fingerprint, _)| *fingerprint);
        let suspects: BTreeSet<RequestFingerprint> = own.chain(self.told_suspects.iter().copied()).collect();
        let unsaid = |(fingerprint, since): &(&RequestFingerprint, &Timestamp)| {
            !self.stored.contains_key(*fingerprint) || now.saturating_since(**since) < TOLD_AFTER
        };
        let held = self.counted.iter().chain(&self.told).filter(unsaid).map(|(fingerprint, _)| *fingerprint);
        let held: BTreeSet<RequestFingerprint> = held.collect();
        QuarantineDigest {
            suspects: suspects.into_iter().take(MOST_TOLD).collect(),
            held: held.into_iter().take(MOST_TOLD).collect(),
        }
    }

    /// Takes in what the node above tells; requests of which this node hears for the first time that they are held back.
    pub fn receive_digest(&mut self, digest: QuarantineDigest, now: Timestamp) -> Vec<RequestFingerprint> {
        self.told_at = Some(now);
        self.told_suspects = digest.suspects.into_iter().collect();
        let before = std::mem::take(&mut self.told);
        let mut news = Vec::new();
        for fingerprint in digest.held {
            if !before.contains_key(&fingerprint) && !self.is_known(&fingerprint) {
                news.push(fingerprint);
            }
            let since = before.get(&fingerprint).copied().unwrap_or(now);
            self.told.insert(fingerprint, since);
        }
        // What is suspected elsewhere may be known to be well here.
        let asked: Vec<RequestFingerprint> =
            self.told_suspects.iter().copied().chain(self.told.keys().copied()).collect();
        for fingerprint in asked {
            if let Some(at) = self.completions.last(&fingerprint) {
                self.completion_told(fingerprint, at, now);
            }
        }
        news
    }
}
