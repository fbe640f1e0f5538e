//! Answers to statements, as serialized by the administration API.

use paddlemount_protocol::{
    configuration::ChangeOutcome,
    identity::{ChangeId, NodeId, Revision},
    refusal::Refusal,
};
use serde::{Deserialize, Serialize};

use crate::{
    error::SyntaxError,
    value::{Kind, Value},
};

/// The answer to one statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub body: Body,
    /// The status of each queried node; empty if the answer comes from a single node.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberStatus>,
    /// Limitations of the answer, such as nodes that did not respond or rows that were omitted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

impl Answer {
    /// Creates the answer of a single node.
    pub const fn from_single_node(body: Body) -> Self {
        Self { body, members: Vec::new(), notes: Vec::new() }
    }
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Body {
    /// The rows of a query.
    Table { table: Table },
    /// Why a request was routed as it was.
    Explanation { explanation: Explanation },
    /// The outcome of a change.
    Change {
        change: ChangeId,
        outcome: ChangeOutcome,
        /// The outcome as text.
        sentence: String,
    },
    /// Plain text, for `help`.
    Text { text: String },
}

/// Whether and how fast one node answered a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub node: NodeId,
    /// Whether it answered before the deadline.
    pub answered: bool,
    /// Milliseconds from sending the query to its answer or timeout. Its rows are at most this old, plus the
    /// `age` of each row.
    pub age_ms: u64,
    /// The number of rows in its answer.
    pub rows: usize,
    /// Why it did not answer, if it did not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<String>,
}

/// A query that the coordinating node forwards to another member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberQuery {
    /// The text of the statement.
    pub statement: String,
    /// The maximum number of rows in the reply.
    pub max_rows: usize,
    /// For `watch`: the position after which to continue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<WatchPosition>,
}

/// A member's reply to a [`MemberQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReply {
    pub node: NodeId,
    /// The configuration revision in force at the member.
    pub revision: Revision,
    /// The matching rows, with all fields of the noun.
    pub table: Table,
    /// Whether further rows matched.
    pub truncated: bool,
    /// For `explain`: what the member has recorded about the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub explanation: Option<Explanation>,
    /// For `watch`: the position to continue from.
    #[serde(default)]
    pub next: WatchPosition,
    /// For `watch`: the number of rows evicted before they were read.
    #[serde(default)]
    pub lost: u64,
}

/// The position of a `watch` in each of one node's logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchPosition {
    pub sampled: u64,
    /// Decision records of refused, retried and slow requests.
    pub notable: u64,
    pub events: u64,
    pub audit: u64,
}

/// One line of the stream that answers a `watch`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum WatchLine {
    /// Rows that appeared or changed.
    Rows { table: Table },
    /// Rows that were evicted before they were read.
    Lost {
        node: NodeId,
        /// The number of rows.
        rows: u64,
    },
    /// A member that did not answer.
    #[serde(rename = "silent")]
    Unresponsive { node: NodeId, problem: String },
    /// Sent when nothing has changed, so that both sides detect a broken connection.
    #[serde(rename = "alive")]
    Heartbeat,
}

/// The error response to a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryError {
    pub error: Refusal,
    /// The syntax error, if the statement is invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub syntax: Option<SyntaxError>,
}

/// Why a request is routed as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// One sentence.
    pub summary: String,
    /// The facts by topic.
    pub sections: Vec<Section>,
}

/// One part of an explanation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Section {
    pub title: String,
    pub table: Table,
}

/// The header of a column.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColumnHeader {
    pub name: String,
    pub kind: Kind,
}

impl ColumnHeader {
    /// Creates a header.
    pub fn new(name: &str, kind: Kind) -> Self {
        Self { name: name.to_owned(), kind }
    }
}

/// Rows with column headers. In JSON, durations are milliseconds and times are text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "JsonTable", try_from = "JsonTable")]
pub struct Table {
    pub columns: Vec<ColumnHeader>,
    /// Each row has one value per column.
    pub rows: Vec<Vec<Value>>,
}

#[derive(Serialize, Deserialize)]
struct JsonTable {
    columns: Vec<ColumnHeader>,
    rows: Vec<Vec<serde_json::Value>>,
}

impl From<Table> for JsonTable {
    fn from(table: Table) -> Self {
        let rows = table.rows.iter().map(|row| row.iter().map(Value::to_json).collect()).collect();
        Self { columns: table.columns, rows }
    }
}

/// A table with a row that does not fit its columns.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("row {row} of the table does not fit its columns")]
pub struct InvalidTable {
    /// The index of the row.
    pub row: usize,
}

impl TryFrom<JsonTable> for Table {
    type Error = InvalidTable;

    fn try_from(json: JsonTable) -> Result<Self, InvalidTable> {
        let mut rows = Vec::with_capacity(json.rows.len());
        for (index, cells) in json.rows.iter().enumerate() {
            let row = parse_row(&json.columns, cells).ok_or(InvalidTable { row: index })?;
            rows.push(row);
        }
        Ok(Self { columns: json.columns, rows })
    }
}

fn parse_row(columns: &[ColumnHeader], cells: &[serde_json::Value]) -> Option<Vec<Value>> {
    if cells.len() != columns.len() {
        return None;
    }
    cells.iter().zip(columns).map(|(cell, column)| Value::from_json(cell, column.kind)).collect()
}

/// Describes the outcome of a change in one sentence.
pub fn describe_outcome(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::InForce { revision, after_ms } => {
            format!("in force everywhere as revision {revision} after {after_ms} ms")
        }
        ChangeOutcome::Accepted { revision, unconfirmed } => {
            let nodes: Vec<&str> = unconfirmed.iter().map(NodeId::as_str).collect();
            format!("accepted as revision {revision}; not yet confirmed by {}", nodes.join(", "))
        }
        ChangeOutcome::WouldApply { revision } => {
            format!("dry run: nothing wrong at revision {revision}; nothing was changed")
        }
        ChangeOutcome::Refused { revision, reason } => {
            format!("refused at revision {revision} because {reason}")
        }
        ChangeOutcome::Unknown { status_query } => format!("unknown; settle it with: {status_query}"),
    }
}
