//! Finds segments of prompts that crash engines, whatever else the requests hold.
//!
//! Each segment of a prompt that ran on an engine when it crashed is a suspect. A completed run with a segment
//! clears it of all crashes before. Of the segments that are left, the one under which most engines crashed is
//! the cause of these crashes if there are enough of them; what the others are suspected of shrinks
//! accordingly.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    identity::EngineId,
    quarantine::{RequestFingerprint, SegmentCrashes},
    time::Timestamp,
};

use super::{
    CRASH_TTL, Crash, DIGEST_TTL, INQUIRY_TIME, MIN_CRASH_AGE, SIMULTANEITY_WINDOW, ends::EngineEnds,
};

/// Crashed engines after which a segment is quarantined. More than for a request, as a rare segment may be
/// caught in several crashes before it completes a run.
pub const SEGMENT_CRASH_THRESHOLD: usize = 5;
/// The same for a segment that was served before: new weights or software may make it crash engines, but where
/// most engines crash it is more likely caught by chance.
const SERVED_CRASH_THRESHOLD: usize = 10;
/// Minimum number of separate moments of these crashes: a lost rack takes many engines at one moment.
const MIN_MOMENTS: usize = 3;
const MIN_MOMENTS_IF_SERVED: usize = 6;
/// Minimum number of different requests in them: a single one is quarantined on its own.
const MIN_REQUESTS: usize = 2;
/// Minimum number of crashes without a quarantined segment after which one that always came with it takes its place.
const MIN_CRASHES_WITHOUT: usize = 2;
/// Minimum share of the engines crashed since the first of them that the segment explains. In a series of
/// other crashes, a rare segment is caught in few.
const MIN_EXPLAINED_SHARE: f64 = 0.33;
/// Maximum number of crashed engines; beyond it the earliest are dropped.
const MAX_ENGINES: usize = 256;
/// Maximum number of suspected segments. Beyond it those with a single crash are dropped.
const MAX_SEGMENTS: usize = 8_192;
/// Crashed engines from which all nodes are asked for completed runs.
const INQUIRY_THRESHOLD: usize = 2;
/// Maximum number of segments that nodes are asked about at once, those with the most crashes first.
pub const MAX_ASKED_SEGMENTS: usize = 32;
/// Minimum time between two reviews of the evidence.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a review in which other nodes are asked: longer ago, another node draws the conclusions.
const REVIEW_TTL: Duration = Duration::from_secs(2);

/// A segment that crashes engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CrashingSegment {
    pub fingerprint: RequestFingerprint,
    /// Name of the route of the last crash.
    pub route: String,
    pub engines: Vec<EngineId>,
    /// Quarantined segments that never crashed an engine without this one.
    pub supersedes: BTreeSet<RequestFingerprint>,
}

/// The presence of a segment on an engine when it crashed.
#[derive(Clone, Debug)]
struct Occurrence {
    engine: EngineId,
    ended: Timestamp,
    /// Content of the fingerprint of a request with the segment.
    request: u128,
    /// Index in the prompt.
    position: usize,
}

/// The evidence against one segment.
#[derive(Clone, Debug, Default)]
struct Evidence {
    route: String,
    /// One per engine, in any order.
    occurrences: Vec<Occurrence>,
}

impl Evidence {
    fn has(&self, engine: &EngineId) -> bool {
        self.occurrences.iter().any(|occurrence| occurrence.engine == *engine)
    }
}

/// The evidence against all segments.
#[derive(Clone, Debug, Default)]
pub(super) struct SegmentSuspicions {
    /// When engines crashed.
    crashes: BTreeMap<EngineId, Timestamp>,
    evidence: BTreeMap<RequestFingerprint, Evidence>,
    /// When runs with suspected segments last completed.
    served: BTreeMap<RequestFingerprint, Timestamp>,
    /// Segments whose quarantine ended, and when: one further crash restores it.
    formerly_quarantined: BTreeMap<RequestFingerprint, Timestamp>,
    /// Segments that all nodes are asked about, and since when.
    asked: BTreeMap<RequestFingerprint, Timestamp>,
    reviewed_at: Option<Timestamp>,
    /// The crashes under segments that no node has served, as of that review.
    counted: Vec<SegmentCrashes>,
    /// What the last root counted, and when it told this node.
    inherited: Vec<SegmentCrashes>,
    inherited_at: Option<Timestamp>,
}

