//! A model of a tree of nodes that send requests to one back end with a rate limit.

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
pub const WINDOW_MS: u64 = 4_000;
/// How long after the first limit windows that are checked may end.
const SETTLING_MS: u64 = 3_000;
/// How long after it has observed the limit in an answer a node must enforce it.
const ENFORCED_AFTER_MS: u64 = 500;
/// The time between two requests of all nodes to the back end while it has no limit.
const UNLIMITED_PAUSE_MS: u64 = 150;
/// How long a measured demand differs to one side.
const DEMAND_PERIOD_MS: u64 = 1_000;
/// How long after a restart or a partition a node may exceed the limit.
const RECOVERY_MS: u64 = 3_000;

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

pub fn process() -> BackendProcess {
    BackendProcess { id: BackendId::from("b"), started_at: Some(1) }
}

pub fn fresh_backends() -> Backends {
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

pub struct Node {
    pub name: NodeId,
    pub backends: Backends,
    /// Whether callers send it more than any limit.
    pub is_busy: bool,
    /// When it sends its next request while there is no limit.
    next_unlimited_at: u64,
    reported_at: Option<u64>,
    pub partitioned_until: u64,
    /// When its process started.
    pub started_at: u64,
    /// When it last restarted or was partitioned.
    pub disturbed_at: Option<u64>,
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
            started_at: disturbed_at.unwrap_or_default(),
            disturbed_at,
        }
    }
}

#[derive(Clone, Copy)]
pub struct Arrival {
    at: u64,
    sent_at: u64,
    node: usize,
    limit: Option<f64>,
}

/// A tree of nodes, in which every node but the first reports to its parent by index.
pub struct Fleet {
    pub nodes: Vec<Node>,
    limit: Option<f64>,
    /// Limits, each with the time from which it held.
    limits: Vec<(u64, f64)>,
    pub now: u64,
    arrivals: Vec<Arrival>,
    /// The requests per second of each node with callers, and the part by which a measurement may differ.
    pub demand: f64,
    pub demand_noise: f64,
    /// Requests that wait on a stalled connection.
    stalled: Vec<Request>,
    stall: Option<Stall>,
    requests: u64,
    answers: Vec<Answer>,
}

/// A time in which a share of the requests is read at its end.
#[derive(Clone, Copy)]
pub struct Stall {
    pub percent: u64,
    pub until: u64,
}

/// A request on its way.
#[derive(Clone, Copy)]
struct Request {
    node: usize,
    /// The process of the node that has sent it.
    process: u64,
    sent_at: u64,
}

/// An answer in flight.
#[derive(Clone, Copy)]
struct Answer {
    due: u64,
    request: Request,
    limit: Option<f64>,
}

impl Fleet {
    pub fn of(count: usize) -> Self {
        let nodes = (0..count).map(|number| Node::start(number, None)).collect();
        Self {
            nodes,
            limit: None,
            limits: Vec::new(),
            now: 0,
            arrivals: Vec::new(),
            demand: 20.0,
            demand_noise: 0.0,
            stalled: Vec::new(),
            stall: None,
            requests: 0,
            answers: Vec::new(),
        }
    }

    /// Ends the process of a node and starts another.
    pub fn restart(&mut self, number: usize) {
        let is_busy = self.nodes[number].is_busy;
        self.nodes[number] = Node { is_busy, ..Node::start(number, Some(self.now)) };
    }

    pub fn set_limit(&mut self, limit: f64) {
        self.limit = Some(limit);
        self.limits.push((self.now, limit));
    }

