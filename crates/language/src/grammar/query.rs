//! `show`, `watch` and `explain`.

use paddlemount_protocol::identity::{PoolId, RequestId, TenantId};
use winnow::{
    Parser,
    combinator::{alt, cut_err, opt, separated},
    error::ErrMode,
};

use super::{
    condition::{condition, field},
    primitive::{
        Failure, Parsed, Tokens, accept, after, any_word, at_sign, end, is_keyword, keyword, name, next,
        quoted, sign, whole_number,
    },
};
use crate::{
    schema::{Mechanism, Noun},
    token::{Content, Sign, Token},
    tree::{Aggregate, Column, Explain, Expression, Field, Function, Order, Query, RouteQuery},
    value::Kind,
};

/// Reads what follows `show`.
pub fn show(input: &mut Tokens<'_, '_>) -> Parsed<Query> {
    let noun = noun(input, Noun::from_name, "a noun (see: help show)")?;
    let columns_at = next(input)?.clone();
    let columns = columns(input, noun)?;
    let filter = filter(input, noun)?;
    let group_by = group_by(input, noun)?;
    let order_at = next(input)?.clone();
    let order_by = order_by(input, noun)?;
    let limit = opt(after("limit", whole_number)).parse_next(input)?;
    let query = Query { noun, columns, filter, group_by, order_by, limit };
    finish(input, &query, &["where", "group by", "order by", "limit"])?;
    check_columns(&query, &columns_at)?;
    check_order(&query, &order_at)?;
    Ok(query)
}

/// Reads what follows `watch`.
pub fn watch(input: &mut Tokens<'_, '_>) -> Parsed<Query> {
    let noun = noun(input, Noun::from_watch_name, "a mechanism or a noun (see: help watch)")?;
    let columns_at = next(input)?.clone();
    let columns = columns(input, noun)?;
    let filter = filter(input, noun)?;
    let limit = opt(after("limit", whole_number)).parse_next(input)?;
    let query = Query { columns, filter, limit, ..Query::all(noun) };
    if query.is_grouped() {
        return Err(Failure::problem(&columns_at, "watch shows single rows; use show for figures").cut());
    }
    finish(input, &query, &["where", "limit"])?;
    Ok(query)
}

fn noun(
    input: &mut Tokens<'_, '_>,
    named: fn(&str) -> Option<Noun>,
    described: &'static str,
) -> Parsed<Noun> {
    let token = next(input)?;
    let words = Noun::ALL.iter().map(|noun| noun.name());
    let mechanisms = Mechanism::ALL.iter().map(|mechanism| mechanism.name());
    let candidates = words.chain(mechanisms).filter(|word| named(word).is_some());
    let word = any_word(input).map_err(|_| Failure::unknown(token, described, candidates.clone()).cut())?;
    named(word.text).ok_or_else(|| Failure::unknown(word, described, candidates).cut())
}

/// Words that begin a clause, so no column.
const CLAUSES: [&str; 4] = ["where", "group", "order", "limit"];

fn columns(input: &mut Tokens<'_, '_>, noun: Noun) -> Parsed<Vec<Column>> {
    let token = next(input)?;
    let begins_clause = CLAUSES.iter().any(|clause| is_keyword(token, clause));
    if token.content != Content::Word || begins_clause {
        return Ok(Vec::new());
    }
    let one = |input: &mut Tokens<'_, '_>| column(input, noun).map_err(ErrMode::cut);
    let columns = separated(1.., one, sign(Sign::Comma, ",")).parse_next(input);
    columns.map_err(|error| error.map(|failure| suggest_clauses(failure, token)))
}

/// Where the first column is unknown, a clause may have been meant.
fn suggest_clauses(mut failure: Failure, first: &Token<'_>) -> Failure {
    if failure.at == first.place.start {
        failure.candidates.extend(CLAUSES);
    }
    failure
}

fn column(input: &mut Tokens<'_, '_>, noun: Noun) -> Parsed<Column> {
    let token = next(input)?;
    let function = if token.content == Content::Word { Function::from_name(token.text) } else { None };
    match function {
        Some(function) => aggregate(input, noun, function).map(Column::Aggregate),
        None => field(input, noun).map(Column::Field),
    }
}

fn aggregate(input: &mut Tokens<'_, '_>, noun: Noun, function: Function) -> Parsed<Aggregate> {
    accept(input, "a function", |_| Some(()))?;
    sign(Sign::Open, "(").parse_next(input)?;
    if at_sign(input, Sign::Close) && function == Function::Count {
        sign(Sign::Close, ")").parse_next(input)?;
        return Ok(Aggregate { function, field: None });
    }
    let token = next(input)?.clone();
    let field = field(input, noun)?;
    if !function_fits(function, field.kind) {
        let problem = format!("{} cannot be worked out from {}", function.name(), field.name);
        return Err(Failure::problem(&token, problem).cut());
    }
    sign(Sign::Close, ")").parse_next(input)?;
    Ok(Aggregate { function, field: Some(field) })
}

