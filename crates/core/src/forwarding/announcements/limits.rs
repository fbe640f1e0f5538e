//! Rate limits that back ends have advertised: merges them with those of other nodes, and admits requests by
//! them.

use std::time::Duration;

use paddlemount_protocol::{
    fleet::{BackendProcess, LimitGossip, LimitGrant},
    identity::NodeId,
    time::Timestamp,
};

use super::{
    Announcements,
    rate_limit::{Advertised, LimitChange, MAX_INITIAL_PAUSE, RateLimit, TreePosition},
};
use crate::forwarding::backends::{Backend, BackendEntry, BackendId, Backends};

/// Maximum number of limits in one message, about 80 bytes each. Without a grant, a node keeps to its even
/// share of a limit.
const MAX_ENTRIES: usize = 128;
/// How long a grant is valid: several report intervals, as some reports may be lost.
const GRANT_LEASE: Duration = Duration::from_millis(1_500);

/// How long the limit of a back end delays a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// There is no limit, or this node may send a request now.
    None,
    For(Duration),
    /// This node has no share of the limit.
    NoShare,
}

/// When a service whose back ends are all limited or backed off accepts the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Opening {
    /// When the first back end accepts one.
    pub at: Timestamp,
    /// The requests per second that this node may send to the limited back ends; none where no back end is
    /// limited.
    pub per_second: Option<f64>,
}

impl Announcements {
    /// Records the limit that a process has advertised, or that it has dropped its limit. All nodes together
    /// recently sent it `sent_per_second` requests. Returns a change to report.
    pub fn observe_limit(
        &mut self,
        process: &BackendProcess,
        advertised: Advertised,
        sent_per_second: f64,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let is_known = self.by_process.get(process).is_some_and(|known| known.limit.is_some());
        if advertised.per_second.is_none() && !is_known {
            return None;
        }
        let announced = self.of(process, now);
        let change = match &mut announced.limit {
            Some(limit) => limit.update(advertised)?,
            None => LimitChange::Began(advertised.per_second?),
        };
        let limit = announced.limit.get_or_insert_with(|| RateLimit::new(advertised, now));
        if let LimitChange::Began(_) = change {
            limit.begin(sent_per_second, now);
        }
        self.divide_limit(process, now);
        Some(change)
    }

    /// Records that a process has sent something.
    pub fn record_heard(&mut self, process: &BackendProcess) {
        if self.limited.is_empty() {
            return;
        }
        if let Some(limit) = self.limit_of(process) {
            limit.record_heard();
        }
    }

    /// Records that a request with a permit of this process's limit has arrived by now, or is lost.
    pub fn record_arrived(&mut self, process: &BackendProcess, now: Timestamp) {
        if let Some(limit) = self.limit_of(process) {
            limit.record_arrived(now);
        }
    }

    /// Takes back the permit of a request of which no byte was sent.
    pub fn release_permit(&mut self, process: &BackendProcess) {
        if let Some(limit) = self.limit_of(process) {
            limit.release();
        }
    }

    fn limit_of(&mut self, process: &BackendProcess) -> Option<&mut RateLimit> {
        self.by_process.get_mut(process)?.limit.as_mut()
    }

    /// Merges a limit from a message that another node wrote at `written_at` or shortly after.
    fn merge_limit(
        &mut self,
        gossip: &LimitGossip,
        advertised: Advertised,
        written_at: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let change = self.observe_limit(&gossip.process, advertised, 0.0, now);
        let pause = MAX_INITIAL_PAUSE.min(Duration::from_millis(gossip.back_off_ms));
        if let Some(limit) = self.limit_of(&gossip.process).filter(|_| !pause.is_zero()) {
            limit.pause_until(written_at + pause);
        }
        change
    }

    fn divide_limit(&mut self, process: &BackendProcess, now: Timestamp) {
        let Self { by_process, position, .. } = self;
        if let Some(limit) = by_process.get_mut(process).and_then(|known| known.limit.as_mut()) {
            limit.divide(process, position, false, now);
        }
    }

