//! Tenant quotas over all forwarding nodes: one token bucket per tenant, whose level is distributed down the
//! tree of nodes.
//!
//! A node grants from the level that its parent reported, less its own grants since then. Each grant is
//! reported up the tree once, and the root subtracts it from the level. [`bucket_size`] leaves room for what
//! nodes grant before they see each other's grants. Under overload all nodes grant the same fraction of the
//! demand.
//!
//! A node without a parent owns the level for itself and its descendants. It continues with a fraction of the
//! level and of the rate: the number of nodes that it covers, relative to the last count of all nodes. The
//! root does the same, so that both sides of a partition together stay within the quota.
//!
//! A process restart loses only grants that were not reported yet; a new root continues from the level that
//! it last received. After all nodes restart, the level begins half filled.

mod account;
pub mod bucket_size;
mod children;

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::{QuotaDigest, TenantCredit, TenantSpending},
    identity::{NodeId, TenantId},
    time::Timestamp,
};

use self::{
    account::{Account, Sharing},
    bucket_size::QuotaBounds,
    children::{Children, TenantDemand},
};
use crate::forwarding::document::TenantQuota;

/// Time for which a report or a level from another node is used.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a count of nodes is remembered, as nodes that were partitioned off may still grant.
const COUNT_TTL: Duration = Duration::from_secs(60);
/// Time that a new root waits for reports before it counts the reporting nodes.
const ROOT_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Multiple of its even share of the capacity that a node without a parent may grant at once, as a request is
/// often larger than the even share. While a third of the nodes are detached, all together grant a part of the capacity
/// more, for which the bounds leave room.
const DETACHED_CAPACITY_FACTOR: f64 = 3.0;
/// Initial fraction of the capacity when an earlier process may have granted the remainder.
const RESTART_FILL: f64 = 0.5;

/// A request exceeds its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the tenant's quota is used up")]
pub struct QuotaRefusal {
    /// Time until the quota may cover the request.
    pub retry_after: Duration,
}

/// The state behind an admission decision, for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// The configured rate in units per second.
    pub per_second: f64,
    /// Units that may still be granted, over all nodes that share the level.
    pub level: f64,
    /// Requested units per second over the same nodes, as far as known.
    pub demand: f64,
    /// The fraction of the nodes that share the level.
    pub fraction: f64,
    /// Age of the level from the parent; `None` if this node owns the level.
    pub report_age: Option<Duration>,
}

/// A grant, to be refunded if the request does not run.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaGrant {
    tenant: TenantId,
    units: f64,
}

/// This node's position in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodePosition {
    pub is_root: bool,
    /// The number of nodes, if it was counted.
    pub counted: Option<u32>,
    /// The number of nodes assumed otherwise.
    pub assumed: u32,
}

/// Admits requests against the quotas of all tenants at one node.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    accounts: BTreeMap<TenantId, Account>,
    children: Children,
    level_received_at: Option<Timestamp>,
    /// The fraction that the parent last reported.
    parent_fraction: Option<f64>,
    position: Option<NodePosition>,
    root_since: Option<Timestamp>,
    max_nodes: Option<(u32, Timestamp)>,
    sharing: Sharing,
    /// The initial fraction of an account's capacity.
    filled: f64,
}

impl QuotaLedger {
    /// Creates a ledger without quotas at one of `assumed_nodes`. With `first_start`, no earlier process can
    /// have made grants.
    pub fn new(bounds: QuotaBounds, first_start: bool, assumed_nodes: u32) -> Self {
        // Without a parent, this node is one of many.
        let fraction = 1.0 / f64::from(assumed_nodes.max(1));
        Self {
            bounds,
            accounts: BTreeMap::new(),
            children: Children::default(),
            level_received_at: None,
            parent_fraction: None,
            position: None,
            root_since: None,
            max_nodes: None,
            sharing: Sharing { fraction, capacity_fraction: fraction, owns_level: true, shared: false },
            filled: if first_start { 1.0 } else { RESTART_FILL },
        }
    }

