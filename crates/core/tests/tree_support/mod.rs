//! Forwarding nodes that find their places in the tree in virtual time, of which some end, start again or are cut off.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use paddlemount_core::forwarding::{children::Admission, fleet::Fleet, uplink::NextStep};
use paddlemount_protocol::{
    fleet::{Contact, InForce, JoinAnswer, JoinRequest, Member, Report},
    identity::{NodeId, ZoneId},
    quarantine::RunReport,
    time::Timestamp,
};

/// The pause between two reports of a node.
const ROUND: Duration = Duration::from_millis(200);
/// Nodes that a strong machine takes in.
pub const STRONG: usize = 20;
/// Nodes that a small machine takes in.
const SMALL: usize = 6;

/// Nodes, of which some are not running.
pub struct Nodes {
    pub fleets: BTreeMap<NodeId, Fleet>,
    pub running: BTreeSet<NodeId>,
    pub cut_off: BTreeSet<NodeId>,
    pub root: Option<NodeId>,
    pub now: Timestamp,
    /// Requests to be taken in, by the node that got them, since they were last counted.
    pub asked: BTreeMap<NodeId, usize>,
}

/// What became of a report at the node above.
enum Receipt {
    /// The report was taken; the node may be told of a better place.
    Taken { refer: Option<Contact> },
    /// The report did not arrive, or its sender has no place there.
    NotTaken,
}

pub fn name(number: usize) -> NodeId {
    NodeId::from(format!("n{number:04}"))
}

pub fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7_340).into()
}

impl Nodes {
    /// Nodes in five zones, every `strong_each`th of which is strong; all start at once, and the first one leads.
    pub fn starting(count: usize, strong_each: usize) -> Self {
        let fleets = (0..count).map(|number| (name(number), fleet(number, strong_each))).collect();
        Self {
            fleets,
            running: (0..count).map(name).collect(),
            cut_off: BTreeSet::new(),
            root: Some(name(0)),
            now: Timestamp::from_millis(100_000),
            asked: BTreeMap::new(),
        }
    }

    fn contact(&self, node: &NodeId) -> Contact {
        Contact { node: node.clone(), address: address() }
    }

    fn reaches(&self, from: &NodeId, to: &NodeId) -> bool {
        self.running.contains(to) && !self.cut_off.contains(from) && !self.cut_off.contains(to)
    }

