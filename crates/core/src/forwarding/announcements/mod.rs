//! What back ends announce about themselves in their answers: that they drain, that they want no requests for
//! some time, how many requests per second they accept, and that they bear few rejections.
//!
//! An announcement takes precedence over registry entries, which may be late or missing, and outlives the
//! entry of its process.
//!
//! | announced | gossiped to other nodes | in force | ends |
//! |---|---|---|---|
//! | draining | yes | at once | never: a process that drains does not return |
//! | back-off | no: it is meant for the node that got the answer | until the latest end that the process has requested | at that end; once a new incarnation is known, at most 3 s after it was requested |
//! | rate limit | yes: it holds for all nodes together | by this node's share ([`rate_limit`]) | with an answer without a limit to a request that was sent after the limit was last advertised |
//! | brittleness | no: each answer states it, and one back end speaks for its service | by even shares of the slots ([`brittleness`]) | with an answer without it to a request that was sent after it was last stated, or 5 s after that |
//!
//! | module | responsibility |
//! |---|---|
//! | [`rate_limit`] | the limit of one process and this node's share of it |
//! | [`brittleness`] | the room of back ends that bear few rejections |
//! | `arrivals` | requests that may arrive at a limited process within one window |
//! | `division` | dividing a limit over the tree of nodes |
//! | [`limits`] | merging limits and admitting requests by them |

mod arrivals;
pub mod brittleness;
mod division;
pub mod limits;
pub mod rate_limit;

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::BackendProcess, time::Timestamp};

pub use division::Member;

use self::rate_limit::{RateLimit, TreePosition};
use super::backends::{Backend, BackendEntry, BackendId, BackendState, Backends};
use crate::back_off::MAX_BACK_OFF;

/// How long the announcements of a process are kept after its last one.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(600);
/// How long after the start of a process the registry may still show the incarnation before it. A back-off
/// that was requested within this time may come from the new process.
const REGISTRY_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of processes whose announcements are kept, about 100 bytes each. Beyond it the oldest ones
/// are dropped; that takes a whole pool of the largest size that announces at once.
const MAX_PROCESSES: usize = 16_384;
/// How long a node gossips that a process drains: ten reports, of which some may be lost.
const GOSSIP_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of draining processes in one message, about 30 bytes each.
const MAX_GOSSIPED: usize = 128;

/// What one process has announced.
#[derive(Clone, Debug, PartialEq)]
struct Announced {
    /// When a node first observed that it drains.
    draining_since: Option<Timestamp>,
    backed_off_until: Option<Timestamp>,
    back_off_requested_at: Timestamp,
    /// The last limit that it has advertised.
    limit: Option<RateLimit>,
    observed_at: Timestamp,
}

impl Announced {
    fn is_in_force(&self, now: Timestamp) -> bool {
        let is_recent = now.saturating_since(self.observed_at) < ANNOUNCEMENT_TTL;
        let lasts = self.draining_since.is_some() || self.limit.is_some();
        (lasts && is_recent) || self.backed_off_until.is_some_and(|until| now < until)
    }
}

/// A back-off that a back end has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackOff {
    pub until: Timestamp,
    /// Whether no earlier back-off was still in force.
    pub begins: bool,
    /// Whether the back end requested more than the maximum.
    pub is_cut: bool,
}

/// The effect of an observation that a process drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainingEffect {
    /// No effect: it was known already, or the process is unknown.
    Known,
    /// The back end gets no requests any more, unless no other is left.
    Leaves,
    /// The back end was a suspect without an entry and is dropped.
    Dropped,
}

/// The announcements of all back ends.
#[derive(Debug, Default)]
pub struct Announcements {
    /// Ordered by back end, then by incarnation.
    by_process: BTreeMap<BackendProcess, Announced>,
    position: TreePosition,
    /// The processes that were limited at the last division.
    limited: Vec<BackendProcess>,
}

