//! Computes one node's share of a quota, such that the shares of all nodes do not exceed it.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::time::Timestamp;

/// The fraction of a contended quota that is split evenly, so that a node with no demand reported yet can
/// serve a tenant.
pub const EVEN_FRACTION: f64 = 0.2;

/// The demand that a node has reported.
///
/// The node counts for itself the minimum that it reported within the time that reports take to reach all
/// nodes. Every other node counts at least as much for it, which keeps the sum of all shares within the
/// quota.
#[derive(Clone, Debug, Default)]
pub struct ReportedDemand {
    reports: VecDeque<(Timestamp, f64)>,
}

impl ReportedDemand {
    /// Adds a report and drops those that no node uses any more.
    pub fn report(&mut self, demand: f64, window: Duration, now: Timestamp) {
        self.reports.push_back((now, demand));
        // The last report before the window was still in use at its start.
        while self.reports.get(1).is_some_and(|(at, _)| now.saturating_since(*at) >= window) {
            self.reports.pop_front();
        }
    }

    /// Returns the latest report.
    pub fn latest(&self) -> f64 {
        self.reports.back().map_or(0.0, |(_, demand)| *demand)
    }

    /// Returns the minimum that any other node may still count for this node's demand.
    pub fn settled(&self, window: Duration, now: Timestamp) -> f64 {
        let Some((oldest, _)) = self.reports.front() else { return 0.0 };
        if now.saturating_since(*oldest) < window {
            return 0.0;
        }
        self.reports.iter().map(|(_, demand)| *demand).fold(f64::INFINITY, f64::min)
    }
}

/// The input of [`share`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareInput {
    /// Existing nodes, reporting or not.
    pub members: u32,
    /// Nodes with a current report, this one included.
    pub reporting: u32,
    /// The node's own settled demand.
    pub own: f64,
    /// The demand of the other reporting nodes.
    pub others: f64,
}

/// Returns this node's share of `quota`.
///
/// Reporting nodes share the fraction of the quota that corresponds to their number, so that the sides of a
/// partition together stay within the quota. If the demand fits, each node gets its demand and an even share
/// of the remainder; otherwise it gets an even share of [`EVEN_FRACTION`] and the remainder in proportion to
/// demand.
pub fn share(quota: f64, input: &ShareInput) -> f64 {
    let reporting = f64::from(input.reporting.max(1));
    let members = f64::from(input.members.max(input.reporting).max(1));
    let pool = quota * reporting / members;
    let demand = input.own + input.others;
    if demand <= pool {
        return input.own + (pool - demand) / reporting;
    }
    let even = pool * EVEN_FRACTION / reporting;
    let by_demand = pool * (1.0 - EVEN_FRACTION) * input.own / demand;
    even + by_demand
}
