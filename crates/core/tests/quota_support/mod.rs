//! A fleet of nodes in virtual time that grants one tenant's requests, by any of several ways.
//!
//! Nodes report up a tree each 200 ms, as forwarding nodes do; a message takes up to 120 ms, as on a small machine under load.

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

pub const STEP: u64 = 10;
const PERIOD: u64 = 200;
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

/// How nodes decide on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each node has its even part.
    EvenParts,
    /// Shares by settled demand, told by every node to every other each 0.5 s.
    SharesByDemand,
    /// One bucket, whose level is told down the tree.
    ToldLevel,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    Down { until: u64 },
}

struct Node {
    ledger: QuotaLedger,
    shares: Limits,
    life: Life,
    cut: bool,
    next_report: u64,
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// The part of the nodes is cut off from the others for so long.
    Cut { at: u64, part: f64, lasts: u64 },
    /// The part of the nodes is killed and starts again after so long.
    Kill { at: u64, part: f64, lasts: u64 },
    /// The operator sets another rate.
    Rate { at: u64, per_second: f64 },
}

/// What a run showed.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The worst window's units, as a part of the bound.
    pub worst_window: f64,
    /// Of the units within the quota, as a token bucket of the quota's own rate and burst sees them, the part granted.
    pub served_within: f64,
    /// Requests granted, of those asked.
    pub granted: f64,
}

