//! Parsers of single tokens, and the error type of the parsers.

use paddlemount_protocol::identity::Revision;
use winnow::{
    Parser,
    combinator::{cut_err, preceded},
    error::{ErrMode, ParserError},
    stream::{Stream, TokenSlice},
    token::any,
};

use crate::token::{Symbol, Token, TokenKind};

/// The remaining tokens; the last one is [`TokenKind::End`].
pub type Tokens<'t, 'a> = TokenSlice<'t, Token<'a>>;

/// The result of a parser.
pub type ParseResult<T> = Result<T, ErrMode<Failure>>;

/// Why a parser did not match.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Failure {
    /// The byte offset in the text.
    pub offset: usize,
    /// A description of the problem, if it is more than an unexpected token.
    pub problem: Option<String>,
    /// What would be valid at this position.
    pub expected: Vec<&'static str>,
    /// Further words to suggest.
    pub candidates: Vec<&'static str>,
}

impl Failure {
    /// A token was found where one of `expected` is valid.
    pub fn expected(token: &Token<'_>, expected: impl IntoIterator<Item = &'static str>) -> Self {
        Self { offset: token.span.start, expected: expected.into_iter().collect(), ..Self::default() }
    }

    /// A token is none of the candidates, which `description` summarizes.
    pub fn unknown(
        token: &Token<'_>,
        description: &'static str,
        candidates: impl IntoIterator<Item = &'static str>,
    ) -> Self {
        let candidates = candidates.into_iter().collect();
        Self { offset: token.span.start, problem: None, expected: vec![description], candidates }
    }

    /// A token is invalid for a specific reason.
    pub fn problem(token: &Token<'_>, problem: impl Into<String>) -> Self {
        Self { offset: token.span.start, problem: Some(problem.into()), ..Self::default() }
    }

    /// The failure as a fatal one: no alternative is tried.
    pub const fn cut(self) -> ErrMode<Self> {
        ErrMode::Cut(self)
    }
}

impl<'t, 'a> ParserError<Tokens<'t, 'a>> for Failure {
    type Inner = Self;

    fn from_input(input: &Tokens<'t, 'a>) -> Self {
        Self { offset: input.first().map_or(usize::MAX, |token| token.span.start), ..Self::default() }
    }

    fn into_inner(self) -> Result<Self, Self> {
        Ok(self)
    }

    /// Keeps the failure at the greater offset; combines both if they are at the same offset.
    fn or(mut self, other: Self) -> Self {
        if self.offset != other.offset {
            return if self.offset > other.offset { self } else { other };
        }
        self.expected.extend(other.expected);
        self.candidates.extend(other.candidates);
        self.problem = self.problem.or(other.problem);
        self
    }
}

/// Returns the next token without consuming it.
pub fn peek<'t, 'a>(input: &Tokens<'t, 'a>) -> ParseResult<&'t Token<'a>> {
    input.peek_token().ok_or_else(|| Failure::from_input(input).cut())
}

/// Consumes the next token if `accepts` returns a value for it.
pub fn accept<'t, 'a, T>(
    input: &mut Tokens<'t, 'a>,
    expected: &'static str,
    accepts: impl FnOnce(&'t Token<'a>) -> Option<T>,
) -> ParseResult<T> {
    let token = peek(input)?;
    let Some(accepted) = accepts(token) else {
        return Err(ErrMode::Backtrack(Failure::expected(token, [expected])));
    };
    any.void().parse_next(input)?;
    Ok(accepted)
}

/// Parses a keyword, ignoring case.
pub fn keyword<'t, 'a: 't>(word: &'static str) -> impl Parser<Tokens<'t, 'a>, (), ErrMode<Failure>> {
    move |input: &mut Tokens<'t, 'a>| accept(input, word, |token| is_keyword(token, word).then_some(()))
}

/// Whether a token is the keyword `word`, ignoring case.
pub fn is_keyword(token: &Token<'_>, word: &str) -> bool {
    token.kind == TokenKind::Word && token.text.eq_ignore_ascii_case(word)
}

/// Parses a keyword and what must follow it.
pub fn clause<'t, 'a: 't, T>(
    word: &'static str,
    following: impl Parser<Tokens<'t, 'a>, T, ErrMode<Failure>>,
) -> impl Parser<Tokens<'t, 'a>, T, ErrMode<Failure>> {
    preceded(keyword(word), cut_err(following))
}

/// Parses a symbol.
pub fn symbol<'t, 'a: 't>(
    symbol: Symbol,
    text: &'static str,
) -> impl Parser<Tokens<'t, 'a>, (), ErrMode<Failure>> {
    move |input: &mut Tokens<'t, 'a>| {
        accept(input, text, |token| (token.kind == TokenKind::Symbol(symbol)).then_some(()))
    }
}

/// Whether the next token is `symbol`.
pub fn next_is(input: &Tokens<'_, '_>, symbol: Symbol) -> bool {
    peek(input).is_ok_and(|token| token.kind == TokenKind::Symbol(symbol))
}

/// Parses the end of the statement.
pub fn end(input: &mut Tokens<'_, '_>) -> ParseResult<()> {
    accept(input, "the end", |token| (token.kind == TokenKind::End).then_some(()))
}

/// Parses any unquoted word.
pub fn any_word<'t, 'a>(input: &mut Tokens<'t, 'a>) -> ParseResult<&'t Token<'a>> {
    accept(input, "a word", |token| (token.kind == TokenKind::Word).then_some(token))
}

/// Parses a name, quoted or unquoted.
pub fn name(input: &mut Tokens<'_, '_>) -> ParseResult<String> {
    accept(input, "a name", |token| text_of(token).filter(|text| !text.is_empty()))
}

/// Parses a quoted string.
pub fn quoted(input: &mut Tokens<'_, '_>) -> ParseResult<String> {
    accept(input, "a text in double quotes", |token| match &token.kind {
        TokenKind::Quoted(text) => Some(text.clone()),
        _ => None,
    })
}

/// Parses a non-negative integer.
pub fn whole_number(input: &mut Tokens<'_, '_>) -> ParseResult<u64> {
    /// The largest integer up to which all are exact as `f64`.
    const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;
    accept(input, "a whole number", |token| match token.kind {
        TokenKind::Number(number) if number.fract() == 0.0 && (0.0..=MAX_EXACT_INTEGER).contains(&number) => {
            Some(number as u64)
        }
        _ => None,
    })
}

/// Parses a revision.
pub fn revision(input: &mut Tokens<'_, '_>) -> ParseResult<Revision> {
    whole_number.map(Revision).parse_next(input)
}

/// The text of a token as a name or value, without quotes.
pub fn text_of(token: &Token<'_>) -> Option<String> {
    match &token.kind {
        TokenKind::Quoted(text) => Some(text.clone()),
        TokenKind::Word | TokenKind::Number(_) | TokenKind::Duration(_) => Some(token.text.to_owned()),
        TokenKind::Symbol(_) | TokenKind::End => None,
    }
}
