//! Parsers of `where` conditions and literals.

use winnow::{Parser, combinator::separated};

use super::{
    MAX_NESTING,
    primitive::{Failure, ParseResult, Tokens, accept, is_keyword, keyword, next_is, peek, symbol, text_of},
};
use crate::{
    rfc3339,
    schema::Noun,
    token::{Symbol, Token, TokenKind},
    tree::{Expression, Field, Literal, Operator},
    value::{Kind, Value},
};

/// Parses a condition on the rows of a noun.
pub fn condition(input: &mut Tokens<'_, '_>, noun: Noun, depth: usize) -> ParseResult<Expression> {
    let all = |input: &mut Tokens<'_, '_>| all_of(input, noun, depth);
    let parts: Vec<Expression> = separated(1.., all, keyword("or")).parse_next(input)?;
    Ok(combine(parts, Expression::Or))
}

fn all_of(input: &mut Tokens<'_, '_>, noun: Noun, depth: usize) -> ParseResult<Expression> {
    let one = |input: &mut Tokens<'_, '_>| simple(input, noun, depth);
    let parts: Vec<Expression> = separated(1.., one, keyword("and")).parse_next(input)?;
    Ok(combine(parts, Expression::And))
}

fn combine(mut parts: Vec<Expression>, combined: fn(Vec<Expression>) -> Expression) -> Expression {
    match parts.pop() {
        Some(only) if parts.is_empty() => only,
        Some(last) => {
            parts.push(last);
            combined(parts)
        }
        None => combined(parts),
    }
}

/// Parses one condition. Every failure is final, as nothing else is valid after `where`, `and` or `or`.
fn simple(input: &mut Tokens<'_, '_>, noun: Noun, depth: usize) -> ParseResult<Expression> {
    let token = peek(input)?;
    if depth > MAX_NESTING {
        let problem = format!("conditions are nested more than {MAX_NESTING} deep here");
        return Err(Failure::problem(token, problem).cut());
    }
    if is_keyword(token, "not") {
        keyword("not").parse_next(input)?;
        return simple(input, noun, depth + 1).map(|inner| Expression::Not(Box::new(inner)));
    }
    if next_is(input, Symbol::Open) {
        symbol(Symbol::Open, "(").parse_next(input)?;
        let inner = condition(input, noun, depth + 1)?;
        symbol(Symbol::Close, ")").parse_next(input).map_err(|error| error.cut())?;
        return Ok(inner);
    }
    let field = field(input, noun).map_err(|error| error.cut())?;
    comparison(input, field).map_err(|error| error.cut())
}

/// Parses the name of a field of a noun.
pub fn field(input: &mut Tokens<'_, '_>, noun: Noun) -> ParseResult<Field> {
    let token = peek(input)?;
    let known = if token.kind == TokenKind::Word { noun.field(token.text) } else { None };
    let Some(field) = known else {
        let names = noun.fields().map(|field| field.name);
        let mut failure = Failure::unknown(token, field_description(noun), names);
        if token.kind == TokenKind::Word {
            failure.problem = Some(format!("{} has no field {}", noun.name(), token.text));
        }
        return Err(winnow::error::ErrMode::Backtrack(failure));
    };
    accept(input, "a field", |_| Some(field))
}

const fn field_description(noun: Noun) -> &'static str {
    match noun {
        Noun::Tenants => "a field of tenants (see: help tenants)",
        Noun::Pools => "a field of pools (see: help pools)",
        Noun::Services => "a field of services (see: help services)",
        Noun::Versions => "a field of versions (see: help versions)",
        Noun::Engines => "a field of engines (see: help engines)",
        Noun::Nodes => "a field of nodes (see: help nodes)",
        Noun::Prefixes => "a field of prefixes (see: help prefixes)",
        Noun::Requests => "a field of requests (see: help requests)",
        Noun::Decisions => "a field of decisions (see: help decisions)",
        Noun::Changes => "a field of changes (see: help changes)",
        Noun::Claims => "a field of claims (see: help claims)",
        Noun::Leases => "a field of leases (see: help leases)",
        Noun::Orders => "a field of orders (see: help orders)",
        Noun::Limits => "a field of limits (see: help limits)",
        Noun::Alerts => "a field of alerts (see: help alerts)",
        Noun::Events | Noun::Mechanism(_) => "a field of events (see: help events)",
    }
}

