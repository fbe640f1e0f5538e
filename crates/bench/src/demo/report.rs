//! The result of a demo, as a table and as JSON.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};

use hdrhistogram::Histogram;
use paddlemount_standins::booking::model::{LedgerEntry, duplicate_runs};
use serde::Serialize;

use super::record::{BookingRecord, ChatRecord, Content, Records};

/// Time rows of the table.
const TABLE_ROWS: u32 = 7;
/// Maximum number of failure causes in the table.
const MAX_CAUSES: usize = 5;

/// Percentiles of the time to first token, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FirstToken {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

/// The result of a demo.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Including bookings.
    pub requests: usize,
    /// Requests with a complete answer.
    pub complete: usize,
    /// Requests without a complete answer.
    pub incomplete: usize,
    /// Unexpected answers, including bookings that contradict the ledgers.
    pub wrong: usize,
    /// Bookings that ran more than once.
    pub ran_twice: usize,
    /// Share of prompt tokens served from caches.
    pub prefix_hit_rate: f64,
    /// Streamed answers only.
    pub ttft_ms: FirstToken,
    pub bookings: usize,
    /// Sends after the first, over all requests.
    pub resent: u32,
    /// Whether all faults were injected and repaired.
    pub faults_took_place: bool,
    #[serde(skip)]
    table: String,
}

impl Summary {
    /// Evaluates the records against the ledgers; without ledgers, all bookings count as wrong.
    pub fn new(records: &Records, ledgers: Option<&[Vec<LedgerEntry>]>) -> Self {
        let content = records.content();
        let complete_chats = content.chats.iter().filter(|end| end.ending.result.is_ok()).count();
        let complete_bookings = content.bookings.iter().filter(|end| end.ending.result.is_ok()).count();
        let requests = content.chats.len() + content.bookings.len();
        let complete = complete_chats + complete_bookings;
        let wrong_chats =
            content.chats.iter().filter(|end| end.ending.result.is_ok() && !end.correct).count();
        let resent = content.chats.iter().map(|end| end.ending.resent);
        let resent = resent.chain(content.bookings.iter().map(|end| end.ending.resent)).sum();
        let mut summary = Self {
            requests,
            complete,
            incomplete: requests - complete,
            wrong: wrong_chats + count_wrong_bookings(&content.bookings, ledgers),
            ran_twice: ledgers.map_or(0, |ledgers| duplicate_runs(ledgers.iter().map(Vec::as_slice)).len()),
            prefix_hit_rate: hit_rate(content.chats.iter()),
            ttft_ms: first_token(content.chats.iter()),
            bookings: content.bookings.len(),
            resent,
            faults_took_place: !content.fault_failed,
            table: String::new(),
        };
        summary.table = table(&content, records.length, &summary);
        summary
    }

    /// Whether no request was incomplete, wrong or run twice, and the faults took place.
    pub const fn passed(&self) -> bool {
        self.incomplete == 0
            && self.wrong == 0
            && self.ran_twice == 0
            && self.requests > 0
            && self.faults_took_place
    }

    /// The table.
    pub fn table(&self) -> String {
        self.table.clone()
    }

    /// One line of JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
    }
}

/// Counts bookings with an unexpected answer, answered bookings that did not run, and bookings that ran
/// though refused as not run.
fn count_wrong_bookings(bookings: &[BookingRecord], ledgers: Option<&[Vec<LedgerEntry>]>) -> usize {
    let Some(ledgers) = ledgers else { return bookings.len() };
    let entries = ledgers.iter().flatten().filter_map(|entry| entry.key.as_ref());
    let ran: BTreeSet<&str> = entries.map(|key| key.as_str()).collect();
    let is_wrong = |end: &&BookingRecord| {
        let has_run = ran.contains(end.key.as_str());
        match &end.ending.result {
            Ok(_) => !end.correct || !has_run,
            Err(_) => end.ending.not_run && has_run,
        }
    };
    bookings.iter().filter(is_wrong).count()
}

fn hit_rate<'a>(chats: impl Iterator<Item = &'a ChatRecord>) -> f64 {
    let usages = chats.filter_map(|end| end.ending.result.as_ref().ok()).map(|answer| answer.usage);
    let (prompt, cached) = usages.fold((0_u64, 0_u64), |(prompt, cached), usage| {
        let cached_tokens = usage.prompt_tokens_details.cached_tokens;
        (prompt + u64::from(usage.prompt_tokens), cached + u64::from(cached_tokens))
    });
    (cached as f64 / prompt.max(1) as f64 * 1e4).round() / 1e4
}

