//! Evaluation of queries over a fixed set of rows, and translation of commands to changes.

use std::ops::ControlFlow;

use paddlemount_language::{
    answer::Table,
    change::{CommandError, translate},
    evaluate::{merge, select, table},
    parse, render,
    schema::Noun,
    source::{Row, Source},
    tree::{Query, Statement},
    value::Value,
};
use paddlemount_protocol::{
    configuration::{Change, Configuration, Pool, RevisedConfiguration, Tenant},
    identity::{Revision, WeightsVersion},
    time::Timestamp,
};

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

struct FixedRows(Vec<Row>);

impl Source for FixedRows {
    fn now(&self) -> Timestamp {
        NOW
    }

    fn visit(&self, _noun: Noun, visitor: &mut dyn FnMut(Row) -> ControlFlow<()>) {
        let _ = self.0.iter().cloned().try_for_each(visitor);
    }
}

fn requests() -> FixedRows {
    let row = |number: u64, tenant: &str, first_token_ms: Option<u64>| {
        Row::new(Noun::Requests)
            .with("request", format!("r{number}"))
            .with("tenant", tenant)
            .with("at", Timestamp::from_millis(number * 10_000))
            .with("first_token", first_token_ms.map_or(Value::None, Value::milliseconds))
    };
    let kestrel = (1..=100).map(|number| row(number, "kestrel", Some(number)));
    let benoni = (101..=103).map(|number| row(number, "benoni", None));
    FixedRows(kestrel.chain(benoni).collect())
}

fn query(text: &str) -> Query {
    match parse(text) {
        Ok(Statement::Show(query)) => query,
        other => panic!("{other:?}"),
    }
}

fn run(text: &str) -> Table {
    let query = query(text);
    table(&query, &select(&query, &requests(), 1_000).rows)
}

fn count(text: &str) -> usize {
    run(text).rows.len()
}

#[test]
fn conditions_filter_rows() {
    assert_eq!(count("show requests where tenant = benoni"), 3);
    assert_eq!(count("show requests where not tenant = benoni and first_token <= 10ms"), 10);
    assert_eq!(count("show requests where tenant like \"b*i\" or request = r7"), 4);
    assert_eq!(count("show requests where request contains r10"), 5);
    assert_eq!(count("show requests where first_token = none"), 3);
    assert_eq!(count("show requests where first_token > 0ms"), 100);
    assert_eq!(count("show requests where at >= 5s ago"), 4);
    assert_eq!(count("show requests where at > \"1970-01-01T00:16:39Z\""), 4);
}

#[test]
fn groups_give_counts_and_percentiles() {
    let answer = run("show requests tenant, count(), min(first_token), avg(first_token), p50(first_token), \
         p95(first_token), p99(first_token), max(first_token) group by tenant order by count() desc");
    let figures = [1, 50_500, 50_000, 95_000, 99_000, 100_000].map(|us| if us == 1 { 1_000 } else { us });
    let mut kestrel = vec![Value::from("kestrel"), Value::from(100_u64)];
    kestrel.extend(figures.map(Value::Duration));
    assert_eq!(answer.rows[0], kestrel);
    assert_eq!(answer.rows[1][..3], [Value::from("benoni"), Value::from(3_u64), Value::None]);
}

#[test]
fn order_and_limit_are_applied_to_the_answer() {
    let answer = run("show requests request order by tenant, first_token desc limit 4");
    let ids: Vec<String> = answer.rows.iter().map(|row| row[0].to_string()).collect();
    assert_eq!(ids, ["r101", "r102", "r103", "r100"]);
}

#[test]
fn a_selection_stops_at_its_limit() {
    let query = query("show requests");
    let selection = select(&query, &requests(), 10);
    assert_eq!((selection.rows.len(), selection.truncated), (10, true));
}

#[test]
fn a_selection_returns_the_first_rows_of_the_requested_order() {
    let query = query("show requests order by first_token desc limit 2");
    let selection = select(&query, &requests(), 10);
    let ids: Vec<String> = selection.rows.iter().map(|row| row.get_by_name("request").to_string()).collect();
    assert_eq!((ids, selection.truncated), (vec!["r100".to_owned(), "r99".to_owned()], false));
}

