//! Simulates in virtual time a tree of nodes that grants one tenant's requests by one of several strategies.
//! Nodes report to their parent every 200 ms; a message takes up to 120 ms.

use std::{collections::VecDeque, time::Duration};

use paddlemount_core::{
    forwarding::document::{QuotaUnit, TenantQuota},
    limits::{
        LimitSettings, Limits, RequestCost,
        ledger::{NodePosition, QuotaGrant, QuotaLedger, bucket_size::QuotaBounds},
    },
};
use paddlemount_protocol::{
    configuration::Quota,
    identity::{Incarnation, NodeId, TenantId},
    time::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 200;
const ZONES: usize = 3;

pub fn bounds() -> QuotaBounds {
    QuotaBounds { window: Duration::from_secs(8), overage: 0.1, slack: 110_000.0 }
}

pub fn quota(per_second: f64) -> TenantQuota {
    TenantQuota { unit: QuotaUnit::Tokens, per_second, burst: per_second, unstated_tokens: 200 }
}

pub fn tenant() -> TenantId {
    TenantId::from("t")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each node has its even share.
    EvenShares,
    /// Shares by settled demand, which all nodes report to each other every 0.5 s.
    SharesByDemand,
    /// One bucket, whose level is distributed down the tree.
    SharedLevel,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Up,
    Down { until: u64 },
}

struct Node {
    ledger: QuotaLedger,
    shares: Limits,
    state: NodeState,
    is_cut_off: bool,
    next_report: u64,
}

/// A fault or change that affects the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// A fraction of the nodes is partitioned off for `lasts` ms.
    Cut {
        at: u64,
        fraction: f64,
        lasts: u64,
    },
    /// A fraction of the nodes is killed and restarts after `lasts` ms.
    Kill {
        at: u64,
        fraction: f64,
        lasts: u64,
    },
    Rate {
        at: u64,
        per_second: f64,
    },
}

/// The result of a run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Units of the worst window, as a fraction of the bound.
    pub worst_window: f64,
    /// Granted fraction of the units that a token bucket with the quota's rate and burst admits.
    pub served_within: f64,
    /// Granted fraction of all requests.
    pub granted: f64,
}

pub struct Fleet {
    strategy: Strategy,
    nodes: Vec<Node>,
    random: StdRng,
    now: u64,
    quota: TenantQuota,
    /// The relative load of each node.
    weights: Vec<f64>,
    requests: f64,
    granted_requests: f64,
    within_quota: f64,
    within_quota_granted: f64,
    quota_level: f64,
    runs: VecDeque<(u64, f64)>,
    in_window: f64,
    worst: f64,
    root: usize,
    rate_changed_at: Option<u64>,
}

fn limit_settings() -> LimitSettings {
    LimitSettings { settle_per_node: Duration::from_millis(10), ..LimitSettings::default() }
}

