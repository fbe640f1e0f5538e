//! Composes membership, configuration and configuration changes of one node into one state machine.
//!
//! A driver feeds [`Peers`] with calls, answers and store replies, and executes its actions. Configuration
//! gossip is piggybacked on membership probes, and confirmations of a change are requested from the known
//! members.

mod changes;
mod checks;
mod types;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use paddlemount_protocol::{
    configuration::RevisedConfiguration,
    identity::{NodeId, RegionId, Revision},
    peer::{
        configuration::{ConfigurationAnswer, ConfigurationRequest},
        membership::{MembershipAnswer, MembershipRequest, Representative},
    },
    time::Timestamp,
};

use self::{changes::Changes, checks::Checks};
pub use self::{
    changes::RefusedChange,
    types::{PeerAction, PeerAnswer, PeerEvent, PeerRequest, StoreReply, StoreRequest},
};
use crate::{
    configuration::{
        change::StoreFailure,
        freshness::REQUIRED_SOURCES,
        replica::{Replica, ReplicaAction},
    },
    membership::{
        CallId, MemberTable, Membership, MembershipAction, MembershipEvent, MembershipSettings,
        rendezvous_weight,
    },
};

/// Timeout of a pull of the document.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call to the store, beyond the wait that it requests.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum shift between the store reads of nodes that start together.
const MAX_JITTER_MS: u64 = 800;

/// Time after the start in which a node probes peers for confirmations beyond the usual rounds.
const STARTUP_PERIOD: Duration = Duration::from_secs(6);

/// Interval between these additional probe rounds.
const STARTUP_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Peers probed in such a round: what a restarted node needs, and one that may be down.
const STARTUP_PROBES: usize = REQUIRED_SOURCES + 1;

/// Additional probe rounds continue until the confirmation lasts this much longer: two usual probe intervals,
/// of which one may reach a peer that has just started too.
const MIN_CONFIRMATION_LEFT: Duration = Duration::from_secs(2);

/// The purpose of an outgoing call.
#[derive(Clone, Debug)]
enum Purpose {
    Membership { call: CallId, sent_at: Timestamp },
    Pull(SocketAddr),
    Check { check: u64, node: NodeId },
    CheckRegion { change: u64, region: RegionId },
    Watch,
    Change(u64),
}

/// The state machine of one node among its peers.
pub struct Peers {
    membership: Membership,
    replica: Replica,
    checks: Checks,
    changes: Changes,
    calls: BTreeMap<CallId, Purpose>,
    next_call: u64,
    actions: Vec<PeerAction>,
    started_at: Timestamp,
    next_startup_probe_at: Timestamp,
}

impl Peers {
    /// Creates the state of a node that starts at `now` and knows only its settings.
    pub fn new(settings: MembershipSettings, now: Timestamp) -> Self {
        let jitter_ms = rendezvous_weight("store-jitter", &settings.node) % MAX_JITTER_MS;
        let has_seeds = !settings.seeds.is_empty();
        Self {
            membership: Membership::new(settings, now),
            replica: Replica::new(now, Duration::from_millis(jitter_ms), has_seeds),
            checks: Checks::default(),
            changes: Changes::default(),
            calls: BTreeMap::new(),
            next_call: 0,
            actions: Vec::new(),
            started_at: now,
            next_startup_probe_at: now,
        }
    }

