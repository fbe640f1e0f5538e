//! Configuration changes requested by operators: written to the store, then confirmed in every region.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRequest, Configuration, StoredDocument},
    identity::{NodeId, RegionId, Revision},
    peer::configuration::{ConfigurationAnswer, ConfigurationRequest, RegionStatus},
    time::Timestamp,
};

use super::{
    PeerAction, PeerRequest, Peers, Purpose, STORE_TIMEOUT, StoreReply, StoreRequest,
    checks::REGION_CHECK_TIMEOUT,
};
use crate::{
    configuration::{
        change::{ChangeEvent, ChangeStep, ConfigurationChange, StoreFailure, StoreOutcome},
        confirmation::{is_accepted, is_in_force, unresponsive_region},
    },
    membership::CallId,
};

/// Time limit for the store phase of a change.
const STORE_DEADLINE: Duration = Duration::from_secs(6);

/// Time limit for the confirmation phase of a change.
const CONFIRMATION_DEADLINE: Duration = Duration::from_secs(8);

/// Delay before the store is read again after a failure.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Interval between two checks of the confirmations.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Age of a region's summary beyond which changes are refused, as the region could not confirm them.
const MAX_REGION_AGE_MS: u32 = 30_000;

/// Maximum number of remembered refused changes.
const MAX_REFUSED_CHANGES: usize = 64;

/// A change that this node refused.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedChange {
    pub request: ChangeRequest,
    pub at: Timestamp,
    /// The revision in force at that time.
    pub revision: Revision,
    pub reason: String,
}

/// Running and refused changes.
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
    /// Being written to the store.
    Store { change: Box<ConfigurationChange>, read_due: bool },
    /// Stored; waits for the confirmation of all regions.
    Confirm { revision: Revision, check: u64, regions: BTreeMap<RegionId, RegionState> },
}

#[derive(Debug, Default)]
struct RegionState {
    pending: bool,
    status: Option<RegionStatus>,
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
    /// Starts a change, if all regions can confirm it.
    pub(super) fn begin_change(&mut self, call: CallId, request: ChangeRequest, now: Timestamp) {
        self.changes.next += 1;
        let id = self.changes.next;
        let change = ConfigurationChange::new(request.clone(), self.replica.revision(), now);
        let refusal_reason = self.refusal_reason(now).filter(|_| !request.dry_run);
        let phase = Phase::Store { change: Box::new(change), read_due: false };
        let deadline = now + STORE_DEADLINE;
        let task = Task { call, request, began: now, phase, next_at: deadline, deadline };
        self.changes.running.insert(id, task);
        match refusal_reason {
            Some(reason) => self.refuse(id, self.replica.revision(), reason, now),
            None => self.call_store(StoreRequest::Read, STORE_TIMEOUT, Purpose::Change(id)),
        }
    }

    /// Returns why a change made now could not be accepted.
    fn refusal_reason(&self, now: Timestamp) -> Option<String> {
        if self.membership.is_superseded() {
            return Some("this node was replaced; ask another node".to_owned());
        }
        let regions = self.membership.other_regions(now);
        let region = unresponsive_region(&regions, MAX_REGION_AGE_MS)?;
        Some(format!(
            "region {region} was not heard of for 30 s and could not confirm the change; \
             try again when it is back, or take its machines off the machine list"
        ))
    }

