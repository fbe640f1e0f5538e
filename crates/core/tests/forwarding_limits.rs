//! The sum of what nodes send to a back end that has named a limit, over any statements, starts, cuts and demand.

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

/// Nodes that report to one node.
const FAN_IN: usize = 9;
/// The time between two looks at a node, in milliseconds.
const STEP_MS: u64 = 50;
/// The time between two reports of a node.
const REPORT_MS: u64 = 200;
/// The time in which the back end answers.
const ANSWER_MS: u64 = 100;
/// How long what a node was told holds, and how long one counts that says nothing.
const FRESH_MS: u64 = 1_500;
/// The window in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// From how long after the limit was first named windows end that count.
const CONTACT_MS: u64 = 3_000;
/// How long after it has heard the limit in an answer a node is bound.
const BOUND_AFTER_MS: u64 = 500;
/// The time between two requests of all nodes to the back end while it names no limit: others serve as well.
const UNLIMITED_PAUSE_MS: u64 = 150;
/// How long after a start or a cut a node is excused.
const EXCUSED_MS: u64 = 3_000;

/// Steps of a history at most: further ones show no more and take time.
const MOST_STEPS: usize = 40;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn process() -> BackendProcess {
    BackendProcess { id: BackendId::from("b"), born: Some(1) }
}

fn fresh_backends() -> Backends {
    let mut backends = Backends::default();
    let entry = BackendEntry {
        id: BackendId::from("b"),
        service: ServiceId::from("s"),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: ZoneId::from("z"),
        slots: 8,
        leaving: false,
        weights: std::collections::BTreeMap::new(),
        born: Some(1),
    };
    backends.apply_entry(entry, EntrySource::Update);
    backends
}

struct Node {
    name: NodeId,
    backends: Backends,
    /// Whether callers ask it for more than any limit.
    is_busy: bool,
    /// When it next sends a request there while it knows of no limit.
    next_unlimited_at: u64,
    told_at: Option<u64>,
    cut_until: u64,
    /// When it was last started or cut.
    disturbed_at: Option<u64>,
}

