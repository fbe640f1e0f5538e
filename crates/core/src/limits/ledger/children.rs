//! What the nodes below this one in the tree have told lately.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    identity::{NodeId, TenantId},
    time::Timestamp,
};

use super::FRESH;

/// What callers ask for in a tenant's name at a node and those below it.
#[derive(Clone, Debug)]
pub(super) struct TenantDemand {
    pub(super) tenant: TenantId,
    /// Units a second.
    pub(super) per_second: f64,
}

/// The last report of one node.
#[derive(Clone, Debug)]
struct Told {
    at: Timestamp,
    /// The node and those that it has heard below itself.
    heard: u32,
    demands: Vec<TenantDemand>,
}

/// The last reports of all nodes that report to this one.
#[derive(Clone, Debug, Default)]
pub(super) struct Children {
    reports: BTreeMap<NodeId, Told>,
}

impl Children {
    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Takes a node's report in place of its last one. A report counts its sender even where it says otherwise.
    pub(super) fn told(&mut self, node: NodeId, heard: u32, demands: Vec<TenantDemand>, now: Timestamp) {
        self.reports.insert(node, Told { at: now, heard: heard.max(1), demands });
    }

    /// Leaves out nodes that have told nothing lately.
    pub(super) fn forget_silent(&mut self, now: Timestamp) {
        self.reports.retain(|_, report| now.saturating_since(report.at) < FRESH);
    }

    /// How many nodes the reports speak for.
    pub(super) fn reporting_nodes(&self) -> u32 {
        self.reports.values().fold(0, |sum, report| sum.saturating_add(report.heard))
    }

    /// Units a second that callers ask for at all these nodes together, by tenant.
    pub(super) fn demands(&self) -> BTreeMap<&TenantId, f64> {
        let mut demands = BTreeMap::new();
        for demand in self.reports.values().flat_map(|report| &report.demands) {
            *demands.entry(&demand.tenant).or_default() += demand.per_second;
        }
        demands
    }
}
