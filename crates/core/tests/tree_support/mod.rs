//! Simulates forwarding nodes that join the tree in virtual time, while some end, restart or are partitioned.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use paddlemount_core::forwarding::{children::Admission, fleet::Fleet, uplink::NextStep};
use paddlemount_protocol::{
    fleet::{AppliedVersions, Contact, JoinAnswer, JoinRequest, Member, Report},
    identity::{NodeId, ZoneId},
    quarantine::RunReport,
    time::Timestamp,
};

/// The pause between two reports of a node.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The fan-in of a strong machine.
pub const STRONG_FAN_IN: usize = 20;
/// The fan-in of a weak machine.
const WEAK_FAN_IN: usize = 6;

/// The simulated nodes, of which some are not running.
pub struct Nodes {
    pub fleets: BTreeMap<NodeId, Fleet>,
    pub running: BTreeSet<NodeId>,
    pub partitioned: BTreeSet<NodeId>,
    pub root: Option<NodeId>,
    pub now: Timestamp,
    /// The number of join requests, by the node that received them.
    pub join_requests: BTreeMap<NodeId, usize>,
}

/// The outcome of a report at the parent.
enum ReportOutcome {
    /// The parent accepted the report, and may refer the sender elsewhere.
    Accepted { referral: Option<Contact> },
    /// The report did not arrive, or its sender is not a child of the receiver.
    Rejected,
}

pub fn name(number: usize) -> NodeId {
    NodeId::from(format!("n{number:04}"))
}

pub fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7_340).into()
}

impl Nodes {
    /// Nodes in five zones, every `strong_interval`th of which is strong; all start at once, and the first
    /// one is the leader.
    pub fn starting(count: usize, strong_interval: usize) -> Self {
        let fleets = (0..count).map(|number| (name(number), fleet(number, strong_interval))).collect();
        Self {
            fleets,
            running: (0..count).map(name).collect(),
            partitioned: BTreeSet::new(),
            root: Some(name(0)),
            now: Timestamp::from_millis(100_000),
            join_requests: BTreeMap::new(),
        }
    }

    fn contact(&self, node: &NodeId) -> Contact {
        Contact { node: node.clone(), address: address() }
    }

    fn reaches(&self, from: &NodeId, to: &NodeId) -> bool {
        self.running.contains(to) && !self.partitioned.contains(from) && !self.partitioned.contains(to)
    }