impl Node {
    fn start(number: usize, disturbed_at: Option<u64>) -> Self {
        Self {
            name: NodeId::from(format!("n{number}")),
            backends: fresh_backends(),
            is_busy: true,
            next_unlimited_at: 0,
            told_at: None,
            cut_until: 0,
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

/// Nodes in a tree: each node but the first reports to the one that stands before it by the number of those that one takes.
struct Fleet {
    nodes: Vec<Node>,
    limit: Option<f64>,
    /// Limits, each with the time from which it was named.
    named: Vec<(u64, f64)>,
    now: u64,
    arrivals: Vec<Arrival>,
    /// Answers on their way.
    answers: Vec<(u64, usize, u64, Option<f64>)>,
}

impl Fleet {
    fn of(count: usize) -> Self {
        let nodes = (0..count).map(|number| Node::start(number, None)).collect();
        Self { nodes, limit: None, named: Vec::new(), now: 0, arrivals: Vec::new(), answers: Vec::new() }
    }

    fn name(&mut self, limit: f64) {
        self.limit = Some(limit);
        self.named.push((self.now, limit));
    }

    /// The greatest limit that held at any time from one moment to another.
    fn greatest_limit(&self, from: u64, to: u64) -> f64 {
        let ends = self.named.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let held = self.named.iter().zip(ends).filter(|((at, _), end)| *at <= to && *end > from);
        held.map(|((_, limit), _)| *limit).fold(0.0, f64::max)
    }

    fn pass(&mut self, ms: u64) {
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
            let stated_at = if limit.is_some() { self.now } else { sent_at };
            let stated = Advertised { per_second: limit, at: at(stated_at) };
            let announcements = &mut self.nodes[number].backends.announcements;
            announcements.observe_limit(&process(), stated, per_second, at(self.now));
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
            // Nodes that begin at the same moment spread out.
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

    fn is_cut(&self, number: usize) -> bool {
        self.now < self.nodes[number].cut_until
    }

    fn heard(&self, number: usize) -> usize {
        let below = self.children(number).filter(|child| self.reports_to(*child));
        below.map(|child| self.heard(child)).sum::<usize>() + 1
    }

    /// Whether the node above has heard of a node lately.
    fn reports_to(&self, number: usize) -> bool {
        self.nodes[number].told_at.is_some_and(|told| told + FRESH_MS > self.now)
    }

    fn report(&mut self, number: usize) {
        let now = at(self.now);
        let parent = (number > 0).then(|| (number - 1) / FAN_IN);
        let reached = parent.filter(|parent| !self.is_cut(number) && !self.is_cut(*parent));
        if let Some(parent) = reached {
            let news = self.nodes[number].backends.announcements.pending_limit_gossip(now);
            self.nodes[parent].backends.announcements.merge_limit_gossip(&news, now);
            let name = self.nodes[number].name.clone();
            let grants = self.nodes[parent].backends.announcements.limit_grants_for(&name, now);
            let node = &mut self.nodes[number];
            node.backends.announcements.apply_limit_grants(&grants, now, now);
            node.told_at = Some(self.now);
        }
        let part = self.heard(number) as f64 / self.nodes.len() as f64;
        let root_share = (number == 0 || !self.reports_to(number)).then_some(part);
        let below = self.children(number).filter(|child| self.reports_to(*child));
        let members = std::iter::once(number).chain(below);
        let asked = |number: usize| if self.nodes[number].is_busy { 20.0 } else { 0.0 };
        let members = members.map(|number| Member::new(self.nodes[number].name.clone(), asked(number)));
        let place = TreePosition {
            node: self.nodes[number].name.clone(),
            root_share,
            nodes: self.nodes.len() as u32,
            members: members.collect(),
        };
        self.nodes[number].backends.announcements.divide_limits(place, now);
    }

    /// The window that holds most of what counts, against what it allows; none where all hold less.
    fn exceeded(&self) -> Option<(u64, usize, f64)> {
        let first = self.arrivals.iter().find(|arrival| arrival.limit.is_some())?.at;
        let counts = |end: &&Arrival| end.limit.is_some() && end.at >= first + CONTACT_MS;
        self.arrivals.iter().filter(counts).find_map(|end| {
            let from = end.at.saturating_sub(WINDOW_MS);
            let within: Vec<&Arrival> =
                self.arrivals.iter().filter(|one| one.at > from && one.at <= end.at).collect();
            // A node is bound by another limit as late as by the first one.
            let limit = self.greatest_limit(from.saturating_sub(ANSWER_MS + BOUND_AFTER_MS), end.at);
            let is_bound = |node: usize| {
                let heard = |one: &Arrival| {
                    one.node == node && one.limit.is_some() && one.at + ANSWER_MS + BOUND_AFTER_MS <= end.at
                };
                let excused = self.nodes[node].disturbed_at.is_some_and(|at| at + EXCUSED_MS > from);
                !excused && self.arrivals.iter().any(heard)
            };
            let got = within.iter().filter(|one| is_bound(one.node)).count();
            let allowed = 1.5 * limit * 4.0 + 5.0;
            (got as f64 > allowed).then_some((end.at, got, allowed))
        })
    }

    fn count_after(&self, from: u64) -> usize {
        self.arrivals.iter().filter(|arrival| arrival.at > from).count()
    }
}

#[derive(Debug, TypeGenerator)]
enum Step {
    /// The back end names another limit, in tenths of a request a second.
    Name { tenths: u16 },
    /// Callers come to a node, or leave it.
    Shift { node: u8, is_busy: bool },
    /// A node's process starts again.
    Restart { node: u8 },
    /// A node and the others do not reach each other for a while.
    Cut { node: u8, tenths: u8 },
    /// Time passes.
    Wait { tenths: u8 },
}

fn play(count: usize, limit: f64, steps: &[Step]) -> Fleet {
    let mut fleet = Fleet::of(count);
    fleet.pass(2_000);
    fleet.name(limit);
    fleet.pass(1_000);
    for step in steps {
        match step {
            Step::Name { tenths } => fleet.name(f64::from(*tenths % 400) / 10.0),
            Step::Shift { node, is_busy } => fleet.nodes[usize::from(*node) % count].is_busy = *is_busy,
            Step::Restart { node } => {
                let number = usize::from(*node) % count;
                let is_busy = fleet.nodes[number].is_busy;
                fleet.nodes[number] = Node { is_busy, ..Node::start(number, Some(fleet.now)) };
            }
            Step::Cut { node, tenths } => {
                let node = &mut fleet.nodes[usize::from(*node) % count];
                node.cut_until = fleet.now + u64::from(*tenths) * 20;
                node.disturbed_at = Some(node.cut_until);
            }
            Step::Wait { tenths } => fleet.pass(u64::from(*tenths) * 20),
        }
    }
    fleet.pass(WINDOW_MS);
    fleet
}

#[test]
fn all_nodes_together_keep_to_a_limit_whatever_happens_to_them() {
    bolero::check!().with_type::<(bool, Vec<Step>)>().for_each(|(many, steps)| {
        let fleet = play(if *many { 24 } else { 7 }, 1.1, &steps[..steps.len().min(MOST_STEPS)]);
        assert_eq!(fleet.exceeded(), None, "in {steps:?}");
    });
}

/// Where a limit is far below what came before, where it is about that, and where it is above.
#[test]
fn a_limit_is_kept_to_and_used_by_few_and_many_nodes() {
    for count in [1, 3, 7, 70, 300] {
        for limit in [0.3, 1.1, 5.0, 40.0] {
            let mut fleet = play(count, limit, &[]);
            assert_eq!(fleet.exceeded(), None, "{count} nodes, a limit of {limit}");
            let from = fleet.now;
            fleet.pass(30_000);
            let used = fleet.count_after(from) as f64 / 30.0;
            let most_asked = count as f64 * 20.0;
            let aim = limit.min(most_asked);
            assert!(used <= limit + 0.1, "{count} nodes send {used} a second by a limit of {limit}");
            assert!(used >= aim * 0.8 - 0.1, "{count} nodes send {used} a second by a limit of {limit}");
        }
    }
}

#[test]
fn a_limit_is_used_where_callers_are_at_few_of_the_nodes() {
    let mut fleet = Fleet::of(7);
    for number in 2..7 {
        fleet.nodes[number].is_busy = false;
    }
    fleet.name(5.0);
    fleet.pass(10_000);
    let from = fleet.now;
    fleet.pass(20_000);
    let used = fleet.count_after(from) as f64 / 20.0;
    assert!(used >= 3.0, "two nodes of seven send {used} a second by a limit of 5");
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit_and_one_to_a_later_request_does() {
    let (mut backends, id) = (fresh_backends(), BackendId::from("b"));
    let state = |backends: &mut Backends, per_second, ms| {
        let stated = Advertised { per_second, at: at(ms) };
        backends.announcements.observe_limit(&process(), stated, 0.0, at(1_100))
    };
    assert!(state(&mut backends, Some(0.0), 1_000).is_some());
    assert!(!backends.has_permit(&id, at(1_100)));
    assert_eq!(state(&mut backends, None, 900), None);
    assert!(!backends.has_permit(&id, at(1_100)));
    assert!(state(&mut backends, None, 1_001).is_some());
    assert!(backends.has_permit(&id, at(1_100)));
}

#[test]
fn what_comes_back_through_other_nodes_is_no_news() {
    let mut fleet = Fleet::of(3);
    fleet.name(1.0);
    fleet.pass(3_000);
    fleet.nodes.iter_mut().for_each(|node| node.is_busy = false);
    fleet.pass(1_000);
    for node in &fleet.nodes[1..] {
        assert_eq!(node.backends.announcements.pending_limit_gossip(at(fleet.now)), []);
    }
    let age = |fleet: &Fleet| {
        let grants =
            fleet.nodes[0].backends.announcements.limit_grants_for(&NodeId::from("n1"), at(fleet.now));
        Duration::from_millis(grants[0].news.age_ms)
    };
    let before = age(&fleet);
    fleet.pass(10_000);
    assert_eq!(age(&fleet), before + Duration::from_secs(10), "it grows old while nobody asks");
}