impl Announcements {
    /// The announcements of a process, for an update.
    fn of(&mut self, process: &BackendProcess, now: Timestamp) -> &mut Announced {
        if self.by_process.len() >= MAX_PROCESSES && !self.by_process.contains_key(process) {
            let oldest = self.by_process.iter().min_by_key(|(_, announced)| announced.observed_at);
            let oldest = oldest.map(|(process, _)| process.clone());
            oldest.and_then(|process| self.by_process.remove(&process));
        }
        let fresh = Announced {
            draining_since: None,
            backed_off_until: None,
            back_off_requested_at: now,
            limit: None,
            observed_at: now,
        };
        let known = self.by_process.entry(process.clone()).or_insert(fresh);
        known.observed_at = now;
        known
    }

    /// Records that a process drains. Returns whether that is new.
    fn record_draining(&mut self, process: &BackendProcess, now: Timestamp) -> bool {
        let known = self.of(process, now);
        let is_new = known.draining_since.is_none();
        known.draining_since.get_or_insert(now);
        is_new
    }

    /// Records that a process wants no requests from this node for `requested`. An earlier end than one
    /// requested before changes nothing: answers may arrive out of order.
    pub fn observe_back_off(
        &mut self,
        process: &BackendProcess,
        requested: Duration,
        now: Timestamp,
    ) -> Option<BackOff> {
        if requested.is_zero() {
            return None;
        }
        let known = self.of(process, now);
        let before = known.backed_off_until.filter(|until| now < *until);
        let until = before.max(Some(now + requested.min(MAX_BACK_OFF)))?;
        known.backed_off_until = Some(until);
        known.back_off_requested_at = now;
        Some(BackOff { until, begins: before.is_none(), is_cut: requested > MAX_BACK_OFF })
    }

    /// When a node first observed that the process of an entry drains.
    pub(super) fn draining_since(&self, entry: &BackendEntry) -> Option<Timestamp> {
        self.of_entry(entry).filter_map(|known| known.draining_since).min()
    }

    /// The announcements of the process of an entry. A stale entry may name an earlier incarnation, so those
    /// of later incarnations are included.
    fn of_entry(&self, entry: &BackendEntry) -> impl Iterator<Item = &Announced> {
        let first = BackendProcess { id: entry.id.clone(), started_at: entry.started_at };
        self.incarnations_from(first).map(|(_, known)| known)
    }

    fn incarnations_from(
        &self,
        first: BackendProcess,
    ) -> impl Iterator<Item = (&BackendProcess, &Announced)> {
        let id = first.id.clone();
        self.by_process.range(first..).take_while(move |(process, _)| process.id == id)
    }

    /// Whether any incarnation of a back end drains.
    fn any_draining(&self, id: &BackendId) -> bool {
        let first = BackendProcess { id: id.clone(), started_at: None };
        self.incarnations_from(first).any(|(_, known)| known.draining_since.is_some())
    }

    /// The end of the back-off of an entry's process; none where no back-off is in force.
    pub fn backed_off_until(&self, entry: &BackendEntry, now: Timestamp) -> Option<Timestamp> {
        if self.by_process.is_empty() {
            return None;
        }
        let any_incarnation = BackendProcess { id: entry.id.clone(), started_at: None };
        let ends = self.incarnations_from(any_incarnation).filter_map(|(process, known)| {
            let until = known.backed_off_until?;
            let is_earlier = process.started_at < entry.started_at;
            Some(if is_earlier { until.min(known.back_off_requested_at + REGISTRY_DELAY) } else { until })
        });
        ends.max().filter(|until| now < *until)
    }

    /// The draining processes to gossip, the most recently observed ones first.
    pub fn pending_draining_gossip(&self, now: Timestamp) -> Vec<BackendProcess> {
        let mut gossiped: Vec<(Timestamp, BackendProcess)> = self
            .by_process
            .iter()
            .filter_map(|(process, known)| {
                let since = known.draining_since.filter(|since| is_gossiped(*since, now))?;
                Some((since, process.clone()))
            })
            .collect();
        gossiped.sort_unstable_by_key(|(since, _)| Reverse(*since));
        gossiped.into_iter().take(MAX_GOSSIPED).map(|(_, process)| process).collect()
    }

