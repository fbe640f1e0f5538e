//! Membership of router nodes: detects which nodes are alive, suspected or dead.
//!
//! All nodes run the same [`Membership`]. Within a region each node knows every member; of each other region
//! it knows a summary. A member that does not answer a probe, directly or through other members, is
//! suspected, and is dead unless it refutes the suspicion in time. See `docs/design/membership.md`.

mod contacts;
mod gossip;
mod regions;
mod rounds;
mod table;
mod types;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    identity::NodeId,
    peer::membership::{
        Gossip, MAX_PAGE_BYTES, MemberRecord, MemberState, MembershipAnswer, MembershipRequest, RegionSummary,
    },
    platform::MachineList,
    time::Timestamp,
};
use rand::{SeedableRng, rngs::SmallRng};

use self::{contacts::Contacts, gossip::Dissemination, regions::Regions, rounds::Rounds};
pub use self::{
    table::{MemberTable, rendezvous_weight},
    types::{CallId, MembershipAction, MembershipEvent, MembershipSettings, MembershipTiming},
};

/// Delay of a wake-up from which the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Number of members that a stopping node notifies.
const LEAVE_FANOUT: usize = 5;

/// One node's view of all nodes.
pub struct Membership {
    settings: MembershipSettings,
    random: SmallRng,
    table: MemberTable,
    dissemination: Dissemination,
    rounds: Rounds,
    regions: Regions,
    contacts: Contacts,
    calls: BTreeMap<CallId, Purpose>,
    next_call: u64,
    next_table_comparison: Timestamp,
    suspicions: BTreeMap<NodeId, Timestamp>,
    actions: Vec<MembershipAction>,
    superseded: bool,
}

/// The purpose of an outgoing call.
#[derive(Clone, Debug)]
enum Purpose {
    /// Part of a probe round for a member.
    Round(NodeId),
    /// Probes on behalf of a peer whose call is pending.
    Relay(CallId),
    /// Contacts a member that is not known to be alive.
    Contact,
    /// Fetches the summary of another region.
    Region,
    /// Fetches a page of a peer's table.
    Page(SocketAddr),
    /// Announces this node's stop.
    Stop,
}

