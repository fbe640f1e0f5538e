//! Other nodes through which this one sends requests whose back ends it does not reach itself.
//!
//! Nodes tell each other which services they do not reach, along the tree in which they report. A node knows a
//! bounded sample of the others, newest first; a statement may be late, so a node that is asked and cannot serve
//! says so, and another one is asked.

use std::{
    cmp::{Ordering, Reverse},
    collections::BTreeMap,
    time::Duration,
};

use paddlemount_protocol::{
    fleet::{Contact, Intermediary, Member},
    identity::{NodeId, ServiceId, ZoneId},
    time::Timestamp,
};

/// Nodes that are remembered. One that serves for many others is chosen from as many.
const MAX_KNOWN: usize = 32;
/// Nodes in one message: about 110 bytes each, once in [`SEND_INTERVAL`].
const MAX_SENT: usize = 4;
/// Time between two messages to the same neighbour that contain intermediaries, unless this node's own paths change.
const SEND_INTERVAL: Duration = Duration::from_millis(900);
/// How long a statement is used: it crosses four levels of the tree and may be lost once.
const STATEMENT_TTL: Duration = Duration::from_secs(6);
/// How long a node that serves requests may send nothing before it is checked: longer than most take to answer.
const MAX_QUIET: Duration = Duration::from_millis(300);
/// The cost of a node in another zone, relative to one in this zone with the same load.
const OTHER_ZONE_FACTOR: f64 = 1.5;

/// What is known of another node.
#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// Services that it does not reach.
    unreached: Vec<ServiceId>,
    /// Whether it continues streams only at the software version that a request names.
    checks_software: bool,
    stated_at: Timestamp,
    /// When it could not be reached, or could not serve. It is asked again once it has made a later statement.
    failed_at: Option<Timestamp>,
    /// When it last sent something directly, or was last checked.
    contact_at: Timestamp,
    /// Requests of this node that it serves.
    in_flight: u32,
}

impl Known {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.saturating_since(self.stated_at) < STATEMENT_TTL
    }

    fn may_serve(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.is_fresh(now) && !self.has_failed() && !self.unreached.contains(service)
    }

    fn has_failed(&self) -> bool {
        self.failed_at.is_some_and(|at| at >= self.stated_at)
    }

    /// The load that one more request would make, relative to the node's capacity.
    fn cost(&self, zone: &ZoneId) -> f64 {
        let load = f64::from(self.in_flight + 1) / f64::from(self.member.capacity.max(1));
        if self.member.zone == *zone { load } else { load * OTHER_ZONE_FACTOR }
    }
}

/// What to do about a node that serves requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessCheck {
    /// It was found not to serve.
    Failed,
    /// Check whether its process answers. Nobody else does at the same time.
    Now,
    /// Ask again after this time.
    After(Duration),
}

/// The other nodes that this node knows.
#[derive(Clone, Debug, Default)]
pub struct Intermediaries {
    known: BTreeMap<NodeId, Known>,
    /// When each neighbour was last sent intermediaries.
    sent: BTreeMap<NodeId, Timestamp>,
    /// The services that this node did not reach when it last stated its own paths.
    own_unreached: Vec<ServiceId>,
}

impl Intermediaries {
    /// Records what a neighbour has sent at `sent_at`.
    pub fn receive(&mut self, received: Vec<Intermediary>, local: &NodeId, sent_at: Timestamp) {
        for Intermediary { member, unreached, age_ms, checks_software } in received {
            if member.node == *local {
                continue;
            }
            let stated_at = sent_at - Duration::from_millis(age_ms);
            let known = self.known.entry(member.node.clone()).or_insert_with(|| Known {
                member: member.clone(),
                unreached: Vec::new(),
                checks_software,
                stated_at: Timestamp::ZERO,
                failed_at: None,
                contact_at: Timestamp::ZERO,
                in_flight: 0,
            });
            if stated_at >= known.stated_at {
                known.member = member;
                known.unreached = unreached;
                known.checks_software = checks_software;
                known.stated_at = stated_at;
            }
        }
        self.trim();
    }

