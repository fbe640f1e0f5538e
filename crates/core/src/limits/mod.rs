//! Tenant quotas shared by all nodes.
//!
//! Each node enforces its share of each quota locally. It reports its demand in [`QuotaDigest`]s, which are
//! piggybacked on membership probes, and computes its share from the reports of all nodes. The shares add up
//! to at most the quota while reports arrive within [`LimitSettings::settle`]; `docs/design/limits.md` gives
//! the proof and the maximum overshoot otherwise.
//!
//! Rates are units per second as `f64`; a request is one unit, a token is one unit.

pub mod bucket;
pub mod ledger;
pub mod peer_reports;
pub mod share;
mod tenant;

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    configuration::Quota,
    identity::{Incarnation, NodeId, TenantId},
    quota::{MAX_DIGEST_TENANTS, QuotaDigest, TenantUsage},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use peer_reports::{PeerReports, PeerUsage, encoded_bound, tenant_bound};
use tenant::{TenantLimits, Timing};

/// Up to this cluster size, nodes probe each other often enough that reports need no relaying.
const DIRECT_MEMBERS: u32 = 4;

/// Settings of [`Limits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Interval at which a node reports and recomputes its shares.
    pub interval: Duration,
    /// Fixed part of the time in which a report reaches the other nodes.
    pub settle_base: Duration,
    /// Added to `settle_base` for each node, as reports share a few bytes of each probe.
    pub settle_per_node: Duration,
    /// Allowance for time in flight, which report ages do not include.
    pub transit: Duration,
    /// A node may serve its share of this time at once.
    pub burst: Duration,
    /// Maximum JSON size of one report; tenants that do not fit are left out.
    pub digest_bytes: usize,
}

impl LimitSettings {
    /// Returns the time in which a report reaches all of `members` nodes. Older reports count as missing.
    pub fn settle(&self, members: u32) -> Duration {
        self.settle_base + self.settle_per_node * members
    }

    /// Returns the time after which a report of this node has reached every node whose reports are not
    /// missing here.
    pub fn settled_window(&self, members: u32) -> Duration {
        self.settle(members) + self.transit + self.interval
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            settle_base: Duration::from_secs(3),
            settle_per_node: Duration::from_millis(500),
            transit: Duration::from_millis(500),
            burst: Duration::from_secs(1),
            digest_bytes: 250,
        }
    }
}

/// The cost of a request against its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCost {
    /// Prompt tokens plus the maximum number of generated tokens. Unused tokens are refunded at the end.
    pub tokens: u32,
}

/// The limit that refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitKind {
    Requests,
    Tokens,
    Concurrency,
}

impl LimitKind {
    /// Returns the limit's name in the configuration.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests_per_second",
            Self::Tokens => "tokens_per_second",
            Self::Concurrency => "concurrent_requests",
        }
    }
}

/// A request exceeds its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the tenant's quota of {} is used up", kind.name())]
pub struct LimitRefusal {
    pub kind: LimitKind,
    /// Time until the request would fit if no other request were admitted.
    pub retry_after: Duration,
}

impl From<LimitRefusal> for Refusal {
    fn from(refusal: LimitRefusal) -> Self {
        Self::not_run(RefusalCode::QuotaExceeded, refusal.to_string()).with_retry_after(refusal.retry_after)
    }
}

/// A tenant's quota and this node's share of it, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitView {
    /// The quota over all nodes.
    pub quota: Quota,
    /// This node's current share.
    pub share: Quota,
    pub in_flight: u32,
}

/// Enforces this node's shares of all tenants' quotas.
#[derive(Clone, Debug)]
pub struct Limits {
    settings: LimitSettings,
    node: NodeId,
    members: u32,
    tenants: BTreeMap<TenantId, TenantLimits>,
    reports: PeerReports,
    own: QuotaDigest,
    own_written: Timestamp,
    own_goes_first: bool,
}

impl Limits {
    /// Creates the limits of `node`, without any quota.
    pub fn new(settings: LimitSettings, node: NodeId, incarnation: Incarnation, now: Timestamp) -> Self {
        let own = QuotaDigest { node: node.clone(), incarnation, round: 0, age_ms: 0, tenants: Vec::new() };
        Self {
            settings,
            node,
            members: 1,
            tenants: BTreeMap::new(),
            reports: PeerReports::default(),
            own,
            own_written: now,
            own_goes_first: false,
        }
    }

