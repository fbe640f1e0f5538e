//! What back ends announce of themselves in their answers: that they drain, for how long they want no requests, and how many
//! requests a second they take.
//!
//! Nobody knows better, and the registry may be away, late or out of date. So an announcement holds whatever entries say, until a
//! new start of the process or the end that the table gives.
//!
//! | announced | other nodes are told | holds for a node that was told | ends |
//! |---|---|---|---|
//! | it leaves | yes: it leaves for all | from then on | never: one that leaves does not stay |
//! | it wants no requests | no: it speaks to the node that it answers | until the latest of the ends that it has named | then; 3 s after the news of a start |
//! | a rate limit | yes: it is one number for all nodes together | by its part, which the node above grants ([`rate_limit`]) | with an answer without it, to a request that was sent after it was last heard |
//!
//! An announcement outlives the entry of its process: entries lapse while the registry is away, and return.
//!
//! | module | job |
//! |---|---|
//! | [`rate_limit`] | the limit of one process, and this node's part of it |
//! | `division` | how a limit is divided over the tree of nodes |
//! | [`limits`] | limits as they are heard, told and kept to |

mod division;
pub mod limits;
pub mod rate_limit;

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::BackendProcess, time::Timestamp};

pub use division::Member;

use self::rate_limit::{RateLimit, TreePosition};
use super::backends::{Backend, BackendEntry, BackendId, BackendState, Backends};
use crate::rest::MAX_BACK_OFF;

/// How long it is remembered that a process leaves, beyond its last word. Its entry is gone by then.
const REMEMBERED: Duration = Duration::from_secs(600);
/// How long after its start the registry may tell of a process. What was heard so lately of the start before may be the word of
/// the new one.
const LATE_NEWS: Duration = Duration::from_secs(3);
/// Processes whose announcements are remembered, about 100 bytes each. More are heard of only where a whole pool of the
/// largest size announces at once; the ones heard of first are forgotten.
const MOST_REMEMBERED: usize = 16_384;
/// How long other nodes are told that a process leaves: ten reports, of which some may be lost.
const GOSSIP_PERIOD: Duration = Duration::from_secs(2);
/// Processes that other nodes are told of in one message, some 30 bytes each: 4 KB.
const MOST_TOLD: usize = 128;

/// What one process has announced.
#[derive(Clone, Debug, PartialEq)]
struct Announced {
    /// When it was first heard that it leaves.
    leaving_since: Option<Timestamp>,
    /// The end of the time in which it wants no requests from this node.
    backed_off_until: Option<Timestamp>,
    /// When it last asked for that.
    back_off_requested_at: Timestamp,
    /// The requests that it takes from all nodes together, where it has ever named a limit.
    limit: Option<RateLimit>,
    /// When anything was last heard.
    heard_at: Timestamp,
}

impl Announced {
    fn holds(&self, now: Timestamp) -> bool {
        let is_remembered = now.saturating_since(self.heard_at) < REMEMBERED;
        let lasts = self.leaving_since.is_some() || self.limit.is_some();
        (lasts && is_remembered) || self.backed_off_until.is_some_and(|until| now < until)
    }
}

/// A time without requests that a back end has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackOff {
    /// Its end.
    pub until: Timestamp,
    /// Whether the back end had not asked for one before that is still going on.
    pub begins: bool,
    /// Whether it asked for more than it is granted.
    pub is_cut: bool,
}

/// What followed the news that a process leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It was known, or the process is none that can be known.
    Known,
    /// It gets no work any more, unless nobody else is left.
    Leaves,
    /// The registry held no entry of it any more: it is dropped.
    Dropped,
}

/// Announcements of back ends.
#[derive(Debug, Default)]
pub struct Announcements {
    /// By process, in the order of its starts.
    by_process: BTreeMap<BackendProcess, Announced>,
    /// This node's place among those between whom limits are divided.
    place: TreePosition,
    /// Processes that were limited when limits were last divided.
    limited: Vec<BackendProcess>,
}

