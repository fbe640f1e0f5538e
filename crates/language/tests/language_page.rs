//! The examples of docs/LANGUAGE.md are valid, and the page documents every noun and field.

use std::ops::ControlFlow;

use paddlemount_language::{
    change::translate,
    evaluate::{select, shown_columns, table},
    parse,
    schema::{Mechanism, Noun, Object},
    source::{Row, Source},
    tree::{Query, Statement},
    value::{Kind, Value},
};
use paddlemount_protocol::{
    configuration::{Configuration, Pool, RevisedConfiguration, Tenant},
    identity::{Revision, WeightsVersion},
    time::Timestamp,
};

const PAGE: &str = include_str!("../../../docs/LANGUAGE.md");
const NOW: Timestamp = Timestamp::from_millis(1_800_000_000_000);

/// A source with one row of each noun, in which every field is known.
struct OneRow;

impl Source for OneRow {
    fn now(&self) -> Timestamp {
        NOW
    }

    fn visit(&self, noun: Noun, visitor: &mut dyn FnMut(Row) -> ControlFlow<()>) {
        let known = noun.fields().fold(Row::new(noun), |row, field| {
            let value = match (field.name, field.kind) {
                ("pool", _) => Value::from("contracts"),
                ("subject", _) => Value::from("engine-3"),
                (_, Kind::Text) => Value::from("kestrel"),
                (_, Kind::Number) => Value::from(3_u32),
                (_, Kind::Duration) => Value::milliseconds(3),
                (_, Kind::Bool) => Value::from(false),
                (_, Kind::Time) => Value::from(NOW),
                (_, Kind::List) => Value::List(vec!["engine-3".to_owned()]),
            };
            row.with(field.name, value)
        });
        let _ = visitor(known);
    }
}

fn examples() -> Vec<&'static str> {
    let blocks = PAGE.split("```paddlemount\n").skip(1);
    blocks.flat_map(|block| block.split("```").next().unwrap_or_default().lines()).collect()
}

fn assert_runs(query: &Query) {
    let answer = table(query, &select(query, &OneRow, 10).rows);
    assert_eq!(answer.rows.len(), 1, "{query}");
    assert_eq!(answer.columns.len(), shown_columns(query).len(), "{query}");
    assert!(answer.rows[0].iter().all(|value| *value != Value::None), "{query}: {answer:?}");
}

fn current(action: &str) -> RevisedConfiguration {
    let mut configuration = Configuration::default();
    if !action.starts_with("create") {
        configuration.tenants.insert("kestrel".into(), Tenant::default());
        configuration.services.insert("booking".into(), Default::default());
    }
    let pool = Pool {
        model: "ledger".into(),
        weights: WeightsVersion(7),
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: 0.5,
    };
    configuration.pools.insert("contracts".into(), pool);
    RevisedConfiguration { revision: Revision(30), configuration }
}

#[test]
fn each_example_of_the_page_is_valid() {
    let examples = examples();
    assert!(examples.len() >= 15, "{examples:?}");
    for example in examples {
        match parse(example) {
            Ok(Statement::Show(query) | Statement::Watch(query)) => assert_runs(&query),
            Ok(Statement::Change(command)) => {
                translate(&command, &current(example)).unwrap_or_else(|error| panic!("{example}: {error}"));
            }
            Ok(Statement::Explain(_) | Statement::Help(_)) => {}
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn the_page_documents_every_noun_field_mechanism_and_setting() {
    let documents = |name: &str| PAGE.contains(&format!("`{name}`"));
    for noun in Noun::ALL {
        assert!(documents(noun.name()), "{}", noun.name());
        for field in noun.fields() {
            assert!(documents(field.name), "{} of {}", field.name, noun.name());
        }
    }
    for mechanism in Mechanism::ALL {
        assert!(documents(mechanism.name()), "{}", mechanism.name());
    }
    for object in Object::ALL {
        for setting in object.settings() {
            assert!(documents(setting.name), "{} of {}", setting.name, object.name());
        }
    }
}

#[test]
fn each_statement_of_the_operators_pages_is_valid() {
    let operations = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operations");
    let pages = pages_under(operations.as_ref());
    assert!(pages.len() >= 10, "{pages:?}");
    for page in pages {
        let text = std::fs::read_to_string(&page).unwrap();
        for statement in text.lines().filter_map(|line| line.trim().strip_prefix("paddlemount> ")) {
            let filled = statement.replace("REVISION", "12");
            assert!(parse(&filled).is_ok(), "{}: {}", page.display(), parse(&filled).unwrap_err());
        }
    }
}

fn pages_under(directory: &std::path::Path) -> Vec<std::path::PathBuf> {
    let mut pages = Vec::new();
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            pages.extend(pages_under(&path));
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
    pages
}
