//! Servers that fall silent, the nodes before them, and the bound on all repeated arrivals.

use std::collections::{BTreeMap, BTreeSet};

use bolero::TypeGenerator;
use paddlemount_core::forwarding::{
    late_arrivals::{RequestRetries, RetriedRequest},
    retry_reserve::Reserve,
};

use crate::node::{Node, WINDOW_MS, at, process};

/// How long a process may take to read all that has arrived while it was silent.
const CATCH_UP_MS: u64 = 300;
/// The longest silence of a server. What is read more than a window after it was sent may arrive when no window counts
/// the requests that earned it, and cannot be taken back.
const MAX_SILENCE_MS: u64 = WINDOW_MS - CATCH_UP_MS;
pub const NODES: u32 = 7;
pub const SERVERS: usize = 6;
pub const ATTEMPTS: usize = 3;

#[derive(Debug, TypeGenerator)]
pub enum Step {
    /// A node gets requests, which it sends to these servers in turn; those in `failing` answer with a failure. The
    /// attempts in `stalled` are read late, each on its own connection.
    Requests {
        node: u8,
        count: u8,
        servers: [u8; ATTEMPTS],
        failing: u8,
        stalled: u8,
        stall_tens_of_ms: u16,
    },
    FallSilent {
        server: u8,
    },
    GoOn {
        server: u8,
    },
    Wait {
        tens_of_ms: u8,
    },
}

/// An attempt that a server has not read.
#[derive(Clone, Copy)]
struct Unread {
    node: usize,
    request: usize,
    /// What the node has recorded, if it has retried the request.
    retried: Option<RetriedRequest>,
    due: Due,
}

/// When an attempt is read.
#[derive(Clone, Copy, PartialEq)]
enum Due {
    /// When its server goes on.
    Server(usize),
    At(u64),
}

/// Servers, of which some are silent, the nodes before them, and what has reached the servers.
struct World {
    nodes: Vec<Node>,
    /// The silent servers, and since when.
    silent: BTreeMap<usize, u64>,
    unread: Vec<Unread>,
    /// When requests were read, with their number.
    arrivals: Vec<(u64, usize)>,
    requests: Vec<u64>,
}

impl World {
    fn new(nodes: Vec<Node>) -> Self {
        Self {
            nodes,
            silent: BTreeMap::new(),
            unread: Vec::new(),
            arrivals: Vec::new(),
            requests: Vec::new(),
        }
    }

    fn read(&mut self, unread: Unread, at_ms: u64) {
        self.arrivals.push((at_ms, unread.request));
        if let Some(retried) = unread.retried {
            self.nodes[unread.node].late.record_read(retried, at(at_ms));
        }
    }

    fn go_on(&mut self, server: usize, now: u64) {
        self.silent.remove(&server);
        let read: Vec<Unread> =
            self.unread.extract_if(.., |unread| unread.due == Due::Server(server)).collect();
        // Read within some time, the last ones at its end.
        let count = read.len() as u64;
        for (place, unread) in read.into_iter().enumerate() {
            self.read(unread, now + CATCH_UP_MS * place as u64 / count);
        }
    }

    /// Ends the silences that are over by `now`, and reads what is due.
    fn advance(&mut self, now: u64) {
        let is_due = |unread: &mut Unread| matches!(unread.due, Due::At(at) if at <= now);
        let mut due: Vec<Unread> = self.unread.extract_if(.., is_due).collect();
        due.sort_by_key(|unread| match unread.due {
            Due::At(at) => at,
            Due::Server(_) => now,
        });
        for unread in due {
            let Due::At(at_ms) = unread.due else { continue };
            self.read(unread, at_ms);
        }
        let is_over = |since: &u64| *since + MAX_SILENCE_MS <= now;
        let over: Vec<(usize, u64)> = self
            .silent
            .iter()
            .filter(|(_, since)| is_over(since))
            .map(|(server, since)| (*server, *since))
            .collect();
        over.into_iter().for_each(|(server, since)| self.go_on(server, since + MAX_SILENCE_MS));
    }

