//! Values of fields and literals.

use std::{cmp::Ordering, fmt};

use paddlemount_protocol::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::rfc3339;

/// The type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Text,
    Number,
    Duration,
    Bool,
    Time,
    /// A list of texts.
    List,
}

impl Kind {
    /// The type's name with an article, for error messages.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Text => "a text",
            Self::Number => "a number",
            Self::Duration => "a duration such as 250ms",
            Self::Bool => "true or false",
            Self::Time => "a time such as \"2026-12-02T07:30:00Z\" or 5m ago",
            Self::List => "a text",
        }
    }
}

/// A typed value.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Value {
    /// Unknown or not set.
    #[default]
    None,
    Text(String),
    /// A finite number.
    Number(f64),
    /// A duration in microseconds.
    Duration(u64),
    Bool(bool),
    Time(Timestamp),
    List(Vec<String>),
}

impl Value {
    /// Creates a duration from milliseconds.
    pub const fn milliseconds(milliseconds: u64) -> Self {
        Self::Duration(milliseconds.saturating_mul(1_000))
    }

    /// Compares values of the same kind; others, and `None`, are not ordered.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Text(left), Self::Text(right)) => Some(left.cmp(right)),
            (Self::Number(left), Self::Number(right)) => left.partial_cmp(right),
            (Self::Duration(left), Self::Duration(right)) => Some(left.cmp(right)),
            (Self::Bool(left), Self::Bool(right)) => Some(left.cmp(right)),
            (Self::Time(left), Self::Time(right)) => Some(left.cmp(right)),
            (Self::List(left), Self::List(right)) => Some(left.cmp(right)),
            _ => None,
        }
    }

    /// Compares values by a total order for sorting: `None` first, then by kind, then by value.
    pub fn sort_order(&self, other: &Self) -> Ordering {
        let by_value = || self.compare(other).unwrap_or(Ordering::Equal);
        self.rank().cmp(&other.rank()).then_with(by_value)
    }

    const fn rank(&self) -> u8 {
        match self {
            Self::None => 0,
            Self::Bool(_) => 1,
            Self::Number(_) => 2,
            Self::Duration(_) => 3,
            Self::Time(_) => 4,
            Self::Text(_) => 5,
            Self::List(_) => 6,
        }
    }

    /// Converts the value to JSON: durations in milliseconds, times as text.
    pub fn to_json(&self) -> serde_json::Value {
        match self {
            Self::None => serde_json::Value::Null,
            Self::Text(text) => text.as_str().into(),
            Self::Number(number) => json_number(*number),
            Self::Duration(microseconds) => json_number(*microseconds as f64 / 1_000.0),
            Self::Bool(value) => (*value).into(),
            Self::Time(time) => rfc3339::format(*time).into(),
            Self::List(texts) => texts.clone().into(),
        }
    }

    /// Converts JSON to a value of type `kind`; `None` if it is of another type.
    pub fn from_json(json: &serde_json::Value, kind: Kind) -> Option<Self> {
        if json.is_null() {
            return Some(Self::None);
        }
        match kind {
            Kind::Text => json.as_str().map(|text| Self::Text(text.to_owned())),
            Kind::Number => json.as_f64().map(Self::Number),
            Kind::Duration => json.as_f64().map(|ms| Self::Duration((ms * 1_000.0).round() as u64)),
            Kind::Bool => json.as_bool().map(Self::Bool),
            Kind::Time => json.as_str().and_then(rfc3339::parse).map(Self::Time),
            Kind::List => {
                let texts = json.as_array()?.iter().map(|item| item.as_str().map(str::to_owned));
                texts.collect::<Option<_>>().map(Self::List)
            }
        }
    }
}

/// Writes integral numbers without a fraction, as clients expect of counts.
fn json_number(number: f64) -> serde_json::Value {
    const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;
    if number.fract() == 0.0 && number.abs() < MAX_EXACT_INTEGER {
        (number as i64).into()
    } else {
        number.into()
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<Timestamp> for Value {
    fn from(time: Timestamp) -> Self {
        Self::Time(time)
    }
}

impl From<f64> for Value {
    fn from(number: f64) -> Self {
        if number.is_finite() { Self::Number(number) } else { Self::None }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<u32> for Value {
    fn from(number: u32) -> Self {
        Self::Number(f64::from(number))
    }
}

impl From<usize> for Value {
    fn from(number: usize) -> Self {
        Self::Number(number as f64)
    }
}

impl<T: Into<Value>> From<Option<T>> for Value {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::None, Into::into)
    }
}

impl fmt::Display for Value {
    /// Formats the value for tables: rounded, and `-` if unknown.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => formatter.write_str("-"),
            Self::Text(text) => formatter.write_str(text),
            Self::Number(number) => write_rounded(formatter, *number),
            Self::Duration(microseconds) => write_duration(formatter, *microseconds),
            Self::Bool(value) => value.fmt(formatter),
            Self::Time(time) => formatter.write_str(&rfc3339::format(*time)),
            Self::List(texts) => formatter.write_str(&texts.join(" ")),
        }
    }
}

fn write_rounded(formatter: &mut fmt::Formatter<'_>, number: f64) -> fmt::Result {
    if number.fract() == 0.0 { write!(formatter, "{number}") } else { write!(formatter, "{number:.3}") }
}

fn write_duration(formatter: &mut fmt::Formatter<'_>, microseconds: u64) -> fmt::Result {
    match microseconds {
        0..1_000 => write!(formatter, "{microseconds}us"),
        1_000..1_000_000 => write!(formatter, "{:.1}ms", microseconds as f64 / 1e3),
        1_000_000..120_000_000 => write!(formatter, "{:.2}s", microseconds as f64 / 1e6),
        _ => write!(formatter, "{:.1}m", microseconds as f64 / 6e7),
    }
}
