//! The parser, by this grammar:
//!
//! ```text
//! statement  = show | watch | explain | change | help
//! show       = "show" noun [columns] ["where" condition] ["group" "by" fields]
//!              ["order" "by" column ["asc" | "desc"] {"," …}] ["limit" number]
//! watch      = "watch" (mechanism | noun) [fields] ["where" condition] ["limit" number]
//! columns    = column {"," column}         column = field | function "(" [field] ")"
//! condition  = all {"or" all}              all = simple {"and" simple}
//! simple     = "not" simple | "(" condition ")" | field operator literal
//! explain    = "explain" ("request" name | "route" "pool" name "tenant" name "prompt" text)
//! change     = action {"dry" "run" | "if" "revision" number | "as" name}
//! action     = "create" object name [settings] | "set" object name settings | "delete" object name
//!            | "drain" "engine" name ["reason" text] | "undrain" "engine" name
//!            | "roll" "out" "version" number "to" "pool" name | "pin" "version" number "on" "pool" name
//! settings   = setting "=" value {"," setting "=" value}
//! help       = "help" [word]
//! ```

mod command;
mod condition;
mod primitive;
mod query;

use winnow::{
    Parser,
    combinator::{alt, preceded},
    error::ErrMode,
    stream::TokenSlice,
};

use self::primitive::{Failure, ParseResult, Tokens, end, keyword};
use crate::{
    error::{SyntaxError, closest_match},
    help,
    token::{Token, TokenKind, tokenize},
    tree::Statement,
};

/// The maximum length of a statement in bytes.
pub const MAX_STATEMENT_BYTES: usize = 256 << 10;

/// The maximum depth of nested parentheses and negations in a condition.
pub const MAX_NESTING: usize = 32;

/// Whether `word` is a literal, and therefore must be quoted as a name.
pub fn is_reserved(word: &str) -> bool {
    ["none", "true", "false"].iter().any(|reserved| reserved.eq_ignore_ascii_case(word))
}

/// Parses one statement from bytes.
pub fn parse_bytes(bytes: &[u8]) -> Result<Statement, SyntaxError> {
    match std::str::from_utf8(bytes) {
        Ok(text) => parse(text),
        Err(error) => {
            let valid = error.valid_up_to();
            let text = String::from_utf8_lossy(&bytes[..valid]).into_owned();
            Err(SyntaxError {
                text,
                span: valid..valid,
                problem: "the text is not UTF-8 from here on".to_owned(),
                expected: Vec::new(),
                suggestion: None,
            })
        }
    }
}

/// Parses one statement.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    if text.len() > MAX_STATEMENT_BYTES {
        return Err(SyntaxError {
            text: String::new(),
            span: 0..0,
            problem: format!("the statement has {} bytes; {MAX_STATEMENT_BYTES} are allowed", text.len()),
            expected: Vec::new(),
            suggestion: None,
        });
    }
    let tokens = tokenize(text)?;
    let mut input = TokenSlice::new(&tokens);
    statement.parse_next(&mut input).map_err(|error| match error {
        ErrMode::Backtrack(failure) | ErrMode::Cut(failure) => syntax_error(text, &tokens, failure),
        ErrMode::Incomplete(_) => syntax_error(text, &tokens, Failure::default()),
    })
}

/// A word that is never valid, so that parsing fails at it with the list of valid words.
const PLACEHOLDER: &str = "@";

/// The words that can follow `text`, a prefix of a statement.
pub fn continuations(text: &str) -> Vec<&'static str> {
    let text = format!("{text} {PLACEHOLDER}");
    let Ok(tokens) = tokenize(&text) else { return Vec::new() };
    let mut input = TokenSlice::new(&tokens);
    match statement.parse_next(&mut input) {
        Err(ErrMode::Backtrack(failure) | ErrMode::Cut(failure))
            if failure.offset + PLACEHOLDER.len() == text.len() =>
        {
            let words = failure.expected.into_iter().chain(failure.candidates);
            words.flat_map(|word| word.split(' ').next()).collect()
        }
        _ => Vec::new(),
    }
}

fn statement(input: &mut Tokens<'_, '_>) -> ParseResult<Statement> {
    alt((
        preceded(keyword("show"), query::show).map(Statement::Show),
        preceded(keyword("watch"), query::watch).map(Statement::Watch),
        preceded(keyword("explain"), query::explain).map(Statement::Explain),
        command::change.map(Statement::Change),
        preceded(keyword("help"), help_word).map(Statement::Help),
    ))
    .parse_next(input)
}

fn help_word(input: &mut Tokens<'_, '_>) -> ParseResult<Option<String>> {
    if end(input).is_ok() {
        return Ok(None);
    }
    let word = primitive::any_word(input)?;
    let Some(topic) = help::topic(word.text) else {
        return Err(Failure::unknown(word, "a word of the language", help::words()).cut());
    };
    end(input)?;
    Ok(Some(topic.word.to_owned()))
}

fn syntax_error(text: &str, tokens: &[Token<'_>], failure: Failure) -> SyntaxError {
    let found = tokens.iter().find(|token| token.span.start >= failure.offset);
    let (span, found_text, is_end) = match found {
        Some(token) => (token.span.clone(), token.text, token.kind == TokenKind::End),
        None => (text.len()..text.len(), "", true),
    };
    let problem = match failure.problem {
        Some(problem) => problem,
        None if is_end => "the statement ends too early".to_owned(),
        None => format!("{} was not expected here", truncate(found_text)),
    };
    let words = failure.expected.iter().copied().chain(failure.candidates.iter().copied());
    let suggestion = closest_match(found_text, words).map(str::to_owned);
    let expected = failure.expected.iter().map(|&word| word.to_owned()).collect();
    SyntaxError { text: text.to_owned(), span, problem, expected, suggestion }
}

fn truncate(text: &str) -> String {
    const MAX_CHARACTERS: usize = 40;
    let mut truncated: String =
        text.chars().take(MAX_CHARACTERS).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if truncated.len() < text.len() {
        truncated.push('…');
    }
    truncated
}
