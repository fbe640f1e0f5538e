//! Stores, ages, sums and relays the reports of other nodes.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{NodeId, TenantId},
    quota::{MAX_DIGEST_TENANTS, QuotaDigest, TenantUsage},
    time::Timestamp,
};

/// Times that a node relays one report: enough to reach a few hundred nodes.
const MAX_RELAYS: u32 = 6;

/// JSON bytes around the fields of a digest, including the longest age and the following comma.
const DIGEST_OVERHEAD: usize = 42;

/// JSON bytes around the fields of one tenant's usage, including the following comma.
const TENANT_OVERHEAD: usize = 7;

#[derive(Clone, Debug)]
struct PeerReport {
    digest: QuotaDigest,
    received: Timestamp,
    relays: u32,
}

impl PeerReport {
    fn age(&self, now: Timestamp) -> Duration {
        Duration::from_millis(u64::from(self.digest.age_ms)) + now.saturating_since(self.received)
    }
}

/// The demand and usage of one tenant's quota at all other nodes with current reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerUsage {
    pub requests_per_second: f64,
    pub tokens_per_second: f64,
    /// Concurrent requests that the nodes want to run.
    pub requested_concurrency: f64,
    /// Concurrent requests that run or may be started.
    pub granted_concurrency: f64,
}

impl PeerUsage {
    fn add(&mut self, entry: &TenantUsage) {
        self.requests_per_second += entry.milli_requests_per_second as f64 / 1_000.0;
        self.tokens_per_second += entry.tokens_per_second as f64;
        self.requested_concurrency += f64::from(entry.requested_concurrency);
        self.granted_concurrency += f64::from(entry.granted_concurrency);
    }
}

/// Stores the latest report of each other node.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    reports: BTreeMap<NodeId, PeerReport>,
}

impl PeerReports {
    /// Stores a report that is newer than the known one.
    pub fn receive(&mut self, digest: &QuotaDigest, now: Timestamp) {
        let known = self.reports.get(&digest.node);
        let order = (digest.incarnation, digest.round);
        if known.is_some_and(|known| (known.digest.incarnation, known.digest.round) >= order) {
            return;
        }
        let mut digest = digest.clone();
        digest.tenants.truncate(MAX_DIGEST_TENANTS);
        let node = digest.node.clone();
        self.reports.insert(node, PeerReport { digest, received: now, relays: 0 });
    }

    /// Drops reports older than `max_age`.
    pub fn expire(&mut self, max_age: Duration, now: Timestamp) {
        self.reports.retain(|_, report| report.age(now) <= max_age);
    }

    /// Returns the number of reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Sums all reports by tenant.
    pub fn sums(&self) -> BTreeMap<&TenantId, PeerUsage> {
        let mut sums: BTreeMap<&TenantId, PeerUsage> = BTreeMap::new();
        for entry in self.reports.values().flat_map(|report| &report.digest.tenants) {
            sums.entry(&entry.tenant).or_default().add(entry);
        }
        sums
    }

    /// Returns the reports to relay within `budget` bytes of JSON: the least often relayed first, then the
    /// youngest.
    pub fn relay(&mut self, budget: usize, now: Timestamp) -> Vec<QuotaDigest> {
        let mut waiting: Vec<(u32, Duration, NodeId)> = self
            .reports
            .iter()
            .filter(|(_, report)| report.relays < MAX_RELAYS)
            .map(|(node, report)| (report.relays, report.age(now), node.clone()))
            .collect();
        waiting.sort();
        let mut left = budget;
        let mut chosen = Vec::new();
        for (_, age, node) in waiting {
            let Some(report) = self.reports.get_mut(&node) else { continue };
            let size = encoded_bound(&report.digest);
            if size > left {
                continue;
            }
            left -= size;
            report.relays += 1;
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            chosen.push(QuotaDigest { age_ms, ..report.digest.clone() });
        }
        chosen
    }
}

/// Returns an upper bound of a digest's JSON size, including the following comma.
pub fn encoded_bound(digest: &QuotaDigest) -> usize {
    let tenants: usize = digest.tenants.iter().map(tenant_bound).sum();
    let numbers = digits(digest.incarnation.0) + digits(digest.round);
    DIGEST_OVERHEAD + text_bound(digest.node.as_str()) + numbers + tenants
}

/// Returns an upper bound of the JSON size of one tenant's usage, including the following comma.
pub fn tenant_bound(entry: &TenantUsage) -> usize {
    let rates = digits(entry.milli_requests_per_second) + digits(entry.tokens_per_second);
    let counts = digits(entry.requested_concurrency.into()) + digits(entry.granted_concurrency.into());
    TENANT_OVERHEAD + text_bound(entry.tenant.as_str()) + rates + counts
}

const fn digits(number: u64) -> usize {
    match number.checked_ilog10() {
        Some(log) => log as usize + 1,
        None => 1,
    }
}

fn text_bound(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        0..0x20 => 6,
        b'"' | b'\\' => 2,
        _ => 1,
    };
    2 + text.bytes().map(escaped).sum::<usize>()
}
