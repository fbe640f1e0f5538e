//! Medians over seeds, as a table.

use serde::Serialize;

use super::metrics::PolicyResult;
use crate::policy::PolicyName;

/// Medians of one policy's results over several seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    pub policy: PolicyName,
    /// Number of results.
    pub seeds: usize,
    /// Requests that arrived in the measured time.
    pub requests: f64,
    /// Share of requests with a complete answer.
    pub complete: f64,
    /// Share of requests that were refused without having run.
    pub not_run: f64,
    pub hit_rate: f64,
    pub ttft_p50_ms: f64,
    pub ttft_p95_ms: f64,
    pub ttft_p99_ms: f64,
    /// Tokens prefilled although some serving engine held them.
    pub wasted_tokens: f64,
    pub prefilled_tokens: f64,
    pub tokens_per_second: f64,
    /// Share of engine time spent on prefill.
    pub prefill_utilisation: f64,
    /// Requests of the busiest engine, relative to the mean.
    pub imbalance: f64,
    /// Attempts after the first, per request.
    pub retries: f64,
    /// Seconds until hit rate and 99th percentile have recovered from the first fault: infinite if they have
    /// not before the end, none if the scenario has no fault.
    pub recovery_s: Option<(f64, f64)>,
}

impl Summary {
    /// The medians of one policy's results; none if there are no results.
    pub fn of(results: &[&PolicyResult]) -> Option<Self> {
        let policy = results.first()?.policy;
        let median = |value: fn(&PolicyResult) -> f64| median(results.iter().map(|result| value(result)));
        Some(Self {
            policy,
            seeds: results.len(),
            requests: median(|result| result.requests as f64),
            complete: median(|result| share(result.complete, result.requests)),
            not_run: median(|result| share(result.not_run, result.requests)),
            hit_rate: median(|result| result.prefix_hit_rate),
            ttft_p50_ms: median(|result| result.ttft_ms.p50),
            ttft_p95_ms: median(|result| result.ttft_ms.p95),
            ttft_p99_ms: median(|result| result.ttft_ms.p99),
            wasted_tokens: median(|result| result.wasted_recompute_tokens as f64),
            prefilled_tokens: median(|result| result.prefilled_tokens as f64),
            tokens_per_second: median(|result| result.tokens_per_second),
            prefill_utilisation: median(|result| result.prefill_utilisation),
            imbalance: median(|result| result.imbalance),
            retries: median(|result| share(result.retries, result.requests)),
            recovery_s: results.iter().all(|result| result.recovery.is_some()).then(|| {
                let hit_rate = median(|result| seconds(result.recovery.and_then(|it| it.hit_rate_s)));
                (hit_rate, median(|result| seconds(result.recovery.and_then(|it| it.ttft_p99_s))))
            }),
        })
    }

    /// Medians per policy, in the order in which the policies first appear.
    pub fn by_policy(results: &[PolicyResult]) -> Vec<Self> {
        let mut policies: Vec<PolicyName> = Vec::new();
        for result in results {
            if !policies.contains(&result.policy) {
                policies.push(result.policy);
            }
        }
        let of_policy = |policy: &PolicyName| {
            let matching: Vec<&PolicyResult> =
                results.iter().filter(|result| result.policy == *policy).collect();
            Self::of(&matching)
        };
        policies.iter().filter_map(of_policy).collect()
    }

    /// A Markdown table of the medians per policy.
    pub fn table(results: &[PolicyResult]) -> String {
        let columns: Vec<&Column> = COLUMNS.iter().chain(&EXTRA_COLUMNS).collect();
        let titles: Vec<&str> = columns.iter().map(|column| column.title).collect();
        let mut table = format!("| {} |\n|{}\n", titles.join(" | "), "---|".repeat(columns.len()));
        for summary in Self::by_policy(results) {
            let cells: Vec<String> = columns.iter().map(|column| (column.cell)(&summary)).collect();
            table.push_str(&format!("| {} |\n", cells.join(" | ")));
        }
        table
    }
}

/// A column of a table of summaries.
pub struct Column {
    pub title: &'static str,
    /// Formats the cell of a row.
    pub cell: fn(&Summary) -> String,
}

impl Column {
    const fn new(title: &'static str, cell: fn(&Summary) -> String) -> Self {
        Self { title, cell }
    }
}

/// Columns of all summary tables.
pub const COLUMNS: [Column; 12] = [
    Column::new("policy", |summary| summary.policy.to_string()),
    Column::new("seeds", |summary| summary.seeds.to_string()),
    Column::new("requests", |summary| format!("{:.0}", summary.requests)),
    Column::new("complete", |summary| format!("{:.4}", summary.complete)),
    Column::new("not run", |summary| format!("{:.4}", summary.not_run)),
    Column::new("hit rate", |summary| format!("{:.4}", summary.hit_rate)),
    Column::new("p50 ms", |summary| format!("{:.1}", summary.ttft_p50_ms)),
    Column::new("p95 ms", |summary| format!("{:.1}", summary.ttft_p95_ms)),
    Column::new("p99 ms", |summary| format!("{:.1}", summary.ttft_p99_ms)),
    Column::new("wasted tokens", |summary| format!("{:.0}", summary.wasted_tokens)),
    Column::new("prefilled tokens", |summary| format!("{:.0}", summary.prefilled_tokens)),
    Column::new("tokens/s", |summary| format!("{:.0}", summary.tokens_per_second)),
];

/// Additional columns of the Markdown table.
const EXTRA_COLUMNS: [Column; 4] = [
    Column::new("prefill use", |summary| format!("{:.3}", summary.prefill_utilisation)),
    Column::new("imbalance", |summary| format!("{:.2}", summary.imbalance)),
    Column::new("retries", |summary| format!("{:.4}", summary.retries)),
    Column::new("back s", |summary| {
        summary.recovery_s.map_or_else(String::new, |(hits, tail)| format!("{hits}, {tail}"))
    }),
];

/// The median, or the mean of the middle two values if their number is even. Zero if there are none.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        count if count % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

fn seconds(recovered_after: Option<f64>) -> f64 {
    recovered_after.unwrap_or(f64::INFINITY)
}

fn share(part: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { part as f64 / total as f64 }
}
