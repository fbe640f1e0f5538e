//! Parsers of `show`, `watch` and `explain`.

use paddlemount_protocol::identity::{PoolId, RequestId, TenantId};
use winnow::{
    Parser,
    combinator::{alt, cut_err, opt, separated},
    error::ErrMode,
};

use super::{
    condition::{condition, field},
    primitive::{
        Failure, ParseResult, Tokens, accept, any_word, clause, end, is_keyword, keyword, name, next_is,
        peek, quoted, symbol, whole_number,
    },
};
use crate::{
    schema::{Mechanism, Noun},
    token::{Symbol, Token, TokenKind},
    tree::{Aggregate, Column, Explain, Expression, Field, Function, Order, Query, RouteQuery},
    value::Kind,
};

/// Parses what follows `show`.
pub fn show(input: &mut Tokens<'_, '_>) -> ParseResult<Query> {
    let noun = noun(input, Noun::from_name, "a noun (see: help show)")?;
    let columns_start = peek(input)?.clone();
    let columns = columns(input, noun)?;
    let filter = filter(input, noun)?;
    let group_by = group_by(input, noun)?;
    let order_start = peek(input)?.clone();
    let order_by = order_by(input, noun)?;
    let limit = opt(clause("limit", whole_number)).parse_next(input)?;
    let query = Query { noun, columns, filter, group_by, order_by, limit };
    finish(input, &query, &["where", "group by", "order by", "limit"])?;
    check_columns(&query, &columns_start)?;
    check_order(&query, &order_start)?;
    Ok(query)
}

/// Parses what follows `watch`.
pub fn watch(input: &mut Tokens<'_, '_>) -> ParseResult<Query> {
    let noun = noun(input, Noun::from_watch_name, "a mechanism or a noun (see: help watch)")?;
    let columns_start = peek(input)?.clone();
    let columns = columns(input, noun)?;
    let filter = filter(input, noun)?;
    let limit = opt(clause("limit", whole_number)).parse_next(input)?;
    let query = Query { columns, filter, limit, ..Query::all(noun) };
    if query.is_grouped() {
        return Err(Failure::problem(&columns_start, "watch shows single rows; use show for figures").cut());
    }
    finish(input, &query, &["where", "limit"])?;
    Ok(query)
}

fn noun(
    input: &mut Tokens<'_, '_>,
    from_word: fn(&str) -> Option<Noun>,
    description: &'static str,
) -> ParseResult<Noun> {
    let token = peek(input)?;
    let words = Noun::ALL.iter().map(|noun| noun.name());
    let mechanisms = Mechanism::ALL.iter().map(|mechanism| mechanism.name());
    let candidates = words.chain(mechanisms).filter(|word| from_word(word).is_some());
    let word = any_word(input).map_err(|_| Failure::unknown(token, description, candidates.clone()).cut())?;
    from_word(word.text).ok_or_else(|| Failure::unknown(word, description, candidates).cut())
}

/// Keywords that start a clause and therefore are not columns.
const CLAUSE_KEYWORDS: [&str; 4] = ["where", "group", "order", "limit"];

fn columns(input: &mut Tokens<'_, '_>, noun: Noun) -> ParseResult<Vec<Column>> {
    let token = peek(input)?;
    let begins_clause = CLAUSE_KEYWORDS.iter().any(|word| is_keyword(token, word));
    if token.kind != TokenKind::Word || begins_clause {
        return Ok(Vec::new());
    }
    let one = |input: &mut Tokens<'_, '_>| column(input, noun).map_err(ErrMode::cut);
    let columns = separated(1.., one, symbol(Symbol::Comma, ",")).parse_next(input);
    columns.map_err(|error| error.map(|failure| suggest_clauses(failure, token)))
}

/// Adds the clause keywords to the suggestions if the first column is unknown.
fn suggest_clauses(mut failure: Failure, first: &Token<'_>) -> Failure {
    if failure.offset == first.span.start {
        failure.candidates.extend(CLAUSE_KEYWORDS);
    }
    failure
}

fn column(input: &mut Tokens<'_, '_>, noun: Noun) -> ParseResult<Column> {
    let token = peek(input)?;
    let function = if token.kind == TokenKind::Word { Function::from_name(token.text) } else { None };
    match function {
        Some(function) => aggregate(input, noun, function).map(Column::Aggregate),
        None => field(input, noun).map(Column::Field),
    }
}

fn aggregate(input: &mut Tokens<'_, '_>, noun: Noun, function: Function) -> ParseResult<Aggregate> {
    accept(input, "a function", |_| Some(()))?;
    symbol(Symbol::Open, "(").parse_next(input)?;
    if next_is(input, Symbol::Close) && function == Function::Count {
        symbol(Symbol::Close, ")").parse_next(input)?;
        return Ok(Aggregate { function, field: None });
    }
    let token = peek(input)?.clone();
    let field = field(input, noun)?;
    if !is_applicable(function, field.kind) {
        let problem = format!("{} cannot be worked out from {}", function.name(), field.name);
        return Err(Failure::problem(&token, problem).cut());
    }
    symbol(Symbol::Close, ")").parse_next(input)?;
    Ok(Aggregate { function, field: Some(field) })
}

