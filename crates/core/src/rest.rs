//! Times without requests that back ends ask for, and when callers come back after them.

use std::time::Duration;

/// The longest time without requests that a back end is granted: one that asks for more is asked again after this.
pub const LONGEST_REST: Duration = Duration::from_secs(300);
/// How much later than the end of a rest callers may be told to come back, as a part of the time until then: they would else
/// all come at one moment.
const SPREAD: f64 = 0.25;

/// When one of many callers that may come back after `least` is told to; `draw` is drawn evenly from 0 to 1 for it.
pub fn spread(least: Duration, draw: f64) -> Duration {
    least.mul_f64(1.0 + SPREAD * draw)
}