    /// The maximum limit that held at any time from `from` to `to`.
    fn max_limit(&self, from: u64, to: u64) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let held = self.limits.iter().zip(ends).filter(|((at, _), end)| *at <= to && *end > from);
        held.map(|((_, limit), _)| *limit).fold(0.0, f64::max)
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.end_stall();
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
            std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.due <= self.now);
        self.answers = later;
        let lately = |arrival: &&Arrival| arrival.at + WINDOW_MS > self.now;
        let sent = self.arrivals.iter().rev().take_while(lately).count() as f64;
        let per_second = sent * 1_000.0 / WINDOW_MS as f64;
        let due: Vec<Answer> = due;
        for Answer { request, limit, .. } in due {
            if !self.is_current(&request) {
                continue;
            }
            let observed_at = if limit.is_some() { self.now } else { request.sent_at };
            let advertised = Advertised { per_second: limit, at: at(observed_at) };
            let announcements = &mut self.nodes[request.node].backends.announcements;
            announcements.record_arrived(&process(), at(self.now));
            announcements.observe_limit(&process(), advertised, per_second, at(self.now));
        }
    }

    /// Whether the process that has sent a request still runs.
    fn is_current(&self, request: &Request) -> bool {
        self.nodes[request.node].started_at == request.process
    }

    /// Lets a share of the requests wait until a moment.
    pub fn stall(&mut self, percent: u64, until: u64) {
        self.stall = Some(Stall { percent, until });
    }

    /// Reads the requests whose connections go on.
    fn end_stall(&mut self) {
        if self.stall.is_some_and(|stall| stall.until > self.now) {
            return;
        }
        self.stall = None;
        for request in std::mem::take(&mut self.stalled) {
            // A restart excuses a node.
            if self.is_current(&request) {
                self.arrive(request);
            }
        }
    }

    fn arrive(&mut self, request: Request) {
        let Request { node, sent_at, .. } = request;
        self.arrivals.push(Arrival { at: self.now, sent_at, node, limit: self.limit });
        self.answers.push(Answer { due: self.now + ANSWER_MS, request, limit: self.limit });
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
        let request = Request { node: number, process: node.started_at, sent_at: self.now };
        self.requests += 1;
        // Any sequence without a pattern.
        let draw = self.requests.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        match self.stall {
            Some(stall) if draw % 100 < stall.percent => self.stalled.push(request),
            _ => self.arrive(request),
        }
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

    /// The requests per second that callers send to a node, as it measures them.
    fn demand(&self, number: usize) -> f64 {
        if !self.nodes[number].is_busy {
            return 0.0;
        }
        // Each node's measurements rise and fall at times of their own.
        let phase = (self.now / DEMAND_PERIOD_MS + number as u64) % 2;
        if phase == 0 {
            self.demand * (1.0 + self.demand_noise)
        } else {
            self.demand * (1.0 - self.demand_noise)
        }
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
        let members = members.map(|number| Member::new(self.nodes[number].name.clone(), self.demand(number)));
        let position = TreePosition {
            node: self.nodes[number].name.clone(),
            root_share,
            nodes: self.nodes.len() as u32,
            members: members.collect(),
        };
        self.nodes[number].backends.announcements.divide_limits(position, now);
    }

    /// The first window with more requests than allowed, as its end, the requests and the allowed number.
    pub fn exceeded(&self) -> Option<(u64, usize, f64)> {
        let first = self.arrivals.iter().find(|arrival| arrival.limit.is_some())?.at;
        let counts = |end: &&Arrival| end.limit.is_some() && end.at >= first + SETTLING_MS;
        self.arrivals.iter().filter(counts).find_map(|end| {
            let from = end.at.saturating_sub(WINDOW_MS);
            let within: Vec<&Arrival> =
                self.arrivals.iter().filter(|arrival| arrival.at > from && arrival.at <= end.at).collect();
            // What was sent under a higher limit cannot be taken back.
            let sent_from = within.iter().map(|arrival| arrival.sent_at).min().unwrap_or(from).min(from);
            // A node applies a changed limit as late as the first limit.
            let limit = self.max_limit(sent_from.saturating_sub(ANSWER_MS + ENFORCED_AFTER_MS), end.at);
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

    pub fn count_after(&self, from: u64) -> usize {
        self.arrivals.iter().filter(|arrival| arrival.at > from).count()
    }
}
