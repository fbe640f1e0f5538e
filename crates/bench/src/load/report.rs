//! Report of a load run.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use paddlemount_protocol::refusal::RefusalCode;
use serde::Serialize;

use super::{
    LoadSettings, Workload,
    client::{Ending, Sample},
};

/// Upper bound of recorded times, in microseconds.
const MAX_MICROSECONDS: u64 = 600_000_000;

/// Precision of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum number of failure messages in a report.
const MAX_REPORTED_FAILURES: usize = 5;

/// The result of a load run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    pub workload: Workload,
    /// Planned rate through the nodes, and again directly to the engine.
    pub requests_per_second: f64,
    /// Seconds in which requests were sent, including warm-up.
    pub seconds: f64,
    /// Requests of the warm-up are not counted.
    pub warm_up_seconds: f64,
    pub node: TargetReport,
    /// Requests directly to the engine, if one was given.
    pub engine: Option<TargetReport>,
    /// Latency that the nodes add, as the difference of equal percentiles.
    pub added: Option<AddedLatency>,
    /// Processor time of the nodes, if their processes were given.
    pub processor: Option<ProcessorReport>,
    /// Delay of sending after the planned time. Large values mean that the load generator was too slow for
    /// valid results.
    pub lateness_ms: Percentiles,
}

/// Results of one kind of target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetReport {
    pub requests: u64,
    /// Complete, expected answers.
    pub complete: u64,
    /// Complete answers that were not the expected ones.
    pub wrong: u64,
    /// Streams that ended without their end marker.
    pub incomplete: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Streams that an error ended, by its code.
    pub broken: BTreeMap<String, u64>,
    /// Requests without a readable answer.
    pub failed: u64,
    /// Distinct messages of the first failures.
    pub failures: Vec<String>,
    /// Time to first token of complete answers.
    pub ttft_ms: Percentiles,
    /// Time to the end of complete answers.
    pub total_ms: Percentiles,
    /// Share of prompt tokens that came from a cache.
    pub prefix_hit_rate: f64,
}

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    pub max: f64,
}

/// Latency that nodes add to a direct call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AddedLatency {
    pub ttft_ms: Percentiles,
    pub total_ms: Percentiles,
}

/// Processor time of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ProcessorReport {
    /// Total over all nodes, including warm-up.
    pub seconds: f64,
    /// Requests per second of processor time, including warm-up.
    pub requests_per_core_second: f64,
}

struct TargetBuilder {
    report: TargetReport,
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    prompt_tokens: u64,
    cached_tokens: u64,
}

pub(super) struct ReportBuilder {
    warm_up: Duration,
    node: TargetBuilder,
    engine: TargetBuilder,
    lateness: Histogram<u64>,
    through_nodes: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROSECONDS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let milliseconds = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            p50: milliseconds(0.50),
            p95: milliseconds(0.95),
            p99: milliseconds(0.99),
            max: histogram.max() as f64 / 1e3,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            p50: self.p50 - other.p50,
            p95: self.p95 - other.p95,
            p99: self.p99 - other.p99,
            max: self.max - other.max,
        }
    }
}

impl TargetBuilder {
    fn new() -> Self {
        let report = TargetReport {
            requests: 0,
            complete: 0,
            wrong: 0,
            incomplete: 0,
            refused: BTreeMap::new(),
            broken: BTreeMap::new(),
            failed: 0,
            failures: Vec::new(),
            ttft_ms: Percentiles::default(),
            total_ms: Percentiles::default(),
            prefix_hit_rate: 0.0,
        };
        Self { report, first_token: histogram(), total: histogram(), prompt_tokens: 0, cached_tokens: 0 }
    }

    fn add(&mut self, sample: &Sample) {
        self.report.requests += 1;
        self.prompt_tokens += u64::from(sample.prompt_tokens);
        self.cached_tokens += u64::from(sample.cached_tokens);
        match &sample.ending {
            Ending::Complete => self.add_complete(sample),
            Ending::Wrong => self.report.wrong += 1,
            Ending::Incomplete => self.report.incomplete += 1,
            Ending::Refused(code) => *self.report.refused.entry(name_of(*code)).or_default() += 1,
            Ending::Broken(code) => *self.report.broken.entry(name_of(*code)).or_default() += 1,
            Ending::Failed(message) => self.add_failed(message),
        }
    }

