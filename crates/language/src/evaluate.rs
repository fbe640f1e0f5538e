//! Evaluation of queries.
//!
//! Each node [`select`]s its own rows. The coordinating node combines the rows of all nodes with [`merge`]
//! and builds the answer with [`table`], which applies grouping, order and limit.

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

/// The rows that a source returned for a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    pub rows: Vec<Row>,
    /// Whether further matching rows were omitted.
    pub truncated: bool,
}

/// The maximum number of rows that a selection holds when it must sort before it applies a limit.
pub const MAX_SORTED_ROWS: usize = 20_000;

/// Selects at most `max_rows` rows of a source that match the query's filter.
///
/// If the query orders ungrouped rows that each belong to one node, the first rows in that order are
/// selected, so that the coordinating node can apply the query's limit to the merged rows.
pub fn select(query: &Query, source: &dyn Source, max_rows: usize) -> Selection {
    let now = source.now();
    let sorts = sorts_before_limit(query);
    let row_limit = required_rows(query, max_rows);
    let read_limit = if sorts { MAX_SORTED_ROWS } else { row_limit };
    let mut selection = Selection { rows: Vec::new(), truncated: false };
    source.visit(query.noun, &mut |row| {
        if !matches(query, &row, now) {
            return ControlFlow::Continue(());
        }
        if selection.rows.len() >= read_limit {
            selection.truncated = read_limit == max_rows || sorts;
            return ControlFlow::Break(());
        }
        selection.rows.push(row);
        ControlFlow::Continue(())
    });
    if sorts {
        selection.rows.sort_by(|left, right| compare_rows(&query.order_by, left, right));
    }
    if selection.rows.len() > row_limit {
        selection.rows.truncate(row_limit);
        selection.truncated |= row_limit == max_rows;
    }
    selection
}

fn sorts_before_limit(query: &Query) -> bool {
    !query.is_grouped() && !query.order_by.is_empty() && query.noun.merge() == Merge::PerNode
}