const fn function_fits(function: Function, kind: Kind) -> bool {
    match function {
        Function::Count => true,
        Function::Minimum | Function::Maximum => !matches!(kind, Kind::List),
        _ => matches!(kind, Kind::Number | Kind::Duration),
    }
}

fn filter(input: &mut Tokens<'_, '_>, noun: Noun) -> Parsed<Option<Expression>> {
    opt(after("where", move |input: &mut Tokens<'_, '_>| condition(input, noun, 0))).parse_next(input)
}

fn group_by(input: &mut Tokens<'_, '_>, noun: Noun) -> Parsed<Vec<Field>> {
    let one = move |input: &mut Tokens<'_, '_>| field(input, noun).map_err(ErrMode::cut);
    let fields = (keyword("by"), separated(1.., one, sign(Sign::Comma, ","))).map(|(_, fields)| fields);
    opt(after("group", fields)).parse_next(input).map(Option::unwrap_or_default)
}

fn order_by(input: &mut Tokens<'_, '_>, noun: Noun) -> Parsed<Vec<Order>> {
    let one = move |input: &mut Tokens<'_, '_>| {
        let column = column(input, noun).map_err(ErrMode::cut)?;
        let direction = opt(alt((keyword("asc").value(false), keyword("desc").value(true))));
        let mut direction = direction.map(|descending| descending.unwrap_or(false));
        direction.parse_next(input).map(|descending| Order { column, descending })
    };
    let keys = (keyword("by"), separated(1.., one, sign(Sign::Comma, ","))).map(|(_, keys)| keys);
    opt(after("order", keys)).parse_next(input).map(Option::unwrap_or_default)
}

/// Reads the end; otherwise names the clauses that could still follow.
fn finish(input: &mut Tokens<'_, '_>, query: &Query, clauses: &[&'static str]) -> Parsed<()> {
    let given = [
        ("where", query.filter.is_some()),
        ("group by", !query.group_by.is_empty()),
        ("order by", !query.order_by.is_empty()),
        ("limit", query.limit.is_some()),
    ];
    let last_given = given.iter().rposition(|(_, is_given)| *is_given).map_or(0, |index| index + 1);
    let may_follow = given.iter().skip(last_given).map(|(clause, _)| *clause);
    let may_follow: Vec<_> = may_follow.filter(|clause| clauses.contains(clause)).collect();
    let token = next(input)?;
    let wanted = may_follow.iter().copied().chain(["the end"]);
    end(input).map_err(|_| {
        let mut failure = Failure::expected(token, wanted);
        failure.candidates.extend(
            CLAUSES.iter().filter(|clause| may_follow.iter().any(|allowed| allowed.starts_with(**clause))),
        );
        failure.candidates.extend(["and", "or"].iter().filter(|_| last_given == 1));
        failure.cut()
    })
}

fn check_columns(query: &Query, place: &Token<'_>) -> Parsed<()> {
    if !query.is_grouped() {
        return Ok(());
    }
    match query.columns.iter().find(|column| !available_in_group(query, column)) {
        Some(column) => Err(ungrouped(column, place)),
        None => Ok(()),
    }
}

fn check_order(query: &Query, place: &Token<'_>) -> Parsed<()> {
    let columns = || query.order_by.iter().map(|order| &order.column);
    if query.is_grouped() {
        return match columns().find(|column| !available_in_group(query, column)) {
            Some(column) => Err(ungrouped(column, place)),
            None => Ok(()),
        };
    }
    match columns().find(|column| matches!(column, Column::Aggregate(_))) {
        Some(column) => {
            let problem = format!("{column} needs group by, or must be among the columns shown");
            Err(Failure::problem(place, problem).cut())
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

fn ungrouped(column: &Column, place: &Token<'_>) -> ErrMode<Failure> {
    Failure::problem(place, format!("{column} must be in group by, or stand within a function")).cut()
}

/// Reads what follows `explain`.
pub fn explain(input: &mut Tokens<'_, '_>) -> Parsed<Explain> {
    let request = name.map(|id| Explain::Request(RequestId::from(id)));
    let explain = alt((after("request", request), after("route", route))).parse_next(input);
    let explain = explain.map_err(ErrMode::cut)?;
    cut_err(end).parse_next(input)?;
    Ok(explain)
}

fn route(input: &mut Tokens<'_, '_>) -> Parsed<Explain> {
    let pool = (keyword("pool"), name).parse_next(input)?.1;
    let tenant = (keyword("tenant"), name).parse_next(input)?.1;
    let prompt = (keyword("prompt"), quoted).parse_next(input)?.1;
    Ok(Explain::Route(RouteQuery { pool: PoolId::from(pool), tenant: TenantId::from(tenant), prompt }))
}
