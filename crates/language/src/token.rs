//! The lexer.

use std::ops::Range;

use winnow::{
    Parser,
    ascii::multispace0,
    combinator::{alt, delimited, repeat},
    error::EmptyError,
    stream::LocatingSlice,
    token::{any, none_of, one_of, take_while},
};

use crate::error::SyntaxError;

/// One token and its location in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Token<'a> {
    pub kind: TokenKind,
    /// The source text, including quotes.
    pub text: &'a str,
    /// The byte range in the source.
    pub span: Range<usize>,
}

/// The kind of a token, with its value.
#[derive(Clone, Debug, PartialEq)]
pub enum TokenKind {
    /// A keyword or an unquoted name.
    Word,
    Number(f64),
    /// A duration in microseconds.
    Duration(u64),
    /// The content of a quoted string, with escapes resolved.
    Quoted(String),
    Symbol(Symbol),
    /// The end of the input; always the last token.
    End,
}

/// The operators and punctuation of the language.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symbol {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<=`
    AtMost,
    /// `>=`
    AtLeast,
    /// `<`
    Less,
    /// `>`
    Greater,
    /// `(`
    Open,
    /// `)`
    Close,
    /// `[`
    OpenList,
    /// `]`
    CloseList,
    /// `,`
    Comma,
}

type Input<'a> = LocatingSlice<&'a str>;
type Lexed<T> = Result<T, EmptyError>;

/// Units of durations with their microseconds, the largest first.
pub const UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Splits a text into tokens; the last one is [`TokenKind::End`].
pub fn tokenize(text: &str) -> Result<Vec<Token<'_>>, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    let mut tokens = Vec::new();
    loop {
        skip_space(&mut input);
        let start = text.len() - input.len();
        if input.is_empty() {
            tokens.push(Token { kind: TokenKind::End, text: "", span: start..start });
            return Ok(tokens);
        }
        match token.parse_next(&mut input) {
            Ok((kind, span)) => tokens.push(Token { kind, text: &text[span.clone()], span }),
            Err(EmptyError) => return Err(lexical_error(text, start)),
        }
    }
}

fn skip_space(input: &mut Input<'_>) {
    let _: Lexed<&str> = multispace0.parse_next(input);
}

fn lexical_error(text: &str, start: usize) -> SyntaxError {
    let rest = &text[start..];
    let first = rest.chars().next().map_or(0, char::len_utf8);
    let (problem, span) = match rest.chars().next() {
        Some('"') => ("this text in quotes does not end".to_owned(), start..text.len()),
        Some('\'') => ("texts are written in double quotes".to_owned(), start..start + first),
        Some('!') => ("expected != here".to_owned(), start..start + first),
        other => {
            let found = other.unwrap_or(' ').escape_default();
            (format!("the character {found} has no meaning here"), start..start + first)
        }
    };
    SyntaxError { text: text.to_owned(), span, problem, expected: Vec::new(), suggestion: None }
}

fn token(input: &mut Input<'_>) -> Lexed<(TokenKind, Range<usize>)> {
    alt((quoted, symbol, unquoted)).with_span().parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Lexed<TokenKind> {
    let text = delimited('"', repeat(0.., character), '"').parse_next(input)?;
    Ok(TokenKind::Quoted(text))
}

fn character(input: &mut Input<'_>) -> Lexed<char> {
    alt((escaped, none_of(['"', '\\']))).parse_next(input)
}

fn escaped(input: &mut Input<'_>) -> Lexed<char> {
    let (_, character) = ('\\', one_of(['"', '\\', 'n', 't'])).parse_next(input)?;
    Ok(match character {
        'n' => '\n',
        't' => '\t',
        other => other,
    })
}

fn symbol(input: &mut Input<'_>) -> Lexed<TokenKind> {
    let symbol = alt((
        "!=".value(Symbol::NotEqual),
        "<=".value(Symbol::AtMost),
        ">=".value(Symbol::AtLeast),
        any.verify_map(single_character_symbol),
    ));
    symbol.map(TokenKind::Symbol).parse_next(input)
}

const fn single_character_symbol(character: char) -> Option<Symbol> {
    Some(match character {
        '=' => Symbol::Equal,
        '<' => Symbol::Less,
        '>' => Symbol::Greater,
        '(' => Symbol::Open,
        ')' => Symbol::Close,
        '[' => Symbol::OpenList,
        ']' => Symbol::CloseList,
        ',' => Symbol::Comma,
        _ => return None,
    })
}

fn unquoted(input: &mut Input<'_>) -> Lexed<TokenKind> {
    let text: &str = take_while(1.., is_unquoted_character).parse_next(input)?;
    Ok(classify(text))
}

const fn is_unquoted_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '_' | '-' | '.' | '/' | ':' | '@' | '+')
}

/// Classifies an unquoted text as a number, a duration or a word.
pub fn classify(text: &str) -> TokenKind {
    let unit_start = text.find(|character: char| character.is_ascii_alphabetic()).unwrap_or(text.len());
    let (digits, unit) = text.split_at(unit_start);
    let Some(number) = parse_number(digits) else { return TokenKind::Word };
    if unit.is_empty() {
        return TokenKind::Number(number);
    }
    let factor = UNITS.iter().find(|(name, _)| *name == unit).map(|(_, factor)| *factor as f64);
    match factor.map(|factor| (number * factor).round()) {
        Some(microseconds) if (0.0..=MAX_DURATION_MICROSECONDS).contains(&microseconds) => {
            TokenKind::Duration(microseconds as u64)
        }
        _ => TokenKind::Word,
    }
}

/// The longest duration: up to it all integers are exact as `f64`.
const MAX_DURATION_MICROSECONDS: f64 = 9_007_199_254_740_992.0;

fn parse_number(digits: &str) -> Option<f64> {
    let unsigned = digits.strip_prefix('-').unwrap_or(digits);
    let (whole, fraction) = unsigned.split_once('.').unwrap_or((unsigned, "0"));
    let all_digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    let number = (all_digits(whole) && all_digits(fraction)).then(|| digits.parse().ok())?;
    number.filter(|number: &f64| number.is_finite())
}
