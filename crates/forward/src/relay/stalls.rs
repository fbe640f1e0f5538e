//! When a stream counts as stalled.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use super::Relay;
use crate::exchange::is_resumable;

/// How long a resumable stream may stall, in multiples of its route's target gap.
const STALL_GAPS: u32 = 5;
/// The same for routes without a target gap.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a resumable stream may take to its first event, in multiples of its route's target latency.
const FIRST_EVENT_TARGETS: u32 = 2;

impl Relay {
    /// When the stream counts as stalled, if another back end could take it over.
    pub(super) fn stalled_at(&self) -> Option<Timestamp> {
        let route = &self.exchange.route;
        let resumable = is_resumable(route.kind) && self.exchange.history.sent < self.exchange.max_attempts();
        let copied = self.has_event && self.choice.copy_to.is_some();
        // Another node finds out by itself whether its engine stalls.
        if self.choice.intermediary.is_some() || self.waits_until_deadline || !(resumable || copied) {
            return None;
        }
        let stall_timeout = if self.has_event {
            route.target_gap.map_or(STALL_TIMEOUT, |gap| gap * STALL_GAPS)
        } else {
            let slow_answer_time = self.exchange.node.slow_latency(&self.choice.backend) * 3 / 2;
            (route.target_latency * FIRST_EVENT_TARGETS).max(slow_answer_time)
        };
        Some(self.received_at + stall_timeout)
    }

    /// The target gap plus some slack.
    pub(super) fn slow_after(&self) -> Duration {
        self.exchange.route.target_gap.unwrap_or(STALL_TIMEOUT / STALL_GAPS) * 6 / 5
    }
}
