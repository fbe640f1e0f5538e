//! Recognises engines that send nothing more without closing their connections.
//!
//! Each request that waits for an engine is evidence in the measure of its quiet time against the time in
//! which the next byte usually comes. One quiet request proves nothing, since an engine may pause for it alone
//! or be slow. Whether the engine accepts a new connection, and what other nodes report, count as well. Any
//! byte from the engine ends its silence.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::BackendProcess, time::Timestamp};

/// The evidence from which an engine is suspect: one request has waited for its usual time.
const SUSPECT_EVIDENCE: f64 = 1.0;
/// The evidence from which an engine is silent. More than one request can give, so that an answer that is only
/// slow is never cut on its own evidence.
const SILENT_EVIDENCE: f64 = 2.0;
/// The maximum evidence of one quiet request.
const MAX_EVIDENCE_OF_ONE: f64 = 1.5;
/// The maximum evidence of the longest wait, if others are quiet as well.
const MAX_EVIDENCE_OF_LONGEST: f64 = 3.0;
/// What each of several quiet requests adds to that: little, since one pause of an engine delays all of them.
const EVIDENCE_OF_FURTHER: f64 = 0.25;
/// The maximum that they add.
const MAX_EVIDENCE_OF_FURTHER: f64 = 1.0;
/// The share of its usual time after which a request is worth a connection.
const CHECK_SHARE: f64 = 0.5;
/// Quiet times below this are no evidence: one lost packet is sent again after 200 ms.
const MIN_QUIET: Duration = Duration::from_millis(250);
/// The evidence of one connection that was not established in time. Each may have lost a packet, so that two
/// count as much as a quiet request.
const UNANSWERED_CONNECT_EVIDENCE: f64 = 0.5;
/// The number of such connections that count.
const MAX_UNANSWERED_CONNECTS: u32 = 3;
/// What is taken off the evidence unless a connection failed: the engine may be reachable, and slow.
const REACHABLE_ENGINE_EVIDENCE: f64 = 1.5;
/// The evidence of a report by other nodes, which had evidence of their own.
const REPORT_EVIDENCE: f64 = 2.0;
/// How long reports and unanswered connections count.
const EVIDENCE_TTL: Duration = Duration::from_secs(2);
/// How long an engine stays silent without further evidence, before it may be tried again.
const SILENCE_HOLD: Duration = Duration::from_secs(2);
/// The maximum of that time, which doubles with each silence that no byte has ended.
const MAX_SILENCE_HOLD: Duration = Duration::from_secs(8);
/// How often a quiet request is looked at.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The quiet time after which a connection is tried, if the usual time is longer.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(500);
/// The minimum time between two such connections.
const CONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How recently an engine must have been heard for a request that must not run twice to use a pooled
/// connection. All nodes know of a silent engine after about this time.
const FRESH_CONTACT: Duration = Duration::from_secs(1);
/// How long the last contact with an engine is remembered.
const RETENTION: Duration = Duration::from_secs(30);

/// What a node concludes about an engine process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Contact {
    #[default]
    Responsive,
    /// It is overdue: it gets no further requests while others are left.
    Suspect,
    /// Requests and streams leave it.
    Silent,
}

/// A request that waits for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitId(u64);

/// An engine that became silent, or is heard again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilenceChange {
    pub process: BackendProcess,
    pub is_silent: bool,
    /// The time without a byte.
    pub quiet: Duration,
    /// The requests that waited.
    pub waiting: usize,
    /// Connections that were not established in time.
    pub unanswered_connects: u32,
    /// Whether other nodes had reported the silence.
    pub reported: bool,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    /// When it was sent, or last got a byte.
    since: Timestamp,
    /// The time within which its next byte usually comes.
    usual: Duration,
    /// The longest gap between two events; `None` before the first.
    longest_gap: Option<Duration>,
}

impl Wait {
    fn record_byte(&mut self, target_gap: Option<Duration>, now: Timestamp) {
        let gap = now.saturating_since(self.since);
        self.since = now;
        let Some(target_gap) = target_gap else { return };
        let longest = self.longest_gap.map_or(Duration::ZERO, |longest| longest.max(gap));
        self.longest_gap = Some(longest);
        self.usual = target_gap.max(longest * 2);
    }
}

#[derive(Clone, Debug, Default)]
struct Watch {
    heard_at: Option<Timestamp>,
    waits: BTreeMap<WaitId, Wait>,
    unanswered_connects: u32,
    unanswered_at: Option<Timestamp>,
    accepted_at: Option<Timestamp>,
    checked_at: Option<Timestamp>,
    reported_at: Option<Timestamp>,
    silent_until: Option<Timestamp>,
    /// Silences since the last byte.
    silences: u32,
}

impl Watch {
    fn quiet(&self, wait: &Wait, now: Timestamp) -> Duration {
        now.saturating_since(self.heard_at.map_or(wait.since, |heard_at| heard_at.max(wait.since)))
    }