impl Membership {
    /// Creates the membership of a node that starts at `now` and knows only its settings.
    pub fn new(settings: MembershipSettings, now: Timestamp) -> Self {
        let own = MemberRecord {
            node: settings.node.clone(),
            address: settings.address,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: settings.incarnation,
            refutation: 0,
            state: MemberState::Alive,
        };
        let contacts = Contacts::new(&settings, now);
        let rounds = Rounds::new(now);
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            table: MemberTable::new(own),
            dissemination: Dissemination::default(),
            rounds,
            regions: Regions::new(settings.region.clone(), now),
            contacts,
            calls: BTreeMap::new(),
            next_call: 0,
            next_table_comparison: now,
            suspicions: BTreeMap::new(),
            actions: Vec::new(),
            superseded: false,
            settings,
        }
    }

    /// Handles `event` and returns the resulting actions.
    pub fn handle(&mut self, event: MembershipEvent<'_>, now: Timestamp) -> Vec<MembershipAction> {
        self.recover_from_pause(now);
        match event {
            MembershipEvent::Tick => {}
            MembershipEvent::Request { call, request } => self.serve(call, request, now),
            MembershipEvent::Answer { call, answer } => self.handle_answer(call, answer, now),
            MembershipEvent::Failed { call } => self.handle_failure(call, now),
            MembershipEvent::Machines(list) => self.set_machines(list),
            MembershipEvent::Offer(item) => self.dissemination.offer(item),
            MembershipEvent::ProbeNow(count) => self.probe_now(count),
            MembershipEvent::Stop => self.stop(),
        }
        self.run_timers(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`MembershipEvent::Tick`] is due at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        let mut next = self.rounds.next_at.min(self.contacts.next_at);
        if self.is_representative() {
            next = next.min(self.regions.next_at);
        }
        self.suspicions.values().copied().fold(next, Timestamp::min)
    }

    /// Returns the members of this region, this node included.
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the summaries of the other regions, with ages as of `now`.
    pub fn other_regions(&self, now: Timestamp) -> Vec<RegionSummary> {
        self.regions.all(now)
    }

    /// Returns the summary of this region.
    pub fn own_region(&self) -> RegionSummary {
        self.table.summary()
    }

    /// Whether this node represents its region towards other regions.
    pub fn is_representative(&self) -> bool {
        self.table.representatives().any(|record| record.node == self.settings.node)
    }

    /// Whether a later incarnation runs under this node's name.
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Discards probe rounds and extends suspicions after a pause, as answers may have arrived unread.
    fn recover_from_pause(&mut self, now: Timestamp) {
        if now.saturating_since(self.next_wakeup()) < PAUSE_THRESHOLD {
            return;
        }
        self.rounds.cancel_all();
        for deadline in self.suspicions.values_mut() {
            *deadline = now + self.settings.timing.suspicion_timeout;
        }
    }

    fn run_timers(&mut self, now: Timestamp) {
        self.expire_suspicions(now);
        if self.rounds.next_at <= now {
            self.rounds.next_at = now + self.settings.timing.probe_interval;
            self.begin_round();
        }
        if self.contacts.next_at <= now {
            self.contact_candidate(now);
        }
        if self.regions.next_at <= now && self.is_representative() {
            self.regions.next_at = now + self.settings.timing.region_interval;
            self.probe_region(now);
        }
    }

    fn expire_suspicions(&mut self, now: Timestamp) {
        let expired: Vec<NodeId> =
            self.suspicions.iter().filter(|(_, at)| **at <= now).map(|(node, _)| node.clone()).collect();
        for node in expired {
            let Some(record) = self.table.get(&node) else { continue };
            let dead = MemberRecord { state: MemberState::Dead, ..record.clone() };
            self.merge_record(&dead, now);
        }
    }

    /// Merges a record of a member of this region.
    fn merge_record(&mut self, record: &MemberRecord, now: Timestamp) {
        if record.region != self.settings.region {
            return;
        }
        if record.node == self.settings.node {
            self.merge_own_record(record);
            return;
        }
        let is_new = self.table.get(&record.node).is_none();
        if !self.table.merge(record) {
            return;
        }
        let has_gone = matches!(record.state, MemberState::Dead | MemberState::Left);
        if is_new && has_gone {
            return; // Other members know of it already, or have forgotten it.
        }
        if record.state == MemberState::Suspect {
            self.suspicions.insert(record.node.clone(), now + self.settings.timing.suspicion_timeout);
        } else {
            self.suspicions.remove(&record.node);
        }
        self.dissemination.enqueue(&record.node, self.table.len());
        self.actions.push(MembershipAction::Changed(record.clone()));
    }

    fn merge_own_record(&mut self, record: &MemberRecord) {
        if record.incarnation > self.settings.incarnation {
            if !self.superseded {
                self.actions.push(MembershipAction::Superseded);
            }
            self.superseded = true;
            return;
        }
        if record.precedence() > self.table.own().precedence() {
            self.table.refute(record.refutation);
            self.dissemination.enqueue(&self.settings.node, self.table.len());
        }
    }

    fn serve(&mut self, call: CallId, request: &MembershipRequest, now: Timestamp) {
        match request {
            MembershipRequest::Probe { gossip } => {
                self.apply_gossip(gossip, now);
                let mut reply = Box::new(self.gossip_for(&gossip.sender));
                reply.regions = self.regions_for(&gossip.sender, now);
                let answer = MembershipAnswer::Alive { gossip: reply };
                self.actions.push(MembershipAction::Answer { call, answer });
            }
            MembershipRequest::IndirectProbe { target } => {
                self.probe(target, Purpose::Relay(call), self.settings.timing.probe_timeout);
            }
            MembershipRequest::Members { after } => {
                let (members, more) = self.table.page(after.as_ref(), MAX_PAGE_BYTES);
                let answer = MembershipAnswer::Members { members, more };
                self.actions.push(MembershipAction::Answer { call, answer });
            }
        }
    }

    fn handle_answer(&mut self, call: CallId, answer: &MembershipAnswer, now: Timestamp) {
        let Some(purpose) = self.calls.remove(&call) else { return };
        match answer {
            MembershipAnswer::Alive { gossip } => {
                self.apply_gossip(gossip, now);
                if gossip.sender.region != self.settings.region {
                    self.contacts.found_elsewhere(gossip.sender.address);
                }
                self.handle_reached(&purpose);
                self.compare_tables(gossip, now);
            }
            MembershipAnswer::Reached { reached } => {
                if let Purpose::Round(node) = purpose {
                    self.round_call_ended(&node, *reached, now);
                }
            }
            MembershipAnswer::Members { members, more } => {
                members.iter().for_each(|record| self.merge_record(record, now));
                if let (Purpose::Page(address), true, Some(last)) = (purpose, *more, members.last()) {
                    self.request_page(address, Some(last.node.clone()));
                }
            }
        }
    }

    fn handle_reached(&mut self, purpose: &Purpose) {
        match purpose {
            Purpose::Round(node) => self.rounds.reached(node),
            Purpose::Relay(call) => {
                let answer = MembershipAnswer::Reached { reached: true };
                self.actions.push(MembershipAction::Answer { call: *call, answer });
            }
            _ => {}
        }
    }

    fn handle_failure(&mut self, call: CallId, now: Timestamp) {
        match self.calls.remove(&call) {
            Some(Purpose::Round(node)) => self.round_call_ended(&node, false, now),
            Some(Purpose::Relay(call)) => {
                let answer = MembershipAnswer::Reached { reached: false };
                self.actions.push(MembershipAction::Answer { call, answer });
            }
            _ => {}
        }
    }

    fn apply_gossip(&mut self, gossip: &Gossip, now: Timestamp) {
        self.merge_record(&gossip.sender, now);
        gossip.updates.iter().for_each(|record| self.merge_record(record, now));
        gossip.regions.iter().for_each(|summary| self.regions.merge(summary, now));
        let own_region = gossip.sender.region == self.settings.region;
        for item in gossip.items.iter().filter(|_| own_region) {
            let from = gossip.sender.node.clone();
            self.actions.push(MembershipAction::Item { from, item: item.clone() });
        }
    }

    fn gossip_for(&mut self, receiver: &MemberRecord) -> Gossip {
        let same_region = receiver.region == self.settings.region;
        let updates =
            if same_region { self.dissemination.updates_for(receiver, &self.table) } else { Vec::new() };
        Gossip {
            sender: self.table.own().clone(),
            table: self.table.digest(),
            updates,
            regions: Vec::new(),
            configuration: Default::default(),
            items: if same_region { self.dissemination.items() } else { Vec::new() },
        }
    }

    /// Returns the region summaries for an answer. Only answers carry them, which halves the traffic.
    fn regions_for(&mut self, receiver: &MemberRecord, now: Timestamp) -> Vec<RegionSummary> {
        if receiver.region == self.settings.region {
            self.regions.next_to_send(now)
        } else {
            vec![self.table.summary()]
        }
    }

    fn compare_tables(&mut self, gossip: &Gossip, now: Timestamp) {
        let same_region = gossip.sender.region == self.settings.region;
        if !same_region || gossip.table == self.table.digest() || now < self.next_table_comparison {
            return;
        }
        self.next_table_comparison = now + self.settings.timing.table_interval;
        self.request_page(gossip.sender.address, None);
    }

    fn request_page(&mut self, address: SocketAddr, after: Option<NodeId>) {
        let request = MembershipRequest::Members { after };
        self.call(address, request, Purpose::Page(address), self.settings.timing.probe_timeout);
    }

    fn stop(&mut self) {
        self.table.leave();
        self.dissemination.enqueue(&self.settings.node, self.table.len());
        for member in self.table.pick_alive(LEAVE_FANOUT, &[], &mut self.random) {
            self.probe(&member, Purpose::Stop, self.settings.timing.probe_timeout);
        }
    }

    fn probe(&mut self, target: &MemberRecord, purpose: Purpose, timeout: Duration) {
        let gossip = Box::new(self.gossip_for(target));
        self.call(target.address, MembershipRequest::Probe { gossip }, purpose, timeout);
    }

    fn call(&mut self, address: SocketAddr, request: MembershipRequest, purpose: Purpose, timeout: Duration) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        self.actions.push(MembershipAction::Call { call, address, request, timeout });
    }

    fn set_machines(&mut self, list: &MachineList) {
        self.contacts.set_machines(list, &self.settings);
        self.regions.sync_listed(list);
        for node in self.contacts.forgettable(&self.table) {
            self.table.forget(&node);
            self.dissemination.forget(&node);
        }
    }

    /// Returns the number of members that a majority is counted among: known or listed members that have not
    /// left.
    pub fn quorum_base(&self) -> usize {
        let unknown = self.contacts.count_listed_unknown(&self.table);
        let minimum = if self.contacts.has_seeds() { 2 } else { 1 };
        (self.table.known().count() + unknown).max(minimum)
    }
}
