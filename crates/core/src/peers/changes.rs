//! Changes that operators ask this node for: into the store, then confirmed in every region.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest, Configuration, StoredDocument},
    identity::{NodeId, RegionId, Revision},
    peer::configuration::{ConfigurationAnswer, ConfigurationRequest, RegionHolds},
    time::Timestamp,
};

use super::{
    PeerAction, PeerRequest, Peers, Purpose, STORE_TIMEOUT, StoreReply, StoreRequest, checks::REGION_CHECK,
};
use crate::{
    configuration::{
        change::{ChangeEvent, ChangeStep, ConfigurationChange, StoreFailure, StoreOutcome},
        confirmation::{is_accepted, is_in_force, unresponsive_region},
    },
    membership::CallId,
};

/// How long the store may take over a change.
const STORE_DEADLINE: Duration = Duration::from_secs(6);

/// How long confirmation may take after the store holds the change.
const CONFIRMATION_DEADLINE: Duration = Duration::from_secs(8);

/// Pause before the store is read again after a failure.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// Time between two looks at the confirmations.
const LOOK: Duration = Duration::from_millis(100);

/// Age of a region's summary beyond which a change is refused, as the region could not confirm it.
const REGION_HEARD_MS: u32 = 30_000;

/// Refused changes that a node remembers.
const REMEMBERED_REFUSALS: usize = 64;

/// A change that this node refused.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedChange {
    /// What was asked.
    pub request: ChangeRequest,
    /// When.
    pub at: Timestamp,
    /// The revision at that time.
    pub revision: Revision,
    /// Why.
    pub reason: String,
}

/// The running changes, and the refused ones.
#[derive(Debug, Default)]
pub(super) struct Changes {
    running: BTreeMap<u64, Task>,
    next: u64,
    refused: VecDeque<RefusedChange>,
}

#[derive(Debug)]
struct Task {
    call: CallId,
    request: ChangeRequest,
    began: Timestamp,
    phase: Phase,
    next_at: Timestamp,
    deadline: Timestamp,
}

#[derive(Debug)]
enum Phase {
    /// On the way into the store.
    Store { change: Box<ConfigurationChange>, read_due: bool },
    /// The store holds it; regions confirm.
    Confirm { revision: Revision, check: u64, regions: BTreeMap<RegionId, RegionState> },
}

#[derive(Debug, Default)]
struct RegionState {
    asked: bool,
    holds: Option<RegionHolds>,
}

impl Changes {
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.running.values().map(|task| task.next_at.min(task.deadline)).min()
    }

    pub(super) fn refused(&self) -> impl Iterator<Item = &RefusedChange> {
        self.refused.iter()
    }
}

impl Peers {
    /// Takes on a change, where it could be confirmed everywhere.
    pub(super) fn begin_change(&mut self, call: CallId, request: ChangeRequest, now: Timestamp) {
        self.changes.next += 1;
        let id = self.changes.next;
        let change = ConfigurationChange::new(request.clone(), self.replica.revision(), now);
        let obstacle = self.obstacle(now).filter(|_| !request.dry_run);
        let phase = Phase::Store { change: Box::new(change), read_due: false };
        let deadline = now + STORE_DEADLINE;
        let task = Task { call, request, began: now, phase, next_at: deadline, deadline };
        self.changes.running.insert(id, task);
        match obstacle {
            Some(reason) => self.refuse(id, self.replica.revision(), reason, now),
            None => self.call_store(StoreRequest::Read, STORE_TIMEOUT, Purpose::Change(id)),
        }
    }

    /// Why a change made now could not be accepted.
    fn obstacle(&self, now: Timestamp) -> Option<String> {
        if self.membership.is_superseded() {
            return Some("this node was replaced; ask another node".to_owned());
        }
        let regions = self.membership.other_regions(now);
        let unheard = unresponsive_region(&regions, REGION_HEARD_MS)?;
        Some(format!(
            "region {unheard} was not heard of for 30 s and could not confirm the change; \
             try again when it is back, or take its machines off the machine list"
        ))
    }