    /// Runs one step of each node.
    fn round(&mut self) {
        self.now = self.now + REPORT_INTERVAL;
        let names: Vec<NodeId> = self.running.iter().cloned().collect();
        for node in names {
            // A referred node asks the next one at once.
            for _ in 0..20 {
                if !self.step(&node) {
                    break;
                }
            }
        }
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Runs one step of a node. Returns whether it continues at once.
    fn step(&mut self, node: &NodeId) -> bool {
        let (now, is_leader) = (self.now, self.root.as_ref() == Some(node));
        let root = self.root.as_ref().map(|root| self.contact(root));
        let Some(fleet) = self.fleets.get_mut(node) else { return false };
        fleet.tick(is_leader, now);
        match fleet.uplink.next_step(root.as_ref(), is_leader, now) {
            NextStep::Wait => false,
            NextStep::Join(to) => {
                self.join(node, &to);
                true
            }
            NextStep::Report(to) => {
                self.report(node, &to);
                false
            }
        }
    }

    fn join(&mut self, node: &NodeId, to: &Contact) {
        let request = self.fleets[node].join_request(self.now);
        *self.join_requests.entry(to.node.clone()).or_default() += 1;
        let answer = self.reaches(node, &to.node).then(|| self.handle_join(&to.node, &request));
        let now = self.now;
        let fleet = self.fleet_mut(node);
        match answer {
            Some(JoinAnswer::Accepted) => fleet.uplink.joined(to.clone(), now),
            Some(JoinAnswer::Referred { to }) => fleet.uplink.referred(to),
            Some(JoinAnswer::Refused) | None => fleet.uplink.failed(&to.node, now),
        }
    }

    fn handle_join(&mut self, parent: &NodeId, request: &JoinRequest) -> JoinAnswer {
        let (now, is_leader) = (self.now, self.root.as_ref() == Some(parent));
        let fleet = self.fleet_mut(parent);
        let has_place = is_leader || fleet.uplink.parent().is_some();
        if !has_place || fleet.uplink.is_self_or_ancestor(&request.sender.node) {
            return JoinAnswer::Refused;
        }
        match fleet.children.admit(request, now) {
            Admission::Accepted => JoinAnswer::Accepted,
            Admission::Referred(to) => JoinAnswer::Referred { to },
        }
    }

    fn report(&mut self, node: &NodeId, to: &Contact) {
        let now = self.now;
        let ReportOutcome::Accepted { referral } = self.handle_report(node, &to.node) else {
            self.fleet_mut(node).uplink.failed(&to.node, now);
            return;
        };
        let is_leader = self.root.as_ref() == Some(&to.node);
        let parent_uplink = &self.fleets[&to.node].uplink;
        let (path, root_age) = (parent_uplink.path(), parent_uplink.root_age(is_leader, now));
        let uplink = &mut self.fleet_mut(node).uplink;
        if uplink.update_path(path, root_age, now)
            && let Some(to) = referral
        {
            uplink.referred(to);
        }
    }

    /// The report of `node` arrives at `parent`, which handles it as a join request if it does not know the
    /// sender.
    fn handle_report(&mut self, node: &NodeId, parent: &NodeId) -> ReportOutcome {
        let now = self.now;
        if !self.reaches(node, parent) || self.fleets[parent].uplink.is_self_or_ancestor(node) {
            return ReportOutcome::Rejected;
        }
        let report = report_of(&self.fleets[node], now);
        let grandparent = self.fleets[parent].uplink.parent().cloned();
        let children = &mut self.fleet_mut(parent).children;
        let referral = children.take_referral(node, grandparent.as_ref());
        let known = children.record_report(&report, now);
        if referral.is_some() || known {
            return ReportOutcome::Accepted { referral };
        }
        let request = self.fleets[node].join_request(now);
        match self.handle_join(parent, &request) {
            JoinAnswer::Accepted => ReportOutcome::Accepted { referral: None },
            JoinAnswer::Referred { to } => ReportOutcome::Accepted { referral: Some(to) },
            JoinAnswer::Refused => ReportOutcome::Rejected,
        }
    }

    fn fleet_mut(&mut self, node: &NodeId) -> &mut Fleet {
        self.fleets.get_mut(node).expect("each node has a fleet, running or not")
    }

    pub fn kill(&mut self, node: &NodeId) {
        self.running.remove(node);
    }

    pub fn restart(&mut self, node: &NodeId) {
        let member = self.fleets[node].local_member().clone();
        let fan_in = if member.capacity > 1 { STRONG_FAN_IN } else { WEAK_FAN_IN };
        self.fleets.insert(node.clone(), Fleet::new(member, fan_in));
        self.running.insert(node.clone());
    }

    /// The nodes from `node` to the root; `None` if the path does not reach it.
    pub fn path_to_root(&self, node: &NodeId) -> Option<Vec<NodeId>> {
        let mut path = vec![node.clone()];
        while path.last() != self.root.as_ref() {
            let parent = self.fleets[path.last()?].uplink.parent()?.node.clone();
            if path.contains(&parent) || !self.running.contains(&parent) {
                return None;
            }
            path.push(parent);
        }
        Some(path)
    }

    pub fn disconnected(&self) -> Vec<&NodeId> {
        self.running.iter().filter(|node| self.path_to_root(node).is_none()).collect()
    }

    pub fn max_depth(&self) -> usize {
        self.running
            .iter()
            .filter_map(|node| self.path_to_root(node))
            .map(|path| path.len() - 1)
            .max()
            .unwrap_or(0)
    }

    pub fn children_of(&self, node: &NodeId) -> Vec<&NodeId> {
        let reports =
            |child: &&NodeId| self.fleets[*child].uplink.parent().is_some_and(|parent| parent.node == *node);
        self.running.iter().filter(reports).collect()
    }

    /// The number of nodes by strength (strong ones first) and depth.
    pub fn depths(&self) -> BTreeMap<(u32, usize), usize> {
        let mut depths = BTreeMap::new();
        for node in &self.running {
            let depth = self.path_to_root(node).map_or(99, |path| path.len() - 1);
            *depths.entry((100 - self.fleets[node].local_member().capacity, depth)).or_default() += 1;
        }
        depths
    }

    /// The percentage of nodes deeper than `depth`.
    pub fn percent_deeper_than(&self, depth: usize) -> usize {
        let is_deeper = |node: &&NodeId| self.path_to_root(node).is_none_or(|path| path.len() - 1 > depth);
        self.running.iter().filter(is_deeper).count() * 100 / self.running.len()
    }

    pub fn max_children(&self) -> usize {
        self.running.iter().map(|node| self.children_of(node).len()).max().unwrap_or(0)
    }

    /// The number of links between zones.
    pub fn cross_zone_links(&self) -> usize {
        let zone = |node: &NodeId| self.fleets[node].local_member().zone.clone();
        let crosses = |node: &&NodeId| {
            let parent = self.fleets[*node].uplink.parent();
            parent.is_some_and(|parent| zone(&parent.node) != zone(node))
        };
        self.running.iter().filter(crosses).count()
    }

    pub fn max_join_requests(&self) -> usize {
        self.join_requests.values().copied().max().unwrap_or(0)
    }
}

/// One node; every `strong_interval`th of a zone is strong.
pub fn fleet(number: usize, strong_interval: usize) -> Fleet {
    let strong = (number / 5).is_multiple_of(strong_interval);
    let member = Member {
        node: name(number),
        zone: ZoneId::from(format!("zone-{}", number % 5)),
        address: address(),
        capacity: if strong { 100 } else { 1 },
    };
    Fleet::new(member, if strong { STRONG_FAN_IN } else { WEAK_FAN_IN })
}

fn report_of(fleet: &Fleet, now: Timestamp) -> Report {
    Report {
        members_hash: 0,
        members: None,
        software_history: None,
        wants_software_history: false,
        leaving: Vec::new(),
        limits: Vec::new(),
        performance: Vec::new(),
        demand: Vec::new(),
        rates: Vec::new(),
        intermediaries: Vec::new(),
        offered_load: 0.0,
        sender: fleet.local_member().clone(),
        join_capacity: fleet.children.join_capacity(now),
        work: Vec::new(),
        reporting_nodes: fleet.children.subtree_size(),
        spending: Vec::new(),
        runs: RunReport::default(),
        cache_updates: Vec::new(),
        log: 0,
        cursor: 0,
        revision: None,
        applied: AppliedVersions::default(),
        newer_facts: String::new(),
    }
}
