//! Tenant quotas over all forwarding nodes: one token bucket for each tenant, whose level is told down the tree of nodes.
//!
//! A node grants by the level that it was told, less what it has granted since. Reports carry grants up, once each, and
//! the node at the head of the tree takes them off the level. What nodes grant before they hear of each other is bounded
//! by [`bucket_size`]: it leaves room for it. Under overload all nodes grant the same share of what is asked.
//!
//! A node that nobody tells anything heads itself and those that report to it. It goes on with its part of the level and
//! of the rate: the nodes that it hears, of all that were lately counted. The root does the same, so that both sides of
//! a partition together grant no more than the whole.
//!
//! A restart of single processes loses nothing but what they granted in the last fifth of a second; a root that begins
//! goes on from the level that it was last told. After a restart of all, the level begins half filled.

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

/// How long what another node has told is used.
const FRESH: Duration = Duration::from_millis(1_500);
/// How long a count of nodes is remembered: nodes that have been cut off for so long may still grant.
const REMEMBERED: Duration = Duration::from_secs(60);
/// How long a root that has just begun waits for reports before it counts whom it hears.
const SETTLING: Duration = Duration::from_secs(2);
/// How many times its even part of the capacity a node has that heads itself and is not the root. A request is often
/// larger than the even part; while a third of the nodes are apart, all of them together grant a part of the capacity
/// more, for which the plan leaves room.
const APART: f64 = 3.0;
/// The part of the capacity with which accounts begin where an earlier fleet may have granted the rest.
const HALF: f64 = 0.5;

/// A request is over its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the tenant's quota is used up")]
pub struct QuotaRefusal {
    /// When the quota may bear the request.
    pub retry_after: Duration,
}

/// What decided on a request of a tenant, for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// Units a second that the operator allows.
    pub per_second: f64,
    /// Units that may still be granted, over all nodes that share the level.
    pub level: f64,
    /// Units a second that callers ask for, over the same nodes, as far as known.
    pub demand: f64,
    /// The part of the fleet that shares the level.
    pub part: f64,
    /// The age of what another node told; none where this node heads itself.
    pub report_age: Option<Duration>,
}

/// What was granted, to be given back where the request did not run.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaGrant {
    tenant: TenantId,
    units: f64,
}

/// What this node knows of its place among the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodePosition {
    /// Whether it is the root of the tree.
    pub is_root: bool,
    /// The number of nodes, where it has been counted.
    pub counted: Option<u32>,
    /// The number that is assumed otherwise.
    pub assumed: u32,
}

/// The quotas of all tenants at one node.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    accounts: BTreeMap<TenantId, Account>,
    children: Children,
    told_at: Option<Timestamp>,
    /// The part that was last told.
    told_part: Option<f64>,
    /// What was last known of this node's place.
    place: Option<NodePosition>,
    root_since: Option<Timestamp>,
    most_nodes: Option<(u32, Timestamp)>,
    sharing: Sharing,
    /// The part of the capacity with which an account begins.
    filled: f64,
}

impl QuotaLedger {
    /// A ledger without quotas, of one of `assumed_nodes`. `first_start` tells that no fleet was there before.
    pub fn new(bounds: QuotaBounds, first_start: bool, assumed_nodes: u32) -> Self {
        // Until another node tells anything, this one is one of many.
        let part = 1.0 / f64::from(assumed_nodes.max(1));
        Self {
            bounds,
            accounts: BTreeMap::new(),
            children: Children::default(),
            told_at: None,
            told_part: None,
            place: None,
            root_since: None,
            most_nodes: None,
            sharing: Sharing { part, capacity_part: part, heads: true, shared: false },
            filled: if first_start { 1.0 } else { HALF },
        }
    }

