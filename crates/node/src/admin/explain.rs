//! Explains routing: of recorded requests, and of prompts that were not sent.

use paddlemount_core::{
    decisions::{DecisionRecord, RequestEnding},
    routing::{Candidate, Decision, RouteRequest},
};
use paddlemount_language::{
    answer::{ColumnHeader, Explanation, Section, Table},
    schema::Noun,
    source::Row,
    tree::RouteQuery,
    value::{Kind, Value},
};
use paddlemount_protocol::{
    engine::Priority,
    identity::RequestId,
    prefix::{CacheScope, hash_blocks, prompt_tokens},
    refusal::{Refusal, RefusalCode},
};

use super::{
    observations::snake_case,
    rows::{NodeSource, with_candidate},
};
use crate::state::NodeState;

/// Explains a request that this node has recorded.
pub fn request(state: &NodeState, request: &RequestId) -> Option<Explanation> {
    let (record, running) = state.observations.find(request)?;
    let row = NodeSource::new(state).request_row(&record, running);
    let sections = vec![
        Section { title: "request".to_owned(), table: facts(Noun::Requests, &row) },
        Section {
            title: "engines weighed, the best first".to_owned(),
            table: candidates(&record.candidates),
        },
        Section { title: "limits met".to_owned(), table: limits(&record) },
        Section {
            title: "tries, each with the precondition the engine checked".to_owned(),
            table: attempts(&record),
        },
    ];
    let sections = sections.into_iter().filter(|section| !section.table.rows.is_empty()).collect();
    Some(Explanation { summary: summary(state, &record, running), sections })
}

fn summary(state: &NodeState, record: &DecisionRecord, running: bool) -> String {
    let reason = record.reason.map_or("no choice was made".to_owned(), |reason| snake_case(&reason));
    let destination = match record.engine() {
        Some(engine) => format!("went to {engine} ({reason})"),
        None => format!("went to no engine ({reason})"),
    };
    let ending = match &record.ending {
        _ if running => "runs still".to_owned(),
        RequestEnding::Completed => "completed".to_owned(),
        RequestEnding::NotRun { code } => format!("was refused as not run: {}", snake_case(code)),
        RequestEnding::Unknown { code } => format!("ended without a whole answer: {}", snake_case(code)),
        RequestEnding::Cancelled => "was left by its caller".to_owned(),
    };
    format!(
        "request {} of {} {destination} by node {} and {ending}; {} of {} prompt tokens were cached; \
         the oldest load report was {} ms old",
        record.request,
        record.tenant,
        state.settings.node,
        record.cached_tokens,
        record.prompt_tokens,
        record.max_load_age_ms
    )
}

/// A row as two columns, without unknown values.
fn facts(noun: Noun, row: &Row) -> Table {
    let columns = vec![ColumnHeader::new("field", Kind::Text), ColumnHeader::new("value", Kind::Text)];
    let known = noun.fields().zip(row.values()).filter(|(_, value)| **value != Value::None);
    let rows = known.map(|(field, value)| vec![Value::from(field.name), Value::from(value.to_string())]);
    Table { columns, rows: rows.collect() }
}

/// The fields of `decisions` that describe a candidate.
const CANDIDATE_FIELDS: [&str; 14] = [
    "place",
    "engine",
    "cost",
    "wait",
    "prefill",
    "import",
    "distance",
    "copy",
    "affinity",
    "rank",
    "expected_cached_tokens",
    "confidence",
    "belief_age",
    "load_age",
];

fn candidates(candidates: &[Candidate]) -> Table {
    let fields: Vec<_> = CANDIDATE_FIELDS.iter().filter_map(|name| Noun::Decisions.field(name)).collect();
    let columns = fields.iter().map(|field| ColumnHeader::new(field.name, field.kind)).collect();
    let rows = candidates.iter().enumerate().map(|(index, candidate)| {
        let row = with_candidate(Row::new(Noun::Decisions).with("place", index + 1), candidate);
        fields.iter().map(|field| row.get(field).clone()).collect()
    });
    Table { columns, rows: rows.collect() }
}

