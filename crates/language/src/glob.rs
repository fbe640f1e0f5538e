//! Matching of `like` patterns: `*` matches any sequence of characters, `?` matches one.

/// Whether `text` as a whole matches `pattern`, in at most `text × pattern` steps.
pub fn matches(pattern: &str, text: &str) -> bool {
    let pattern: Vec<char> = pattern.chars().collect();
    let text: Vec<char> = text.chars().collect();
    let (mut pattern_index, mut text_index) = (0, 0);
    let mut last_star: Option<(usize, usize)> = None;
    while text_index < text.len() {
        match pattern.get(pattern_index) {
            Some('*') => {
                last_star = Some((pattern_index, text_index));
                pattern_index += 1;
            }
            Some(&expected) if expected == '?' || expected == text[text_index] => {
                pattern_index += 1;
                text_index += 1;
            }
            _ => {
                let Some((star, matched)) = last_star else { return false };
                last_star = Some((star, matched + 1));
                pattern_index = star + 1;
                text_index = matched + 1;
            }
        }
    }
    pattern[pattern_index..].iter().all(|character| *character == '*')
}