    /// Each node takes its turn once.
    fn round(&mut self) {
        self.now = self.now + ROUND;
        let names: Vec<NodeId> = self.running.iter().cloned().collect();
        for node in names {
            // A node that is referred asks on at once.
            for _ in 0..20 {
                if !self.turn(&node) {
                    break;
                }
            }
        }
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// One turn of a node. Whether it goes on at once.
    fn turn(&mut self, node: &NodeId) -> bool {
        let (now, leads) = (self.now, self.root.as_ref() == Some(node));
        let root = self.root.as_ref().map(|root| self.contact(root));
        let Some(fleet) = self.fleets.get_mut(node) else { return false };
        fleet.tick(leads, now);
        match fleet.uplink.next_step(root.as_ref(), leads, now) {
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
        *self.asked.entry(to.node.clone()).or_default() += 1;
        let answer = self.reaches(node, &to.node).then(|| self.take_in(&to.node, &request));
        let now = self.now;
        let fleet = self.fleet_mut(node);
        match answer {
            Some(JoinAnswer::Accepted) => fleet.uplink.joined(to.clone(), now),
            Some(JoinAnswer::Referred { to }) => fleet.uplink.referred(to),
            Some(JoinAnswer::Refused) | None => fleet.uplink.failed(&to.node, now),
        }
    }

    fn take_in(&mut self, parent: &NodeId, request: &JoinRequest) -> JoinAnswer {
        let (now, leads) = (self.now, self.root.as_ref() == Some(parent));
        let fleet = self.fleet_mut(parent);
        let has_place = leads || fleet.uplink.parent().is_some();
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
        let Receipt::Taken { refer } = self.take_report(node, &to.node) else {
            self.fleet_mut(node).uplink.failed(&to.node, now);
            return;
        };
        let leads = self.root.as_ref() == Some(&to.node);
        let above = &self.fleets[&to.node].uplink;
        let (path, rooted) = (above.path(), above.root_age(leads, now));
        let uplink = &mut self.fleet_mut(node).uplink;
        if uplink.update_path(path, rooted, now)
            && let Some(to) = refer
        {
            uplink.referred(to);
        }
    }

    /// The report of `node` arrives at `parent`, which takes it in once more where it does not know it.
    fn take_report(&mut self, node: &NodeId, parent: &NodeId) -> Receipt {
        let now = self.now;
        if !self.reaches(node, parent) || self.fleets[parent].uplink.is_self_or_ancestor(node) {
            return Receipt::NotTaken;
        }
        let report = report_of(&self.fleets[node], now);
        let above = self.fleets[parent].uplink.parent().cloned();
        let children = &mut self.fleet_mut(parent).children;
        let refer = children.take_referral(node, above.as_ref());
        let known = children.record_report(&report, now);
        if refer.is_some() || known {
            return Receipt::Taken { refer };
        }
        let request = self.fleets[node].join_request(now);
        match self.take_in(parent, &request) {
            JoinAnswer::Accepted => Receipt::Taken { refer: None },
            JoinAnswer::Referred { to } => Receipt::Taken { refer: Some(to) },
            JoinAnswer::Refused => Receipt::NotTaken,
        }
    }

    fn fleet_mut(&mut self, node: &NodeId) -> &mut Fleet {
        self.fleets.get_mut(node).expect("every node has its part of the fleet, running or not")
    }

    pub fn kill(&mut self, node: &NodeId) {
        self.running.remove(node);
    }

    pub fn start_again(&mut self, node: &NodeId) {
        let me = self.fleets[node].local_member().clone();
        let takes = if me.capacity > 1 { STRONG } else { SMALL };
        self.fleets.insert(node.clone(), Fleet::new(me, takes));
        self.running.insert(node.clone());
    }

    /// The nodes on the way from one to the root, by whom each reports to; nothing where it does not lead there.
    pub fn way_up(&self, node: &NodeId) -> Option<Vec<NodeId>> {
        let mut way = vec![node.clone()];
        while way.last() != self.root.as_ref() {
            let parent = self.fleets[way.last()?].uplink.parent()?.node.clone();
            if way.contains(&parent) || !self.running.contains(&parent) {
                return None;
            }
            way.push(parent);
        }
        Some(way)
    }

    pub fn lost(&self) -> Vec<&NodeId> {
        self.running.iter().filter(|node| self.way_up(node).is_none()).collect()
    }

    pub fn deepest(&self) -> usize {
        self.running.iter().filter_map(|node| self.way_up(node)).map(|way| way.len() - 1).max().unwrap_or(0)
    }

    pub fn children_of(&self, node: &NodeId) -> Vec<&NodeId> {
        let reports =
            |child: &&NodeId| self.fleets[*child].uplink.parent().is_some_and(|parent| parent.node == *node);
        self.running.iter().filter(reports).collect()
    }

    /// How many nodes stand how deep, the strong ones first.
    pub fn depths(&self) -> BTreeMap<(u32, usize), usize> {
        let mut depths = BTreeMap::new();
        for node in &self.running {
            let depth = self.way_up(node).map_or(99, |way| way.len() - 1);
            *depths.entry((100 - self.fleets[node].local_member().capacity, depth)).or_default() += 1;
        }
        depths
    }

    /// How many of a hundred nodes stand deeper than `depth`.
    pub fn percent_below(&self, depth: usize) -> usize {
        let deep = |node: &&NodeId| self.way_up(node).is_none_or(|way| way.len() - 1 > depth);
        self.running.iter().filter(deep).count() * 100 / self.running.len()
    }

    pub fn most_children(&self) -> usize {
        self.running.iter().map(|node| self.children_of(node).len()).max().unwrap_or(0)
    }

    /// Links between zones.
    pub fn crossings(&self) -> usize {
        let zone = |node: &NodeId| self.fleets[node].local_member().zone.clone();
        let crosses = |node: &&NodeId| {
            let parent = self.fleets[*node].uplink.parent();
            parent.is_some_and(|parent| zone(&parent.node) != zone(node))
        };
        self.running.iter().filter(crosses).count()
    }

    pub fn most_asked(&self) -> usize {
        self.asked.values().copied().max().unwrap_or(0)
    }
}

/// One node; every `strong_each`th of a zone is strong.
pub fn fleet(number: usize, strong_each: usize) -> Fleet {
    let strong = (number / 5).is_multiple_of(strong_each);
    let member = Member {
        node: name(number),
        zone: ZoneId::from(format!("zone-{}", number % 5)),
        address: address(),
        capacity: if strong { 100 } else { 1 },
    };
    Fleet::new(member, if strong { STRONG } else { SMALL })
}

fn report_of(fleet: &Fleet, now: Timestamp) -> Report {
    Report {
        leaving: Vec::new(),
        limits: Vec::new(),
        asked: 0.0,
        sender: fleet.local_member().clone(),
        room: fleet.children.room(now),
        work: Vec::new(),
        heard: fleet.children.subtree_size(),
        spending: Vec::new(),
        runs: RunReport::default(),
        news: Vec::new(),
        log: 0,
        cursor: 0,
        revision: None,
        in_force: InForce::default(),
        rising: String::new(),
    }
}
