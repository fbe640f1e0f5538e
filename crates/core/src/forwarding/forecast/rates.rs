//! The rates of a service's engines, estimated from the outcomes of this node's requests.
//!
//! Outcomes include waiting that the node did not know of. The fastest outcomes of each prompt size have
//! waited least, so rates are fitted to these.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::time::Timestamp;

use super::{EngineWorkload, RequestWork};

/// The upper bounds of all size classes but the last, in tokens to prefill.
const SIZE_BOUNDS: [u64; 4] = [512, 2_048, 8_192, 32_768];
/// Outcomes kept in each size class.
const MAX_OUTCOMES: usize = 48;
/// Outcomes that a size class needs before it is used.
const MIN_OUTCOMES: usize = 8;
/// How long an outcome is used: engines are replaced and change speed.
const OUTCOME_TTL: Duration = Duration::from_secs(60);
/// The share of a size class that is taken as not having waited, as one of this many.
const FASTEST_SHARE: usize = 4;
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

#[derive(Clone, Copy, Debug)]
struct Sample {
    tokens: f64,
    requests: f64,
    seconds: f64,
    at: Timestamp,
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
    by_size: [VecDeque<Sample>; SIZE_BOUNDS.len() + 1],
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
        let sample = Sample {
            tokens: work.prefill_tokens as f64,
            requests: f64::from(workload.requests.min(workload.slots)),
            seconds: measured.saturating_sub(work.transfer).as_secs_f64(),
            at: now,
        };
        let class = SIZE_BOUNDS.partition_point(|bound| *bound <= work.prefill_tokens);
        let samples = &mut self.by_size[class];
        if samples.len() == MAX_OUTCOMES {
            samples.pop_front();
        }
        samples.push_back(sample);
        self.unfitted += 1;
        if self.unfitted >= FIT_INTERVAL {
            self.fit(now);
        }
    }

    /// The rates; `None` with too few recent outcomes, or if all are of prompts of one size.
    pub fn rates(&self, now: Timestamp) -> Option<Rates> {
        self.fitted.filter(|_| now.saturating_since(self.fitted_at) < OUTCOME_TTL)
    }

    fn fit(&mut self, now: Timestamp) {
        self.unfitted = 0;
        for samples in &mut self.by_size {
            samples.retain(|sample| now.saturating_since(sample.at) < OUTCOME_TTL);
        }
        if let Some(rates) = self.fitted_rates() {
            self.fitted = Some(rates);
            self.fitted_at = now;
        }
    }

    fn fitted_rates(&self) -> Option<Rates> {
        let mut classes = self.by_size.iter().filter(|samples| samples.len() >= MIN_OUTCOMES);
        let small = classes.next()?;
        let large = classes.next_back()?;
        let (smallest, largest) = (fastest(small.iter())?, fastest(large.iter())?);
        let slope = (largest.seconds - smallest.seconds) / (largest.tokens - smallest.tokens);
        // The larger prompts waited less than the smaller ones: nothing can be told apart.
        if !slope.is_finite() || slope <= 0.0 {
            return None;
        }
        let per_token = slope;
        let start = (smallest.seconds - per_token * smallest.tokens).max(0.0);
        let per_request = delay_per_request(small).clamp(0.0, start / smallest.requests.max(1.0));
        let duration = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or_default();
        Some(Rates {
            overhead: duration(start - per_request * smallest.requests),
            per_token: duration(per_token),
            per_running_request: duration(per_request),
        })
    }
}

/// The mean of the fastest outcomes.
fn fastest<'a>(samples: impl Iterator<Item = &'a Sample>) -> Option<Mean> {
    let mut sorted: Vec<&Sample> = samples.collect();
    sorted.sort_by(|left, right| left.seconds.total_cmp(&right.seconds));
    sorted.truncate(sorted.len().div_ceil(FASTEST_SHARE));
    let count = sorted.len() as f64;
    let mean = |value: fn(&Sample) -> f64| sorted.iter().map(|sample| value(sample)).sum::<f64>() / count;
    (!sorted.is_empty()).then(|| Mean {
        tokens: mean(|sample| sample.tokens),
        requests: mean(|sample| sample.requests),
        seconds: mean(|sample| sample.seconds),
    })
}

/// By how much the fastest outcomes at busier engines are later than those at less busy ones, per request
/// running there.
fn delay_per_request(samples: &VecDeque<Sample>) -> f64 {
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by(|left, right| left.requests.total_cmp(&right.requests));
    let (idle, busy) = sorted.split_at(sorted.len() / 2);
    match (fastest(idle.iter().copied()), fastest(busy.iter().copied())) {
        (Some(idle), Some(busy)) if busy.requests >= idle.requests + 1.0 => {
            (busy.seconds - idle.seconds) / (busy.requests - idle.requests)
        }
        _ => 0.0,
    }
}