impl Fleet {
    pub fn new(strategy: Strategy, nodes: usize, per_second: f64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let quota = quota(per_second);
        let weights: Vec<f64> = (0..nodes).map(|_| random.random_range(0.4..1.6)).collect();
        let mut fleet = Self {
            strategy,
            nodes: Vec::new(),
            random,
            now: 0,
            quota,
            weights,
            requests: 0.0,
            granted_requests: 0.0,
            within_quota: 0.0,
            within_quota_granted: 0.0,
            quota_level: per_second,
            runs: VecDeque::new(),
            in_window: 0.0,
            worst: 0.0,
            root: 0,
            rate_changed_at: None,
        };
        for index in 0..nodes {
            let node = fleet.new_node(index, true);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn new_node(&mut self, index: usize, first_start: bool) -> Node {
        let now = self.time();
        let mut ledger = QuotaLedger::new(bounds(), first_start, 64);
        ledger.configure([(&tenant(), &self.quota)].into_iter(), now);
        let name = NodeId::from(format!("n{index}").as_str());
        let mut shares = Limits::new(limit_settings(), name, Incarnation(self.now), now);
        shares.configure([(&tenant(), &self.share_quota())].into_iter(), now);
        shares.set_members(self.weights.len() as u32, now);
        let next_report = self.now + self.random.random_range(0..REPORT_INTERVAL_MS);
        Node { ledger, shares, state: NodeState::Up, is_cut_off: false, next_report }
    }

    fn share_quota(&self) -> Quota {
        Quota {
            tokens_per_second: Some(self.quota.per_second),
            requests_per_second: None,
            concurrent_requests: None,
        }
    }

    /// Runs for `lasts` ms with a demand of `demand` tokens per second, in requests with long prompts and
    /// short chats.
    pub fn run(&mut self, lasts: u64, demand: f64, disturbances: &[Disturbance]) {
        let end = self.now + lasts;
        while self.now < end {
            self.apply_disturbances(disturbances);
            self.restart_nodes();
            self.exchange();
            self.arrivals(demand);
            self.now += STEP_MS;
        }
    }

    fn apply_disturbances(&mut self, disturbances: &[Disturbance]) {
        for disturbance in disturbances {
            match *disturbance {
                Disturbance::Cut { at, fraction, lasts } if self.now >= at => {
                    let number = (self.nodes.len() as f64 * fraction) as usize;
                    let is_cut_off = self.now < at + lasts;
                    self.nodes.iter_mut().rev().take(number).for_each(|node| node.is_cut_off = is_cut_off);
                }
                Disturbance::Kill { at, fraction, lasts } if self.now / STEP_MS == at / STEP_MS => {
                    let number = (self.nodes.len() as f64 * fraction) as usize;
                    let until = self.now + lasts;
                    self.nodes
                        .iter_mut()
                        .take(number)
                        .for_each(|node| node.state = NodeState::Down { until });
                }
                Disturbance::Rate { at, per_second } if self.now / STEP_MS == at / STEP_MS => {
                    self.quota = quota(per_second);
                    self.rate_changed_at = Some(self.now);
                    let (now, share) = (self.time(), self.share_quota());
                    for node in &mut self.nodes {
                        node.ledger.configure([(&tenant(), &self.quota)].into_iter(), now);
                        node.shares.configure([(&tenant(), &share)].into_iter(), now);
                    }
                }
                _ => {}
            }
        }
    }

    fn restart_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            if matches!(self.nodes[index].state, NodeState::Down { until } if self.now >= until) {
                self.nodes[index] = self.new_node(index, false);
            }
        }
        // The lease of a lost root expires before another node leads; a restarted process resumes its own.
        if self.is_up(self.root) {
            return;
        }
        let restarts =
            matches!(self.nodes[self.root].state, NodeState::Down { until } if until < self.now + 3_000);
        if !restarts && let Some(next) = (0..self.nodes.len()).find(|index| self.is_up(*index)) {
            self.root = next;
        }
    }

    fn is_up(&self, index: usize) -> bool {
        self.nodes[index].state == NodeState::Up && !self.nodes[index].is_cut_off
    }

    /// The intermediate node of a zone, if one is up.
    fn intermediate(&self, zone: usize) -> Option<usize> {
        (0..self.nodes.len()).find(|index| index % ZONES == zone && self.is_up(*index))
    }

    fn parent(&self, index: usize) -> Option<usize> {
        let root = self.is_up(self.root).then_some(self.root);
        let intermediate = self.intermediate(index % ZONES).filter(|intermediate| *intermediate != index);
        let parent =
            if root.is_some_and(|root| root % ZONES == index % ZONES) { root } else { intermediate.or(root) };
        parent.filter(|parent| *parent != index && self.is_up(index))
    }

    fn exchange(&mut self) {
        let counted = Some(self.nodes.len() as u32);
        for index in 0..self.nodes.len() {
            if self.nodes[index].state != NodeState::Up || self.now < self.nodes[index].next_report {
                continue;
            }
            let delay = self.random.random_range(0..120);
            self.nodes[index].next_report = self.now + REPORT_INTERVAL_MS + delay;
            let now = self.time();
            let is_root = index == self.root && self.is_up(index) && self.strategy != Strategy::EvenShares;
            self.nodes[index].ledger.tick(NodePosition { is_root, counted, assumed: 64 }, now);
            if self.strategy == Strategy::SharesByDemand {
                self.exchange_shares(index, now);
                continue;
            }
            if is_root || self.strategy == Strategy::EvenShares {
                continue;
            }
            let Some(parent) = self.parent(index) else { continue };
            let report = self.nodes[index].ledger.report(now);
            let reporting = self.nodes[index].ledger.reporting_nodes();
            let name = NodeId::from(format!("n{index}").as_str());
            self.nodes[parent].ledger.receive_report(name, reporting, report, now);
            let digest = self.nodes[parent].ledger.digest(now);
            self.nodes[index].ledger.report_answered(&digest, now, now);
        }
    }