const fn is_applicable(function: Function, kind: Kind) -> bool {
    match function {
        Function::Count => true,
        Function::Minimum | Function::Maximum => !matches!(kind, Kind::List),
        _ => matches!(kind, Kind::Number | Kind::Duration),
    }
}

fn filter(input: &mut Tokens<'_, '_>, noun: Noun) -> ParseResult<Option<Expression>> {
    opt(clause("where", move |input: &mut Tokens<'_, '_>| condition(input, noun, 0))).parse_next(input)
}

fn group_by(input: &mut Tokens<'_, '_>, noun: Noun) -> ParseResult<Vec<Field>> {
    let one = move |input: &mut Tokens<'_, '_>| field(input, noun).map_err(ErrMode::cut);
    let fields = (keyword("by"), separated(1.., one, symbol(Symbol::Comma, ","))).map(|(_, fields)| fields);
    opt(clause("group", fields)).parse_next(input).map(Option::unwrap_or_default)
}

fn order_by(input: &mut Tokens<'_, '_>, noun: Noun) -> ParseResult<Vec<Order>> {
    let one = move |input: &mut Tokens<'_, '_>| {
        let column = column(input, noun).map_err(ErrMode::cut)?;
        let direction = opt(alt((keyword("asc").value(false), keyword("desc").value(true))));
        let mut direction = direction.map(|descending| descending.unwrap_or(false));
        direction.parse_next(input).map(|descending| Order { column, descending })
    };
    let keys = (keyword("by"), separated(1.., one, symbol(Symbol::Comma, ","))).map(|(_, keys)| keys);
    opt(clause("order", keys)).parse_next(input).map(Option::unwrap_or_default)
}

/// Parses the end; otherwise fails with the clauses that can still follow.
fn finish(input: &mut Tokens<'_, '_>, query: &Query, clauses: &[&'static str]) -> ParseResult<()> {
    let given = [
        ("where", query.filter.is_some()),
        ("group by", !query.group_by.is_empty()),
        ("order by", !query.order_by.is_empty()),
        ("limit", query.limit.is_some()),
    ];
    let last_given = given.iter().rposition(|(_, is_given)| *is_given).map_or(0, |index| index + 1);
    let may_follow = given.iter().skip(last_given).map(|(clause, _)| *clause);
    let may_follow: Vec<_> = may_follow.filter(|clause| clauses.contains(clause)).collect();
    let token = peek(input)?;
    let expected = may_follow.iter().copied().chain(["the end"]);
    end(input).map_err(|_| {
        let mut failure = Failure::expected(token, expected);
        failure.candidates.extend(
            CLAUSE_KEYWORDS
                .iter()
                .filter(|clause| may_follow.iter().any(|allowed| allowed.starts_with(**clause))),
        );
        failure.candidates.extend(["and", "or"].iter().filter(|_| last_given == 1));
        failure.cut()
    })
}

fn check_columns(query: &Query, token: &Token<'_>) -> ParseResult<()> {
    if !query.is_grouped() {
        return Ok(());
    }
    match query.columns.iter().find(|column| !available_in_group(query, column)) {
        Some(column) => Err(ungrouped(column, token)),
        None => Ok(()),
    }
}

fn check_order(query: &Query, token: &Token<'_>) -> ParseResult<()> {
    let columns = || query.order_by.iter().map(|order| &order.column);
    if query.is_grouped() {
        return match columns().find(|column| !available_in_group(query, column)) {
            Some(column) => Err(ungrouped(column, token)),
            None => Ok(()),
        };
    }
    match columns().find(|column| matches!(column, Column::Aggregate(_))) {
        Some(column) => {
            let problem = format!("{column} needs group by, or must be among the columns shown");
            Err(Failure::problem(token, problem).cut())
        }
        None => Ok(()),
    }
}

fn available_in_group(query: &Query, column: &Column) -> bool {
    match column {
        Column::Field(field) => query.group_by.contains(field),
        Column::Aggregate(_) => true,
    }
}

fn ungrouped(column: &Column, token: &Token<'_>) -> ErrMode<Failure> {
    Failure::problem(token, format!("{column} must be in group by, or stand within a function")).cut()
}

/// Parses what follows `explain`.
pub fn explain(input: &mut Tokens<'_, '_>) -> ParseResult<Explain> {
    let request = name.map(|id| Explain::Request(RequestId::from(id)));
    let explain = alt((clause("request", request), clause("route", route))).parse_next(input);
    let explain = explain.map_err(ErrMode::cut)?;
    cut_err(end).parse_next(input)?;
    Ok(explain)
}

fn route(input: &mut Tokens<'_, '_>) -> ParseResult<Explain> {
    let pool = (keyword("pool"), name).parse_next(input)?.1;
    let tenant = (keyword("tenant"), name).parse_next(input)?.1;
    let prompt = (keyword("prompt"), quoted).parse_next(input)?.1;
    Ok(Explain::Route(RouteQuery { pool: PoolId::from(pool), tenant: TenantId::from(tenant), prompt }))
}
