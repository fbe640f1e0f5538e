//! Whether an engine is silent or full, from what several nodes have observed of it.
//!
//! One node may suspect an engine because of its own link. A suspicion therefore counts only after a time in
//! which a contact of another node would have been reported, shorter if several nodes agree, and any contact
//! after it clears it.

use std::time::Duration;

use paddlemount_protocol::{fleet::EngineCondition, time::Timestamp};

use crate::forwarding::ranks::rank_for;

/// How long the suspicion of a single node must stay without a contact of any node. The suspicion and the
/// contacts cross a tree of four levels in this time.
const CONFIRMATION_ALONE: Duration = Duration::from_millis(900);
/// The same if several nodes suspect the engine: a wrong suspicion is still contradicted from most of the tree
/// in this time.
const CONFIRMATION_TOGETHER: Duration = Duration::from_millis(500);
/// The minimum time without a contact of any node. Under load some requests wait for longer than others are
/// answered, so that nodes suspect a busy engine again and again. A contact is up to this old when the lowest
/// of four levels gets it.
pub(super) const MIN_FLEET_SILENCE: Duration = Duration::from_millis(900);
/// How long a refusal is significant. The share of nodes that avoid the engine falls to none in this time, as
/// slots become free one by one.
const FULL_PERIOD: Duration = Duration::from_millis(800);
/// The maximum time in which all nodes return to an engine that answers again.
const MAX_RETURN_PERIOD: Duration = Duration::from_millis(1_500);
/// The time from the suspicion to the first probes, and bounds of the time between later ones, which doubles.
const FIRST_PROBE: Duration = Duration::from_millis(900);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// The expected number of nodes that probe a silent engine at a time; with one, a third of the probes would
/// be left out by chance.
const PROBING_NODES: f64 = 3.0;

/// A suspicion that an engine is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Silence {
    pub(super) since: Timestamp,
    /// The number of nodes that suspect it.
    pub(super) nodes: u32,
}

impl Silence {
    /// From when on the engine is avoided if no contact is reported.
    fn confirmed_at(self) -> Timestamp {
        self.since + if self.nodes > 1 { CONFIRMATION_TOGETHER } else { CONFIRMATION_ALONE }
    }
}

/// The return of nodes to an engine that answers again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Return {
    began_at: Timestamp,
    period: Duration,
}

impl Return {
    /// The return after `silence`, no longer than the engine was avoided: it has lost little after a moment.
    pub(super) fn after(silence: Silence, now: Timestamp) -> Self {
        let avoided = now.saturating_since(silence.confirmed_at());
        Self { began_at: now, period: avoided.min(MAX_RETURN_PERIOD) }
    }

    /// The share of nodes that have returned.
    pub(super) fn share(self, now: Timestamp) -> f64 {
        elapsed_share(self.began_at, self.period, now)
    }
}

/// What some nodes have observed of an engine's condition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Signs {
    /// The last byte that any of them received from it.
    pub(super) contact_at: Option<Timestamp>,
    pub(super) silence: Option<Silence>,
    pub(super) refused_at: Option<Timestamp>,
}

impl Signs {
    /// Adds what other nodes have observed.
    pub(super) fn add(&mut self, other: &Self) {
        self.contact_at = self.contact_at.max(other.contact_at);
        self.refused_at = self.refused_at.max(other.refused_at);
        self.silence = match (self.silence, other.silence) {
            (Some(left), Some(right)) => Some(Silence {
                since: left.since.max(right.since),
                nodes: left.nodes.saturating_add(right.nodes),
            }),
            (left, right) => left.or(right),
        };
    }

    /// The suspicion, unless a contact has followed it.
    pub(super) fn open_silence(&self) -> Option<Silence> {
        self.silence.filter(|silence| self.contact_at.is_none_or(|contact_at| contact_at <= silence.since))
    }

    /// Whether the engine is certainly enough silent to be avoided.
    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        let is_answering = self.contact_at.is_some_and(|at| now.saturating_since(at) < MIN_FLEET_SILENCE);
        !is_answering && self.open_silence().is_some_and(|silence| now >= silence.confirmed_at())
    }

    /// The fraction of nodes that avoid the engine because it is full.
    pub(super) fn fullness(&self, now: Timestamp) -> f64 {
        self.refused_at.map_or(0.0, |at| 1.0 - elapsed_share(at, FULL_PERIOD, now))
    }

    /// The condition by which nodes act.
    pub(super) fn condition(&self, now: Timestamp) -> EngineCondition {
        if self.is_silent(now) {
            EngineCondition::Silent
        } else if self.fullness(now) > 0.0 {
            EngineCondition::Full
        } else {
            EngineCondition::Responsive
        }
    }
}

/// The share of `period` that has elapsed since `start`, up to 1.
fn elapsed_share(start: Timestamp, period: Duration, now: Timestamp) -> f64 {
    if period.is_zero() {
        return 1.0;
    }
    (now.saturating_since(start).as_secs_f64() / period.as_secs_f64()).min(1.0)
}

/// The number of the probe that is due at an engine that is silent since `since`.
pub(super) fn due_probe(since: Timestamp, now: Timestamp) -> Option<u32> {
    let elapsed = now.saturating_since(since);
    if elapsed < FIRST_PROBE {
        return None;
    }
    let (mut start, mut interval, mut probe) = (FIRST_PROBE, FIRST_PROBE, 0);
    while interval < MAX_PROBE_INTERVAL && start + interval <= elapsed {
        start += interval;
        interval = (interval * 2).min(MAX_PROBE_INTERVAL);
        probe += 1;
    }
    let further = (elapsed - start).as_millis() / interval.as_millis();
    Some(probe + u32::try_from(further).unwrap_or(u32::MAX - probe))
}

/// Whether a node with this draw, one of `nodes`, takes part in a probe.
pub(super) fn takes_part(draw: f64, probe: u32, nodes: u32) -> bool {
    let drawn = rank_for(draw.to_bits(), u64::from(probe)) as f64 / u64::MAX as f64;
    drawn * f64::from(nodes.max(1)) < PROBING_NODES
}