impl Announcements {
    /// What a process has announced, to be added to.
    fn of(&mut self, process: &BackendProcess, now: Timestamp) -> &mut Announced {
        if self.by_process.len() >= MOST_REMEMBERED && !self.by_process.contains_key(process) {
            let first = self.by_process.iter().min_by_key(|(_, announced)| announced.heard_at);
            let first = first.map(|(process, _)| process.clone());
            first.and_then(|process| self.by_process.remove(&process));
        }
        let fresh = Announced {
            leaving_since: None,
            backed_off_until: None,
            back_off_requested_at: now,
            limit: None,
            heard_at: now,
        };
        let known = self.by_process.entry(process.clone()).or_insert(fresh);
        known.heard_at = now;
        known
    }

    /// A process leaves. Whether that is news.
    fn record_leaving(&mut self, process: &BackendProcess, now: Timestamp) -> bool {
        let known = self.of(process, now);
        let is_news = known.leaving_since.is_none();
        known.leaving_since.get_or_insert(now);
        is_news
    }

    /// A process wants no requests from this node for `asked`, from now on. A time that ends sooner than one that it has asked
    /// for before shortens nothing: it may have been asked for by an earlier request.
    pub fn observe_back_off(
        &mut self,
        process: &BackendProcess,
        asked: Duration,
        now: Timestamp,
    ) -> Option<BackOff> {
        if asked.is_zero() {
            return None;
        }
        let known = self.of(process, now);
        let before = known.backed_off_until.filter(|until| now < *until);
        let until = before.max(Some(now + asked.min(MAX_BACK_OFF)))?;
        known.backed_off_until = Some(until);
        known.back_off_requested_at = now;
        Some(BackOff { until, begins: before.is_none(), is_cut: asked > MAX_BACK_OFF })
    }

    /// When it was first heard that the process of an entry leaves.
    pub(super) fn leaving_since(&self, entry: &BackendEntry) -> Option<Timestamp> {
        self.of_entry(entry).filter_map(|known| known.leaving_since).min()
    }

    /// What the process of an entry has announced. An entry of an earlier start, as a copy of the registry may show, is late: what
    /// a later process has said holds for it too.
    fn of_entry(&self, entry: &BackendEntry) -> impl Iterator<Item = &Announced> {
        let first = BackendProcess { id: entry.id.clone(), born: entry.born };
        self.of_starts_from(first).map(|(_, known)| known)
    }

    fn of_starts_from(&self, first: BackendProcess) -> impl Iterator<Item = (&BackendProcess, &Announced)> {
        let id = first.id.clone();
        self.by_process.range(first..).take_while(move |(process, _)| process.id == id)
    }

    /// Whether any process of a back end leaves.
    fn any_leaving(&self, id: &BackendId) -> bool {
        let first = BackendProcess { id: id.clone(), born: None };
        self.of_starts_from(first).any(|(_, known)| known.leaving_since.is_some())
    }

    /// Until when the process of an entry wants no requests from this node, where it does not want any now.
    pub fn backed_off_until(&self, entry: &BackendEntry, now: Timestamp) -> Option<Timestamp> {
        if self.by_process.is_empty() {
            return None;
        }
        let any_start = BackendProcess { id: entry.id.clone(), born: None };
        let ends = self.of_starts_from(any_start).filter_map(|(process, known)| {
            let until = known.backed_off_until?;
            let is_earlier = process.born < entry.born;
            Some(if is_earlier { until.min(known.back_off_requested_at + LATE_NEWS) } else { until })
        });
        ends.max().filter(|until| now < *until)
    }

