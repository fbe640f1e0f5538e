//! Remembers when engines ended, whatever they ran: simultaneous ends have a common cause.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{identity::EngineId, quarantine::RequestFingerprint, time::Timestamp};

use super::Crash;

/// Minimum number of simultaneous ends that imply a common cause. Two may be chance, or two runs of one
/// request.
const COMMON_CAUSE_ENDS: usize = 3;
/// Maximum distance of simultaneous ends: a failure shows within the round trip between two zones, and
/// reports from other nodes arrive some milliseconds late.
pub const SIMULTANEITY_WINDOW: Duration = Duration::from_millis(30);
/// Minimum duration of a run that can have ended its engine, as an engine takes some milliseconds before it
/// starts a run.
const MIN_RUN_DURATION: Duration = Duration::from_millis(10);
/// Maximum number of remembered engines.
const MAX_ENGINES: usize = 4_096;

/// Times at which engines ended.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineEnds {
    by_engine: BTreeMap<EngineId, Timestamp>,
    by_time: BTreeSet<(Timestamp, EngineId)>,
    /// The quarantined request or segment under which an engine ended.
    explained: BTreeMap<EngineId, RequestFingerprint>,
}

impl EngineEnds {
    /// Records the end of an engine; the first report determines the time. Returns whether it is new.
    pub fn record(&mut self, engine: &EngineId, at: Timestamp) -> bool {
        if self.by_engine.contains_key(engine) {
            return false;
        }
        self.by_engine.insert(engine.clone(), at);
        self.by_time.insert((at, engine.clone()));
        if self.by_time.len() > MAX_ENGINES {
            self.forget_first();
        }
        true
    }

    /// Whether the end of this engine is recorded.
    pub fn contains(&self, engine: &EngineId) -> bool {
        self.by_engine.contains_key(engine)
    }

    /// Attributes the end of an engine to the request or segment that is quarantined for it.
    pub fn attribute(&mut self, engine: &EngineId, by: RequestFingerprint) {
        if self.by_engine.contains_key(engine) {
            self.explained.insert(engine.clone(), by);
        }
    }

    /// What the end of this engine is attributed to.
    pub fn attributed(&self, engine: &EngineId) -> Option<RequestFingerprint> {
        self.explained.get(engine).copied()
    }

    /// Whether a crash counts against its request, as nothing else explains it.
    pub fn counts_against(&self, crash: &Crash) -> bool {
        let explained = self.explained.get(&crash.engine).is_some_and(|by| *by != crash.fingerprint);
        // A run sent after the engine had ended did not end it.
        let sent_too_late = self.by_engine.get(&crash.engine).is_some_and(|end| crash.began > *end);
        !explained && !sent_too_late && !self.never_started(crash) && !self.has_common_cause(crash)
    }

    /// Whether a run broke off before it can have started, while another engine ended: it was retried on an
    /// engine that was ending too.
    fn never_started(&self, crash: &Crash) -> bool {
        let long_enough = crash.ended.saturating_since(crash.began) >= MIN_RUN_DURATION;
        !long_enough && self.ends_around(crash).count() > 1
    }

    fn ends_around(&self, crash: &Crash) -> impl Iterator<Item = Timestamp> + use<'_> {
        let since = (crash.ended - SIMULTANEITY_WINDOW, EngineId::from(""));
        let until = crash.ended + SIMULTANEITY_WINDOW;
        self.by_time.range(since..).map(|(end, _)| *end).take_while(move |end| *end <= until)
    }

    /// Whether enough engines ended together that the run was not the cause. A run that began after the first
    /// of these ends is not excused by them.
    fn has_common_cause(&self, crash: &Crash) -> bool {
        let mut ends = self.ends_around(crash);
        let Some(first) = ends.next() else { return false };
        crash.began < first && ends.take(COMMON_CAUSE_ENDS - 1).count() == COMMON_CAUSE_ENDS - 1
    }

    /// Drops ends before `time`.
    pub fn forget_before(&mut self, time: Timestamp) {
        while self.by_time.first().is_some_and(|(end, _)| *end < time) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, engine)) = self.by_time.pop_first() {
            self.by_engine.remove(&engine);
            self.explained.remove(&engine);
        }
    }
}
