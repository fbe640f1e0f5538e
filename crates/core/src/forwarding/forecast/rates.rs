//! The rates of a service's engines, estimated from the outcomes of all nodes, or of this one.
//!
//! Outcomes include waiting that the node did not know of. The fastest outcomes of each prompt size have
//! waited least, so rates are fitted to these.

use std::time::Duration;

use paddlemount_protocol::{fleet::OutcomeSum, time::Timestamp};

use super::{
    EngineWorkload, RequestWork,
    outcomes::{Cell, Outcomes, SIZE_CLASSES},
};

/// Outcomes that a size class needs before it is used.
const MIN_OUTCOMES: f64 = 8.0;
/// How long rates are used without newer ones.
const RATES_TTL: Duration = Duration::from_secs(60);
/// The share of a size class that is taken as not having waited.
const FASTEST_SHARE: f64 = 0.25;
/// Outcomes after which the rates are fitted again.
const FIT_INTERVAL: u32 = 8;

/// The rates of a typical engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// The time to a first event besides reading the prompt.
    pub overhead: Duration,
    /// The time to read a prompt token.
    pub per_token: Duration,
    /// The delay by each request that the engine is running.
    pub per_running_request: Duration,
}

impl Rates {
    /// The time to read this many tokens.
    pub fn reading(&self, tokens: u64) -> Duration {
        Duration::from_nanos((self.per_token.as_nanos() as u64).saturating_mul(tokens))
    }
}

/// The mean of some outcomes.
#[derive(Clone, Copy, Debug)]
struct Mean {
    tokens: f64,
    requests: f64,
    seconds: f64,
}

/// Estimates the rates of a service.
#[derive(Debug, Default)]
pub struct RateEstimator {
    own: Outcomes,
    /// Whether the rates are those of all nodes.
    is_shared: bool,
    fitted: Option<Rates>,
    fitted_at: Timestamp,
    unfitted: u32,
}

impl RateEstimator {
    /// Records the time until the first event of a request.
    pub fn record(
        &mut self,
        workload: EngineWorkload,
        work: RequestWork,
        measured: Duration,
        now: Timestamp,
    ) {
        self.own.record(workload, work, measured, now);
        self.unfitted += 1;
        if self.unfitted >= FIT_INTERVAL && !self.is_shared {
            self.unfitted = 0;
            self.fit(&self.own.sums(now), now);
        }
    }

    /// The outcomes of this node, for other nodes.
    pub fn own_outcomes(&self, now: Timestamp) -> Vec<OutcomeSum> {
        self.own.sums(now)
    }

    /// Fits the rates to the outcomes of all nodes, or from now on to those of this node if they are unknown.
    pub fn use_shared(&mut self, outcomes: Option<&[OutcomeSum]>, now: Timestamp) {
        self.is_shared = outcomes.is_some();
        if let Some(outcomes) = outcomes {
            self.fit(outcomes, now);
        }
    }

    /// The rates; `None` with too few recent outcomes, or if all are of prompts of one size.
    pub fn rates(&self, now: Timestamp) -> Option<Rates> {
        self.fitted.filter(|_| now.saturating_since(self.fitted_at) < RATES_TTL)
    }

    fn fit(&mut self, outcomes: &[OutcomeSum], now: Timestamp) {
        if let Some(rates) = fitted_rates(outcomes) {
            self.fitted = Some(rates);
            self.fitted_at = now;
        }
    }
}

fn fitted_rates(outcomes: &[OutcomeSum]) -> Option<Rates> {
    let class = |size_class: u8| fastest(outcomes, |cell| cell.size_class == size_class);
    let mut classes = (0..SIZE_CLASSES).filter_map(|size_class| Some((size_class, class(size_class)?)));
    let (small_class, smallest) = classes.next()?;
    let (_, largest) = classes.next_back()?;
    let per_token = (largest.seconds - smallest.seconds) / (largest.tokens - smallest.tokens);
    // The larger prompts waited less than the smaller ones: nothing can be told apart.
    if !per_token.is_finite() || per_token <= 0.0 {
        return None;
    }
    let start = (smallest.seconds - per_token * smallest.tokens).max(0.0);
    let delay = delay_per_request(outcomes, small_class);
    let per_request = delay.clamp(0.0, start / smallest.requests.max(1.0));
    let duration = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or_default();
    Some(Rates {
        overhead: duration(start - per_request * smallest.requests),
        per_token: duration(per_token),
        per_running_request: duration(per_request),
    })
}

/// The mean of the fastest outcomes among those of some cells; `None` with too few of them.
fn fastest(outcomes: &[OutcomeSum], includes: impl Fn(Cell) -> bool) -> Option<Mean> {
    let with_cell = outcomes.iter().filter_map(|sum| Some((Cell::from_number(sum.cell)?, sum)));
    let mut sums: Vec<(Cell, &OutcomeSum)> = with_cell.filter(|(cell, _)| includes(*cell)).collect();
    sums.sort_by_key(|(cell, _)| cell.bucket);
    let count = |sum: &OutcomeSum| sum.count_per_mille as f64 / 1e3;
    let total: f64 = sums.iter().map(|(_, sum)| count(sum)).sum();
    if total < MIN_OUTCOMES {
        return None;
    }
    let wanted = total * FASTEST_SHARE;
    let (mut left, mut tokens, mut requests, mut seconds) = (wanted, 0.0, 0.0, 0.0);
    for (_, sum) in sums.iter().filter(|(_, sum)| sum.count_per_mille > 0) {
        let part = (left / count(sum)).min(1.0);
        tokens += part * sum.tokens as f64;
        requests += part * sum.requests_per_mille as f64 / 1e3;
        seconds += part * sum.micros as f64 / 1e6;
        left = (left - count(sum)).max(0.0);
    }
    Some(Mean { tokens: tokens / wanted, requests: requests / wanted, seconds: seconds / wanted })
}

/// By how much the fastest outcomes at busier engines are later than those at less busy ones, per request
/// running there.
fn delay_per_request(outcomes: &[OutcomeSum], size_class: u8) -> f64 {
    let by_load =
        |is_busy: bool| fastest(outcomes, |cell| cell.size_class == size_class && cell.is_busy == is_busy);
    match (by_load(false), by_load(true)) {
        (Some(idle), Some(busy)) if busy.requests >= idle.requests + 1.0 => {
            (busy.seconds - idle.seconds) / (busy.requests - idle.requests)
        }
        _ => 0.0,
    }
}
