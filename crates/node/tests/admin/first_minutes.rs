//! Runs the statements of docs/operations/first-ten-minutes.md as written.

use paddlemount_language::{render, value::Value};
use paddlemount_protocol::configuration::ChangeOutcome;

use crate::support::{Cluster, READ_KEY, TENANT};

/// The page; each line that starts with the prompt is a statement.
const PAGE: &str = include_str!("../../../../docs/operations/first-ten-minutes.md");
/// The tenant that the page changes.
const PAGE_TENANT: &str = "regina";
const PROMPT: &str = "paddlemount> ";

fn statements() -> Vec<&'static str> {
    PAGE.lines().filter_map(|line| line.trim().strip_prefix(PROMPT)).collect()
}

/// The page's statement with the given beginning, with its placeholder replaced.
fn statement(beginning: &str, placeholder: &str, value: &str) -> String {
    let statements = statements().into_iter().map(|statement| statement.replace(PAGE_TENANT, TENANT));
    let found = statements.into_iter().find(|statement| statement.starts_with(beginning));
    let found = found.unwrap_or_else(|| panic!("the page has no statement {beginning}"));
    if placeholder.is_empty() { found } else { found.replace(placeholder, value) }
}

#[test]
fn each_statement_of_the_page_is_valid() {
    let statements = statements();
    assert!(statements.len() >= 10, "{statements:?}");
    for statement in statements {
        let filled = statement.replace("REQUEST", "r1").replace("ENGINE", "e1").replace("REVISION", "3");
        if let Err(error) = paddlemount_language::parse(&filled) {
            panic!("{error}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_page_works_as_written() {
    let cluster = Cluster::start(2, 2).await;
    let terms = "Rental terms, version 7: the renter returns the car with a full tank. ".repeat(30);
    let mut last = String::new();
    for question in 0..8 {
        let (request, status) = cluster.prompt(question % 2, &format!("{terms} Question {question}.")).await;
        assert_eq!(status, 200);
        last = request;
    }
    explain_a_request(&cluster, &last).await;
    let holder = find_the_hottest_prefix(&cluster).await;
    drain_an_engine(&cluster, &holder, &terms).await;
    lower_a_quota(&cluster, &terms).await;
    submit_a_conflicting_change(&cluster).await;
    cluster.stop().await;
}

async fn explain_a_request(cluster: &Cluster, request: &str) {
    let ended = format!("show requests engine where request = {request} and state = ended");
    cluster.until(0, &ended, |table| table.rows.len() == 1).await;
    let question = statement("explain request", "REQUEST", request);
    let explanation = cluster.explanation(0, &question).await;
    assert!(explanation.summary.contains("went to engine-"), "{}", explanation.summary);
    let answer = cluster.query_as(0, READ_KEY, &question).await.unwrap();
    println!("{question}\n{}", render::text(&answer));
}

async fn find_the_hottest_prefix(cluster: &Cluster) -> String {
    let question = statement("show prefixes", "", "");
    let table = cluster
        .until(0, &question, |table| {
            let has_holder =
                |row: &Vec<Value>| row.iter().any(|v| matches!(v, Value::List(names) if !names.is_empty()));
            table.rows.first().is_some_and(has_holder)
        })
        .await;
    println!("{question}\n{}", render::aligned(&table));
    let holders = table.rows[0].iter().find_map(|value| match value {
        Value::List(names) => names.first().cloned(),
        _ => None,
    });
    holders.unwrap()
}

async fn drain_an_engine(cluster: &Cluster, engine: &str, terms: &str) {
    let command = statement("drain engine", "ENGINE", engine);
    let (outcome, sentence) = cluster.change(0, &command).await;
    assert!(matches!(outcome, ChangeOutcome::InForce { .. }), "{sentence}");
    println!("{command}\n{sentence}\n");
    let question = statement("show engines engine, draining", "ENGINE", engine);
    let is_idle = |row: &Vec<Value>| row[1] == Value::from(true) && row[2] == Value::from(0_u32);
    let table = cluster.until(1, &question, |table| table.rows.first().is_some_and(is_idle)).await;
    println!("{question}\n{}", render::aligned(&table));
    let (request, status) = cluster.prompt(1, &format!("{terms} After the drain.")).await;
    assert_eq!(status, 200);
    let served = format!("show requests engine where request = {request} and state = ended");
    let table = cluster.until(0, &served, |table| table.rows.len() == 1).await;
    assert_ne!(table.rows[0][0], Value::from(engine));
    let (outcome, sentence) = cluster.change(0, &statement("undrain engine", "ENGINE", engine)).await;
    assert!(matches!(outcome, ChangeOutcome::InForce { .. }), "{sentence}");
}

async fn lower_a_quota(cluster: &Cluster, terms: &str) {
    let command = statement("set tenant kestrel requests_per_second", "", "");
    let (outcome, sentence) = cluster.change(0, &command).await;
    assert!(matches!(outcome, ChangeOutcome::InForce { .. }), "{sentence}");
    println!("{command}\n{sentence}\n");
    let mut refused = 0;
    for question in 0..40 {
        let (_, status) = cluster.prompt(question % 2, &format!("{terms} Refused {question}.")).await;
        refused += usize::from(status == 429);
    }
    assert!(refused > 0, "no request was refused");
    let question = statement("show requests tenant, code, count()", "", "");
    let table = cluster.until(0, &question, |table| !table.rows.is_empty()).await;
    println!("{question}\n{}", render::aligned(&table));
    let row = &table.rows[0];
    assert_eq!(row[..2], [Value::from("kestrel"), Value::from("quota_exceeded")]);
    assert_eq!(row[2], Value::from(refused));
}

async fn submit_a_conflicting_change(cluster: &Cluster) {
    let nodes = cluster.table(0, "show nodes revision limit 1").await;
    let revision = nodes.rows[0][0].to_string();
    let (outcome, sentence) =
        cluster.change(0, &statement("set tenant kestrel weight = 2", "REVISION", &revision)).await;
    assert!(matches!(outcome, ChangeOutcome::InForce { .. }), "{sentence}");
    let late = statement("set tenant kestrel weight = 9", "REVISION", &revision);
    let (outcome, sentence) = cluster.change(1, &late).await;
    assert!(matches!(outcome, ChangeOutcome::Refused { .. }), "{sentence}");
    println!("{late}\n{sentence}\n");
    let question = statement("show changes", "", "");
    let table = cluster.table(1, &question).await;
    println!("{question}\n{}", render::aligned(&table));
    assert!(table.rows.iter().any(|row| row.contains(&Value::from("refused"))), "{table:?}");
}