    /// Exchanges shares in the best case: every node reaches all others at once.
    fn exchange_shares(&mut self, index: usize, now: Timestamp) {
        self.nodes[index].shares.tick(now);
        if !self.is_up(index) {
            return;
        }
        let digests = self.nodes[index].shares.digests(10_000, now);
        for other in 0..self.nodes.len() {
            if other != index && self.is_up(other) {
                self.nodes[other].shares.receive(&digests, now);
            }
        }
    }

    fn arrivals(&mut self, demand: f64) {
        let mean = 5_200.0;
        let mut expected = demand * STEP_MS as f64 / 1_000.0 / mean;
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                let long = self.random.random_bool(0.45);
                let units = if long {
                    10_000.0 * self.random.random_range(0.3..1.8)
                } else {
                    900.0 * self.random.random_range(0.5..2.0)
                };
                self.handle_request(units);
            }
            expected -= 1.0;
        }
        let rate = self.quota.per_second;
        self.quota_level = (self.quota_level + rate * STEP_MS as f64 / 1_000.0).min(self.quota.burst);
    }

    fn handle_request(&mut self, units: f64) {
        let total: f64 = self.weights.iter().sum();
        let mut at = self.random.random_range(0.0..total);
        let index = self
            .weights
            .iter()
            .position(|weight| {
                at -= weight;
                at <= 0.0
            })
            .unwrap_or(0);
        // Callers reach all nodes that are up, including partitioned ones.
        let up = |index: &usize| self.nodes[*index].state == NodeState::Up;
        let Some(index) = (index..self.nodes.len()).chain(0..index).find(up) else { return };
        let within = self.quota_level >= units;
        if within {
            self.quota_level -= units;
            self.within_quota += units;
        }
        self.requests += 1.0;
        if self.grant(index, units) {
            self.granted_requests += 1.0;
            self.within_quota_granted += if within { units } else { 0.0 };
            self.record_run(units);
        }
    }

    fn grant(&mut self, index: usize, units: f64) -> bool {
        let now = self.time();
        let draw = self.random.random_range(0.0..1.0);
        let node = &mut self.nodes[index];
        match self.strategy {
            Strategy::SharedLevel => {
                let granted: Result<Option<QuotaGrant>, _> = node.ledger.admit(&tenant(), units, draw, now);
                granted.is_ok()
            }
            Strategy::SharesByDemand => {
                let cost = RequestCost { tokens: units as u32 };
                let granted = node.shares.admit(&tenant(), cost, now).is_ok();
                if granted {
                    node.shares.release(&tenant(), 0);
                }
                granted
            }
            // A ledger without a parent continues with its share.
            Strategy::EvenShares => node.ledger.admit(&tenant(), units, draw, now).is_ok(),
        }
    }

    fn record_run(&mut self, units: f64) {
        self.runs.push_back((self.now, units));
        self.in_window += units;
        let window = bounds().window.as_millis() as u64;
        while self.runs.front().is_some_and(|(at, _)| at + window <= self.now) {
            self.in_window -= self.runs.pop_front().map_or(0.0, |(_, units)| units);
        }
        // A lower limit applies one window after it is in force.
        if self.rate_changed_at.is_some_and(|at| self.now < at + window) {
            return;
        }
        self.worst = self.worst.max(self.in_window / bounds().max_units(&self.quota));
    }

    pub fn outcome(&self) -> Outcome {
        Outcome {
            worst_window: self.worst,
            served_within: self.within_quota_granted / self.within_quota.max(1.0),
            granted: self.granted_requests / self.requests.max(1.0),
        }
    }
}