    /// The intermediaries to send to `neighbour` now: `own` first, this node with the services that it does not
    /// reach, unless it takes no requests; then others, of which `draw` selects some.
    pub fn message_to(
        &mut self,
        neighbour: &NodeId,
        own: Option<Intermediary>,
        draw: u64,
        now: Timestamp,
    ) -> Vec<Intermediary> {
        let unreached = own.as_ref().map(|own| own.unreached.clone()).unwrap_or_default();
        if unreached != self.own_unreached {
            self.own_unreached = unreached;
            self.sent.clear();
        }
        let sent_at = self.sent.get(neighbour);
        if sent_at.is_some_and(|at| now.saturating_since(*at) < SEND_INTERVAL) {
            return Vec::new();
        }
        self.sent.insert(neighbour.clone(), now);
        let others: Vec<&Known> = self
            .known
            .values()
            .filter(|known| known.is_fresh(now) && known.member.node != *neighbour)
            .collect();
        let start = if others.is_empty() { 0 } else { draw as usize % others.len() };
        let selected = others.iter().cycle().skip(start).take(others.len().min(MAX_SENT - 1));
        let selected = selected.map(|known| Intermediary {
            member: known.member.clone(),
            unreached: known.unreached.clone(),
            age_ms: now.saturating_since(known.stated_at).as_millis() as u64,
            checks_software: known.checks_software,
        });
        own.into_iter().chain(selected).collect()
    }

    /// Chooses a node that reaches the service, other than those in `tried`, and that checks software versions if
    /// `has_begun`: of two that are drawn, the one with
    /// less load, or nearer. All nodes that look for one at the same time so spread over those there are.
    pub fn choose(
        &self,
        service: &ServiceId,
        zone: &ZoneId,
        has_begun: bool,
        tried: impl Fn(&NodeId) -> bool,
        draw: u64,
        now: Timestamp,
    ) -> Option<Contact> {
        let eligible: Vec<&Known> = self
            .known
            .values()
            .filter(|known| known.may_serve(service, now) && !tried(&known.member.node))
            .filter(|known| known.checks_software || !has_begun)
            .collect();
        let count = eligible.len();
        if count == 0 {
            return None;
        }
        let first = draw as usize % count;
        // Another one than the first, if there is one.
        let second = (first + 1 + (draw >> 32) as usize % (count - 1).max(1)) % count;
        let drawn = [eligible[first], eligible[second]];
        let by_cost = |left: &&Known, right: &&Known| {
            left.cost(zone).partial_cmp(&right.cost(zone)).unwrap_or(Ordering::Equal)
        };
        drawn.into_iter().min_by(by_cost).map(|known| known.member.contact())
    }

    /// Whether some other node reaches the service as far as known.
    pub fn has_any(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.known.values().any(|known| known.may_serve(service, now))
    }

    /// Records that a node could not be reached, or could not serve a request.
    pub fn record_failure(&mut self, node: &NodeId, now: Timestamp) {
        if let Some(known) = self.known.get_mut(node) {
            known.failed_at = Some(now);
        }
    }

    /// Counts a request that a node serves for this one.
    pub fn begin(&mut self, node: &NodeId, now: Timestamp) {
        if let Some(known) = self.known.get_mut(node) {
            known.in_flight += 1;
            known.contact_at = known.contact_at.max(now);
        }
    }

    /// Records that a node has sent something.
    pub fn record_contact(&mut self, node: &NodeId, now: Timestamp) {
        if let Some(known) = self.known.get_mut(node) {
            known.contact_at = now;
        }
    }

    /// Whether a node that serves requests has failed, or should be checked now by the caller.
    pub fn next_check(&mut self, node: &NodeId, now: Timestamp) -> LivenessCheck {
        let Some(known) = self.known.get_mut(node) else { return LivenessCheck::Failed };
        if known.has_failed() {
            return LivenessCheck::Failed;
        }
        if now.saturating_since(known.contact_at) < MAX_QUIET {
            return LivenessCheck::After(MAX_QUIET - now.saturating_since(known.contact_at));
        }
        known.contact_at = now;
        LivenessCheck::Now
    }

    /// Records the end of such a request.
    pub fn end(&mut self, node: &NodeId) {
        if let Some(known) = self.known.get_mut(node) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Removes expired statements.
    pub fn sweep(&mut self, now: Timestamp) {
        self.known.retain(|_, known| known.is_fresh(now) || known.in_flight > 0);
        self.sent.retain(|_, at| now.saturating_since(*at) < STATEMENT_TTL);
    }

    /// Keeps the newest statements, and nodes that serve requests.
    fn trim(&mut self) {
        if self.known.len() <= MAX_KNOWN {
            return;
        }
        let mut order: Vec<(bool, Timestamp, NodeId)> = self
            .known
            .values()
            .map(|known| (known.in_flight > 0, known.stated_at, known.member.node.clone()))
            .collect();
        order.sort_by_key(|(is_used, stated_at, _)| Reverse((*is_used, *stated_at)));
        for (_, _, node) in order.drain(MAX_KNOWN..) {
            self.known.remove(&node);
        }
    }
}
