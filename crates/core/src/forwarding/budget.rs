//! The retry budget of one service at one node, over a sliding window.
//!
//! In any window, all nodes together may retry a share of the service's requests, and a fixed number of
//! requests besides, the slack. The share counts the requests of that window or of the one before it, whichever has
//! more. Each node keeps to its own requests and to its share of the slack ([`super::retry_reserve`]), so that the sum
//! holds without coordination. A node earns retries by the mean of its requests in the window and in the one
//! before: the sum of these means over all nodes never exceeds the greater total, even if requests move
//! between nodes. That holds for several processes of a node as well, since each counts the requests that it received.
//!
//! A retry counts when it arrives. Where that is not known, because the attempt before it may be read later, the retry
//! counts in every window until it can be dated.
//!
//! Unlike a token bucket, the window allows many retries at once, as when a back end crashes and all its
//! streams break.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::time::Timestamp;

use super::retry_reserve::Reserve;

/// The number of steps in a window.
pub(super) const STEPS: u32 = 20;
/// The part of the share that is used, in thousandths: a safety margin.
const USED_PER_MILLE: u64 = 900;
/// The number of windows over which a request earns its share: its own and the next one. At most half of the
/// share is available at once, also with the first requests of a service or process; in steady traffic all of it is
/// available over a window.
const WINDOWS: u64 = 2;
/// The number of thousandths in one.
const PER_MILLE: u64 = 1_000;

/// Settings of a [`WindowBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBudgetSettings {
    /// Thousandths of a retry that each request earns.
    pub share_per_mille: u32,
    pub window: Duration,
    /// When the process started.
    pub started: Timestamp,
    /// Drawn uniformly from 0 to 1 for each process: how the fractions of retries are rounded.
    pub draw: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u64,
    retries: u64,
}

/// The retry budget of one service, over a sliding window.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    settings: WindowBudgetSettings,
    reserve: Reserve,
    steps: VecDeque<Step>,
    /// Retries that may arrive at any moment.
    undated: u64,
}

impl WindowBudget {
    /// A budget without a reserve.
    pub const fn new(settings: WindowBudgetSettings) -> Self {
        Self { settings, reserve: Reserve::NONE, steps: VecDeque::new(), undated: 0 }
    }

    /// Sets the reserve, as when the number of nodes has changed.
    pub const fn set_reserve(&mut self, reserve: Reserve) {
        self.reserve = reserve;
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.step(now).requests += 1;
    }

    /// Takes a retry from the budget if any remains.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    /// Records a retry that was made regardless of the budget.
    pub fn record_retry(&mut self, now: Timestamp) {
        self.step(now).retries += 1;
    }

    /// Returns a retry that was taken at `at`.
    pub fn refund(&mut self, at: Timestamp) {
        let number = self.number(at);
        if let Some(step) = self.steps.iter_mut().find(|step| step.number == number) {
            step.retries = step.retries.saturating_sub(1);
        }
    }

    /// Counts a retry that was taken at `at` in every window until [`Self::record_dated`].
    pub fn record_undated(&mut self, at: Timestamp) {
        self.refund(at);
        self.undated += 1;
    }

    /// Counts a retry that was recorded as undated at its arrival.
    pub fn record_dated(&mut self, at: Timestamp) {
        self.undated = self.undated.saturating_sub(1);
        self.record_retry(at);
    }

    /// The number of retries that remain now.
    pub fn remaining(&self, now: Timestamp) -> u64 {
        let number = self.number(now);
        let windows = number.saturating_sub(u64::from(STEPS))..=number;
        windows.map(|first| self.remaining_within(first, now)).min().unwrap_or(0)
    }

    /// The retries that remain in the windows that start within the step `first`. Retries of both edge steps
    /// count in full, requests only if they are certain to be in the window or the one before.
    fn remaining_within(&self, first: u64, now: Timestamp) -> u64 {
        let steps = u64::from(STEPS);
        let (mut requests, mut retries) = (0, self.undated);
        for step in &self.steps {
            if step.number + steps > first {
                requests += step.requests;
            }
            if step.number >= first && step.number <= first + steps {
                retries += step.retries;
            }
        }
        let earned =
            requests * u64::from(self.settings.share_per_mille) * USED_PER_MILLE / WINDOWS / PER_MILLE;
        let allowed = earned + self.reserve_within(first, now);
        self.rounded(allowed).saturating_sub(retries)
    }

    /// Thousandths of a retry in the reserve for the windows that start within the step `first`.
    fn reserve_within(&self, first: u64, now: Timestamp) -> u64 {
        let WindowBudgetSettings { window, started, .. } = self.settings;
        let from =
            started.max(Timestamp::ZERO + self.step_length() * u32::try_from(first).unwrap_or(u32::MAX));
        let saved = self.reserve.saved_after(from.saturating_since(started), window);
        saved + self.reserve.gained_in(now.saturating_since(from), window)
    }

    /// Rounds thousandths of retries. Over many processes the fractions add up to what they are on average, also if
    /// each of them restarts before it has a whole retry.
    fn rounded(&self, per_mille: u64) -> u64 {
        let draw = if self.reserve.is_drawn() { self.settings.draw } else { 0.0 };
        (per_mille + (draw * PER_MILLE as f64) as u64) / PER_MILLE
    }

    fn step_length(&self) -> Duration {
        self.settings.window / STEPS
    }

    fn number(&self, now: Timestamp) -> u64 {
        let step = self.step_length().as_micros().max(1);
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