    /// Drops announcements that have expired. Returns the back ends whose back-off has ended.
    pub fn expire(&mut self, now: Timestamp) -> Vec<BackendId> {
        let mut ended = Vec::new();
        for (process, known) in &mut self.by_process {
            if known.backed_off_until.take_if(|until| *until <= now).is_some() {
                ended.push(process.id.clone());
            }
        }
        self.by_process.retain(|_, known| known.is_in_force(now));
        ended
    }

    /// Whether there are draining processes to gossip.
    pub fn has_pending_gossip(&self, now: Timestamp) -> bool {
        self.by_process
            .values()
            .any(|known| known.draining_since.is_some_and(|since| is_gossiped(since, now)))
    }

    /// The number of processes with a back-off in force.
    pub fn count_backed_off(&self, now: Timestamp) -> usize {
        self.by_process
            .values()
            .filter(|known| known.backed_off_until.is_some_and(|until| now < until))
            .count()
    }
}

/// Whether a process that was first observed to drain at `since` is still gossiped.
fn is_gossiped(since: Timestamp, now: Timestamp) -> bool {
    now.saturating_since(since) < GOSSIP_PERIOD
}

impl Backends {
    /// The incarnation of a back end that its entry names.
    pub fn process_of(&self, id: &BackendId) -> BackendProcess {
        let started_at = self.get(id).and_then(|known| known.entry.started_at);
        BackendProcess { id: id.clone(), started_at }
    }

    /// Records that a process drains, as its answer or another node reported.
    pub fn observe_draining(&mut self, process: &BackendProcess, now: Timestamp) -> DrainingEffect {
        let is_new = self.announcements.record_draining(process, now);
        // A later incarnation may have started since the observed request was sent.
        let known = self.get(&process.id).filter(|known| known.entry.started_at <= process.started_at);
        match known.map(|known| known.state) {
            Some(BackendState::Ready) => {
                self.set_state(&process.id, BackendState::Draining { since: now });
                DrainingEffect::Leaves
            }
            Some(BackendState::Suspect { .. }) => {
                self.drop(&process.id);
                DrainingEffect::Dropped
            }
            Some(BackendState::Replaced) if is_new => DrainingEffect::Leaves,
            Some(BackendState::Draining { .. } | BackendState::Leaving | BackendState::Replaced) | None => {
                DrainingEffect::Known
            }
        }
    }

    /// The state of a back end with this entry, given only its announcements.
    pub(super) fn state_with(&self, entry: &BackendEntry) -> BackendState {
        match self.announcements.draining_since(entry) {
            _ if entry.leaving => BackendState::Leaving,
            Some(since) => BackendState::Draining { since },
            None => BackendState::Ready,
        }
    }

    /// Whether a back end is leaving, according to itself or the registry. Known also after its entry is
    /// gone.
    pub fn is_leaving(&self, id: &BackendId) -> bool {
        match self.get(id) {
            Some(known) => known.state.is_leaving(),
            None => self.announcements.any_draining(id),
        }
    }

    /// Whether a back end may be sent a request now. A draining one may for `draining_timeout` after it was
    /// first observed to drain.
    pub fn takes_requests(&self, backend: &Backend, draining_timeout: Duration, now: Timestamp) -> bool {
        let is_open = match backend.state {
            BackendState::Ready | BackendState::Suspect { .. } => true,
            BackendState::Draining { since } => now.saturating_since(since) < draining_timeout,
            BackendState::Leaving | BackendState::Replaced => false,
        };
        is_open
            && self.announcements.backed_off_until(&backend.entry, now).is_none()
            && self.announcements.has_permit(&backend.entry, now)
    }
}
