//! The record of a case: what was sent, answered and run, in seconds since its start.

use std::{
    fmt::Write as _,
    time::{Duration, Instant},
};

/// Lines of the record, sorted by time when written.
pub struct Record {
    began: Instant,
    lines: Vec<(Duration, String)>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Vec::new() }
    }

    /// Adds a line about something that happened at `at`.
    pub fn at(&mut self, at: Instant, text: impl Into<String>) {
        self.lines.push((at.saturating_duration_since(self.began), text.into()));
    }

    /// Adds a line about something that happens now.
    pub fn now(&mut self, text: impl Into<String>) {
        self.at(Instant::now(), text);
    }

    /// Writes `record.txt` into a folder, with the verdict first.
    pub fn write(&mut self, folder: &str, verdict: &str) -> Result<(), String> {
        self.lines.sort_by_key(|(at, _)| *at);
        let mut text = format!("{verdict}\n\n");
        for (at, line) in &self.lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        println!("{verdict}");
        std::fs::write(format!("{folder}/record.txt"), text).map_err(|error| error.to_string())
    }
}