impl SegmentSuspicions {
    /// Records the suspects of a crash.
    pub fn record_crash(&mut self, crash: &Crash) {
        self.crashes.entry(crash.engine.clone()).or_insert(crash.ended);
        for (position, segment) in crash.segments.iter().enumerate() {
            self.record_occurrence(segment, crash, position);
        }
        if self.crashes.len() > MAX_ENGINES {
            self.drop_first_engine();
        }
        if self.evidence.len() > MAX_SEGMENTS {
            self.evidence.retain(|_, evidence| evidence.occurrences.len() > 1);
        }
    }

    fn record_occurrence(&mut self, segment: &RequestFingerprint, crash: &Crash, position: usize) {
        if self.served.get(segment).is_some_and(|served| crash.ended <= *served) {
            return;
        }
        if !self.evidence.contains_key(segment) && self.evidence.len() > MAX_SEGMENTS {
            return;
        }
        let evidence = self.evidence.entry(*segment).or_default();
        evidence.route.clone_from(&crash.route);
        if !evidence.has(&crash.engine) {
            evidence.occurrences.push(Occurrence {
                engine: crash.engine.clone(),
                ended: crash.ended,
                request: crash.fingerprint.content,
                position,
            });
        }
    }

    /// Records a completed run with a segment.
    pub fn clear(&mut self, segment: &RequestFingerprint, at: Timestamp) {
        self.formerly_quarantined.remove(segment);
        let Some(evidence) = self.evidence.get_mut(segment) else { return };
        evidence.occurrences.retain(|occurrence| occurrence.ended > at);
        if evidence.occurrences.is_empty() {
            self.evidence.remove(segment);
        }
        if self.served.len() < MAX_SEGMENTS {
            let served = self.served.entry(*segment).or_insert(at);
            *served = at.max(*served);
        }
    }

    /// Whether any crash speaks against a segment.
    pub fn is_suspected(&self, segment: &RequestFingerprint) -> bool {
        self.evidence.contains_key(segment)
    }

    /// Whether crashes of a segment are known to have had another cause.
    pub fn was_cleared(&self, segment: &RequestFingerprint) -> bool {
        self.served.contains_key(segment)
    }

    /// Records that the crashes of a quarantined segment have another cause.
    pub fn supersede(&mut self, segment: &RequestFingerprint, now: Timestamp) {
        self.clear(segment, now);
    }

    /// Records that the quarantine of a segment ended without a completed run.
    pub fn end_quarantine(&mut self, segment: RequestFingerprint, now: Timestamp) {
        self.evidence.remove(&segment);
        self.formerly_quarantined.insert(segment, now);
    }

    /// Whether this node draws the conclusions.
    fn is_reviewing(&self, now: Timestamp) -> bool {
        self.reviewed_at.is_some_and(|at| now.saturating_since(at) < REVIEW_TTL)
    }