    /// Replaces the quotas by those of a configuration. Tenants that are not listed have no limit.
    pub fn configure<'a>(&mut self, quotas: impl Iterator<Item = (&'a TenantId, &'a Quota)>, now: Timestamp) {
        let mut before = std::mem::take(&mut self.tenants);
        for (tenant, quota) in quotas {
            let limits = match before.remove(tenant) {
                Some(mut known) => {
                    known.set_quota(*quota, now);
                    known
                }
                None => TenantLimits::new(*quota, now),
            };
            self.tenants.insert(tenant.clone(), limits);
        }
        self.update_shares(now);
    }

    /// Sets the number of existing nodes, this one included. Nodes believed dead must be counted: otherwise
    /// each side of a network partition would use the entire quota.
    pub fn set_members(&mut self, members: u32, now: Timestamp) {
        self.members = members.max(1);
        self.update_shares(now);
    }

    /// Applies reports of other nodes.
    pub fn receive(&mut self, digests: &[QuotaDigest], now: Timestamp) {
        for digest in digests.iter().filter(|digest| digest.node != self.node) {
            self.reports.receive(digest, now);
        }
    }

    /// Closes a report interval. Call every [`LimitSettings::interval`].
    pub fn tick(&mut self, now: Timestamp) {
        let timing = self.timing();
        let mut reports: Vec<(f64, TenantUsage)> = Vec::new();
        for (tenant, limits) in &mut self.tenants {
            let report = limits.close_interval(tenant, &timing, now);
            reports.extend(report.map(|report| (limits.demanded_fraction(), report)));
        }
        reports.sort_by(|left, right| right.0.total_cmp(&left.0));
        self.own.round += 1;
        self.own.tenants.clear();
        let mut bytes = encoded_bound(&self.own);
        for (_, report) in reports {
            bytes += tenant_bound(&report);
            if bytes <= self.settings.digest_bytes && self.own.tenants.len() < MAX_DIGEST_TENANTS {
                self.own.tenants.push(report);
            } else if let Some(limits) = self.tenants.get_mut(&report.tenant) {
                limits.withdraw_report(&timing, now);
            }
        }
        self.own_written = now;
        self.update_shares(now);
    }

    /// Returns the reports to send to another node within `budget` bytes of JSON: this node's own and relayed
    /// ones, which alternate in going first. In small clusters nodes report directly and relay nothing.
    pub fn digests(&mut self, budget: usize, now: Timestamp) -> Vec<QuotaDigest> {
        let age = now.saturating_since(self.own_written).as_millis();
        let own = QuotaDigest { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..self.own.clone() };
        let size = encoded_bound(&own);
        self.reports.expire(self.settings.settle(self.members), now);
        self.own_goes_first = !self.own_goes_first || self.members <= DIRECT_MEMBERS;
        if self.own_goes_first {
            let left = budget.checked_sub(size);
            let mut chosen: Vec<QuotaDigest> = left.map(|_| own).into_iter().collect();
            if self.members > DIRECT_MEMBERS {
                chosen.extend(self.reports.relay(left.unwrap_or(budget), now));
            }
            return chosen;
        }
        let mut chosen = self.reports.relay(budget, now);
        let used: usize = chosen.iter().map(encoded_bound).sum();
        if used + size <= budget {
            chosen.push(own);
        }
        chosen
    }

    /// Admits a request or returns the limit that it exceeds. Each admitted request must be passed to
    /// [`release`](Self::release).
    pub fn admit(
        &mut self,
        tenant: &TenantId,
        cost: RequestCost,
        now: Timestamp,
    ) -> Result<(), LimitRefusal> {
        self.tenants.get_mut(tenant).map_or(Ok(()), |limits| limits.admit(cost, now))
    }

    /// Records that an admitted request has ended with `unused_tokens` of its cost unused.
    pub fn release(&mut self, tenant: &TenantId, unused_tokens: u32) {
        if let Some(limits) = self.tenants.get_mut(tenant) {
            limits.release(unused_tokens);
        }
    }

    /// Returns a tenant's quota and this node's share.
    pub fn view(&self, tenant: &TenantId) -> Option<LimitView> {
        let limits = self.tenants.get(tenant)?;
        Some(LimitView { quota: limits.quota(), share: limits.share(), in_flight: limits.in_flight() })
    }

    /// Returns all tenants that have a quota.
    pub fn tenants(&self) -> impl Iterator<Item = &TenantId> {
        self.tenants.keys()
    }

    /// Returns the number of nodes with a current report, this one included.
    pub fn reporting_nodes(&self) -> u32 {
        u32::try_from(self.reports.len()).unwrap_or(u32::MAX).saturating_add(1)
    }

    fn update_shares(&mut self, now: Timestamp) {
        self.reports.expire(self.settings.settle(self.members), now);
        let timing = self.timing();
        let reporting = self.reporting_nodes();
        let sums = self.reports.sums();
        for (tenant, limits) in &mut self.tenants {
            let others: PeerUsage = sums.get(tenant).copied().unwrap_or_default();
            limits.update_share(&timing, reporting, &others, now);
        }
    }

    fn timing(&self) -> Timing {
        Timing {
            interval: self.settings.interval,
            window: self.settings.settled_window(self.members),
            burst: self.settings.burst,
            members: self.members,
        }
    }
}