fn comparison(input: &mut Tokens<'_, '_>, field: Field) -> ParseResult<Expression> {
    let token = peek(input)?;
    let Some(operator) = operator_of(token) else {
        let operators = ["=", "!=", "<", "<=", ">", ">=", "like", "contains"];
        return Err(Failure::expected(token, operators).cut());
    };
    if !is_comparable(operator, field.kind) {
        let kind = field.kind.description();
        let problem = format!("{} cannot be compared with {}; it is {kind}", field.name, operator.name());
        return Err(Failure::problem(token, problem).cut());
    }
    accept(input, "a comparison", |_| Some(()))?;
    let literal = literal(input, field)?;
    Ok(Expression::Compare { field, operator, literal })
}

fn operator_of(token: &Token<'_>) -> Option<Operator> {
    Some(match token.kind {
        TokenKind::Symbol(Symbol::Equal) => Operator::Equal,
        TokenKind::Symbol(Symbol::NotEqual) => Operator::NotEqual,
        TokenKind::Symbol(Symbol::Less) => Operator::Less,
        TokenKind::Symbol(Symbol::AtMost) => Operator::AtMost,
        TokenKind::Symbol(Symbol::Greater) => Operator::Greater,
        TokenKind::Symbol(Symbol::AtLeast) => Operator::AtLeast,
        TokenKind::Word if token.text.eq_ignore_ascii_case("like") => Operator::Like,
        TokenKind::Word if token.text.eq_ignore_ascii_case("contains") => Operator::Contains,
        _ => return None,
    })
}

const fn is_comparable(operator: Operator, kind: Kind) -> bool {
    match operator {
        Operator::Equal | Operator::NotEqual => !matches!(kind, Kind::List),
        Operator::Like => matches!(kind, Kind::Text),
        Operator::Contains => matches!(kind, Kind::Text | Kind::List),
        Operator::Less | Operator::AtMost | Operator::Greater | Operator::AtLeast => {
            !matches!(kind, Kind::List | Kind::Bool)
        }
    }
}

/// Parses a literal of a field's type.
pub fn literal(input: &mut Tokens<'_, '_>, field: Field) -> ParseResult<Literal> {
    if field.kind == Kind::Time && matches!(peek(input)?.kind, TokenKind::Duration(_)) {
        return ago(input);
    }
    let kind = field.kind;
    accept(input, kind.description(), |token| value_of(token, kind)).map(Literal::Value)
}

fn ago(input: &mut Tokens<'_, '_>) -> ParseResult<Literal> {
    let microseconds = accept(input, "a duration", |token| match token.kind {
        TokenKind::Duration(microseconds) => Some(microseconds),
        _ => None,
    })?;
    keyword("ago").parse_next(input)?;
    Ok(Literal::Ago(microseconds))
}

/// The value of a token as a literal of type `kind`.
pub fn value_of(token: &Token<'_>, kind: Kind) -> Option<Value> {
    if is_keyword(token, "none") {
        return Some(Value::None);
    }
    match (kind, &token.kind) {
        (Kind::Number, TokenKind::Number(number)) => Some(Value::Number(*number)),
        (Kind::Duration, TokenKind::Duration(microseconds)) => Some(Value::Duration(*microseconds)),
        (Kind::Bool, TokenKind::Word) => match token.text.to_ascii_lowercase().as_str() {
            "true" => Some(Value::Bool(true)),
            "false" => Some(Value::Bool(false)),
            _ => None,
        },
        (Kind::Time, _) => text_of(token).and_then(|text| rfc3339::parse(&text)).map(Value::Time),
        (Kind::Text | Kind::List, _) => text_of(token).map(Value::Text),
        _ => None,
    }
}
