//! The outcomes of all nodes' requests, summed up on their way to the root and sent down again.
//!
//! Outcomes lose weight with their age at each node alike, so sums stay sums. Repeated messages replace those
//! before them. Messages may be late or missing: a node then uses the outcomes of its subtree.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::{OutcomeSum, PoolRates},
    identity::{NodeId, ServiceId},
    time::Timestamp,
};

use super::Forecaster;
use crate::forwarding::received::Received;

/// How often unchanged sums are sent: they have about 2 KB.
const SEND_INTERVAL: Duration = Duration::from_millis(900);
/// The growth in the number of outcomes with which sums are sent at once, so that rates are known soon after
/// traffic starts.
const SENT_GROWTH: (u64, u64) = (5, 4);
/// How long received sums are used: some of those sent may be lost.
const RECEIVED_TTL: Duration = Duration::from_secs(3);

/// The forecasters of a node, by service.
pub type Forecasters = BTreeMap<ServiceId, Forecaster>;

/// What was last sent to a neighbour.
#[derive(Clone, Copy, Debug)]
struct Sent {
    count_per_mille: u64,
    at: Timestamp,
}

/// The sums that a node knows.
#[derive(Debug, Default)]
pub struct SharedRates {
    children: BTreeMap<NodeId, Received<PoolRates>>,
    total: Option<Received<PoolRates>>,
    is_root: bool,
    sent_to_parent: Option<Sent>,
    sent_to_children: BTreeMap<NodeId, Sent>,
}

impl SharedRates {
    /// Records the sums of a child's subtree; an empty message repeats the previous one for as long as it is
    /// fresh.
    pub fn record_report(&mut self, child: NodeId, rates: Vec<PoolRates>, now: Timestamp) {
        if !rates.is_empty() {
            self.children.insert(child, Received::new(rates, RECEIVED_TTL, now));
        }
    }

    /// Records the sums of all nodes, as the parent knows them.
    pub fn record_total(&mut self, rates: Vec<PoolRates>, now: Timestamp) {
        if !rates.is_empty() {
            self.total = Some(Received::new(rates, RECEIVED_TTL, now));
        }
    }

    /// Updates the role of this node, and removes expired sums.
    pub fn tick(&mut self, is_root: bool, now: Timestamp) {
        self.is_root = is_root;
        let children = &mut self.children;
        children.retain(|_, received| received.fresh(now).is_some());
        self.sent_to_children.retain(|child, _| children.contains_key(child));
    }

    /// The sums of all nodes, as known to this one; those of its subtree if it is cut off.
    pub fn known(&self, forecasters: &Forecasters, now: Timestamp) -> Vec<PoolRates> {
        self.total(now).map_or_else(|| self.subtree(forecasters, now), <[PoolRates]>::to_vec)
    }

    /// The sums of this subtree for the parent; empty if they are not due.
    pub fn report(&mut self, forecasters: &Forecasters, now: Timestamp) -> Vec<PoolRates> {
        let rates = self.subtree(forecasters, now);
        let Some(sent) = due(self.sent_to_parent, &rates, now) else { return Vec::new() };
        self.sent_to_parent = Some(sent);
        rates
    }

    /// The sums of all nodes for a child; empty if they are unknown or not due.
    pub fn digest_for(
        &mut self,
        child: &NodeId,
        forecasters: &Forecasters,
        now: Timestamp,
    ) -> Vec<PoolRates> {
        let rates = if self.is_root {
            self.subtree(forecasters, now)
        } else {
            self.total(now).unwrap_or_default().to_vec()
        };
        let before = self.sent_to_children.get(child).copied();
        let Some(sent) = due(before, &rates, now) else { return Vec::new() };
        self.sent_to_children.insert(child.clone(), sent);
        rates
    }

    fn total(&self, now: Timestamp) -> Option<&[PoolRates]> {
        self.total.as_ref().filter(|_| !self.is_root)?.fresh(now)
    }

    fn subtree(&self, forecasters: &Forecasters, now: Timestamp) -> Vec<PoolRates> {
        let own = forecasters.iter().map(|(service, forecaster)| forecaster.own_rates(service, now));
        let mut sums = BTreeMap::new();
        own.filter(|own| !own.outcomes.is_empty()).for_each(|own| add(&mut sums, &own));
        let received = self.children.values().filter_map(|received| received.fresh(now));
        received.flatten().for_each(|rates| add(&mut sums, rates));
        sums.into_values().collect()
    }
}

/// What is recorded of a message that is sent now; `None` if it is not due.
fn due(before: Option<Sent>, rates: &[PoolRates], now: Timestamp) -> Option<Sent> {
    let counts = rates.iter().flat_map(|rates| &rates.outcomes).map(|sum| sum.count_per_mille);
    let count_per_mille = counts.fold(0, u64::saturating_add);
    let has_grown = |before: Sent| {
        count_per_mille.saturating_mul(SENT_GROWTH.1) > before.count_per_mille.saturating_mul(SENT_GROWTH.0)
    };
    let is_due =
        before.is_none_or(|before| now.saturating_since(before.at) >= SEND_INTERVAL || has_grown(before));
    is_due.then_some(Sent { count_per_mille, at: now })
}

fn add(sums: &mut BTreeMap<ServiceId, PoolRates>, rates: &PoolRates) {
    let Some(total) = sums.get_mut(&rates.service) else {
        sums.insert(rates.service.clone(), rates.clone());
        return;
    };
    total.judged_per_mille = total.judged_per_mille.saturating_add(rates.judged_per_mille);
    total.close_per_mille = total.close_per_mille.saturating_add(rates.close_per_mille);
    for outcome in &rates.outcomes {
        match total.outcomes.binary_search_by_key(&outcome.cell, |sum| sum.cell) {
            Ok(index) => add_outcome(&mut total.outcomes[index], outcome),
            Err(index) => total.outcomes.insert(index, *outcome),
        }
    }
}

fn add_outcome(sum: &mut OutcomeSum, outcome: &OutcomeSum) {
    sum.count_per_mille = sum.count_per_mille.saturating_add(outcome.count_per_mille);
    sum.tokens = sum.tokens.saturating_add(outcome.tokens);
    sum.requests_per_mille = sum.requests_per_mille.saturating_add(outcome.requests_per_mille);
    sum.micros = sum.micros.saturating_add(outcome.micros);
}