    /// The quiet time of a request in shares of its usual time; `None` below one.
    fn quiet_share(&self, wait: &Wait, now: Timestamp) -> Option<f64> {
        let quiet = self.quiet(wait, now);
        let share = quiet.as_secs_f64() / wait.usual.as_secs_f64();
        (quiet >= MIN_QUIET && share >= 1.0).then_some(share)
    }

    fn wait_evidence(&self, is_doubted: bool, now: Timestamp) -> f64 {
        // A queue delays first bytes, so that those prove nothing of an engine that may be reachable.
        let proving = self.waits.values().filter(|wait| is_doubted || wait.longest_gap.is_some());
        let shares: Vec<f64> = proving.filter_map(|wait| self.quiet_share(wait, now)).collect();
        let longest = shares.iter().copied().fold(0.0, f64::max);
        if shares.len() < 2 {
            return longest.min(MAX_EVIDENCE_OF_ONE);
        }
        let further = (shares.len() as f64 * EVIDENCE_OF_FURTHER).min(MAX_EVIDENCE_OF_FURTHER);
        longest.min(MAX_EVIDENCE_OF_LONGEST) + further
    }

    /// Whether something at `at` is younger than the last byte, and recent.
    fn counts(&self, at: Option<Timestamp>, now: Timestamp) -> bool {
        at.is_some_and(|at| {
            self.heard_at.is_none_or(|heard_at| heard_at < at) && now.saturating_since(at) < EVIDENCE_TTL
        })
    }

    fn evidence(&self, now: Timestamp) -> f64 {
        let is_unanswered = self.counts(self.unanswered_at, now);
        let is_reported = self.counts(self.reported_at, now);
        let connects = if is_unanswered {
            f64::from(self.unanswered_connects) * UNANSWERED_CONNECT_EVIDENCE
        } else {
            -REACHABLE_ENGINE_EVIDENCE
        };
        let report = if is_reported { REPORT_EVIDENCE } else { 0.0 };
        self.wait_evidence(is_unanswered || is_reported, now) + connects + report
    }

    fn contact(&self, now: Timestamp) -> Contact {
        if self.silent_until.is_some_and(|until| now < until) {
            return Contact::Silent;
        }
        match self.evidence(now) {
            evidence if evidence >= SILENT_EVIDENCE => Contact::Silent,
            evidence if evidence >= SUSPECT_EVIDENCE => Contact::Suspect,
            _ => Contact::Responsive,
        }
    }

    /// Whether other nodes should know that the engine sends nothing: a request is overdue for so long that one
    /// more proves little. Their contacts tell a silent engine from a slow one.
    fn is_overdue(&self, now: Timestamp) -> bool {
        let waits = self.wait_evidence(true, now) >= MAX_EVIDENCE_OF_ONE;
        waits || self.counts(self.unanswered_at, now) && self.contact(now) != Contact::Responsive
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        let heard_lately = self.heard_at.is_some_and(|at| now.saturating_since(at) < RETENTION);
        let is_held = self.silent_until.is_some_and(|until| now < until + RETENTION);
        self.waits.is_empty() && !heard_lately && !is_held
    }

    fn change(&self, process: &BackendProcess, is_silent: bool, now: Timestamp) -> SilenceChange {
        let quiet = self.waits.values().map(|wait| self.quiet(wait, now)).max();
        SilenceChange {
            process: process.clone(),
            is_silent,
            quiet: quiet
                .unwrap_or_else(|| self.heard_at.map_or(Duration::ZERO, |at| now.saturating_since(at))),
            waiting: self.waits.len(),
            unanswered_connects: self.unanswered_connects,
            reported: self.counts(self.reported_at, now),
        }
    }
}

/// The contact of one node with all engine processes.
#[derive(Debug, Default)]
pub struct Silences {
    by_process: BTreeMap<BackendProcess, Watch>,
    last_wait: u64,
    changes: Vec<SilenceChange>,
}

impl Silences {
    /// Records a request that was sent, whose first byte usually comes within `usual`.
    pub fn begin_wait(&mut self, process: &BackendProcess, usual: Duration, now: Timestamp) -> WaitId {
        self.last_wait += 1;
        let id = WaitId(self.last_wait);
        let wait = Wait { since: now, usual, longest_gap: None };
        self.by_process.entry(process.clone()).or_default().waits.insert(id, wait);
        id
    }

    /// Records a byte for a request. In a stream of events the next one usually comes within `target_gap`, or
    /// within twice the longest gap so far; before the first event it is `None`.
    pub fn record_byte(
        &mut self,
        process: &BackendProcess,
        id: WaitId,
        target_gap: Option<Duration>,
        now: Timestamp,
    ) {
        let Some(watch) = self.by_process.get_mut(process) else { return };
        if watch.silences > 0 {
            self.changes.push(watch.change(process, false, now));
        }
        watch.heard_at = Some(now);
        watch.silences = 0;
        watch.silent_until = None;
        watch.unanswered_connects = 0;
        if let Some(wait) = watch.waits.get_mut(&id) {
            wait.record_byte(target_gap, now);
        }
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, process: &BackendProcess, id: WaitId) {
        if let Some(watch) = self.by_process.get_mut(process) {
            watch.waits.remove(&id);
        }
    }

