//! Formatting of syntax trees as text that parses to an equal tree.

use std::fmt::{self, Display, Formatter};

use crate::{
    grammar::is_reserved,
    token::{TokenKind, UNITS, classify},
    tree::{
        Action, Aggregate, ChangeCommand, Column, Explain, Expression, Literal, Order, Query, RouteQuery,
        Setting, Statement,
    },
    value::Value,
};

impl Display for Statement {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(query) => write!(formatter, "show {query}"),
            Self::Watch(query) => write!(formatter, "watch {query}"),
            Self::Explain(explain) => write!(formatter, "explain {explain}"),
            Self::Change(command) => command.fmt(formatter),
            Self::Help(None) => formatter.write_str("help"),
            Self::Help(Some(word)) => write!(formatter, "help {word}"),
        }
    }
}

impl Display for Query {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.noun.name())?;
        if !self.columns.is_empty() {
            write!(formatter, " {}", list(&self.columns))?;
        }
        if let Some(filter) = &self.filter {
            write!(formatter, " where {filter}")?;
        }
        if !self.group_by.is_empty() {
            let names: Vec<_> = self.group_by.iter().map(|field| field.name).collect();
            write!(formatter, " group by {}", names.join(", "))?;
        }
        if !self.order_by.is_empty() {
            write!(formatter, " order by {}", list(&self.order_by))?;
        }
        match self.limit {
            Some(limit) => write!(formatter, " limit {limit}"),
            None => Ok(()),
        }
    }
}

fn list<T: Display>(items: &[T]) -> String {
    join(items, ", ")
}

fn join<T: Display>(items: &[T], separator: &str) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join(separator)
}

impl Display for Column {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Field(field) => formatter.write_str(field.name),
            Self::Aggregate(aggregate) => aggregate.fmt(formatter),
        }
    }
}

impl Display for Aggregate {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}({})", self.function.name(), self.field.map_or("", |field| field.name))
    }
}

impl Display for Order {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}", self.column, if self.descending { " desc" } else { "" })
    }
}

impl Display for Expression {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compare { field, operator, literal } => {
                write!(formatter, "{} {} {literal}", field.name, operator.name())
            }
            Self::And(parts) => {
                let parts: Vec<_> = parts.iter().map(|part| parenthesized(part, true)).collect();
                formatter.write_str(&parts.join(" and "))
            }
            Self::Or(parts) => {
                let parts: Vec<_> = parts.iter().map(|part| parenthesized(part, false)).collect();
                formatter.write_str(&parts.join(" or "))
            }
            Self::Not(inner) => write!(formatter, "not {}", parenthesized(inner, true)),
        }
    }
}

/// Formats a part of a condition, with parentheses only if it would parse differently without them. The
/// printed nesting thus never exceeds the parsed one.
fn parenthesized(part: &Expression, binds_tightly: bool) -> String {
    match part {
        Expression::Or(_) => format!("({part})"),
        Expression::And(_) if binds_tightly => format!("({part})"),
        _ => part.to_string(),
    }
}

impl Display for Literal {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value(value) => formatter.write_str(&literal(value)),
            Self::Ago(microseconds) => write!(formatter, "{} ago", duration(*microseconds)),
        }
    }
}

fn literal(value: &Value) -> String {
    match value {
        Value::None => "none".to_owned(),
        Value::Text(text) => name(text),
        Value::Number(number) => number.to_string(),
        Value::Duration(microseconds) => duration(*microseconds),
        Value::Bool(value) => value.to_string(),
        Value::Time(_) => quote(&value.to_string()),
        Value::List(texts) => {
            format!("[{}]", texts.iter().map(|text| name(text)).collect::<Vec<_>>().join(", "))
        }
    }
}

fn duration(microseconds: u64) -> String {
    let divides = |(_, factor): &&(&str, u64)| microseconds.is_multiple_of(*factor);
    let (unit, factor) = UNITS.iter().find(divides).unwrap_or(&("us", 1));
    format!("{}{unit}", microseconds / factor)
}

/// Formats a name, with quotes unless it parses as a word without them.
fn name(text: &str) -> String {
    let starts_with_letter = text.starts_with(|first: char| first.is_ascii_alphabetic());
    let all_allowed = text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"_-./:@+".contains(&byte));
    let is_word =
        starts_with_letter && all_allowed && classify(text) == TokenKind::Word && !is_reserved(text);
    if is_word { text.to_owned() } else { quote(text) }
}

fn quote(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n").replace('\t', "\\t");
    format!("\"{escaped}\"")
}

impl Display for Explain {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => write!(formatter, "request {}", name(request.as_str())),
            Self::Route(RouteQuery { pool, tenant, prompt }) => {
                let (pool, tenant) = (name(pool.as_str()), name(tenant.as_str()));
                write!(formatter, "route pool {pool} tenant {tenant} prompt {}", quote(prompt))
            }
        }
    }
}

impl Display for ChangeCommand {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.action.fmt(formatter)?;
        if self.dry_run {
            formatter.write_str(" dry run")?;
        }
        if let Some(revision) = self.if_revision {
            write!(formatter, " if revision {revision}")?;
        }
        match &self.id {
            Some(id) => write!(formatter, " as {}", name(id.as_str())),
            None => Ok(()),
        }
    }
}

impl Display for Action {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Create(object, object_name, settings) => {
                write!(formatter, "create {} {}", object.name(), name(object_name))?;
                if settings.is_empty() { Ok(()) } else { write!(formatter, " {}", list(settings)) }
            }
            Self::Set(object, object_name, settings) => {
                write!(formatter, "set {} {} {}", object.name(), name(object_name), list(settings))
            }
            Self::Delete(object, object_name) => {
                write!(formatter, "delete {} {}", object.name(), name(object_name))
            }
            Self::Drain { engine, reason } if reason.is_empty() => {
                write!(formatter, "drain engine {}", name(engine.as_str()))
            }
            Self::Drain { engine, reason } => {
                write!(formatter, "drain engine {} reason {}", name(engine.as_str()), quote(reason))
            }
            Self::Undrain { engine } => write!(formatter, "undrain engine {}", name(engine.as_str())),
            Self::RollOut { version, pool } => {
                write!(formatter, "roll out version {version} to pool {}", name(pool.as_str()))
            }
            Self::Pin { version, pool } => {
                write!(formatter, "pin version {version} on pool {}", name(pool.as_str()))
            }
        }
    }
}

impl Display for Setting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} = {}", self.field.name, literal(&self.value))
    }
}