    pub(super) fn change_store_answered(
        &mut self,
        id: u64,
        result: Result<StoreReply, StoreFailure>,
        now: Timestamp,
    ) {
        let event = match result {
            Ok(StoreReply::Document(StoredDocument::Present(read))) => ChangeEvent::Read(Ok(read)),
            Ok(StoreReply::Document(StoredDocument::Unchanged(_))) => {
                ChangeEvent::Read(Err(StoreFailure::Unclear))
            }
            Ok(StoreReply::Put(put)) => ChangeEvent::Put(Ok(put)),
            Err(failure) => self.failed_call(id, failure),
        };
        self.step(id, event, now);
    }

    /// A failed call was the put where the change waits for one; the change itself tells them apart.
    fn failed_call(&self, id: u64, failure: StoreFailure) -> ChangeEvent {
        let is_put = match self.changes.running.get(&id).map(|task| &task.phase) {
            Some(Phase::Store { change, .. }) => change.awaits_put(),
            _ => false,
        };
        if is_put { ChangeEvent::Put(Err(failure)) } else { ChangeEvent::Read(Err(failure)) }
    }

    fn step(&mut self, id: u64, event: ChangeEvent, now: Timestamp) {
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        let Phase::Store { change, read_due } = &mut task.phase else { return };
        match change.step(event) {
            ChangeStep::Read => self.call_store(StoreRequest::Read, STORE_TIMEOUT, Purpose::Change(id)),
            ChangeStep::RetryRead => {
                *read_due = true;
                task.next_at = now + READ_PAUSE;
            }
            ChangeStep::Put { expected, configuration } => {
                let request = StoreRequest::Put { expected, configuration };
                self.call_store(request, STORE_TIMEOUT, Purpose::Change(id));
            }
            ChangeStep::End(ending) => self.end_store_phase(id, ending, now),
        }
    }

    fn end_store_phase(&mut self, id: u64, ending: StoreOutcome, now: Timestamp) {
        match ending {
            StoreOutcome::Stored { revision, configuration } => {
                self.begin_confirmation(id, revision, configuration, now);
            }
            StoreOutcome::WouldApply { revision } => self.end(id, ChangeOutcome::WouldApply { revision }),
            StoreOutcome::Refused { revision, reason } => self.refuse(id, revision, reason, now),
            StoreOutcome::Unknown => self.end_unknown(id),
        }
    }

    fn begin_confirmation(
        &mut self,
        id: u64,
        revision: Revision,
        configuration: Option<Box<Configuration>>,
        now: Timestamp,
    ) {
        if let Some(configuration) = configuration {
            let action = self.replica.stored(revision, *configuration);
            self.carry_out(action);
        }
        let check = self.checks.begin(revision, None, now);
        let others = self.membership.other_regions(now).into_iter();
        let regions = others.map(|summary| (summary.region, RegionState::default())).collect();
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        task.phase = Phase::Confirm { revision, check, regions };
        task.next_at = now;
        task.deadline = now + CONFIRMATION_DEADLINE;
    }

    pub(super) fn region_answered(
        &mut self,
        id: u64,
        region: &RegionId,
        answer: Option<&ConfigurationAnswer>,
    ) {
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        let Phase::Confirm { regions, .. } = &mut task.phase else { return };
        let Some(state) = regions.get_mut(region) else { return };
        state.asked = false;
        if let Some(ConfigurationAnswer::RegionHolds(holds)) = answer {
            state.holds = Some(holds.clone());
        }
    }

    /// Takes the steps that are due.
    pub(super) fn run_changes(&mut self, now: Timestamp) {
        let due: Vec<u64> = self
            .changes
            .running
            .iter()
            .filter(|(_, task)| task.next_at.min(task.deadline) <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.run_change(id, now);
        }
    }