    /// Takes over the quotas of a configuration. Tenants that are not named have none.
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
                None => Account::new(*quota, &self.bounds, self.filled * self.sharing.part, now),
            };
            self.accounts.insert(tenant.clone(), account);
        }
    }

    /// Takes new bounds over, as where the settings have changed.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
        for account in self.accounts.values_mut() {
            account.set_quota(account.quota, &bounds);
        }
    }

    /// Whether any tenant has a quota.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The quota of a tenant, if it has one.
    pub fn quota(&self, tenant: &TenantId) -> Option<&TenantQuota> {
        Some(&self.accounts.get(tenant)?.quota)
    }

    /// Grants a request of `units`, or says when to come back. `draw` is drawn evenly for the request, from 0 to 1.
    pub fn admit(
        &mut self,
        tenant: &TenantId,
        units: f64,
        draw: f64,
        now: Timestamp,
    ) -> Result<Option<QuotaGrant>, QuotaRefusal> {
        self.leave_outdated(now);
        let sharing = self.sharing;
        let Some(account) = self.accounts.get_mut(tenant) else { return Ok(None) };
        account.admit(units, draw, sharing, now)?;
        Ok(Some(QuotaGrant { tenant: tenant.clone(), units }))
    }

    /// What was granted did not run.
    pub fn refund(&mut self, grant: &QuotaGrant) {
        if let Some(account) = self.accounts.get_mut(&grant.tenant) {
            account.refund(grant.units);
        }
    }

    /// What would decide on a request of a tenant now.
    pub fn view(&self, tenant: &TenantId, now: Timestamp) -> Option<QuotaView> {
        let account = self.accounts.get(tenant)?;
        let report_age = self.told_at.map(|at| now.saturating_since(at));
        Some(QuotaView {
            per_second: account.quota.per_second,
            level: account.level(),
            demand: account.demand().max(account.own_demand(now)),
            part: self.sharing.part,
            report_age: report_age.filter(|_| !self.sharing.heads),
        })
    }

    /// Looks at who is heard, and adds up what they ask for; to be called several times a second.
    pub fn tick(&mut self, place: NodePosition, now: Timestamp) {
        self.accounts.values_mut().for_each(|account| account.refill(self.sharing, now));
        self.children.forget_silent(now);
        self.remember_count(place.counted, now);
        let began = self.root_since.is_none() && place.is_root;
        self.root_since = place.is_root.then(|| self.root_since.unwrap_or(now));
        self.place = Some(place);
        if self.is_told(now) && !place.is_root {
            self.sharing = Sharing { shared: true, heads: false, ..self.sharing };
            return;
        }
        self.head_itself(place, began, now);
        self.add_up_demand(now);
    }

    /// The part of the fleet that this node and those below it are, where no other node tells it anything.
    pub fn root_share(&self) -> Option<f64> {
        self.sharing.heads.then_some(self.sharing.part)
    }

    /// Whether another node has told the level lately.
    fn is_told(&self, now: Timestamp) -> bool {
        self.told_at.is_some_and(|at| now.saturating_since(at) < FRESH)
    }

    /// Heads itself where what it was told has grown too old. A process that stood still would else grant by a level of
    /// long before until it next looks at who is heard.
    fn leave_outdated(&mut self, now: Timestamp) {
        let Some(place) = self.place.filter(|_| !self.sharing.heads && !self.is_told(now)) else {
            return;
        };
        self.accounts.values_mut().for_each(|account| account.refill(self.sharing, now));
        self.children.forget_silent(now);
        self.head_itself(place, false, now);
    }

    /// Goes on with this node's part of the level and of the rate, as no other node tells it anything.
    fn head_itself(&mut self, place: NodePosition, began: bool, now: Timestamp) {
        let part = self.part_heard(place, now);
        if began && self.told_part.is_none() {
            self.accounts.values_mut().for_each(|account| account.begin_with(self.filled));
        } else if !self.sharing.heads && !place.is_root {
            // What was told was for all: this node goes on with its part.
            let factor = part / self.sharing.part.max(part);
            self.accounts.values_mut().for_each(|account| account.scale(factor));
        }
        let capacity_part = if place.is_root { part } else { (part * APART).min(1.0) };
        self.sharing = Sharing { part, capacity_part, heads: true, shared: !self.children.is_empty() };
    }

    /// The part of the fleet that this node and those below it are.
    fn part_heard(&self, place: NodePosition, now: Timestamp) -> f64 {
        let settling = self.root_since.is_some_and(|since| now.saturating_since(since) < SETTLING);
        if settling {
            return self.told_part.unwrap_or(1.0);
        }
        let nodes = self.most_nodes.map_or(place.assumed, |(nodes, _)| nodes).max(1);
        (f64::from(self.reporting_nodes()) / f64::from(nodes)).min(1.0)
    }

    fn remember_count(&mut self, counted: Option<u32>, now: Timestamp) {
        let Some(counted) = counted else { return };
        let outdated =
            |(most, at): (u32, Timestamp)| counted >= most || now.saturating_since(at) >= REMEMBERED;
        if self.most_nodes.is_none_or(outdated) {
            self.most_nodes = Some((counted, now));
        }
    }

    /// This node and those below it that were heard lately.
    pub fn reporting_nodes(&self) -> u32 {
        self.children.reporting_nodes().saturating_add(1)
    }

    fn add_up_demand(&mut self, now: Timestamp) {
        let demands = self.children.demands();
        for (tenant, account) in &mut self.accounts {
            let below = demands.get(tenant).copied().unwrap_or_default();
            account.set_demand(below + account.own_demand(now));
        }
    }

    /// A node below has told what it and those below it have granted and were asked for. Gives the number of entries
    /// that were passed over: of tenants without quota, or with figures that make no sense.
    pub fn receive_report(
        &mut self,
        node: NodeId,
        heard: u32,
        spending: Vec<TenantSpending>,
        now: Timestamp,
    ) -> usize {
        let mut demands = Vec::with_capacity(spending.len());
        let mut passed_over = 0;
        for entry in spending {
            let sound = entry.spent.is_finite() && entry.demand.is_finite() && entry.demand >= 0.0;
            match self.accounts.get_mut(&entry.tenant).filter(|_| sound) {
                Some(account) => {
                    account.granted_below(entry.spent);
                    demands.push(TenantDemand { tenant: entry.tenant, per_second: entry.demand });
                }
                None => passed_over += 1,
            }
        }
        self.children.told(node, heard, demands, now);
        passed_over
    }

    /// What a node below is told.
    pub fn digest(&mut self, now: Timestamp) -> QuotaDigest {
        self.leave_outdated(now);
        let sharing = self.sharing;
        let mut credits = Vec::new();
        for (tenant, account) in &mut self.accounts {
            account.refill(sharing, now);
            if account.is_worth_telling(sharing) {
                let (level, demand) = (thousandths(account.level()), thousandths(account.demand()));
                credits.push(TenantCredit { tenant: tenant.clone(), level, demand });
            }
        }
        QuotaDigest { part: sharing.part, credits }
    }

    /// What the node above is told now; to be followed by [`report_answered`](Self::report_answered) or
    /// [`report_failed`](Self::report_failed).
    pub fn report(&mut self, now: Timestamp) -> Vec<TenantSpending> {
        let demands = self.children.demands();
        let mut report = Vec::new();
        for (tenant, account) in &mut self.accounts {
            let below = demands.get(tenant).copied().unwrap_or_default();
            let demand = thousandths(below + account.own_demand(now));
            let spent = thousandths(account.report());
            if spent != 0.0 || account.is_demand_worth_telling(demand) {
                report.push(TenantSpending { tenant: tenant.clone(), spent, demand });
            }
        }
        report
    }

    /// The node above has answered the last report, which was sent at `sent_at`. What it tells was true no earlier: an
    /// answer that was long under way, as where this process stood still, is no reason to draw on the level of all.
    pub fn report_answered(&mut self, digest: &QuotaDigest, sent_at: Timestamp, now: Timestamp) {
        self.accounts.values_mut().for_each(Account::report_answered);
        self.told_at = self.told_at.max(Some(sent_at));
        if !self.is_told(now) {
            self.leave_outdated(now);
            return;
        }
        let part = digest.part.clamp(0.0, 1.0);
        self.told_part = Some(part);
        self.sharing = Sharing { part, capacity_part: part, heads: false, shared: true };
        let credits: BTreeMap<&TenantId, &TenantCredit> =
            digest.credits.iter().map(|credit| (&credit.tenant, credit)).collect();
        for (tenant, account) in &mut self.accounts {
            let credit = credits.get(tenant);
            let demand = credit.map_or(0.0, |credit| credit.demand.max(0.0));
            account.told(credit.map(|credit| credit.level), demand, self.sharing, now);
        }
    }

    /// The node above has not answered the last report: the next one tells the same again.
    pub fn report_failed(&mut self) {
        self.accounts.values_mut().for_each(Account::report_failed);
    }
}

/// Rounds to what a message tells.
fn thousandths(units: f64) -> f64 {
    (units * 1_000.0).round() / 1_000.0
}
