//! Questions to all members of the cluster, with a deadline.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::StreamExt;
use paddlemount_language::answer::{MemberQuery, MemberReply, MemberStatus};
use paddlemount_protocol::identity::NodeId;

use crate::{admin::cluster::Member, peers::transport, state::NodeState};

/// The path that members' questions are posted to.
pub const PATH: &str = "/peer/query";
/// Members asked at the same time.
const ASKED_AT_ONCE: usize = 128;

/// What became of the question to one member.
pub struct Asked {
    /// The member.
    pub member: Member,
    /// Its reply, or why there is none.
    pub reply: Result<MemberReply, String>,
    /// How long that took.
    pub took: Duration,
}

impl Asked {
    /// The part of an answer that tells of this member.
    pub fn summary(&self) -> MemberStatus {
        let took_ms = u64::try_from(self.took.as_millis()).unwrap_or(u64::MAX);
        MemberStatus {
            node: self.member.node.clone(),
            answered: self.reply.is_ok(),
            age_ms: took_ms,
            rows: self.reply.as_ref().map_or(0, |reply| reply.table.rows.len()),
            problem: self.reply.as_ref().err().cloned(),
        }
    }
}

/// Asks members the question that `question` makes for each, until `deadline` has passed.
pub async fn ask(
    state: &Arc<NodeState>,
    members: Vec<Member>,
    question: impl Fn(&NodeId) -> MemberQuery,
    deadline: Duration,
) -> Vec<Asked> {
    let begun = Instant::now();
    let asked = members.into_iter().map(|member| {
        let question = question(&member.node);
        ask_one(state, member, question, begun, deadline)
    });
    let mut asked: Vec<Asked> =
        futures_util::stream::iter(asked).buffer_unordered(ASKED_AT_ONCE).collect().await;
    asked.sort_by(|left, right| left.member.node.cmp(&right.member.node));
    asked
}

async fn ask_one(
    state: &Arc<NodeState>,
    member: Member,
    question: MemberQuery,
    begun: Instant,
    deadline: Duration,
) -> Asked {
    let asked_at = Instant::now();
    let remaining = deadline.saturating_sub(begun.elapsed());
    let reply = transport::call::<_, MemberReply>(state, member.address, PATH, &question, remaining).await;
    let reply = reply.map_err(|error| error.to_string());
    Asked { member, reply, took: asked_at.elapsed() }
}

/// Notes on members that did not answer, and on those that had more rows than they gave.
pub fn notes(asked: &[Asked], deadline: Duration) -> Vec<String> {
    let mut notes = Vec::new();
    let silent: Vec<&Asked> = asked.iter().filter(|asked| asked.reply.is_err()).collect();
    if !silent.is_empty() {
        let names: Vec<&str> = silent.iter().map(|asked| asked.member.node.as_str()).collect();
        notes.push(format!(
            "{} of {} other nodes did not answer within {} ms: {}",
            silent.len(),
            asked.len(),
            deadline.as_millis(),
            names.join(", ")
        ));
    }
    let truncated = asked.iter().filter(|asked| asked.reply.as_ref().is_ok_and(|reply| reply.truncated));
    for asked in truncated {
        notes.push(truncation(&asked.member.node, asked.summary().rows));
    }
    notes
}

/// The note on a node that had more rows than it gave.
pub fn truncation(node: &NodeId, rows: usize) -> String {
    format!("{node} gave its first {rows} rows only; narrow the question with where")
}