    fn run_change(&mut self, id: u64, now: Timestamp) {
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        let is_over = task.deadline <= now;
        match &mut task.phase {
            Phase::Store { .. } if is_over => self.step(id, ChangeEvent::Deadline, now),
            Phase::Store { read_due, .. } => {
                task.next_at = task.deadline;
                if std::mem::take(read_due) {
                    self.call_store(StoreRequest::Read, STORE_TIMEOUT, Purpose::Change(id));
                }
            }
            Phase::Confirm { .. } => {
                task.next_at = now + LOOK;
                self.look_at_confirmations(id, is_over, now);
                self.ask_regions(id, now);
            }
        }
    }

    fn look_at_confirmations(&mut self, id: u64, is_over: bool, now: Timestamp) {
        let Some(task) = self.changes.running.get(&id) else { return };
        let Phase::Confirm { revision, check, regions } = &task.phase else { return };
        let (revision, check) = (*revision, *check);
        let own = self.check_status(check);
        let holds: Vec<Option<&RegionHolds>> =
            std::iter::once(own.as_ref()).chain(regions.values().map(|state| state.holds.as_ref())).collect();
        let after_ms = u64::try_from(now.saturating_since(task.began).as_millis()).unwrap_or(u64::MAX);
        let outcome = if holds.iter().all(|holds| holds.is_some_and(is_in_force)) {
            Some(ChangeOutcome::InForce { revision, after_ms })
        } else if is_over && holds.iter().all(|holds| holds.is_some_and(is_accepted)) {
            let unconfirmed: Vec<NodeId> =
                holds.iter().flatten().flat_map(|holds| holds.unconfirmed.clone()).collect();
            Some(ChangeOutcome::Accepted { revision, unconfirmed })
        } else {
            None
        };
        if let Some(outcome) = outcome {
            self.checks.end(check);
            self.end(id, outcome);
        } else if is_over {
            self.checks.end(check);
            self.end_unknown(id);
        }
    }

    /// Asks a representative of each region that has not confirmed.
    fn ask_regions(&mut self, id: u64, now: Timestamp) {
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        let Phase::Confirm { revision, regions, .. } = &mut task.phase else { return };
        let revision = *revision;
        let mut open = Vec::new();
        for (region, state) in regions {
            if !state.asked && !state.holds.as_ref().is_some_and(is_in_force) {
                state.asked = true;
                open.push(region.clone());
            }
        }
        for region in open {
            self.ask_region(id, revision, region, now);
        }
    }

    fn ask_region(&mut self, id: u64, revision: Revision, region: RegionId, now: Timestamp) {
        let Some(representative) = self.membership.representative_of(&region, now) else {
            self.region_answered(id, &region, None);
            return;
        };
        let request = ConfigurationRequest::CheckRegion { revision, asker: self.own_contact() };
        let purpose = Purpose::CheckRegion { change: id, region };
        self.call(representative.address, PeerRequest::Configuration(request), REGION_CHECK, purpose);
    }

    fn end(&mut self, id: u64, outcome: ChangeOutcome) {
        if let Some(task) = self.changes.running.remove(&id) {
            self.actions.push(PeerAction::ChangeEnded { call: task.call, outcome });
        }
    }

    fn end_unknown(&mut self, id: u64) {
        let Some(task) = self.changes.running.get(&id) else { return };
        let settle_with = format!("show change {}", task.request.id);
        self.end(id, ChangeOutcome::Unknown { settle_with });
    }

    fn refuse(&mut self, id: u64, revision: Revision, reason: String, now: Timestamp) {
        if let Some(task) = self.changes.running.get(&id) {
            let request = task.request.clone();
            self.changes.refused.push_back(RefusedChange {
                request,
                at: now,
                revision,
                reason: reason.clone(),
            });
            if self.changes.refused.len() > REMEMBERED_REFUSALS {
                self.changes.refused.pop_front();
            }
        }
        self.end(id, ChangeOutcome::Refused { revision, reason });
    }
}