pub struct Fleet {
    way: Way,
    nodes: Vec<Node>,
    random: StdRng,
    now: u64,
    quota: TenantQuota,
    /// Which part of the requests each node gets.
    weights: Vec<f64>,
    asked: f64,
    granted_requests: f64,
    owed: f64,
    owed_granted: f64,
    owed_level: f64,
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
    pub fn new(way: Way, nodes: usize, per_second: f64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let quota = quota(per_second);
        let weights: Vec<f64> = (0..nodes).map(|_| random.random_range(0.4..1.6)).collect();
        let mut fleet = Self {
            way,
            nodes: Vec::new(),
            random,
            now: 0,
            quota,
            weights,
            asked: 0.0,
            granted_requests: 0.0,
            owed: 0.0,
            owed_granted: 0.0,
            owed_level: per_second,
            runs: VecDeque::new(),
            in_window: 0.0,
            worst: 0.0,
            root: 0,
            rate_changed_at: None,
        };
        for index in 0..nodes {
            let node = fleet.fresh(index, true);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn fresh(&mut self, index: usize, first_start: bool) -> Node {
        let now = self.time();
        let mut ledger = QuotaLedger::new(bounds(), first_start, 64);
        ledger.configure([(&tenant(), &self.quota)].into_iter(), now);
        let name = NodeId::from(format!("n{index}").as_str());
        let mut shares = Limits::new(limit_settings(), name, Incarnation(self.now), now);
        shares.configure([(&tenant(), &self.share_quota())].into_iter(), now);
        shares.set_members(self.weights.len() as u32, now);
        let next_report = self.now + self.random.random_range(0..PERIOD);
        Node { ledger, shares, life: Life::Up, cut: false, next_report }
    }

    fn share_quota(&self) -> Quota {
        Quota {
            tokens_per_second: Some(self.quota.per_second),
            requests_per_second: None,
            concurrent_requests: None,
        }
    }

    /// Runs for `lasts` ms, with `demand` tokens a second asked for, by requests as long prompts and short chats.
    pub fn run(&mut self, lasts: u64, demand: f64, troubles: &[Trouble]) {
        let end = self.now + lasts;
        while self.now < end {
            self.trouble(troubles);
            self.revive();
            self.exchange();
            self.arrivals(demand);
            self.now += STEP;
        }
    }

    fn trouble(&mut self, troubles: &[Trouble]) {
        for trouble in troubles {
            match *trouble {
                Trouble::Cut { at, part, lasts } if self.now >= at => {
                    let number = (self.nodes.len() as f64 * part) as usize;
                    let on = self.now < at + lasts;
                    self.nodes.iter_mut().rev().take(number).for_each(|node| node.cut = on);
                }
                Trouble::Kill { at, part, lasts } if self.now / STEP == at / STEP => {
                    let number = (self.nodes.len() as f64 * part) as usize;
                    let until = self.now + lasts;
                    self.nodes.iter_mut().take(number).for_each(|node| node.life = Life::Down { until });
                }
                Trouble::Rate { at, per_second } if self.now / STEP == at / STEP => {
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

    fn revive(&mut self) {
        for index in 0..self.nodes.len() {
            if matches!(self.nodes[index].life, Life::Down { until } if self.now >= until) {
                self.nodes[index] = self.fresh(index, false);
            }
        }
        // The lease of a root that has gone runs out before another one leads; a restarted process takes its own over.
        if self.is_up(self.root) {
            return;
        }
        let restarts = matches!(self.nodes[self.root].life, Life::Down { until } if until < self.now + 3_000);
        if !restarts && let Some(next) = (0..self.nodes.len()).find(|index| self.is_up(*index)) {
            self.root = next;
        }
    }

    fn is_up(&self, index: usize) -> bool {
        self.nodes[index].life == Life::Up && !self.nodes[index].cut
    }

    /// The nodes that stand between the root and their zones, as far as they are up.
    fn between(&self, zone: usize) -> Option<usize> {
        (0..self.nodes.len()).find(|index| index % ZONES == zone && self.is_up(*index))
    }

    fn parent(&self, index: usize) -> Option<usize> {
        let root = self.is_up(self.root).then_some(self.root);
        let between = self.between(index % ZONES).filter(|between| *between != index);
        let parent =
            if root.is_some_and(|root| root % ZONES == index % ZONES) { root } else { between.or(root) };
        parent.filter(|parent| *parent != index && self.is_up(index))
    }

    fn exchange(&mut self) {
        let counted = Some(self.nodes.len() as u32);
        for index in 0..self.nodes.len() {
            if self.nodes[index].life != Life::Up || self.now < self.nodes[index].next_report {
                continue;
            }
            let delay = self.random.random_range(0..120);
            self.nodes[index].next_report = self.now + PERIOD + delay;
            let now = self.time();
            let is_root = index == self.root && self.is_up(index) && self.way != Way::EvenParts;
            self.nodes[index].ledger.tick(NodePosition { is_root, counted, assumed: 64 }, now);
            if self.way == Way::SharesByDemand {
                self.tell_shares(index, now);
                continue;
            }
            if is_root || self.way == Way::EvenParts {
                continue;
            }
            let Some(parent) = self.parent(index) else { continue };
            let report = self.nodes[index].ledger.report(now);
            let heard = self.nodes[index].ledger.reporting_nodes();
            let name = NodeId::from(format!("n{index}").as_str());
            self.nodes[parent].ledger.receive_report(name, heard, report, now);
            let digest = self.nodes[parent].ledger.digest(now);
            self.nodes[index].ledger.report_answered(&digest, now, now);
        }
    }

    /// Shares by demand are given the best case: every node hears every other one at once.
    fn tell_shares(&mut self, index: usize, now: Timestamp) {
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
        let mut expected = demand * STEP as f64 / 1_000.0 / mean;
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                let long = self.random.random_bool(0.45);
                let units = if long {
                    10_000.0 * self.random.random_range(0.3..1.8)
                } else {
                    900.0 * self.random.random_range(0.5..2.0)
                };
                self.arrive(units);
            }
            expected -= 1.0;
        }
        let rate = self.quota.per_second;
        self.owed_level = (self.owed_level + rate * STEP as f64 / 1_000.0).min(self.quota.burst);
    }

    fn arrive(&mut self, units: f64) {
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
        // Callers go to nodes that are up, also to those that are cut off from the others.
        let up = |index: &usize| self.nodes[*index].life == Life::Up;
        let Some(index) = (index..self.nodes.len()).chain(0..index).find(up) else { return };
        let within = self.owed_level >= units;
        if within {
            self.owed_level -= units;
            self.owed += units;
        }
        self.asked += 1.0;
        if self.grant(index, units) {
            self.granted_requests += 1.0;
            self.owed_granted += if within { units } else { 0.0 };
            self.ran(units);
        }
    }

    fn grant(&mut self, index: usize, units: f64) -> bool {
        let now = self.time();
        let draw = self.random.random_range(0.0..1.0);
        let node = &mut self.nodes[index];
        match self.way {
            Way::ToldLevel => {
                let granted: Result<Option<QuotaGrant>, _> = node.ledger.admit(&tenant(), units, draw, now);
                granted.is_ok()
            }
            Way::SharesByDemand => {
                let cost = RequestCost { tokens: units as u32 };
                let granted = node.shares.admit(&tenant(), cost, now).is_ok();
                if granted {
                    node.shares.ended(&tenant(), 0);
                }
                granted
            }
            // A ledger that nobody ever tells anything goes on with its part.
            Way::EvenParts => node.ledger.admit(&tenant(), units, draw, now).is_ok(),
        }
    }

    fn ran(&mut self, units: f64) {
        self.runs.push_back((self.now, units));
        self.in_window += units;
        let window = bounds().window.as_millis() as u64;
        while self.runs.front().is_some_and(|(at, _)| at + window <= self.now) {
            self.in_window -= self.runs.pop_front().map_or(0.0, |(_, units)| units);
        }
        // A lower limit binds one window after it is in force.
        if self.rate_changed_at.is_some_and(|at| self.now < at + window) {
            return;
        }
        self.worst = self.worst.max(self.in_window / bounds().max_units(&self.quota));
    }

    pub fn outcome(&self) -> Outcome {
        Outcome {
            worst_window: self.worst,
            served_within: self.owed_granted / self.owed.max(1.0),
            granted: self.granted_requests / self.asked.max(1.0),
        }
    }
}
