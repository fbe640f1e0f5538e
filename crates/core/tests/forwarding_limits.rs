//! The requests of all nodes together to a back end with a rate limit, under any changes, restarts and
//! partitions.

use std::time::Duration;

use bolero::TypeGenerator;
use paddlemount_core::forwarding::{
    announcements::{
        Member,
        rate_limit::{Advertised, TreePosition},
    },
    backends::{BackendEntry, BackendId, Backends},
    replacement::EntrySource,
};
use paddlemount_protocol::{
    fleet::BackendProcess,
    identity::{NodeId, ServiceId, ZoneId},
    time::Timestamp,
};

/// The number of children of a node.
const FAN_IN: usize = 9;
/// The time between two simulation steps, in milliseconds.
const STEP_MS: u64 = 50;
/// The time between two reports of a node.
const REPORT_MS: u64 = 200;
/// The time in which the back end answers.
const ANSWER_MS: u64 = 100;
/// How long a received report counts.
const REPORT_TTL_MS: u64 = 1_500;
/// The window in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// How long after the first limit windows that are checked may end.
const SETTLING_MS: u64 = 3_000;
/// How long after it has observed the limit in an answer a node must enforce it.
const ENFORCED_AFTER_MS: u64 = 500;
/// The time between two requests of all nodes to the back end while it has no limit.
const UNLIMITED_PAUSE_MS: u64 = 150;
/// How long after a restart or a partition a node may exceed the limit.
const RECOVERY_MS: u64 = 3_000;

/// Maximum number of steps in a history, to bound the time of the test.
const MAX_STEPS: usize = 40;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn process() -> BackendProcess {
    BackendProcess { id: BackendId::from("b"), started_at: Some(1) }
}

fn fresh_backends() -> Backends {
    let mut backends = Backends::default();
    let entry = BackendEntry {
        software: None,
        id: BackendId::from("b"),
        service: ServiceId::from("s"),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: ZoneId::from("z"),
        slots: 8,
        leaving: false,
        weights: std::collections::BTreeMap::new(),
        started_at: Some(1),
    };
    backends.apply_entry(entry, EntrySource::Update);
    backends
}

struct Node {
    name: NodeId,
    backends: Backends,
    /// Whether callers send it more than any limit.
    is_busy: bool,
    /// When it sends its next request while there is no limit.
    next_unlimited_at: u64,
    reported_at: Option<u64>,
    partitioned_until: u64,
    /// When it last restarted or was partitioned.
    disturbed_at: Option<u64>,
}

impl Node {
    fn start(number: usize, disturbed_at: Option<u64>) -> Self {
        Self {
            name: NodeId::from(format!("n{number}")),
            backends: fresh_backends(),
            is_busy: true,
            next_unlimited_at: 0,
            reported_at: None,
            partitioned_until: 0,
            disturbed_at,
        }
    }
}

#[derive(Clone, Copy)]
struct Arrival {
    at: u64,
    node: usize,
    limit: Option<f64>,
}

/// A tree of nodes, in which every node but the first reports to its parent by index.
struct Fleet {
    nodes: Vec<Node>,
    limit: Option<f64>,
    /// Limits, each with the time from which it held.
    limits: Vec<(u64, f64)>,
    now: u64,
    arrivals: Vec<Arrival>,
    /// Answers in flight.
    answers: Vec<(u64, usize, u64, Option<f64>)>,
}

impl Fleet {
    fn of(count: usize) -> Self {
        let nodes = (0..count).map(|number| Node::start(number, None)).collect();
        Self { nodes, limit: None, limits: Vec::new(), now: 0, arrivals: Vec::new(), answers: Vec::new() }
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = Some(limit);
        self.limits.push((self.now, limit));
    }

