//! Evaluation of queries.
//!
//! Each node [`select`]s its own rows; the node that was asked puts the rows of all nodes together
//! with [`merge`] and makes the answer with [`table`], which groups, orders and cuts.

use std::{cmp::Ordering, collections::BTreeMap, ops::ControlFlow};

use paddlemount_protocol::time::Timestamp;

use crate::{
    answer::{ColumnHeader, Table},
    glob,
    schema::{FieldSchema, Merge, Noun},
    source::{Row, Source},
    tree::{Aggregate, Column, Expression, Function, Literal, Operator, Order, Query},
    value::{Kind, Value},
};

/// Rows that a source gave for a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Rows that match the filter.
    pub rows: Vec<Row>,
    /// Whether there were more rows than allowed.
    pub truncated: bool,
}

/// Rows that one selection reads at most where it must sort them before it cuts.
pub const MAX_SORTED_ROWS: usize = 20_000;

/// Rows of a source that match the query's filter, at most `max_rows`.
///
/// Where the query orders single rows that belong to one node each, the first ones in that order are
/// given, so that the node which puts the answers together misses none of them.
pub fn select(query: &Query, source: &dyn Source, max_rows: usize) -> Selection {
    let now = source.now();
    let sorts = sorts_before_cut(query);
    let wanted = wanted_rows(query, max_rows);
    let bound = if sorts { MAX_SORTED_ROWS } else { wanted };
    let mut selection = Selection { rows: Vec::new(), truncated: false };
    source.visit(query.noun, &mut |row| {
        if !matches(query, &row, now) {
            return ControlFlow::Continue(());
        }
        if selection.rows.len() >= bound {
            selection.truncated = bound == max_rows || sorts;
            return ControlFlow::Break(());
        }
        selection.rows.push(row);
        ControlFlow::Continue(())
    });
    if sorts {
        selection.rows.sort_by(|left, right| compare_rows(&query.order_by, left, right));
    }
    if selection.rows.len() > wanted {
        selection.rows.truncate(wanted);
        selection.truncated |= wanted == max_rows;
    }
    selection
}

fn sorts_before_cut(query: &Query) -> bool {
    !query.is_grouped() && !query.order_by.is_empty() && query.noun.merge() == Merge::PerNode
}

/// Rows that are enough for the answer: the limit may be applied early where rows stay single and
/// each belongs to one node.
fn wanted_rows(query: &Query, max_rows: usize) -> usize {
    match query.limit {
        Some(limit) if !query.is_grouped() && query.noun.merge() == Merge::PerNode => {
            usize::try_from(limit).unwrap_or(usize::MAX).min(max_rows)
        }
        _ => max_rows,
    }
}

fn compare_rows(orders: &[Order], left: &Row, right: &Row) -> Ordering {
    let keys = |row: &Row| orders.iter().map(|order| cell(&order.column, &[row])).collect::<Vec<_>>();
    compare_keys(orders, &keys(left), &keys(right))
}

/// Whether a row meets the query's filter.
pub fn matches(query: &Query, row: &Row, now: Timestamp) -> bool {
    query.filter.as_ref().is_none_or(|filter| holds(filter, row, now))
}

fn holds(expression: &Expression, row: &Row, now: Timestamp) -> bool {
    match expression {
        Expression::And(parts) => parts.iter().all(|part| holds(part, row, now)),
        Expression::Or(parts) => parts.iter().any(|part| holds(part, row, now)),
        Expression::Not(inner) => !holds(inner, row, now),
        Expression::Compare { field, operator, literal } => {
            let wanted = match literal {
                Literal::Value(value) => value.clone(),
                Literal::Ago(microseconds) => Value::Time(Timestamp(now.0.saturating_sub(*microseconds))),
            };
            compares(row.get(field), *operator, &wanted)
        }
    }
}

/// An unknown value equals only `none` and is neither less nor greater than anything.
fn compares(value: &Value, operator: Operator, wanted: &Value) -> bool {
    let order = value.compare(wanted);
    match operator {
        Operator::Equal => value == wanted,
        Operator::NotEqual => value != wanted,
        Operator::Less => order == Some(Ordering::Less),
        Operator::AtMost => order.is_some_and(Ordering::is_le),
        Operator::Greater => order == Some(Ordering::Greater),
        Operator::AtLeast => order.is_some_and(Ordering::is_ge),
        Operator::Like => match (value, wanted) {
            (Value::Text(text), Value::Text(pattern)) => glob::matches(pattern, text),
            _ => false,
        },
        Operator::Contains => match (value, wanted) {
            (Value::Text(text), Value::Text(part)) => text.contains(part.as_str()),
            (Value::List(texts), Value::Text(element)) => texts.contains(element),
            _ => false,
        },
    }
}

/// Rows of several nodes put together: of beliefs about one object only the freshest stays.
pub fn merge(noun: Noun, rows: Vec<Row>) -> Vec<Row> {
    let Merge::Freshest(key_fields) = noun.merge() else { return rows };
    let mut freshest: BTreeMap<String, Row> = BTreeMap::new();
    for row in rows {
        let key = group_key(&row.values()[..key_fields]);
        let is_fresher = freshest.get(&key).is_none_or(|kept| age_of(&row) < age_of(kept));
        if is_fresher {
            freshest.insert(key, row);
        }
    }
    freshest.into_values().collect()
}