fn limits(record: &DecisionRecord) -> Table {
    let columns = vec![
        ColumnHeader::new("limit", Kind::Text),
        ColumnHeader::new("refused", Kind::Bool),
        ColumnHeader::new("waited", Kind::Duration),
    ];
    let rows = record.limits.iter().map(|hit| {
        vec![
            Value::from(snake_case(&hit.limit)),
            Value::from(hit.refused),
            Value::milliseconds(hit.waited_ms),
        ]
    });
    Table { columns, rows: rows.collect() }
}

fn attempts(record: &DecisionRecord) -> Table {
    let columns = vec![
        ColumnHeader::new("try", Kind::Text),
        ColumnHeader::new("engine", Kind::Text),
        ColumnHeader::new("incarnation", Kind::Number),
        ColumnHeader::new("model", Kind::Text),
        ColumnHeader::new("weights", Kind::Number),
        ColumnHeader::new("result", Kind::Text),
        ColumnHeader::new("took", Kind::Duration),
    ];
    let rows = record.attempts.iter().map(|attempt| {
        let precondition = &attempt.precondition;
        vec![
            Value::from(attempt.attempt.as_str()),
            Value::from(precondition.engine.as_str()),
            Value::from(precondition.incarnation.0),
            Value::from(precondition.model.as_str()),
            Value::from(precondition.weights.0),
            Value::from(attempt.result.to_string()),
            Value::milliseconds(attempt.took_ms),
        ]
    });
    Table { columns, rows: rows.collect() }
}

/// Explains where a prompt would be routed now, without sending it or changing any state.
///
/// # Errors
///
/// Fails if the pool or the tenant does not exist.
pub fn route(state: &NodeState, query: &RouteQuery) -> Result<Explanation, Refusal> {
    let active = state.configuration.load();
    let configuration = &active.document.configuration;
    let not_found = |what: String| Refusal::not_run(RefusalCode::NotFound, what);
    let pool = configuration.pools.get(&query.pool);
    let pool = pool.ok_or_else(|| not_found(format!("there is no pool {}; see: show pools", query.pool)))?;
    if !configuration.tenants.contains_key(&query.tenant) {
        return Err(not_found(format!("there is no tenant {}; see: show tenants", query.tenant)));
    }
    let scope = CacheScope::new(&query.tenant, &pool.model, pool.weights, None);
    let blocks = hash_blocks(scope, query.prompt.as_bytes());
    let request = RequestId::from("preview");
    let route = RouteRequest {
        request: &request,
        tenant: &query.tenant,
        pool: &query.pool,
        model: &pool.model,
        weights: pool.weights,
        adapter: None,
        scope,
        blocks: &blocks,
        prompt_tokens: prompt_tokens(query.prompt.len()),
        max_tokens: PREVIEW_MAX_TOKENS,
        priority: Priority::Normal,
        reuse_weight: pool.reuse_weight,
        excluded: &[],
    };
    let now = state.clock.now();
    let decision = state.with_router(|router| router.preview(&route, now));
    Ok(preview(query, &blocks.last().map(ToString::to_string), &decision))
}

/// The answer length that a preview assumes, in tokens.
const PREVIEW_MAX_TOKENS: u32 = 256;

fn preview(query: &RouteQuery, prefix: &Option<String>, decision: &Decision) -> Explanation {
    let reason = snake_case(&decision.reason);
    let summary = match &decision.chosen {
        Some(chosen) => format!(
            "a prompt of {} tokens of {} would go to {} ({reason})",
            prompt_tokens(query.prompt.len()),
            query.tenant,
            chosen.engine
        ),
        None => format!("no engine of {} would serve it ({reason})", query.pool),
    };
    let columns = vec![ColumnHeader::new("field", Kind::Text), ColumnHeader::new("value", Kind::Text)];
    let mut rows = vec![
        vec![Value::from("shared_blocks"), Value::from(decision.shared_blocks.to_string())],
        vec![Value::from("wanted_copies"), Value::from(decision.wanted_copies.to_string())],
    ];
    if let Some(prefix) = prefix {
        rows.push(vec![Value::from("prefix"), Value::from(prefix.as_str())]);
    }
    let facts = Section { title: "prompt".to_owned(), table: Table { columns, rows } };
    let title = "engines weighed, the best first".to_owned();
    let candidates_section = Section { title, table: candidates(&decision.candidates) };
    Explanation { summary, sections: vec![facts, candidates_section] }
}