    /// The maximum limit that held at any time from `from` to `to`.
    fn max_limit(&self, from: u64, to: u64) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let held = self.limits.iter().zip(ends).filter(|((at, _), end)| *at <= to && *end > from);
        held.map(|((_, limit), _)| *limit).fold(0.0, f64::max)
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.answer();
            for number in 0..self.nodes.len() {
                self.send(number);
                let phase = (number as u64 * STEP_MS) % REPORT_MS;
                if self.now % REPORT_MS == phase {
                    self.report(number);
                }
            }
        }
    }

    fn answer(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, ..)| *at <= self.now);
        self.answers = later;
        let lately = |arrival: &&Arrival| arrival.at + WINDOW_MS > self.now;
        let sent = self.arrivals.iter().rev().take_while(lately).count() as f64;
        let per_second = sent * 1_000.0 / WINDOW_MS as f64;
        let due: Vec<(u64, usize, u64, Option<f64>)> = due;
        for (_, number, sent_at, limit) in due {
            let observed_at = if limit.is_some() { self.now } else { sent_at };
            let advertised = Advertised { per_second: limit, at: at(observed_at) };
            let announcements = &mut self.nodes[number].backends.announcements;
            announcements.observe_limit(&process(), advertised, per_second, at(self.now));
        }
    }

    fn send(&mut self, number: usize) {
        let (now, id) = (at(self.now), BackendId::from("b"));
        let count = self.nodes.len() as u64;
        let node = &mut self.nodes[number];
        if !node.is_busy || !node.backends.has_permit(&id, now) {
            return;
        }
        if node.backends.announcements.count_limited() == 0 {
            if self.now < node.next_unlimited_at {
                return;
            }
            let pause = UNLIMITED_PAUSE_MS * count;
            // Nodes that start at the same time spread out their requests.
            let first = node.next_unlimited_at == 0;
            node.next_unlimited_at =
                self.now + if first { UNLIMITED_PAUSE_MS * number as u64 } else { pause };
            if first {
                return;
            }
        }
        node.backends.acquire_permit(&id, now);
        self.arrivals.push(Arrival { at: self.now, node: number, limit: self.limit });
        self.answers.push((self.now + ANSWER_MS, number, self.now, self.limit));
    }

    fn children(&self, number: usize) -> impl Iterator<Item = usize> + use<> {
        let first = number * FAN_IN + 1;
        first..(first + FAN_IN).min(self.nodes.len()).max(first)
    }

    fn is_partitioned(&self, number: usize) -> bool {
        self.now < self.nodes[number].partitioned_until
    }

    fn reporting_nodes(&self, number: usize) -> usize {
        let reporting = self.children(number).filter(|child| self.reports_to(*child));
        reporting.map(|child| self.reporting_nodes(child)).sum::<usize>() + 1
    }

    /// Whether a node's parent has received a recent report of it.
    fn reports_to(&self, number: usize) -> bool {
        self.nodes[number].reported_at.is_some_and(|reported| reported + REPORT_TTL_MS > self.now)
    }

    fn report(&mut self, number: usize) {
        let now = at(self.now);
        let parent = (number > 0).then(|| (number - 1) / FAN_IN);
        let reached = parent.filter(|parent| !self.is_partitioned(number) && !self.is_partitioned(*parent));
        if let Some(parent) = reached {
            let gossip = self.nodes[number].backends.announcements.pending_limit_gossip(now);
            self.nodes[parent].backends.announcements.merge_limit_gossip(&gossip, now);
            let name = self.nodes[number].name.clone();
            let grants = self.nodes[parent].backends.announcements.limit_grants_for(&name, now);
            let node = &mut self.nodes[number];
            node.backends.announcements.apply_limit_grants(&grants, now, now);
            node.reported_at = Some(self.now);
        }
        let share = self.reporting_nodes(number) as f64 / self.nodes.len() as f64;
        let root_share = (number == 0 || !self.reports_to(number)).then_some(share);
        let reporting = self.children(number).filter(|child| self.reports_to(*child));
        let members = std::iter::once(number).chain(reporting);
        let demand = |number: usize| if self.nodes[number].is_busy { 20.0 } else { 0.0 };
        let members = members.map(|number| Member::new(self.nodes[number].name.clone(), demand(number)));
        let position = TreePosition {
            node: self.nodes[number].name.clone(),
            root_share,
            nodes: self.nodes.len() as u32,
            members: members.collect(),
        };
        self.nodes[number].backends.announcements.divide_limits(position, now);
    }

    /// The first window with more requests than allowed, as its end, the requests and the allowed number.
    fn exceeded(&self) -> Option<(u64, usize, f64)> {
        let first = self.arrivals.iter().find(|arrival| arrival.limit.is_some())?.at;
        let counts = |end: &&Arrival| end.limit.is_some() && end.at >= first + SETTLING_MS;
        self.arrivals.iter().filter(counts).find_map(|end| {
            let from = end.at.saturating_sub(WINDOW_MS);
            let within: Vec<&Arrival> =
                self.arrivals.iter().filter(|arrival| arrival.at > from && arrival.at <= end.at).collect();
            // A node applies a changed limit as late as the first limit.
            let limit = self.max_limit(from.saturating_sub(ANSWER_MS + ENFORCED_AFTER_MS), end.at);
            let is_bound = |node: usize| {
                let observed = |arrival: &Arrival| {
                    arrival.node == node
                        && arrival.limit.is_some()
                        && arrival.at + ANSWER_MS + ENFORCED_AFTER_MS <= end.at
                };
                let is_recovering = self.nodes[node].disturbed_at.is_some_and(|at| at + RECOVERY_MS > from);
                !is_recovering && self.arrivals.iter().any(observed)
            };
            let received = within.iter().filter(|arrival| is_bound(arrival.node)).count();
            let allowed = 1.5 * limit * 4.0 + 5.0;
            (received as f64 > allowed).then_some((end.at, received, allowed))
        })
    }

    fn count_after(&self, from: u64) -> usize {
        self.arrivals.iter().filter(|arrival| arrival.at > from).count()
    }
}

