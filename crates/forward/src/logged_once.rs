//! Texts that are logged once per process.

use std::{cell::RefCell, collections::BTreeSet};

/// The maximum number of remembered texts. Back ends choose them, so further ones are not logged.
const MAX_TEXTS: usize = 64;
/// The maximum length of a remembered text, in bytes. Longer ones are not logged.
const MAX_TEXT_BYTES: usize = 256;

/// Texts that were logged.
#[derive(Debug, Default)]
pub struct LoggedOnce(RefCell<BTreeSet<String>>);

impl LoggedOnce {
    /// Whether `text` is new and there is room to remember it.
    pub fn is_first(&self, text: &str) -> bool {
        let mut texts = self.0.borrow_mut();
        let has_room = texts.len() < MAX_TEXTS && text.len() <= MAX_TEXT_BYTES;
        has_room && !texts.contains(text) && texts.insert(text.to_owned())
    }
}