    pub(super) fn handle_change_store_reply(
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

    /// Maps a failed call to the step that the change waits for.
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
                task.next_at = now + READ_RETRY_DELAY;
            }
            ChangeStep::Put { expected, configuration } => {
                let request = StoreRequest::Put { expected, configuration };
                self.call_store(request, STORE_TIMEOUT, Purpose::Change(id));
            }
            ChangeStep::End(outcome) => self.end_store_phase(id, outcome, now),
        }
    }

    fn end_store_phase(&mut self, id: u64, outcome: StoreOutcome, now: Timestamp) {
        match outcome {
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
            let action = self.replica.install_stored(revision, *configuration);
            self.execute(action);
        }
        let check = self.checks.begin(revision, None, now);
        let others = self.membership.other_regions(now).into_iter();
        let regions = others.map(|summary| (summary.region, RegionState::default())).collect();
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        task.phase = Phase::Confirm { revision, check, regions };
        task.next_at = now;
        task.deadline = now + CONFIRMATION_DEADLINE;
    }

    pub(super) fn handle_region_answer(
        &mut self,
        id: u64,
        region: &RegionId,
        answer: Option<&ConfigurationAnswer>,
    ) {
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        let Phase::Confirm { regions, .. } = &mut task.phase else { return };
        let Some(state) = regions.get_mut(region) else { return };
        state.pending = false;
        if let Some(ConfigurationAnswer::RegionStatus(status)) = answer {
            state.status = Some(status.clone());
        }
    }

    /// Runs the steps that are due.
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
                task.next_at = now + CONFIRMATION_CHECK_INTERVAL;
                self.check_confirmations(id, is_over, now);
                self.request_confirmations(id, now);
            }
        }
    }

    fn check_confirmations(&mut self, id: u64, is_over: bool, now: Timestamp) {
        let Some(task) = self.changes.running.get(&id) else { return };
        let Phase::Confirm { revision, check, regions } = &task.phase else { return };
        let (revision, check) = (*revision, *check);
        let own = self.check_status(check);
        let statuses: Vec<Option<&RegionStatus>> = std::iter::once(own.as_ref())
            .chain(regions.values().map(|state| state.status.as_ref()))
            .collect();
        let after_ms = u64::try_from(now.saturating_since(task.began).as_millis()).unwrap_or(u64::MAX);
        let outcome = if statuses.iter().all(|status| status.is_some_and(is_in_force)) {
            Some(ChangeOutcome::InForce { revision, after_ms })
        } else if is_over && statuses.iter().all(|status| status.is_some_and(is_accepted)) {
            let unconfirmed: Vec<NodeId> =
                statuses.iter().flatten().flat_map(|status| status.unconfirmed.clone()).collect();
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

    /// Requests confirmation from a representative of each region that has not confirmed.
    fn request_confirmations(&mut self, id: u64, now: Timestamp) {
        let Some(task) = self.changes.running.get_mut(&id) else { return };
        let Phase::Confirm { revision, regions, .. } = &mut task.phase else { return };
        let revision = *revision;
        let mut open = Vec::new();
        for (region, state) in regions {
            if !state.pending && !state.status.as_ref().is_some_and(is_in_force) {
                state.pending = true;
                open.push(region.clone());
            }
        }
        for region in open {
            self.request_confirmation(id, revision, region, now);
        }
    }

    fn request_confirmation(&mut self, id: u64, revision: Revision, region: RegionId, now: Timestamp) {
        let Some(representative) = self.membership.representative_of(&region, now) else {
            self.handle_region_answer(id, &region, None);
            return;
        };
        let request = ConfigurationRequest::CheckRegion { revision, requester: self.own_contact() };
        let purpose = Purpose::CheckRegion { change: id, region };
        self.call(representative.address, PeerRequest::Configuration(request), REGION_CHECK_TIMEOUT, purpose);
    }

    fn end(&mut self, id: u64, outcome: ChangeOutcome) {
        if let Some(task) = self.changes.running.remove(&id) {
            self.actions.push(PeerAction::ChangeEnded { call: task.call, outcome });
        }
    }

    fn end_unknown(&mut self, id: u64) {
        let Some(task) = self.changes.running.get(&id) else { return };
        let status_query = format!("show change {}", task.request.id);
        self.end(id, ChangeOutcome::Unknown { status_query });
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
            if self.changes.refused.len() > MAX_REFUSED_CHANGES {
                self.changes.refused.pop_front();
            }
        }
        self.end(id, ChangeOutcome::Refused { revision, reason });
    }
}
