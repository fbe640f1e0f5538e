//! The grammar.
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

use self::primitive::{Failure, Parsed, Tokens, end, keyword};
use crate::{
    error::{SyntaxError, nearest},
    help,
    token::{Content, Token, tokenize},
    tree::Statement,
};

/// Bytes of one statement at most.
pub const MAX_STATEMENT_BYTES: usize = 256 << 10;

/// Depth of brackets and negations in one condition at most.
pub const MAX_NESTING: usize = 32;

/// Words that mean a value wherever a value may stand.
pub fn is_reserved(word: &str) -> bool {
    ["none", "true", "false"].iter().any(|reserved| reserved.eq_ignore_ascii_case(word))
}

/// Reads one statement from bytes.
pub fn parse_bytes(bytes: &[u8]) -> Result<Statement, SyntaxError> {
    match std::str::from_utf8(bytes) {
        Ok(text) => parse(text),
        Err(error) => {
            let valid = error.valid_up_to();
            let text = String::from_utf8_lossy(&bytes[..valid]).into_owned();
            Err(SyntaxError {
                text,
                place: valid..valid,
                problem: "the text is not UTF-8 from here on".to_owned(),
                expected: Vec::new(),
                nearest: None,
            })
        }
    }
}

/// Reads one statement.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    if text.len() > MAX_STATEMENT_BYTES {
        return Err(SyntaxError {
            text: String::new(),
            place: 0..0,
            problem: format!("the statement has {} bytes; {MAX_STATEMENT_BYTES} are allowed", text.len()),
            expected: Vec::new(),
            nearest: None,
        });
    }
    let tokens = tokenize(text)?;
    let mut input = TokenSlice::new(&tokens);
    statement.parse_next(&mut input).map_err(|error| match error {
        ErrMode::Backtrack(failure) | ErrMode::Cut(failure) => explain_failure(text, &tokens, failure),
        ErrMode::Incomplete(_) => explain_failure(text, &tokens, Failure::default()),
    })
}

/// A word that no statement has, to learn what could stand in its place.
const PLACEHOLDER: &str = "@";

/// Words that could follow `text`, the beginning of a statement.
pub fn continuations(text: &str) -> Vec<&'static str> {
    let text = format!("{text} {PLACEHOLDER}");
    let Ok(tokens) = tokenize(&text) else { return Vec::new() };
    let mut input = TokenSlice::new(&tokens);
    match statement.parse_next(&mut input) {
        Err(ErrMode::Backtrack(failure) | ErrMode::Cut(failure))
            if failure.at + PLACEHOLDER.len() == text.len() =>
        {
            let words = failure.expected.into_iter().chain(failure.candidates);
            words.flat_map(|word| word.split(' ').next()).collect()
        }
        _ => Vec::new(),
    }
}

fn statement(input: &mut Tokens<'_, '_>) -> Parsed<Statement> {
    alt((
        preceded(keyword("show"), query::show).map(Statement::Show),
        preceded(keyword("watch"), query::watch).map(Statement::Watch),
        preceded(keyword("explain"), query::explain).map(Statement::Explain),
        command::change.map(Statement::Change),
        preceded(keyword("help"), help_word).map(Statement::Help),
    ))
    .parse_next(input)
}

fn help_word(input: &mut Tokens<'_, '_>) -> Parsed<Option<String>> {
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

fn explain_failure(text: &str, tokens: &[Token<'_>], failure: Failure) -> SyntaxError {
    let found = tokens.iter().find(|token| token.place.start >= failure.at);
    let (place, shown, is_end) = match found {
        Some(token) => (token.place.clone(), token.text, token.content == Content::End),
        None => (text.len()..text.len(), "", true),
    };
    let problem = match failure.problem {
        Some(problem) => problem,
        None if is_end => "the statement ends too early".to_owned(),
        None => format!("{} was not expected here", shorten(shown)),
    };
    let words = failure.expected.iter().copied().chain(failure.candidates.iter().copied());
    let nearest = nearest(shown, words).map(str::to_owned);
    let expected = failure.expected.iter().map(|&word| word.to_owned()).collect();
    SyntaxError { text: text.to_owned(), place, problem, expected, nearest }
}

fn shorten(text: &str) -> String {
    const LONGEST: usize = 40;
    let mut shown: String =
        text.chars().take(LONGEST).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    shown
}
