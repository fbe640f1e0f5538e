//! Queries to all members of the cluster, with a deadline.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::StreamExt;
use paddlemount_language::answer::{MemberQuery, MemberReply, MemberStatus};
use paddlemount_protocol::identity::NodeId;

use crate::{admin::cluster::Member, peers::transport, state::NodeState};

/// The path that members post queries to.
pub const PATH: &str = "/peer/query";
const MAX_CONCURRENT_QUERIES: usize = 128;

/// The result of a query to one member.
pub struct MemberResponse {
    pub member: Member,
    /// Its reply, or why there is none.
    pub reply: Result<MemberReply, String>,
    pub elapsed: Duration,
}

impl MemberResponse {
    /// The member's entry in an answer.
    pub fn summary(&self) -> MemberStatus {
        let took_ms = u64::try_from(self.elapsed.as_millis()).unwrap_or(u64::MAX);
        MemberStatus {
            node: self.member.node.clone(),
            answered: self.reply.is_ok(),
            age_ms: took_ms,
            rows: self.reply.as_ref().map_or(0, |reply| reply.table.rows.len()),
            problem: self.reply.as_ref().err().cloned(),
        }
    }
}

/// Sends each member the query that `query` returns for it, until `deadline` has passed.
pub async fn query_all(
    state: &Arc<NodeState>,
    members: Vec<Member>,
    query: impl Fn(&NodeId) -> MemberQuery,
    deadline: Duration,
) -> Vec<MemberResponse> {
    let started = Instant::now();
    let queries = members.into_iter().map(|member| {
        let query = query(&member.node);
        query_one(state, member, query, started, deadline)
    });
    let mut responses: Vec<MemberResponse> =
        futures_util::stream::iter(queries).buffer_unordered(MAX_CONCURRENT_QUERIES).collect().await;
    responses.sort_by(|left, right| left.member.node.cmp(&right.member.node));
    responses
}

async fn query_one(
    state: &Arc<NodeState>,
    member: Member,
    query: MemberQuery,
    started: Instant,
    deadline: Duration,
) -> MemberResponse {
    let sent_at = Instant::now();
    let remaining = deadline.saturating_sub(started.elapsed());
    let reply = transport::call::<_, MemberReply>(state, member.address, PATH, &query, remaining).await;
    let reply = reply.map_err(|error| error.to_string());
    MemberResponse { member, reply, elapsed: sent_at.elapsed() }
}

/// Notes on members that did not answer, and on those whose rows were truncated.
pub fn notes(responses: &[MemberResponse], deadline: Duration) -> Vec<String> {
    let mut notes = Vec::new();
    let unanswered: Vec<&MemberResponse> =
        responses.iter().filter(|response| response.reply.is_err()).collect();
    if !unanswered.is_empty() {
        let names: Vec<&str> = unanswered.iter().map(|response| response.member.node.as_str()).collect();
        notes.push(format!(
            "{} of {} other nodes did not answer within {} ms: {}",
            unanswered.len(),
            responses.len(),
            deadline.as_millis(),
            names.join(", ")
        ));
    }
    let truncated =
        responses.iter().filter(|response| response.reply.as_ref().is_ok_and(|reply| reply.truncated));
    for response in truncated {
        notes.push(truncation(&response.member.node, response.summary().rows));
    }
    notes
}

/// The note on a node whose rows were truncated.
pub fn truncation(node: &NodeId, rows: usize) -> String {
    format!("{node} gave its first {rows} rows only; narrow the question with where")
}
