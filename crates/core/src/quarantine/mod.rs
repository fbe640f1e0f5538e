//! Quarantines requests that crash engines, and segments of prompts that do so in any request.
//!
//! A request may crash every engine that runs it. Its caller retries it, at any node, and each attempt costs
//! another engine with everything that runs there. Retry budgets do not stop this, since each retry by the
//! caller is a new request.
//!
//! Nodes report up the tree which engines ended under which requests. The root concludes that a request is
//! the cause once it counts [`CRASH_THRESHOLD`] successive crashes without a completed run between them; no
//! engine then receives the request for [`QUARANTINE_DURATION`]. The conclusion is written to the metadata
//! store, so that it survives restarts, and is distributed down the tree.
//!
//! Requests that differ in all but one segment of their prompts are found by [`segments`].
//!
//! Ordinary requests that were caught in crashes are not quarantined:
//! - Engines that end together, as in a rack without power, have a common cause and do not count. Those that
//!   ran nothing are noticed by their idle connections.
//! - A completed run clears the request; all nodes are asked for such runs before a conclusion.
//! - An engine that ended under a quarantined request counts against no other request.
//! - A broken connection counts only if the engine is found to have ended.
//! - A segment that nearly all prompts of a node hold is no suspect there ([`prompt_sample`]).

mod clearing;
mod completions;
mod conclusions;
mod ends;
mod fingerprint;
mod prompt_sample;
mod segments;
mod suspicion;
mod tree;
mod trial_runs;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

use paddlemount_protocol::{identity::EngineId, quarantine::RequestFingerprint, time::Timestamp};

use completions::Completions;
use ends::EngineEnds;
pub use ends::SIMULTANEITY_WINDOW;
pub use fingerprint::{Origin, segment_origin, shared_segments};
use prompt_sample::PromptSample;
pub use segments::SEGMENT_CRASH_THRESHOLD;
use segments::SegmentSuspicions;
pub use suspicion::Crash;
use suspicion::Suspicion;
pub use tree::{MAX_REPORTED_EVENTS, ReportBatch};
use trial_runs::TrialRuns;

/// Successive crashes after which a request is quarantined. Two may be chance where engines are replaced in
/// turn; a third one after the caller's return hardly is.
pub const CRASH_THRESHOLD: usize = 3;
/// How long a request is quarantined: the maximum TTL of a lease in the users' store.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Time for which a crash counts as evidence.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Maximum difference between two nodes' times of the same event, whose reports take some milliseconds.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(10);
/// Minimum age of all crashes but the last for a conclusion. By then the nodes have reported the engines that
/// ended together with them: nodes report every 200 ms, and a report passes two levels of the tree.
const MIN_CRASH_AGE: Duration = Duration::from_millis(400);
/// How long all nodes must have been asked for completed runs before a conclusion: a digest goes down and a
/// report comes up the tree, over two levels each.
const INQUIRY_TIME: Duration = Duration::from_millis(600);
/// Completions within this time are reported as one, as several nodes may report the same one at different
/// times.
const COMPLETION_DEDUP_WINDOW: Duration = Duration::from_millis(250);
/// Successive crashes from which all nodes are asked for completed runs.
const INQUIRY_THRESHOLD: usize = 2;
/// Time for which the parent's last digest is used.
const DIGEST_TTL: Duration = Duration::from_secs(30);
/// Maximum number of suspected requests.
const MAX_SUSPICIONS: usize = 2_048;
/// Maximum number of quarantined requests by source.
const MAX_QUARANTINED: usize = 1_024;
/// Maximum number of events buffered for reports.
const MAX_EVENTS: usize = 1_024;
/// Maximum number of remembered completions of requests.
const MAX_COMPLETIONS: usize = 1_024;
/// How long they are remembered: longer than it takes to reach a conclusion about successive crashes.
const COMPLETION_TTL: Duration = Duration::from_secs(30);
/// Maximum number of remembered completions of segments, of which a request has several.
const MAX_SEGMENT_COMPLETIONS: usize = 4_096;
/// How long they are remembered: a segment that was served before is less likely to crash engines.
const SEGMENT_COMPLETION_TTL: Duration = Duration::from_secs(300);