    /// Records that a connection was accepted or reset, which shows that the machine is reachable.
    pub fn record_reachable(&mut self, process: &BackendProcess, now: Timestamp) {
        let watch = self.by_process.entry(process.clone()).or_default();
        watch.unanswered_connects = 0;
        watch.unanswered_at = None;
        watch.accepted_at = Some(now);
    }

    /// Records that a connection was not established in time.
    pub fn record_unanswered_connect(&mut self, process: &BackendProcess, now: Timestamp) {
        let watch = self.by_process.entry(process.clone()).or_default();
        if !watch.counts(watch.unanswered_at, now) {
            watch.unanswered_connects = 0;
        }
        watch.unanswered_connects = (watch.unanswered_connects + 1).min(MAX_UNANSWERED_CONNECTS);
        watch.unanswered_at = Some(now);
    }

    /// Records that other nodes know the engine to be silent since their last contact, as of `at`.
    pub fn record_report(&mut self, process: &BackendProcess, at: Timestamp) {
        let watch = self.by_process.entry(process.clone()).or_default();
        watch.reported_at = watch.reported_at.max(Some(at));
    }

    /// What is known of an engine now.
    pub fn contact(&self, process: &BackendProcess, now: Timestamp) -> Contact {
        self.by_process.get(process).map_or(Contact::Responsive, |watch| watch.contact(now))
    }

    /// The engines that this node itself has found to send nothing, whatever others report.
    pub fn overdue(&self, now: Timestamp) -> impl Iterator<Item = &BackendProcess> {
        self.by_process.iter().filter(move |(_, watch)| watch.is_overdue(now)).map(|(process, _)| process)
    }

    /// Concludes whether the engine is silent, and whether this request should leave it. It stays while its
    /// own wait is short: an engine that was silent may be back.
    pub fn should_leave(&mut self, process: &BackendProcess, id: WaitId, now: Timestamp) -> bool {
        let Some(watch) = self.by_process.get_mut(process) else { return false };
        let is_quiet =
            watch.waits.get(&id).is_some_and(|wait| watch.quiet(wait, now) >= check_delay(wait.usual));
        if !is_quiet || watch.contact(now) != Contact::Silent {
            return false;
        }
        if watch.silent_until.is_none_or(|until| until <= now) {
            let hold = SILENCE_HOLD * 2_u32.saturating_pow(watch.silences.min(8));
            watch.silent_until = Some(now + hold.min(MAX_SILENCE_HOLD));
            watch.silences += 1;
            let change = watch.change(process, true, now);
            self.changes.push(change);
        }
        true
    }

    /// Whether a connection should be tried now, to tell an engine that is unreachable from one that is slow.
    /// Marks it as tried.
    pub fn begin_check(&mut self, process: &BackendProcess, id: WaitId, now: Timestamp) -> bool {
        let Some(watch) = self.by_process.get_mut(process) else { return false };
        let Some(wait) = watch.waits.get(&id) else { return false };
        let is_quiet = watch.quiet(wait, now) >= check_delay(wait.usual);
        let is_known = watch.counts(watch.accepted_at, now);
        let is_early = watch.checked_at.is_some_and(|at| now.saturating_since(at) < CONNECT_CHECK_INTERVAL);
        if !is_quiet || is_known || is_early {
            return false;
        }
        watch.checked_at = Some(now);
        true
    }

    /// When a request that waits should be looked at next.
    pub fn next_look(&self, process: &BackendProcess, id: WaitId, now: Timestamp) -> Timestamp {
        let Some(watch) = self.by_process.get(process) else { return now + RECHECK_INTERVAL };
        let Some(wait) = watch.waits.get(&id) else { return now + RECHECK_INTERVAL };
        let remaining = check_delay(wait.usual).saturating_sub(watch.quiet(wait, now));
        now + remaining.max(RECHECK_INTERVAL)
    }

    /// Whether a request that must not run twice may be written to a connection that has rested. On a new
    /// connection, a failure to connect proves that nothing was sent.
    pub fn is_fresh(&self, process: &BackendProcess, now: Timestamp) -> bool {
        self.by_process.get(process).is_some_and(|watch| {
            let heard_lately = watch.heard_at.is_some_and(|at| now.saturating_since(at) < FRESH_CONTACT);
            heard_lately && watch.contact(now) == Contact::Responsive
        })
    }

    /// The engines that became silent or were heard again since the last call.
    pub fn take_changes(&mut self) -> Vec<SilenceChange> {
        std::mem::take(&mut self.changes)
    }

    /// The number of silent engines.
    pub fn silent_engines(&self, now: Timestamp) -> usize {
        self.by_process.values().filter(|watch| watch.contact(now) == Contact::Silent).count()
    }

    /// Removes what is no longer needed.
    pub fn sweep(&mut self, now: Timestamp) {
        self.by_process.retain(|_, watch| !watch.is_expired(now));
    }
}

/// The quiet time after which a connection is tried.
fn check_delay(usual: Duration) -> Duration {
    usual.mul_f64(CHECK_SHARE).clamp(MIN_QUIET, MAX_CHECK_DELAY)
}