    /// The segments that all nodes are asked about, if this node draws the conclusions.
    pub fn asked_about(&self, now: Timestamp) -> impl Iterator<Item = RequestFingerprint> + use<'_> {
        let is_reviewing = self.is_reviewing(now);
        self.asked.keys().copied().filter(move |_| is_reviewing)
    }

    /// The crashes under segments that no node has served: as counted here, if this node draws the conclusions,
    /// or else as its root has told.
    pub fn crashes_to_tell(&self, now: Timestamp) -> Vec<SegmentCrashes> {
        if self.is_reviewing(now) { self.counted.clone() } else { self.inherited.clone() }
    }

    /// Records what the root has counted.
    pub fn inherit(&mut self, crashes: Vec<SegmentCrashes>, now: Timestamp) {
        self.inherited = crashes;
        self.inherited_at = Some(now);
    }

    /// The engines that crashed under a segment as this node's root last counted them, and since then here.
    fn count_inherited(&self, segment: &RequestFingerprint, ends: &EngineEnds, now: Timestamp) -> usize {
        let Some(at) = self.inherited_at else { return 0 };
        let since = self.count_against(segment, ends, now).iter().filter(|crash| crash.ended > at).count();
        let told = self.inherited.iter().find(|told| told.segment == *segment);
        told.filter(|_| since > 0).map_or(0, |told| told.engines as usize + since)
    }

    /// Finds a segment that the last root had nearly concluded on, if it crashes engines here too.
    fn inherited_conclusion(&self, ends: &EngineEnds, now: Timestamp) -> Option<CrashingSegment> {
        let found = self.inherited.iter().map(|told| told.segment).find(|segment| {
            let is_unserved = !self.served.contains_key(segment);
            is_unserved && self.count_inherited(segment, ends, now) >= SEGMENT_CRASH_THRESHOLD
        })?;
        let evidence = self.evidence.get(&found)?;
        Some(CrashingSegment {
            fingerprint: found,
            route: evidence.route.clone(),
            engines: evidence.occurrences.iter().map(|occurrence| occurrence.engine.clone()).collect(),
            supersedes: BTreeSet::new(),
        })
    }

    /// Returns the segments found to crash engines, and attributes the ends of these engines to them.
    pub fn conclude(&mut self, ends: &mut EngineEnds, now: Timestamp) -> Vec<CrashingSegment> {
        let is_due = self.reviewed_at.is_none_or(|at| now.saturating_since(at) >= REVIEW_INTERVAL);
        if !is_due || (self.evidence.is_empty() && self.asked.is_empty()) {
            return Vec::new();
        }
        self.reviewed_at = Some(now);
        self.ask(ends, now);
        let mut found: Vec<CrashingSegment> = Vec::new();
        while let Some(segment) = self.strongest(ends, now).or_else(|| self.inherited_conclusion(ends, now)) {
            // Ends that are no longer remembered cannot be attributed.
            if found.iter().any(|known| known.fingerprint == segment.fingerprint) {
                break;
            }
            segment.engines.iter().for_each(|engine| ends.attribute(engine, segment.fingerprint));
            found.push(segment);
        }
        found
    }

    /// Chooses the segments that all nodes are asked about.
    fn ask(&mut self, ends: &EngineEnds, now: Timestamp) {
        let mut suspects: Vec<(usize, RequestFingerprint)> = Vec::new();
        for segment in self.evidence.keys() {
            let count = self.count_against(segment, ends, now).len();
            if count >= INQUIRY_THRESHOLD || (count > 0 && self.formerly_quarantined.contains_key(segment)) {
                suspects.push((count, *segment));
            }
        }
        suspects.sort_by_key(|(count, _)| Reverse(*count));
        suspects.truncate(MAX_ASKED_SEGMENTS);
        let is_unserved = |segment: &RequestFingerprint| !self.served.contains_key(segment);
        let unserved = suspects.iter().filter(|(_, segment)| is_unserved(segment));
        self.counted = unserved
            .map(|(count, segment)| SegmentCrashes { segment: *segment, engines: *count as u32 })
            .collect();
        let since = |segment| self.asked.get(segment).copied().unwrap_or(now);
        self.asked = suspects.iter().map(|(_, segment)| (*segment, since(segment))).collect();
    }

    /// The segment that explains most crashes, if it explains enough and all nodes have been asked about it.
    fn strongest(&self, ends: &EngineEnds, now: Timestamp) -> Option<CrashingSegment> {
        let candidates = self.asked.iter().filter_map(|(segment, asked)| {
            let counted = self.count_against(segment, ends, now - MIN_CRASH_AGE);
            let is_enough = self.is_enough(segment, &counted, ends) && is_needed(&counted, ends, now);
            is_enough.then_some((*segment, *asked, counted))
        });
        // Of new segments that always come together the last one in the prompt is held back: the earlier ones are
        // shared more widely, and take its place after two further crashes.
        let (segment, asked, counted) = candidates.max_by_key(|(segment, _, counted)| {
            let is_new = !self.served.contains_key(segment);
            (counted.len(), is_new, counted.first().map(|occurrence| occurrence.position))
        })?;
        let engines = counted.iter().map(|occurrence| occurrence.engine.clone()).collect();
        let supersedes =
            counted.iter().filter_map(|occurrence| ends.attributed(&occurrence.engine)).collect();
        let route = self.evidence.get(&segment).map(|evidence| evidence.route.clone()).unwrap_or_default();
        let is_answered = now.saturating_since(asked) >= INQUIRY_TIME;
        is_answered.then_some(CrashingSegment { fingerprint: segment, route, engines, supersedes })
    }

    /// The crashes until `until` that count against a segment, in order of time: those that nothing else
    /// explains, or that are explained by a segment which never crashed an engine without this one.
    fn count_against(
        &self,
        segment: &RequestFingerprint,
        ends: &EngineEnds,
        until: Timestamp,
    ) -> Vec<&Occurrence> {
        let Some(evidence) = self.evidence.get(segment) else { return Vec::new() };
        let settled = || evidence.occurrences.iter().filter(|occurrence| occurrence.ended <= until);
        if settled().all(|occurrence| ends.attributed(&occurrence.engine).is_some()) {
            return Vec::new();
        }
        let causes: BTreeSet<RequestFingerprint> =
            settled().filter_map(|occurrence| ends.attributed(&occurrence.engine)).collect();
        let replaceable: BTreeSet<RequestFingerprint> = causes
            .into_iter()
            .filter(|cause| cause != segment && self.always_with(cause, evidence))
            .collect();
        let counts = |occurrence: &&Occurrence| {
            ends.attributed(&occurrence.engine).is_none_or(|cause| replaceable.contains(&cause))
        };
        let mut counted: Vec<&Occurrence> = settled().filter(counts).collect();
        counted.sort_by_key(|occurrence| occurrence.ended);
        counted
    }

    /// Whether a segment was on no crashed engine without another one.
    fn always_with(&self, segment: &RequestFingerprint, other: &Evidence) -> bool {
        let evidence = self.evidence.get(segment);
        evidence.is_some_and(|evidence| {
            evidence.occurrences.iter().all(|occurrence| other.has(&occurrence.engine))
        })
    }

    /// Whether crashes, in order of time, show that the segment is their cause.
    fn is_enough(&self, segment: &RequestFingerprint, counted: &[&Occurrence], ends: &EngineEnds) -> bool {
        let Some(first) = counted.first() else { return false };
        if self.formerly_quarantined.contains_key(segment) {
            return true;
        }
        let requests: BTreeSet<u128> = counted.iter().map(|occurrence| occurrence.request).collect();
        let is_open = |(engine, ended): &(&EngineId, &Timestamp)| {
            **ended >= first.ended && ends.attributed(engine).is_none()
        };
        let crashed = self.crashes.iter().filter(is_open).count();
        let (min_engines, min_moments) = if self.served.contains_key(segment) {
            (SERVED_CRASH_THRESHOLD, MIN_MOMENTS_IF_SERVED)
        } else {
            (SEGMENT_CRASH_THRESHOLD, MIN_MOMENTS)
        };
        counted.len() >= min_engines
            && count_moments(counted) >= min_moments
            && requests.len() >= MIN_REQUESTS
            && counted.len() as f64 >= crashed as f64 * MIN_EXPLAINED_SHARE
    }

    /// Drops what is too old to count.
    pub fn sweep(&mut self, now: Timestamp) {
        let is_recent = |at: &Timestamp| now.saturating_since(*at) < CRASH_TTL;
        self.crashes.retain(|_, ended| is_recent(ended));
        if self.inherited_at.is_some_and(|at| now.saturating_since(at) >= DIGEST_TTL) {
            self.inherited.clear();
        }
        self.served.retain(|_, at| is_recent(at));
        self.formerly_quarantined.retain(|_, ended| is_recent(ended));
        self.evidence.retain(|_, evidence| {
            evidence.occurrences.retain(|occurrence| is_recent(&occurrence.ended));
            !evidence.occurrences.is_empty()
        });
    }

    fn drop_first_engine(&mut self) {
        let first = self.crashes.iter().min_by_key(|(_, ended)| **ended).map(|(engine, _)| engine.clone());
        let Some(first) = first else { return };
        self.crashes.remove(&first);
        self.evidence.retain(|_, evidence| {
            evidence.occurrences.retain(|occurrence| occurrence.engine != first);
            !evidence.occurrences.is_empty()
        });
    }
}

/// Counts the moments at which engines crashed, given in order of time.
fn count_moments(crashes: &[&Occurrence]) -> usize {
    let (mut moments, mut last) = (0, None);
    for crash in crashes {
        let is_same =
            last.is_some_and(|last: Timestamp| crash.ended.saturating_since(last) <= SIMULTANEITY_WINDOW);
        if !is_same {
            moments += 1;
            last = Some(crash.ended);
        }
    }
    moments
}

/// Whether crashes that are explained already need another explanation: enough others came without the segment that
/// explains them, and runs that clear this one would have been reported since.
fn is_needed(counted: &[&Occurrence], ends: &EngineEnds, now: Timestamp) -> bool {
    let unexplained: Vec<&&Occurrence> =
        counted.iter().filter(|occurrence| ends.attributed(&occurrence.engine).is_none()).collect();
    let is_old = |occurrence: &&&Occurrence| now.saturating_since(occurrence.ended) >= INQUIRY_TIME;
    let old = unexplained.iter().copied().filter(is_old).count();
    unexplained.len() == counted.len() || old >= MIN_CRASHES_WITHOUT
}