/// Maximum number of models whose prompts are sampled.
const MAX_SAMPLED_MODELS: usize = 64;

/// How a node learned that a request is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineSource {
    /// This node counted the crashes.
    Counted,
    /// The metadata store contains the conclusion.
    Stored,
    /// The parent reported it.
    Parent,
}

/// The quarantine of one request, as known at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineStatus {
    pub by: QuarantineSource,
    /// When this node learned of it.
    pub since: Timestamp,
    /// When the quarantine ends at the latest.
    pub until: Timestamp,
}

#[derive(Clone, Debug)]
enum Event {
    Crash(Crash),
    Completed { fingerprint: RequestFingerprint, at: Timestamp },
    IdleEnd { engine: EngineId, at: Timestamp },
}

/// Tracks at one node the requests under which engines end.
#[derive(Clone, Debug)]
pub struct Quarantine {
    ends: EngineEnds,
    segments: SegmentSuspicions,
    segment_completions: Completions,
    /// The latest prompts of this node, by the origin of their segments.
    samples: BTreeMap<u64, PromptSample>,
    trial_runs: TrialRuns,
    suspicions: BTreeMap<RequestFingerprint, Suspicion>,
    counted: BTreeMap<RequestFingerprint, Timestamp>,
    stored: BTreeMap<RequestFingerprint, Timestamp>,
    parent_quarantined: BTreeMap<RequestFingerprint, Timestamp>,
    parent_suspects: BTreeSet<RequestFingerprint>,
    digest_received_at: Option<Timestamp>,
    completions: Completions,
    /// Completions reported for requests that only other nodes suspect.
    reported_completions: BTreeMap<RequestFingerprint, Timestamp>,
    /// Requests with enough crashes, some of which may be too recent for a conclusion.
    to_review: BTreeSet<RequestFingerprint>,
    /// Segments that conclusions have released.
    released: Vec<RequestFingerprint>,
    events: VecDeque<Event>,
    /// The sequence number of the last event.
    last_event: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            ends: EngineEnds::default(),
            segments: SegmentSuspicions::default(),
            segment_completions: Completions::new(MAX_SEGMENT_COMPLETIONS, SEGMENT_COMPLETION_TTL),
            samples: BTreeMap::new(),
            trial_runs: TrialRuns::default(),
            suspicions: BTreeMap::new(),
            counted: BTreeMap::new(),
            stored: BTreeMap::new(),
            parent_quarantined: BTreeMap::new(),
            parent_suspects: BTreeSet::new(),
            digest_received_at: None,
            completions: Completions::new(MAX_COMPLETIONS, COMPLETION_TTL),
            reported_completions: BTreeMap::new(),
            to_review: BTreeSet::new(),
            released: Vec::new(),
            events: VecDeque::new(),
            last_event: 0,
        }
    }
}

impl Quarantine {
    /// Records the shared segments of a prompt that this node sends to an engine. `origin` is that of its model.
    pub fn record_prompt(
        &mut self,
        origin: u64,
        segments: impl Iterator<Item = RequestFingerprint>,
        now: Timestamp,
    ) {
        if self.samples.len() < MAX_SAMPLED_MODELS || self.samples.contains_key(&origin) {
            self.samples.entry(origin).or_insert_with(|| PromptSample::new(now)).record(segments);
        }
    }

    /// Whether this node can tell what a segment does: it has sent enough prompts without it, or sent prompts for long and
    /// never served one with it.
    fn is_distinguishable(&self, segment: &RequestFingerprint, now: Timestamp) -> bool {
        let Some(sample) = self.samples.get(&segment.origin) else { return false };
        let is_unserved = || self.segment_completions.last(segment).is_none();
        sample.distinguishes(segment) || (sample.is_long(now) && is_unserved())
    }

