//! The retry budget of one service at one node, over a sliding window.
//!
//! All nodes together may repeat a share of a service's requests, and a fixed number beside, in any window. The requests are
//! those of that window or of the one before it, whichever has more. Each node keeps to its own requests and to its part of
//! the fixed number, so that the sum holds whatever the nodes know of each other, also where requests move from some nodes to
//! others: what each node earns in a window is by the mean of its requests there and in the window before. The sum
//! over the nodes then is that mean of all requests, which is never more than the greater of the two. (By its own last window
//! alone, a node that requests have just left and one that they have just come to would both earn by them.)
//!
//! Unlike a bucket, this allows many repeats at once: the streams of one crashed back end all break at the same moment. That is
//! what the window before is for, and the window itself is for services and processes that have just begun.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::time::Timestamp;

use super::even_share::even_share;

/// Steps into which the window is cut.
const STEPS: u32 = 20;
/// The part of what is allowed that is used, in thousandths.
const USED_PER_MILLE: u64 = 900;
/// Each request counts by one part in so many in two windows: its own and the next one. So half of the share may be spent at one
/// moment, be it the first of a service's traffic or of a process, and in steady traffic all of it over a window.
const WINDOWS: u64 = 2;
/// Thousandths of a repeat in one repeat.
const WHOLE: u64 = 1_000;

/// Repeats beside that a node allows itself at least while the number of nodes is not known, as soon after a first start:
/// two back ends may fall silent at once.
const LEAST_RESERVE_UNCOUNTED: u32 = 2;

/// A node's part of `slack`, the repeats that all nodes together may make beside their requests' share. A process that
/// starts again begins with its whole part once more, so each of the `nodes` counts twice; `assumed` nodes share where
/// their number is not known.
///
/// A part is rounded down ([`even_share`]); what is left of the sum is the room for nodes that start again and again.
pub fn node_reserve(slack: u32, nodes: Option<u32>, assumed: u32, draw: f64) -> u32 {
    let Some(nodes) = nodes else { return (slack / assumed.max(1)).max(LEAST_RESERVE_UNCOUNTED) };
    even_share(slack, nodes.max(1).saturating_mul(2), draw)
}

/// Settings of a [`WindowBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowBudgetSettings {
    /// Thousandths of a repeat that each request earns.
    pub share_per_mille: u32,
    /// Repeats beside, in a window.
    pub reserve: u32,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// A retry budget.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    settings: WindowBudgetSettings,
    steps: VecDeque<Step>,
}

impl WindowBudget {
    /// A budget that has seen nothing.
    pub const fn new(settings: WindowBudgetSettings) -> Self {
        Self { settings, steps: VecDeque::new() }
    }

    /// Sets the repeats beside, as when the number of nodes that share them has changed.
    pub const fn set_reserve(&mut self, reserve: u32) {
        self.settings.reserve = reserve;
    }

    /// A request was sent for the first time.
    pub fn record_request(&mut self, now: Timestamp) {
        self.step(now).requests += 1;
    }

    /// Asks for a repeat; one that is granted is spent.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    /// A repeat that was not asked for has been made: it counts, whatever is left.
    pub fn record_retry(&mut self, now: Timestamp) {
        self.step(now).repeats += 1;
    }

    /// A repeat that was granted at `at` does not count after all.
    pub fn refund(&mut self, at: Timestamp) {
        let number = self.number(at);
        if let Some(step) = self.steps.iter_mut().find(|step| step.number == number) {
            step.repeats = step.repeats.saturating_sub(1);
        }
    }

    /// Repeats that would be granted now.
    pub fn remaining(&self, now: Timestamp) -> u64 {
        let number = self.number(now);
        let windows = number.saturating_sub(u64::from(STEPS))..=number;
        windows.map(|first| self.left_within(first)).min().unwrap_or(0)
    }

    /// Repeats left in the windows that begin within the step `first`. Repeats count for all of that step and of the one a window
    /// later, parts of which are outside; requests for all that came surely later than a window before. Whether those of the step
    /// came before or after the beginning is the same: both windows weigh alike.
    fn left_within(&self, first: u64) -> u64 {
        let steps = u64::from(STEPS);
        let (mut requests, mut repeats) = (0, 0);
        for step in &self.steps {
            if step.number + steps > first {
                requests += step.requests;
            }
            if step.number >= first && step.number <= first + steps {
                repeats += step.repeats;
            }
        }
        let earned = requests * u64::from(self.settings.share_per_mille) * USED_PER_MILLE / WINDOWS / WHOLE;
        (earned / WHOLE + u64::from(self.settings.reserve)).saturating_sub(repeats)
    }

    fn number(&self, now: Timestamp) -> u64 {
        let step = (self.settings.window / STEPS).as_micros().max(1);
        u64::try_from(u128::from(now.0) / step).unwrap_or(u64::MAX)
    }

    fn step(&mut self, now: Timestamp) -> &mut Step {
        let number = self.number(now);
        while self.steps.front().is_some_and(|step| step.number + 2 * u64::from(STEPS) < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