#[test]
fn the_most_recent_row_of_an_object_is_kept() {
    let engine_row = |node: &str, age_ms: u64, waiting: u64| {
        let row = Row::new(Noun::Engines).with("engine", "e1").with("node", node).with("waiting", waiting);
        row.with("age", Value::milliseconds(age_ms))
    };
    let rows = merge(
        Noun::Engines,
        vec![engine_row("n1", 900, 5), engine_row("n2", 100, 9), engine_row("n3", 500, 1)],
    );
    assert_eq!(rows.len(), 1);
    assert_eq!(
        (rows[0].get_by_name("node"), rows[0].get_by_name("waiting")),
        (&"n2".into(), &Value::from(9_u64))
    );
}

#[test]
fn tables_round_trip_as_json_and_are_rendered_as_csv_and_aligned_text() {
    let answer = run("show requests request, at, first_token where request = r12 or request = r101");
    let json = serde_json::to_string(&answer).unwrap();
    assert!(json.contains(r#"["r12","1970-01-01T00:02:00.000000Z",12]"#), "{json}");
    assert_eq!(serde_json::from_str::<Table>(&json).unwrap(), answer);
    let csv = "request,at,first_token\r\nr12,1970-01-01T00:02:00.000000Z,12\r\nr101,1970-01-01T00:16:50.000000Z,\r\n";
    assert_eq!(render::csv(&answer), csv);
    let text = "request  at                           first_token\n\
                r12      1970-01-01T00:02:00.000000Z       12.0ms\n\
                r101     1970-01-01T00:16:50.000000Z            -\n(2 rows)\n";
    assert_eq!(render::aligned(&answer), text);
}

fn current() -> RevisedConfiguration {
    let mut configuration = Configuration::default();
    configuration.tenants.insert("kestrel".into(), Tenant { weight: 3, ..Tenant::default() });
    let pool = Pool {
        model: "ledger".into(),
        weights: WeightsVersion(7),
        rollout: Some(WeightsVersion(8)),
        adapters: Vec::new(),
        reuse_weight: 0.5,
    };
    configuration.pools.insert("contracts".into(), pool);
    RevisedConfiguration { revision: Revision(30), configuration }
}

fn change(text: &str) -> Result<(Change, Option<Revision>), CommandError> {
    match parse(text) {
        Ok(Statement::Change(command)) => {
            translate(&command, &current()).map(|translated| (translated.change, translated.if_revision))
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn changes_require_the_revision_that_they_depend_on() {
    let (translated, revision) = change("set tenant kestrel requests_per_second = 40").unwrap();
    let Change::PutTenant { settings, .. } = translated else { panic!("{translated:?}") };
    assert_eq!((settings.weight, settings.quota.requests_per_second), (3, Some(40.0)));
    assert_eq!(revision, Some(Revision(30)));
    let (_, revision) = change("set tenant kestrel weight = 1 if revision 12").unwrap();
    assert_eq!(revision, Some(Revision(12)));
    let (translated, revision) = change("pin version 9 on pool contracts").unwrap();
    let Change::PutPool { settings, .. } = translated else { panic!("{translated:?}") };
    assert_eq!((settings.weights, settings.rollout, revision), (WeightsVersion(9), None, Some(Revision(30))));
    let (translated, revision) = change("drain engine e1 reason \"fan\"").unwrap();
    assert_eq!(translated, Change::DrainEngine { engine: "e1".into(), reason: "fan".into() });
    assert_eq!(revision, None);
}

#[test]
fn commands_that_cannot_be_translated_say_why() {
    let error = |text: &str| change(text).unwrap_err().to_string();
    assert_eq!(error("create tenant kestrel"), "tenant kestrel exists already; use: set tenant kestrel …");
    assert_eq!(error("set tenant kestral weight = 2"), "there is no tenant kestral; see: show tenants");
    assert_eq!(error("create pool p weights = 1"), "pool p needs the setting model");
    assert_eq!(error("set pool contracts reuse_weight = 1.5"), "reuse_weight must be a number from 0 to 1");
    assert_eq!(error("set tenant kestrel weight = 0"), "weight must be a whole number above 0");
    assert!(error("set tenant kestrel key_hashes = [secret]").contains("never the keys themselves"));
    assert!(error("roll out version 2 to pool none").contains("there is no pool none"));
}