    /// Handles `event` and returns the resulting actions.
    pub fn handle(&mut self, event: PeerEvent<'_>, now: Timestamp) -> Vec<PeerAction> {
        match event {
            PeerEvent::Tick => self.membership_event(MembershipEvent::Tick, now),
            PeerEvent::Request { call, request } => self.serve(call, request, now),
            PeerEvent::Answer { call, answer } => self.handle_answer(call, Some(answer), now),
            PeerEvent::Failed { call } => self.handle_answer(call, None, now),
            PeerEvent::Store { call, result } => self.handle_store_reply(call, result, now),
            PeerEvent::Machines(list) => self.membership_event(MembershipEvent::Machines(list), now),
            PeerEvent::Offer(item) => self.membership_event(MembershipEvent::Offer(item), now),
            PeerEvent::Change { call, request } => self.begin_change(call, *request, now),
            PeerEvent::Stop => self.membership_event(MembershipEvent::Stop, now),
        }
        self.run_timers(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`PeerEvent::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        let own = self.membership.next_wakeup().min(self.replica.next_wakeup());
        let startup_probe =
            self.awaits_confirmation(self.next_startup_probe_at).then_some(self.next_startup_probe_at);
        let tasks = [self.checks.next_wakeup(), self.changes.next_wakeup(), startup_probe];
        tasks.into_iter().flatten().fold(own, Timestamp::min)
    }

    /// Returns the members of this region.
    pub const fn members(&self) -> &MemberTable {
        self.membership.table()
    }

    /// Returns the membership, for queries.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the configuration in force at this node.
    pub const fn configuration(&self) -> Option<&Arc<RevisedConfiguration>> {
        self.replica.current()
    }

    /// Returns the latest time at which this node's revision is known to have been the newest.
    pub fn confirmed_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.replica.confirmed_at(self.members(), self.membership.quorum_base(), now)
    }

    /// Whether this node may accept new work; otherwise requests are refused as not run.
    pub fn may_serve(&self, now: Timestamp) -> bool {
        let base = self.membership.quorum_base();
        self.replica.may_serve(self.members(), base, now) && !self.membership.is_superseded()
    }

    /// Returns the changes that this node refused, the newest last.
    pub fn refused_changes(&self) -> impl Iterator<Item = &RefusedChange> {
        self.changes.refused()
    }

    fn run_timers(&mut self, now: Timestamp) {
        if self.membership.next_wakeup() <= now {
            self.membership_event(MembershipEvent::Tick, now);
        }
        let base = self.membership.quorum_base();
        let action = self.replica.tick(self.membership.table(), base, now);
        self.execute(action);
        self.run_checks(now);
        self.run_changes(now);
        if self.next_startup_probe_at <= now && self.awaits_confirmation(now) {
            self.next_startup_probe_at = now + STARTUP_PROBE_INTERVAL;
            self.membership_event(MembershipEvent::ProbeNow(STARTUP_PROBES), now);
        }
    }

    /// Whether this node started recently and lacks confirmations to accept work and to continue accepting
    /// it. With the usual probe per second it would wait for seconds while the store is down. A peer's
    /// confirmation by an earlier store read may expire before the usual probes have reached a majority.
    fn awaits_confirmation(&self, now: Timestamp) -> bool {
        now.saturating_since(self.started_at) < STARTUP_PERIOD && !self.may_serve(now + MIN_CONFIRMATION_LEFT)
    }

    fn membership_event(&mut self, event: MembershipEvent<'_>, now: Timestamp) {
        for action in self.membership.handle(event, now) {
            self.membership_action(action, now);
        }
    }

    fn membership_action(&mut self, action: MembershipAction, now: Timestamp) {
        let base = self.membership.quorum_base();
        match action {
            MembershipAction::Call { call, address, mut request, timeout } => {
                if let MembershipRequest::Probe { gossip } = &mut request {
                    gossip.configuration = self.replica.gossip(&gossip.sender, false, base, now);
                }
                let purpose = Purpose::Membership { call, sent_at: now };
                self.call(address, PeerRequest::Membership(request), timeout, purpose);
            }
            MembershipAction::Answer { call, mut answer } => {
                if let MembershipAnswer::Alive { gossip } = &mut answer {
                    gossip.configuration = self.replica.gossip(&gossip.sender, true, base, now);
                }
                self.actions.push(PeerAction::Answer { call, answer: PeerAnswer::Membership(answer) });
            }
            MembershipAction::Changed(record) => self.actions.push(PeerAction::MemberChanged(record)),
            MembershipAction::Item { from, item } => self.actions.push(PeerAction::Item { from, item }),
            MembershipAction::Superseded => self.actions.push(PeerAction::Superseded),
        }
    }

    fn serve(&mut self, call: CallId, request: &PeerRequest, now: Timestamp) {
        match request {
            PeerRequest::Membership(request) => {
                if let MembershipRequest::Probe { gossip } = request {
                    self.apply_configuration_gossip(gossip, None, now);
                }
                self.membership_event(MembershipEvent::Request { call, request }, now);
            }
            PeerRequest::Configuration(request) => self.serve_configuration(call, request, now),
        }
    }

    fn serve_configuration(&mut self, call: CallId, request: &ConfigurationRequest, now: Timestamp) {
        let answer = match request {
            ConfigurationRequest::Pull { revision, last_change } => {
                self.replica.answer_pull(*revision, last_change.as_ref())
            }
            ConfigurationRequest::Check { revision, requester } => {
                self.pull_if_behind(*revision, requester);
                ConfigurationAnswer::Applied { revision: self.replica.revision() }
            }
            ConfigurationRequest::CheckRegion { revision, requester } => {
                self.pull_if_behind(*revision, requester);
                self.checks.begin(*revision, Some(call), now);
                return;
            }
        };
        self.actions.push(PeerAction::Answer { call, answer: PeerAnswer::Configuration(answer) });
    }

    fn pull_if_behind(&mut self, revision: Revision, requester: &Representative) {
        if revision > self.replica.revision() {
            let action = self.replica.pull(requester.address);
            self.execute(action);
        }
    }

    /// Handles the answer to a call, or its failure.
    fn handle_answer(&mut self, call: CallId, answer: Option<&PeerAnswer>, now: Timestamp) {
        match self.calls.remove(&call) {
            Some(Purpose::Membership { call, sent_at }) => {
                self.handle_membership_answer(call, answer, sent_at, now)
            }
            Some(Purpose::Pull(address)) => {
                let action = self.replica.handle_pull_answer(address, configuration_answer(answer));
                self.execute(action);
            }
            Some(Purpose::Check { check, node }) => {
                self.checks.handle_answer(check, node, configuration_answer(answer));
            }
            Some(Purpose::CheckRegion { change, region }) => {
                self.handle_region_answer(change, &region, configuration_answer(answer));
            }
            Some(Purpose::Watch | Purpose::Change(_)) | None => {}
        }
    }

    fn handle_membership_answer(
        &mut self,
        call: CallId,
        answer: Option<&PeerAnswer>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(PeerAnswer::Membership(answer)) = answer else {
            self.membership_event(MembershipEvent::Failed { call }, now);
            return;
        };
        self.membership_event(MembershipEvent::Answer { call, answer }, now);
        if let MembershipAnswer::Alive { gossip } = answer {
            self.apply_configuration_gossip(gossip, Some(sent_at), now);
        }
    }

    fn apply_configuration_gossip(
        &mut self,
        gossip: &paddlemount_protocol::peer::membership::Gossip,
        requested_at: Option<Timestamp>,
        now: Timestamp,
    ) {
        let table = self.membership.table();
        let action =
            self.replica.apply_gossip(&gossip.sender, &gossip.configuration, requested_at, table, now);
        self.execute(action);
    }

    fn handle_store_reply(&mut self, call: CallId, result: Result<StoreReply, StoreFailure>, now: Timestamp) {
        match self.calls.remove(&call) {
            Some(Purpose::Watch) => {
                let result = match result {
                    Ok(StoreReply::Document(document)) => Ok(document),
                    Ok(StoreReply::Put(_)) => Err(StoreFailure::Unclear),
                    Err(failure) => Err(failure),
                };
                let action = self.replica.handle_store_reply(result, now);
                self.execute(action);
            }
            Some(Purpose::Change(change)) => self.handle_change_store_reply(change, result, now),
            _ => {}
        }
    }

    fn execute(&mut self, action: Option<ReplicaAction>) {
        match action {
            None => {}
            Some(ReplicaAction::Installed(configuration)) => {
                self.actions.push(PeerAction::Installed(configuration));
            }
            Some(ReplicaAction::Watch(watch)) => {
                let timeout = STORE_TIMEOUT + Duration::from_millis(watch.wait_ms);
                self.call_store(StoreRequest::Watch(watch), timeout, Purpose::Watch);
            }
            Some(ReplicaAction::Pull { address, request }) => {
                let request = PeerRequest::Configuration(request);
                self.call(address, request, PULL_TIMEOUT, Purpose::Pull(address));
            }
        }
    }

    fn call(&mut self, address: SocketAddr, request: PeerRequest, timeout: Duration, purpose: Purpose) {
        let call = self.register_call(purpose);
        self.actions.push(PeerAction::Call { call, address, request, timeout });
    }

    fn call_store(&mut self, request: StoreRequest, timeout: Duration, purpose: Purpose) {
        let call = self.register_call(purpose);
        self.actions.push(PeerAction::Store { call, request, timeout });
    }

    fn register_call(&mut self, purpose: Purpose) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        call
    }

    fn own_contact(&self) -> Representative {
        let own = self.members().own();
        Representative { node: own.node.clone(), address: own.address }
    }
}

const fn configuration_answer(answer: Option<&PeerAnswer>) -> Option<&ConfigurationAnswer> {
    match answer {
        Some(PeerAnswer::Configuration(answer)) => Some(answer),
        _ => None,
    }
}
