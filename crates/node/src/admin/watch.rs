//! `watch`: a stream of new or changed rows, as JSON lines.
//!
//! A stream holds no buffer of its own. It reads the nodes' journals from its last position whenever the
//! receiver has taken the previous lines; a receiver that is too slow gets the number of rows it missed.

use std::{collections::BTreeMap, convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::Stream;
use paddlemount_language::{
    answer::{MemberQuery, Table, WatchLine, WatchPosition},
    evaluate::{matches, merge, select, table},
    schema::{Merge, Noun},
    source::{Row, Source},
    tree::{Query, Statement},
    value::Value,
};
use paddlemount_protocol::identity::NodeId;

use super::{
    limits::{ConcurrencyGuard, rows_per_member},
    members::{self, MemberResponse},
    observations::snake_case,
    rows::NodeSource,
};
use crate::{
    admin::cluster::{self, Member},
    state::NodeState,
};

/// Minimum time between two reads of the journals.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Average rate at which one watcher queries members.
const MAX_MEMBERS_PER_SECOND: u32 = 50;
/// Leading fields that identify an object that is specific to a node.
const PER_NODE_KEY_FIELDS: usize = 2;
const MEMBER_DEADLINE: Duration = Duration::from_secs(2);

/// New rows of a node.
pub struct WatchUpdate {
    /// The rows that match the filter.
    pub rows: Vec<Row>,
    /// The position of the next read.
    pub next: WatchPosition,
    /// Rows that were evicted before they could be read.
    pub lost: u64,
}

/// Whether a noun's rows come from a journal; other rows are compared with their previous state.
const fn is_journal(noun: Noun) -> bool {
    matches!(noun, Noun::Requests | Noun::Decisions | Noun::Changes | Noun::Events | Noun::Mechanism(_))
}

/// The rows of this node after a position, or the current position if there is none.
pub fn read_update(
    state: &NodeState,
    query: &Query,
    after: Option<WatchPosition>,
    max_rows: usize,
) -> WatchUpdate {
    let source = NodeSource::new(state);
    if !is_journal(query.noun) {
        let rows = select(query, &source, max_rows).rows;
        return WatchUpdate { rows, next: WatchPosition::default(), lost: 0 };
    }
    let Some(after) = after else {
        return WatchUpdate { rows: Vec::new(), next: state.observations.end(), lost: 0 };
    };
    let page = state.observations.read_after(after, max_rows);
    let (rows, lost): (Vec<Row>, u64) = match query.noun {
        Noun::Requests => {
            let rows = page.decisions.iter().map(|record| source.request_row(record, false));
            (rows.collect(), page.lost.decisions)
        }
        Noun::Decisions => {
            let rows = page.decisions.iter().flat_map(|record| source.decision_rows(record));
            (rows.collect(), page.lost.decisions)
        }
        Noun::Changes => {
            let rows = page.audit.iter().map(|entry| source.audit_row(entry));
            (rows.collect(), page.lost.audit)
        }
        noun => {
            let wanted = |mechanism: &str| match noun {
                Noun::Mechanism(watched) => watched.name() == mechanism,
                _ => true,
            };
            let events = page.events.iter().filter(|event| wanted(&snake_case(&event.mechanism)));
            (events.map(|event| source.event_row(noun, event)).collect(), page.lost.events)
        }
    };
    let rows = rows.into_iter().filter(|row| matches(query, row, source.now())).collect();
    WatchUpdate { rows, next: page.next, lost }
}

/// The state of a `watch` stream.
struct Watcher {
    state: Arc<NodeState>,
    query: Query,
    statement: String,
    /// The position after the rows read last, by node.
    positions: BTreeMap<NodeId, WatchPosition>,
    /// The compared values of the rows sent last, by row key.
    shown: BTreeMap<String, Vec<Value>>,
    unresponsive: Vec<NodeId>,
    /// Rows that may still be sent under the query's limit.
    remaining: u64,
    started: bool,
    _guard: ConcurrencyGuard,
}

/// The lines of a stream, as JSON, each terminated by a line feed.
pub fn stream(
    state: &Arc<NodeState>,
    query: Query,
    guard: ConcurrencyGuard,
) -> impl Stream<Item = Result<Bytes, Infallible>> + use<> {
    let watcher = Watcher {
        state: Arc::clone(state),
        statement: Statement::Watch(query.clone()).to_string(),
        remaining: query.limit.unwrap_or(u64::MAX),
        query,
        positions: BTreeMap::new(),
        shown: BTreeMap::new(),
        unresponsive: Vec::new(),
        started: false,
        _guard: guard,
    };
    futures_util::stream::unfold(watcher, |mut watcher| async move {
        if watcher.remaining == 0 {
            return None;
        }
        let lines = watcher.next_lines().await;
        Some((Ok(encode(&lines)), watcher))
    })
}

fn encode(lines: &[WatchLine]) -> Bytes {
    let mut bytes = Vec::new();
    for line in lines {
        match serde_json::to_writer(&mut bytes, line) {
            Ok(()) => bytes.push(b'\n'),
            Err(error) => log::error!("cannot encode a line of a watch stream as JSON: {error}"),
        }
    }
    bytes.into()
}

impl Watcher {
    /// Waits for the next read and returns its lines.
    async fn next_lines(&mut self) -> Vec<WatchLine> {
        let members = cluster::members(&self.state);
        if self.started {
            tokio::time::sleep(poll_interval(members.len())).await;
        }
        self.started = true;
        let max_rows = rows_per_member(members.len() + 1);
        let mut lines = Vec::new();
        let mut rows = self.own_rows(max_rows, &mut lines);
        for response in self.query_members(members, max_rows).await {
            rows.extend(self.apply_reply(response, &mut lines));
        }
        let rows = self.rows_to_show(rows);
        if !rows.is_empty() {
            self.remaining -= rows.len() as u64;
            lines.push(WatchLine::Rows { table: self.table(&rows) });
        }
        if lines.is_empty() {
            lines.push(WatchLine::Heartbeat);
        }
        lines
    }

    fn own_rows(&mut self, max_rows: usize, lines: &mut Vec<WatchLine>) -> Vec<Row> {
        let node = self.state.settings.node.clone();
        let after = self.positions.get(&node).copied();
        let WatchUpdate { rows, next, lost } = read_update(&self.state, &self.query, after, max_rows);
        self.advance(node, next, lost, lines);
        rows
    }

    fn advance(&mut self, node: NodeId, next: WatchPosition, lost: u64, lines: &mut Vec<WatchLine>) {
        if lost > 0 {
            lines.push(WatchLine::Lost { node: node.clone(), rows: lost });
        }
        self.positions.insert(node, next);
    }

    async fn query_members(&self, members: Vec<Member>, max_rows: usize) -> Vec<MemberResponse> {
        let member_query = |node: &NodeId| MemberQuery {
            statement: self.statement.clone(),
            max_rows,
            after: self.positions.get(node).copied(),
        };
        members::query_all(&self.state, members, member_query, MEMBER_DEADLINE).await
    }

    /// The rows of a reply. A member that stops answering is reported once.
    fn apply_reply(&mut self, response: MemberResponse, lines: &mut Vec<WatchLine>) -> Vec<Row> {
        let node = response.member.node;
        match response.reply {
            Ok(reply) => {
                self.unresponsive.retain(|unresponsive| *unresponsive != node);
                self.advance(node, reply.next, reply.lost, lines);
                Row::from_table(self.query.noun, reply.table)
            }
            Err(problem) => {
                if !self.unresponsive.contains(&node) {
                    self.unresponsive.push(node.clone());
                    lines.push(WatchLine::Unresponsive { node, problem });
                }
                Vec::new()
            }
        }
    }

    /// Journal rows as they are; of other nouns the changed rows.
    fn rows_to_show(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let mut new_rows = if is_journal(self.query.noun) { rows } else { self.changed_rows(rows) };
        new_rows.truncate(usize::try_from(self.remaining).unwrap_or(usize::MAX));
        new_rows
    }

    fn changed_rows(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let noun = self.query.noun;
        let rows = merge(noun, rows);
        let mut shown = BTreeMap::new();
        let mut changed = Vec::new();
        for row in rows {
            let key = row_key(noun, &row);
            let compared = compared_values(noun, &row);
            if self.shown.get(&key) != Some(&compared) {
                changed.push(row);
            }
            shown.insert(key, compared);
        }
        self.shown = shown;
        changed
    }

    fn table(&self, rows: &[Row]) -> Table {
        table(&Query { limit: None, ..self.query.clone() }, rows)
    }
}

/// The identity of an object: its leading fields, and the node for objects specific to a node.
fn row_key(noun: Noun, row: &Row) -> String {
    let (key_fields, node) = match noun.merge() {
        Merge::Freshest(key_fields) => (key_fields, String::new()),
        Merge::PerNode => (PER_NODE_KEY_FIELDS, row.get_by_name("node").to_string()),
    };
    let key = row.values().iter().take(key_fields).map(Value::to_json);
    format!("{node} {}", serde_json::Value::from_iter(key))
}

/// A row's values without `age` and `node`, which differ between reads of an unchanged object.
fn compared_values(noun: Noun, row: &Row) -> Vec<Value> {
    let fields = noun.fields().zip(row.values());
    fields
        .filter(|(field, _)| field.name != "age" && field.name != "node")
        .map(|(_, value)| value.clone())
        .collect()
}

/// The interval grows with the number of members, which bounds the rate of queries.
fn poll_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    MIN_POLL_INTERVAL.max(Duration::from_secs(1) * members / MAX_MEMBERS_PER_SECOND)
}