    /// Divides all limits again for this node's position in the tree. To be called several times per second.
    pub fn divide_limits(&mut self, mut position: TreePosition, now: Timestamp) {
        let earlier = &self.position.members;
        position.members = position.members.into_iter().map(|member| member.settled(earlier)).collect();
        let members_changed = position.members != self.position.members;
        for (process, announced) in &mut self.by_process {
            if let Some(limit) = announced.limit.as_mut().filter(|limit| limit.per_second().is_some()) {
                limit.divide(process, &position, members_changed, now);
            }
        }
        self.position = position;
        let limits = self.limits().filter(|(_, limit)| limit.per_second().is_some());
        self.limited = limits.map(|(process, _)| process.clone()).collect();
    }

    /// Limited back ends whose limit no answer has confirmed recently and to which this node may send a
    /// request now. The answer shows whether the limit still holds; without such a request, a back end that
    /// is never the best choice would stay limited.
    pub fn limits_to_probe(&self, now: Timestamp) -> impl Iterator<Item = &BackendId> {
        self.limited.iter().filter_map(move |process| {
            let limit = self.by_process.get(process)?.limit.as_ref()?;
            limit.needs_probe(now).then_some(&process.id)
        })
    }

    /// Applies the parent's answer to a report that was sent at `sent_at`. Returns the limits that changed.
    pub fn apply_limit_grants(
        &mut self,
        grants: &[LimitGrant],
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Vec<(BackendProcess, LimitChange)> {
        for limit in self.by_process.values_mut().filter_map(|known| known.limit.as_mut()) {
            limit.forget_parent_knowledge();
        }
        let mut changes = Vec::new();
        for grant in grants.iter().take(MAX_ENTRIES) {
            let process = &grant.limit.process;
            let Some(advertised) = Advertised::from_gossip(&grant.limit, sent_at) else { continue };
            let change = self.merge_limit(&grant.limit, advertised, sent_at, now);
            changes.extend(change.map(|change| (process.clone(), change)));
            if let Some(limit) = self.limit_of(process) {
                limit.apply_grant(advertised, grant, sent_at + GRANT_LEASE);
                self.divide_limit(process, now);
            }
        }
        changes
    }

    /// Merges the limits that a child has reported. Returns the limits that changed.
    pub fn merge_limit_gossip(
        &mut self,
        gossip: &[LimitGossip],
        now: Timestamp,
    ) -> Vec<(BackendProcess, LimitChange)> {
        let advertised = gossip
            .iter()
            .take(MAX_ENTRIES)
            .filter_map(|limit| Some((limit, Advertised::from_gossip(limit, now)?)));
        let changes = advertised.filter_map(|(limit, advertised)| {
            let change = self.merge_limit(limit, advertised, now, now)?;
            Some((limit.process.clone(), change))
        });
        changes.collect()
    }

    /// The limits that the parent has not received yet.
    pub fn pending_limit_gossip(&self, now: Timestamp) -> Vec<LimitGossip> {
        let limits = self.limits().filter_map(|(process, limit)| limit.pending_gossip(process, now));
        newest(limits.map(|gossip| (gossip.age_ms, gossip)))
    }

    /// The limits and grants for a child.
    pub fn limit_grants_for(&self, node: &NodeId, now: Timestamp) -> Vec<LimitGrant> {
        let grants = self.limits().filter_map(|(process, limit)| limit.grant_for(process, node, now));
        newest(grants.map(|grant| (grant.limit.age_ms, grant)))
    }

    /// Whether the limit of a process is in force.
    pub fn is_limited(&self, process: &BackendProcess) -> bool {
        let limit = self.by_process.get(process).and_then(|known| known.limit.as_ref());
        limit.is_some_and(|limit| limit.per_second().is_some())
    }

    /// The number of processes whose limit is in force.
    pub fn count_limited(&self) -> usize {
        self.limits().filter(|(_, limit)| limit.per_second().is_some()).count()
    }

    /// The number of this node's requests to limited processes that may still arrive.
    pub fn count_undated(&self) -> u32 {
        self.limits().map(|(_, limit)| limit.undated()).sum()
    }

    /// The requests per second that this node may send to a process; 0 where there is no limit.
    pub fn own_rate(&self, process: &BackendProcess) -> f64 {
        let limit = self.by_process.get(process).and_then(|known| known.limit.as_ref());
        limit.map_or(0.0, RateLimit::own_per_second)
    }

    fn limits(&self) -> impl Iterator<Item = (&BackendProcess, &RateLimit)> {
        self.by_process.iter().filter_map(|(process, known)| Some((process, known.limit.as_ref()?)))
    }

    /// The process whose limit applies to an entry: the last incarnation that has advertised one.
    fn limited_process(&self, entry: &BackendEntry) -> Option<(&BackendProcess, &RateLimit)> {
        if self.by_process.is_empty() {
            return None;
        }
        let first = BackendProcess { id: entry.id.clone(), started_at: entry.started_at };
        let incarnations = self.incarnations_from(first);
        let limited =
            incarnations.filter_map(|(process, known)| Some((process, known.limit.as_ref()?))).last();
        limited.filter(|(_, limit)| limit.per_second().is_some())
    }

    fn limit_wait(&self, entry: &BackendEntry, now: Timestamp) -> Wait {
        let Some((_, limit)) = self.limited_process(entry) else { return Wait::None };
        match limit.wait(now) {
            Some(Duration::ZERO) => Wait::None,
            Some(wait) => Wait::For(wait),
            None => Wait::NoShare,
        }
    }

    /// Whether the limit of a back end permits this node a request now.
    pub(super) fn has_permit(&self, entry: &BackendEntry, now: Timestamp) -> bool {
        self.limit_wait(entry, now) == Wait::None
    }
}

/// The newest items, by their ages in milliseconds, up to the maximum of one message.
fn newest<T>(items: impl Iterator<Item = (u64, T)>) -> Vec<T> {
    let mut items: Vec<(u64, T)> = items.collect();
    items.sort_by_key(|(age, _)| *age);
    items.into_iter().take(MAX_ENTRIES).map(|(_, item)| item).collect()
}

impl Backends {
    /// Whether the limit of a back end permits this node a request now.
    pub fn has_permit(&self, id: &BackendId, now: Timestamp) -> bool {
        self.get(id).is_none_or(|backend| self.announcements.has_permit(&backend.entry, now))
    }

