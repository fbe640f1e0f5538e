//! Metrics of a run, and its result.

use paddlemount_protocol::time::Timestamp;
use serde::Serialize;

use super::recovery::Recovery;
use crate::policy::PolicyName;

/// Percentiles of a duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

impl Percentiles {
    /// Exact percentiles of durations in microseconds; zero if there are none.
    pub fn of(durations_us: &mut [u64]) -> Self {
        durations_us.sort_unstable();
        let at = |share: f64| {
            let rank = (durations_us.len() as f64 * share).ceil() as usize;
            durations_us.get(rank.saturating_sub(1)).map_or(0.0, |duration| *duration as f64 / 1_000.0)
        };
        Self { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
    }
}

/// The result of one policy with one seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyResult {
    /// The scenario's name or path.
    pub scenario: String,
    pub policy: PolicyName,
    pub seed: u64,
    /// Disabled mechanisms.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub without: Vec<String>,
    /// Requests that arrived in the measured time.
    pub requests: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests that were refused without having run.
    pub not_run: u64,
    /// Requests that started and did not complete.
    pub failed: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Share of prompt tokens found cached, including imported ones.
    pub prefix_hit_rate: f64,
    /// Time to first token, as the caller sees it.
    pub ttft_ms: Percentiles,
    /// Tokens prefilled although some serving engine of that version held them.
    pub wasted_recompute_tokens: u64,
    /// Prompt tokens that were not found cached.
    pub prefilled_tokens: u64,
    /// Prompt tokens imported from the cache store.
    pub imported_tokens: u64,
    /// Answer tokens per second, by answers that ended in the measured time.
    pub tokens_per_second: f64,
    /// Share of engine time spent on prefill.
    pub prefill_utilisation: f64,
    /// Requests started by the busiest engine, relative to the mean over engines.
    pub imbalance: f64,
    /// Recovery after the first fault, if the scenario has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub recovery: Option<Recovery>,
    pub tenants: Vec<TenantResult>,
    /// Results by second since the start of the run.
    pub per_second: Vec<SecondResult>,
}

/// The result of one tenant group.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TenantResult {
    pub name: String,
    /// Requests that arrived in the measured time.
    pub requests: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests that were refused without having run.
    pub not_run: u64,
    pub ttft_ms: Percentiles,
}

/// The result of the requests that were sent within one second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SecondResult {
    /// Since the start of the run, including warm-up.
    pub second: u64,
    /// Requests sent.
    pub requests: u64,
    pub hit_rate: f64,
    pub ttft_p99_ms: f64,
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// The complete answer arrived.
    Complete,
    /// Refused without having run.
    NotRun,
    /// Started and did not complete.
    Failed,
}

/// The start of a request at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillSample {
    pub prompt_tokens: u32,
    /// Tokens found cached, including imported ones.
    pub cached_tokens: u32,
    /// Tokens that the request was to import.
    pub imported_tokens: u32,
    /// Tokens of the longest prefix that a serving engine of the version held.
    pub held_tokens: u32,
}

impl PrefillSample {
    /// Tokens that were prefilled.
    pub const fn prefilled(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.cached_tokens)
    }

    /// Tokens that were prefilled although some engine held them.
    pub const fn wasted(&self) -> u32 {
        self.held_tokens.saturating_sub(self.cached_tokens)
    }
}

#[derive(Default)]
struct Group {
    requests: u64,
    complete: u64,
    not_run: u64,
    failed: u64,
    ttft_us: Vec<u64>,
}

#[derive(Default)]
struct Second {
    requests: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    ttft_us: Vec<u64>,
}

/// Collects the measurements of a run.
pub struct Metrics {
    measured_from: Timestamp,
    measured_until: Timestamp,
    groups: Vec<Group>,
    seconds: Vec<Second>,
    starts_by_engine: Vec<u64>,
    retries: u64,
    generated_tokens: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    imported_tokens: u64,
    wasted_tokens: u64,
    prefilled_tokens: u64,
}

impl Metrics {
    /// Measures requests sent from `measured_from` until `measured_until`.
    pub fn new(measured_from: Timestamp, measured_until: Timestamp, groups: usize, engines: usize) -> Self {
        let seconds = measured_until.0.div_ceil(MICROSECONDS_PER_SECOND) as usize;
        Self {
            measured_from,
            measured_until,
            groups: (0..groups).map(|_| Group::default()).collect(),
            seconds: (0..seconds).map(|_| Second::default()).collect(),
            starts_by_engine: vec![0; engines],
            retries: 0,
            generated_tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            imported_tokens: 0,
            wasted_tokens: 0,
            prefilled_tokens: 0,
        }
    }

    fn is_measured(&self, sent_at: Timestamp) -> bool {
        (self.measured_from..self.measured_until).contains(&sent_at)
    }

    fn second(&mut self, sent_at: Timestamp) -> Option<&mut Second> {
        self.seconds.get_mut((sent_at.0 / MICROSECONDS_PER_SECOND) as usize)
    }

    /// Counts a request that was sent.
    pub fn sent(&mut self, sent_at: Timestamp, group: usize) {
        if let Some(second) = self.second(sent_at) {
            second.requests += 1;
        }
        if self.is_measured(sent_at) {
            self.groups[group].requests += 1;
        }
    }

