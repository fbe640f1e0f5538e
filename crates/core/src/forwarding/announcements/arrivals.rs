//! The requests of this node that may arrive at a limited process within one window.
//!
//! That a request has arrived shows only by its own connection. Until then it may wait on one that stalls, while the
//! process answers on others, and arrive in any window.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::time::Timestamp;

/// The window over which back ends count requests against their limits.
const WINDOW: Duration = Duration::from_secs(4);

/// The requests that may arrive at one process within the present window.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Arrivals {
    /// When requests of the last window were seen to have arrived, in order of time.
    dated: VecDeque<Timestamp>,
    /// Requests that were sent and may still arrive.
    undated: u32,
}

impl Arrivals {
    /// The number of requests that may still arrive.
    pub(super) const fn undated(&self) -> u32 {
        self.undated
    }

    pub(super) const fn record_sent(&mut self) {
        self.undated = self.undated.saturating_add(1);
    }

    /// Takes back a request of which no byte was sent.
    pub(super) const fn record_not_sent(&mut self) {
        self.undated = self.undated.saturating_sub(1);
    }

    /// Records that a request has arrived by now, or is lost.
    pub(super) fn record_arrived(&mut self, now: Timestamp) {
        self.undated = self.undated.saturating_sub(1);
        let past = self.dated.partition_point(|at| is_past(*at, now));
        self.dated.drain(..past);
        self.dated.push_back(now);
    }

    /// The time until fewer than `max` requests may arrive within the window. Where too many are undated, they are
    /// checked again after a window.
    pub(super) fn wait(&self, max: usize, now: Timestamp) -> Duration {
        let past = self.dated.partition_point(|at| is_past(*at, now));
        let count = self.dated.len() - past + self.undated as usize;
        let Some(excess) = count.checked_sub(max) else { return Duration::ZERO };
        self.dated.get(past + excess).map_or(WINDOW, |at| (*at + WINDOW).saturating_since(now))
    }
}

fn is_past(arrived: Timestamp, now: Timestamp) -> bool {
    now.saturating_since(arrived) >= WINDOW
}
