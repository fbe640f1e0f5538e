//! Answers, in the form that the administration API carries.

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
    /// What was asked for.
    pub body: Body,
    /// The nodes that were asked, and what each said; empty where one node answers by itself.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberStatus>,
    /// What limits the answer: nodes that did not answer, rows left out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub notes: Vec<String>,
}

impl Answer {
    /// An answer of one node by itself.
    pub const fn alone(body: Body) -> Self {
        Self { body, members: Vec::new(), notes: Vec::new() }
    }
}

/// What an answer holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Body {
    /// Rows.
    Table {
        /// The rows.
        table: Table,
    },
    /// Reasons.
    Explanation {
        /// The reasons.
        explanation: Explanation,
    },
    /// How a change ended.
    Change {
        /// The change's identity.
        change: ChangeId,
        /// How it ended.
        outcome: ChangeOutcome,
        /// The same in one sentence.
        sentence: String,
    },
    /// Text for people.
    Text {
        /// The text.
        text: String,
    },
}

/// What one node said to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Whether it answered within the deadline.
    pub answered: bool,
    /// Milliseconds from the question to its answer, or until it was given up: its rows are no older than
    /// that, but for the `age` that each states.
    pub age_ms: u64,
    /// Rows that it gave.
    pub rows: usize,
    /// Why it did not answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<String>,
}

/// A question from the node that was asked to another member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberQuery {
    /// The statement, as text of the language.
    pub statement: String,
    /// Rows wanted at most.
    pub max_rows: usize,
    /// For `watch`: the position to read on from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<WatchPosition>,
}

/// What a member replies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReply {
    /// The member.
    pub node: NodeId,
    /// The configuration revision that it has in force.
    pub revision: Revision,
    /// Its rows, with all fields of the noun.
    pub table: Table,
    /// Whether it has more rows.
    pub truncated: bool,
    /// What it knows of the request that is to be explained.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub explanation: Option<Explanation>,
    /// For `watch`: the position to read on from next time.
    #[serde(default)]
    pub next: WatchPosition,
    /// For `watch`: rows that were gone before they could be read.
    #[serde(default)]
    pub lost: u64,
}

/// How far a watcher has read what one node remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchPosition {
    /// Sampled decision records.
    pub sampled: u64,
    /// Decision records of refused, retried and slow requests.
    pub notable: u64,
    /// Events.
    pub events: u64,
    /// The audit trail.
    pub audit: u64,
}

/// One line of a stream that answers `watch`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum WatchLine {
    /// Rows that appeared or changed.
    Rows {
        /// The rows.
        table: Table,
    },
    /// Rows that were gone before they could be read.
    Lost {
        /// The node that had them.
        node: NodeId,
        /// How many.
        rows: u64,
    },
    /// A member that did not answer.
    #[serde(rename = "silent")]
    Unresponsive {
        /// The member.
        node: NodeId,
        /// Why.
        problem: String,
    },
    /// Nothing happened; sent so that either side notices a broken connection.
    #[serde(rename = "alive")]
    Heartbeat,
}

/// Why a statement was not answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryError {
    /// The refusal.
    pub error: Refusal,
    /// Where the statement is wrong, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub syntax: Option<SyntaxError>,
}

/// Why a request goes where it goes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The answer in one sentence.
    pub summary: String,
    /// The facts, each with its parts.
    pub sections: Vec<Section>,
}

/// One part of an explanation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// What it is about.
    pub title: String,
    /// The facts.
    pub table: Table,
}

/// The head of a column.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColumnHeader {
    /// The column's name.
    pub name: String,
    /// The type of its values.
    pub kind: Kind,
}

impl ColumnHeader {
    /// A head.
    pub fn new(name: &str, kind: Kind) -> Self {
        Self { name: name.to_owned(), kind }
    }
}

/// Rows under their heads. As JSON, durations are milliseconds and times are text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "PlainTable", try_from = "PlainTable")]
pub struct Table {
    /// The heads.
    pub columns: Vec<ColumnHeader>,
    /// The rows; each has one value for each head.
    pub rows: Vec<Vec<Value>>,
}

#[derive(Serialize, Deserialize)]
struct PlainTable {
    columns: Vec<ColumnHeader>,
    rows: Vec<Vec<serde_json::Value>>,
}

impl From<Table> for PlainTable {
    fn from(table: Table) -> Self {
        let rows = table.rows.iter().map(|row| row.iter().map(Value::to_json).collect()).collect();
        Self { columns: table.columns, rows }
    }
}

/// A table whose rows do not fit its heads.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("row {row} of the table does not fit its columns")]
pub struct InvalidTable {
    /// The row, counted from 0.
    pub row: usize,
}

impl TryFrom<PlainTable> for Table {
    type Error = InvalidTable;

    fn try_from(plain: PlainTable) -> Result<Self, InvalidTable> {
        let mut rows = Vec::with_capacity(plain.rows.len());
        for (index, cells) in plain.rows.iter().enumerate() {
            let row = read_row(&plain.columns, cells).ok_or(InvalidTable { row: index })?;
            rows.push(row);
        }
        Ok(Self { columns: plain.columns, rows })
    }
}

fn read_row(columns: &[ColumnHeader], cells: &[serde_json::Value]) -> Option<Vec<Value>> {
    if cells.len() != columns.len() {
        return None;
    }
    cells.iter().zip(columns).map(|(cell, column)| Value::from_json(cell, column.kind)).collect()
}

/// How a change ended, in one sentence.
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
        ChangeOutcome::Unknown { settle_with } => format!("unknown; settle it with: {settle_with}"),
    }
}
