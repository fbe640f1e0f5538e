//! Executes statements.

use std::{sync::Arc, time::Duration};

use paddlemount_language::{
    answer::{Answer, Body, MemberQuery, MemberReply, MemberStatus, Table},
    evaluate::{Selection, merge, select, table},
    help, parse,
    schema::Noun,
    source::Row,
    tree::{Explain, Query, Statement},
};
use paddlemount_protocol::{
    identity::RequestId,
    refusal::{Refusal, RefusalCode},
};

use super::cluster;
use super::{
    access::Operator,
    change, explain,
    limits::{MAX_MEMBER_ROWS, rows_per_member},
    members,
    rows::NodeSource,
    watch,
};
use crate::state::NodeState;

/// Executes any statement except `watch`.
///
/// # Errors
///
/// Fails if a statement cannot be answered; a refused change is an answer.
pub async fn execute(
    state: &Arc<NodeState>,
    operator: &Operator,
    statement: Statement,
    deadline: Duration,
) -> Result<Answer, Refusal> {
    match statement {
        Statement::Help(word) => {
            Ok(Answer::from_single_node(Body::Text { text: help::text(word.as_deref()) }))
        }
        Statement::Show(query) => Ok(show(state, &query, deadline).await),
        Statement::Explain(Explain::Request(request)) => explain_request(state, &request, deadline).await,
        Statement::Explain(Explain::Route(query)) => {
            let explanation = explain::route(state, &query)?;
            Ok(Answer::from_single_node(Body::Explanation { explanation }))
        }
        Statement::Change(command) => Ok(change::submit(state, operator, command).await),
        Statement::Watch(_) => {
            Err(Refusal::not_run(RefusalCode::InvalidRequest, "watch is answered as a stream"))
        }
    }
}

async fn show(state: &Arc<NodeState>, query: &Query, deadline: Duration) -> Answer {
    let members = cluster::members(state);
    let max_rows = rows_per_member(members.len() + 1);
    let statement = Statement::Show(query.clone()).to_string();
    let member_query = |_: &_| MemberQuery { statement: statement.clone(), max_rows, after: None };
    let responses = members::query_all(state, members, member_query, deadline).await;
    let Selection { mut rows, truncated } = select(query, &NodeSource::new(state), max_rows);
    let own = own_status(state, rows.len());
    let mut notes = members::notes(&responses, deadline);
    if truncated {
        notes.push(members::truncation(&own.node, own.rows));
    }
    if is_unreported(query.noun) {
        notes.push(format!("nodes of this version do not report {}", query.noun.name()));
    }
    let summaries = [own].into_iter().chain(responses.iter().map(members::MemberResponse::summary)).collect();
    for reply in responses.into_iter().filter_map(|response| response.reply.ok()) {
        rows.extend(Row::from_table(query.noun, reply.table));
    }
    let table = table(query, &merge(query.noun, rows));
    Answer { body: Body::Table { table }, members: summaries, notes }
}

/// Nouns that nodes do not report yet; an empty answer about them must not be read as "there are none".
const fn is_unreported(noun: Noun) -> bool {
    matches!(noun, Noun::Claims | Noun::Leases | Noun::Orders)
}

fn own_status(state: &NodeState, rows: usize) -> MemberStatus {
    let node = state.settings.node.clone();
    MemberStatus { node, answered: true, age_ms: 0, rows, problem: None }
}

async fn explain_request(
    state: &Arc<NodeState>,
    request: &RequestId,
    deadline: Duration,
) -> Result<Answer, Refusal> {
    if let Some(explanation) = explain::request(state, request) {
        return Ok(Answer::from_single_node(Body::Explanation { explanation }));
    }
    let statement = Statement::Explain(Explain::Request(request.clone())).to_string();
    let member_query = |_: &_| MemberQuery { statement: statement.clone(), max_rows: 0, after: None };
    let responses = members::query_all(state, cluster::members(state), member_query, deadline).await;
    let notes = members::notes(&responses, deadline);
    let summaries = responses.iter().map(members::MemberResponse::summary).collect();
    let replies = responses.into_iter().filter_map(|response| response.reply.ok());
    match replies.filter_map(|reply| reply.explanation).next() {
        Some(explanation) => {
            Ok(Answer { body: Body::Explanation { explanation }, members: summaries, notes })
        }
        None => Err(unknown_request(request, &notes)),
    }
}

fn unknown_request(request: &RequestId, notes: &[String]) -> Refusal {
    let mut message = format!(
        "no node has request {request} on record: it has not arrived, was left out of the sample under load, \
         or is older than the records"
    );
    for note in notes {
        message.push_str("; ");
        message.push_str(note);
    }
    Refusal::not_run(RefusalCode::NotFound, message)
}

/// Answers the query of another member.
///
/// # Errors
///
/// Fails if members may not send the statement.
pub fn reply(state: &NodeState, member_query: &MemberQuery) -> Result<MemberReply, Refusal> {
    let invalid = |message: String| Refusal::not_run(RefusalCode::InvalidRequest, message);
    let statement = parse(&member_query.statement).map_err(|error| invalid(error.message()))?;
    let max_rows = member_query.max_rows.min(MAX_MEMBER_ROWS);
    let empty = MemberReply {
        node: state.settings.node.clone(),
        revision: state.configuration.revision(),
        table: Table::default(),
        truncated: false,
        explanation: None,
        next: member_query.after.unwrap_or_default(),
        lost: 0,
    };
    match statement {
        Statement::Show(query) => {
            let Selection { rows, truncated } = select(&query, &NodeSource::new(state), max_rows);
            Ok(MemberReply { table: Row::table(query.noun, &rows), truncated, ..empty })
        }
        Statement::Watch(query) => {
            let update = watch::read_update(state, &query, member_query.after, max_rows);
            let table = Row::table(query.noun, &update.rows);
            Ok(MemberReply { table, next: update.next, lost: update.lost, ..empty })
        }
        Statement::Explain(Explain::Request(request)) => {
            Ok(MemberReply { explanation: explain::request(state, &request), ..empty })
        }
        _ => Err(invalid(format!("members do not ask: {statement}"))),
    }
}
