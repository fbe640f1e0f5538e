//! Summaries of the other regions, exchanged by a few representatives of each region.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    identity::{NodeId, RegionId},
    peer::{
        encoded_bytes,
        membership::{
            MAX_REGION_BYTES, MAX_REPRESENTATIVES, MemberRecord, MemberState, RegionSummary, Representative,
        },
    },
    platform::{MachineList, MachineRole, MachineState},
    time::Timestamp,
};
use rand::seq::IndexedRandom;

use super::{Membership, Purpose};

/// Age of a summary beyond which listed nodes are preferred to its representatives.
const STALE_AGE: Duration = Duration::from_secs(15);

/// One in this many messages carries a complete summary.
const COMPLETE_SUMMARY_INTERVAL: u32 = 4;

/// The latest summaries of the other regions.
#[derive(Debug)]
pub(super) struct Regions {
    own: RegionId,
    /// When this node probes the next region, if it is a representative.
    pub(super) next_at: Timestamp,
    summaries: BTreeMap<RegionId, ReceivedSummary>,
    last_probed: Option<RegionId>,
    last_sent: Option<RegionId>,
    messages: u32,
}

#[derive(Debug)]
struct ReceivedSummary {
    summary: RegionSummary,
    /// When the summary was made, by this node's clock.
    made_at: Timestamp,
}

impl Regions {
    pub(super) const fn new(own: RegionId, now: Timestamp) -> Self {
        Self {
            own,
            next_at: now,
            summaries: BTreeMap::new(),
            last_probed: None,
            last_sent: None,
            messages: 0,
        }
    }

    /// Stores a summary that is newer than the known one.
    pub(super) fn merge(&mut self, summary: &RegionSummary, now: Timestamp) {
        if summary.region == self.own || summary.representatives.len() > MAX_REPRESENTATIVES {
            return;
        }
        let made_at = now - Duration::from_millis(u64::from(summary.age_ms));
        let known = self.summaries.get(&summary.region);
        if known.is_some_and(|known| known.made_at >= made_at) {
            return;
        }
        let mut summary = summary.clone();
        if summary.representatives.is_empty() {
            let known = known.map(|known| known.summary.representatives.clone());
            summary.representatives = known.unwrap_or_default();
        }
        self.summaries.insert(summary.region.clone(), ReceivedSummary { summary, made_at });
    }

    /// Returns all summaries with their current ages.
    pub(super) fn all(&self, now: Timestamp) -> Vec<RegionSummary> {
        self.summaries.values().map(|received| received.aged(now)).collect()
    }

    /// Returns the summaries for the next message, within [`MAX_REGION_BYTES`]: usually all of them without
    /// representatives, so that ages spread quickly, and regularly one complete summary in turn.
    pub(super) fn next_to_send(&mut self, now: Timestamp) -> Vec<RegionSummary> {
        self.messages += 1;
        if self.messages.is_multiple_of(COMPLETE_SUMMARY_INTERVAL) {
            return self.next_complete(now).into_iter().collect();
        }
        let mut used = 0;
        let short = self.summaries.values().filter(|received| received.made_at > Timestamp::ZERO);
        let short = short.map(|received| RegionSummary { representatives: Vec::new(), ..received.aged(now) });
        short
            .take_while(|summary| {
                used += encoded_bytes(summary) + 1;
                used <= MAX_REGION_BYTES
            })
            .collect()
    }

    fn next_complete(&mut self, now: Timestamp) -> Option<RegionSummary> {
        let region = next_after(self.summaries.keys(), self.last_sent.as_ref())?;
        self.last_sent = Some(region.clone());
        let summary = self.summaries[&region].aged(now);
        (encoded_bytes(&summary) <= MAX_REGION_BYTES).then_some(summary)
    }

    /// Drops regions that are not on the machine list and adds listed ones.
    pub(super) fn sync_listed(&mut self, list: &MachineList) {
        let is_listed = |region: &RegionId| list.machines.iter().any(|machine| machine.region == *region);
        self.summaries.retain(|region, _| is_listed(region));
        let own = self.own.clone();
        for machine in list.machines.iter().filter(|machine| machine.region != own) {
            let MachineRole::Node { node } = &machine.role else { continue };
            if machine.state != MachineState::Live {
                continue;
            }
            let received = self.summaries.entry(machine.region.clone()).or_insert_with(|| ReceivedSummary {
                summary: RegionSummary {
                    region: machine.region.clone(),
                    alive: 0,
                    known: 0,
                    age_ms: 0,
                    representatives: Vec::new(),
                },
                made_at: Timestamp::ZERO,
            });
            received.add_listed(node, machine.address);
        }
    }
}

impl ReceivedSummary {
    fn aged(&self, now: Timestamp) -> RegionSummary {
        let age = now.saturating_since(self.made_at).as_millis();
        RegionSummary { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..self.summary.clone() }
    }

    /// Uses listed nodes as representatives until the first summary arrives.
    fn add_listed(&mut self, node: &NodeId, address: SocketAddr) {
        let representatives = &mut self.summary.representatives;
        let is_known = representatives.iter().any(|known| known.node == *node);
        if self.made_at == Timestamp::ZERO && representatives.len() < MAX_REPRESENTATIVES && !is_known {
            let node = node.clone();
            representatives.push(Representative { node, address });
        }
    }
}

/// Returns the key after `last`, in circular order.
fn next_after<'a>(
    mut keys: impl Iterator<Item = &'a RegionId> + Clone,
    last: Option<&RegionId>,
) -> Option<RegionId> {
    let first = keys.clone().next();
    keys.find(|key| Some(*key) > last).or(first).cloned()
}

impl Membership {
    /// Probes a representative of the next region.
    pub(super) fn probe_region(&mut self, now: Timestamp) {
        let last = self.regions.last_probed.as_ref();
        let Some(region) = next_after(self.regions.summaries.keys(), last) else { return };
        self.regions.last_probed = Some(region.clone());
        let Some(chosen) = self.representative_of(&region, now) else { return };
        let target = MemberRecord {
            node: chosen.node,
            address: chosen.address,
            region,
            state: MemberState::Alive,
            ..self.table.own().clone()
        };
        self.probe(&target, Purpose::Region, self.settings.timing.probe_timeout * 2);
    }

    /// Returns a random representative of another region.
    pub fn representative_of(&mut self, region: &RegionId, now: Timestamp) -> Option<Representative> {
        let received = self.regions.summaries.get(region)?;
        let is_stale = now.saturating_since(received.made_at) > STALE_AGE;
        let listed = self.contacts.in_region(region, &mut self.random).filter(|_| is_stale);
        listed.or_else(|| received.summary.representatives.choose(&mut self.random).cloned())
    }
}