    fn add_complete(&mut self, sample: &Sample) {
        self.report.complete += 1;
        record(&mut self.total, sample.total);
        if let Some(first_token) = sample.first_token {
            record(&mut self.first_token, first_token);
        }
    }

    fn add_failed(&mut self, message: &str) {
        self.report.failed += 1;
        let failures = &mut self.report.failures;
        if failures.len() < MAX_REPORTED_FAILURES && !failures.iter().any(|known| known == message) {
            failures.push(message.to_owned());
        }
    }

    fn finish(mut self) -> TargetReport {
        self.report.ttft_ms = Percentiles::of(&self.first_token);
        self.report.total_ms = Percentiles::of(&self.total);
        self.report.prefix_hit_rate = self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64;
        self.report
    }
}

/// The code's name in JSON.
fn name_of(code: RefusalCode) -> String {
    let value = serde_json::to_value(code).ok();
    value.and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
}

impl ReportBuilder {
    pub(super) fn new(warm_up: Duration) -> Self {
        Self {
            warm_up,
            node: TargetBuilder::new(),
            engine: TargetBuilder::new(),
            lateness: histogram(),
            through_nodes: 0,
        }
    }

    pub(super) fn add(&mut self, sample: &Sample) {
        self.through_nodes += u64::from(sample.through_node);
        if sample.planned < self.warm_up {
            return;
        }
        record(&mut self.lateness, sample.lateness);
        let target = if sample.through_node { &mut self.node } else { &mut self.engine };
        target.add(sample);
    }

    pub(super) fn finish(
        self,
        settings: &LoadSettings,
        sending_time: Duration,
        processor: Duration,
    ) -> LoadReport {
        let node = self.node.finish();
        let engine = settings.engine.map(|_| self.engine.finish());
        let added = engine.as_ref().map(|engine| AddedLatency {
            ttft_ms: node.ttft_ms.minus(engine.ttft_ms),
            total_ms: node.total_ms.minus(engine.total_ms),
        });
        let seconds = processor.as_secs_f64();
        let processor = (!settings.node_processes.is_empty() && seconds > 0.0).then(|| ProcessorReport {
            seconds,
            requests_per_core_second: self.through_nodes as f64 / seconds,
        });
        LoadReport {
            workload: settings.workload.clone(),
            requests_per_second: settings.requests_per_second,
            seconds: sending_time.as_secs_f64(),
            warm_up_seconds: settings.warm_up.as_secs_f64(),
            node,
            engine,
            added,
            processor,
            lateness_ms: Percentiles::of(&self.lateness),
        }
    }
}

impl LoadReport {
    /// Whether every request, through nodes and direct, got its complete, expected answer.
    pub fn all_complete(&self) -> bool {
        let is_complete = |target: &TargetReport| target.complete == target.requests;
        is_complete(&self.node) && self.engine.as_ref().is_none_or(is_complete)
    }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:>9.2} {:>9.2} {:>9.2} {:>9.2}", self.p50, self.p95, self.p99, self.max)
    }
}

impl TargetReport {
    fn write(&self, name: &str, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        writeln!(
            formatter,
            "{name}: {} requests, {} complete, {} wrong, {} incomplete, {refused} refused, {} failed, hit rate {:.3}",
            self.requests, self.complete, self.wrong, self.incomplete, self.failed, self.prefix_hit_rate
        )?;
        writeln!(formatter, "  time to first token {}", self.ttft_ms)?;
        writeln!(formatter, "  total               {}", self.total_ms)?;
        for (code, count) in &self.refused {
            writeln!(formatter, "  refused {code}: {count}")?;
        }
        for (code, count) in &self.broken {
            writeln!(formatter, "  ended with {code}: {count}")?;
        }
        for message in &self.failures {
            writeln!(formatter, "  failure: {message}")?;
        }
        Ok(())
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "times in milliseconds:       p50       p95       p99       max")?;
        self.node.write("through nodes", formatter)?;
        if let Some(engine) = &self.engine {
            engine.write("direct to the engine", formatter)?;
        }
        if let Some(added) = &self.added {
            writeln!(formatter, "added by nodes")?;
            writeln!(formatter, "  time to first token {}", added.ttft_ms)?;
            writeln!(formatter, "  total               {}", added.total_ms)?;
        }
        if let Some(processor) = &self.processor {
            let rate = processor.requests_per_core_second;
            writeln!(formatter, "processor: {:.2} s, {rate:.0} requests a core second", processor.seconds)?;
        }
        writeln!(formatter, "sent late by          {}", self.lateness_ms)
    }
}
