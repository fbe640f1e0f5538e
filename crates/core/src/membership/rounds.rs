//! Probe rounds: one member after the other, directly, then again and through others.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    identity::NodeId,
    peer::membership::{MemberRecord, MemberState, MembershipRequest},
    time::Timestamp,
};
use rand::seq::SliceRandom;

use super::{Membership, Purpose};

/// The running probe rounds of a node.
#[derive(Debug)]
pub(super) struct Rounds {
    /// When the next round begins.
    pub(super) next_at: Timestamp,
    /// Members that this pass has still to probe, in a random order.
    order: Vec<NodeId>,
    running: BTreeMap<NodeId, Round>,
}

#[derive(Debug)]
struct Round {
    /// Calls that have not ended.
    pending: usize,
    /// Whether others have been asked.
    indirect: bool,
}

impl Rounds {
    pub(super) const fn new(now: Timestamp) -> Self {
        Self { next_at: now, order: Vec::new(), running: BTreeMap::new() }
    }

    /// Ends all rounds without a result.
    pub(super) fn void(&mut self) {
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

    /// Each pass visits every living member once, so that the time to probe all is bounded.
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

    /// A call of a round ended; the last one without success makes it indirect, or the member suspected.
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

    /// Tries once more directly and through others, so that a lost message raises no suspicion.
    fn probe_through_others(&mut self, node: &NodeId) {
        let Some(target) = self.table.get(node).cloned() else { return };
        let timing = self.settings.timing;
        let helpers = self.table.pick_alive(timing.indirect_probes, &[node], &mut self.random);
        let round = Round { pending: helpers.len() + 1, indirect: true };
        self.rounds.running.insert(node.clone(), round);
        self.probe(&target, Purpose::Round(node.clone()), timing.probe_timeout);
        for helper in helpers {
            let request = MembershipRequest::ProbeFor { target: target.clone() };
            self.call(helper.address, request, Purpose::Round(node.clone()), timing.probe_timeout * 2);
        }
    }

    fn suspect(&mut self, node: &NodeId, now: Timestamp) {
        let Some(record) = self.table.get(node) else { return };
        if record.state != MemberState::Alive {
            return;
        }
        let suspected = MemberRecord { state: MemberState::Suspect, ..record.clone() };
        self.learn(&suspected, now);
    }
}