    /// Takes the permit for a request to a back end. Returns the process whose limit applies, if any.
    pub fn acquire_permit(&mut self, id: &BackendId, now: Timestamp) -> Option<BackendProcess> {
        let entry = &self.get(id)?.entry;
        let process = self.announcements.limited_process(entry)?.0.clone();
        self.announcements.limit_of(&process)?.acquire(now);
        Some(process)
    }

    /// When the first of some back ends accepts requests again; none where one accepts them now, or where
    /// there are no back ends.
    pub fn next_opening<'a>(&self, of: impl Iterator<Item = &'a Backend>, now: Timestamp) -> Option<Opening> {
        let mut openings = Vec::new();
        let mut own_per_second = None;
        for backend in of {
            let back_off_ends = self.announcements.backed_off_until(&backend.entry, now);
            let opens_at = match self.announcements.limit_wait(&backend.entry, now) {
                Wait::None => None,
                Wait::For(wait) => Some(now + wait),
                Wait::NoShare => {
                    let limit = self.announcements.limited_process(&backend.entry);
                    limit.map(|(_, limit)| now + limit.interval())
                }
            };
            if let Some((_, limit)) = self.announcements.limited_process(&backend.entry) {
                *own_per_second.get_or_insert(0.0) += limit.own_per_second();
            }
            // A back end that is open by its announcements may be closed for another reason.
            openings.push(back_off_ends.max(opens_at)?);
        }
        let at = openings.into_iter().min()?;
        Some(Opening { at, per_second: own_per_second })
    }
}
