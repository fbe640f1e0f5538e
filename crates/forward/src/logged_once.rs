//! Texts of which a log line tells once in the life of a process.

use std::{cell::RefCell, collections::BTreeSet};

/// Texts that are remembered. Back ends choose them: there may be any number, and further ones are not told.
const MAX_TEXTS: usize = 64;
/// Bytes of a text that is remembered; longer ones are not told.
const MAX_TEXT_BYTES: usize = 256;

/// Texts that were told.
#[derive(Debug, Default)]
pub struct LoggedOnce(RefCell<BTreeSet<String>>);

impl LoggedOnce {
    /// Whether `text` is met for the first time and there is room to remember it.
    pub fn is_first(&self, text: &str) -> bool {
        let mut texts = self.0.borrow_mut();
        let has_room = texts.len() < MAX_TEXTS && text.len() <= MAX_TEXT_BYTES;
        has_room && !texts.contains(text) && texts.insert(text.to_owned())
    }
}
