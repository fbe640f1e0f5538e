//! The page on log lines lists exactly the fields that the code writes.

use std::{collections::BTreeSet, fs, path::Path};

/// The names of the events and their fields, parsed from the source of `Event` and `RequestLine`.
fn from_source(source: &str) -> Vec<(String, BTreeSet<String>)> {
    let body = source.split("pub enum Event<'a> {").nth(1).expect("the events are there");
    let body = body.split("\n}\n").next().expect("the events end");
    let line = source.split("pub struct RequestLine<'a> {").nth(1).expect("the request's line is there");
    let line = line.split("\n}\n").next().expect("the line ends");
    let mut events = Vec::new();
    let mut rest = body;
    while let Some(start) = rest.find("\n    ") {
        rest = &rest[start + 5..];
        if !rest.starts_with(char::is_uppercase) {
            continue;
        }
        let name: String = rest.chars().take_while(|letter| letter.is_alphanumeric()).collect();
        let fields = match name.as_str() {
            "Request" => {
                line.lines().filter_map(|line| line.trim().strip_prefix("pub ")).filter_map(field).collect()
            }
            _ => {
                let inside =
                    rest.split('{').nth(1).and_then(|rest| rest.split('}').next()).unwrap_or_default();
                inside.split(',').filter_map(|part| field(part.trim())).collect()
            }
        };
        events.push((snake_case(&name), fields));
    }
    events
}

fn field(text: &str) -> Option<String> {
    text.split_once(':').map(|(name, _)| name.trim().to_owned())
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.extend(letter.to_lowercase());
    }
    text
}

fn from_page(page: &str) -> Vec<(String, BTreeSet<String>)> {
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let fields = cells[3].split(',').map(|cell| cell.trim().trim_matches('`').to_owned()).collect();
        (cells[1].trim_matches('`').to_owned(), fields)
    })
    .collect()
}

#[test]
fn the_page_names_each_event_with_its_fields() {
    let top = Path::new(env!("CARGO_MANIFEST_DIR"));
    let source = fs::read_to_string(top.join("src/journal.rs")).expect("the source can be read");
    let page = fs::read_to_string(top.join("../../docs/operations/logs.md")).expect("the page can be read");
    let (mut documented, mut written) = (from_page(&page), from_source(&source));
    documented.sort();
    written.sort();
    assert!(written.len() > 15);
    assert_eq!(documented, written);
}