#[derive(Debug, TypeGenerator)]
enum Step {
    /// The back end sets another limit, in tenths of a request per second.
    SetLimit {
        tenths: u16,
    },
    /// Callers start or stop sending requests to a node.
    Shift {
        node: u8,
        is_busy: bool,
    },
    Restart {
        node: u8,
    },
    /// A node is partitioned from the others for a while.
    Partition {
        node: u8,
        tenths: u8,
    },
    Wait {
        tenths: u8,
    },
}

fn play(count: usize, limit: f64, steps: &[Step]) -> Fleet {
    let mut fleet = Fleet::of(count);
    fleet.advance(2_000);
    fleet.set_limit(limit);
    fleet.advance(1_000);
    for step in steps {
        match step {
            Step::SetLimit { tenths } => fleet.set_limit(f64::from(*tenths % 400) / 10.0),
            Step::Shift { node, is_busy } => fleet.nodes[usize::from(*node) % count].is_busy = *is_busy,
            Step::Restart { node } => {
                let number = usize::from(*node) % count;
                let is_busy = fleet.nodes[number].is_busy;
                fleet.nodes[number] = Node { is_busy, ..Node::start(number, Some(fleet.now)) };
            }
            Step::Partition { node, tenths } => {
                let node = &mut fleet.nodes[usize::from(*node) % count];
                node.partitioned_until = fleet.now + u64::from(*tenths) * 20;
                node.disturbed_at = Some(node.partitioned_until);
            }
            Step::Wait { tenths } => fleet.advance(u64::from(*tenths) * 20),
        }
    }
    fleet.advance(WINDOW_MS);
    fleet
}

#[test]
fn all_nodes_together_keep_to_a_limit_whatever_happens_to_them() {
    bolero::check!().with_type::<(bool, Vec<Step>)>().for_each(|(many, steps)| {
        let fleet = play(if *many { 24 } else { 7 }, 1.1, &steps[..steps.len().min(MAX_STEPS)]);
        assert_eq!(fleet.exceeded(), None, "in {steps:?}");
    });
}

