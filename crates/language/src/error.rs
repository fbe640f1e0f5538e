//! Syntax errors with their location in the text.

use std::{fmt, ops::Range};

use serde::{Deserialize, Serialize};

/// Why a text is not a valid statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct SyntaxError {
    /// The parsed text.
    pub text: String,
    /// The byte range of the error in `text`.
    #[serde(rename = "place")]
    pub span: Range<usize>,
    pub problem: String,
    /// What would be valid at this position.
    pub expected: Vec<String>,
    /// A valid word similar to the one found.
    #[serde(rename = "nearest")]
    pub suggestion: Option<String>,
}

impl fmt::Display for SyntaxError {
    /// Writes the line of the text, a line that marks the span, and the message.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = floor_char_boundary(&self.text, self.span.start);
        let line_start = self.text[..start].rfind('\n').map_or(0, |index| index + 1);
        let line_end = self.text[start..].find('\n').map_or(self.text.len(), |index| start + index);
        let line = &self.text[line_start..line_end];
        let indent = self.text[line_start..start].chars().count();
        let marked_end = floor_char_boundary(&self.text, self.span.end.clamp(start, line_end));
        let width = self.text[start..marked_end].chars().count().max(1);
        let shown = line.replace(char::is_control, " ");
        writeln!(formatter, "{shown}")?;
        writeln!(formatter, "{}{}", " ".repeat(indent), "^".repeat(width))?;
        formatter.write_str(&self.message())
    }
}

impl SyntaxError {
    /// The message without the text: the problem, what was expected, and the suggestion.
    pub fn message(&self) -> String {
        let mut message = self.problem.clone();
        if !self.expected.is_empty() {
            message.push_str(&format!("; expected {}", alternatives(&self.expected)));
        }
        if let Some(suggestion) = &self.suggestion {
            message.push_str(&format!("; did you mean {suggestion}?"));
        }
        message
    }
}

fn floor_char_boundary(text: &str, index: usize) -> usize {
    let mut index = index.min(text.len());
    while !text.is_char_boundary(index) {
        index -= 1;
    }
    index
}

fn alternatives(words: &[String]) -> String {
    match words {
        [] => String::new(),
        [only] => only.clone(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}

/// Returns the candidate closest to `word` if the difference is small enough for a typing error.
pub fn closest_match<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    const MAX_CHARACTERS: usize = 40;
    let word = word.to_lowercase();
    let length = word.chars().count();
    if !(2..=MAX_CHARACTERS).contains(&length) {
        return None;
    }
    let max_distance = (length / 3).max(1);
    let distances = candidates.into_iter().map(|candidate| (edit_distance(&word, candidate), candidate));
    distances.filter(|(distance, _)| *distance <= max_distance).min().map(|(_, candidate)| candidate)
}

/// The edit distance: insertions, deletions, substitutions and transpositions of adjacent characters.
fn edit_distance(left: &str, right: &str) -> usize {
    let left: Vec<char> = left.chars().collect();
    let right: Vec<char> = right.chars().collect();
    let mut before_previous: Vec<usize> = Vec::new();
    let mut previous: Vec<usize> = (0..=right.len()).collect();
    for row in 1..=left.len() {
        let mut current = vec![row];
        for column in 1..=right.len() {
            let substituted = previous[column - 1] + usize::from(left[row - 1] != right[column - 1]);
            let mut cost = substituted.min(previous[column] + 1).min(current[column - 1] + 1);
            let transposed = row > 1
                && column > 1
                && left[row - 1] == right[column - 2]
                && left[row - 2] == right[column - 1];
            if transposed {
                cost = cost.min(before_previous[column - 2] + 1);
            }
            current.push(cost);
        }
        before_previous = std::mem::replace(&mut previous, current);
    }
    previous[right.len()]
}
