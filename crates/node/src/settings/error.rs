//! Errors in a settings file.

use std::fmt;

/// An error in a settings file, with a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Counted from 1.
    pub line: usize,
    /// The full name of the key; empty for a syntax error.
    pub key: String,
    pub problem: String,
    pub remedy: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            return write!(formatter, "line {}: {}; {}", self.line, self.problem, self.remedy);
        }
        write!(formatter, "line {}: `{}` {}; {}", self.line, self.key, self.problem, self.remedy)
    }
}

/// The line of a byte offset, counted from 1.
pub fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}