    /// Processes that leave of which other nodes are to be told, those heard of last first.
    pub fn pending_draining_gossip(&self, now: Timestamp) -> Vec<BackendProcess> {
        let mut told: Vec<(Timestamp, BackendProcess)> = self
            .by_process
            .iter()
            .filter_map(|(process, known)| {
                let since = known.leaving_since.filter(|since| is_gossiped(*since, now))?;
                Some((since, process.clone()))
            })
            .collect();
        told.sort_unstable_by_key(|(since, _)| Reverse(*since));
        told.into_iter().take(MOST_TOLD).map(|(_, process)| process).collect()
    }

    /// Forgets what no longer holds. Gives the back ends whose rest is over.
    pub fn expire(&mut self, now: Timestamp) -> Vec<BackendId> {
        let mut rested = Vec::new();
        for (process, known) in &mut self.by_process {
            if known.backed_off_until.take_if(|until| *until <= now).is_some() {
                rested.push(process.id.clone());
            }
        }
        self.by_process.retain(|_, known| known.holds(now));
        rested
    }

    /// Whether there is anything of which other nodes are to be told.
    pub fn has_pending_gossip(&self, now: Timestamp) -> bool {
        self.by_process.values().any(|known| known.leaving_since.is_some_and(|since| is_gossiped(since, now)))
    }

    /// How many back ends want no requests now.
    pub fn count_backed_off(&self, now: Timestamp) -> usize {
        self.by_process
            .values()
            .filter(|known| known.backed_off_until.is_some_and(|until| now < until))
            .count()
    }
}

/// Whether other nodes are still told of a process that was first heard to leave at `since`.
fn is_gossiped(since: Timestamp, now: Timestamp) -> bool {
    now.saturating_since(since) < GOSSIP_PERIOD
}

impl Backends {
    /// The process of a back end, as far as it is known.
    pub fn process_of(&self, id: &BackendId) -> BackendProcess {
        let born = self.get(id).and_then(|known| known.entry.born);
        BackendProcess { id: id.clone(), born }
    }

    /// An answer of a process, or another node, told that it leaves.
    pub fn observe_draining(&mut self, process: &BackendProcess, now: Timestamp) -> Departure {
        let is_news = self.announcements.record_leaving(process, now);
        // A later process of this identity may have started since it was asked.
        let known = self.get(&process.id).filter(|known| known.entry.born <= process.born);
        match known.map(|known| known.state) {
            Some(BackendState::Ready) => {
                self.set_state(&process.id, BackendState::Departing { since: now });
                Departure::Leaves
            }
            Some(BackendState::Suspect { .. }) => {
                self.drop(&process.id);
                Departure::Dropped
            }
            Some(BackendState::Replaced) if is_news => Departure::Leaves,
            Some(BackendState::Departing { .. } | BackendState::Leaving | BackendState::Replaced) | None => {
                Departure::Known
            }
        }
    }

    /// How a back end stands with this entry, where nothing is known of it but what it has announced.
    pub(super) fn state_with(&self, entry: &BackendEntry) -> BackendState {
        match self.announcements.leaving_since(entry) {
            _ if entry.leaving => BackendState::Leaving,
            Some(since) => BackendState::Departing { since },
            None => BackendState::Ready,
        }
    }

    /// Whether a back end leaves, by its own word or the registry's; also where its entry has gone since.
    pub fn is_leaving(&self, id: &BackendId) -> bool {
        match self.get(id) {
            Some(known) => known.state.is_leaving(),
            None => self.announcements.any_leaving(id),
        }
    }

    /// Whether a back end may be sent a request now, where one that departs may for `parting` after that was first heard.
    pub fn takes_requests(&self, backend: &Backend, parting: Duration, now: Timestamp) -> bool {
        let stays = match backend.state {
            BackendState::Ready | BackendState::Suspect { .. } => true,
            BackendState::Departing { since } => now.saturating_since(since) < parting,
            BackendState::Leaving | BackendState::Replaced => false,
        };
        stays
            && self.announcements.backed_off_until(&backend.entry, now).is_none()
            && self.announcements.has_permit(&backend.entry, now)
    }
}