fn first_token<'a>(chats: impl Iterator<Item = &'a ChatRecord>) -> FirstToken {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return FirstToken::default() };
    for end in chats {
        let waited = end.ending.result.as_ref().ok().and_then(|answer| answer.first_token);
        if let Some(waited) = waited {
            // The histogram resizes itself, so that recording cannot fail.
            let _ = histogram.record(waited.as_micros() as u64);
        }
    }
    let milliseconds = |quantile| (histogram.value_at_quantile(quantile) as f64 / 100.0).round() / 10.0;
    FirstToken { p50: milliseconds(0.5), p95: milliseconds(0.95), p99: milliseconds(0.99) }
}

fn table(content: &Content, length: Duration, summary: &Summary) -> String {
    let mut text = String::new();
    let mut line = |row: String| {
        let _ = writeln!(text, "{row}");
    };
    line(format!(
        "{:>9} {:>9} {:>9} {:>10} {:>10} {:>9} {:>9} {:>9}",
        "sent at", "requests", "complete", "sent again", "from cache", "ttft p50", "ttft p95", "ttft p99"
    ));
    let row = length / TABLE_ROWS;
    for number in 0..TABLE_ROWS {
        let (from, until) = (row * number, row * (number + 1));
        line(time_row(content, from, until));
        let is_last = number + 1 == TABLE_ROWS;
        for note in content.notes.iter().filter(|note| note.at >= from && (note.at < until || is_last)) {
            line(format!("{:>8.1}s   {}", note.at.as_secs_f64(), note.description));
        }
    }
    line(String::new());
    line(format!(
        "{} requests, {} of them bookings: {} complete, {} incomplete, {} wrong, {} ran twice.",
        summary.requests,
        summary.bookings,
        summary.complete,
        summary.incomplete,
        summary.wrong,
        summary.ran_twice
    ));
    for FailureCause { cause, count } in causes(content).into_iter().take(MAX_CAUSES) {
        line(format!("  {count} x {cause}"));
    }
    line(format!(
        "{:.1}% of prompt tokens came from cache. Each answer was compared with what its request should have got.",
        summary.prefix_hit_rate * 100.0
    ));
    text
}

fn time_row(content: &Content, from: Duration, until: Duration) -> String {
    let within = |sent: Duration| sent >= from && sent < until;
    let chats: Vec<&ChatRecord> = content.chats.iter().filter(|end| within(end.sent)).collect();
    let bookings: Vec<&BookingRecord> = content.bookings.iter().filter(|end| within(end.sent)).collect();
    let complete = chats.iter().filter(|end| end.ending.result.is_ok()).count()
        + bookings.iter().filter(|end| end.ending.result.is_ok()).count();
    let resent: u32 = chats.iter().map(|end| end.ending.resent).sum::<u32>()
        + bookings.iter().map(|end| end.ending.resent).sum::<u32>();
    let first = first_token(chats.iter().copied());
    format!(
        "{:>8.1}s {:>9} {:>9} {:>10} {:>9.1}% {:>6.0} ms {:>6.0} ms {:>6.0} ms",
        from.as_secs_f64(),
        chats.len() + bookings.len(),
        complete,
        resent,
        hit_rate(chats.iter().copied()) * 100.0,
        first.p50,
        first.p95,
        first.p99
    )
}

/// A cause of failure with its frequency.
struct FailureCause {
    cause: String,
    count: usize,
}

/// Causes of failure, most frequent first.
fn causes(content: &Content) -> Vec<FailureCause> {
    let chats = content.chats.iter().filter_map(|end| end.ending.result.as_ref().err());
    let bookings = content.bookings.iter().filter_map(|end| end.ending.result.as_ref().err());
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for cause in chats.chain(bookings) {
        *counts.entry(cause.clone()).or_default() += 1;
    }
    let cause = |(cause, count)| FailureCause { cause, count };
    let mut causes: Vec<FailureCause> = counts.into_iter().map(cause).collect();
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.count));
    causes
}
