//! Rendering of answers as aligned tables and comma-separated values.

use std::fmt::Write;

use crate::{
    answer::{Answer, Body, Table},
    value::{Kind, Value},
};

/// The maximum width of a cell in characters.
const MAX_CELL_WIDTH: usize = 72;

/// Renders an answer for a terminal.
pub fn text(answer: &Answer) -> String {
    let mut text = match &answer.body {
        Body::Table { table } => aligned(table),
        Body::Explanation { explanation } => {
            let mut text = format!("{}\n", explanation.summary);
            for section in &explanation.sections {
                let _ = write!(text, "\n{}\n{}", section.title, aligned(&section.table));
            }
            text
        }
        Body::Change { change, sentence, .. } => format!("change {change}: {sentence}\n"),
        Body::Text { text } => format!("{text}\n"),
    };
    for note in &answer.notes {
        let _ = writeln!(text, "note: {note}");
    }
    text
}

/// Renders a table with aligned columns and the number of rows.
pub fn aligned(table: &Table) -> String {
    let headers: Vec<String> = table.columns.iter().map(|column| column.name.clone()).collect();
    let rows: Vec<Vec<String>> = table.rows.iter().map(|row| row.iter().map(cell_text).collect()).collect();
    let width = |index: usize| {
        let cells = rows.iter().map(|row| row[index].chars().count());
        cells.chain([headers[index].chars().count()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headers.len()).map(width).collect();
    let mut text = line(&headers, &widths, table);
    for row in &rows {
        text.push_str(&line(row, &widths, table));
    }
    let unit = if rows.len() == 1 { "row" } else { "rows" };
    let _ = writeln!(text, "({} {unit})", rows.len());
    text
}

/// Renders each row as `name=value` pairs on one line, without unknown values; for the rows of `watch`.
pub fn key_value_lines(table: &Table) -> String {
    let mut text = String::new();
    for row in &table.rows {
        let cells = table.columns.iter().zip(row).filter(|(_, value)| **value != Value::None);
        let cells: Vec<_> =
            cells.map(|(header, value)| format!("{}={}", header.name, cell_text(value))).collect();
        let _ = writeln!(text, "{}", cells.join("  "));
    }
    text
}

fn cell_text(value: &Value) -> String {
    let text = value.to_string().replace(char::is_control, " ");
    if text.chars().count() <= MAX_CELL_WIDTH {
        return text;
    }
    text.chars().take(MAX_CELL_WIDTH - 1).chain(['…']).collect()
}

fn line(cells: &[String], widths: &[usize], table: &Table) -> String {
    let padded =
        cells.iter().zip(widths).zip(&table.columns).map(|((cell, &width), header)| match header.kind {
            Kind::Number | Kind::Duration => format!("{cell:>width$}"),
            _ => format!("{cell:<width$}"),
        });
    let line = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}

/// Renders a table as comma-separated values with a header line (RFC 4180). Durations are in milliseconds.
pub fn csv(table: &Table) -> String {
    let headers: Vec<String> = table.columns.iter().map(|column| csv_cell(&column.name)).collect();
    let mut text = format!("{}\r\n", headers.join(","));
    text.push_str(&csv_rows(table));
    text
}

/// Renders the rows of a table as comma-separated values, without the header line.
pub fn csv_rows(table: &Table) -> String {
    let mut text = String::new();
    for row in &table.rows {
        let cells: Vec<String> = row.iter().map(csv_value).collect();
        let _ = write!(text, "{}\r\n", cells.join(","));
    }
    text
}

fn csv_value(value: &Value) -> String {
    match value {
        Value::None => String::new(),
        Value::Text(text) => csv_cell(text),
        Value::List(texts) => csv_cell(&texts.join(" ")),
        other => match other.to_json() {
            serde_json::Value::String(text) => csv_cell(&text),
            json => json.to_string(),
        },
    }
}

fn csv_cell(text: &str) -> String {
    let needs_quotes = text.contains([',', '"', '\n', '\r']);
    if needs_quotes { format!("\"{}\"", text.replace('"', "\"\"")) } else { text.to_owned() }
}