#[test]
fn a_grant_of_a_higher_limit_by_a_root_that_is_out_of_reach_is_reduced() {
    let steps = [
        Step::Wait { tenths: 55 },
        Step::Partition { node: 4, tenths: 77 },
        Step::Partition { node: 221, tenths: 80 },
        Step::SetLimit { tenths: 56900 },
        Step::Shift { node: 43, is_busy: false },
        Step::Wait { tenths: 44 },
        Step::SetLimit { tenths: 40487 },
        Step::Partition { node: 67, tenths: 204 },
        Step::Restart { node: 76 },
        Step::SetLimit { tenths: 17098 },
        Step::Shift { node: 13, is_busy: false },
        Step::Partition { node: 149, tenths: 101 },
        Step::Partition { node: 12, tenths: 107 },
        Step::Restart { node: 153 },
        Step::Restart { node: 125 },
        Step::Restart { node: 130 },
        Step::Wait { tenths: 193 },
        Step::Partition { node: 42, tenths: 103 },
        Step::Shift { node: 48, is_busy: false },
        Step::Partition { node: 120, tenths: 50 },
        Step::Wait { tenths: 139 },
        Step::Restart { node: 139 },
        Step::SetLimit { tenths: 15475 },
        Step::Shift { node: 46, is_busy: false },
        Step::Partition { node: 24, tenths: 141 },
        Step::Partition { node: 87, tenths: 151 },
        Step::Restart { node: 59 },
        Step::SetLimit { tenths: 26878 },
        Step::SetLimit { tenths: 33239 },
        Step::Wait { tenths: 121 },
        Step::Shift { node: 248, is_busy: false },
        Step::Wait { tenths: 176 },
    ];
    let fleet = play(24, 1.1, &steps);
    assert_eq!(fleet.exceeded(), None);
}

/// For limits far below, about at, and above the rate of requests before.
#[test]
fn a_limit_is_kept_to_and_used_by_few_and_many_nodes() {
    for count in [1, 3, 7, 70, 300] {
        for limit in [0.3, 1.1, 5.0, 40.0] {
            let mut fleet = play(count, limit, &[]);
            assert_eq!(fleet.exceeded(), None, "{count} nodes, a limit of {limit}");
            let from = fleet.now;
            fleet.advance(30_000);
            let used = fleet.count_after(from) as f64 / 30.0;
            let max_demand = count as f64 * 20.0;
            let aim = limit.min(max_demand);
            assert!(used <= limit + 0.1, "{count} nodes send {used} a second by a limit of {limit}");
            assert!(used >= aim * 0.8 - 0.1, "{count} nodes send {used} a second by a limit of {limit}");
        }
    }
}

#[test]
fn a_limit_is_used_when_few_nodes_have_callers() {
    let mut fleet = Fleet::of(7);
    for number in 2..7 {
        fleet.nodes[number].is_busy = false;
    }
    fleet.set_limit(5.0);
    fleet.advance(10_000);
    let from = fleet.now;
    fleet.advance(20_000);
    let used = fleet.count_after(from) as f64 / 20.0;
    assert!(used >= 3.0, "two nodes of seven send {used} a second by a limit of 5");
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit_and_one_to_a_later_request_does() {
    let (mut backends, id) = (fresh_backends(), BackendId::from("b"));
    let observe = |backends: &mut Backends, per_second, ms| {
        let advertised = Advertised { per_second, at: at(ms) };
        backends.announcements.observe_limit(&process(), advertised, 0.0, at(1_100))
    };
    assert!(observe(&mut backends, Some(0.0), 1_000).is_some());
    assert!(!backends.has_permit(&id, at(1_100)));
    assert_eq!(observe(&mut backends, None, 900), None);
    assert!(!backends.has_permit(&id, at(1_100)));
    assert!(observe(&mut backends, None, 1_001).is_some());
    assert!(backends.has_permit(&id, at(1_100)));
}

#[test]
fn a_limit_that_returns_through_other_nodes_is_not_new() {
    let mut fleet = Fleet::of(3);
    fleet.set_limit(1.0);
    fleet.advance(3_000);
    fleet.nodes.iter_mut().for_each(|node| node.is_busy = false);
    fleet.advance(1_000);
    for node in &fleet.nodes[1..] {
        assert_eq!(node.backends.announcements.pending_limit_gossip(at(fleet.now)), []);
    }
    let age = |fleet: &Fleet| {
        let grants =
            fleet.nodes[0].backends.announcements.limit_grants_for(&NodeId::from("n1"), at(fleet.now));
        Duration::from_millis(grants[0].limit.age_ms)
    };
    let before = age(&fleet);
    fleet.advance(10_000);
    assert_eq!(age(&fleet), before + Duration::from_secs(10), "it ages while nothing confirms it");
}
