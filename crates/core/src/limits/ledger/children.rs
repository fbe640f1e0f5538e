//! The latest reports of this node's children in the tree.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    identity::{NodeId, TenantId},
    time::Timestamp,
};

use super::REPORT_TTL;

/// A tenant's requested rate at a node and its descendants.
#[derive(Clone, Debug)]
pub(super) struct TenantDemand {
    pub(super) tenant: TenantId,
    pub(super) per_second: f64,
}

/// The latest report of one child.
#[derive(Clone, Debug)]
struct ChildReport {
    at: Timestamp,
    /// The number of nodes in the child's subtree with current reports, the child included.
    nodes: u32,
    demands: Vec<TenantDemand>,
}

/// The latest reports of all children.
#[derive(Clone, Debug, Default)]
pub(super) struct Children {
    reports: BTreeMap<NodeId, ChildReport>,
}

impl Children {
    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Replaces a child's report. A report counts at least its sender.
    pub(super) fn receive_report(
        &mut self,
        node: NodeId,
        nodes: u32,
        demands: Vec<TenantDemand>,
        now: Timestamp,
    ) {
        self.reports.insert(node, ChildReport { at: now, nodes: nodes.max(1), demands });
    }

    /// Drops children without a recent report.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.reports.retain(|_, report| now.saturating_since(report.at) < REPORT_TTL);
    }

    /// Returns the number of nodes that the reports cover.
    pub(super) fn reporting_nodes(&self) -> u32 {
        self.reports.values().fold(0, |sum, report| sum.saturating_add(report.nodes))
    }

    /// Sums the requested units per second by tenant.
    pub(super) fn demands(&self) -> BTreeMap<&TenantId, f64> {
        let mut demands = BTreeMap::new();
        for demand in self.reports.values().flat_map(|report| &report.demands) {
            *demands.entry(&demand.tenant).or_default() += demand.per_second;
        }
        demands
    }
}