/// The number of rows that suffices for the answer: the query's limit applies before merging if rows are
/// ungrouped and each belongs to one node.
fn required_rows(query: &Query, max_rows: usize) -> usize {
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

/// Whether a row matches the query's filter.
pub fn matches(query: &Query, row: &Row, now: Timestamp) -> bool {
    query.filter.as_ref().is_none_or(|filter| is_satisfied(filter, row, now))
}

fn is_satisfied(expression: &Expression, row: &Row, now: Timestamp) -> bool {
    match expression {
        Expression::And(parts) => parts.iter().all(|part| is_satisfied(part, row, now)),
        Expression::Or(parts) => parts.iter().any(|part| is_satisfied(part, row, now)),
        Expression::Not(inner) => !is_satisfied(inner, row, now),
        Expression::Compare { field, operator, literal } => {
            let operand = match literal {
                Literal::Value(value) => value.clone(),
                Literal::Ago(microseconds) => Value::Time(Timestamp(now.0.saturating_sub(*microseconds))),
            };
            satisfies(row.get(field), *operator, &operand)
        }
    }
}

/// An unknown value equals only `none` and is not ordered relative to any value.
fn satisfies(value: &Value, operator: Operator, operand: &Value) -> bool {
    let order = value.compare(operand);
    match operator {
        Operator::Equal => value == operand,
        Operator::NotEqual => value != operand,
        Operator::Less => order == Some(Ordering::Less),
        Operator::AtMost => order.is_some_and(Ordering::is_le),
        Operator::Greater => order == Some(Ordering::Greater),
        Operator::AtLeast => order.is_some_and(Ordering::is_ge),
        Operator::Like => match (value, operand) {
            (Value::Text(text), Value::Text(pattern)) => glob::matches(pattern, text),
            _ => false,
        },
        Operator::Contains => match (value, operand) {
            (Value::Text(text), Value::Text(part)) => text.contains(part.as_str()),
            (Value::List(texts), Value::Text(element)) => texts.contains(element),
            _ => false,
        },
    }
}

/// Combines the rows of several nodes. Of several nodes' views of one object, only the most recent remains.
pub fn merge(noun: Noun, rows: Vec<Row>) -> Vec<Row> {
    let Merge::Freshest(key_fields) = noun.merge() else { return rows };
    let mut newest: BTreeMap<String, Row> = BTreeMap::new();
    for row in rows {
        let key = group_key(&row.values()[..key_fields]);
        let is_newer = newest.get(&key).is_none_or(|other| age_of(&row) < age_of(other));
        if is_newer {
            newest.insert(key, row);
        }
    }
    newest.into_values().collect()
}

fn age_of(row: &Row) -> u64 {
    match row.get_by_name("age") {
        Value::Duration(microseconds) => *microseconds,
        _ => u64::MAX,
    }
}

/// A key that is equal for equal values.
fn group_key(values: &[Value]) -> String {
    serde_json::Value::from_iter(values.iter().map(Value::to_json)).to_string()
}

/// Builds the answer to a query from all matching rows.
pub fn table(query: &Query, rows: &[Row]) -> Table {
    let columns = shown_columns(query);
    let headers = columns.iter().map(column_header).collect();
    let groups = groups(query, rows);
    let mut keyed_rows: Vec<(Vec<Value>, Vec<Value>)> = groups
        .iter()
        .map(|group| {
            let cells = columns.iter().map(|column| cell(column, group)).collect();
            let keys = query.order_by.iter().map(|order| cell(&order.column, group)).collect();
            (keys, cells)
        })
        .collect();
    keyed_rows.sort_by(|left, right| compare_keys(&query.order_by, &left.0, &right.0));
    let limit = query.limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
    Table { columns: headers, rows: keyed_rows.into_iter().map(|(_, cells)| cells).take(limit).collect() }
}

/// The columns of a query's answer.
pub fn shown_columns(query: &Query) -> Vec<Column> {
    if !query.columns.is_empty() {
        return query.columns.clone();
    }
    if query.is_grouped() {
        let fields = query.group_by.iter().map(|field| Column::Field(field));
        let count = Aggregate { function: Function::Count, field: None };
        return fields.chain([Column::Aggregate(count)]).collect();
    }
    let omitted = match query.noun.merge() {
        Merge::PerNode => "age",
        Merge::Freshest(_) => "node",
    };
    query.noun.fields().filter(|field| field.name != omitted).map(Column::Field).collect()
}

fn column_header(column: &Column) -> ColumnHeader {
    let kind = match column {
        Column::Field(field) => field.kind,
        Column::Aggregate(aggregate) => match (aggregate.function, aggregate.field) {
            (Function::Count, _) | (_, None) => Kind::Number,
            (_, Some(field)) => field.kind,
        },
    };
    ColumnHeader { name: column.to_string(), kind }
}

/// The groups of rows; each row is its own group if the query is ungrouped.
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
        Column::Aggregate(aggregate) => aggregate_value(aggregate, group),
    }
}

fn aggregate_value(aggregate: &Aggregate, group: &[&Row]) -> Value {
    let Some(field) = aggregate.field else { return Value::from(group.len()) };
    let mut values: Vec<&Value> =
        group.iter().map(|row| row.get(field)).filter(|value| **value != Value::None).collect();
    values.sort_by(|left, right| left.sort_order(right));
    match aggregate.function {
        Function::Count => Value::from(values.len()),
        Function::Minimum => values.first().map_or(Value::None, |value| (*value).clone()),
        Function::Maximum => values.last().map_or(Value::None, |value| (*value).clone()),
        Function::Sum => sum(&values, field),
        Function::Average => average(&values, field),
        Function::Median => percentile(&values, 50),
        Function::Percentile95 => percentile(&values, 95),
        Function::Percentile99 => percentile(&values, 99),
    }
}

fn sum(values: &[&Value], field: &FieldSchema) -> Value {
    value_of_kind(values.iter().map(|value| amount(value)).sum(), field)
}

fn average(values: &[&Value], field: &FieldSchema) -> Value {
    if values.is_empty() {
        return Value::None;
    }
    let sum: f64 = values.iter().map(|value| amount(value)).sum();
    value_of_kind(sum / values.len() as f64, field)
}

fn amount(value: &Value) -> f64 {
    match value {
        Value::Number(number) => *number,
        Value::Duration(microseconds) => *microseconds as f64,
        _ => 0.0,
    }
}

fn value_of_kind(amount: f64, field: &FieldSchema) -> Value {
    match field.kind {
        Kind::Duration => Value::Duration(amount.round() as u64),
        _ => Value::from(amount),
    }
}

/// The percentile of the sorted values by the nearest-rank method.
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
