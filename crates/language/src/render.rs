//! Answers as text: aligned tables and comma-separated values.

use std::fmt::Write;

use crate::{
    answer::{Answer, Body, Table},
    value::{Kind, Value},
};

/// Characters of one cell in an aligned table at most.
const WIDEST_CELL: usize = 72;

/// An answer for people.
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

/// A table in aligned columns, with the count of rows.
pub fn aligned(table: &Table) -> String {
    let heads: Vec<String> = table.columns.iter().map(|column| column.name.clone()).collect();
    let rows: Vec<Vec<String>> = table.rows.iter().map(|row| row.iter().map(shown).collect()).collect();
    let width = |index: usize| {
        let cells = rows.iter().map(|row| row[index].chars().count());
        cells.chain([heads[index].chars().count()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let mut text = line(&heads, &widths, table);
    for row in &rows {
        text.push_str(&line(row, &widths, table));
    }
    let unit = if rows.len() == 1 { "row" } else { "rows" };
    let _ = writeln!(text, "({} {unit})", rows.len());
    text
}

/// A table line without the count, for rows that come one by one.
pub fn key_value_lines(table: &Table) -> String {
    let mut text = String::new();
    for row in &table.rows {
        let cells = table.columns.iter().zip(row).filter(|(_, value)| **value != Value::None);
        let cells: Vec<_> = cells.map(|(head, value)| format!("{}={}", head.name, shown(value))).collect();
        let _ = writeln!(text, "{}", cells.join("  "));
    }
    text
}

fn shown(value: &Value) -> String {
    let text = value.to_string().replace(char::is_control, " ");
    if text.chars().count() <= WIDEST_CELL {
        return text;
    }
    text.chars().take(WIDEST_CELL - 1).chain(['…']).collect()
}

fn line(cells: &[String], widths: &[usize], table: &Table) -> String {
    let padded = cells.iter().zip(widths).zip(&table.columns).map(|((cell, &width), head)| match head.kind {
        Kind::Number | Kind::Duration => format!("{cell:>width$}"),
        _ => format!("{cell:<width$}"),
    });
    let line = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}

/// A table as comma-separated values with a line of heads (RFC 4180); durations in milliseconds.
pub fn csv(table: &Table) -> String {
    let heads: Vec<String> = table.columns.iter().map(|column| csv_cell(&column.name)).collect();
    let mut text = format!("{}\r\n", heads.join(","));
    text.push_str(&csv_rows(table));
    text
}

/// The rows of a table as comma-separated values, without heads.
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
            plain => plain.to_string(),
        },
    }
}

fn csv_cell(text: &str) -> String {
    let needs_quotes = text.contains([',', '"', '\n', '\r']);
    if needs_quotes { format!("\"{}\"", text.replace('"', "\"\"")) } else { text.to_owned() }
}
