//! Checks whether the members of this region apply a revision.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{NodeId, Revision},
    peer::configuration::{ConfigurationAnswer, ConfigurationRequest, RegionStatus},
    time::Timestamp,
};

use super::{PeerAction, PeerAnswer, PeerRequest, Peers, Purpose};
use crate::{
    configuration::confirmation::{RegionConfirmation, is_in_force},
    membership::CallId,
};

/// Interval between two rounds of a check.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of one request to a member.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit and timeout of a region check requested by a peer.
pub(super) const REGION_CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Running checks.
#[derive(Debug, Default)]
pub(super) struct Checks {
    running: BTreeMap<u64, Check>,
    next: u64,
}

#[derive(Debug)]
struct Check {
    confirmation: RegionConfirmation,
    /// The peer's call that waits for the result; `None` if a change of this node does.
    answer_to: Option<CallId>,
    next_at: Timestamp,
    deadline: Timestamp,
}

impl Checks {
    /// Starts a check of `revision`.
    pub(super) fn begin(&mut self, revision: Revision, answer_to: Option<CallId>, now: Timestamp) -> u64 {
        self.next += 1;
        let confirmation = RegionConfirmation::new(revision);
        let deadline = now + REGION_CHECK_TIMEOUT;
        self.running.insert(self.next, Check { confirmation, answer_to, next_at: now, deadline });
        self.next
    }

    /// Ends a check.
    pub(super) fn end(&mut self, check: u64) {
        self.running.remove(&check);
    }

    pub(super) fn handle_answer(&mut self, check: u64, node: NodeId, answer: Option<&ConfigurationAnswer>) {
        let Some(check) = self.running.get_mut(&check) else { return };
        match answer {
            Some(ConfigurationAnswer::Applied { revision }) => {
                check.confirmation.record_answer(node, *revision)
            }
            _ => check.confirmation.record_failure(&node),
        }
    }

    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.running.values().map(|check| check.next_at).min()
    }
}

impl Peers {
    /// Returns how many members of this region apply the revision of `check`.
    pub(super) fn check_status(&self, check: u64) -> Option<RegionStatus> {
        let check = self.checks.running.get(&check)?;
        Some(check.confirmation.status(self.members(), self.membership.quorum_base()))
    }

    /// Runs the rounds that are due, and answers peers whose checks are settled.
    pub(super) fn run_checks(&mut self, now: Timestamp) {
        let due: Vec<u64> =
            self.checks.running.iter().filter(|(_, check)| check.next_at <= now).map(|(id, _)| *id).collect();
        for id in due {
            self.run_round(id, now);
        }
        let waiting: Vec<u64> = self
            .checks
            .running
            .iter()
            .filter(|(_, check)| check.answer_to.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.answer_if_settled(id, now);
        }
    }

    fn run_round(&mut self, id: u64, now: Timestamp) {
        let Some(check) = self.checks.running.get_mut(&id) else { return };
        check.next_at = now + ROUND_INTERVAL;
        let table = self.membership.table();
        check.confirmation.record_answer(table.own().node.clone(), self.replica.revision());
        let revision = check.confirmation.revision();
        let members = check.confirmation.to_ask(table);
        for (node, address) in members {
            let request = ConfigurationRequest::Check { revision, requester: self.own_contact() };
            let purpose = Purpose::Check { check: id, node };
            self.call(address, PeerRequest::Configuration(request), CHECK_TIMEOUT, purpose);
        }
    }

    fn answer_if_settled(&mut self, id: u64, now: Timestamp) {
        let Some(status) = self.check_status(id) else { return };
        let Some(check) = self.checks.running.get(&id) else { return };
        let is_over = check.deadline <= now + ROUND_INTERVAL;
        let Some(call) = check.answer_to.filter(|_| is_over || is_in_force(&status)) else { return };
        self.checks.end(id);
        let answer = PeerAnswer::Configuration(ConfigurationAnswer::RegionStatus(status));
        self.actions.push(PeerAction::Answer { call, answer });
    }
}
