//! Addresses at which nodes that are not known to be alive may be found: seeds, listed machines and dead
//! members.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use paddlemount_protocol::{
    identity::{NodeId, RegionId},
    peer::membership::{MemberRecord, MemberState, Representative},
    platform::{MachineList, MachineRole, MachineState},
    time::Timestamp,
};
use rand::{rngs::SmallRng, seq::IndexedRandom};

use super::{MemberTable, Membership, MembershipSettings, Purpose};

/// Seeds and the nodes of the machine list.
#[derive(Debug)]
pub(super) struct Contacts {
    /// When the next contact attempt is due.
    pub(super) next_at: Timestamp,
    seeds: Vec<SocketAddr>,
    own_region: Vec<(NodeId, SocketAddr)>,
    other_regions: BTreeMap<RegionId, Vec<Representative>>,
    /// Seeds that answered from other regions; representatives keep probing those.
    seeds_elsewhere: BTreeSet<SocketAddr>,
}

impl Contacts {
    pub(super) fn new(settings: &MembershipSettings, now: Timestamp) -> Self {
        let seeds = settings.seeds.iter().copied().filter(|seed| *seed != settings.address).collect();
        Self {
            next_at: now,
            seeds,
            own_region: Vec::new(),
            other_regions: BTreeMap::new(),
            seeds_elsewhere: BTreeSet::new(),
        }
    }

    /// Replaces the listed nodes by the live ones of `list`.
    pub(super) fn set_machines(&mut self, list: &MachineList, settings: &MembershipSettings) {
        self.own_region.clear();
        self.other_regions.clear();
        for machine in list.machines.iter().filter(|machine| machine.state == MachineState::Live) {
            let MachineRole::Node { node } = &machine.role else { continue };
            if *node == settings.node {
                continue;
            }
            if machine.region == settings.region {
                self.own_region.push((node.clone(), machine.address));
            } else {
                let nodes = self.other_regions.entry(machine.region.clone()).or_default();
                nodes.push(Representative { node: node.clone(), address: machine.address });
            }
        }
    }

    /// Returns dead and left members that are not live on the machine list.
    pub(super) fn forgettable(&self, table: &MemberTable) -> Vec<NodeId> {
        let is_listed = |node: &NodeId| self.own_region.iter().any(|(listed, _)| listed == node);
        let has_gone = |record: &&MemberRecord| matches!(record.state, MemberState::Dead | MemberState::Left);
        let own = &table.own().node;
        table
            .all()
            .filter(has_gone)
            .filter(|record| record.node != *own && !is_listed(&record.node))
            .map(|record| record.node.clone())
            .collect()
    }

    /// Counts listed nodes of this region without a record in the table.
    pub(super) fn count_listed_unknown(&self, table: &MemberTable) -> usize {
        self.own_region.iter().filter(|(node, _)| table.get(node).is_none()).count()
    }

    /// Whether the settings contain seeds other than this node.
    pub(super) const fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Records that a seed answered from another region and needs no further contact.
    pub(super) fn found_elsewhere(&mut self, address: SocketAddr) {
        if self.seeds.contains(&address) {
            self.seeds_elsewhere.insert(address);
        }
    }

    /// Returns a random listed node of another region.
    pub(super) fn in_region(&self, region: &RegionId, random: &mut SmallRng) -> Option<Representative> {
        self.other_regions.get(region)?.choose(random).cloned()
    }

    /// Returns seeds and listed nodes of this region that are not known to be alive, and dead members.
    fn candidates(&self, table: &MemberTable) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = table.live().map(|record| record.address).collect();
        let left = |node: &NodeId| table.get(node).is_some_and(|record| record.state == MemberState::Left);
        let listed = self.own_region.iter().filter(|(node, _)| !left(node)).map(|(_, address)| *address);
        let dead =
            table.all().filter(|record| record.state == MemberState::Dead).map(|record| record.address);
        let seeds = self.seeds.iter().filter(|seed| !self.seeds_elsewhere.contains(seed)).copied();
        let mut candidates: Vec<SocketAddr> = seeds.chain(listed).chain(dead).collect();
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|address| !live.contains(address));
        candidates
    }
}

impl Membership {
    /// Probes a seed, a listed node or a dead member, more often while no other member is known.
    pub(super) fn contact_candidate(&mut self, now: Timestamp) {
        let timing = self.settings.timing;
        let is_alone = self.table.live().nth(1).is_none();
        let interval = if is_alone { timing.probe_interval } else { timing.contact_interval };
        self.contacts.next_at = now + interval;
        self.contact(1);
    }

    /// Probes up to `count` live members, or as many candidates if no member is known.
    pub(super) fn probe_now(&mut self, count: usize) {
        let members = self.table.pick_alive(count, &[], &mut self.random);
        if members.is_empty() {
            return self.contact(count);
        }
        for member in members {
            self.probe(&member, Purpose::Contact, self.settings.timing.probe_timeout);
        }
    }

    fn contact(&mut self, count: usize) {
        let candidates = self.contacts.candidates(&self.table);
        let chosen: Vec<SocketAddr> = candidates.sample(&mut self.random, count).copied().collect();
        for address in chosen {
            let dead = self.table.all().find(|record| record.address == address).cloned();
            let target = dead.unwrap_or_else(|| MemberRecord {
                node: NodeId::from(""),
                address,
                ..self.table.own().clone()
            });
            self.probe(&target, Purpose::Contact, self.settings.timing.probe_timeout);
        }
    }
}