    /// Serves a request as a node does that leaves attempts without an answer.
    fn serve(&mut self, node: usize, servers: &[u8; ATTEMPTS], failing: u8, stalled: (u8, u64), now_ms: u64) {
        let (now, request) = (at(now_ms), self.requests.len());
        self.requests.push(now_ms);
        self.nodes[node].budget.record_request(now);
        let mut retries = RequestRetries::default();
        for (attempt, server) in servers.iter().enumerate() {
            let server = usize::from(*server) % SERVERS;
            let is_last = attempt + 1 == ATTEMPTS;
            let due = if self.silent.contains_key(&server) {
                Some(Due::Server(server))
            } else {
                (stalled.0 & (1 << attempt) != 0).then_some(Due::At(now_ms + stalled.1))
            };
            if due.is_none() {
                self.arrivals.push((now_ms, request));
                self.nodes[node].late.record_shown(&mut retries, now);
                self.nodes[node].late.record_heard(&process(server), now);
                if failing & (1 << server) == 0 {
                    break;
                }
            }
            let goes_on = !is_last && self.nodes[node].draw(&mut retries, now);
            if let Some(due) = due {
                let retried = self.nodes[node].give_up(&retries, now);
                self.unread.push(Unread { node, request, retried, due });
            }
            if !goes_on {
                break;
            }
        }
        self.nodes[node].late.record_over(&retries, now);
    }

    /// When requests arrived that had arrived before.
    fn repeats(&mut self) -> Vec<u64> {
        self.arrivals.sort_unstable();
        let mut known = BTreeSet::new();
        let repeated = self.arrivals.iter().filter(|(_, request)| !known.insert(*request));
        repeated.map(|(at, _)| *at).collect()
    }
}

fn within(times: &[u64], from: u64, to: u64) -> usize {
    times.iter().filter(|at| **at >= from && **at <= to).count()
}

/// The most requests in the window that ends at `to`, the one before it, or the one half a window earlier.
fn requests_for(requests: &[u64], to: u64) -> usize {
    let until = |earlier: u64| {
        to.checked_sub(earlier).map_or(0, |to| within(requests, to.saturating_sub(WINDOW_MS), to))
    };
    [0, WINDOW_MS / 2, WINDOW_MS].into_iter().map(until).max().unwrap_or(0)
}

/// In no window more retries reach the servers than the share of the requests and the slack, whichever servers fall
/// silent.
pub fn check_all_nodes(steps: &[Step], share_per_mille: u32, slack: u32) {
    let reserve = Reserve::share_of(slack, NODES);
    let draw = |node| f64::from(node) / f64::from(NODES);
    let nodes = (0..NODES).map(|node| Node::new(share_per_mille, reserve, draw(node))).collect();
    let (mut world, mut now) = (World::new(nodes), 0);
    for step in steps {
        match step {
            Step::Requests { node, count, servers, failing, stalled, stall_tens_of_ms } => {
                let stall = u64::from(*stall_tens_of_ms) * 10 % MAX_SILENCE_MS;
                for _ in 0..*count {
                    world.serve(
                        usize::from(*node) % NODES as usize,
                        servers,
                        *failing,
                        (*stalled, stall),
                        now,
                    );
                }
            }
            Step::FallSilent { server } => {
                world.silent.entry(usize::from(*server) % SERVERS).or_insert(now);
            }
            Step::GoOn { server } => world.go_on(usize::from(*server) % SERVERS, now),
            Step::Wait { tens_of_ms } => {
                now += u64::from(*tens_of_ms) * 10;
                world.advance(now);
            }
        }
    }
    (0..SERVERS).for_each(|server| world.go_on(server, now));
    world.advance(now + WINDOW_MS);
    let repeats = world.repeats();
    for to in &repeats {
        let allowed = requests_for(&world.requests, *to) as f64 * f64::from(share_per_mille) / 1_000.0
            + f64::from(slack);
        let arrived = within(&repeats, to.saturating_sub(WINDOW_MS), *to);
        assert!(arrived as f64 <= allowed, "{arrived} of {allowed} until {to}");
    }
}