    /// Records an engine that ended under a run.
    pub fn record_crash(&mut self, crash: Crash, now: Timestamp) {
        let fingerprint = crash.fingerprint;
        if now.saturating_since(crash.ended) >= CRASH_TTL {
            return;
        }
        self.ends.record(&crash.engine, crash.ended);
        self.segments.record_crash(&crash);
        for segment in &crash.segments {
            if let Some(at) = self.segment_completions.last(segment) {
                self.segments.clear(segment, at);
            }
        }
        let mut causes = std::iter::once(&fingerprint).chain(&crash.segments);
        if let Some(cause) = causes.find(|cause| self.is_known(cause)) {
            self.ends.attribute(&crash.engine, *cause);
            self.trial_runs.record_crash(cause, crash.began);
        }
        let suspicion = self.suspicions.entry(fingerprint).or_default();
        if !suspicion.add_crash(crash.clone()) {
            return;
        }
        self.log(Event::Crash(crash));
        self.recount(fingerprint, now);
        if let Some(at) = self.completions.last(&fingerprint) {
            self.apply_completion(fingerprint, at, now);
        }
        self.evict_excess_suspicion(fingerprint);
    }

    /// Records an engine that ended while this node, or the one that reports it, had no run there: others that
    /// ended at the same time may have had the same cause.
    pub fn record_idle_end(&mut self, engine: EngineId, at: Timestamp, now: Timestamp) {
        let is_recent = now.saturating_since(at) < CRASH_TTL;
        if is_recent && self.ends.record(&engine, at) {
            self.log(Event::IdleEnd { engine, at });
        }
    }

    /// Whether this engine is known to have ended.
    pub fn has_ended(&self, engine: &EngineId) -> bool {
        self.ends.contains(engine)
    }

    /// Recounts the crashes that count against a request.
    fn recount(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        let Some(suspicion) = self.suspicions.get_mut(&fingerprint) else { return };
        let count = suspicion.count_successive(|crash| self.ends.counts_against(crash));
        suspicion.set_count(count, INQUIRY_THRESHOLD, now);
        if count >= CRASH_THRESHOLD {
            self.to_review.insert(fingerprint);
        }
    }

