//! The demand of callers for the engines of a service: of this node, of its subtree, and of all nodes.
//!
//! By Little's law, requests that arrive at a rate and occupy slots for some time need rate times time slots.
//! Requests count when they arrive, whether or not they are admitted. Demands are summed on their way to the
//! root, and the sums of all nodes are sent down. Both may be late or missing.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use paddlemount_protocol::{
    fleet::PoolDemand,
    identity::{NodeId, ServiceId},
    time::Timestamp,
};

use super::received::Received;
use crate::recent_rate::RecentRate;

/// The time constant of a demand: shorter follows single requests, longer lags behind a burst.
const DEMAND_DECAY: Duration = Duration::from_secs(1);
/// How long a report or a total is used. Reports come five times a second, so some may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// How long a node must have been the root before its sum counts as the demand of all nodes.
const ROOT_DELAY: Duration = Duration::from_secs(2);
/// How long a node's share of the demand must have lasted before it counts as settled: other nodes have given up
/// by then what their callers no longer need.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// The demand in slots below which an entry is left out of messages.
const MIN_REPORTED_SLOTS: f64 = 0.001;

/// The demand of one node's callers for one service.
#[derive(Clone, Copy, Debug)]
struct OwnDemand {
    slot_seconds: RecentRate,
    long_prompt_tokens: RecentRate,
}

/// The demands that a node knows.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    own: BTreeMap<ServiceId, OwnDemand>,
    children: BTreeMap<NodeId, Received<PoolDemand>>,
    total: Option<Received<PoolDemand>>,
    root_since: Option<Timestamp>,
    /// This node's recent shares of the demand of all nodes, from 0 to 1.
    shares: BTreeMap<ServiceId, VecDeque<(Timestamp, f64)>>,
}

impl Demand {
    /// Records a request that arrived and would occupy engines for `slot_seconds`, the product of its slots
    /// and its duration.
    pub fn record(
        &mut self,
        service: &ServiceId,
        slot_seconds: f64,
        long_prompt_tokens: u64,
        now: Timestamp,
    ) {
        let own = self.own.entry(service.clone()).or_insert_with(|| OwnDemand {
            slot_seconds: RecentRate::new(DEMAND_DECAY),
            long_prompt_tokens: RecentRate::new(DEMAND_DECAY),
        });
        own.slot_seconds.add(slot_seconds, now);
        own.long_prompt_tokens.add(long_prompt_tokens as f64, now);
    }

    /// Records the demand of a child's subtree.
    pub fn record_report(&mut self, child: NodeId, demand: Vec<PoolDemand>, now: Timestamp) {
        self.children.insert(child, Received::new(demand, REPORT_TTL, now));
    }

    /// Records the demand of all nodes, as the parent knows it.
    pub fn record_total(&mut self, demand: Vec<PoolDemand>, now: Timestamp) {
        // A parent that knows no total sends none: the previous one expires.
        if !demand.is_empty() {
            self.total = Some(Received::new(demand, REPORT_TTL, now));
        }
    }

    /// Updates the role of this node, and removes expired reports.
    pub fn tick(&mut self, is_root: bool, now: Timestamp) {
        self.root_since = is_root.then(|| self.root_since.unwrap_or(now));
        self.children.retain(|_, report| report.fresh(now).is_some());
        self.record_shares(now);
    }

    fn record_shares(&mut self, now: Timestamp) {
        let mut shares = std::mem::take(&mut self.shares);
        let totals = self.totals(now);
        shares.retain(|service, _| totals.iter().any(|total| total.service == *service));
        for total in totals.iter().filter(|total| total.slots > 0.0) {
            let own = self.own_slots(&total.service, now);
            let recent = shares.entry(total.service.clone()).or_default();
            // The total may be older than the node's own demand.
            recent.push_back((now, own / total.slots.max(own)));
            // The first sample covers the time up to the second one.
            while recent.get(1).is_some_and(|(at, _)| now.saturating_since(*at) >= SETTLE_TIME) {
                recent.pop_front();
            }
        }
        self.shares = shares;
    }

    /// This node's share of the demand of all nodes for a service, from 0 to 1; `None` if it is unknown.
    pub fn share(&self, service: &ServiceId) -> Option<f64> {
        self.shares.get(service)?.back().map(|(_, share)| *share)
    }

    /// The share that this node's demand has had at least for [`SETTLE_TIME`]; `None` if it is not known for so
    /// long.
    pub fn settled_share(&self, service: &ServiceId, now: Timestamp) -> Option<f64> {
        let recent = self.shares.get(service)?;
        recent.front().filter(|(at, _)| now.saturating_since(*at) >= SETTLE_TIME)?;
        recent.iter().map(|(_, share)| *share).reduce(f64::min)
    }

    /// The demand of this node's callers.
    pub fn own(&self, now: Timestamp) -> Vec<PoolDemand> {
        let demand = |(service, own): (&ServiceId, &OwnDemand)| PoolDemand {
            service: service.clone(),
            slots: own.slot_seconds.per_second(now),
            long_prompt_tokens: own.long_prompt_tokens.per_second(now),
        };
        self.own.iter().map(demand).filter(|demand| demand.slots >= MIN_REPORTED_SLOTS).collect()
    }

    /// The slots that this node's callers demand of a service.
    pub fn own_slots(&self, service: &ServiceId, now: Timestamp) -> f64 {
        self.own.get(service).map_or(0.0, |own| own.slot_seconds.per_second(now))
    }

    /// The demand of this node's subtree, for its parent.
    pub fn subtree(&self, now: Timestamp) -> Vec<PoolDemand> {
        let mut sum = BTreeMap::new();
        add(&mut sum, &self.own(now));
        for report in self.children.values().filter_map(|report| report.fresh(now)) {
            add(&mut sum, report);
        }
        sum.into_values().collect()
    }

    /// The demand of all nodes, for children; empty if it is unknown.
    pub fn totals(&self, now: Timestamp) -> Vec<PoolDemand> {
        match self.root_since {
            Some(since) if now.saturating_since(since) >= ROOT_DELAY => self.subtree(now),
            _ => self.total.as_ref().and_then(|total| total.fresh(now)).unwrap_or_default().to_vec(),
        }
    }

    /// The demand of all nodes for a service; `None` if it is unknown.
    pub fn total(&self, service: &ServiceId, now: Timestamp) -> Option<PoolDemand> {
        self.totals(now).into_iter().find(|total| total.service == *service)
    }
}

fn add(sum: &mut BTreeMap<ServiceId, PoolDemand>, demand: &[PoolDemand]) {
    // Messages of other nodes are not trusted to hold numbers that can be divided by.
    for entry in demand.iter().filter(|entry| entry.slots.is_finite() && entry.slots >= 0.0) {
        match sum.get_mut(&entry.service) {
            Some(total) => {
                total.slots += entry.slots;
                total.long_prompt_tokens += entry.long_prompt_tokens;
            }
            None => {
                sum.insert(entry.service.clone(), entry.clone());
            }
        }
    }
}
