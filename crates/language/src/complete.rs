//! Completion of a partially typed statement.

use crate::grammar::continuations;

/// Returns the byte offset at which the last word of `text` starts, and the keywords and field names that
/// complete it. Names of objects are not completed.
pub fn complete(text: &str) -> (usize, Vec<&'static str>) {
    let start = text
        .rfind(|character: char| !is_word(character))
        .map_or(0, |index| index + text[index..].chars().next().map_or(0, char::len_utf8));
    let typed = text[start..].to_lowercase();
    let mut words: Vec<&'static str> = continuations(&text[..start])
        .into_iter()
        .filter(|word| word.starts_with(&typed) && word.chars().all(is_word))
        .collect();
    words.sort_unstable();
    words.dedup();
    (start, words)
}

fn is_word(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '_'
}