    /// Records a conclusion from the metadata store. Returns whether it is new to this node.
    pub fn add_stored(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> bool {
        let is_new = !self.is_known(&fingerprint);
        self.stored.entry(fingerprint).or_insert(now);
        evict_excess(&mut self.stored);
        is_new
    }

    /// Records that a conclusion was removed from the metadata store, by expiry or by an operator. One
    /// further crash restores the quarantine. Returns whether the request was quarantined.
    pub fn remove_stored(&mut self, fingerprint: &RequestFingerprint, now: Timestamp) -> bool {
        let known = self.stored.remove(fingerprint).is_some();
        let counted = self.counted.remove(fingerprint).is_some();
        self.parent_quarantined.remove(fingerprint);
        if known || counted {
            self.restart_suspicion(*fingerprint, now);
        }
        known || counted
    }

    /// Returns the requests that are quarantined according to the metadata store.
    pub fn stored_requests(&self) -> impl Iterator<Item = &RequestFingerprint> {
        self.stored.keys()
    }

    /// Returns the quarantine of a request, `None` if there is none.
    pub fn quarantined(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Option<QuarantineStatus> {
        let sources = [
            (QuarantineSource::Counted, &self.counted),
            (QuarantineSource::Stored, &self.stored),
            (QuarantineSource::Parent, &self.parent_quarantined),
        ];
        sources.into_iter().find_map(|(by, known)| {
            let since = *known.get(fingerprint)?;
            let until = since + QUARANTINE_DURATION;
            (now < until || by == QuarantineSource::Stored).then_some(QuarantineStatus { by, since, until })
        })
    }

    /// Whether a request may run although this segment is quarantined, to see whether it crashes engines. Call
    /// only at the node that draws the conclusions.
    pub fn grant_trial_run(&mut self, segment: RequestFingerprint, now: Timestamp) -> bool {
        let Some(status) = self.quarantined(&segment, now) else { return false };
        self.trial_runs.grant(segment, status.since, now)
    }

    /// Whether any request of this origin may be quarantined; only then is its fingerprint needed.
    pub fn may_be_quarantined(&self, origin: u64) -> bool {
        let mut maps = [&self.counted, &self.stored, &self.parent_quarantined].into_iter();
        maps.any(|known| known.range(fingerprints_of(origin)).next().is_some())
    }

    /// Drops expired entries and returns the requests that are no longer quarantined.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<RequestFingerprint> {
        if self.digest_received_at.is_some_and(|at| now.saturating_since(at) >= DIGEST_TTL) {
            self.parent_quarantined.clear();
            self.parent_suspects.clear();
        }
        let over = |since: &Timestamp| now.saturating_since(*since) >= QUARANTINE_DURATION;
        let ended: Vec<RequestFingerprint> = self
            .counted
            .iter()
            .filter(|(fingerprint, since)| over(since) && !self.stored.contains_key(*fingerprint))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in &ended {
            self.remove_stored(fingerprint, now);
        }
        self.ends.forget_before(now - CRASH_TTL);
        self.segments.sweep(now);
        let (counted, stored, parent) = (&self.counted, &self.stored, &self.parent_quarantined);
        self.trial_runs
            .retain(|segment| [counted, stored, parent].into_iter().any(|known| known.contains_key(segment)));
        self.reported_completions.retain(|_, at| now.saturating_since(*at) < CRASH_TTL);
        self.suspicions.retain(|_, suspicion| now.saturating_since(suspicion.last_update()) < CRASH_TTL);
        ended
    }

    /// Returns the number of quarantined requests that this node knows.
    pub fn count_quarantined(&self) -> usize {
        let all: BTreeSet<&RequestFingerprint> =
            self.counted.keys().chain(self.stored.keys()).chain(self.parent_quarantined.keys()).collect();
        all.len()
    }

    /// Returns when this node learned of the oldest quarantine.
    pub fn oldest_quarantined(&self) -> Option<Timestamp> {
        self.counted
            .values()
            .chain(self.stored.values())
            .chain(self.parent_quarantined.values())
            .min()
            .copied()
    }

    /// Returns the number of suspected requests.
    pub fn count_suspected(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns the number of segments that all nodes are asked about.
    pub fn count_suspected_segments(&self, now: Timestamp) -> usize {
        self.segments.asked_about(now).count()
    }

    fn is_known(&self, fingerprint: &RequestFingerprint) -> bool {
        let maps = [&self.counted, &self.stored, &self.parent_quarantined];
        maps.into_iter().any(|known| known.contains_key(fingerprint))
    }

    /// Keeps a request or segment under suspicion whose quarantine ended without a completed run.
    fn restart_suspicion(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        if fingerprint.segment().is_some() {
            if !self.segments.was_cleared(&fingerprint) {
                self.segments.end_quarantine(fingerprint, now);
            }
            return;
        }
        if self.suspicions.get(&fingerprint).is_some_and(Suspicion::was_cleared) {
            return;
        }
        let suspicion = self.suspicions.entry(fingerprint).or_default();
        suspicion.reset_after_quarantine(CRASH_THRESHOLD - 1, now);
        self.evict_excess_suspicion(fingerprint);
    }

    fn log(&mut self, event: Event) {
        self.last_event += 1;
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Evicts the suspicion with the fewest crashes, the least recently updated first.
    fn evict_excess_suspicion(&mut self, newest: RequestFingerprint) {
        if self.suspicions.len() <= MAX_SUSPICIONS {
            return;
        }
        let others = self.suspicions.iter().filter(|(fingerprint, _)| **fingerprint != newest);
        let weakest = others.min_by_key(|(_, suspicion)| (suspicion.counted, suspicion.last_update()));
        let weakest = weakest.map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = weakest {
            self.suspicions.remove(&fingerprint);
        }
    }
}

/// Returns the range of fingerprints of one origin.
const fn fingerprints_of(origin: u64) -> RangeInclusive<RequestFingerprint> {
    RequestFingerprint { origin, content: 0 }..=RequestFingerprint { origin, content: u128::MAX }
}

/// Evicts the oldest quarantined request above the limit.
fn evict_excess(quarantined: &mut BTreeMap<RequestFingerprint, Timestamp>) {
    if quarantined.len() <= MAX_QUARANTINED {
        return;
    }
    let oldest = quarantined.iter().min_by_key(|(_, since)| **since).map(|(fingerprint, _)| *fingerprint);
    if let Some(fingerprint) = oldest {
        quarantined.remove(&fingerprint);
    }
}
