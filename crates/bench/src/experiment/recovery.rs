//! Recovery time of a run after an event.

use serde::Serialize;

use super::{metrics::SecondResult, summary::median};

/// Seconds per window; a single second has too few requests for a tail.
const WINDOW_SECONDS: usize = 5;

/// Accepted deviation from the steady state.
const TOLERANCE: f64 = 0.1;

/// Seconds from an event until hit rate and latency are back at their steady state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// Since the start of the run.
    pub event_s: f64,
    /// Until the prefix hit rate has recovered; none if it has not before the end.
    pub hit_rate_s: Option<f64>,
    /// Until the 99th percentile of the time to first token has recovered.
    pub ttft_p99_s: Option<f64>,
}

impl Recovery {
    /// Compares windows of five seconds after the event with the measured time before it.
    ///
    /// The steady values are the medians of the seconds between `measured_from_s` and the event. A metric has
    /// recovered with the first window from which all later windows are within the tolerance.
    pub fn after(seconds: &[SecondResult], measured_from_s: f64, event_s: f64) -> Self {
        let before = |second: &&SecondResult| {
            (second.second as f64) >= measured_from_s && (second.second as f64) < event_s
        };
        let steady = |value: fn(&SecondResult) -> f64| median(seconds.iter().filter(before).map(value));
        let (hit_rate, ttft) = (steady(|second| second.hit_rate), steady(|second| second.ttft_p99_ms));
        let after: Vec<&SecondResult> =
            seconds.iter().filter(|second| second.second as f64 >= event_s).collect();
        let recovery_time = |good: &dyn Fn(&[&SecondResult]) -> bool| {
            let last_bad = after.windows(WINDOW_SECONDS).rposition(|window| !good(window));
            let first_good = last_bad.map_or(0, |position| position + 1);
            (first_good + WINDOW_SECONDS <= after.len()).then_some(first_good as f64)
        };
        let window_median = |window: &[&SecondResult], value: fn(&SecondResult) -> f64| {
            median(window.iter().map(|second| value(second)))
        };
        Self {
            event_s,
            hit_rate_s: recovery_time(&|window| {
                window_median(window, |second| second.hit_rate) >= hit_rate * (1.0 - TOLERANCE)
            }),
            ttft_p99_s: recovery_time(&|window| {
                window_median(window, |second| second.ttft_p99_ms) <= ttft * (1.0 + TOLERANCE)
            }),
        }
    }
}
