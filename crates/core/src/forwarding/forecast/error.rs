//! How far outcomes are from their forecasts, and whether forecasts may be trusted.

use std::time::Duration;

use paddlemount_protocol::time::Timestamp;

use crate::recent_rate::RecentRate;

/// The time constant over which outcomes count.
const WINDOW: Duration = Duration::from_secs(10);
/// Outcomes in the window that are needed to judge forecasts.
const MIN_OUTCOMES: f64 = 24.0;
/// A forecast that errs by less than this part of the target latency places a request correctly.
const TOLERATED_PART_OF_TARGET: u32 = 4;
/// The factor by which an outcome may exceed or fall short of its forecast.
const TOLERATED_FACTOR: u32 = 2;
/// The share of close outcomes from which on forecasts are trusted: most requests are placed correctly.
const TRUSTED_SHARE: f64 = 0.6;
/// The share below which forecasts are no longer trusted. Lower, so that trust does not flap.
const DISTRUSTED_SHARE: f64 = 0.45;

/// The recent errors of forecasts for one service.
#[derive(Clone, Copy, Debug)]
pub struct ForecastError {
    close: RecentRate,
    all: RecentRate,
    /// The counts of all nodes, if known.
    shared: Option<Counts>,
    trusted: bool,
}

/// The numbers of outcomes that were close to their forecasts, and of all, in the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counts {
    pub close: f64,
    pub all: f64,
}

impl Default for ForecastError {
    fn default() -> Self {
        Self { close: RecentRate::new(WINDOW), all: RecentRate::new(WINDOW), shared: None, trusted: false }
    }
}

impl ForecastError {
    /// Records an outcome. It is close to its forecast if both are within the target, or not far apart.
    pub fn record(&mut self, forecast: Duration, measured: Duration, target: Duration, now: Timestamp) {
        let is_close = forecast.max(measured) <= target
            || forecast.abs_diff(measured) <= target / TOLERATED_PART_OF_TARGET
            || (measured <= forecast * TOLERATED_FACTOR && forecast <= measured * TOLERATED_FACTOR);
        self.all.add(1.0, now);
        self.close.add(f64::from(u8::from(is_close)), now);
    }

    /// Updates the judgement: outcomes age without newer ones.
    pub fn update(&mut self, now: Timestamp) {
        let share = self.close_share(now);
        let bound = if self.trusted { DISTRUSTED_SHARE } else { TRUSTED_SHARE };
        self.trusted = share.is_some_and(|share| share >= bound);
    }

    /// Whether forecasts may be trusted.
    pub fn is_trusted(&self, now: Timestamp) -> bool {
        self.trusted && self.close_share(now).is_some()
    }

    /// The counts of this node, for other nodes.
    pub fn own_counts(&self, now: Timestamp) -> Counts {
        let count = |rate: RecentRate| rate.per_second(now) * WINDOW.as_secs_f64();
        Counts { close: count(self.close), all: count(self.all) }
    }

    /// Judges by the counts of all nodes from now on, or by those of this node if they are unknown.
    pub const fn use_shared(&mut self, counts: Option<Counts>) {
        self.shared = counts;
    }

    /// The share of outcomes close to their forecasts; `None` with too few of them.
    pub fn close_share(&self, now: Timestamp) -> Option<f64> {
        let counts = self.shared.unwrap_or_else(|| self.own_counts(now));
        (counts.all >= MIN_OUTCOMES).then(|| counts.close / counts.all)
    }
}
