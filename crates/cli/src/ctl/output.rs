//! Prints answers to standard output.

use std::io::{self, Write};

use paddlemount_language::{
    answer::{Answer, Body, WatchLine},
    render,
};
use serde::Serialize;

use super::CtlError;

/// Output format of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Aligned tables and sentences.
    Text,
    /// One JSON value a line.
    Json,
    /// Comma-separated values; anything but a table is printed as text.
    Csv,
}

/// Prints an answer. Notes go to standard error where they would break the output format.
pub fn print(answer: &Answer, format: Format) -> Result<(), CtlError> {
    match format {
        Format::Json => write(&json_line(answer)?),
        Format::Text => write(&render::text(answer)),
        Format::Csv => {
            for note in &answer.notes {
                eprintln!("note: {note}");
            }
            match &answer.body {
                Body::Table { table } => write(&render::csv(table)),
                _ => write(&render::text(&Answer { notes: Vec::new(), ..answer.clone() })),
            }
        }
    }
}

/// Prints the lines of a watch as they arrive.
pub struct WatchPrinter {
    format: Format,
    header_printed: bool,
}

impl WatchPrinter {
    /// Creates a printer for an output format.
    pub const fn new(format: Format) -> Self {
        Self { format, header_printed: false }
    }

    /// Prints one line.
    pub fn print(&mut self, line: &WatchLine) -> Result<(), CtlError> {
        match (self.format, line) {
            (_, WatchLine::Heartbeat) => Ok(()),
            (Format::Json, line) => write(&json_line(line)?),
            (Format::Text, WatchLine::Rows { table }) => write(&render::key_value_lines(table)),
            (Format::Csv, WatchLine::Rows { table }) => {
                let header_printed = std::mem::replace(&mut self.header_printed, true);
                write(&if header_printed { render::csv_rows(table) } else { render::csv(table) })
            }
            (_, WatchLine::Lost { node, rows }) => {
                eprintln!("note: {rows} rows of {node} were gone before they could be read");
                Ok(())
            }
            (_, WatchLine::Unresponsive { node, problem }) => {
                eprintln!("note: {node} does not answer: {problem}");
                Ok(())
            }
        }
    }
}

fn json_line<T: Serialize>(value: &T) -> Result<String, CtlError> {
    let line = serde_json::to_string(value).map_err(|error| CtlError::Terminal(error.to_string()))?;
    Ok(line + "\n")
}

fn write(text: &str) -> Result<(), CtlError> {
    let mut output = io::stdout().lock();
    let written = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    written.map_err(|error| CtlError::Terminal(error.to_string()))
}
