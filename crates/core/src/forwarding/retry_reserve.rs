//! The retries that a node may make in a window besides those that its requests earn: its reserve.
//!
//! What a process has sent is forgotten with it, and neither the store nor other nodes can be relied on to remember it.
//! So the reserve is gained by the time for which a process runs, at a rate that all processes of a node together cannot
//! exceed, and a part of it may be saved up. A window then contains what was saved before it, by at most one process,
//! and what is gained within it, however often the node restarts, and under whatever name.
//!
//! A process that is granted it ([`super::reserve_grant`]) begins with a further part, which a window contains once.
//!
//! A node's share of the slack depends on the number of nodes, which a node that has just started does not know. It
//! takes a small share until it has been counted for a while.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::reserve_grant::Beginning;

/// The parts of its share that a node gains in a window, that it may save up, and that a granted process begins with, in
/// thousandths. Budgets count in steps, so a window may contain slightly more than is gained in it; the rest is a margin
/// for fractions.
const GAINED_PER_MILLE: u64 = 360;
const SAVED_PER_MILLE: u64 = 180;
const STARTING_PER_MILLE: u64 = 300;
/// The number of thousandths in one.
const PER_MILLE: u64 = 1_000;
/// Retries per window of a node that may not have been counted: within the slack of a fleet that has two for each node.
/// With this share or more, a granted process begins with a whole retry.
const UNCOUNTED_SHARE: u32 = 2;
/// The retries that the first process of a node begins with while the number of nodes is unknown.
const UNCOUNTED_FIRST: u32 = 1;
/// How long a node takes the share of one that may not have been counted, after it first learned of a count. By then a
/// fleet that starts or grows at once has been counted.
const COUNT_SETTLING_TIME: Duration = Duration::from_secs(3);

/// A node's share of the slack of a retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reserve {
    /// In thousandths of a retry per window.
    share_per_mille: u64,
    /// Thousandths of a retry that the process begins with.
    starting_per_mille: u64,
}

impl Reserve {
    /// No reserve.
    pub const NONE: Self = Self { share_per_mille: 0, starting_per_mille: 0 };

    /// The share of one of so many nodes, in a process that begins with nothing.
    pub fn share_of(slack: u32, nodes: u32) -> Self {
        Self {
            share_per_mille: u64::from(slack) * PER_MILLE / u64::from(nodes.max(1)),
            starting_per_mille: 0,
        }
    }

    /// The same in a process that begins with so many thousandths of a retry.
    const fn starting_with(self, starting_per_mille: u64) -> Self {
        Self { starting_per_mille, ..self }
    }

    /// Retries per window.
    pub fn retries(self) -> f64 {
        self.share_per_mille as f64 / PER_MILLE as f64
    }

    /// Thousandths of a retry that are gained in a time.
    pub(super) fn gained_in(self, time: Duration, window: Duration) -> u64 {
        let gained = u128::from(self.share_per_mille * GAINED_PER_MILLE / PER_MILLE) * time.as_micros();
        u64::try_from(gained / window.as_micros().max(1)).unwrap_or(u64::MAX)
    }

    /// Thousandths of a retry that a process has saved at most when it has run for a time.
    pub(super) fn saved_after(self, time: Duration, window: Duration) -> u64 {
        let saved = self.share_per_mille * SAVED_PER_MILLE / PER_MILLE;
        let capacity = if time <= window { saved.max(self.starting_per_mille) } else { saved };
        (self.starting_per_mille + self.gained_in(time, window)).min(capacity)
    }

    /// What a granted process begins with: whole retries where the slack has enough for each node.
    fn starting_part(self) -> u64 {
        let part = self.share_per_mille * STARTING_PER_MILLE / PER_MILLE;
        let is_ample = self.share_per_mille >= u64::from(UNCOUNTED_SHARE) * PER_MILLE;
        if is_ample { part.next_multiple_of(PER_MILLE) } else { part }
    }

    /// Whether fractions of retries are drawn. Where the slack has less than a retry for each node, it does not cover
    /// the deviations of so many draws, and fractions are rounded down.
    pub(super) const fn is_drawn(self) -> bool {
        self.share_per_mille >= PER_MILLE
    }
}

/// What a process knows of the nodes with which it shares the slack.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlackShare {
    /// The greatest number of nodes so far: a root that has just begun has counted few, and a record may be lost.
    nodes: Option<u32>,
    /// Since when this process has received a count.
    counted_since: Option<Timestamp>,
}

impl SlackShare {
    /// Records the numbers of nodes as counted by the root and as recorded in the store.
    pub fn record(&mut self, counted: Option<u32>, recorded: Option<u32>, now: Timestamp) {
        self.nodes = self.nodes.max(counted).max(recorded);
        if counted.is_some() {
            self.counted_since.get_or_insert(now);
        }
    }

    /// The greatest number of nodes so far.
    pub const fn nodes(&self) -> Option<u32> {
        self.nodes
    }

    /// Whether the process has been counted for long enough.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.counted_since.is_some_and(|since| now.saturating_since(since) >= COUNT_SETTLING_TIME)
    }

    /// The reserve of a process that begins with this.
    pub fn reserve(&self, slack: u32, beginning: Beginning, now: Timestamp) -> Reserve {
        let uncounted = Reserve::share_of(slack.min(UNCOUNTED_SHARE), 1);
        let Some(nodes) = self.nodes else {
            return uncounted.starting_with(match beginning {
                Beginning::Empty => 0,
                Beginning::First => u64::from(slack.min(UNCOUNTED_FIRST)) * PER_MILLE,
                Beginning::Granted => uncounted.share_per_mille,
            });
        };
        let counted = Reserve::share_of(slack, nodes);
        let is_small = counted.share_per_mille < uncounted.share_per_mille;
        let share = if self.is_settled(now) || is_small { counted } else { uncounted };
        share.starting_with(match beginning {
            Beginning::Empty => 0,
            Beginning::First => share.share_per_mille * SAVED_PER_MILLE / PER_MILLE,
            Beginning::Granted => share.starting_part(),
        })
    }
}
