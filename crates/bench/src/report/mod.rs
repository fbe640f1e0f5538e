//! HTML reports with plots that compare policies.

use self::plot::{Bars, Lines};
use crate::experiment::{
    metrics::{PolicyResult, SecondResult},
    summary::{COLUMNS, Summary},
};

mod plot;

/// An error while drawing a report.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    #[error("there are no results to draw")]
    Empty,
    #[error("plot {plot:?}: {message}")]
    Plot { plot: String, message: String },
}

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:80em}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}\
    td:first-child{text-align:left}svg{margin:4px}";

/// Renders a self-contained HTML page with a table and plots of the results.
///
/// For several seeds of a policy, bars show the medians and lines the first seed.
pub fn html(results: &[PolicyResult]) -> Result<String, ReportError> {
    let first = results.first().ok_or(ReportError::Empty)?;
    let summaries = Summary::by_policy(results);
    let title = format!("Scenario {}", escaped(&first.scenario));
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>\n"
    );
    page.push_str(&table(&summaries));
    page.push_str("<h2>Policies side by side</h2>\n");
    for bars in side_by_side(&summaries) {
        page.push_str(&bars.svg()?);
    }
    page.push_str(
        "<h2>Over time</h2>\n<p>By the second in which a request was sent, warm-up included.</p>\n",
    );
    for lines in over_time(results) {
        page.push_str(&lines.svg()?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn table(summaries: &[Summary]) -> String {
    let titles: String = COLUMNS.iter().map(|column| format!("<th>{}</th>", column.title)).collect();
    let mut table = format!("<table><tr>{titles}</tr>\n");
    for summary in summaries {
        let cells: String =
            COLUMNS.iter().map(|column| format!("<td>{}</td>", (column.cell)(summary))).collect();
        table.push_str(&format!("<tr>{cells}</tr>\n"));
    }
    table.push_str("</table>\n");
    table
}

fn side_by_side(summaries: &[Summary]) -> Vec<Bars> {
    let bars = |title: &str, value: fn(&Summary) -> f64| Bars {
        title: title.to_owned(),
        bars: summaries.iter().map(|row| (row.policy.to_string(), value(row))).collect(),
    };
    vec![
        bars("Prefix hit rate", |row| row.hit_rate),
        bars("Time to first token, p99 in ms", |row| row.ttft_p99_ms),
        bars("Wasted recomputation, tokens", |row| row.wasted_tokens),
        bars("Requests not run, share", |row| row.not_run),
    ]
}

fn over_time(results: &[PolicyResult]) -> Vec<Lines> {
    let mut firsts: Vec<&PolicyResult> = Vec::new();
    for result in results {
        if firsts.iter().all(|first| first.policy != result.policy) {
            firsts.push(result);
        }
    }
    let lines = |title: &str, value: fn(&SecondResult) -> f64| Lines {
        title: title.to_owned(),
        lines: firsts.iter().map(|result| (result.policy.to_string(), series(result, value))).collect(),
    };
    vec![
        lines("Prefix hit rate by second", |second| second.hit_rate),
        lines("Time to first token by second, p99 in ms", |second| second.ttft_p99_ms),
    ]
}

fn series(result: &PolicyResult, value: fn(&SecondResult) -> f64) -> Vec<(f64, f64)> {
    let sent = result.per_second.iter().filter(|second| second.requests > 0);
    sent.map(|second| (second.second as f64, value(second))).collect()
}