fn age_of(row: &Row) -> u64 {
    match row.get_by_name("age") {
        Value::Duration(microseconds) => *microseconds,
        _ => u64::MAX,
    }
}

/// A text that is equal for equal values and sorts by them.
fn group_key(values: &[Value]) -> String {
    serde_json::Value::from_iter(values.iter().map(Value::to_json)).to_string()
}

/// The answer to a query from all matching rows.
pub fn table(query: &Query, rows: &[Row]) -> Table {
    let columns = shown_columns(query);
    let heads = columns.iter().map(column_head).collect();
    let groups = groups(query, rows);
    let mut lines: Vec<(Vec<Value>, Vec<Value>)> = groups
        .iter()
        .map(|group| {
            let cells = columns.iter().map(|column| cell(column, group)).collect();
            let keys = query.order_by.iter().map(|order| cell(&order.column, group)).collect();
            (keys, cells)
        })
        .collect();
    lines.sort_by(|left, right| compare_keys(&query.order_by, &left.0, &right.0));
    let limit = query.limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
    Table { columns: heads, rows: lines.into_iter().map(|(_, cells)| cells).take(limit).collect() }
}

/// The columns that a query shows.
pub fn shown_columns(query: &Query) -> Vec<Column> {
    if !query.columns.is_empty() {
        return query.columns.clone();
    }
    if query.is_grouped() {
        let fields = query.group_by.iter().map(|field| Column::Field(field));
        let count = Aggregate { function: Function::Count, field: None };
        return fields.chain([Column::Aggregate(count)]).collect();
    }
    let left_out = match query.noun.merge() {
        Merge::PerNode => "age",
        Merge::Freshest(_) => "node",
    };
    query.noun.fields().filter(|field| field.name != left_out).map(Column::Field).collect()
}

fn column_head(column: &Column) -> ColumnHeader {
    let kind = match column {
        Column::Field(field) => field.kind,
        Column::Aggregate(aggregate) => match (aggregate.function, aggregate.field) {
            (Function::Count, _) | (_, None) => Kind::Number,
            (_, Some(field)) => field.kind,
        },
    };
    ColumnHeader { name: column.to_string(), kind }
}

/// Rows that belong together; each row by itself where the query does not group.
fn groups<'a>(query: &Query, rows: &'a [Row]) -> Vec<Vec<&'a Row>> {
    if !query.is_grouped() {
        return rows.iter().map(|row| vec![row]).collect();
    }
    if query.group_by.is_empty() {
        return vec![rows.iter().collect()];
    }
    let mut groups: BTreeMap<String, Vec<&Row>> = BTreeMap::new();
    for row in rows {
        let key: Vec<Value> = query.group_by.iter().map(|field| row.get(field).clone()).collect();
        groups.entry(group_key(&key)).or_default().push(row);
    }
    groups.into_values().collect()
}

fn cell(column: &Column, group: &[&Row]) -> Value {
    match column {
        Column::Field(field) => group.first().map_or(Value::None, |row| row.get(field).clone()),
        Column::Aggregate(aggregate) => figure(aggregate, group),
    }
}

fn figure(aggregate: &Aggregate, group: &[&Row]) -> Value {
    let Some(field) = aggregate.field else { return Value::from(group.len()) };
    let mut values: Vec<&Value> =
        group.iter().map(|row| row.get(field)).filter(|value| **value != Value::None).collect();
    values.sort_by(|left, right| left.sort_order(right));
    match aggregate.function {
        Function::Count => Value::from(values.len()),
        Function::Minimum => values.first().map_or(Value::None, |value| (*value).clone()),
        Function::Maximum => values.last().map_or(Value::None, |value| (*value).clone()),
        Function::Sum => total(&values, field),
        Function::Average => average(&values, field),
        Function::Median => percentile(&values, 50),
        Function::Percentile95 => percentile(&values, 95),
        Function::Percentile99 => percentile(&values, 99),
    }
}

fn total(values: &[&Value], field: &FieldSchema) -> Value {
    measured(values.iter().map(|value| amount(value)).sum(), field)
}

fn average(values: &[&Value], field: &FieldSchema) -> Value {
    if values.is_empty() {
        return Value::None;
    }
    let sum: f64 = values.iter().map(|value| amount(value)).sum();
    measured(sum / values.len() as f64, field)
}

fn amount(value: &Value) -> f64 {
    match value {
        Value::Number(number) => *number,
        Value::Duration(microseconds) => *microseconds as f64,
        _ => 0.0,
    }
}

fn measured(amount: f64, field: &FieldSchema) -> Value {
    match field.kind {
        Kind::Duration => Value::Duration(amount.round() as u64),
        _ => Value::from(amount),
    }
}

/// The least value that at least `percent` in 100 of the sorted values do not exceed (nearest rank).
fn percentile(values: &[&Value], percent: usize) -> Value {
    let rank = (values.len() * percent).div_ceil(100).max(1);
    values.get(rank - 1).map_or(Value::None, |value| (*value).clone())
}

fn compare_keys(orders: &[Order], left: &[Value], right: &[Value]) -> Ordering {
    for (order, (left, right)) in orders.iter().zip(left.iter().zip(right)) {
        let ordering = left.sort_order(right);
        let ordering = if order.descending { ordering.reverse() } else { ordering };
        if ordering != Ordering::Equal {
            return ordering;
        }
    }
    Ordering::Equal
}
