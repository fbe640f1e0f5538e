//! Forecasts of the time from sending a request to an engine until the first event of its answer.
//!
//! | module | responsibility |
//! |---|---|
//! | [`outcomes`] | sums of outcomes, which nodes can add up |
//! | [`rates`] | the rates of a service's engines, from these sums |
//! | [`shared`] | the sums of all nodes |
//! | [`error`] | how far outcomes are from their forecasts, and whether forecasts may be trusted |
//! | [`long_prompts`] | which prompts are long, and how many engines are preferred for them |

pub mod error;
pub mod long_prompts;
mod outcomes;
pub mod rates;
pub mod shared;

use std::time::Duration;

use paddlemount_protocol::{fleet::PoolRates, identity::ServiceId, time::Timestamp};

use error::{Counts, ForecastError};
use long_prompts::{LongPromptEngines, LongPrompts};
use rates::{RateEstimator, Rates};

/// The slowness of a typical engine.
pub const NEUTRAL_SLOWNESS: f64 = 1.0;

/// The work at an engine when a request is placed there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineWorkload {
    /// Requests in flight, running or queued.
    pub requests: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Tokens that it has yet to prefill.
    pub pending_prefill_tokens: u64,
}

/// What a request costs an engine before its first event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestWork {
    /// Tokens to prefill.
    pub prefill_tokens: u64,
    /// The time to import a cached prefix.
    pub transfer: Duration,
}

/// An outcome with what was known when the request was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub workload: EngineWorkload,
    pub work: RequestWork,
    /// The forecast, if there were rates for one.
    pub forecast: Option<Duration>,
    /// The time until the first event.
    pub measured: Duration,
    /// The target latency of the request's route.
    pub target: Duration,
}

/// The forecast time until the first event of a request. `slowness` is the engine's time for the same work
/// relative to a typical engine of the service.
pub fn time_to_first_event(
    rates: &Rates,
    slowness: f64,
    workload: EngineWorkload,
    work: RequestWork,
) -> Duration {
    let slots = workload.slots.max(1);
    let running = workload.requests.min(slots);
    let queued = (workload.requests + 1).saturating_sub(slots);
    let tokens = work.prefill_tokens + workload.pending_prefill_tokens;
    // A queued request waits at least until the one before it has begun.
    let starts = rates.overhead.as_secs_f64() * f64::from(1 + queued);
    let steps = rates.per_running_request.as_secs_f64() * f64::from(running);
    let reading = rates.reading(tokens).as_secs_f64();
    let engine_time = Duration::try_from_secs_f64((starts + steps + reading) * slowness);
    work.transfer.saturating_add(engine_time.unwrap_or(Duration::MAX))
}

/// What a choice by time needs to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The service's rates, by which forecasts may be trusted.
    pub rates: Rates,
    /// The target latency of the request's route.
    pub target: Duration,
    pub long_prompts: LongPrompts,
}

/// Forecasts for the engines of one service.
#[derive(Debug, Default)]
pub struct Forecaster {
    estimator: RateEstimator,
    error: ForecastError,
    long_prompts: LongPromptEngines,
}

impl Forecaster {
    /// Records that an answer began.
    pub fn record(&mut self, outcome: &Outcome, now: Timestamp) {
        self.estimator.record(outcome.workload, outcome.work, outcome.measured, now);
        if let Some(forecast) = outcome.forecast {
            self.error.record(forecast, outcome.measured, outcome.target, now);
        }
    }

    /// What this node has measured, for other nodes.
    pub fn own_rates(&self, service: &ServiceId, now: Timestamp) -> PoolRates {
        let counts = self.error.own_counts(now);
        PoolRates {
            service: service.clone(),
            outcomes: self.estimator.own_outcomes(now),
            judged_per_mille: (counts.all * 1e3) as u64,
            close_per_mille: (counts.close * 1e3) as u64,
        }
    }

    /// Uses what all nodes have measured from now on, or what this node has if that is unknown.
    pub fn use_shared(&mut self, rates: Option<&PoolRates>, now: Timestamp) {
        self.estimator.use_shared(rates.map(|rates| rates.outcomes.as_slice()), now);
        self.error.use_shared(rates.map(|rates| Counts {
            close: rates.close_per_mille as f64 / 1e3,
            all: rates.judged_per_mille as f64 / 1e3,
        }));
    }

    /// The rates as measured, whether or not forecasts by them may be trusted.
    pub fn measured_rates(&self, now: Timestamp) -> Option<Rates> {
        self.estimator.rates(now)
    }

    /// The rates, if forecasts by them may be trusted.
    pub fn trusted_rates(&self, now: Timestamp) -> Option<Rates> {
        self.measured_rates(now).filter(|_| self.error.is_trusted(now))
    }

    /// Updates the preference for long prompts in a pool of `engines`. `tightest_target` is the tightest target
    /// latency of the service's routes; `demand` counts the tokens a second of long prompts at all nodes, if
    /// known.
    pub fn update(&mut self, tightest_target: Duration, engines: usize, demand: Option<f64>, now: Timestamp) {
        self.error.update(now);
        if let Some(rates) = self.measured_rates(now) {
            self.long_prompts.update(&rates, tightest_target, engines, demand, now);
        }
    }

    /// Whether forecasts may be trusted.
    pub fn is_trusted(&self, now: Timestamp) -> bool {
        self.trusted_rates(now).is_some()
    }

    /// What a choice by time needs for a route with this target latency; `None` if forecasts may not be
    /// trusted.
    pub fn timing(&self, target: Duration, now: Timestamp) -> Option<Timing> {
        let (rates, long_prompts) = (self.trusted_rates(now)?, self.long_prompts()?);
        Some(Timing { rates, target, long_prompts })
    }

    /// Which prompts are long, and the engines preferred for them; `None` until there are rates.
    pub const fn long_prompts(&self) -> Option<LongPrompts> {
        self.long_prompts.current()
    }
}