    /// Replaces the quotas by those of a configuration. Tenants that are not listed have none.
    pub fn configure<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a TenantId, &'a TenantQuota)>,
        now: Timestamp,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        for (tenant, quota) in quotas {
            let account = match before.remove(tenant) {
                Some(mut known) => {
                    known.refill(self.sharing, now);
                    known.set_quota(*quota, &self.bounds);
                    known
                }
                None => Account::new(*quota, &self.bounds, self.filled * self.sharing.fraction, now),
            };
            self.accounts.insert(tenant.clone(), account);
        }
    }

    /// Replaces the bounds, as when the settings change.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
        for account in self.accounts.values_mut() {
            account.set_quota(account.quota, &bounds);
        }
    }

    /// Whether no tenant has a quota.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns a tenant's quota.
    pub fn quota(&self, tenant: &TenantId) -> Option<&TenantQuota> {
        Some(&self.accounts.get(tenant)?.quota)
    }

    /// Grants a request of `units` or returns a retry hint. `draw` is uniformly distributed in 0 to 1.
    pub fn admit(
        &mut self,
        tenant: &TenantId,
        units: f64,
        draw: f64,
        now: Timestamp,
    ) -> Result<Option<QuotaGrant>, QuotaRefusal> {
        self.drop_outdated_level(now);
        let sharing = self.sharing;
        let Some(account) = self.accounts.get_mut(tenant) else { return Ok(None) };
        account.admit(units, draw, sharing, now)?;
        Ok(Some(QuotaGrant { tenant: tenant.clone(), units }))
    }

    /// Returns the units of a request that did not run.
    pub fn refund(&mut self, grant: &QuotaGrant) {
        if let Some(account) = self.accounts.get_mut(&grant.tenant) {
            account.refund(grant.units);
        }
    }

    /// Returns the state that an admission decision for a tenant would use now.
    pub fn view(&self, tenant: &TenantId, now: Timestamp) -> Option<QuotaView> {
        let account = self.accounts.get(tenant)?;
        let report_age = self.level_received_at.map(|at| now.saturating_since(at));
        Some(QuotaView {
            per_second: account.quota.per_second,
            level: account.level(),
            demand: account.demand().max(account.own_demand(now)),
            fraction: self.sharing.fraction,
            report_age: report_age.filter(|_| !self.sharing.owns_level),
        })
    }

    /// Expires reports, updates this node's share and sums the demand. Call several times per second.
    pub fn tick(&mut self, position: NodePosition, now: Timestamp) {
        self.accounts.values_mut().for_each(|account| account.refill(self.sharing, now));
        self.children.expire(now);
        self.remember_count(position.counted, now);
        let became_root = self.root_since.is_none() && position.is_root;
        self.root_since = position.is_root.then(|| self.root_since.unwrap_or(now));
        self.position = Some(position);
        if self.has_parent_level(now) && !position.is_root {
            self.sharing = Sharing { shared: true, owns_level: false, ..self.sharing };
            return;
        }
        self.own_level(position, became_root, now);
        self.sum_demand(now);
    }

    /// Returns the fraction of the nodes that this node and its descendants are, if it owns the level.
    pub fn root_share(&self) -> Option<f64> {
        self.sharing.owns_level.then_some(self.sharing.fraction)
    }

    /// Whether the parent reported a level recently.
    fn has_parent_level(&self, now: Timestamp) -> bool {
        self.level_received_at.is_some_and(|at| now.saturating_since(at) < REPORT_TTL)
    }

    /// Takes ownership of the level once the parent's report has expired. Without this, a process that was
    /// paused would grant from an outdated level until its next tick.
    fn drop_outdated_level(&mut self, now: Timestamp) {
        let Some(position) =
            self.position.filter(|_| !self.sharing.owns_level && !self.has_parent_level(now))
        else {
            return;
        };
        self.accounts.values_mut().for_each(|account| account.refill(self.sharing, now));
        self.children.expire(now);
        self.own_level(position, false, now);
    }

    /// Continues with this node's fraction of the level and of the rate, without a parent.
    fn own_level(&mut self, position: NodePosition, became_root: bool, now: Timestamp) {
        let fraction = self.covered_fraction(position, now);
        if became_root && self.parent_fraction.is_none() {
            self.accounts.values_mut().for_each(|account| account.reset_to(self.filled));
        } else if !self.sharing.owns_level && !position.is_root {
            // The reported level was for all nodes: this node continues with its fraction.
            let factor = fraction / self.sharing.fraction.max(fraction);
            self.accounts.values_mut().for_each(|account| account.scale(factor));
        }
        let capacity_fraction =
            if position.is_root { fraction } else { (fraction * DETACHED_CAPACITY_FACTOR).min(1.0) };
        self.sharing =
            Sharing { fraction, capacity_fraction, owns_level: true, shared: !self.children.is_empty() };
    }

    /// Returns the fraction of the nodes that this node and its descendants are.
    fn covered_fraction(&self, position: NodePosition, now: Timestamp) -> f64 {
        let settling = self.root_since.is_some_and(|since| now.saturating_since(since) < ROOT_SETTLE_TIME);
        if settling {
            return self.parent_fraction.unwrap_or(1.0);
        }
        let nodes = self.max_nodes.map_or(position.assumed, |(nodes, _)| nodes).max(1);
        (f64::from(self.reporting_nodes()) / f64::from(nodes)).min(1.0)
    }

    fn remember_count(&mut self, counted: Option<u32>, now: Timestamp) {
        let Some(counted) = counted else { return };
        let outdated =
            |(known, at): (u32, Timestamp)| counted >= known || now.saturating_since(at) >= COUNT_TTL;
        if self.max_nodes.is_none_or(outdated) {
            self.max_nodes = Some((counted, now));
        }
    }

    /// Returns the number of nodes with current reports: this one and its descendants.
    pub fn reporting_nodes(&self) -> u32 {
        self.children.reporting_nodes().saturating_add(1)
    }

    fn sum_demand(&mut self, now: Timestamp) {
        let demands = self.children.demands();
        for (tenant, account) in &mut self.accounts {
            let descendants = demands.get(tenant).copied().unwrap_or_default();
            account.set_demand(descendants + account.own_demand(now));
        }
    }

    /// Applies a child's report of grants and demand in its subtree. Returns the number of rejected entries:
    /// of tenants without a quota, or with invalid figures.
    pub fn receive_report(
        &mut self,
        node: NodeId,
        nodes: u32,
        spending: Vec<TenantSpending>,
        now: Timestamp,
    ) -> usize {
        let mut demands = Vec::with_capacity(spending.len());
        let mut rejected = 0;
        for entry in spending {
            let is_valid = entry.spent.is_finite() && entry.demand.is_finite() && entry.demand >= 0.0;
            match self.accounts.get_mut(&entry.tenant).filter(|_| is_valid) {
                Some(account) => {
                    account.granted_by_child(entry.spent);
                    demands.push(TenantDemand { tenant: entry.tenant, per_second: entry.demand });
                }
                None => rejected += 1,
            }
        }
        self.children.receive_report(node, nodes, demands, now);
        rejected
    }

    /// Returns the levels and demands for a child.
    pub fn digest(&mut self, now: Timestamp) -> QuotaDigest {
        self.drop_outdated_level(now);
        let sharing = self.sharing;
        let mut credits = Vec::new();
        for (tenant, account) in &mut self.accounts {
            account.refill(sharing, now);
            if account.is_worth_reporting(sharing) {
                let (level, demand) = (thousandths(account.level()), thousandths(account.demand()));
                credits.push(TenantCredit { tenant: tenant.clone(), level, demand });
            }
        }
        QuotaDigest { share: sharing.fraction, credits }
    }

    /// Returns the report for the parent; [`report_answered`](Self::report_answered) or
    /// [`report_failed`](Self::report_failed) must follow.
    pub fn report(&mut self, now: Timestamp) -> Vec<TenantSpending> {
        let demands = self.children.demands();
        let mut report = Vec::new();
        for (tenant, account) in &mut self.accounts {
            let descendants = demands.get(tenant).copied().unwrap_or_default();
            let demand = thousandths(descendants + account.own_demand(now));
            let spent = thousandths(account.report());
            if spent != 0.0 || account.is_demand_worth_reporting(demand) {
                report.push(TenantSpending { tenant: tenant.clone(), spent, demand });
            }
        }
        report
    }

    /// Applies the parent's answer to the report sent at `sent_at`. The answer counts as no younger than
    /// that: one that was in flight for long, as while this process was paused, must not be used.
    pub fn report_answered(&mut self, digest: &QuotaDigest, sent_at: Timestamp, now: Timestamp) {
        self.accounts.values_mut().for_each(Account::report_answered);
        self.level_received_at = self.level_received_at.max(Some(sent_at));
        if !self.has_parent_level(now) {
            self.drop_outdated_level(now);
            return;
        }
        let fraction = digest.share.clamp(0.0, 1.0);
        self.parent_fraction = Some(fraction);
        self.sharing = Sharing { fraction, capacity_fraction: fraction, owns_level: false, shared: true };
        let credits: BTreeMap<&TenantId, &TenantCredit> =
            digest.credits.iter().map(|credit| (&credit.tenant, credit)).collect();
        for (tenant, account) in &mut self.accounts {
            let credit = credits.get(tenant);
            let demand = credit.map_or(0.0, |credit| credit.demand.max(0.0));
            account.apply_level(credit.map(|credit| credit.level), demand, self.sharing, now);
        }
    }

    /// Records that the last report failed: its units go into the next one.
    pub fn report_failed(&mut self) {
        self.accounts.values_mut().for_each(Account::report_failed);
    }
}

/// Rounds to the resolution of a message.
fn thousandths(units: f64) -> f64 {
    (units * 1_000.0).round() / 1_000.0
}