    /// Counts a retry.
    pub fn retried(&mut self, sent_at: Timestamp) {
        if self.is_measured(sent_at) {
            self.retries += 1;
        }
    }

    /// Counts the start of a request at an engine.
    pub fn started(&mut self, sent_at: Timestamp, engine: usize, sample: PrefillSample) {
        if let Some(second) = self.second(sent_at) {
            second.prompt_tokens += u64::from(sample.prompt_tokens);
            second.cached_tokens += u64::from(sample.cached_tokens);
        }
        if !self.is_measured(sent_at) {
            return;
        }
        self.starts_by_engine[engine] += 1;
        self.prompt_tokens += u64::from(sample.prompt_tokens);
        self.cached_tokens += u64::from(sample.cached_tokens);
        self.imported_tokens += u64::from(sample.imported_tokens);
        self.prefilled_tokens += u64::from(sample.prefilled());
        self.wasted_tokens += u64::from(sample.wasted());
    }

    /// Records the time to the first token at the caller.
    pub fn first_token(&mut self, sent_at: Timestamp, at: Timestamp, group: usize) {
        let duration = at.0.saturating_sub(sent_at.0);
        if let Some(second) = self.second(sent_at) {
            second.ttft_us.push(duration);
        }
        if self.is_measured(sent_at) {
            self.groups[group].ttft_us.push(duration);
        }
    }

    /// Counts the tokens of a finished answer.
    pub fn generated(&mut self, at: Timestamp, tokens: u32) {
        if self.is_measured(at) {
            self.generated_tokens += u64::from(tokens);
        }
    }

    /// Counts the end of a request.
    pub fn ended(&mut self, sent_at: Timestamp, group: usize, ending: RequestEnding) {
        if !self.is_measured(sent_at) {
            return;
        }
        let group = &mut self.groups[group];
        match ending {
            RequestEnding::Complete => group.complete += 1,
            RequestEnding::NotRun => group.not_run += 1,
            RequestEnding::Failed => group.failed += 1,
        }
    }

    /// Computes the result. `group_names` are in the order of the groups.
    pub fn finish(
        mut self,
        label: RunLabel,
        group_names: &[String],
        prefill_speed: f64,
        first_fault_s: Option<f64>,
    ) -> PolicyResult {
        let measured_from_s = self.measured_from.0 as f64 / MICROSECONDS_PER_SECOND as f64;
        let per_second: Vec<SecondResult> = self.seconds.iter_mut().enumerate().map(second_result).collect();
        let measured_s = self.measured_until.saturating_since(self.measured_from).as_secs_f64();
        let sum = |count: fn(&Group) -> u64| self.groups.iter().map(count).sum::<u64>();
        let (requests, complete) = (sum(|group| group.requests), sum(|group| group.complete));
        let (not_run, failed) = (sum(|group| group.not_run), sum(|group| group.failed));
        let mut all: Vec<u64> = self.groups.iter().flat_map(|group| group.ttft_us.iter().copied()).collect();
        let engines = self.starts_by_engine.len() as f64;
        let starts = self.starts_by_engine.iter().sum::<u64>() as f64;
        let busiest = self.starts_by_engine.iter().copied().max().unwrap_or(0) as f64;
        PolicyResult {
            scenario: label.scenario,
            policy: label.policy,
            seed: label.seed,
            without: label.without,
            requests,
            complete,
            not_run,
            failed,
            retries: self.retries,
            prefix_hit_rate: rounded(ratio(self.cached_tokens as f64, self.prompt_tokens as f64)),
            ttft_ms: Percentiles::of(&mut all),
            wasted_recompute_tokens: self.wasted_tokens,
            prefilled_tokens: self.prefilled_tokens,
            imported_tokens: self.imported_tokens,
            tokens_per_second: rounded(self.generated_tokens as f64 / measured_s),
            prefill_utilisation: rounded(ratio(
                self.prefilled_tokens as f64,
                prefill_speed * engines * measured_s,
            )),
            imbalance: rounded(ratio(busiest * engines, starts)),
            recovery: first_fault_s.map(|event_s| Recovery::after(&per_second, measured_from_s, event_s)),
            tenants: self.groups.iter_mut().zip(group_names).map(tenant_result).collect(),
            per_second,
        }
    }
}

/// Identifies a run in its result.
#[derive(Clone, Debug)]
pub struct RunLabel {
    /// The scenario's name or path.
    pub scenario: String,
    pub policy: PolicyName,
    pub seed: u64,
    /// Disabled mechanisms.
    pub without: Vec<String>,
}

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

fn tenant_result((group, name): (&mut Group, &String)) -> TenantResult {
    TenantResult {
        name: name.clone(),
        requests: group.requests,
        complete: group.complete,
        not_run: group.not_run,
        ttft_ms: Percentiles::of(&mut group.ttft_us),
    }
}

fn second_result((position, second): (usize, &mut Second)) -> SecondResult {
    SecondResult {
        second: position as u64,
        requests: second.requests,
        hit_rate: rounded(ratio(second.cached_tokens as f64, second.prompt_tokens as f64)),
        ttft_p99_ms: Percentiles::of(&mut second.ttft_us).p99,
    }
}

fn ratio(part: f64, total: f64) -> f64 {
    if total > 0.0 { part / total } else { 0.0 }
}

/// Rounds to five decimal places, for readable results.
fn rounded(value: f64) -> f64 {
    (value * 100_000.0).round() / 100_000.0
}
