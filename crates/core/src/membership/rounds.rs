//! Probe rounds: probes one member after the other, directly and then through other members.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    identity::NodeId,
    peer::membership::{MemberRecord, MemberState, MembershipRequest},
    time::Timestamp,
};
use rand::seq::SliceRandom;

use super::{Membership, Purpose};

/// A node's probe rounds.
#[derive(Debug)]
pub(super) struct Rounds {
    pub(super) next_at: Timestamp,
    /// Members still to probe in this pass, in random order.
    order: Vec<NodeId>,
    running: BTreeMap<NodeId, Round>,
}

#[derive(Debug)]
struct Round {
    /// Number of pending calls.
    pending: usize,
    /// Whether other members have been asked to probe.
    indirect: bool,
}

impl Rounds {
    pub(super) const fn new(now: Timestamp) -> Self {
        Self { next_at: now, order: Vec::new(), running: BTreeMap::new() }
    }

    /// Cancels all rounds.
    pub(super) fn cancel_all(&mut self) {
        self.running.clear();
    }

    /// Ends the round of a member that answered.
    pub(super) fn reached(&mut self, node: &NodeId) {
        self.running.remove(node);
    }
}

impl Membership {
    /// Probes the next member of this pass.
    pub(super) fn begin_round(&mut self) {
        let Some(target) = self.next_target() else { return };
        self.rounds.running.insert(target.node.clone(), Round { pending: 1, indirect: false });
        let purpose = Purpose::Round(target.node.clone());
        self.probe(&target, purpose, self.settings.timing.probe_timeout);
    }

    /// Returns the next member to probe. Each pass visits every live member once, which bounds the time to
    /// probe all.
    fn next_target(&mut self) -> Option<MemberRecord> {
        if self.rounds.order.is_empty() {
            let own = &self.settings.node;
            let others = self.table.live().filter(|record| record.node != *own);
            self.rounds.order = others.map(|record| record.node.clone()).collect();
            self.rounds.order.shuffle(&mut self.random);
        }
        while let Some(node) = self.rounds.order.pop() {
            let live = self.table.live().find(|record| record.node == node);
            if let Some(record) = live.filter(|_| !self.rounds.running.contains_key(&node)) {
                return Some(record.clone());
            }
        }
        None
    }

    /// Handles the end of a round's call. If all calls of the round failed, the round becomes indirect, or
    /// the member is suspected.
    pub(super) fn round_call_ended(&mut self, node: &NodeId, reached: bool, now: Timestamp) {
        if reached {
            self.rounds.reached(node);
            return;
        }
        let Some(round) = self.rounds.running.get_mut(node) else { return };
        round.pending = round.pending.saturating_sub(1);
        if round.pending > 0 {
            return;
        }
        if round.indirect {
            self.rounds.reached(node);
            self.suspect(node, now);
        } else {
            self.probe_through_others(node);
        }
    }

    /// Probes again, directly and through other members, so that a lost message raises no suspicion.
    fn probe_through_others(&mut self, node: &NodeId) {
        let Some(target) = self.table.get(node).cloned() else { return };
        let timing = self.settings.timing;
        let helpers = self.table.pick_alive(timing.indirect_probes, &[node], &mut self.random);
        let round = Round { pending: helpers.len() + 1, indirect: true };
        self.rounds.running.insert(node.clone(), round);
        self.probe(&target, Purpose::Round(node.clone()), timing.probe_timeout);
        for helper in helpers {
            let request = MembershipRequest::IndirectProbe { target: target.clone() };
            self.call(helper.address, request, Purpose::Round(node.clone()), timing.probe_timeout * 2);
        }
    }

    fn suspect(&mut self, node: &NodeId, now: Timestamp) {
        let Some(record) = self.table.get(node) else { return };
        if record.state != MemberState::Alive {
            return;
        }
        let suspected = MemberRecord { state: MemberState::Suspect, ..record.clone() };
        self.merge_record(&suspected, now);
    }
}
